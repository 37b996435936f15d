"""Stand in for the platform's object API: versions, conditional updates and watches.

Below /v1 it answers as egretd's own client asks, below /objects as the users' platform does. Both
show the same objects.

`python -m standins.platform PORT` serves it on loopback. `GET /admin/counts` returns the reads
and writes so far; `PUT /admin/faults` sets delays, outages and lost answers.
"""

from __future__ import annotations

import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

import json
import sys
import time
from urllib.parse import parse_qs, unquote

from eventlet import wsgi

MAX_VALUE_BYTES = 1_000_000
HISTORY_LENGTH = 10_000
USERS_PAGE = 500


class Platform:
    """Hold objects in memory and answer as the platform would."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.position = 0
        self.compacted = 0
        self.waiters: list[eventlet.event.Event] = []
        self.counts = {"reads": 0, "writes": 0, "watches": 0}
        self.faults = {"delay_ms": 0, "outage": False, "lose_answers": 0, "stale": False}
        self.faults["silent"] = False
        self.saved = ({}, [], 0)

    def __call__(self, environ, start):
        method = environ["REQUEST_METHOD"]
        parts = [unquote(p) for p in environ["PATH_INFO"].strip("/").split("/")]
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        if parts[0] == "admin":
            return self.admin(environ, start, parts[1])
        if self.faults["delay_ms"]:
            eventlet.sleep(self.faults["delay_ms"] / 1000)
        if self.faults["outage"]:
            return reply(start, "503 Service Unavailable")
        if self.faults["silent"]:
            eventlet.sleep(3_600)
        if parts[0] == "objects":
            return self.users_api(environ, start, method, parts[1:], query)
        if parts[1] == "watch":
            return self.watch(start, parts[2], query)
        if len(parts) == 3:
            return self.listing(start, parts[2], query)
        if method == "GET":
            return self.read(start, (parts[2], parts[3]))
        return self.write(environ, start, method, (parts[2], parts[3]))

    def admin(self, environ, start, what):
        if what == "faults":
            self.faults.update(json.loads(environ["wsgi.input"].read() or b"{}"))
            return reply(start, "200 OK", json.dumps(self.faults).encode())
        if what == "save":
            self.saved = (dict(self.objects), list(self.history), self.position)
            return reply(start, "200 OK", b"{}")
        if what == "compact":
            self.compacted, self.history = self.position, []
            return reply(start, "200 OK", b"{}")
        return reply(start, "200 OK", json.dumps(self.counts).encode())

    def shown(self):
        """Return what reads show: stale ones show what was saved before."""
        return self.saved if self.faults["stale"] else (self.objects, self.history, self.position)

    def read(self, start, key):
        self.counts["reads"] += 1
        objects, _, _ = self.shown()
        if key not in objects:
            return reply(start, "404 Not Found")
        version, value = objects[key]
        return reply(start, "200 OK", value, version)

    def listing(self, start, kind, query):
        self.counts["reads"] += 1
        after, limit = query.get("after", ""), int(query.get("limit", 500))
        objects, _, position = self.shown()
        names = sorted(n for k, n in objects if k == kind and n > after)[:limit]
        items = []
        for name in names:
            version, value = objects[kind, name]
            items.append(
                {"name": name, "etag": f'"{version}"', "value": value.decode(errors="replace")}
            )
        body = json.dumps({"position": position, "items": items}).encode()
        return reply(start, "200 OK", body)

    def write(self, environ, start, method, key):
        self.counts["writes"] += 1
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_VALUE_BYTES:
            return reply(start, "413 Content Too Large")
        value = environ["wsgi.input"].read(length)
        current = self.objects.get(key)
        if environ.get("HTTP_IF_NONE_MATCH") == "*" and current:
            return reply(start, "412 Precondition Failed")
        wanted = environ.get("HTTP_IF_MATCH")
        if wanted and (current is None or wanted != f'"{current[0]}"'):
            return reply(start, "412 Precondition Failed")
        self.store(key, None if method == "DELETE" else value)
        if self.faults["lose_answers"]:
            self.faults["lose_answers"] -= 1
            return reply(start, "503 Service Unavailable")
        return reply(start, "200 OK", b"", self.position)

    def users_api(self, environ, start, method, parts, query):
        """Answer as the users' platform does: objects by kind and name, each with its `rev`."""
        if method == "GET":
            self.counts["reads"] += 1
            if "watch" in query:
                return self.users_watch(start, parts[0], query)
            if len(parts) == 2:
                return self.users_object(start, parts[0], parts[1], "200 OK")
            return self.users_list(start, parts[0], query)
        self.counts["writes"] += 1
        body = json.loads(environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0)))
        name = parts[1] if len(parts) == 2 else body["metadata"]["name"]
        current = self.objects.get((parts[0], name))
        wanted = body["metadata"].get("rev")
        if method == "PUT" and current is None:
            return reply(start, "404 Not Found")
        if current is not None and (method == "POST" or wanted not in (None, current[0])):
            return self.users_object(start, parts[0], name, "409 Conflict")
        value = json.dumps(body["spec"]).encode()
        if current is None or current[1] != value:
            self.store((parts[0], name), value)
        if self.faults["lose_answers"]:
            self.faults["lose_answers"] -= 1
            eventlet.sleep(3_600)
        return self.users_object(start, parts[0], name, "200 OK")

    def store(self, key, value):
        """Store `value`, or delete the object for None, at the next position; wake the watches."""
        self.position += 1
        if value is None:
            self.objects.pop(key, None)
        else:
            self.objects[key] = (self.position, value)
        self.history.append((self.position, *key, value))
        self.trim()
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.send()

    def users_object(self, start, kind, name, status):
        if (kind, name) not in self.objects:
            return reply(start, "404 Not Found")
        return reply(
            start, status, json.dumps(users_view(name, *self.objects[kind, name])).encode()
        )

    def users_list(self, start, kind, query):
        after = query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [users_view(name, *self.objects[kind, name]) for name in names[:USERS_PAGE]]
        page = {"items": items, "hasMore": len(names) > USERS_PAGE, "atRev": self.position}
        return reply(start, "200 OK", json.dumps(page).encode())

    def users_watch(self, start, kind, query):
        self.counts["watches"] += 1
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 30_000)) / 1000
        if after < self.compacted:
            return reply(start, "410 Gone")
        while True:
            events = [
                {"object": users_view(n, p, v), "deleted": False}
                for p, k, n, v in self.history
                if p > after and k == kind and v is not None
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                body = json.dumps({"atRev": self.position, "events": events}).encode()
                return reply(start, "200 OK", body)
            waiter = eventlet.event.Event()
            self.waiters.append(waiter)
            with eventlet.Timeout(left, False):
                waiter.wait()

    def trim(self):
        if len(self.history) > HISTORY_LENGTH:
            self.compacted = self.history[0][0]
            del self.history[0]

    def watch(self, start, kind, query):
        self.counts["reads"] += 1
        self.counts["watches"] += 1
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 30_000)) / 1000
        if after < self.compacted:
            return reply(start, "410 Gone")
        while True:
            events = [
                {
                    "name": n,
                    "etag": f'"{p}"',
                    "value": v if v is None else v.decode(errors="replace"),
                }
                for p, k, n, v in self.shown()[1]
                if p > after and k == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                body = json.dumps({"position": self.shown()[2], "events": events}).encode()
                return reply(start, "200 OK", body)
            waiter = eventlet.event.Event()
            self.waiters.append(waiter)
            with eventlet.Timeout(left, False):
                waiter.wait()


def users_view(name, revision, value):
    """Return an object as the users' platform shows it."""
    metadata = {
        "name": name,
        "rev": revision,
        "createdAt": 0,
        "finalizers": [],
        "deletionPending": False,
    }
    return {"metadata": metadata, "spec": json.loads(value), "status": None}


def reply(start, status, body=b"", version=None):
    headers = [("Content-Length", str(len(body))), ("Content-Type", "application/json")]
    if version is not None:
        headers.append(("ETag", f'"{version}"'))
    start(status, headers)
    return [body]


def main():
    """Serve the stand-in on the loopback port that the command line names."""
    listener = eventlet.listen(("127.0.0.1", int(sys.argv[1])), backlog=500)
    print(json.dumps({"standin": "platform", "port": listener.getsockname()[1]}), flush=True)
    pool = eventlet.GreenPool(4_000)
    wsgi.server(listener, Platform(), log_output=False, custom_pool=pool)


if __name__ == "__main__":
    main()
