"""Fetch the rows that a peer knows and this daemon does not."""

from __future__ import annotations

from typing import Protocol

from egretworks.linkframes import Frame, RowsRequest
from egretworks.rows import RowTable
from egretworks.streams import Timer, call_later

# Delay before rows are requested: those that are missing may be on their way.
REQUEST_DELAY_MS = 100
# Bytes between data centres are expensive, so a peer elsewhere is asked only if no one else
# has sent the missing rows by then.
FAR_REQUEST_DELAY_MS = 1_000
# At most one peer in this time is asked.
REQUEST_INTERVAL_MS = 200


class MemberPeer(Protocol):
    """Send frames to another daemon."""

    # Whether the peer is in the data centre of this daemon.
    near: bool

    def send_frame(self, frame: Frame) -> None:
        """Send `frame`."""


class MemberSync:
    """Compare digests of the known rows with peers, and request rows when they differ.

    Changed rows are sent at once, so that a difference that lasts comes from a message that was
    lost, or from a daemon that has just started.
    """

    def __init__(self, rows: RowTable) -> None:
        self._rows = rows
        # Set while a request is scheduled, and for the interval after one.
        self._timer: Timer | None = None
        # Whether what is scheduled is a request to a peer in another data centre.
        self._far_scheduled = False

    def on_peer_digests(self, members: int, rows_digest: int, peer: MemberPeer) -> None:
        """Request rows from `peer`, after a delay, if a digest of it differs from ours.

        A peer of an older build sends only that of the `members`, or 0 for both.
        """
        if rows_digest:
            differs = rows_digest != self._rows.digest
        else:
            differs = bool(members) and members != self._rows.members
        if differs and peer.near and self._far_scheduled:
            self._timer.cancel()
            self._end_interval()
        if differs and self._timer is None:
            self._far_scheduled = not peer.near
            delay_ms = REQUEST_DELAY_MS if peer.near else FAR_REQUEST_DELAY_MS
            self._timer = call_later(
                delay_ms, self._request, members, rows_digest, self._rows.digest, peer
            )

    def _request(self, members: int, rows_digest: int, own_before: int, peer: MemberPeer) -> None:
        self._end_interval()
        if rows_digest:
            # Rows that came meanwhile may have been the missing ones. The next ping will tell.
            caught_up = self._rows.digest == rows_digest
            wanted = not caught_up and (peer.near or self._rows.digest == own_before)
        else:
            wanted = members != self._rows.members
        if wanted:
            self._timer = call_later(REQUEST_INTERVAL_MS, self._end_interval)
            peer.send_frame(RowsRequest(self._rows.bucket_digests()))

    def _end_interval(self) -> None:
        self._timer = None
        self._far_scheduled = False
