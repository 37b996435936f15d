"""Define what the parts of a daemon need of the ends of its links."""

from __future__ import annotations

from typing import Protocol

from egretworks.configholder import ConfigPeer
from egretworks.membersync import MemberPeer
from egretworks.types import InstanceId


class LinkEnd(ConfigPeer, MemberPeer, Protocol):
    """An end of a link, over which rows and configurations are exchanged with the peer."""


class InboundEnd(LinkEnd, Protocol):
    """An open inbound end of a link."""

    @property
    def peer(self) -> InstanceId:
        """Return the id of the peer daemon, empty until its `Hello` has arrived."""

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait to be sent, in the queue or the connection."""

    def abort(self) -> None:
        """Close the link now and handle its requests as if the connection had been lost."""

    def close(self) -> None:
        """Close the link once all pending data has been sent."""
