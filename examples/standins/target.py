"""A stand-in target with slots, shedding, deadlines, drain, cold start and a lagging load report.

`python -m standins.target --help` lists its options. `GET /admin/runs` returns how often each
idempotency key or call id was run, which tests check. `PUT /admin/behaviour` changes its behaviour
at run time. `PUT /admin/leave` makes it shed all requests and announce that it is leaving.
"""

from __future__ import annotations

import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

import argparse
import contextlib
import hashlib
import json
import random
import signal
import time

import urllib3
from eventlet import wsgi


class Target:
    """WSGI application that runs requests in a bounded number of slots and sheds the others.

    `runs` counts the requests begun by idempotency key or call id; `load_history` holds the time
    and the number of busy slots at each change.
    """

    def __init__(self, options) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.started = time.monotonic()
        self.busy = 0
        self.served = 0
        self.shed = 0
        self.runs: dict[str, int] = {}
        self.load_history = [(0.0, 0)]
        self.leaving = False
        self.pool = urllib3.PoolManager(maxsize=50)
        self.downstream_statuses: dict[int, int] = {}
        self.behaviour = {
            "work_ms": options.work_ms,
            "slow_ms": 0,
            "straggler_share": 0.0,
            "straggler_ms": 1_000,
            "cut_share": 0.0,
            "refuse": False,
        }

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path.startswith("/admin/"):
            return self.admin(environ, start_response, path.removeprefix("/admin/"))
        if self.busy >= self.options.slots or self.leaving or self.behaviour["refuse"]:
            self.shed += 1
            headers = [("Egret-Not-Run", "true"), *call_id_headers(environ)]
            return reply(start_response, "503 Service Unavailable", b"shed", headers)
        self.busy += 1
        self.record_load()
        try:
            return self.run(environ, start_response, path)
        finally:
            self.busy -= 1
            self.record_load()

    def run(self, environ, start_response, path):
        """Work for the configured time, call downstream if configured, and answer.

        Answers 504 once the deadline has passed and 502 if the downstream call fails.
        """
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        key = environ.get("HTTP_IDEMPOTENCY_KEY") or environ.get("HTTP_EGRET_CALL_ID", "")
        self.runs[key] = self.runs.get(key, 0) + 1
        work_ms = self.work_ms()
        deadline_ms = float(environ.get("HTTP_EGRET_DEADLINE_MS", "inf"))
        eventlet.sleep(min(work_ms, deadline_ms) / 1000)
        if work_ms > deadline_ms:
            return reply(start_response, "504 Gateway Timeout", b"deadline")
        if self.options.calls and not self.call_downstream(environ):
            return reply(start_response, "502 Bad Gateway", b"the call to another service failed")
        self.served += 1
        answer = {
            "target": self.options.id,
            "path": path,
            "query": environ.get("QUERY_STRING", ""),
            "key": key,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "depth": environ.get("HTTP_EGRET_DEPTH"),
            "deadline_ms": environ.get("HTTP_EGRET_DEADLINE_MS"),
        }
        body = json.dumps(answer).encode()
        return reply(start_response, "200 OK", body, call_id_headers(environ))

    def call_downstream(self, environ):
        """Call another service through the daemon beside this target.

        The deadline, depth and call id of the request are passed on. Returns whether the status is
        200.
        """
        headers = {
            name: environ[f"HTTP_{name.upper().replace('-', '_')}"]
            for name in ("Egret-Deadline-Ms", "Egret-Depth", "Egret-Call-Id")
            if f"HTTP_{name.upper().replace('-', '_')}" in environ
        }
        address, slash, path = self.options.calls.partition("/")
        url = f"http://{address}{slash}{path}"
        try:
            response = self.pool.request("GET", url, headers=headers, timeout=10, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        self.downstream_statuses[response.status] = (
            self.downstream_statuses.get(response.status, 0) + 1
        )
        return response.status == 200

    def work_ms(self):
        """Return how long the next request takes, in ms.

        The behaviour may add delays; during the cold start a request takes three times as long.
        """
        work_ms = self.behaviour["work_ms"] + self.behaviour["slow_ms"]
        if self.random.random() < self.behaviour["straggler_share"]:
            work_ms += self.behaviour["straggler_ms"]
        cold_s = self.options.cold_ms / 1000
        age = time.monotonic() - self.started
        return work_ms * 3 if age < cold_s else work_ms

    def record_load(self):
        """Record the time and the number of busy slots; keep the last 1,000 entries."""
        self.load_history.append((time.monotonic(), self.busy))
        del self.load_history[:-1000]

    def reported_load(self):
        """Return the busy slots as of `report_lag_ms` ago, since load reports lag."""
        reported_at = time.monotonic() - self.options.report_lag_ms / 1000
        past = [busy for at, busy in self.load_history if at <= reported_at]
        return past[-1] if past else 0

    def admin(self, environ, start_response, page):
        """Change the behaviour or start leaving, and answer the page or the counts."""
        if page == "behaviour":
            self.behaviour.update(json.loads(environ["wsgi.input"].read() or b"{}"))
        if page == "leave":
            self.leaving = True
        pages = {
            "runs": self.runs,
            "load": {"busy": self.reported_load(), "slots": self.options.slots},
            "health": {"ok": True},
        }
        counts = {
            "answers_on": self.downstream_statuses,
            "served": self.served,
            "shed": self.shed,
            "leaving": self.leaving,
        }
        return reply(start_response, "200 OK", json.dumps(pages.get(page, counts)).encode())


def call_id_headers(environ):
    """Return the header that names the call which an answer belongs to, if the request had one."""
    id = environ.get("HTTP_EGRET_CALL_ID")
    return [("Egret-Call-Id", id)] if id else []


def reply(start_response, status, body, headers=()):
    """Answer a WSGI request."""
    start_response(status, [("Content-Length", str(len(body))), *headers])
    return [body]


def announce_once(target, pool):
    """Announce the target's address, capacity and state to its daemon; ignore failures."""
    options = target.options
    document = {
        "service": options.service,
        "host": "127.0.0.1",
        "port": options.announce_port or options.port,
        "slots": options.slots,
        "connections": options.connections,
        "state": "leaving" if target.leaving else "ready",
    }
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        pool.request("PUT", f"/v1/targets/{options.id}", body=json.dumps(document).encode())


def announce(target, pool):
    """Announce the target every `announce_ms` until the process ends."""
    while True:
        announce_once(target, pool)
        eventlet.sleep(target.options.announce_ms / 1000)


def leave(target, listener, pool):
    """Announce that the target is leaving, wait for `drain_ms` and running requests, and close."""
    target.leaving = True
    announce_once(target, pool)
    eventlet.sleep(target.options.drain_ms / 1000)
    while target.busy:
        eventlet.sleep(0.02)
    listener.close()


def main():
    """Serve a target on loopback as set by the command-line options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--daemon", required=True, help="host:port of the daemon's operator port")
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--connections", type=int, default=130)
    parser.add_argument("--work-ms", type=float, default=5)
    parser.add_argument("--cold-ms", type=float, default=0)
    parser.add_argument("--drain-ms", type=float, default=1_500)
    parser.add_argument("--announce-ms", type=float, default=500)
    parser.add_argument("--announce-port", type=int, help="port to announce instead of --port")
    parser.add_argument("--report-lag-ms", type=float, default=1_000)
    parser.add_argument("--calls", default="", help="host:port/path to call for each request")
    parser.add_argument("--seed", type=int, default=1)
    target = Target(parser.parse_args())
    listener = eventlet.listen(("127.0.0.1", target.options.port), backlog=500)
    port = listener.getsockname()[1]
    print(json.dumps({"standin": "target", "id": target.options.id, "port": port}), flush=True)
    target.options.port = port
    host, _, daemon_port = target.options.daemon.rpartition(":")
    daemon = urllib3.HTTPConnectionPool(host, int(daemon_port), retries=False, timeout=1)
    eventlet.spawn_n(announce, target, daemon)
    main_thread = eventlet.getcurrent()

    def stop(*_):
        drain = eventlet.spawn(leave, target, listener, daemon)
        drain.link(lambda _: main_thread.throw(SystemExit(0)))

    signal.signal(signal.SIGTERM, stop)
    pool = eventlet.GreenPool(target.options.connections)
    wsgi.server(listener, target, log_output=False, custom_pool=pool, keepalive=60)


if __name__ == "__main__":
    main()
