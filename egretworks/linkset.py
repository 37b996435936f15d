"""Open, keep and close the links of a daemon as planned."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from egretworks.clock import Millis
from egretworks.linkframes import ROLLOUT_PROTOCOL, RolloutEvidence, RolloutStage, Rows
from egretworks.linkhost import LinkHost
from egretworks.linkplan import MAX_NEAR_DAEMONS, RELAYS, LinkPurpose, is_relay, plan_links
from egretworks.outboundlinks import OutboundLink, ping_stretch
from egretworks.quotashare import POOLS
from egretworks.rolloutlinks import RolloutPeer
from egretworks.rowrelay import RowRelay
from egretworks.rows import DaemonRow
from egretworks.types import InstanceId, ServiceName

# Shortest time between two plans, as rows often change together.
MIN_REPLAN_MS = 100
# Planning takes at most one part in this many of the time; how long it takes grows with the rows.
REPLAN_PAUSE_FACTOR = 50
# A link that is planned no longer is closed once that has been so for this long.
LINGER_MS = 5_000
# If no more services than this are configured, all of them are linked before they are called.
MAX_PRELINKED_SERVICES = 16


class LinkSet:
    """Hold the links that this daemon has opened, by the id of the peer.

    `services` returns the services of the configuration in force, and `has_quotas` whether it has
    teams with a quota.
    """

    def __init__(
        self,
        host: LinkHost,
        services: Callable[[], Collection[ServiceName]],
        has_quotas: Callable[[], bool] = lambda: False,
    ) -> None:
        self._host = host
        self._has_quotas = has_quotas
        self._services = services
        self._called_services: set[ServiceName] = set()
        # What the present plan was made from.
        self._planned_services: frozenset[ServiceName] = frozenset()
        self._planned_failed: frozenset[InstanceId] = frozenset()
        self._planned_pools = 0
        self._rows_changed = True
        self._next_plan_at = Millis(0)
        self._unplanned_since_by_id: dict[InstanceId, Millis] = {}
        self._relay = RowRelay(host.rows.own.data_centre, self._is_relay, self)
        self.links_by_id: dict[InstanceId, OutboundLink] = {}

    @property
    def usable_count(self) -> int:
        """Return the number of links that accept offers."""
        return sum(link.usable for link in self.links_by_id.values())

    def serving(self, service: ServiceName) -> list[OutboundLink]:
        """Return the links over which requests for `service` can be offered now."""
        self._called_services.add(service)
        return [
            link for link in self.links_by_id.values() if link.row.serves(service) and link.usable
        ]

    def reachable_rows(self) -> list[DaemonRow]:
        """Return the rows of the linked daemons that answer."""
        now = self._host.clock.now()
        links = self.links_by_id.values()
        return [link.row for link in links if link.usable and not link.estimate(now).suspect]

    def on_rows_changed(self, rows: Iterable[DaemonRow]) -> None:
        """Follow changed rows of other daemons."""
        self._rows_changed = True
        for row in rows:
            link = self.links_by_id.get(row.id)
            if link is None:
                continue
            if row.endpoint != link.row.endpoint:
                link.close()
            if row.incarnation != link.row.incarnation:
                link.reconnect_soon()
            link.row = row

    def pass_on(self, rows: Iterable[DaemonRow]) -> None:
        """Pass on rows that a peer has sent, if this daemon is a relay."""
        self._relay.pass_on(rows)

    def publish(self, row: DaemonRow) -> None:
        """Send the changed row of this daemon to all connected daemons, once to each."""
        frame = Rows([row])
        for peer in self._peers_by_id().values():
            peer.send_frame(frame)

    def send_config(self) -> None:
        """Send the configuration in force to the linked daemons of this data centre."""
        for link in self.links_by_id.values():
            if link.near:
                self._host.config.send_config(link)

    def excuse_silence(self, paused_ms: float) -> None:
        """Do not count the time for which this daemon was paused as silence of its peers."""
        for link in self.links_by_id.values():
            link.excuse_silence(paused_ms)

    def tick(self, now: Millis) -> None:
        """Plan the links again if anything has changed, and do what is due for each at `now`."""
        if now >= self._next_plan_at:
            self._plan_if_changed(now)
        if self._unplanned_since_by_id:
            self._close_unplanned(now)
        for link in list(self.links_by_id.values()):
            link.tick(now)

    def send_stage(self, frame: RolloutStage) -> None:
        """Send a stage of this daemon to all connected daemons, once to each."""
        _send_rollout(frame, self._peers_by_id().values())

    def pass_on_stage(self, frame: RolloutStage, *, from_near: bool) -> None:
        """Pass on a stage that a peer has sent, if this daemon is a relay."""
        if not self._is_relay():
            return
        if from_near:
            _send_rollout(frame, self.relay_peers())
        if not from_near or self.passes_own:
            _send_rollout(frame, self.near_peers())

    def send_evidence(self, frame: RolloutEvidence, leader: InstanceId, *, forward: bool) -> None:
        """Send evidence to the leader, or to a relay on the way there.

        With `forward`, the evidence is that of another daemon.
        """
        peers_by_id = self._peers_by_id()
        rows = self._host.rows
        if leader in peers_by_id:
            _send_rollout(frame, [peers_by_id[leader]])
        elif self._is_relay():
            sender = rows.rows_by_id.get(InstanceId(frame.daemon))
            is_near = sender is not None and sender.data_centre == rows.own.data_centre
            if not forward or is_near:
                _send_rollout(frame, self.relay_peers())
        elif not forward:
            near_ids = sorted(row.id for row in self._near_rows() if row.id in peers_by_id)
            _send_rollout(frame, [peers_by_id[id] for id in near_ids[:RELAYS]])

    @property
    def passes_own(self) -> bool:
        """Return whether not all daemons of this data centre are linked to each other."""
        return len(self._near_rows()) > MAX_NEAR_DAEMONS

    def near_peers(self) -> list[RolloutPeer]:
        """Return the connected daemons of this data centre."""
        near_ids = {row.id for row in self._near_rows()}
        return [peer for id, peer in self._peers_by_id().items() if id in near_ids]

    def relay_peers(self) -> list[RolloutPeer]:
        """Return the linked relays of the other data centres."""
        links = self.links_by_id.values()
        return [link for link in links if link.purpose is LinkPurpose.RELAY]

    def _plan_if_changed(self, now: Millis) -> None:
        failed = frozenset(id for id, link in self.links_by_id.items() if link.failed)
        services = self._wanted_services()
        pools = POOLS if self._has_quotas() else 0
        if (
            not self._rows_changed
            and failed == self._planned_failed
            and services == self._planned_services
            and pools == self._planned_pools
        ):
            return
        self._rows_changed = False
        self._planned_failed, self._planned_services = failed, services
        self._planned_pools = pools
        rows = self._host.rows
        purpose_by_id = plan_links(
            rows.own, rows.rows_by_id.values(), sorted(services), failed.__contains__, pools
        )
        self._apply(purpose_by_id, now)
        took_ms = self._host.clock.now() - now
        self._next_plan_at = Millis(now + max(MIN_REPLAN_MS, took_ms * REPLAN_PAUSE_FACTOR))

    def _apply(self, purpose_by_id: dict[InstanceId, LinkPurpose], now: Millis) -> None:
        for id, purpose in purpose_by_id.items():
            self._unplanned_since_by_id.pop(id, None)
            link = self.links_by_id.get(id)
            if link is None:
                row = self._host.rows.rows_by_id[id]
                self.links_by_id[id] = OutboundLink(self._host, row, purpose)
            else:
                link.purpose = purpose
        for id in self.links_by_id.keys() - purpose_by_id.keys():
            self._unplanned_since_by_id.setdefault(id, now)
        stretch = ping_stretch(link.purpose for link in self.links_by_id.values())
        for link in self.links_by_id.values():
            link.ping_stretch = stretch

    def _close_unplanned(self, now: Millis) -> None:
        for id, since in list(self._unplanned_since_by_id.items()):
            link = self.links_by_id[id]
            if now - since > LINGER_MS and link.idle:
                del self._unplanned_since_by_id[id], self.links_by_id[id]
                link.close()

    def _wanted_services(self) -> frozenset[ServiceName]:
        configured = self._services()
        if len(configured) <= MAX_PRELINKED_SERVICES:
            return frozenset(configured) | self._called_services
        return frozenset(self._called_services)

    def _is_relay(self) -> bool:
        near = self._near_rows()
        return is_relay(self._host.rows.own, near, self._planned_failed.__contains__)

    def _near_rows(self) -> list[DaemonRow]:
        rows = self._host.rows
        return [row for row in rows.rows_by_id.values() if row.data_centre == rows.own.data_centre]

    def _peers_by_id(self) -> dict[InstanceId, RolloutPeer]:
        """Return one end of a link for each connected daemon."""
        peers_by_id: dict[InstanceId, RolloutPeer] = {
            inbound.peer: inbound for inbound in self._host.inbound_links
        }
        for id, link in self.links_by_id.items():
            if link.usable:
                peers_by_id[id] = link
        return peers_by_id


def _send_rollout(frame: RolloutStage | RolloutEvidence, peers: Iterable[RolloutPeer]) -> None:
    for peer in peers:
        if peer.peer_protocol >= ROLLOUT_PROTOCOL:
            peer.send_frame(frame)
