"""Watch the platform for new versions, and decide when a daemon has caught up."""

from __future__ import annotations

from contextlib import suppress

import eventlet

from egretworks.blackboard import Blackboard
from egretworks.clock import seconds
from egretworks.controllers import Links, controller
from egretworks.delivery import OfferResult, majority_answered
from egretworks.exceptions import (
    ObjectConflict,
    PlatformError,
    PlatformUnavailable,
    WatchCompacted,
)
from egretworks.ledger import CHANGES
from egretworks.objects import WatchBatch
from egretworks.rendezvous import rendezvous
from egretworks.replication import publish_in_force
from egretworks.types import NO_VERSION, Version

ROLE_CHECK_MS = 500
JOIN_GRACE_MS = 1_500
PLATFORM_RETRY_MS = 500
SNAPSHOT_EVERY_VERSIONS = 64
READY_CHECK_MS = 20
# A new daemon whose version is unconfirmed reads the platform after this time plus a random part
# of as much again, so that daemons started together do not all read it at once.
CONFIRM_GRACE_MS = 3_000


@controller("watch")
def run_watch(board: Blackboard, links: Links) -> None:
    """Watch the platform for changes while this daemon is a watcher of its data centre."""
    _wait_for_join(board)
    position: int | None = None
    while not board.stopping:
        if not _is_watcher(board):
            position = None
            eventlet.sleep(seconds(ROLE_CHECK_MS))
            continue
        try:
            position = _watch_once(board, links, position)
            _record_reachability(board, reached=True)
        except WatchCompacted:
            position = None
        except PlatformError as error:
            _record_reachability(board, reached=False, reason=str(error))
            position = None
            eventlet.sleep(seconds(PLATFORM_RETRY_MS * (0.5 + board.random.random())))


@controller("ready")
def run_ready(board: Blackboard, links: Links) -> None:
    """Let the daemon accept calls once it has caught up with the highest version known.

    The highest version has to be confirmed by the platform or by a majority of the seeds.
    Otherwise an instance that is replaced while its peers lag could serve an older version than
    its predecessor did.
    """
    started_at = board.clock.now()
    grace_ms = CONFIRM_GRACE_MS * (1 + board.random.random())
    while not board.stopping:
        version = board.in_force.version
        confirmed = board.confirmed_by_platform or majority_answered(
            board.seeds, board.answered_seeds
        )
        if confirmed and version > NO_VERSION and version >= board.membership.highest_version:
            board.caught_up.set()
            return
        if not confirmed and board.clock.now() - started_at > grace_ms:
            _confirm_from_platform(board, links)
            started_at = board.clock.now()
        eventlet.sleep(seconds(READY_CHECK_MS))


def _confirm_from_platform(board: Blackboard, links: Links) -> None:
    """Read the platform, as too few seeds have answered; do nothing if that fails."""
    with suppress(PlatformError):
        _read_all(board, links)


def _wait_for_join(board: Blackboard) -> None:
    """Wait up to `JOIN_GRACE_MS` for the daemon to join, so that it can pull from peers.

    A daemon that knows no other is a watcher by its own member table: without the wait, many
    daemons started together would all read the platform (thundering herd).
    """
    if not board.settings.peers.seeds:
        return
    waited = 0.0
    while not board.joined and waited < JOIN_GRACE_MS and not board.stopping:
        eventlet.sleep(seconds(50))
        waited += 50


def _is_watcher(board: Blackboard) -> bool:
    return board.own_id in board.roles.watchers()


def _watch_once(board: Blackboard, links: Links, position: int | None) -> int:
    """Apply what the platform has written since `position` and return the next position.

    Without a `position`, or when the watch skipped a version, all changes after the version in
    force are read.
    """
    if position is None:
        return _read_all(board, links)
    batch = links.store.watch(CHANGES, position, board.settings.platform.watch_ms)
    if not _apply_batch(board, links, batch):
        return _read_all(board, links)
    # After an outage the platform may answer from older data, with an earlier position.
    return max(position, batch.position)


def _apply_batch(board: Blackboard, links: Links, batch: WatchBatch) -> bool:
    """Apply the changes of `batch` in order; return False if a version before one is missing."""
    before = board.in_force.version
    # Events of deleted changes carry no value.
    written = sorted((event for event in batch.events if event.value), key=lambda e: e.name)
    outcomes = [
        board.in_force.offer_encoded(Version(int(event.name)), event.value) for event in written
    ]
    publish_in_force(board, links)
    _snapshot_if_needed(board, links, before)
    return OfferResult.GAP not in outcomes


def _read_all(board: Blackboard, links: Links) -> int:
    """Apply all changes that this daemon lacks and return the position to watch from."""
    # Only the position is needed: no change has a name after "~". It is read before the changes, so
    # that the watch from it misses none.
    position = links.store.list(CHANGES, after="~", limit=1).position
    before = board.in_force.version
    if before == NO_VERSION:
        board.in_force.offer_state(links.ledger.snapshot())
    for number, value in links.ledger.encoded_changes_after(board.in_force.version):
        board.in_force.offer_encoded(number, value)
    board.confirmed_by_platform = True
    publish_in_force(board, links)
    return position


def _snapshot_if_needed(board: Blackboard, links: Links, before: int) -> None:
    """Write a snapshot if the last batch passed a multiple of `SNAPSHOT_EVERY_VERSIONS`.

    `before` is the version that was in force before the batch. Only one live member of the whole
    mesh is chosen to write; there is no snapshot if that one is not a watcher.
    """
    version = board.in_force.version
    if version // SNAPSHOT_EVERY_VERSIONS == before // SNAPSHOT_EVERY_VERSIONS:
        return
    member_ids = [row.id for row in board.membership.live_members()]
    if rendezvous(member_ids, "snapshot", 1) != [board.own_id]:
        return
    try:
        links.ledger.write_snapshot(board.in_force.state)
        board.timeline.record("snapshot", version=version)
    except (ObjectConflict, PlatformUnavailable) as error:
        board.timeline.record("snapshot_failed", version=version, detail=error.message)


def _record_reachability(board: Blackboard, *, reached: bool, reason: str = "") -> None:
    if board.platform_reached is reached:
        return
    board.platform_reached = reached
    kind = "platform_reached" if reached else "platform_unreachable"
    board.timeline.record(kind, detail=reason)
