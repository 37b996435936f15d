"""Pass changed rows on between data centres, as a relay does for the daemons of its own."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from egretworks.linkframes import Frame, Rows
from egretworks.rows import DaemonRow
from egretworks.streams import Timer, call_later
from egretworks.types import DataCentre, InstanceId

# Changed rows are collected for this long, as many change at once when a service is replaced.
COLLECT_MS = 20


class RowPeer(Protocol):
    """Send frames to another daemon."""

    def send_frame(self, frame: Frame) -> None:
        """Send `frame` if the link is up."""


class RelayPeers(Protocol):
    """Return the daemons to which a relay passes rows on."""

    @property
    def passes_own(self) -> bool:
        """Return whether not all daemons of this data centre are linked to each other."""

    def near_peers(self) -> Iterable[RowPeer]:
        """Return the linked daemons of this data centre."""

    def relay_peers(self) -> Iterable[RowPeer]:
        """Return the linked relays of the other data centres."""


class RowRelay:
    """Collect rows that peers have sent and pass them on in one frame.

    The owner of a row sends it to every daemon that it has a link to. A relay that receives it
    passes it on to the relays of other data centres, and they to the daemons there.
    """

    def __init__(
        self, own_data_centre: DataCentre, is_relay: Callable[[], bool], peers: RelayPeers
    ) -> None:
        self._own_data_centre = own_data_centre
        self._is_relay = is_relay
        self._peers = peers
        self._collected_by_id: dict[InstanceId, DaemonRow] = {}
        self._timer: Timer | None = None

    def pass_on(self, rows: Iterable[DaemonRow]) -> None:
        """Collect `rows`, which a peer has sent and which were new here, if this is a relay."""
        if not self._is_relay():
            return
        self._collected_by_id.update((row.id, row) for row in rows)
        if self._collected_by_id and self._timer is None:
            self._timer = call_later(COLLECT_MS, self._send)

    def _send(self) -> None:
        self._timer = None
        collected, self._collected_by_id = self._collected_by_id, {}
        rows = list(collected.values())
        own = [row for row in rows if row.data_centre == self._own_data_centre]
        _send_rows(own, self._peers.relay_peers())
        if not self._peers.passes_own:
            rows = [row for row in rows if row.data_centre != self._own_data_centre]
        _send_rows(rows, self._peers.near_peers())


def _send_rows(rows: list[DaemonRow], peers: Iterable[RowPeer]) -> None:
    if rows:
        frame = Rows(rows)
        for peer in peers:
            peer.send_frame(frame)
