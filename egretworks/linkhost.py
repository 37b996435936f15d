"""Define the parts of a daemon that both ends of a link use."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.bytebudget import ByteBudget
from egretworks.calllog import CallLog
from egretworks.clock import Clock, Millis
from egretworks.configholder import ConfigHolder
from egretworks.freshness import ConfigFreshness
from egretworks.gate import Gate
from egretworks.linkends import InboundEnd, LinkEnd
from egretworks.linkframes import (
    DELTA_PROTOCOL,
    LINK_PROTOCOL,
    ConfigCopy,
    ConfigDelta,
    ConfigRequest,
    Frame,
    Hello,
    Ping,
    Pong,
    QuotaGrant,
    QuotaRequest,
    RolloutEvidence,
    RolloutStage,
    Rows,
    RowsRequest,
)
from egretworks.linkline import LinkLine
from egretworks.membersync import MemberSync
from egretworks.metrics import Metrics
from egretworks.orphanedoffers import OrphanedOffers
from egretworks.rolloutlinks import NO_ROLLOUTS, NoRollouts
from egretworks.rows import DaemonRow, RowTable, TargetRow
from egretworks.timeline import Timeline
from egretworks.types import InstanceId, Version


class LinkHost(msgspec.Struct, frozen=True):
    """Give links access to the daemon's state and notify the daemon of changed rows."""

    clock: Clock
    timeline: Timeline
    metrics: Metrics
    calls: CallLog
    rows: RowTable
    member_sync: MemberSync
    config: ConfigHolder
    gate: Gate
    # Counts the body bytes of requests in progress, from local callers and from other daemons.
    body_budget: ByteBudget
    orphaned_offers: OrphanedOffers
    # Open inbound links.
    inbound_links: set[InboundEnd]
    # Called with the rows of other daemons that are new or newer than the known ones.
    on_rows_changed: Callable[[list[DaemonRow]], None]
    # Called with those of them that a peer has sent, and that others may lack.
    on_rows_received: Callable[[list[DaemonRow]], None]
    # Called with this daemon's row if merging gave it a new incarnation.
    on_own_row_changed: Callable[[DaemonRow], None]
    # Called with the target that an earlier run of this daemon last described.
    on_earlier_target: Callable[[TargetRow], None]
    freshness: ConfigFreshness
    # Shared by all links for frames that are sent in parts.
    line: LinkLine
    # Called with what another daemon sends as the client or the keeper of a pool of quota tokens.
    on_quota: Callable[[QuotaRequest | QuotaGrant, LinkEnd, InstanceId], None] = (
        lambda frame, link, peer: None
    )
    rollouts: NoRollouts = NO_ROLLOUTS

    def hello(self, peer: InstanceId, peer_protocol: int = LINK_PROTOCOL) -> Hello:
        """Return the frame that opens a link to `peer`, whose frames are of `peer_protocol`.

        The peer gets its own row back, as a daemon that was restarted has forgotten it.
        """
        if peer_protocol < DELTA_PROTOCOL:
            rows = self.rows.all_rows()
        else:
            rows = [self.rows.rows_by_id[peer]] if peer in self.rows.rows_by_id else []
        return Hello(
            self.rows.own,
            self.config.version,
            rows,
            self.clock.now(),
            LINK_PROTOCOL,
            self.rows.members,
            self.rows.digest,
        )

    def proof_age_ms(self) -> float | None:
        """Return the age of the proof for the version in force, if there are keys to revoke."""
        return None if self.config.teams is None else self.freshness.age_ms()

    def receive_proof(self, pong: Pong) -> None:
        """Take over the proof in the answer to a ping; it dates from when that ping was sent."""
        if pong.proof_age_ms is not None and pong.ping_sent_at is not None:
            at = Millis(pong.ping_sent_at - pong.proof_age_ms)
            self.freshness.prove(Version(pong.config_version), at)

    def compare_state(self, frame: Hello | Ping | Pong, link: LinkEnd) -> None:
        """Request what the peer has, as `frame` shows, and this daemon has not."""
        self.config.on_peer_version(frame.config_version, link)
        self.member_sync.on_peer_digests(frame.members, frame.rows_digest, link)

    def handle_state(self, frame: Frame, link: LinkEnd, peer: InstanceId) -> None:
        """Handle a frame about rows, the configuration or quotas; ignore others."""
        if isinstance(frame, Rows):
            self.receive_rows(frame.rows)
        elif isinstance(frame, RowsRequest):
            link.send_frame(Rows(self.rows.rows_that_differ(frame.bucket_digests)))
        elif isinstance(frame, ConfigCopy):
            self.config.apply_copy(frame, peer)
        elif isinstance(frame, ConfigDelta):
            self.config.apply_delta(frame, link, peer)
        elif isinstance(frame, ConfigRequest):
            self.config.send_config(link, Version(frame.known_version))
        elif isinstance(frame, QuotaRequest | QuotaGrant):
            self.on_quota(frame, link, peer)
        elif isinstance(frame, RolloutStage):
            self.rollouts.on_stage(frame, near=link.near)
        elif isinstance(frame, RolloutEvidence):
            self.rollouts.on_evidence(frame)

    def receive_rows(self, rows: list[DaemonRow]) -> None:
        """Merge `rows`, which a peer has sent, and notify the daemon of what changed."""
        changed = self.merge_rows(rows)
        if changed:
            self.on_rows_received(changed)

    def merge_rows(self, rows: list[DaemonRow]) -> list[DaemonRow]:
        """Merge `rows`, notify the daemon of what changed in other rows, and return that."""
        own, earlier_target = self.rows.own, self.rows.earlier_target
        changed = self.rows.merge(rows)
        if self.rows.earlier_target not in (None, earlier_target):
            self.on_earlier_target(self.rows.earlier_target)
        if changed:
            self.on_rows_changed(changed)
        if self.rows.own is not own:
            self.on_own_row_changed(self.rows.own)
        return changed
