"""Run the stand-in platform, daemons and targets as processes, and poll for conditions."""

import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from faultproxy import FaultProxy

ROOT = Path(__file__).parent.parent
WAIT_TIMEOUT_S = 30
FIRST_PORT = 10_000
PORTS_PER_WORKER = 1_200


def wait_for(condition, what, timeout_s=WAIT_TIMEOUT_S):
    """Poll `condition` and return its first true value; on a timeout, fail and name `what`."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"waited {timeout_s} s for {what}; last saw {value!r}")
        time.sleep(0.03)


def _worker_ports():
    """Yield ports of this xdist worker's own range, which is below the ephemeral ports."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    first = FIRST_PORT + int(worker) * PORTS_PER_WORKER
    yield from itertools.cycle(range(first, first + PORTS_PER_WORKER))


_port_cycle = _worker_ports()


def free_port():
    """Return a port that is free for TCP and UDP on loopback."""
    for port in _port_cycle:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def ask(port, method, path, body=None, headers=None, timeout=10):
    """Send one request to `port` on loopback and return the status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def ask_json(port, path, method="GET", body=None):
    """Return the decoded JSON answer, or None if there is no answer or its status is not 200."""
    try:
        status, _, data = ask(port, method, path, body=body, timeout=2)
    except (OSError, http.client.HTTPException):
        return None
    return json.loads(data) if status == 200 else None


class Process:
    """A Python program run as a child process; its output is appended to the file `log`."""

    def __init__(self, arguments, log):
        self.arguments = arguments
        self.log = log
        self.popen = None
        self.start()

    def start(self):
        environment = {
            **os.environ,
            "PYTHONPATH": f"{ROOT}:{ROOT / 'examples'}",
            **self.environment(),
        }
        with open(self.log, "ab") as stream:
            self.popen = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdout=stream,
                stderr=stream,
                env=environment,
                cwd=ROOT,
            )

    def environment(self):
        """Return additional environment variables for the program."""
        return {}

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def wait(self):
        return self.popen.wait(WAIT_TIMEOUT_S)

    def end(self):
        """Kill the process if it still runs, also if it is stopped by SIGSTOP."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.kill()


class Platform(Process):
    """The stand-in platform, run as a process."""

    def __init__(self, folder):
        self.port = free_port()
        super().__init__(["-m", "standins.platform", str(self.port)], folder / "platform.log")
        wait_for(lambda: ask_json(self.port, "/admin/counts"), "the stand-in platform")

    def faults(self, **faults):
        """Set the given faults; the others stay as they are."""
        return ask_json(self.port, "/admin/faults", "PUT", json.dumps(faults))

    def save(self):
        """Save the state to which `restore` goes back."""
        ask_json(self.port, "/admin/save", "PUT")

    def restore(self):
        """Go back to the saved state, as a store that is restored from a copy."""
        ask_json(self.port, "/admin/restore", "PUT")

    def counts(self):
        """Return the numbers of reads, writes and watches served so far."""
        return ask_json(self.port, "/admin/counts")

    def configure(self, document):
        """Write the configuration object through the users' object API, as their operator does."""
        body = json.dumps({"metadata": {"name": "main"}, "spec": json.loads(document)})
        if ask(self.port, "PUT", "/objects/config/main", body)[0] == 404:
            assert ask(self.port, "POST", "/objects/config", body)[0] == 200

    def object(self, kind, name):
        """Return the value of an object, as text."""
        return ask(self.port, "GET", f"/v1/objects/{kind}/{name}")[2].decode()


class Daemon(Process):
    """One egretd process with its own settings file."""

    def __init__(self, folder, id, data_centre, platform_port, ports, seeds, extra=""):
        self.id = id
        self.data_centre = data_centre
        self.call_port, self.operator_port, self.peer_port = ports
        self.settings = folder / f"{id}.toml"
        seed_list = ", ".join(f'"127.0.0.1:{port}"' for port in seeds)
        self.settings.write_text(f"""
[instance]
id = "{id}"
data_centre = "{data_centre}"
host = "127.0.0.1"
call_port = {self.call_port}
operator_port = {self.operator_port}
peer_port = {self.peer_port}
[platform]
address = "127.0.0.1:{platform_port}"
timeout_ms = 1000
[peers]
seeds = [{seed_list}]
repair_ms = 1000
{extra}
""")
        super().__init__(["-m", "egretworks.egretd", str(self.settings)], folder / f"{id}.log")

    def status(self):
        return ask_json(self.operator_port, "/v1/status")

    def events(self):
        """Return the events of the timeline, or none if the daemon does not answer."""
        page = ask_json(self.operator_port, "/v1/events")
        return page["events"] if page else []

    def version(self):
        """Return the configuration version in force, or -1 if the daemon does not answer."""
        status = self.status()
        return status["version"] if status else -1

    def call(self, path, method="GET", body=None, headers=None, timeout=10):
        return ask(self.call_port, method, path, body, headers, timeout)

    def log_events(self):
        """Return the events in the log file, which also covers earlier runs of this daemon."""
        lines = [json.loads(x) for x in self.log.read_text().splitlines() if x.startswith("{")]
        return [line["event"] for line in lines if "event" in line]


class Target(Process):
    """One stand-in target beside `daemon`; `options` are passed on as command-line options."""

    def __init__(self, folder, id, service, daemon, **options):
        self.id = id
        self.port = free_port()
        arguments = ["-m", "standins.target", "--id", id, "--service", service]
        arguments += ["--port", str(self.port), "--daemon", f"127.0.0.1:{daemon.operator_port}"]
        arguments += ["--announce-ms", "300"]
        for name, value in options.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        super().__init__(arguments, folder / f"{id}.log")

    def set_behaviour(self, **behaviour):
        """Change the given behaviours; the others stay as they are."""
        return ask_json(self.port, "/admin/behaviour", "PUT", json.dumps(behaviour))

    def runs(self):
        """Return how often each idempotency key or call id was run."""
        return ask_json(self.port, "/admin/runs")

    def counts(self):
        return ask_json(self.port, "/admin/counts")


class Mesh:
    """The processes of one test: a stand-in platform, daemons, targets and proxies."""

    def __init__(self, folder):
        self.folder = folder
        self.platform = Platform(folder)
        self.daemons = []
        self.targets = []
        self.proxies = []
        self.client_settings = folder / "egretctl.toml"

    def start_daemons(self, count, data_centres=("zg-trnje",), platform_port=None, extra=""):
        """Start `count` daemons, spread over `data_centres`, and wait until all know each other."""
        ports_by_daemon = [[free_port() for _ in range(3)] for _ in range(count)]
        seeds = [ports[2] for ports in ports_by_daemon]
        for index, ports in enumerate(ports_by_daemon):
            centre = data_centres[index % len(data_centres)]
            platform = platform_port or self.platform.port
            id = f"d{len(self.daemons)}"
            self.daemons.append(Daemon(self.folder, id, centre, platform, ports, seeds, extra))
        for daemon in self.daemons:
            wait_for(daemon.status, f"daemon {daemon.id}")
        self.write_client_settings()
        wait_for(
            lambda: all(d.status()["members"] == len(self.daemons) for d in self.daemons),
            "every daemon to know all others",
        )
        return self.daemons

    def proxy(self, port):
        """Return a fault-injecting proxy to `port`; it is closed when the test ends."""
        proxy = FaultProxy(port)
        self.proxies.append(proxy)
        return proxy

    def write_client_settings(self):
        """Write the settings file for egretctl."""
        addresses = ", ".join(f'"127.0.0.1:{d.operator_port}"' for d in self.daemons)
        self.client_settings.write_text(f"""
daemons = [{addresses}]
operator = "test"
[platform]
address = "127.0.0.1:{self.platform.port}"
""")

    def start_target(self, id, service, daemon, **options):
        target = Target(self.folder, id, service, daemon, **options)
        self.targets.append(target)
        wait_for(lambda: ask_json(target.port, "/admin/health"), f"target {id}")
        return target

    def ctl(self, *arguments, status=0):
        """Run egretctl, check its exit status, and return its output, decoded if it is JSON."""
        done = self.run_ctl(*arguments)
        assert done.returncode == status, (done.returncode, done.stdout, done.stderr)
        return json.loads(done.stdout) if done.stdout[:1] in ("{", "[") else done.stdout

    def run_ctl(self, *arguments):
        """Run egretctl and return the `CompletedProcess`."""
        return subprocess.run(
            [
                *(sys.executable, "-m", "egretworks.cmdline", *map(str, arguments)),
                *("--settings", str(self.client_settings)),
            ],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=60,
        )

    def ticket_file(self, text):
        path = self.folder / f"ticket-{time.monotonic_ns()}.toml"
        path.write_text(text)
        return path

    def put_in_force(self, text):
        """File and accept a ticket, wait until all daemons have it, and return its version."""
        number = self.ctl("file", self.ticket_file(text), "--json")["number"]
        version = self.ctl("accept", number, "--json")["version"]
        self.await_version(version)
        return version

    def await_version(self, version, daemons=None):
        """Wait until `daemons`, by default all, are ready at `version` or a later one."""
        for daemon in daemons or self.daemons:
            wait_for(lambda d=daemon: d.version() >= version, f"version {version} at {daemon.id}")
            wait_for(lambda d=daemon: d.status()["ready"], f"{daemon.id} to be ready")

    def await_targets(self, count, daemons=None):
        """Wait until `daemons`, by default all, see exactly `count` ready targets."""
        for daemon in daemons or self.daemons:
            wait_for(lambda d=daemon: len(ready_targets(d)) == count, f"{count} targets")

    def end(self):
        """Kill all processes and close the proxies."""
        for process in [*self.targets, *self.daemons, self.platform]:
            process.end()
        for proxy in self.proxies:
            proxy.close()


def ready_targets(daemon):
    """Return the ready targets of all live members, as `daemon` sees the fleet."""
    fleet = ask_json(daemon.operator_port, "/v1/fleet") or {"members": []}
    live = [m["status"] for m in fleet["members"] if m["status"]["state"] in ("alive", "suspect")]
    return [t for member in live for t in member["targets"] if t.endswith(":ready")]


LEDGER_TICKET = """
title = "ledger lookups"
[[services]]
name = "ledger"
[[routes]]
name = "ledger-read"
service = "ledger"
repeat = "idempotent"
match = { path_prefix = "/ledger", methods = ["GET"] }
"""

PAYOUT_TICKET = """
title = "payouts"
[[services]]
name = "payout-desk"
[[routes]]
name = "payouts"
service = "payout-desk"
repeat = "once"
timeout_ms = 6000
match = { path_prefix = "/payouts" }
[[routes]]
name = "payout-list"
service = "payout-desk"
repeat = "idempotent"
match = { path_prefix = "/list" }
"""
