"""Start an example deployment on loopback: the stand-in platform, daemons and targets.

`python examples/start.py zagreb` prints the settings file for egretctl and an address for calls,
and runs until it is interrupted.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

EXAMPLES = Path(__file__).parent
START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 20
# Consecutive ports of an instance: calls, operators, peers, and its target.
PORTS_PER_INSTANCE = 4


@dataclass
class Instance:
    """An instance: a daemon and the target beside it, on consecutive ports from `port`."""

    id: str
    data_centre: str
    service: str
    port: int
    daemon: subprocess.Popen | None = None
    target: subprocess.Popen | None = None

    @property
    def operator_address(self) -> str:
        """Return the address of the daemon's operator port."""
        return f"127.0.0.1:{self.port + 1}"


@dataclass
class Deployment:
    """The processes of a deployment, with their settings and log files in `folder`.

    `document` is the decoded deployment.toml; `daemon_program` is the module run as daemon.
    """

    document: dict
    folder: Path
    instances: list[Instance] = field(default_factory=list)
    platform: subprocess.Popen | None = None
    daemon_program: str = "egretworks.egretd"

    @property
    def platform_port(self) -> int:
        """Return the port of the platform's stand-in."""
        return self.document["base_port"]

    @property
    def client_settings(self) -> Path:
        """Return the settings file for egretctl."""
        return self.folder / "egretctl.toml"

    def start(self) -> None:
        """Start all processes and return once every daemon knows all others."""
        self._create_instances()
        self._write_client_settings()
        self.platform = self._spawn("platform", "-m", "standins.platform", self.platform_port)
        for instance in self.instances:
            self.start_daemon(instance)
        for instance in self.instances:
            self._start_target(instance)
        for instance in self.instances:
            self.await_status(instance, lambda status: status["members"] == len(self.instances))

    def start_daemon(self, instance: Instance) -> None:
        """Write the settings file of a daemon and start it."""
        settings = self.folder / f"{instance.id}.toml"
        settings.write_text(self._settings_text(instance), encoding="utf-8")
        instance.daemon = self._spawn(instance.id, "-m", self.daemon_program, settings)

    def await_status(self, instance: Instance, condition) -> dict:
        """Return the status of `instance` once it meets `condition`; exit on a timeout."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            status = get_json(f"http://{instance.operator_address}/v1/status")
            if status and condition(status):
                return status
            time.sleep(0.05)
        raise SystemExit(
            f"{instance.id} did not reach the awaited status within {START_TIMEOUT_S} s; "
            f"see {self.folder}/{instance.id}.log"
        )

    def ctl(self, *arguments: str) -> dict:
        """Run egretctl against this deployment and return its decoded JSON output."""
        settings = ("--settings", str(self.client_settings), "--json")
        done = subprocess.run(
            [sys.executable, "-m", "egretworks.cmdline", *arguments, *settings],
            stdout=subprocess.PIPE,
            text=True,
            check=True,
        )
        return json.loads(done.stdout)

    def stop(self) -> None:
        """Stop every process with SIGTERM; kill those that still run after `STOP_TIMEOUT_S`."""
        running = [p for i in self.instances for p in (i.target, i.daemon) if p]
        for process in [*running, self.platform]:
            if process and process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in [*running, self.platform]:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def _create_instances(self) -> None:
        """Assign ids and ports, and spread the instances over the data centres in turn."""
        centres = self.document["data_centres"]
        port = self.document["base_port"] + 10
        for service in self.document["services"]:
            for number in range(service["targets"]):
                centre = centres[len(self.instances) % len(centres)]
                id = f"{service['name']}-{number + 1}"
                self.instances.append(Instance(id, centre, service["name"], port))
                port += PORTS_PER_INSTANCE

    def _settings_text(self, instance: Instance) -> str:
        seeds = [f"127.0.0.1:{other.port + 2}" for other in self.instances[::3]]
        return f"""[instance]
id = "{instance.id}"
data_centre = "{instance.data_centre}"
host = "127.0.0.1"
call_port = {instance.port}
operator_port = {instance.port + 1}
peer_port = {instance.port + 2}

[platform]
address = "127.0.0.1:{self.platform_port}"

[peers]
seeds = {json.dumps(seeds)}
"""

    def _write_client_settings(self) -> None:
        addresses = [instance.operator_address for instance in self.instances[:4]]
        self.client_settings.write_text(f"""daemons = {json.dumps(addresses)}
operator = "demo"

[platform]
address = "127.0.0.1:{self.platform_port}"
""")

    def _start_target(self, instance: Instance) -> None:
        service = next(s for s in self.document["services"] if s["name"] == instance.service)
        options = {
            "id": instance.id,
            "service": instance.service,
            "port": instance.port + 3,
            "daemon": instance.operator_address,
            "slots": self.document["targets"]["slots"],
            "connections": self.document["targets"]["connections"],
            "work-ms": service["work_ms"],
        }
        if "calls" in service:
            options["calls"] = f"127.0.0.1:{instance.port}{service['calls']}"
        arguments = [f"--{name}={value}" for name, value in options.items()]
        instance.target = self._spawn(f"{instance.id}-target", "-m", "standins.target", *arguments)

    def _spawn(self, name: str, *arguments: object) -> subprocess.Popen:
        paths = [str(EXAMPLES.parent), str(EXAMPLES)]
        with open(self.folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, *map(str, arguments)],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
            )


def load_deployment(name: str, folder: Path) -> Deployment:
    """Return the example deployment `name`, which will keep its files in `folder`."""
    path = EXAMPLES / name / "deployment.toml"
    return Deployment(tomllib.loads(path.read_text(encoding="utf-8")), folder)


def get_json(url: str) -> dict | None:
    """Return the JSON document at `url`, or None if the request fails or it is not JSON."""
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return json.load(response)
    except (OSError, urllib.error.URLError, ValueError):
        return None


def main() -> None:
    """Run a deployment until it is interrupted."""
    with tempfile.TemporaryDirectory(prefix="egretworks-") as folder:
        deployment = load_deployment(sys.argv[1], Path(folder))
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
        try:
            deployment.start()
            print(f"settings for egretctl: {deployment.client_settings}")
            print(f"calls to: 127.0.0.1:{deployment.instances[0].port}", flush=True)
            signal.pause()
        except KeyboardInterrupt:
            pass
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
