"""Drive eventlet's hub from a test, beside servers in threads of their own."""

import time

import eventlet


def run_hub(condition, within_ms=3_000):
    """Let the hub run until `condition()` holds, or fail."""
    give_up = time.monotonic() + within_ms / 1_000
    while not condition():
        assert time.monotonic() < give_up, "the condition didn't come true in time"
        eventlet.sleep(0.005)


def rest(ms):
    """Let the hub run for `ms` milliseconds."""
    eventlet.sleep(ms / 1_000)
