"""Remember which targets have just refused requests, and tell callers when to return."""

from __future__ import annotations

from egretworks.clock import MILLIS_PER_SECOND, Millis
from egretworks.exceptions import CallError
from egretworks.httpwire import Headers, Response, error_response
from egretworks.types import RandomSource, RouteName

# After this time a refusal says little about the target, as each answer frees a slot.
MAX_REMEMBERED_MS = 40.0
# The same for a target with few slots, where answers are rare: at 2.4 times the usual load, 40 ms
# gave 13 offers per request that ran, this 10.
FEW_SLOTS_REMEMBERED_MS = 120.0
# Expired entries are removed once the number of entries has reached this.
PRUNE_AT_ENTRIES = 2_000
MIN_RETRY_AFTER_MS = 30.0
# Callers honour a Retry-After of up to a third of the time they have left.
MAX_RETRY_AFTER_SHARE = 0.33
# Callers that are refused together are told times that differ by up to this share, so that they do
# not return together.
RETRY_AFTER_JITTER = 0.25


class RecentRefusals:
    """Hold, by target and route, the time until which the gate expects no free slot."""

    def __init__(self) -> None:
        self._busy_until: dict[tuple[str, RouteName], Millis] = {}

    def record(
        self,
        daemon: str,
        route: RouteName,
        retry_after_ms: float,
        now: Millis,
        *,
        few_slots: bool = False,
    ) -> None:
        """Record that `daemon` expects no free slot for `route` within `retry_after_ms`.

        No refusal is remembered for longer than `MAX_REMEMBERED_MS`, or `FEW_SLOTS_REMEMBERED_MS`
        of a target with few slots.
        """
        longest_ms = FEW_SLOTS_REMEMBERED_MS if few_slots else MAX_REMEMBERED_MS
        if len(self._busy_until) >= PRUNE_AT_ENTRIES:
            self._busy_until = {
                key: until for key, until in self._busy_until.items() if until > now
            }
        self._busy_until[daemon, route] = Millis(now + min(retry_after_ms, longest_ms))

    def is_busy(self, daemon: str, route: RouteName, now: Millis) -> bool:
        """Return whether `daemon` would probably refuse a request of `route`."""
        return self._busy_until.get((daemon, route), now) > now


def retry_after_ms(suggested_ms: float, left_ms: float, random: RandomSource) -> float:
    """Return after how many milliseconds a refused caller with `left_ms` left should return.

    `suggested_ms` is what the gate suggests.
    """
    longest_ms = min(suggested_ms, left_ms * MAX_RETRY_AFTER_SHARE)
    return max(MIN_RETRY_AFTER_MS, longest_ms * (1.0 - RETRY_AFTER_JITTER * random.random()))


def refusal_response(error: CallError, after_ms: float) -> Response:
    """Return the response for `error`; 429 and 503 get a Retry-After in seconds with fractions."""
    response = error_response(error)
    if error.http_status not in (429, 503):
        return response
    headers: Headers = [header for header in response.headers if header[0] != b"Retry-After"]
    headers.append((b"Retry-After", b"%.3f" % (after_ms / MILLIS_PER_SECOND)))
    return Response(response.status, headers, response.body)
