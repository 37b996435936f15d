"""Stand-ins of the platform, its store, the backends and the clients, and the daemons' processes.

They follow the users' pages: each machine has a loopback address of its own, the store serves the
calls of the object API, and daemons are started by the `run` line of the deploy file with settings
rendered from the template that the deploy file names.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1_500
METRICS_PORT = 9464
# After how long the platform starts a process again that has ended.
RESTART_DELAY_S = 1.0
# The rule on processes that end by themselves: so often in a day, on so many machines or a tenth.
MAX_ENDS = 3
MAX_MACHINES = 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of tirglan-mesh, as its settings state them.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "recoveryS": 15,
}
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 67_108_864,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
ROUTE_COLUMNS = [
    "name",
    "host",
    "pathPrefix",
    "kind",
    "timeoutMs",
    "targetLatencyMs",
    "priority",
    "service",
    "maxAttempts",
]
# The first ports of a machine; the same on all machines of a run.
CONTROL, INBOUND, READY, APP, OUTBOUND, LINK = range(6)


class CannotRunError(Exception):
    """The case could not run: a process did not start, or a port is taken."""


class Record:
    """Write what was sent, answered and run to `record.txt`, and count what broke the rule."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write a line with the time."""
        with self._lock, open(self._path, "a") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def config(version: int, routes: list[list], services: list[str]) -> dict:
    """Return a configuration document; `routes` has rows of `ROUTE_COLUMNS`."""
    return {
        "version": f"{version:08x}",
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "services": {
            "columns": ["name", "healthPath", "maxConnections"],
            "rows": [[name, "/health", 110] for name in services],
        },
        "limits": LIMITS,
    }


def loopback_network(ports: list[int]) -> tuple[str, int]:
    """Return the prefix of a loopback network and a first port at which nothing listens."""
    for _ in range(50):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        first = random.randrange(10_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in [METRICS_PORT, *(first + port for port in ports)]:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((f"{prefix}.1", port))
            except OSError:
                continue
            return prefix, first
    raise CannotRunError("no free ports")


class Store:
    """The platform's store: objects by kind and name, with revisions and watches."""

    def __init__(self, host: str, port: int) -> None:
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict]] = []
        self._revision = 1
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: object) -> None:
                """Log nothing."""

            def do_GET(self) -> None:
                store.serve(self)

            do_POST = do_PUT = do_DELETE = do_GET  # noqa: N815

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: object) -> None:
                """Ignore connections that a daemon has reset or that ended with it."""

        self._server = Server((host, port), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Write an object as the operator does."""
        with self._changed:
            self._store(kind, name, spec)

    def serve(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer one call."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        with self._changed:
            status, answer = self._answer(handler.command, parts[1:], query, body)
        data = json.dumps(answer).encode()
        with contextlib.suppress(OSError):
            handler.send_response(status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Store-Era", "1")
            handler.send_header("Content-Length", str(len(data)))
            handler.end_headers()
            handler.wfile.write(data)

    def _answer(
        self, method: str, path: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        kind = path[0]
        if method == "GET" and "watch" in query:
            return 200, self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET" and len(path) == 1:
            found = [object for (of, _), object in sorted(self._objects.items()) if of == kind]
            return 200, {"items": found, "hasMore": False, "atRev": self._revision}
        if method == "GET":
            found = self._objects.get((kind, path[1]))
            return (200, found) if found else (404, {})
        document = json.loads(body)
        name = document["metadata"]["name"]
        current = self._objects.get((kind, name))
        expected = document["metadata"].get("rev")
        if method == "PUT" and current is None:
            return 404, {}
        if current is not None and (
            method == "POST" or expected not in (None, current["metadata"]["rev"])
        ):
            return 409, current
        return 200, self._store(kind, name, document["spec"])

    def _watch(self, kind: str, after: int, wait_ms: int) -> dict:
        deadline = time.monotonic() + wait_ms / 1_000
        while True:
            events = [
                {"object": object, "deleted": False}
                for revision, of, object in self._history
                if of == kind and revision > after
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "atRev": self._revision}
            self._changed.wait(left_s)

    def _store(self, kind: str, name: str, spec: dict) -> dict:
        self._revision += 1
        metadata = {
            "name": name,
            "rev": self._revision,
            "createdAt": 0,
            "finalizers": [],
            "deletionPending": False,
        }
        object = {"metadata": metadata, "spec": spec, "status": {}}
        self._objects[kind, name] = object
        self._history.append((self._revision, kind, object))
        self._changed.notify_all()
        return object


class Proxy:
    """Forward TCP connections; `silence` makes the open ones carry nothing any more."""

    def __init__(self, listen: tuple[str, int], server: tuple[str, int]) -> None:
        self._server = server
        self._silent_before = 0
        self._count = 0
        self._listener = socket.create_server(listen, backlog=200)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Let all open connections go silent, without a reset; new ones work. Return how many."""
        silenced = self._count - self._silent_before
        self._silent_before = self._count
        return silenced

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            server = socket.create_connection(self._server)
            number, self._count = self._count, self._count + 1
            for pair in ((client, server), (server, client)):
                threading.Thread(target=self._pump, args=(number, *pair), daemon=True).start()

    def _pump(self, number: int, source: socket.socket, sink: socket.socket) -> None:
        source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                if number >= self._silent_before:
                    sink.sendall(data)
            if number >= self._silent_before:
                sink.shutdown(socket.SHUT_WR)


class Backend:
    """An application backend, which runs requests and sends heartbeats to its machine's daemon."""

    def __init__(self, machine: Machine, service: str, work_ms: float, slots: int) -> None:
        self.machine = machine
        self.service = service
        self.work_ms = work_ms
        self.slots = slots
        self.id = f"i-{random.randrange(2**32):08x}"
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.phase = "ready"
        self.beating = True
        # When each request began to run, and its attempt id.
        self.runs: list[tuple[float, str]] = []
        self._listener = socket.create_server(machine.address(APP), backlog=200)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def heartbeat(self) -> int:
        """Send one heartbeat and return the status of the answer."""
        self.sequence += 1
        host, port = self.machine.address(APP)
        body = {
            "address": f"{host}:{port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.machine.zone,
                "maxConcurrency": self.slots,
            },
            "status": {"phase": self.phase, "sequence": self.sequence, "coldLeftMs": 0},
        }
        return self.send_beat(body)

    def send_beat(self, body: dict) -> int:
        """Send `body` as a heartbeat of this backend's id and return the status of the answer."""
        path = f"/rpc?call=instances.heartbeat&of={self.id}"
        return ask(self.machine.address(CONTROL), "POST", path, json.dumps(body).encode(), 1.0)[0]

    def _beat(self) -> None:
        while True:
            if self.beating:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self.heartbeat()
            time.sleep(HEARTBEAT_MS / 1_000)

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as stream:
            while self._serve_request(sock, stream):
                pass

    def _serve_request(self, sock: socket.socket, stream) -> bool:
        line = stream.readline().decode("latin-1")
        if not line:
            return False
        headers = {}
        while text := stream.readline().decode("latin-1").strip():
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        path = line.split()[1]
        attempt = headers.get("x-egret-attempt-id", "")
        if path == "/health":
            status = "200 OK" if self.phase == "ready" else "503 Service Unavailable"
            identity = f"X-Egret-Instance: {self.id}"
            sock.sendall(response(status, b"", "", identity, *self._notices()))
            return True
        if headers.get("x-egret-expect-instance", self.id) != self.id:
            status = "421 Misdirected Request"
            sock.sendall(response(status, b"", attempt, f"X-Egret-Instance: {self.id}"))
            return True
        self.runs.append((time.monotonic(), attempt))
        self.machine.deployment.record.write(
            f"run      {attempt} at {self.id} ({self.service}, {self.phase}), {len(body)} bytes"
        )
        time.sleep(self.work_ms / 1_000)
        if self.answers_oddly(sock, attempt):
            return False
        own = f"{self.service} ran {attempt}".encode()
        stamp = f"X-Egret-Stamp: {self.service}.{attempt}"
        sock.sendall(response("200 OK", own, attempt, stamp, *self._notices()))
        return True

    def answers_oddly(self, sock: socket.socket, attempt: str) -> bool:
        """Answer as a faulty backend and return True; a sound one doesn't."""
        return False

    def _notices(self) -> list[str]:
        """Return the headers with which a backend that leaves says so in each answer."""
        return [] if self.phase == "ready" else ["Server-Leaving: 1"]


def response(status: str, body: bytes, attempt: str, *headers: str) -> bytes:
    """Return the bytes of a backend's answer."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
    if attempt:
        lines.append(f"X-Egret-Attempt-Id: {attempt}")
    return "\r\n".join([*lines, *headers]).encode() + b"\r\n\r\n" + body


class Machine:
    """A machine with its daemon, which the platform starts, restarts and stops."""

    def __init__(self, deployment: Deployment, number: int, zone: str) -> None:
        self.deployment = deployment
        self.number = number
        self.zone = zone
        self.name = f"sidecar-{zone}-{number}"
        self.host = f"{deployment.prefix}.{number}"
        self.service = ""
        self.first_start = True
        # The store's address as this machine reaches it.
        self.store_address = deployment.store_address
        self.settings = deployment.folder / f"{self.name}.toml"
        self.popen: subprocess.Popen | None = None

    def address(self, port: int) -> tuple[str, int]:
        """Return the address of one of this machine's ports."""
        return self.host, self.deployment.first_port + port

    def write_settings(self) -> None:
        """Write the settings file from the template, as the platform does."""
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.host,
            "service": self.service,
            "firstStart": self.first_start,
            "listenAddrs": {
                "inbound": _text(self.address(INBOUND)),
                "outbound": _text(self.address(OUTBOUND)),
                "ready": _text(self.address(READY)),
                "control": _text(self.address(CONTROL)),
            },
            "internalPortRange": [self.deployment.first_port + LINK],
            "platform": {"address": _text(self.store_address)},
            "limits": {"memoryMb": self.deployment.memory_mb},
            "contractParams": BOUNDS,
        }
        template = (ROOT / self.deployment.role["template"]).read_text()
        # The file is replaced whole, so that no half-written one is read.
        new = self.settings.with_suffix(".new")
        new.write_text(re.sub(r"\{\{([^}]+)\}\}", lambda match: _fill(match[1], fields), template))
        new.replace(self.settings)

    def start(self) -> None:
        """Start the daemon with the command of the deploy file, unless the case is over."""
        with self.deployment.starting:
            if not self.deployment.over:
                self._start()

    def _start(self) -> None:
        self.write_settings()
        self.first_start = False
        role = self.deployment.role
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= role.get("env", {})
        environment["EGRETWORKS_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.popen = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.deployment.record.write(f"start    {self.name}, process {self.popen.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the daemon."""
        self.deployment.record.write(f"signal   {number} to {self.name}")
        self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the daemon if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            return ask(self.address(READY), "GET", "/readiness", None, 1.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False


class Deployment:
    """The store, the machines and the record of one run."""

    def __init__(self, case: Path, memory_mb: int = 150) -> None:
        self.record = Record(case)
        self.memory_mb = memory_mb
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = next(iter(deploy["roles"].values()))
        self.folder = Path(tempfile.mkdtemp(prefix="egretworks-review-"))
        self.prefix, self.first_port = loopback_network(list(range(6)))
        self.store_address = (f"{self.prefix}.250", self.first_port)
        self.store = Store(*self.store_address)
        self.machines: list[Machine] = []
        self.backends: list[Backend] = []
        # No daemon is started any more once the case is over.
        self.over = False
        self.starting = threading.Lock()

    def add(
        self, zone: str, service: str, work_ms: float = 20.0, slots: int = 9, kind: type = Backend
    ) -> Machine:
        """Add a machine with its backend of `kind`; its daemon isn't started yet."""
        machine = Machine(self, len(self.machines) + 1, zone)
        machine.service = service
        self.machines.append(machine)
        self.backends.append(kind(machine, service, work_ms, slots))
        return machine

    def start(self) -> None:
        """Start all daemons and wait until each is ready and the backends are served."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            wait_for(machine.ready, f"{machine.name} to be ready")
        for backend in self.backends:
            wait_for(
                lambda backend=backend: backend.heartbeat() == 200, f"{backend.id} to be taken in"
            )
        # Health checks, rows and links settle.
        time.sleep(4)

    def end(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        with self.starting:
            self.over = True
        for machine in self.machines:
            machine.end()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def request(
        self,
        machine: Machine,
        attempt: str,
        path: str,
        method: str = "GET",
        *,
        body: bytes | None = None,
        deadline_ms: int = 1_500,
    ) -> tuple[int, bytes]:
        """Send a client's request over a new connection; return status (0 for none) and body."""
        headers = {
            "Host": "mesh.example",
            "X-Egret-Attempt-Id": attempt,
            "X-Egret-Deadline-Ms": str(deadline_ms),
        }
        self.record.write(f"sent     {attempt} {method} {path} to {machine.name}")
        try:
            status, data = ask(
                machine.address(OUTBOUND), method, path, body, deadline_ms / 1_000, headers
            )
        except (OSError, http.client.HTTPException) as error:
            status, data = 0, repr(error).encode()
        self.record.write(f"answered {attempt} {status} {data[:70].decode('latin-1')}")
        return status, data


class MemoryLimit:
    """End a daemon that exceeds its memory and start it again, as the platform does."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.ends = {machine.name: 0 for machine in deployment.machines}
        self.peaks_mb = {machine.name: 0.0 for machine in deployment.machines}
        self._stopped = False
        self._threads = [
            threading.Thread(target=self._watch, args=(machine,), daemon=True)
            for machine in deployment.machines
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped = True
        for thread in self._threads:
            thread.join()

    def broken(self) -> str:
        """Return what broke the rule on processes that end by themselves, if anything did."""
        self._deployment.record.write(f"ends     {self.ends}, peaks in MB {self.peaks_mb}")
        often = [name for name, ends in self.ends.items() if ends >= MAX_ENDS]
        if len(often) < max(MAX_MACHINES, len(self.ends) / 10):
            return ""
        return f"{len(often)} daemons ended {MAX_ENDS} times or more: {self.ends}"

    def _watch(self, machine: Machine) -> None:
        limit_mb = self._deployment.memory_mb
        while not self._stopped:
            time.sleep(0.005)
            used_mb = resident_mb(machine.popen.pid)
            self.peaks_mb[machine.name] = max(self.peaks_mb[machine.name], round(used_mb))
            if used_mb <= limit_mb:
                continue
            self._deployment.record.write(
                f"over     {machine.name} uses {used_mb:.0f} MB of {limit_mb} MB and is ended"
            )
            machine.end()
            self.ends[machine.name] += 1
            time.sleep(RESTART_DELAY_S)
            machine.start()


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB of 2**20 bytes; 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def ask(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes | None,
    timeout_s: float,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one request over a new connection and return the status and body of the answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def wait_for(condition, what: str, timeout_s: float = 30.0) -> None:
    """Wait until `condition` holds; the case can't run if it doesn't in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRunError(f"waited {timeout_s} s for {what}")
        time.sleep(0.05)


def run_case(case: Path, play, **options) -> None:
    """Run `play(deployment)`, which returns what broke the rule, and exit as a case has to."""
    try:
        deployment = Deployment(case, **options)
    except (OSError, CannotRunError) as error:
        print(f"the case could not run: {error}")
        os._exit(2)
    try:
        broken = play(deployment)
        status = 1 if broken else 0
        verdict = f"broken: {broken}" if broken else "held"
    except (OSError, CannotRunError) as error:
        status, verdict = 2, f"could not run: {error!r}"
    finally:
        deployment.end()
    deployment.record.write(f"verdict  {verdict}")
    print(verdict)
    sys.stdout.flush()
    # Threads of the stand-ins may still wait on their sockets.
    os._exit(status)


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _fill(placeholder: str, fields: dict) -> str:
    name, _, form = placeholder.partition("|")
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return json.dumps(value) if form == "json" else str(value)
