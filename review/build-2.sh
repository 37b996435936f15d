#!/bin/sh
# The stand-ins of cases 6 to 10 are Python and need no build; this shows that they can be compiled.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c 'import ast, pathlib
for path in [pathlib.Path("review/standins2.py"), *pathlib.Path("review").glob("*/case.py")]:
    ast.parse(path.read_text(), str(path))'
