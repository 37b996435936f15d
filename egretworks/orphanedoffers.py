"""Keep the outcomes of offers whose link broke until the offering daemon queries them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.clock import Clock, Millis
from egretworks.linkframes import Outcome
from egretworks.types import InstanceId

# A daemon that has not queried an outcome by then has answered its callers without it.
RETENTION_MS = 5_000

Reply = Callable[[Outcome], None]


class PeerIncarnation(msgspec.Struct, frozen=True):
    """Identify an incarnation of another daemon, which numbers its offers in ascending order."""

    id: InstanceId
    incarnation: int


class _HeldOutcome(msgspec.Struct):
    """Hold the outcome of an offer, or the callback that awaits it while the request runs."""

    since: Millis
    outcome: Outcome | None = None
    # Set if the offering daemon queried the outcome before there was one.
    reply: Reply | None = None


class OrphanedOffers:
    """Hold the offers that were in flight when their link broke, with their outcomes.

    An offer that is not held here may have run, unless its serial number is higher than all
    received ones: then it never arrived. It cannot arrive later either, because older links from
    the peer are closed before its query is answered.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_serial_by_peer: dict[PeerIncarnation, int] = {}
        self._outcome_by_offer: dict[tuple[PeerIncarnation, int], _HeldOutcome] = {}

    def record_offer(self, peer: PeerIncarnation, serial: int) -> None:
        """Record the serial number of a received offer."""
        self._last_serial_by_peer[peer] = max(serial, self._last_serial_by_peer.get(peer, 0))

    def add(self, peer: PeerIncarnation, serial: int) -> None:
        """Hold an offer whose link has broken; drop those held for `RETENTION_MS` or longer."""
        now = self._clock.now()
        self._outcome_by_offer = {
            offer: held
            for offer, held in self._outcome_by_offer.items()
            if now - held.since < RETENTION_MS
        }
        self._outcome_by_offer[peer, serial] = _HeldOutcome(now)

    def set_outcome(self, peer: PeerIncarnation, serial: int, outcome: Outcome) -> None:
        """Set the outcome of an offer if it is held, and send it if it has been queried."""
        held = self._outcome_by_offer.get((peer, serial))
        if held is None:
            return
        held.outcome = outcome
        if held.reply is not None:
            del self._outcome_by_offer[peer, serial]
            held.reply(outcome)

    def request_outcome(self, peer: PeerIncarnation, serial: int, reply: Reply) -> bool:
        """Call `reply` with the outcome, now or once it is known.

        Returns False, without a call, if the offer is not held.
        """
        held = self._outcome_by_offer.get((peer, serial))
        if held is None:
            return False
        if held.outcome is None:
            held.reply = reply
        else:
            del self._outcome_by_offer[peer, serial]
            reply(held.outcome)
        return True

    def never_received(self, peer: PeerIncarnation, serial: int) -> bool:
        """Return whether `serial` is higher than that of every offer received from `peer`.

        Returns False if no offer from `peer` is known, for example after a restart of this daemon.
        """
        last = self._last_serial_by_peer.get(peer)
        return last is not None and serial > last
