"""Stand in for callers: send requests at a steady rate, whatever the answers take.

`python -m standins.caller --help` lists its options. It prints one JSON document with what became
of the requests; each answer is checked to be whole and to be the one to its own request.
"""

from __future__ import annotations

import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

import argparse
import hashlib
import json
import random
import signal
import time
from collections import Counter

import urllib3


class Caller:
    """Send requests by `options` and count what becomes of them."""

    def __init__(self, options) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.ports = [int(port) for port in options.ports.split(",")]
        self.pools = {
            port: urllib3.HTTPConnectionPool(
                "127.0.0.1", port, maxsize=200, block=False, retries=False
            )
            for port in self.ports
        }
        self.results = Counter()
        self.latencies_ms = []
        self.stopped = False

    def run(self):
        """Send for as long as asked and return the totals."""
        green = eventlet.GreenPool(4_000)
        started = time.monotonic()
        at = 0.0
        number = 0
        while at < self.options.seconds and not self.stopped:
            delay = started + at - time.monotonic()
            if delay > 0:
                eventlet.sleep(delay)
            green.spawn_n(self.send, number, started + at)
            number += 1
            at += self.random.expovariate(self.options.rate)
        green.waitall()
        return self.totals(number)

    def send(self, number, due):
        """Send one request; its time counts from when it was due."""
        ports = self.random.sample(self.ports, len(self.ports))
        path = f"{self.options.path}/{self.options.seed}-{number}"
        body = None
        headers = {"Egret-Deadline-Ms": str(self.options.timeout_ms)}
        if self.options.method == "POST":
            body = f"body {self.options.seed}-{number}".encode()
            headers["Idempotency-Key"] = f"{self.options.seed}-{number}"
        try:
            response = self.send_to_first(ports, path, body, headers)
        except urllib3.exceptions.HTTPError as error:
            self.results[f"cut: {type(error).__name__}"] += 1
            return
        self.judge(response, path, body)
        self.latencies_ms.append((time.monotonic() - due) * 1000)

    def send_to_first(self, ports, path, body, headers):
        """Send a request to the first daemon that takes connections."""
        timeout = self.options.timeout_ms / 1000 + 2
        for port in ports[:-1]:
            try:
                return self.pools[port].request(
                    self.options.method, path, body=body, headers=headers, timeout=timeout
                )
            except urllib3.exceptions.NewConnectionError:
                continue
        return self.pools[ports[-1]].request(
            self.options.method, path, body=body, headers=headers, timeout=timeout
        )

    def judge(self, response, path, body):
        """Count an answer, and check that it is the whole answer to this request."""
        if response.status != 200:
            refused = response.headers.get("Egret-Not-Run") == "true"
            code = response.headers.get("Egret-Error", str(response.status))
            self.results[f"{'refused' if refused else 'failed'}: {code}"] += 1
            return
        answer = json.loads(response.data)
        own = answer["path"] == path
        if body is not None:
            own = own and answer["body_sha256"] == hashlib.sha256(body).hexdigest()
        self.results["ok" if own else "wrong"] += 1

    def totals(self, sent):
        """Return what became of all requests."""
        ordered = sorted(self.latencies_ms)
        return {
            "sent": sent,
            "ok": self.results["ok"],
            "wrong": self.results["wrong"],
            "refused": _sum(self.results, "refused"),
            "failed": _sum(self.results, "failed"),
            "cut": _sum(self.results, "cut"),
            "results": dict(self.results),
            "p50_ms": _percentile(ordered, 0.50),
            "p99_ms": _percentile(ordered, 0.99),
            "p999_ms": _percentile(ordered, 0.999),
        }


def _sum(results, kind):
    return sum(count for result, count in results.items() if result.startswith(f"{kind}:"))


def _percentile(ordered, share):
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))], 2)


def main():
    """Send requests by the options of the command line and print the totals."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", required=True, help="call ports of daemons, by commas")
    parser.add_argument("--path", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--rate", type=float, default=50, help="requests a second")
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--timeout-ms", type=int, default=2_000)
    parser.add_argument("--seed", type=int, default=1)
    caller = Caller(parser.parse_args())
    signal.signal(signal.SIGTERM, lambda *_: setattr(caller, "stopped", True))
    print(json.dumps(caller.run()), flush=True)


if __name__ == "__main__":
    main()
