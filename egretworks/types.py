"""Define the identifiers, states and interfaces that several modules share."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple, NewType, Protocol

from msgspec import Meta

# Name of an instance, data centre, service, route or balancing policy.
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]

InstanceId = NewType("InstanceId", str)
TargetId = NewType("TargetId", str)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
TeamName = NewType("TeamName", str)
TicketNumber = NewType("TicketNumber", int)
Version = NewType("Version", int)
CallId = NewType("CallId", str)
OnceKey = NewType("OnceKey", str)
# Unique id of a write, stored with what is written. It shows whether a write whose answer was lost
# took effect.
WriterMark = NewType("WriterMark", str)
# Entity tag of a version of an object on the platform.
ETag = NewType("ETag", str)


# An IP address and a port, as the socket module takes them.
Address = tuple[str, int]


class Endpoint(NamedTuple):
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as HOST:PORT."""
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Parse `text` of the form HOST:PORT, or raise `ValueError`."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not of the form HOST:PORT with a port from 1 to 65535")
    return Endpoint(host, int(port))


# An integer that fits into the frames between daemons. JSON has no bound of its own, and one that
# doesn't fit would fail wherever it is passed on.
MAX_INT64 = 2**63 - 1
Int64 = Annotated[int, Meta(ge=-MAX_INT64 - 1, le=MAX_INT64)]
PositiveInt64 = Annotated[int, Meta(ge=1, le=MAX_INT64)]
Probability = Annotated[float, Meta(ge=0, le=1)]

# The version of a mesh in which no ticket has been accepted yet.
NO_VERSION = Version(0)


class TicketState(str, Enum):
    """State of a ticket.

    The change of an `ACCEPTING` ticket may or may not have been appended yet. `ACCEPTED`,
    `REFUSED` and `WITHDRAWN` are final.
    """

    FILED = "filed"
    ACCEPTING = "accepting"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


class MemberState(str, Enum):
    """State of a daemon in the member tables of the others.

    A `SUSPECT` daemon did not answer a probe, a `DEAD` one did not refute the suspicion in time,
    and one that has `LEFT` stated so itself.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class TargetState(str, Enum):
    """State that a target announces: `LEAVING` targets get no new calls."""

    READY = "ready"
    LEAVING = "leaving"


class WorkClass(str, Enum):
    """Class of a route's calls, by how long they hold a slot."""

    SHORT = "short"
    LONG = "long"


class Repeat(str, Enum):
    """Whether a call may run more than once: yes if it is idempotent, never if it is once-only."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class OnceState(str, Enum):
    """State of the record of a once-only call.

    A `QUEUED` call waits to be sent later, a `CLAIMED` one is being run by the daemon that owns the
    claim, and of an `UNKNOWN` one it is not known whether it ran.
    """

    QUEUED = "queued"
    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class RandomSource(Protocol):
    """Interface of a random number generator, the part of `random.Random` that is used."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def randrange(self, stop: int) -> int:
        """Return an integer in [0, stop)."""

    def shuffle(self, values: list) -> None:
        """Shuffle `values` in place."""

    def sample(self, population: list, k: int) -> list:
        """Return `k` distinct elements of `population`."""
