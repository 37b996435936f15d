"""Run eventlet's hub from a test while servers run in other threads."""

import time

import eventlet


def run_hub(condition, within_ms=3_000):
    """Run the hub until `condition()` is true; fail after `within_ms` milliseconds."""
    deadline = time.monotonic() + within_ms / 1_000
    while not condition():
        assert time.monotonic() < deadline, f"the condition was not met within {within_ms} ms"
        eventlet.sleep(0.005)


def run_hub_for(ms):
    """Run the hub for `ms` milliseconds."""
    eventlet.sleep(ms / 1_000)
