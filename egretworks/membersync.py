"""Fetch the rows of daemons that a peer knows and this one does not."""

from __future__ import annotations

from typing import Protocol

from egretworks.linkframes import Frame, RowsRequest
from egretworks.rows import RowTable
from egretworks.streams import Timer, call_later

# Delay before rows are requested: the daemons that are missing may be about to connect themselves.
REQUEST_DELAY_MS = 200
# At most one peer in this time is asked, as each answer has the rows of all daemons.
REQUEST_INTERVAL_MS = 1_000


class MemberPeer(Protocol):
    """Send frames to another daemon."""

    def send_frame(self, frame: Frame) -> None:
        """Send `frame`."""


class MemberSync:
    """Compare digests of the known daemons with peers, and request rows when they differ.

    Each daemon sends its own row to every peer, so that only rows of daemons that it has no link
    to are missing.
    """

    def __init__(self, rows: RowTable) -> None:
        self._rows = rows
        # Set while a request is scheduled, and for the interval after one.
        self._timer: Timer | None = None

    def on_peer_members(self, members: int, peer: MemberPeer) -> None:
        """Request rows from `peer`, after a delay, if `members`, its digest, differs from ours.

        A digest of 0 comes from an older build, which sends its rows unasked.
        """
        if members and members != self._rows.members and self._timer is None:
            self._timer = call_later(REQUEST_DELAY_MS, self._request, members, peer)

    def _request(self, members: int, peer: MemberPeer) -> None:
        self._timer = None
        if members != self._rows.members:
            self._timer = call_later(REQUEST_INTERVAL_MS, self._end_interval)
            peer.send_frame(RowsRequest())

    def _end_interval(self) -> None:
        self._timer = None
