"""Join the mesh, gossip with the other daemons and pull newer versions from them."""

from __future__ import annotations

import eventlet

from egretworks.blackboard import Blackboard
from egretworks.clock import seconds
from egretworks.controllers import Links, controller
from egretworks.delivery import OfferResult, majority_answered, pull_sources
from egretworks.exceptions import PeerError
from egretworks.membership import Outgoing
from egretworks.messages import (
    Datagram,
    MemberRow,
    MembersReply,
    MembersRequest,
    Report,
    SyncReply,
    SyncRequest,
    Update,
    compress,
    decompress,
)
from egretworks.reporting import record_report
from egretworks.types import Address, InstanceId, Version

SYNC = "Sync"
MEMBERS = "Members"
TICK_MS = 200
JOIN_RETRY_MS = 500
PULL_RETRY_MS = 200
SEEDS_AT_A_TIME = 3


def receive(board: Blackboard, message: Datagram) -> list[Outgoing]:
    """Process a datagram and return the datagrams to send in answer.

    An `Update` with an older version than the one in force here is answered with the latter.
    """
    membership = board.membership
    out = membership.handle(message, board.clock.now())
    if isinstance(message, Report):
        record_report(board, message)
    elif isinstance(message, Update) and message.version < board.in_force.version:
        out += _answer_stale_update(board, message)
    if membership.highest_version > board.in_force.version:
        board.behind.set()
    return out


def _answer_stale_update(board: Blackboard, message: Update) -> list[Outgoing]:
    row = board.membership.rows_by_id.get(InstanceId(message.sender))
    if row is None:
        return []
    answer = Update(board.own_id, board.in_force.version)
    return [Outgoing(row.host, row.peer_port, answer)]


def answer_sync(board: Blackboard, request: SyncRequest) -> SyncReply:
    """Return what the requesting daemon needs to catch up with this one."""
    return board.in_force.reply_after(Version(request.after))


def answer_members(board: Blackboard, request: MembersRequest) -> MembersReply:
    """Merge the requesting daemon's row and return the rows of the buckets that differ."""
    membership = board.membership
    rows = membership.rows_that_differ(request.digests)
    membership.merge((request.sender,), board.clock.now())
    return MembersReply(membership.highest_version, compress(rows))


def publish_in_force(board: Blackboard, links: Links) -> None:
    """Publish the version in force and the refusal, each if it is new.

    To be called after a change or state was offered to `board.in_force`. A version is sent to
    random members and recorded in the timeline; a refusal is only recorded. Either triggers a
    report to the aggregator.
    """
    _publish_refusal(board)
    version = board.in_force.version
    # Several controllers apply versions: only the first call for each version publishes it.
    if version == board.announced_version:
        return
    board.announced_version = version
    board.membership.version = version
    board.membership.record_version(board.own_id, version)
    board.timeline.record("in_force", ticket=board.in_force.state.ticket, version=version)
    links.gossip.send(board.membership.version_update())
    board.version_changed.set()


def _publish_refusal(board: Blackboard) -> None:
    refusal = board.in_force.refusal
    if refusal == board.announced_refusal:
        return
    board.announced_refusal = refusal
    if refusal is not None:
        board.timeline.record(
            "refused", ticket=refusal.ticket, version=refusal.version, detail=refusal.reason
        )
        board.version_changed.set()


@controller("tick")
def run_ticks(board: Blackboard, links: Links) -> None:
    """Run the failure detector every `TICK_MS`."""
    while not board.stopping:
        links.gossip.send(board.membership.tick(board.clock.now()))
        eventlet.sleep(seconds(TICK_MS))


@controller("join")
def run_join(board: Blackboard, links: Links) -> None:
    """Exchange members with seeds until the daemon is ready or a majority has answered.

    It starts over whenever this daemon knows no other live member.
    """
    while not board.stopping:
        alone = len(board.membership.live_members()) == 1
        if alone or not (board.ready or majority_answered(board.seeds, board.answered_seeds)):
            unanswered = [s for s in board.seeds if s not in board.answered_seeds]
            _ask_seeds(board, links, board.seeds if alone else unanswered)
        eventlet.sleep(seconds(JOIN_RETRY_MS * (0.5 + board.random.random())))


def _ask_seeds(board: Blackboard, links: Links, seeds: list[Address]) -> None:
    """Exchange members with up to `SEEDS_AT_A_TIME` random `seeds`."""
    for seed in board.random.sample(seeds, min(len(seeds), SEEDS_AT_A_TIME)):
        board.metrics.count("joins")
        if _exchange_members(board, links, seed):
            board.answered_seeds.add(seed)
            board.joined = True
            board.behind.set()


@controller("repair")
def run_repair(board: Blackboard, links: Links) -> None:
    """Run anti-entropy: compare the member table with that of a random live member.

    The interval is `peers.repair_ms` of the settings, with a jitter of 50 % either way.
    """
    while not board.stopping:
        eventlet.sleep(seconds(board.settings.peers.repair_ms * (0.5 + board.random.random())))
        others = [r for r in board.membership.live_members() if r.id != board.own_id]
        if others:
            row = others[board.random.randrange(len(others))]
            _exchange_members(board, links, (row.host, row.peer_port))
        _rejoin_lost_seed(board, links)


def _rejoin_lost_seed(board: Blackboard, links: Links) -> None:
    """Contact a random seed that is not a live member, so that a partitioned mesh heals."""
    live = {(row.host, row.peer_port) for row in board.membership.live_members()}
    lost = [seed for seed in board.seeds if seed not in live]
    if lost:
        _exchange_members(board, links, lost[board.random.randrange(len(lost))])


def _exchange_members(board: Blackboard, links: Links, address: Address) -> bool:
    """Send this daemon's row to the one at `address` and merge the rows that differ there.

    Returns False if the request failed.
    """
    membership = board.membership
    request = MembersRequest(membership.own, membership.digests())
    try:
        reply = links.peers.request(address, MEMBERS, request, MembersReply)
        rows = decompress(reply.packed, tuple[MemberRow, ...])
    except PeerError:
        return False
    membership.merge(rows, board.clock.now())
    membership.highest_version = max(membership.highest_version, Version(reply.version))
    if membership.highest_version > board.in_force.version:
        board.behind.set()
    return True


@controller("pull")
def run_pull(board: Blackboard, links: Links) -> None:
    """Pull changes from a peer while a version above the one in force is known."""
    while not board.stopping:
        board.behind.wait(JOIN_RETRY_MS)
        if board.membership.highest_version <= board.in_force.version:
            continue
        if not _pull_once(board, links):
            eventlet.sleep(seconds(PULL_RETRY_MS * (0.5 + board.random.random())))


def _pull_once(board: Blackboard, links: Links) -> bool:
    """Pull from up to three members that are ahead, until one brings a new version in force.

    Returns whether one did.
    """
    sources = pull_sources(
        board.in_force.version,
        [row for row in board.membership.live_members() if row.id != board.own_id],
        board.membership.versions_by_id,
        board.data_centre,
        board.random,
    )
    return any(_pull_from(board, links, row) for row in sources[:3])


def _pull_from(board: Blackboard, links: Links, row: MemberRow) -> bool:
    before = board.in_force.version
    request = SyncRequest(before, board.own_id)
    try:
        reply = links.peers.request((row.host, row.peer_port), SYNC, request, SyncReply)
    except PeerError:
        return False
    outcome = board.in_force.offer_reply(reply)
    publish_in_force(board, links)
    return outcome is OfferResult.APPLIED
