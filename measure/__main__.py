"""Run the benchmarks with `python -m measure [NAME ...]`; without a name, run all of them."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

from egretworks.tables import as_json
from measure.figures import as_text

MEASUREMENTS = ("slopes", "hop", "convergence")
RESULT_PATH = Path("measured.json")


def main() -> None:
    """Run the benchmarks named on the command line, print tables and write the figures as JSON."""
    figures = []
    for name in sys.argv[1:] or MEASUREMENTS:
        module = importlib.import_module(f"measure.{name}")
        measured = module.measure()
        print(f"{name}\n{as_text(measured)}\n", flush=True)
        figures += measured
    RESULT_PATH.write_text(as_json(figures) + "\n", encoding="utf-8")
    print(f"written to {RESULT_PATH}")


if __name__ == "__main__":
    main()
