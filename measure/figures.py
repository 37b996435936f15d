"""Summarize measured values as a median and a range, and format them as a table."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec

from egretworks.tables import as_table


class Figure(msgspec.Struct, frozen=True):
    """Hold the median and range of one quantity over several runs."""

    name: str
    unit: str
    median: float
    lowest: float
    highest: float
    runs: int


def summarize(name: str, unit: str, values: Sequence[float]) -> Figure:
    """Return the median and range of `values`."""
    return Figure(
        name,
        unit,
        round(statistics.median(values), 2),
        round(min(values), 2),
        round(max(values), 2),
        len(values),
    )


def as_text(figures: Sequence[Figure]) -> str:
    """Return `figures` as a table."""
    rows = [(f.name, f.median, f"{f.lowest} to {f.highest}", f.unit, f.runs) for f in figures]
    return as_table(("figure", "median", "range", "unit", "runs"), rows)
