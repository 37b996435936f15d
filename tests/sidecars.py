"""Run sidecar daemons as processes, with targets and callers in the test process."""

import socket
import threading
import time

from platformwire import config_document, heartbeat_body
from processes import Platform, Process, ask, free_port, wait_for
from rawserver import RawServer

SETTINGS = """
[instance]
id = "{id}"
data_centre = "{data_centre}"
host = "127.0.0.1"
service = "{service}"

[listen]
calls = "127.0.0.1:{calls}"
ready = "127.0.0.1:{ready}"
announcements = "127.0.0.1:{announcements}"
link_port = {links}
metrics_port = {metrics}

[platform]
address = "127.0.0.1:{store}"

[bounds]
memory_mb = 100
drain_ms = 2000
grace_ms = 6000
retry_ratio = 0.2
retry_window_ms = 10000
retry_slack = 60
strict_revoke = true
revoke_ms = 5000
quota_window_ms = 5000
quota_overshoot = 0.1
quota_slack = 20
"""


class Target(RawServer):
    """A target for tests that records and counts the requests that it runs.

    `answer(id, body)` returns the bytes of the response, an iterator of their parts, or None to
    close the connection; tests may replace it at any time.
    """

    def __init__(self, service, work_ms=5, slots=4, version="v1"):
        self.service = service
        self.version = version
        self.work_ms = work_ms
        self.slots = slots
        self.id = f"i-{service}-{free_port()}"
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.healthy = True
        self.runs = []
        self.run_times = []
        self.headers = []
        self.running = 0
        self.max_running = 0
        self.cancelled_runs = 0
        self.answer = lambda id, body: self.response(id, body)
        self._lock = threading.Lock()
        super().__init__(self._serve)

    def response(self, id, body, status="200 OK", stamp="s", headers=()):
        """Return the bytes of a complete response, signed unless `stamp` is empty."""
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", f"X-Egret-Attempt-Id: {id}"]
        if stamp:
            lines.append(f"X-Egret-Stamp: {stamp}")
        lines += headers
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def heartbeat(self, daemon, state="ready", **changes):
        """Send one heartbeat to `daemon` and return the HTTP status.

        `changes` may hold a `sequence` or `born` that differs from that of the target.
        """
        self.sequence += 1
        body = heartbeat_body(
            f"127.0.0.1:{self.port}",
            self.service,
            state,
            changes.get("sequence", self.sequence),
            changes.get("born", self.born),
            self.slots,
            self.version,
        )
        path = f"/rpc?call=instances.heartbeat&of={self.id}"
        return ask(daemon.ports["announcements"], "POST", path, body)[0]

    def _serve(self, sock):
        stream = sock.makefile("rb")
        try:
            while self._serve_request(sock, stream):
                pass
        except ValueError:
            # The connection was closed in the middle of a request.
            pass

    def _serve_request(self, sock, stream):
        line = stream.readline().decode()
        if not line:
            return False
        headers = {}
        while (text := stream.readline().decode().strip()) != "":
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        if line.split()[1] == "/health":
            status = "200 OK" if self.healthy else "503 Service Unavailable"
            head = f"HTTP/1.1 {status}\r\nX-Egret-Instance: {self.id}\r\nContent-Length: 0\r\n\r\n"
            sock.sendall(head.encode())
            return True
        return self._run(sock, line, headers, body)

    def _run(self, sock, line, headers, body):
        id = headers.get("x-egret-attempt-id", "")
        with self._lock:
            self.runs.append(id)
            self.run_times.append(time.monotonic())
            self.headers.append(headers)
            self.running += 1
            self.max_running = max(self.max_running, self.running)
        try:
            until = time.monotonic() + self.work_ms / 1_000
            sock.settimeout(0.005)
            while time.monotonic() < until:
                try:
                    if sock.recv(1, socket.MSG_PEEK) == b"":
                        self.cancelled_runs += 1
                        return False
                except TimeoutError:
                    pass
            sock.settimeout(None)
        finally:
            with self._lock:
                self.running -= 1
        answer = self.answer(id, line.encode() + body)
        if answer is None:
            return False
        for part in [answer] if isinstance(answer, bytes) else answer:
            sock.sendall(part)
        return True


class Sidecar(Process):
    """Run one sidecar daemon as a process."""

    def __init__(self, folder, id, store_port, target, data_centre="dc", bounds=""):
        names = ("calls", "ready", "announcements", "links", "metrics")
        self.id = id
        self.target = target
        self.ports = {name: free_port() for name in names}
        self.settings = folder / f"{id}.toml"
        self.settings.write_text(
            SETTINGS.format(
                id=id,
                data_centre=data_centre,
                service=target.service,
                store=store_port,
                **self.ports,
            )
            + bounds
        )
        super().__init__(["platform/meshd.py"], folder / f"{id}.log")

    def environment(self):
        return {"EGRETWORKS_SETTINGS": str(self.settings)}

    def ready(self):
        """Return whether the readiness check of the daemon succeeds."""
        try:
            return ask(self.ports["ready"], "GET", "/readiness", timeout=2)[0] == 200
        except OSError:
            return False

    def call(
        self, path, host="pool.example", id="a1", method="GET", left_ms=2_000, body=None, key=None
    ):
        """Send a caller's request and return its status, headers and body."""
        headers = {"Host": host, "X-Egret-Attempt-Id": id, "X-Egret-Deadline-Ms": str(left_ms)}
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        return ask(self.ports["calls"], method, path, body=body, headers=headers)

    def events(self, kind):
        """Return the log lines of the events of `kind`."""
        return [line for line in self.log.read_text().splitlines() if f'"kind": "{kind}"' in line]


def announce_all(sidecars):
    """Send a heartbeat of every target and wait until all daemons are linked to each other."""
    links = len(sidecars) - 1
    for sidecar in sidecars:
        wait_for(sidecar.ready, f"{sidecar.id} to be ready")
        assert sidecar.target.heartbeat(sidecar) == 200
    for sidecar in sidecars:
        wait_for(
            lambda sidecar=sidecar: len(sidecar.events("link_up")) >= links, f"{sidecar.id}'s links"
        )
    time.sleep(0.3)


class SidecarMesh:
    """Hold a platform store, daemons and their targets."""

    def __init__(self, folder):
        self.folder = folder
        self.platform = Platform(folder)
        self.sidecars = []

    def add(self, service, data_centre="dc", bounds="", **options):
        """Start a daemon beside a new target of `service`, which is not announced yet."""
        target = Target(service, **options)
        id = f"n{len(self.sidecars)}"
        self.sidecars.append(
            Sidecar(self.folder, id, self.platform.port, target, data_centre, bounds)
        )
        return self.sidecars[-1]

    def start(self, *services, version=1):
        """Start a daemon and a target for each of `services` and link and announce them all."""
        self.platform.configure(config_document(version))
        sidecars = [self.add(service) for service in services]
        announce_all(sidecars)
        return sidecars

    def end(self):
        """Kill all processes."""
        for process in (*self.sidecars, self.platform):
            process.end()


def call_concurrently(sidecar, count, path="/give/x", method="POST", left_ms=2_000):
    """Send `count` requests concurrently.

    Returns the status, or the text of the connection error, by request id.
    """
    statuses = {}

    def send(id):
        try:
            statuses[id] = sidecar.call(path, id=id, method=method, left_ms=left_ms)[0]
        except OSError as error:
            statuses[id] = repr(error)

    ids = [f"{sidecar.id}-{method}-{number}" for number in range(count)]
    threads = [threading.Thread(target=send, args=(id,)) for id in ids]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses
