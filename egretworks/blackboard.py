"""Hold the state that the controllers of a daemon share (the blackboard pattern)."""

from __future__ import annotations

import eventlet
import eventlet.event
import msgspec

from egretworks.clock import Clock, Millis, seconds
from egretworks.config import Settings
from egretworks.delivery import InForce, Refusal, aggregator, watchers
from egretworks.membership import LIVE_STATES, Membership
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
    """An auto-reset event: a successful `wait` clears it."""

    def __init__(self) -> None:
        self._event = eventlet.event.Event()
        self._set = False

    def set(self) -> None:
        """Wake the waiting green threads, or the next one that waits."""
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
    """A target beside this daemon and the time of its last announcement."""

    row: TargetRow
    announced_at: Millis


class KnownTarget(msgspec.Struct, frozen=True):
    """A target anywhere in the mesh and the daemon that published it."""

    row: TargetRow
    member: MemberRow


class Reported(msgspec.Struct, frozen=True):
    """The last report of a daemon of this data centre to the aggregator."""

    version: int
    refused_version: int = 0
    refused_reason: str = ""


class Blackboard:
    """The state of one daemon, which its controllers read and write and wait on.

    All of them run in green threads of one process, so nothing here is locked.
    """

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
        # Whether this daemon has read the highest version from the platform.
        self.confirmed_by_platform = False
        # The version and the refusal last published to the mesh and the timeline.
        self.announced_version = NO_VERSION
        self.announced_refusal: Refusal | None = None
        # Whether the last watch or read as a watcher succeeded; None before the first one. Only the
        # watch controller records it: reads to confirm the highest version (`run_ready`) do not
        # count, and neither does an error that says that the history is compacted.
        self.platform_reached: bool | None = None
        # Set once the daemon may accept calls.
        self.caught_up = Signal()
        self.ready = False
        self.stopping = False
        # Set when there may be a version to pull, above the one in force.
        self.behind = Signal()
        # Set when the version in force or the refusal to report has changed.
        self.version_changed = Signal()
        # Set when a call is queued for a slot at a target.
        self.calls_queued = Signal()
        self._targets_by_service: dict[ServiceName, list[KnownTarget]] = {}
        self._targets_generation = -1

    @property
    def own_id(self) -> InstanceId:
        """Return the id of this daemon."""
        return self.membership.own_id

    @property
    def data_centre(self) -> DataCentre:
        """Return the data centre of this daemon."""
        return DataCentre(self.settings.instance.data_centre)

    def targets_of(self, service: ServiceName) -> list[KnownTarget]:
        """Return the targets of `service` beside daemons that are alive or suspect."""
        if self._targets_generation != self.membership.generation:
            self._targets_by_service = _group_by_service(self.membership)
            self._targets_generation = self.membership.generation
        return self._targets_by_service.get(service, [])


class Roles:
    """Cache which daemons of a data centre have a role, until the member table changes."""

    def __init__(self, membership: Membership, data_centre: DataCentre) -> None:
        self._membership = membership
        self._data_centre = data_centre
        self._chosen_generation = -1
        self._watchers: list[InstanceId] = []
        self._aggregator: InstanceId | None = None

    def watchers(self) -> list[InstanceId]:
        """Return the daemons of the data centre that watch the platform."""
        self._choose()
        return self._watchers

    def aggregator(self) -> InstanceId | None:
        """Return the daemon that writes the status of the data centre, or None."""
        self._choose()
        return self._aggregator

    def _choose(self) -> None:
        if self._chosen_generation == self._membership.generation:
            return
        members = self._membership.live_members()
        self._watchers = watchers(members, self._data_centre)
        self._aggregator = aggregator(members, self._data_centre)
        self._chosen_generation = self._membership.generation


def _other_seeds(settings: Settings) -> list[Address]:
    own = (settings.instance.host, settings.instance.peer_port)
    seeds = [parse_address(text) for text in settings.peers.seeds]
    return [seed for seed in seeds if seed != own]


def parse_address(text: str) -> Address:
    """Parse `text`, an IP address and a port such as "127.0.0.1:7000"."""
    host, _, port = text.rpartition(":")
    return (host, int(port))


def _group_by_service(membership: Membership) -> dict[ServiceName, list[KnownTarget]]:
    targets_by_service: dict[ServiceName, list[KnownTarget]] = {}
    for member in membership.rows_by_id.values():
        if member.state not in LIVE_STATES:
            continue
        for row in member.targets:
            known = KnownTarget(row, member)
            targets_by_service.setdefault(ServiceName(row.service), []).append(known)
    return targets_by_service
