"""Hold what the controllers of a daemon know, for all of them to read and write."""

from __future__ import annotations

import eventlet
import eventlet.event
import msgspec

from egretworks.clock import Clock, Millis, seconds
from egretworks.config import Settings
from egretworks.delivery import InForce, Refusal, aggregator, watchers
from egretworks.membership import LIVING, Membership
from egretworks.messages import MemberRow, TargetRow
from egretworks.metrics import Metrics
from egretworks.timeline import Timeline
from egretworks.types import (
    NO_VERSION,
    Address,
    DataCentre,
    InstanceId,
    RandomSource,
    ServiceName,
    TargetId,
)


class Signal:
    """Wake the controllers that wait for something to change."""

    def __init__(self) -> None:
        self._event = eventlet.event.Event()
        self._set = False

    def set(self) -> None:
        """Wake who waits, or the next who does."""
        if not self._set:
            self._set = True
            self._event.send()

    def wait(self, timeout_ms: float) -> bool:
        """Wait up to `timeout_ms` and return whether the signal was set."""
        with eventlet.Timeout(seconds(timeout_ms), False):
            self._event.wait()
        was_set = self._set
        if was_set:
            self._set = False
            self._event = eventlet.event.Event()
        return was_set


class LocalTarget(msgspec.Struct):
    """Hold a target beside this daemon and when it last announced itself."""

    row: TargetRow
    heard_at: Millis


class KnownTarget(msgspec.Struct, frozen=True):
    """Hold a target anywhere in the mesh and the daemon that vouches for it."""

    row: TargetRow
    member: MemberRow


class Reported(msgspec.Struct, frozen=True):
    """Hold what a daemon of this data centre reported to its aggregator."""

    version: int
    refused_version: int = 0
    refused_reason: str = ""


class Blackboard:
    """Share the daemon's state between its controllers."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: RandomSource,
        membership: Membership,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.membership = membership
        self.timeline = timeline
        self.metrics = metrics
        self.in_force = InForce()
        self.local_targets_by_id: dict[TargetId, LocalTarget] = {}
        self.reports_by_id: dict[InstanceId, Reported] = {}
        self.roles = Roles(membership, self.data_centre)
        self.joined = False
        # The other daemons named in the settings, and those that have answered this one.
        self.seeds = _other_seeds(settings)
        self.answered_seeds: set[Address] = set()
        # Whether the platform has told this daemon the highest version.
        self.confirmed = False
        # What the others and the time line have been told.
        self.announced_version = NO_VERSION
        self.announced_refusal: Refusal | None = None
        # Unknown until this daemon has tried: only watchers do.
        self.platform_reached: bool | None = None
        self.caught_up = Signal()
        self.ready = False
        self.stopping = False
        self.behind = Signal()
        self.version_changed = Signal()
        self.calls_wait = Signal()
        self._targets_by_service: dict[ServiceName, list[KnownTarget]] = {}
        self._targets_seen_at = -1

    @property
    def own_id(self) -> InstanceId:
        """Return the id of this daemon."""
        return self.membership.own_id

    @property
    def data_centre(self) -> DataCentre:
        """Return the data centre of this daemon."""
        return DataCentre(self.settings.instance.data_centre)

    def targets_of(self, service: ServiceName) -> list[KnownTarget]:
        """Return the targets of `service` whose daemons aren't known to be gone."""
        if self._targets_seen_at != self.membership.changes:
            self._targets_by_service = _by_service(self.membership)
            self._targets_seen_at = self.membership.changes
        return self._targets_by_service.get(service, [])


class Roles:
    """Remember which daemons of the own data centre have a role, until the members change."""

    def __init__(self, membership: Membership, data_centre: DataCentre) -> None:
        self._membership = membership
        self._data_centre = data_centre
        self._chosen_at = -1
        self._watchers: list[InstanceId] = []
        self._aggregator: InstanceId | None = None

    def watchers(self) -> list[InstanceId]:
        """Return the daemons that watch the platform."""
        self._choose()
        return self._watchers

    def aggregator(self) -> InstanceId | None:
        """Return the daemon that writes the status."""
        self._choose()
        return self._aggregator

    def _choose(self) -> None:
        if self._chosen_at == self._membership.changes:
            return
        living = self._membership.living()
        self._watchers = watchers(living, self._data_centre)
        self._aggregator = aggregator(living, self._data_centre)
        self._chosen_at = self._membership.changes


def _other_seeds(settings: Settings) -> list[Address]:
    own = (settings.instance.host, settings.instance.peer_port)
    seeds = [parse_address(text) for text in settings.peers.seeds]
    return [seed for seed in seeds if seed != own]


def parse_address(text: str) -> Address:
    """Return `text`, an IP number and a port, as a pair."""
    host, _, port = text.rpartition(":")
    return (host, int(port))


def _by_service(membership: Membership) -> dict[ServiceName, list[KnownTarget]]:
    targets_by_service: dict[ServiceName, list[KnownTarget]] = {}
    for member in membership.rows_by_id.values():
        if member.state not in LIVING:
            continue
        for row in member.targets:
            known = KnownTarget(row, member)
            targets_by_service.setdefault(ServiceName(row.service), []).append(known)
    return targets_by_service
