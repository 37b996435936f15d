"""Write logs as JSON lines."""

from __future__ import annotations

import json
import logging
import sys
from collections import deque
from typing import TextIO

from eventlet.patcher import original

from egretworks.clock import MILLIS_PER_SECOND, seconds

# Lines kept while their reader is slow; more are dropped and counted.
MOST_WAITING_LINES = 2_000
WRITE_EVERY_MS = 200
# At the end a slow reader is given this long.
LAST_WRITE_MS = 300

# The writer is a thread of the system's: a reader that stalls must not stop the daemon.
threading = original("threading")
time = original("time")


class JsonFormatter(logging.Formatter):
    """Format each record as one line of JSON."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return `record` as a line, without its line break."""
        line = {
            "at_ms": round(record.created * MILLIS_PER_SECOND, 3),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "logger": record.name,
            "message": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if event:
            line["event"] = event
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False)


class BoundedHandler(logging.Handler):
    """Write lines from a thread of its own; what waits too long is dropped and counted."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream = stream
        self._records: deque[logging.LogRecord] = deque()
        self.dropped = 0
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def createLock(self) -> None:  # noqa: N802
        """Use no lock: a deque's ends are safe without one."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Take in a record, or drop it where too many wait."""
        if len(self._records) >= MOST_WAITING_LINES:
            self.dropped += 1
        else:
            self._records.append(record)

    def close(self) -> None:
        """Write what waits, for a short time."""
        self._closing = True
        self._thread.join(seconds(LAST_WRITE_MS))
        super().close()

    def _run(self) -> None:
        told = 0
        while True:
            closing = self._closing
            lines = []
            while self._records:
                lines.append(self.format(self._records.popleft()))
            if self.dropped > told:
                lines.append(json.dumps({"message": "lines_dropped", "count": self.dropped - told}))
                told = self.dropped
            if lines:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            if closing:
                return
            time.sleep(seconds(WRITE_EVERY_MS))


def set_up(instance: str, level: str, stream: TextIO | None = None) -> BoundedHandler:
    """Send all logs at `level` or above to `stream`, by default standard output.

    Returns the handler, which counts the lines that were dropped.
    """
    handler = BoundedHandler(stream or sys.stdout)
    handler.setFormatter(JsonFormatter(instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # The gRPC libraries log each lost connection, which the peers' errors report already.
    logging.getLogger("grpclib").setLevel(logging.ERROR)
    logging.getLogger("hpack").setLevel(logging.WARNING)
    return handler
