"""Test that the settings file is followed while it is replaced."""

import eventlet
from hubtools import run_hub, run_hub_for
from test_malformed_input import SETTINGS_TEXT

from egretworks import settingsreload
from egretworks.clock import SystemClock
from egretworks.config import read_sidecar_settings
from egretworks.settingsreload import ReloadableSettings
from egretworks.timeline import Timeline


# Guards against settings that are never reloaded again: the file was missing for a moment, and the
# green thread that polls it ended.
def test_settings_are_reloaded_after_their_file_was_missing(tmp_path, monkeypatch):
    monkeypatch.setattr(settingsreload, "POLL_MS", 5)
    path = tmp_path / "settings.toml"
    path.write_bytes(SETTINGS_TEXT)
    reloadable = ReloadableSettings(path, read_sidecar_settings(path), Timeline("t", SystemClock()))
    thread = eventlet.spawn(reloadable.poll)
    run_hub_for(20)
    path.unlink()
    run_hub_for(20)
    path.write_bytes(SETTINGS_TEXT.replace(b'"portal"', b'"renamed"'))
    run_hub(lambda: reloadable.current.instance.service == "renamed")
    thread.kill()
