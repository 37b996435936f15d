"""Stand-ins for the platform's store, the backends, the clients and the operator of a small mesh.

The daemons are the project's own programs, started with the `run` line of the deploy file and a
settings file that is made from the template which that file names. Only the standard library is
used. Every address is a loopback address, one for each machine.
"""

import contextlib
import http.client
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
METRICS_PORT = 9464
LINK_PORT = 7600
COLUMNS = (
    "name",
    "host",
    "pathPrefix",
    "kind",
    "timeoutMs",
    "targetLatencyMs",
    "priority",
    "service",
    "maxAttempts",
)


class Unfit(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """Collect what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []
        self._lock = threading.Lock()

    def add(self, text):
        """Add a line."""
        with self._lock:
            self.lines.append(f"{time.monotonic() - self.started:8.3f} s  {text}")

    def save(self, path):
        """Write all lines to `path`."""
        path.write_text("\n".join(self.lines) + "\n")


def render(template, fields):
    """Fill in the placeholders and sections of a template, as the platform does."""

    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = find(match[1])
        if value is None or value is False:
            return ""
        text = value if isinstance(value, str) else json.dumps(value)
        return match[2].replace("{{.}}", text)

    def placeholder(match):
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ""
        return value if isinstance(value, str) else json.dumps(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def free_network():
    """Return the first three numbers of loopback addresses that nobody uses."""
    for _ in range(50):
        prefix = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        try:
            for last in range(1, 12):
                for port in (METRICS_PORT, LINK_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{last}", port))
        except OSError:
            continue
        return prefix
    raise Unfit("no free loopback addresses")


def free_port(host):
    """Return a TCP port that is free on `host`."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def ask(host, port, method, path, body=None, headers=None, timeout=10.0):
    """Send one request on a new connection and return the status, headers and body."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_for(condition, what, timeout_s=20.0):
    """Poll `condition` until it is true, or raise `Unfit`, which names `what`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise Unfit(f"waited {timeout_s:g} s for {what}")
        time.sleep(0.05)


class Store:
    """The platform's store: objects by kind and name, revisions and watches."""

    def __init__(self, host):
        self.host = host
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                status, answer = store.serve(self.command, self.path, body)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        for method in ("GET", "POST", "PUT", "DELETE"):
            setattr(Handler, f"do_{method}", Handler.handle_call)

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                pass

        self.server = Server((host, 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, method, url, body):
        """Return the status and the body of the answer to a call."""
        path, _, query = url.partition("?")
        parts = path.strip("/").split("/")[1:]
        fields = dict(field.partition("=")[::2] for field in query.split("&") if field)
        with self.changed:
            if method == "GET" and len(parts) == 1:
                return self._watch(parts[0], fields) if "watch" in fields else self._list(parts[0])
            name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
            known = self.objects.get((parts[0], name))
            if method == "GET":
                return (200, known) if known else (404, {})
            if method == "POST":
                if known:
                    return 409, known
                return 200, self._put(parts[0], name, body.get("spec"), None)
            if known is None:
                return 404, {}
            if body.get("metadata", {}).get("rev") not in (None, known["metadata"]["rev"]):
                return 409, known
            if parts[2:] == ["status"]:
                return 200, self._put(parts[0], name, known["spec"], body.get("status"))
            return 200, self._put(parts[0], name, body.get("spec"), known["status"])

    def _put(self, kind, name, spec, status):
        known = self.objects.get((kind, name))
        if known and (known["spec"], known["status"]) == (spec, status):
            return known
        self.revision += 1
        metadata = {"name": name, "rev": self.revision, "createdAt": 0, "finalizers": []}
        stored = {
            "metadata": metadata | {"deletionPending": False},
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = stored
        self.events.append((self.revision, kind, stored))
        self.changed.notify_all()
        return stored

    def _list(self, kind):
        items = [stored for (k, _), stored in sorted(self.objects.items()) if k == kind]
        return 200, {"items": items, "hasMore": False, "atRev": self.revision}

    def _watch(self, kind, fields):
        after = int(fields["watch"])
        deadline = time.monotonic() + int(fields.get("waitMs", 30_000)) / 1_000
        while True:
            events = [
                {"object": stored, "deleted": False}
                for revision, k, stored in self.events
                if revision > after and k == kind
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            self.changed.wait(left)

    def configure(self, version, routes, services, **more):
        """Write a configuration as the operator does."""
        spec = {
            "version": f"{version:08x}",
            "routes": {"columns": COLUMNS, "rows": routes},
            "services": {
                "columns": ["name", "healthPath", "maxConnections"],
                "rows": [[name, "/health", 130] for name in services],
            },
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 1_048_576,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
        } | more
        with self.changed:
            self._put("config", "main", spec, None)


class Backend:
    """A backend: runs each request for `work_s` and answers it with its own id and body."""

    def __init__(self, mesh, machine, service, slots=12, id=None, born_s=None):
        self.mesh, self.machine, self.service, self.slots = mesh, machine, service, slots
        self.id = id or f"i-{random.randrange(16**8):08x}"
        self.born = int((born_s or time.time()) * 1_000)
        self.sequence = 0
        self.phase = "ready"
        self.work_s = 0.05
        # Share of the answers after which the connection is closed.
        self.last_answer_share = 0.0
        self.runs = []
        self.run_times = []
        self.stopped = False
        self.sockets = set()
        self.acknowledged = threading.Event()
        self.port = machine.app_port
        self.listener = socket.create_server((machine.host, self.port), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()
        mesh.record.add(f"backend {self.id} ({service}) starts beside {machine.name}")

    def _call(self, call, body):
        path = f"/rpc?call=instances.{call}&of={self.id}"
        headers = {"Content-Type": "application/json"}
        try:
            data = json.dumps(body)
            return ask(self.machine.host, self.machine.control, "POST", path, data, headers, 1.0)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def _beat(self):
        while not self.stopped:
            self.sequence += 1
            phase = self.phase
            body = {
                "address": f"{self.machine.host}:{self.port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.machine.zone,
                    "maxConcurrency": self.slots,
                },
                "status": {"phase": phase, "sequence": self.sequence, "coldLeftMs": 0},
            }
            accepted = 200 <= self._call("heartbeat", body) < 300
            if accepted and phase == self.phase:
                self.acknowledged.set()
            time.sleep(HEARTBEAT_S if accepted else 0.2)

    def announce_draining(self):
        """Report `draining` until that is acknowledged."""
        self.acknowledged.clear()
        self.phase = "draining"
        if not self.acknowledged.wait(6):
            raise Unfit("the draining of a backend was not acknowledged")
        self.mesh.record.add(f"backend {self.id} is draining, which was acknowledged")

    def deregister(self):
        """Report that the backend leaves."""
        self._call("deregister", {"born": self.born})

    def leave(self):
        """Drain, leave and exit, as before a planned shutdown."""
        self.announce_draining()
        time.sleep(DRAIN_S + 0.5)
        self.deregister()
        self.exit()

    def exit(self):
        """End at once, as a process that is killed."""
        self.stopped = True
        for sock in [self.listener, *self.sockets]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        self.mesh.record.add(f"backend {self.id} has ended")

    def _accept(self):
        while not self.stopped:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        stream = sock.makefile("rb")
        try:
            while self._serve_one(sock, stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _serve_one(self, sock, stream):
        line = stream.readline().decode("latin-1")
        if not line:
            return False
        method, url, _ = line.split()
        headers = {}
        while (text := stream.readline().decode("latin-1").strip()) != "":
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        id = headers.get("x-egret-attempt-id", "")
        if url == "/health":
            status = "503 Service Unavailable" if self.phase == "draining" else "200 OK"
            sock.sendall(encode(status, [f"X-Egret-Instance: {self.id}"], b""))
        elif headers.get("x-egret-expect-instance", self.id) != self.id:
            sock.sendall(encode("421 Misdirected Request", [f"X-Egret-Attempt-Id: {id}"], b""))
        else:
            return self._run(sock, method, url, id, headers, body)
        return True

    def _run(self, sock, method, url, id, headers, body):
        self.runs.append(id)
        self.run_times.append(time.monotonic())
        self.mesh.runs.append((id, self.id, method, url, headers, body))
        self.mesh.record.add(f"backend {self.id} runs {id}: {method} {url} {body[:60]!r}")
        time.sleep(self.work_s)
        answer = b"%s done for %s by %s" % (body[:60], id.encode(), self.id.encode())
        stamp = f"X-Egret-Stamp: {self.id}.{id}"
        closes = random.random() < self.last_answer_share
        kept = "Connection: close" if closes else "Keep-Alive: timeout=10"
        self.mesh.record.add(f"backend {self.id} answers {id}")
        sock.sendall(encode("200 OK", [f"X-Egret-Attempt-Id: {id}", stamp, kept], answer))
        return not closes


def encode(status, headers, body):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Machine:
    """A machine with its daemon, which is started as the deploy file says."""

    def __init__(self, mesh, number, zone, service, **fields):
        self.mesh, self.zone, self.service = mesh, zone, service
        self.host = f"{mesh.network}.{number}"
        self.name = f"sidecar-{zone}-{number}"
        self.outbound, self.inbound, self.ready, self.control = (
            free_port(self.host) for _ in range(4)
        )
        self.app_port = free_port(self.host)
        self.log = mesh.folder / f"{self.name}.log"
        self.settings = mesh.folder / f"{self.name}.toml"
        self.fields = self._fields() | fields
        self.popen = None
        # The limit on open files, as the platform sets it; None for that of the machine.
        self.max_files = None
        self.write_settings()

    def _fields(self):
        return {
            "nodeName": self.name,
            "role": "meshd",
            "machineClass": "sidecar",
            "serves": ["sidecar", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": "zagreb",
            "firstStart": True,
            "appAddr": f"{self.host}:{self.app_port}",
            "service": self.service,
            "limits": {"memoryMb": 300, "maxFds": 4_100, "linkMbps": 1_000.0},
            "internalPortRange": [LINK_PORT, LINK_PORT + 15],
            "seedNodes": [],
            "listenAddrs": {
                "inbound": f"{self.host}:{self.inbound}",
                "outbound": f"{self.host}:{self.outbound}",
                "ready": f"{self.host}:{self.ready}",
                "control": f"{self.host}:{self.control}",
            },
            "platform": {"address": f"{self.mesh.store.host}:{self.mesh.store.port}"},
            "contractParams": {
                "drainMs": 2_000,
                "graceS": 6,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "retryBudgetSlack": 62,
            },
        }

    def write_settings(self):
        """Write the settings file from the template."""
        template = (ROOT / self.mesh.role["template"]).read_text()
        self.settings.write_text(render(template, self.fields))

    def start(self):
        """Start the daemon as a process."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= self.mesh.role.get("env", {})
        environment["EGRETWORKS_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                self.mesh.role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_files,
            )
        self.mesh.record.add(f"daemon of {self.name} starts")

    def _limit_files(self):
        if self.max_files is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_files, self.max_files))

    def is_ready(self):
        """Return whether the readiness check of the daemon succeeds."""
        try:
            return ask(self.host, self.ready, "GET", "/readiness", timeout=1.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def signal(self, number):
        """Send a signal to the daemon."""
        self.popen.send_signal(number)
        self.mesh.record.add(f"daemon of {self.name} gets {signal.Signals(number).name}")

    def freeze(self):
        """Let the daemon stand still."""
        self.signal(signal.SIGSTOP)

    def wake(self):
        """Let the daemon go on."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """Kill the daemon."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def end(self):
        """End the daemon, also if it stands still."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def send(self, id, path, method="POST", body=b"", left_ms=6_000, host="pool.example", more=()):
        """Send a client's request and return its answer, or None if there was none."""
        headers = {
            "Host": host,
            "X-Egret-Attempt-Id": id,
            "X-Egret-Deadline-Ms": str(left_ms),
        } | dict(more)
        self.mesh.record.add(f"client at {self.name} sends {id}: {method} {path} {body[:60]!r}")
        try:
            answer = ask(self.host, self.outbound, method, path, body, headers, left_ms / 1_000 + 1)
        except (OSError, http.client.HTTPException) as error:
            self.mesh.record.add(f"client gets no answer to {id}: {error!r}")
            return None
        status, headers, data = answer
        told = headers.get("X-Egret-Attempt-Id")
        stamp = headers.get("X-Egret-Stamp")
        text = f"client gets {status} to {id}: attempt id {told}, stamp {stamp}, {data[:120]!r}"
        self.mesh.record.add(text)
        return answer


class Mesh:
    """The processes and stand-ins of one case."""

    def __init__(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = next(iter(deploy["roles"].values()))
        if not (ROOT / "target" / "deps").is_dir():
            raise Unfit("target/deps is missing: run the build of the deploy file first")
        self.record = Record()
        self.runs = []
        self.network = free_network()
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = Store(f"{self.network}.250")
        self.machines = []

    def add(self, zone, service, **fields):
        """Add a machine; `fields` are those of its settings that differ."""
        machine = Machine(self, len(self.machines) + 1, zone, service, **fields)
        self.machines.append(machine)
        return machine

    def start(self):
        """Start all daemons and one backend beside each; return the backends."""
        backends = self.start_daemons(self.machines)
        self.await_heartbeats(backends)
        return backends

    def start_daemons(self, with_backends=()):
        """Start all daemons, and a backend beside each machine that is given."""
        for machine in self.machines:
            machine.start()
        backends = [Backend(self, machine, machine.service) for machine in with_backends]
        for machine in self.machines:
            wait_for(machine.is_ready, f"{machine.name} to be ready")
        return backends

    def await_heartbeats(self, backends, settle_s=4.0):
        """Wait until heartbeats of all `backends` are acknowledged and known everywhere."""
        for backend in backends:
            wait_for(backend.acknowledged.is_set, f"a heartbeat of {backend.id}")
        time.sleep(settle_s)

    def keep_logs(self):
        """Copy the logs of the daemons to the folder that KEEP_LOGS names, if it is set."""
        folder = os.environ.get("KEEP_LOGS")
        for machine in self.machines if folder else ():
            if machine.log.exists():
                (Path(folder) / machine.log.name).write_bytes(machine.log.read_bytes())

    def end(self):
        """End all processes that were started."""
        for machine in self.machines:
            machine.end()
        self._folder.cleanup()


def in_background(call, *arguments, **options):
    """Start `call` in a thread; the returned function waits for its result."""
    results = []
    thread = threading.Thread(target=lambda: results.append(call(*arguments, **options)))
    thread.start()

    def join():
        thread.join()
        return results[0]

    return join


def run_case(case, folder):
    """Run `case` with a new mesh, write record.txt into `folder` and return the exit status."""
    mesh = None
    try:
        mesh = Mesh()
        verdict, why = case(mesh)
    except Unfit as error:
        verdict, why = NOT_RUN, str(error)
    except Exception as error:
        # A fault of the case itself says nothing about the rule.
        traceback.print_exc()
        verdict, why = NOT_RUN, repr(error)
    finally:
        if mesh is not None:
            mesh.keep_logs()
            mesh.end()
    if mesh is not None:
        mesh.record.add(f"verdict: {('held', 'broken', 'not run')[verdict]}: {why}")
        mesh.record.save(Path(folder) / "record.txt")
    print(why)
    return verdict
