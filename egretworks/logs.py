"""Write logs as JSON lines, from a thread that never blocks the daemon."""

from __future__ import annotations

import json
import logging
import sys
from collections import deque
from typing import TextIO

from eventlet.patcher import original

from egretworks.clock import MILLIS_PER_SECOND, seconds

# Records queued while the reader of the stream is slow; further ones are dropped and counted.
MAX_QUEUED_RECORDS = 2_000
WRITE_INTERVAL_MS = 200
# Maximum wait for the last write when the handler is closed.
CLOSE_TIMEOUT_MS = 300

# The writer is an operating system thread, not a green one: a write that blocks on a stalled
# reader must not block the daemon's green threads.
threading = original("threading")
time = original("time")


class JsonFormatter(logging.Formatter):
    """Format each record as one line of JSON that names `instance`."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return `record` as a line, without a line break."""
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
    """Queue records for a writer thread; drop and count records while the queue is full.

    `dropped` is the number of records dropped since the start.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream = stream
        self._records: deque[logging.LogRecord] = deque()
        self.dropped = 0
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def createLock(self) -> None:  # noqa: N802
        """Use no lock: appending to and popping from a deque are atomic."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop it if the queue is full."""
        if len(self._records) >= MAX_QUEUED_RECORDS:
            self.dropped += 1
        else:
            self._records.append(record)

    def close(self) -> None:
        """Wait up to `CLOSE_TIMEOUT_MS` for the queued records to be written."""
        self._closing = True
        self._thread.join(seconds(CLOSE_TIMEOUT_MS))
        super().close()

    def _run(self) -> None:
        reported = 0
        while True:
            closing = self._closing
            lines = []
            while self._records:
                lines.append(self.format(self._records.popleft()))
            if self.dropped > reported:
                lines.append(
                    json.dumps({"message": "lines_dropped", "count": self.dropped - reported})
                )
                reported = self.dropped
            if lines:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            if closing:
                return
            time.sleep(seconds(WRITE_INTERVAL_MS))


def set_up(instance: str, level: str, stream: TextIO | None = None) -> BoundedHandler:
    """Send all logs at `level` or above to `stream`, by default standard output.

    Returns the handler, which counts the dropped records.
    """
    handler = BoundedHandler(stream or sys.stdout)
    handler.setFormatter(JsonFormatter(instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # The gRPC libraries log each lost connection; the errors of peer calls report those already.
    logging.getLogger("grpclib").setLevel(logging.ERROR)
    logging.getLogger("hpack").setLevel(logging.WARNING)
    return handler
