"""Define the shared fixtures and mark the tests listed in KNOWN-RED.txt as expected failures."""

import os
from pathlib import Path

import hypothesis
import pytest
from processes import Mesh
from sidecars import SidecarMesh

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile("soak", deadline=None, print_blob=True, max_examples=2_000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def known_failing_ids():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    lines = KNOWN_RED_FILE.read_text().splitlines() if KNOWN_RED_FILE.exists() else []
    return {line for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    """Mark the listed tests xfail, not strict: they run, and may fail or pass."""
    known_failing = known_failing_ids()
    for item in items:
        if item.nodeid in known_failing:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


@pytest.fixture
def mesh(tmp_path):
    """Provide a `Mesh`; its processes are killed when the test ends."""
    mesh = Mesh(tmp_path)
    yield mesh
    mesh.end()


@pytest.fixture
def sidecars(tmp_path):
    """Provide a `SidecarMesh`; its processes are killed when the test ends."""
    mesh = SidecarMesh(tmp_path)
    yield mesh
    mesh.end()
