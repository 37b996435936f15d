"""Take in what the target beside a daemon announces, and spread it."""

from __future__ import annotations

from typing import Annotated

import eventlet
import msgspec
from msgspec import Meta

from egretworks.blackboard import Blackboard, LocalTarget
from egretworks.clock import Millis, seconds
from egretworks.config import Port
from egretworks.controllers import Links, controller
from egretworks.exceptions import BadRequest
from egretworks.messages import TargetRow
from egretworks.resources import Name
from egretworks.types import TargetId, TargetState

CHECK_MS = 250


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Carry what a target says of itself."""

    service: Name
    host: Annotated[str, Meta(pattern=r"^[0-9.]+$")]
    port: Port
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    connections: Annotated[int, Meta(ge=1, le=100_000)]
    state: TargetState = TargetState.READY


def read_announcement(data: bytes) -> Announcement:
    """Return the announcement in `data`, or raise `BadRequest`."""
    try:
        return msgspec.json.decode(data, type=Announcement)
    except msgspec.MsgspecError as error:
        raise BadRequest(f"the announcement can't be read: {error}") from error


def take_announcement(
    board: Blackboard, links: Links, id: TargetId, announcement: Announcement
) -> None:
    """Note what target `id` announces, and spread it if it is new."""
    row = TargetRow(
        id=id,
        service=announcement.service,
        host=announcement.host,
        port=announcement.port,
        slots=announcement.slots,
        connections=announcement.connections,
        state=announcement.state,
    )
    held = board.local_targets_by_id.get(id)
    board.local_targets_by_id[id] = LocalTarget(row, board.clock.now())
    if held is None or held.row != row:
        board.timeline.record(f"target_{row.state.value}", target=id, detail=row.service)
        spread_targets(board, links)


def remove_target(board: Blackboard, links: Links, id: TargetId, reason: str) -> None:
    """Take target `id` out of the mesh."""
    if board.local_targets_by_id.pop(id, None) is not None:
        board.timeline.record("target_gone", target=id, detail=reason)
        spread_targets(board, links)


def spread_targets(board: Blackboard, links: Links) -> None:
    """Tell the other daemons of the targets beside this one."""
    targets = board.local_targets_by_id.values()
    rows = tuple(sorted((target.row for target in targets), key=lambda row: row.id))
    links.gossip.send(board.membership.set_targets(rows))


@controller("lapse")
def run_lapse(board: Blackboard, links: Links) -> None:
    """Take targets out that have stopped announcing themselves."""
    checked_at = board.clock.now()
    while not board.stopping:
        eventlet.sleep(seconds(CHECK_MS))
        now = board.clock.now()
        # A daemon that was itself paused gives its target time to be heard again.
        paused_ms = now - checked_at - CHECK_MS
        checked_at = now
        if paused_ms > CHECK_MS:
            _extend(board, paused_ms)
        _remove_lapsed(board, links, now)


def _extend(board: Blackboard, by_ms: float) -> None:
    for target in board.local_targets_by_id.values():
        target.heard_at = Millis(target.heard_at + by_ms)


def _remove_lapsed(board: Blackboard, links: Links, now: Millis) -> None:
    for id, target in list(board.local_targets_by_id.items()):
        if now - target.heard_at > board.settings.target.lapse_ms:
            remove_target(board, links, id, "announcements stopped")
