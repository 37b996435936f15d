"""An in-memory stand-in for the platform's object store: versions, conditional updates, watches.

/v1 serves the object API that egretd uses and /objects that of the users' platform. Both show the
same objects.

`python -m standins.platform PORT` serves it on loopback. `GET /admin/counts` returns the reads,
writes and watches so far. `PUT /admin/faults` sets delays, outages, hangs (`silent`), lost answers
and stale reads (of /v1 only). `PUT /admin/save` saves the state that stale reads show, and
`PUT /admin/compact` drops the history. `PUT /admin/restore` goes back to the saved state, whose
later revisions are then given out again; the header `Store-Era` of /objects rises by one.
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
MAX_HISTORY_LENGTH = 10_000
USERS_PAGE_SIZE = 500


class Platform:
    """WSGI application that holds the objects, their history and the faults that are set.

    `objects` holds the version and value by kind and name. `history` holds position, kind, name and
    value of each write, with None for a deletion. An object's version is the position of its last
    write. `compacted` is the last position that is no longer in the history.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        # What daemons have written beside the values, by kind and name.
        self.statuses: dict[tuple[str, str], object] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.position = 0
        self.compacted = 0
        self.waiters: list[eventlet.event.Event] = []
        self.counts = {"reads": 0, "writes": 0, "watches": 0}
        self.faults = {"delay_ms": 0, "outage": False, "lose_answers": 0, "stale": False}
        self.faults["silent"] = False
        self.saved_state = ({}, [], 0)
        self.era = 1

    def __call__(self, environ, start_response):
        method = environ["REQUEST_METHOD"]
        parts = [unquote(p) for p in environ["PATH_INFO"].strip("/").split("/")]
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        if parts[0] == "admin":
            return self.admin(environ, start_response, parts[1])
        if self.faults["delay_ms"]:
            eventlet.sleep(self.faults["delay_ms"] / 1000)
        if self.faults["outage"]:
            return reply(start_response, "503 Service Unavailable")
        if self.faults["silent"]:
            eventlet.sleep(3_600)
        if parts[0] == "objects":
            return self.users_api(environ, self.with_era(start_response), method, parts[1:], query)
        if parts[1] == "watch":
            return self.watch(start_response, parts[2], query)
        if len(parts) == 3:
            return self.listing(start_response, parts[2], query)
        if method == "GET":
            return self.read(start_response, (parts[2], parts[3]))
        return self.write(environ, start_response, method, (parts[2], parts[3]))

    def admin(self, environ, start_response, page):
        """Set faults, save or compact the state, or return the counts."""
        if page == "faults":
            self.faults.update(json.loads(environ["wsgi.input"].read() or b"{}"))
            return reply(start_response, "200 OK", json.dumps(self.faults).encode())
        if page == "save":
            self.saved_state = (dict(self.objects), list(self.history), self.position)
            return reply(start_response, "200 OK", b"{}")
        if page == "compact":
            self.compacted, self.history = self.position, []
            return reply(start_response, "200 OK", b"{}")
        if page == "restore":
            objects, history, self.position = self.saved_state
            self.objects, self.history = dict(objects), list(history)
            self.era += 1
            return reply(start_response, "200 OK", b"{}")
        return reply(start_response, "200 OK", json.dumps(self.counts).encode())

    def with_era(self, start_response):
        """Return `start_response` with the era among the headers."""
        return lambda status, headers: start_response(
            status, [*headers, ("Store-Era", str(self.era))]
        )

    def visible_state(self):
        """Return objects, history and position that reads see: the saved ones if they are stale."""
        return (
            self.saved_state
            if self.faults["stale"]
            else (self.objects, self.history, self.position)
        )

    def read(self, start_response, key):
        """Answer a read of one object."""
        self.counts["reads"] += 1
        objects, _, _ = self.visible_state()
        if key not in objects:
            return reply(start_response, "404 Not Found")
        version, value = objects[key]
        return reply(start_response, "200 OK", value, version)

    def listing(self, start_response, kind, query):
        """Answer one page of the objects of a kind, sorted by name."""
        self.counts["reads"] += 1
        after, limit = query.get("after", ""), int(query.get("limit", 500))
        objects, _, position = self.visible_state()
        names = sorted(n for k, n in objects if k == kind and n > after)[:limit]
        items = []
        for name in names:
            version, value = objects[kind, name]
            items.append(
                {"name": name, "etag": f'"{version}"', "value": value.decode(errors="replace")}
            )
        body = json.dumps({"position": position, "items": items}).encode()
        return reply(start_response, "200 OK", body)

    def write(self, environ, start_response, method, key):
        """Create, update or delete an object if the conditional headers allow it."""
        self.counts["writes"] += 1
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_VALUE_BYTES:
            return reply(start_response, "413 Content Too Large")
        value = environ["wsgi.input"].read(length)
        current = self.objects.get(key)
        if environ.get("HTTP_IF_NONE_MATCH") == "*" and current:
            return reply(start_response, "412 Precondition Failed")
        expected_etag = environ.get("HTTP_IF_MATCH")
        if expected_etag and (current is None or expected_etag != f'"{current[0]}"'):
            return reply(start_response, "412 Precondition Failed")
        self.store(key, None if method == "DELETE" else value)
        if self.faults["lose_answers"]:
            self.faults["lose_answers"] -= 1
            return reply(start_response, "503 Service Unavailable")
        return reply(start_response, "200 OK", b"", self.position)

    def users_api(self, environ, start_response, method, parts, query):
        """Serve the object API of the users' platform, where `rev` is an object's version."""
        if method == "GET":
            self.counts["reads"] += 1
            if "watch" in query:
                return self.users_watch(start_response, parts[0], query)
            if len(parts) == 2:
                return self.users_object(start_response, parts[0], parts[1], "200 OK")
            return self.users_list(start_response, parts[0], query)
        self.counts["writes"] += 1
        body = json.loads(environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0)))
        name = parts[1] if len(parts) >= 2 else body["metadata"]["name"]
        current = self.objects.get((parts[0], name))
        expected_revision = body["metadata"].get("rev")
        if method == "PUT" and current is None:
            return reply(start_response, "404 Not Found")
        if current is not None and (
            method == "POST" or expected_revision not in (None, current[0])
        ):
            return self.users_object(start_response, parts[0], name, "409 Conflict")
        if parts[2:] == ["status"]:
            self.statuses[parts[0], name] = body["status"]
            self.store((parts[0], name), current[1])
            return self.users_object(start_response, parts[0], name, "200 OK")
        value = json.dumps(body["spec"]).encode()
        if current is None or current[1] != value:
            self.store((parts[0], name), value)
        if self.faults["lose_answers"]:
            self.faults["lose_answers"] -= 1
            eventlet.sleep(3_600)
        return self.users_object(start_response, parts[0], name, "200 OK")

    def store(self, key, value):
        """Store `value`, or delete the object if it is None, and wake the watches."""
        self.position += 1
        if value is None:
            self.objects.pop(key, None)
        else:
            self.objects[key] = (self.position, value)
        self.history.append((self.position, *key, value))
        self.trim_history()
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.send()

    def users_object(self, start_response, kind, name, status):
        """Answer an object with `status`, or 404 if it does not exist."""
        if (kind, name) not in self.objects:
            return reply(start_response, "404 Not Found")
        view = self.users_view(kind, name, *self.objects[kind, name])
        return reply(start_response, status, json.dumps(view).encode())

    def users_list(self, start_response, kind, query):
        """Answer one page of the objects of a kind, sorted by name."""
        after = query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [
            self.users_view(kind, name, *self.objects[kind, name])
            for name in names[:USERS_PAGE_SIZE]
        ]
        page = {"items": items, "hasMore": len(names) > USERS_PAGE_SIZE, "atRev": self.position}
        return reply(start_response, "200 OK", json.dumps(page).encode())

    def users_watch(self, start_response, kind, query):
        """Answer changes after a revision, or none once the wait is over; leave out deletions."""
        self.counts["watches"] += 1
        after = int(query["watch"])
        deadline = time.monotonic() + int(query.get("waitMs", 30_000)) / 1000
        if after < self.compacted or after > self.position:
            return reply(start_response, "410 Gone")
        era = self.era
        while True:
            if era != self.era:
                return reply(start_response, "503 Service Unavailable")
            events = [
                {"object": self.users_view(kind, name, position, value), "deleted": False}
                for position, written_kind, name, value in self.history
                if position > after and written_kind == kind and value is not None
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                body = json.dumps({"atRev": self.position, "events": events}).encode()
                return reply(start_response, "200 OK", body)
            waiter = eventlet.event.Event()
            self.waiters.append(waiter)
            with eventlet.Timeout(remaining_s, False):
                waiter.wait()

    def users_view(self, kind, name, revision, value):
        """Return an object in the JSON form of the users' platform, with its present status."""
        metadata = {
            "name": name,
            "rev": revision,
            "createdAt": 0,
            "finalizers": [],
            "deletionPending": False,
        }
        status = self.statuses.get((kind, name))
        return {"metadata": metadata, "spec": json.loads(value), "status": status}

    def trim_history(self):
        """Compact the oldest entry once the history exceeds its limit."""
        if len(self.history) > MAX_HISTORY_LENGTH:
            self.compacted = self.history[0][0]
            del self.history[0]

    def watch(self, start_response, kind, query):
        """Answer changes after a position, or none once the wait is over."""
        self.counts["reads"] += 1
        self.counts["watches"] += 1
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", 30_000)) / 1000
        if after < self.compacted:
            return reply(start_response, "410 Gone")
        while True:
            events = [
                {
                    "name": name,
                    "etag": f'"{position}"',
                    "value": value if value is None else value.decode(errors="replace"),
                }
                for position, written_kind, name, value in self.visible_state()[1]
                if position > after and written_kind == kind
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                body = json.dumps({"position": self.visible_state()[2], "events": events}).encode()
                return reply(start_response, "200 OK", body)
            waiter = eventlet.event.Event()
            self.waiters.append(waiter)
            with eventlet.Timeout(remaining_s, False):
                waiter.wait()


def reply(start_response, status, body=b"", version=None):
    """Answer a WSGI request with a JSON body and, if `version` is given, its ETag."""
    headers = [("Content-Length", str(len(body))), ("Content-Type", "application/json")]
    if version is not None:
        headers.append(("ETag", f'"{version}"'))
    start_response(status, headers)
    return [body]


def main():
    """Serve the stand-in on loopback, on the port given on the command line."""
    listener = eventlet.listen(("127.0.0.1", int(sys.argv[1])), backlog=500)
    print(json.dumps({"standin": "platform", "port": listener.getsockname()[1]}), flush=True)
    pool = eventlet.GreenPool(4_000)
    wsgi.server(listener, Platform(), log_output=False, custom_pool=pool)


if __name__ == "__main__":
    main()
