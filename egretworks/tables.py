"""Format results as tables for people or as JSON for programs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec

from egretworks.clock import MILLIS_PER_SECOND


def as_json(document: Any) -> str:
    """Return `document` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document), indent=2).decode()


def as_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return `rows` under `headings` as left-aligned columns of text."""
    lines = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headings))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def as_time(at_ms: float) -> str:
    """Return milliseconds since the epoch as text in UTC, to the millisecond."""
    moment = datetime.fromtimestamp(at_ms / MILLIS_PER_SECOND, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.") + f"{moment.microsecond // 1000:03d}"
