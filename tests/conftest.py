"""Provide the fixtures that tests share, and pass over the tests that KNOWN-RED.txt lists."""

import os
from pathlib import Path

import hypothesis
import pytest
from processes import Mesh
from sidecars import SidecarMesh

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile("soak", deadline=None, print_blob=True, max_examples=2_000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def known_red():
    """Return the ids of the tests that are known to fail."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    """Run the tests known to fail, and report their failures as expected ones."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


@pytest.fixture
def mesh(tmp_path):
    """Provide a mesh whose processes end with the test."""
    started = Mesh(tmp_path)
    yield started
    started.end()


@pytest.fixture
def sidecars(tmp_path):
    mesh = SidecarMesh(tmp_path)
    yield mesh
    mesh.end()
