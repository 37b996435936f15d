"""Keep what became of requests whose link broke, until the daemon that offered them asks."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.clock import Clock, Millis
from egretworks.linkframes import Outcome
from egretworks.types import InstanceId

# A daemon that hasn't asked by then has given its callers an answer.
KEPT_MS = 5_000

Reply = Callable[[Outcome], None]


class PeerLife(msgspec.Struct, frozen=True):
    """Name one life of another daemon, in which it numbers its offers upwards."""

    id: InstanceId
    incarnation: int


class _Fate(msgspec.Struct):
    since: Millis
    outcome: Outcome | None = None
    # Called with the outcome, once there is one.
    reply: Reply | None = None


class Fates:
    """Follow offers that were open when their link broke.

    What isn't kept may have run, unless its number is above all that have come: no link is left
    then that could still bring it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_serial_by_life: dict[PeerLife, int] = {}
        self._fate_by_offer: dict[tuple[PeerLife, int], _Fate] = {}

    def note_offer(self, life: PeerLife, serial: int) -> None:
        """Note that an offer has come."""
        self._last_serial_by_life[life] = max(serial, self._last_serial_by_life.get(life, 0))

    def adopt(self, life: PeerLife, serial: int) -> None:
        """Keep the outcome of an offer whose link has broken."""
        now = self._clock.now()
        self._fate_by_offer = {
            offer: fate for offer, fate in self._fate_by_offer.items() if now - fate.since < KEPT_MS
        }
        self._fate_by_offer[life, serial] = _Fate(now)

    def settle(self, life: PeerLife, serial: int, outcome: Outcome) -> None:
        """Note the outcome of an offer, if it is kept."""
        fate = self._fate_by_offer.get((life, serial))
        if fate is None:
            return
        fate.outcome = outcome
        if fate.reply is not None:
            del self._fate_by_offer[life, serial]
            fate.reply(outcome)

    def ask(self, life: PeerLife, serial: int, reply: Reply) -> bool:
        """Tell `reply` the outcome, now or later; return False where it isn't kept."""
        fate = self._fate_by_offer.get((life, serial))
        if fate is None:
            return False
        if fate.outcome is None:
            fate.reply = reply
        else:
            del self._fate_by_offer[life, serial]
            reply(fate.outcome)
        return True

    def never_came(self, life: PeerLife, serial: int) -> bool:
        """Return whether an offer surely hasn't come, as it is numbered above all that have."""
        last = self._last_serial_by_life.get(life)
        return last is not None and serial > last
