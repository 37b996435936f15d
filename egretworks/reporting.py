"""Report the version in force to the aggregator, which writes its data centre's status."""

from __future__ import annotations

import logging

import eventlet
import msgspec

from egretworks.blackboard import Blackboard, Reported
from egretworks.clock import seconds
from egretworks.controllers import Links, controller
from egretworks.exceptions import ObjectNotFound, PlatformError
from egretworks.membership import Outgoing
from egretworks.messages import MemberRow, Report, target_label
from egretworks.objects import ObjectStore, dump
from egretworks.operatorpages import STATUS, CentreStatus, MemberStatus
from egretworks.types import InstanceId, Version

REPORT_EVERY_MS = 5_000
WRITE_EVERY_MS = 1_000
# The status lists at most this many daemons, those with the lowest versions first.
MAX_LISTED_MEMBERS = 64

log = logging.getLogger(__name__)


def record_report(board: Blackboard, report: Report) -> None:
    """Record the report of a daemon of this data centre."""
    board.reports_by_id[InstanceId(report.sender)] = Reported(
        report.version, report.refused_version, report.refused_reason
    )


@controller("report")
def run_report(board: Blackboard, links: Links) -> None:
    """Report to the aggregator on each new version or refusal, at least every `REPORT_EVERY_MS`."""
    while not board.stopping:
        board.version_changed.wait(REPORT_EVERY_MS)
        chosen = board.roles.aggregator()
        row = board.membership.rows_by_id.get(chosen) if chosen else None
        if row is None:
            continue
        report = _own_report(board)
        if row.id == board.own_id:
            record_report(board, report)
        else:
            links.gossip.send([Outgoing(row.host, row.peer_port, report)])


@controller("status")
def run_status(board: Blackboard, links: Links) -> None:
    """Write the data centre's status whenever it changes, while this daemon is the aggregator."""
    written: CentreStatus | None = None
    while not board.stopping:
        eventlet.sleep(seconds(WRITE_EVERY_MS * (0.75 + 0.5 * board.random.random())))
        if board.roles.aggregator() != board.own_id:
            written = None
            continue
        status = centre_status(board)
        if written is not None and _equal_but_for_time(status, written):
            continue
        try:
            _overwrite_status(links.store, status)
            written = status
        except PlatformError as error:
            log.info("the status was not written: %s", error.message)
            written = None


def centre_status(board: Blackboard) -> CentreStatus:
    """Return the status of this daemon's data centre as far as this daemon knows it."""
    rows = [r for r in board.membership.live_members() if r.data_centre == board.data_centre]
    members = sorted((_member_status(board, row) for row in rows), key=lambda m: m.version)
    versions = [member.version for member in members]
    return CentreStatus(
        data_centre=board.data_centre,
        written_by=board.own_id,
        written_at_ms=board.clock.wall(),
        daemons=len(members),
        lowest_version=min(versions),
        highest_version=max(versions),
        members=tuple(members[:MAX_LISTED_MEMBERS]),
    )


def _member_status(board: Blackboard, row: MemberRow) -> MemberStatus:
    id = InstanceId(row.id)
    reported = board.reports_by_id.get(id, Reported(0))
    gossiped = board.membership.versions_by_id.get(id, Version(0))
    version = board.in_force.version if id == board.own_id else max(reported.version, gossiped)
    refused = reported if reported.refused_version > version else Reported(version)
    return MemberStatus(
        id=row.id,
        host=row.host,
        operator_port=row.operator_port,
        state=row.state.value,
        version=version,
        targets=tuple(target_label(target) for target in row.targets),
        refused_version=refused.refused_version,
        refused_reason=refused.refused_reason,
    )


def _own_report(board: Blackboard) -> Report:
    refusal = board.in_force.refusal
    if refusal is None:
        return Report(board.own_id, board.in_force.version)
    return Report(board.own_id, board.in_force.version, refusal.version, refusal.reason)


def _equal_but_for_time(status: CentreStatus, written: CentreStatus) -> bool:
    return msgspec.structs.replace(status, written_at_ms=written.written_at_ms) == written


def _overwrite_status(store: ObjectStore, status: CentreStatus) -> None:
    """Create or overwrite the stored status, or raise `ObjectConflict` if another write came first.

    Two aggregators at the same time do no harm, as each writes the status of the same data centre;
    but the one that is being replaced may have written what it knew before.
    """
    try:
        current = store.read(STATUS, status.data_centre)
    except ObjectNotFound:
        store.create(STATUS, status.data_centre, dump(status))
        return
    store.update(STATUS, status.data_centre, dump(status), current.etag)
