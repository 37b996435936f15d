"""Test how callers' requests get tokens, and how quota frames pass over links."""

import random

import msgspec
import pytest
from fleets import make_fleet
from linkpipes import FakeTimeline, Pipe, make_host
from loadsim import Kind, Mesh
from simdaemons import SimExchange

from egretworks.calllog import CallLog
from egretworks.clock import Millis
from egretworks.httpwire import Request
from egretworks.inboundlinks import InboundLink
from egretworks.linkframes import PARTS_PROTOCOL, QuotaGrant, QuotaRequest, encode_frame
from egretworks.linkplan import LinkPurpose, plan_links
from egretworks.metrics import Metrics
from egretworks.quotaclient import QuotaClient, QuotaHost
from egretworks.quotapool import MAX_TRANSIT_MS, QuotaBounds
from egretworks.quotashare import POOLS, rank_keepers
from egretworks.rows import RowTable
from egretworks.teams import NO_TEAM, MeshTeam

TEAM = MeshTeam("north", (), 0, 10.0, 2.0)
UNLIMITED = MeshTeam("south", ())


class Timeline(FakeTimeline):
    def __init__(self):
        self.records = []

    def record(self, kind, **facts):
        self.records.append((kind, facts))


class FakeLink:
    """A link to a daemon that never answers, or of an older build."""

    usable, failed = True, False

    def __init__(self, peer_protocol=PARTS_PROTOCOL):
        self.peer_protocol = peer_protocol
        self.frames = []

    def send_frame(self, frame):
        self.frames.append(frame)


class Caller:
    """One daemon with a target, whose callers are of `team`; others may keep the pools."""

    def __init__(self, monkeypatch, team=TEAM, links=None):
        self.mesh = Mesh(monkeypatch, [Kind("pay", "ledger", 20.0, 300.0, 1_000.0)])
        self.mesh.add("dc", "ledger", 4)
        daemon = self.mesh.daemons[0]
        others = [msgspec.structs.replace(daemon.row, id=id) for id in links or {}]
        self.rows = RowTable(daemon.row)
        self.rows.merge(others)
        self.rows.listed = True
        self.quota = QuotaClient(
            QuotaHost(
                *(self.mesh.clock, random.Random(1), Metrics(), self.rows),
                lambda: {TEAM.name: TEAM, UNLIMITED.name: UNLIMITED},
                lambda: QuotaBounds(5_000, 0.1, 5),
                (links or {}).get,
                False,
            )
        )
        self.timeline = Timeline()
        self.forwarder = daemon.forwarder
        self.forwarder.host = msgspec.structs.replace(
            daemon.forwarder.host,
            quota=self.quota,
            key_check=self,
            calls=CallLog(self.timeline, self.mesh.clock),
        )
        self.team, self.target = team, daemon.target
        self._tick()
        self.mesh.time.run_for(1_100)

    def team_of(self, key, route):
        return self.team

    def call(self, responses, left_ms=1_000):
        self.mesh.kind_by_id[id := f"c{len(self.mesh.kind_by_id)}"] = "pay"
        headers = [
            (b"host", b"pool.example"),
            (b"x-egret-attempt-id", id.encode()),
            (b"x-egret-deadline-ms", b"%d" % left_ms),
        ]
        request = Request("GET", b"/pay/", headers, b"", True)
        exchange = SimExchange(request, responses.append)
        self.forwarder.serve(exchange)
        return exchange

    def call_all(self, count, within_ms=400):
        responses = []
        for _ in range(count):
            self.call(responses)
        self.mesh.time.run_for(within_ms)
        return responses

    def _tick(self):
        self.quota.tick(self.mesh.time.now)
        self.mesh.time.call_later(50, self._tick)


# Guards against a 504, after which a once-only request isn't repeated, for one that was never sent.
def test_a_request_that_got_no_token_before_its_deadline_has_not_run(monkeypatch):
    caller = Caller(monkeypatch, links={f"x{number}": FakeLink() for number in range(40)})
    responses = []
    caller.call(responses, left_ms=60)
    caller.mesh.time.run_for(200)
    assert [response.status for response in responses] == [503]
    assert not caller.target.runs


# Guards against requests over the quota that run, and against 429 without a time to return.
def test_a_request_over_the_quota_gets_429_and_a_time_to_return(monkeypatch):
    caller = Caller(monkeypatch)
    responses = caller.call_all(20)
    refused = [response for response in responses if response.status == 429]
    assert 10 < len(refused) < 20
    assert len(caller.target.runs) == 20 - len(refused)
    waits = [float(response.header(b"Retry-After")) for response in refused]
    assert min(waits) > 0.02
    assert max(waits) < 20 / TEAM.rate_per_s * 1.3
    assert all((b"Egret-Not-Run", b"true") in response.headers for response in refused)
    facts = [facts["facts"] for kind, facts in caller.timeline.records if kind == "call_over_quota"]
    assert facts[0]["team"] == "north"
    assert facts[0]["retry_after_ms"] > 20
    assert 0 <= facts[0]["pool"] < POOLS


# Guards against a team that pays for requests that its targets have declined.
def test_a_declined_request_gives_its_token_back(monkeypatch):
    caller = Caller(monkeypatch)
    caller.target.declines = 1.0
    for _ in range(20):
        assert [response.status for response in caller.call_all(1, 30)] == [503]
    caller.target.declines = 0.0
    assert {response.status for response in caller.call_all(4)} == {200}


@pytest.mark.parametrize("team", [NO_TEAM, UNLIMITED])
def test_requests_without_a_quota_need_no_token(monkeypatch, team):
    caller = Caller(monkeypatch, team)
    responses = [response for _ in range(4) for response in caller.call_all(8)]
    assert {response.status for response in responses} == {200}


# Guards against callers that wait in vain: after two silent daemons and without tokens of its own
# the daemon answers 503, which is no statement about the quota.
def test_without_an_answer_of_any_pool_the_caller_gets_503(monkeypatch):
    links = {f"n{number}": FakeLink() for number in range(40)}
    caller = Caller(monkeypatch, links=links)
    responses = []
    caller.call(responses)
    caller.mesh.time.run_for(250)
    assert not responses
    caller.mesh.time.run_for(200)
    assert responses[0].status == 503
    assert b"not_ready" in responses[0].body
    asked = [link for link in links.values() if any(frame.wanted for frame in link.frames)]
    assert len(asked) == 2


# Guards against a request that runs for a caller that has left.
def test_a_request_whose_caller_left_while_it_waited_is_not_offered(monkeypatch):
    links = {f"n{number}": FakeLink() for number in range(40)}
    caller = Caller(monkeypatch, links=links)
    exchange = caller.call([])
    keeper, frame = next(
        (id, frame) for id, link in links.items() for frame in link.frames if frame.wanted
    )
    exchange.on_disconnect()
    grant = QuotaGrant(frame.serial, [])
    caller.quota.handle(grant, links[keeper], keeper)
    caller.mesh.time.run_for(1_000)
    assert not caller.target.runs
    assert caller.forwarder.in_flight == 0


# Guards against frames that an older build closes the link for.
def test_older_builds_get_no_quota_frames(monkeypatch):
    links = {f"n{number}": FakeLink(PARTS_PROTOCOL - 1) for number in range(5)}
    caller = Caller(monkeypatch, links=links)
    caller.call_all(5)
    assert not any(link.frames for link in links.values())


# Guards against a frozen keeper that takes deposits which were given up long ago.
def test_a_request_that_was_queued_on_its_way_is_dropped():
    class Clock:
        at = 1_000.0

        def now(self):
            return Millis(self.at)

    clock, served = Clock(), []
    host = make_host("d2", clock, None, type("Config", (), {"version": 1}))
    host = msgspec.structs.replace(host, on_quota=lambda *frame: served.append(frame[0].serial))
    pipe = Pipe()
    InboundLink(host, pipe.ends[1])
    sent = b"\0" + encode_frame(QuotaRequest(1, 0, 50.0, sent_at=5_000.0))
    for serial, sent_at, arrives_at in [(2, 5_100.0, 1_190.0), (3, 5_200.0, 1_200.0 + 2_000)]:
        pipe.ends[1].user.on_data(sent)
        clock.at = arrives_at
        sent = encode_frame(QuotaRequest(serial, 0, 50.0, sent_at=sent_at))
    pipe.ends[1].user.on_data(sent)
    assert served == [1, 2]
    assert MAX_TRANSIT_MS < 2_000


# Guards against pools that can't be reached because no link to their daemons is planned.
def test_the_keepers_of_pools_are_linked_if_teams_have_quotas():
    rows = make_fleet(300, 5)
    own = rows[7]
    others = [row for row in rows if row is not own]
    failed = rank_keepers([row.id for row in rows], 0)[0]
    planned = plan_links(own, others, ["portal"], lambda id: id == failed, POOLS)
    for pool in range(POOLS):
        ranked = [id for id in rank_keepers([row.id for row in rows], pool) if id != failed]
        assert set(ranked[:2]) - {own.id} <= planned.keys()
    without = plan_links(own, others, ["portal"], lambda id: id == failed)
    assert len(planned) - len(without) <= 2 * POOLS + 1
    assert LinkPurpose.POOL not in without.values()
