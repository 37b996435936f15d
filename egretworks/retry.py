"""Decide whether and when a failed attempt is made again."""

from __future__ import annotations

from egretworks.clock import Millis
from egretworks.exceptions import CallError, OutcomeUnknown
from egretworks.resources import RetryPolicy
from egretworks.types import RandomSource, Repeat

# Retries that a service with little traffic may make before it has earned any.
BUDGET_RESERVE = 5.0
BUDGET_CEILING = 100.0
# An attempt with less time than this left can't be useful.
LEAST_USEFUL_MS = 5.0


class RetryBudget:
    """Keep retries to a share of first attempts, in a bucket of tokens."""

    def __init__(self) -> None:
        self._tokens = BUDGET_RESERVE

    def earn(self, percent: int) -> None:
        """Count a first attempt."""
        self._tokens = min(BUDGET_CEILING, self._tokens + percent / 100)

    def spend(self) -> bool:
        """Take a token for a retry, or return False where there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def may_repeat(error: CallError, repeat: Repeat) -> bool:
    """Return whether the attempt that ended in `error` may be followed by another."""
    if error.not_run:
        return True
    return repeat is Repeat.IDEMPOTENT and isinstance(error, OutcomeUnknown)


def retry_delay_ms(
    error: CallError,
    attempt: int,
    policy: RetryPolicy,
    repeat: Repeat,
    budget: RetryBudget,
    now: Millis,
    deadline: Millis,
    random: RandomSource,
) -> float | None:
    """Return how long to wait before the next attempt, in milliseconds, or None for no more.

    `attempt` counts the attempts made. The delay has full jitter, and the wait and a useful
    attempt must fit before `deadline`; a token of `budget` is spent only if they do.
    """
    if attempt >= policy.attempts or not may_repeat(error, repeat):
        return None
    delay = random.random() * policy.backoff_ms * 2 ** (attempt - 1)
    if now + delay + LEAST_USEFUL_MS > deadline:
        return None
    return delay if budget.spend() else None
