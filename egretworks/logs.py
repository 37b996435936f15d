"""Write logs as JSON lines."""

from __future__ import annotations

import json
import logging
import sys
from typing import TextIO

from egretworks.clock import MILLIS_PER_SECOND


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


def set_up(instance: str, level: str, stream: TextIO | None = None) -> None:
    """Send all logs at `level` or above to `stream`, by default standard output."""
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(JsonFormatter(instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # The gRPC libraries log each lost connection, which the peers' errors report already.
    logging.getLogger("grpclib").setLevel(logging.ERROR)
    logging.getLogger("hpack").setLevel(logging.WARNING)
