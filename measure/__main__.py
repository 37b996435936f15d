"""Run the measurements: `python -m measure [NAME ...]`, by default all of them."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

from egretworks.tables import as_json
from measure.figures import as_text

MEASUREMENTS = ("slopes", "hop", "convergence")
RESULT = Path("measured.json")


def main() -> None:
    """Run the measurements named, print a table and write the machine-readable result."""
    figures = []
    for name in sys.argv[1:] or MEASUREMENTS:
        module = importlib.import_module(f"measure.{name}")
        measured = module.measure()
        print(f"{name}\n{as_text(measured)}\n", flush=True)
        figures += measured
    RESULT.write_text(as_json(figures) + "\n", encoding="utf-8")
    print(f"written to {RESULT}")


if __name__ == "__main__":
    main()
