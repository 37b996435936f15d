"""Watch the platform for a data centre, and decide when a daemon is ready."""

from __future__ import annotations

from contextlib import suppress

import eventlet

from egretworks.blackboard import Blackboard
from egretworks.clock import seconds
from egretworks.controllers import Links, controller
from egretworks.delivery import Offer, most_answered
from egretworks.exceptions import (
    ObjectConflict,
    PlatformError,
    PlatformUnavailable,
    WatchCompacted,
)
from egretworks.ledger import CHANGES
from egretworks.membership import rendezvous
from egretworks.objects import WatchBatch
from egretworks.spreading import came_into_force
from egretworks.types import NO_VERSION, Version

IDLE_MS = 500
JOIN_GRACE_MS = 1_500
PLATFORM_RETRY_MS = 500
SNAPSHOT_EVERY = 64
READY_CHECK_MS = 20
# A new daemon reads the platform itself after this time, spread over as much again.
CONFIRM_GRACE_MS = 3_000


@controller("watch")
def run_watch(board: Blackboard, links: Links) -> None:
    """Watch the platform's changes while this daemon is one of its data centre's watchers."""
    _await_join(board)
    position: int | None = None
    while not board.stopping:
        if not _is_watcher(board):
            position = None
            eventlet.sleep(seconds(IDLE_MS))
            continue
        try:
            position = _watch_once(board, links, position)
            _note_platform(board, reached=True)
        except WatchCompacted:
            position = None
        except PlatformError as error:
            _note_platform(board, reached=False, reason=str(error))
            position = None
            eventlet.sleep(seconds(PLATFORM_RETRY_MS * (0.5 + board.random.random())))


@controller("ready")
def run_ready(board: Blackboard, links: Links) -> None:
    """Let the daemon take calls once it has the highest version that it could have served before.

    An instance that is replaced while its peers lag would otherwise fall back behind what its
    predecessor served. It is told the highest version by the platform or by most of its seeds.
    """
    started_at = board.clock.now()
    patience_ms = CONFIRM_GRACE_MS * (1 + board.random.random())
    while not board.stopping:
        version = board.in_force.version
        confirmed = board.confirmed or most_answered(board.seeds, board.answered_seeds)
        if confirmed and version > NO_VERSION and version >= board.membership.highest_version:
            board.caught_up.set()
            return
        if not confirmed and board.clock.now() - started_at > patience_ms:
            _confirm_by_platform(board, links)
            started_at = board.clock.now()
        eventlet.sleep(seconds(READY_CHECK_MS))


def _confirm_by_platform(board: Blackboard, links: Links) -> None:
    """Read the platform once, where too few of the seeds are there to be asked."""
    with suppress(PlatformError):
        _read_all(board, links)


def _await_join(board: Blackboard) -> None:
    """Give the join a moment, so that a herd of new daemons doesn't fall upon the platform."""
    if not board.settings.peers.seeds:
        return
    waited = 0.0
    while not board.joined and waited < JOIN_GRACE_MS and not board.stopping:
        eventlet.sleep(seconds(50))
        waited += 50


def _is_watcher(board: Blackboard) -> bool:
    return board.own_id in board.roles.watchers()


def _watch_once(board: Blackboard, links: Links, position: int | None) -> int:
    if position is None:
        return _read_all(board, links)
    batch = links.store.watch(CHANGES, position, board.settings.platform.watch_ms)
    if not _apply(board, links, batch):
        return _read_all(board, links)
    # A platform that answers from before an outage may tell of an earlier position.
    return max(position, batch.position)


def _apply(board: Blackboard, links: Links, batch: WatchBatch) -> bool:
    """Offer the changes of a watch in order and return whether none was missing."""
    before = board.in_force.version
    written = sorted((event for event in batch.events if event.value), key=lambda e: e.name)
    outcomes = [
        board.in_force.offer_unread(Version(int(event.name)), event.value) for event in written
    ]
    came_into_force(board, links)
    _snapshot_if_due(board, links, before)
    return Offer.GAP not in outcomes


def _read_all(board: Blackboard, links: Links) -> int:
    """Read what this daemon lacks and return the position to watch from."""
    position = links.store.list(CHANGES, after="~", limit=1).position
    before = board.in_force.version
    if before == NO_VERSION:
        board.in_force.offer_state(links.ledger.snapshot())
    for number, value in links.ledger.written_changes_after(board.in_force.version):
        board.in_force.offer_unread(number, value)
    board.confirmed = True
    came_into_force(board, links)
    return position


def _snapshot_if_due(board: Blackboard, links: Links, before: int) -> None:
    """Write a snapshot every so many versions, from one daemon of the mesh."""
    version = board.in_force.version
    if version // SNAPSHOT_EVERY == before // SNAPSHOT_EVERY:
        return
    living = [row.id for row in board.membership.living()]
    if rendezvous(living, "snapshot", 1) != [board.own_id]:
        return
    try:
        links.ledger.write_snapshot(board.in_force.state)
        board.timeline.record("snapshot", version=version)
    except (ObjectConflict, PlatformUnavailable) as error:
        board.timeline.record("snapshot_failed", version=version, detail=error.message)


def _note_platform(board: Blackboard, *, reached: bool, reason: str = "") -> None:
    if board.platform_reached is reached:
        return
    board.platform_reached = reached
    kind = "platform_reached" if reached else "platform_unreachable"
    board.timeline.record(kind, detail=reason)
