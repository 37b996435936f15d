"""Test which changed settings are said to need a restart."""

import msgspec
import pytest
from sidecars import SETTINGS

from egretworks.config import read_sidecar_settings
from egretworks.settingsreload import needs_restart


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "settings.toml"
    ports = {"calls": 1, "ready": 2, "announcements": 3, "links": 4, "metrics": 5, "store": 6}
    path.write_text(SETTINGS.format(id="d1", data_centre="dc", service="ledger", **ports))
    return read_sidecar_settings(path)


# Guards against an operator who takes changed memory for in force, as the log did not name it.
def test_changed_memory_is_said_to_need_a_restart(settings):
    bounds = msgspec.structs.replace(settings.bounds, memory_mb=settings.bounds.memory_mb * 2)
    assert needs_restart(settings, msgspec.structs.replace(settings, bounds=bounds)) == [
        "bounds.memory_mb"
    ]


def test_a_changed_service_or_drain_time_needs_no_restart(settings):
    changed = msgspec.structs.replace(
        settings,
        instance=msgspec.structs.replace(settings.instance, service="portal"),
        bounds=msgspec.structs.replace(settings.bounds, drain_ms=500),
    )
    assert needs_restart(settings, changed) == []
