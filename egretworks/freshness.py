"""Prove how recently the configuration in force was the newest one in the platform's store."""

from __future__ import annotations

from collections.abc import Callable

from egretworks.clock import Clock, Millis
from egretworks.types import Version

# Share of the time in which a revoked key must stop working for which a proof is good. The rest
# covers clocks that run at different speeds.
VALID_SHARE = 0.9
# A daemon whose proof is older than this share of that time reads the store itself.
RENEW_SHARE = 0.6
# A key that is unknown to a daemon with an older proof than this may have been added meanwhile.
UNKNOWN_KEY_PROOF_MS = 2_000.0


class RevocationBound:
    """Hold the time in which a revoked key must stop working, if it is bounded at all.

    `revoke_ms` returns that time in milliseconds, or None.
    """

    def __init__(self, revoke_ms: Callable[[], float | None]) -> None:
        self._revoke_ms = revoke_ms

    def allows(self, proof_age_ms: float | None) -> bool:
        """Return whether a key may be accepted with a proof of this age; None if there is none."""
        revoke_ms = self._revoke_ms()
        if revoke_ms is None:
            return True
        return proof_age_ms is not None and proof_age_ms < revoke_ms * VALID_SHARE

    def renew_after_ms(self) -> float | None:
        """Return the age from which a daemon renews its proof itself; None if it needs none."""
        revoke_ms = self._revoke_ms()
        return None if revoke_ms is None else revoke_ms * RENEW_SHARE


class ConfigFreshness:
    """Hold the newest proof that the configuration in force was the newest one in the store.

    A proof is the time of a read of the store, or an earlier one. It passes to another daemon as
    an age, in the answer to a ping: it dates from when that ping was sent, less the age. So it is
    never taken for younger than it is, however long the answer takes, and clocks aren't compared.
    """

    def __init__(self, clock: Clock, version: Callable[[], Version]) -> None:
        """`version` returns the version in force."""
        self._clock = clock
        self._version = version
        self._proved_at: Millis | None = None

    def prove(self, version: Version, at: Millis) -> None:
        """Record that the newest version in the store was `version` at `at`.

        That proves nothing about an older version in force.
        """
        if version <= self._version() and (self._proved_at is None or at > self._proved_at):
            self._proved_at = at

    def age_ms(self) -> float | None:
        """Return how old the newest proof is, or None if there is none."""
        if self._proved_at is None:
            return None
        return self._clock.now() - self._proved_at
