"""Decide whether and when a failed attempt is retried."""

from __future__ import annotations

from egretworks.clock import Millis
from egretworks.exceptions import CallError, OutcomeUnknown
from egretworks.resources import RetryPolicy
from egretworks.types import RandomSource, Repeat

# Tokens at the start, so that a service with little traffic can retry before it has earned any.
INITIAL_BUDGET_TOKENS = 5.0
MAX_BUDGET_TOKENS = 100.0
# A retry with less time left than this could not succeed, so it is not made.
MIN_ATTEMPT_MS = 5.0


class RetryBudget:
    """Limit the retries of a service to a percentage of its first attempts, with a token bucket."""

    def __init__(self) -> None:
        self._tokens = INITIAL_BUDGET_TOKENS

    def earn(self, percent: int) -> None:
        """Add the tokens for one first attempt, `percent` of a retry."""
        self._tokens = min(MAX_BUDGET_TOKENS, self._tokens + percent / 100)

    def try_spend(self) -> bool:
        """Take a token for a retry, or return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def may_retry(error: CallError, repeat: Repeat) -> bool:
    """Return whether a call whose attempt failed with `error` is safe to attempt again."""
    if error.not_run:
        return True
    return repeat is Repeat.IDEMPOTENT and isinstance(error, OutcomeUnknown)


def retry_delay_ms(
    error: CallError,
    attempts_made: int,
    policy: RetryPolicy,
    repeat: Repeat,
    budget: RetryBudget,
    now: Millis,
    deadline: Millis,
    random: RandomSource,
) -> float | None:
    """Return the delay before the next attempt in milliseconds, or None if there is to be none.

    The delay is exponential backoff in `attempts_made`, with full jitter. The delay and an attempt
    of `MIN_ATTEMPT_MS` must fit before `deadline`; only then is a token of `budget` spent.
    """
    if attempts_made >= policy.attempts or not may_retry(error, repeat):
        return None
    delay = random.random() * policy.backoff_ms * 2 ** (attempts_made - 1)
    if now + delay + MIN_ATTEMPT_MS > deadline:
        return None
    return delay if budget.try_spend() else None
