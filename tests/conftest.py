"""Provide the fixtures that tests share."""

import os

import hypothesis
import pytest
from processes import Mesh

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile("soak", deadline=None, print_blob=True, max_examples=2_000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def mesh(tmp_path):
    """Provide a mesh whose processes end with the test."""
    started = Mesh(tmp_path)
    yield started
    started.end()
