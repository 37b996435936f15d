"""Define how links, gates and callers' requests use rollouts, and a stand-in that does nothing."""

from __future__ import annotations

from typing import Protocol

from egretworks.linkframes import Frame, RolloutEvidence, RolloutStage
from egretworks.rows import DaemonRow
from egretworks.types import InstanceId, ServiceName


class RolloutPeer(Protocol):
    """Send the frames of rollouts to one other daemon."""

    # The `LINK_PROTOCOL` of the peer; 0 until it is known.
    peer_protocol: int

    def send_frame(self, frame: Frame) -> None:
        """Send `frame` if the link is up."""


class RolloutLinks(Protocol):
    """Send the frames of rollouts to the daemons that need them."""

    def reachable_rows(self) -> list[DaemonRow]:
        """Return the rows of the linked daemons that answer."""

    def send_stage(self, frame: RolloutStage) -> None:
        """Send a stage of this daemon to all connected daemons."""

    def pass_on_stage(self, frame: RolloutStage, *, from_near: bool) -> None:
        """Pass on a stage that a peer has sent, if this daemon is a relay."""

    def send_evidence(self, frame: RolloutEvidence, leader: InstanceId, *, forward: bool) -> None:
        """Send evidence to the leader, or to a relay on the way there.

        With `forward`, the evidence is that of another daemon.
        """


class VersionedDestination(Protocol):
    """Describe a destination by the version of its target."""

    name: InstanceId

    @property
    def version(self) -> str:
        """Return the version of the target; empty if it is unknown."""


class VersionedTarget(Protocol):
    """Describe the local target by its service and version."""

    service: ServiceName
    version: str


class CallVersions(Protocol):
    """Select the versions to which one request may be offered."""

    def allowed(
        self, destinations: list[VersionedDestination], *, first: bool
    ) -> list[VersionedDestination]:
        """Return those of `destinations` to which the request may be offered.

        Only the `first` offer of a request goes to an unproved version.
        """


class NoRollouts:
    """Stand in for `Rollouts` where versions don't matter."""

    def begin_call(self, service: ServiceName) -> CallVersions | None:
        """Return None, as each version may be used."""

    def on_not_serving(self, service: ServiceName, daemon: InstanceId) -> None:
        """Do nothing."""

    def admits(self, target: VersionedTarget) -> bool:
        """Return True."""
        return True

    def take(self, target: VersionedTarget) -> bool:
        """Return True."""
        return True

    def on_answer(
        self, target: VersionedTarget, route: str, took_ms: float, *, failed: bool
    ) -> None:
        """Do nothing."""

    def on_lost(self, target: VersionedTarget, route: str, took_ms: float) -> None:
        """Do nothing."""

    def on_link(self, peer: RolloutPeer) -> None:
        """Do nothing."""

    def on_stage(self, stage: RolloutStage, *, near: bool) -> None:
        """Do nothing."""

    def on_evidence(self, evidence: RolloutEvidence) -> None:
        """Do nothing."""


NO_ROLLOUTS = NoRollouts()
