"""Reload the settings of the daemon beside a target when their file changes."""

from __future__ import annotations

import logging
from pathlib import Path

import eventlet
import msgspec

from egretworks.clock import seconds
from egretworks.config import SidecarSettings, read_sidecar_settings
from egretworks.exceptions import SettingsError
from egretworks.timeline import Timeline

# The settings file is polled because it may change without a SIGHUP.
POLL_MS = 1_000

log = logging.getLogger(__name__)


class ReloadableSettings:
    """Hold the settings in force, `current`, as last read from the file at `path`."""

    def __init__(self, path: Path, settings: SidecarSettings, timeline: Timeline) -> None:
        self._path = path
        self._timeline = timeline
        self.current = settings

    def poll(self) -> None:
        """Reload the settings whenever the modification time of their file changes."""
        # The file may have changed since it was first read, so it is read once more.
        loaded_mtime_ns = None
        while True:
            eventlet.sleep(seconds(POLL_MS))
            mtime_ns = self._mtime_ns()
            if mtime_ns is not None and mtime_ns != loaded_mtime_ns:
                loaded_mtime_ns = mtime_ns
                self.reload()

    def _mtime_ns(self) -> int | None:
        """Return when the file was modified, or None while it is being replaced."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            log.warning("cannot read the time of the settings file: %s", error)
            return None

    def reload(self) -> None:
        """Apply changed settings; unreadable or invalid ones leave the old ones in force."""
        try:
            settings = read_sidecar_settings(self._path)
        except SettingsError as error:
            self._timeline.record("settings_refused", detail=error.message)
            return
        if settings == self.current:
            return
        changed = needs_restart(self.current, settings)
        if changed:
            self._timeline.record("settings_need_restart", detail=", ".join(changed))
        self.current = settings
        logging.getLogger().setLevel(settings.log.level.upper())
        self._timeline.record(
            "settings_reloaded",
            detail=f"service={settings.instance.service}",
            facts={"bounds": msgspec.to_builtins(settings.bounds), "log": settings.log.level},
        )


def needs_restart(before: SidecarSettings, after: SidecarSettings) -> list[str]:
    """Return the names of the changed settings that take effect only after a restart."""
    names = []
    # `service` can change at run time; `first_start` is true until the daemon's next start only.
    instance = msgspec.structs.replace(
        after.instance, service=before.instance.service, first_start=before.instance.first_start
    )
    if instance != before.instance:
        names.append("instance")
    if after.listen != before.listen:
        names.append("listen")
    if after.platform != before.platform:
        names.append("platform")
    if after.bounds.memory_mb != before.bounds.memory_mb:
        names.append("bounds.memory_mb")
    return names
