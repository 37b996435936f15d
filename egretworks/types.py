"""Name the ids, states and protocols that the other modules share."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple, NewType, Protocol

from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]

InstanceId = NewType("InstanceId", str)
TargetId = NewType("TargetId", str)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
TicketNumber = NewType("TicketNumber", int)
Version = NewType("Version", int)
CallId = NewType("CallId", str)
OnceKey = NewType("OnceKey", str)
WriterMark = NewType("WriterMark", str)
ETag = NewType("ETag", str)


# An IP number and a port, as sockets take them.
Address = tuple[str, int]


class Endpoint(NamedTuple):
    """Name an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as HOST:PORT."""
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that `text` writes as HOST:PORT, or raise `ValueError`."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} isn't HOST:PORT")
    return Endpoint(host, int(port))


# The version of a mesh in which no ticket has been accepted yet.
NO_VERSION = Version(0)


class TicketState(str, Enum):
    """State where a ticket stands between its operator and the mesh."""

    FILED = "filed"
    ACCEPTING = "accepting"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


class MemberState(str, Enum):
    """State what the other daemons believe of a daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class TargetState(str, Enum):
    """State what a target announces of itself."""

    READY = "ready"
    LEAVING = "leaving"


class WorkClass(str, Enum):
    """Class the work of a route by how long it holds a slot."""

    SHORT = "short"
    LONG = "long"


class Repeat(str, Enum):
    """State whether a call may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class OnceState(str, Enum):
    """State where a once-only call stands."""

    QUEUED = "queued"
    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class RandomSource(Protocol):
    """Supply random numbers, as `random.Random` does."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def randrange(self, stop: int) -> int:
        """Return an integer in [0, stop)."""

    def shuffle(self, values: list) -> None:
        """Shuffle `values` in place."""

    def sample(self, population: list, k: int) -> list:
        """Return `k` distinct elements of `population`."""
