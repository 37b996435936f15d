"""Measure how memory, processor time and message sizes grow with the size of the state.

Everything runs in one process and without a network.
"""

from __future__ import annotations

import gc
import random
import time
from collections.abc import Callable

import msgspec

from egretworks.clock import Millis
from egretworks.delivery import InForce, aggregator, watchers
from egretworks.membership import Membership, Outgoing
from egretworks.messages import MemberRow, MembersReply, Ping, TargetRow, Update, compress, encode
from egretworks.once import Answer as OnceAnswer
from egretworks.once import Claim, Shard, settle_done, try_claim
from egretworks.resources import Match, Route, Service, TicketBody
from egretworks.state import MeshState, change_for
from egretworks.statecoding import encode_state
from egretworks.types import (
    DataCentre,
    InstanceId,
    MemberState,
    OnceKey,
    TicketNumber,
    Version,
    WriterMark,
)
from measure.figures import Figure, summarize

MEMBER_COUNTS = (2_000, 8_000, 24_000)
DATA_CENTRES = 12
SERVICES = 1_400
ROUTES_PER_SERVICE = 3
ROUNDS = 5


def resident_kb() -> int:
    """Return this process's resident memory in kilobytes."""
    with open("/proc/self/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


def processor_us(work: Callable[[], object], times: int) -> list[float]:
    """Return for each round the processor time of one call of `work`, in microseconds.

    A round is `times` calls.
    """
    rounds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(times):
            work()
        rounds.append((time.process_time() - started) / times * 1e6)
    return rounds


def make_row(number: int) -> MemberRow:
    """Return the row of a daemon with one target."""
    target = TargetRow(
        f"service-{number % SERVICES}-{number}",
        f"service-{number % SERVICES}",
        "10.0.0.1",
        8_000,
        12,
        130,
    )
    return MemberRow(
        f"instance-{number}",
        f"dc-{number % DATA_CENTRES}",
        f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        7_000,
        7_001,
        1_796_000_000_000 + number,
        3,
        targets=(target,),
    )


def make_body(number: int, service_count: int) -> TicketBody:
    """Return a ticket with `service_count` services and their routes.

    With 8 services it is about 4 KB of JSON.
    """
    names = [f"service-{number + index}" for index in range(service_count)]
    routes = [
        Route(
            name=f"{name}-route-{index}",
            service=name,
            match=Match(path_prefix=f"/{name}/part-{index}", methods=("GET",)),
        )
        for name in names
        for index in range(ROUTES_PER_SERVICE)
    ]
    services = tuple(Service(name=name) for name in names)
    return TicketBody(title="measured", services=services, routes=tuple(routes))


def measure_members() -> list[Figure]:
    """Measure the member table: its memory, gossip, choices of members and comparison."""
    figures = []
    for count in MEMBER_COUNTS:
        gc.collect()
        before = resident_kb()
        table = Membership(make_row(0), random.Random(1))
        table.merge([make_row(number) for number in range(count)], Millis(0))
        gc.collect()
        figures.append(summarize(f"members.{count}.memory", "KB", [resident_kb() - before]))
        table._changed_ids.clear()
        table._transmissions_by_id.clear()
        figures += _measure_table(table, count)
    return figures


def _measure_table(table: Membership, count: int) -> list[Figure]:
    now = [0.0]

    def one_second() -> list[Outgoing]:
        out = []
        for _ in range(10):
            now[0] += 100
            out += table.tick(Millis(now[0]))
            # Ends the probe as an acknowledgement would, so that no member becomes suspect.
            table._probe = None
        return out

    sender = f"instance-{count // 2}"
    ping = Ping(1, sender, 7)
    data_centre = DataCentre("dc-1")
    serial = [100]

    def handle_update() -> None:
        serial[0] += 1
        row = make_row(count // 3)
        state = (MemberState.ALIVE, MemberState.SUSPECT)[serial[0] % 2]
        changed = msgspec.structs.replace(row, serial=serial[0], state=state)
        table.handle(Update(sender, 7, (changed,)), Millis(now[0]))

    name = f"members.{count}"
    reply = MembersReply(7, compress(tuple(table.rows_by_id.values())))
    return [
        summarize(f"{name}.second_of_ticks", "us", processor_us(one_second, 20)),
        summarize(
            f"{name}.answer_a_ping",
            "us",
            processor_us(lambda: table.handle(ping, Millis(now[0])), 500),
        ),
        summarize(f"{name}.take_in_a_changed_row", "us", processor_us(handle_update, 50)),
        summarize(f"{name}.living", "us", processor_us(table.live_members, 20)),
        summarize(
            f"{name}.choose_watchers",
            "us",
            processor_us(lambda: watchers(table.live_members(), data_centre), 20),
        ),
        summarize(
            f"{name}.choose_aggregator",
            "us",
            processor_us(lambda: aggregator(table.live_members(), data_centre), 20),
        ),
        summarize(f"{name}.compare_tables", "us", processor_us(table.digests, 3)),
        summarize(f"{name}.join_reply", "bytes", [len(encode(reply))]),
        summarize(f"{name}.ping", "bytes", [len(encode(ping))]),
        summarize(f"{name}.row", "bytes", [len(encode(make_row(count - 1)))]),
    ]


def measure_state() -> list[Figure]:
    """Measure the state in force at full size: its memory, a change and a snapshot."""
    gc.collect()
    before = resident_kb()
    in_force = InForce()
    number = 0
    while len(in_force.state.services_by_name) < SERVICES:
        number += 1
        body = make_body(len(in_force.state.services_by_name), 8)
        in_force.offer(change_for(in_force.state, TicketNumber(number), body))
    gc.collect()
    memory = resident_kb() - before
    state: MeshState = in_force.state
    next_change = change_for(state, TicketNumber(number + 1), make_body(0, 8))

    def apply() -> None:
        fresh = InForce()
        fresh.state = state
        fresh.offer(next_change)

    return [
        summarize(f"state.{SERVICES}.memory", "KB", [memory]),
        summarize(f"state.{SERVICES}.apply_a_change", "us", processor_us(apply, 20)),
        summarize(f"state.{SERVICES}.snapshot", "bytes", [len(encode_state(state))]),
        summarize("change.on_the_wire", "bytes", [len(compress(next_change))]),
        summarize(
            "change.encode_for_a_peer",
            "us",
            processor_us(lambda: in_force.reply_after(Version(in_force.version - 1)), 50),
        ),
    ]


def measure_once() -> list[Figure]:
    """Measure the size of a shard of once-only calls and the time of a claim, as records grow."""
    figures = []
    for count in (0, 500, 1_000, 1_500):
        shard = Shard()
        for number in range(count):
            shard = _with_record(shard, number)
        claim = _claim(count)
        work = processor_us(lambda s=shard, c=claim: try_claim(s, c), 5)
        figures.append(summarize(f"once.{count}.claim", "us", work))
        figures.append(summarize(f"once.{count}.shard", "bytes", [len(encode(shard))]))
    return figures


def _with_record(shard: Shard, number: int) -> Shard:
    claim = _claim(number)
    claimed = try_claim(shard, claim).shard
    answer = OnceAnswer(200, "application/json", b"x" * 200)
    return settle_done(claimed, claim.key, claim.mark, answer)


def _claim(number: int) -> Claim:
    return Claim(
        OnceKey(f"payout-desk/key-{number}"),
        "f" * 32,
        InstanceId("instance-1"),
        1,
        WriterMark(f"mark-{number}"),
        Millis(0),
    )


def measure() -> list[Figure]:
    """Return the figures of the state, the member table and the once-only calls."""
    return [*measure_state(), *measure_members(), *measure_once()]
