#!/bin/sh
# The stand-ins need only Python's standard library: nothing is built, they are checked to load.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 -c "import standins"
