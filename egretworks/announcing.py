"""Record the announcements of local targets, those beside the daemon, and publish them."""

from __future__ import annotations

from typing import Annotated

import eventlet
import msgspec
from msgspec import Meta

from egretworks.blackboard import Blackboard, LocalTarget
from egretworks.clock import Millis, seconds
from egretworks.config import Port
from egretworks.controllers import Links, controller
from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import BadRequest
from egretworks.messages import TargetRow
from egretworks.resources import Name
from egretworks.types import TargetId, TargetState

CHECK_MS = 250


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON document with which a target announces itself.

    Each daemon sends at most `slots` calls at a time to the target. `connections` is the limit over
    all daemons, which share it equally.
    """

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
    except DECODE_ERRORS as error:
        raise BadRequest(f"the announcement can't be read: {error}") from error


def record_announcement(
    board: Blackboard, links: Links, id: TargetId, announcement: Announcement
) -> None:
    """Record the announcement of local target `id`; publish it if it differs from the last one."""
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
        publish_targets(board, links)


def remove_target(board: Blackboard, links: Links, id: TargetId, reason: str) -> None:
    """Remove local target `id`, if it is known, and publish the others.

    `reason` goes to the timeline.
    """
    if board.local_targets_by_id.pop(id, None) is not None:
        board.timeline.record("target_gone", target=id, detail=reason)
        publish_targets(board, links)


def publish_targets(board: Blackboard, links: Links) -> None:
    """Publish all local targets to the other daemons."""
    targets = board.local_targets_by_id.values()
    rows = tuple(sorted((target.row for target in targets), key=lambda row: row.id))
    links.gossip.send(board.membership.set_targets(rows))


@controller("lapse")
def run_lapse(board: Blackboard, links: Links) -> None:
    """Remove local targets whose last announcement is older than `target.lapse_ms`."""
    checked_at = board.clock.now()
    while not board.stopping:
        eventlet.sleep(seconds(CHECK_MS))
        now = board.clock.now()
        # While this process was paused, it read no announcements: the pause does not count towards
        # the expiry of targets.
        paused_ms = now - checked_at - CHECK_MS
        checked_at = now
        if paused_ms > CHECK_MS:
            _postpone_expiry(board, paused_ms)
        _remove_expired(board, links, now)


def _postpone_expiry(board: Blackboard, by_ms: float) -> None:
    for target in board.local_targets_by_id.values():
        target.announced_at = Millis(target.announced_at + by_ms)


def _remove_expired(board: Blackboard, links: Links, now: Millis) -> None:
    for id, target in list(board.local_targets_by_id.items()):
        if now - target.announced_at > board.settings.target.lapse_ms:
            remove_target(board, links, id, "announcements stopped")
