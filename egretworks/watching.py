"""Watch the platform for a data centre, and decide when a daemon is ready."""

from __future__ import annotations

import eventlet

from egretworks.blackboard import Blackboard
from egretworks.clock import seconds
from egretworks.controllers import Links, controller
from egretworks.delivery import Offer, watchers
from egretworks.exceptions import (
    ObjectConflict,
    PlatformError,
    PlatformUnavailable,
    WatchCompacted,
)
from egretworks.ledger import CHANGES
from egretworks.membership import rendezvous
from egretworks.objects import WatchBatch, load
from egretworks.spreading import came_into_force
from egretworks.state import Change
from egretworks.types import NO_VERSION

IDLE_MS = 500
JOIN_GRACE_MS = 1_500
PLATFORM_RETRY_MS = 500
SNAPSHOT_EVERY = 64


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
    """Declare the daemon ready once it has the highest version that it has heard of.

    Without that, an instance that is replaced while its peers lag would fall back behind what its
    predecessor served.
    """
    while not board.ready and not board.stopping:
        version = board.in_force.version
        if version > NO_VERSION and version >= board.membership.highest_version:
            board.ready = True
            board.timeline.record("ready", version=version)
            return
        eventlet.sleep(seconds(20))


def _await_join(board: Blackboard) -> None:
    """Give the join a moment, so that a herd of new daemons doesn't fall upon the platform."""
    if not board.settings.peers.seeds:
        return
    waited = 0.0
    while not board.joined and waited < JOIN_GRACE_MS and not board.stopping:
        eventlet.sleep(seconds(50))
        waited += 50


def _is_watcher(board: Blackboard) -> bool:
    return board.own_id in watchers(board.membership.living(), board.data_centre)


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
    changes = [load(event.value, Change) for event in batch.events if event.value]
    outcomes = [board.in_force.offer(change) for change in sorted(changes, key=lambda c: c.version)]
    came_into_force(board, links, before)
    _snapshot_if_due(board, links, before)
    return Offer.GAP not in outcomes


def _read_all(board: Blackboard, links: Links) -> int:
    """Read what this daemon lacks and return the position to watch from."""
    position = links.store.list(CHANGES, after="~", limit=1).position
    before = board.in_force.version
    if before == NO_VERSION:
        board.in_force.offer_state(links.ledger.snapshot())
    for change in links.ledger.changes_after(board.in_force.version):
        board.in_force.offer(change)
    came_into_force(board, links, before)
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
