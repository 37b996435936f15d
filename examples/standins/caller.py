"""An open-loop load generator that stands in for callers: its rate does not depend on the answers.

`python -m standins.caller --help` lists its options. It prints the totals of all requests as one
JSON document. Each answer is checked to be complete and to belong to its own request.
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
    """Send requests as set by `options`; count the results and record the latencies."""

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
        """Send requests with Poisson arrivals until the time is up or `stopped`; return totals."""
        pool = eventlet.GreenPool(4_000)
        started_at = time.monotonic()
        offset_s = 0.0
        number = 0
        while offset_s < self.options.seconds and not self.stopped:
            delay_s = started_at + offset_s - time.monotonic()
            if delay_s > 0:
                eventlet.sleep(delay_s)
            pool.spawn_n(self.send, number, started_at + offset_s)
            number += 1
            offset_s += self.random.expovariate(self.options.rate)
        pool.waitall()
        return self.totals(number)

    def send(self, number, due_at):
        """Send one request; its latency counts from `due_at`, the time it was to be sent."""
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
        self.count_answer(response, path, body)
        self.latencies_ms.append((time.monotonic() - due_at) * 1000)

    def send_to_first(self, ports, path, body, headers):
        """Send a request to the first of `ports` that accepts a connection."""
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

    def count_answer(self, response, path, body):
        """Count an answer by its result: "wrong" if it is not the whole answer to this request."""
        if response.status != 200:
            not_run = response.headers.get("Egret-Not-Run") == "true"
            code = response.headers.get("Egret-Error", str(response.status))
            self.results[f"{'refused' if not_run else 'failed'}: {code}"] += 1
            return
        answer = json.loads(response.data)
        matches = answer["path"] == path
        if body is not None:
            matches = matches and answer["body_sha256"] == hashlib.sha256(body).hexdigest()
        self.results["ok" if matches else "wrong"] += 1

    def totals(self, sent):
        """Return the counts by result and the latency percentiles of `sent` requests."""
        ordered = sorted(self.latencies_ms)
        return {
            "sent": sent,
            "ok": self.results["ok"],
            "wrong": self.results["wrong"],
            "refused": _count_of(self.results, "refused"),
            "failed": _count_of(self.results, "failed"),
            "cut": _count_of(self.results, "cut"),
            "results": dict(self.results),
            "p50_ms": _percentile(ordered, 0.50),
            "p99_ms": _percentile(ordered, 0.99),
            "p999_ms": _percentile(ordered, 0.999),
        }


def _count_of(results, kind):
    return sum(count for result, count in results.items() if result.startswith(f"{kind}:"))


def _percentile(ordered, share):
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))], 2)


def main():
    """Send requests as set by the command-line options and print the totals."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", required=True, help="call ports of daemons, separated by commas")
    parser.add_argument("--path", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--rate", type=float, default=50, help="average requests per second")
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--timeout-ms", type=int, default=2_000)
    parser.add_argument("--seed", type=int, default=1)
    caller = Caller(parser.parse_args())
    signal.signal(signal.SIGTERM, lambda *_: setattr(caller, "stopped", True))
    print(json.dumps(caller.run()), flush=True)


if __name__ == "__main__":
    main()
