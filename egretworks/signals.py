"""Receive signals from the start of the process on, and keep them until the daemon takes them.

Imported before anything slow: until a handler is installed, SIGHUP ends the process.
"""

from __future__ import annotations

import signal
from types import FrameType

HANDLED = (signal.SIGHUP, signal.SIGTERM)

_received: set[signal.Signals] = set()


def install() -> None:
    """Install the handlers; a signal that has been received stays so until it is taken."""
    for number in HANDLED:
        signal.signal(number, _receive)


def ignore() -> None:
    """Ignore further signals: Python gives up its handlers before a process has ended."""
    for number in HANDLED:
        signal.signal(number, signal.SIG_IGN)


def take() -> frozenset[signal.Signals]:
    """Return the signals received since the last call."""
    # Each is removed by itself: one that arrives meanwhile is kept for the next call.
    return frozenset(number for number in HANDLED if _take_one(number))


def _take_one(number: signal.Signals) -> bool:
    if number not in _received:
        return False
    _received.discard(number)
    return True


def _receive(number: int, _frame: FrameType | None) -> None:
    """Record a signal only: a handler may interrupt the hub anywhere, also between two steps."""
    _received.add(signal.Signals(number))
