"""Test that the deployed daemon finds every library that it imports."""

import ast
import json
import re
import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Prints the source files of the daemon's own modules, once all of them are imported.
LIST_SOURCES = """
import json, sys
sys.path[:0] = ["platform", "."]
import edgewire, objectstore, egretworks.sidecar
own = [m for name, m in sys.modules.items() if name.split(".")[0] in sys.argv[1:]]
print(json.dumps([module.__file__ for module in own]))
"""
OWN_MODULES = ("egretworks", "edgewire", "objectstore")


def imported_names(path):
    """Return the top-level names that the source file at `path` imports."""
    for node in ast.walk(ast.parse(Path(path).read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module.partition(".")[0]


def required_distributions():
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    names = [re.match(r"[\w.-]+", line) for line in lines if not line.startswith("#")]
    return {name[0].lower().replace("_", "-") for name in names if name}


# Guards against a daemon that does not start where it is deployed, as a library is missing there
# that the tests' own environment has.
def test_the_daemon_imports_only_libraries_that_its_deployment_installs():
    done = subprocess.run(
        [sys.executable, "-c", LIST_SOURCES, *OWN_MODULES],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    modules = {name for path in json.loads(done.stdout) for name in imported_names(path)}
    distributions = packages_distributions()
    used = {
        name.lower().replace("_", "-")
        for module in modules
        for name in distributions.get(module, [])
    }
    assert used - {"egretworks"} <= required_distributions()
