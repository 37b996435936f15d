"""Hold the configuration in force: the newest that was read, never an older one again."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from egretworks.exceptions import ConfigInvalid
from egretworks.linkframes import ConfigAsked, ConfigCopy, Frame
from egretworks.meshroutes import CallerLimits, MeshConfig, RouteIndex, check_config
from egretworks.streams import after
from egretworks.timeline import Timeline
from egretworks.types import NO_VERSION, InstanceId, Version

# A daemon that reads the platform itself gets a new version within this time.
ASK_AFTER_MS = 150

log = logging.getLogger(__name__)


class Peer(Protocol):
    """Take frames for another daemon."""

    def tell(self, frame: Frame) -> None:
        """Send `frame`."""


class ConfigHolder:
    """Keep the configuration in force at this daemon, with the document it was read from."""

    def __init__(
        self, decode: Callable[[bytes], MeshConfig], timeline: Timeline, on_change: Callable
    ) -> None:
        self._decode = decode
        self._timeline = timeline
        self._on_change = on_change
        self._document = b""
        self._asking = False
        self.config: MeshConfig | None = None
        self.index = RouteIndex(())

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self.config.version if self.config else NO_VERSION

    @property
    def limits(self) -> CallerLimits:
        """Return what callers have to keep to."""
        return self.config.limits if self.config else CallerLimits()

    def health_path(self, service: str) -> str | None:
        """Return the path for health checks of `service`, or None while it isn't known."""
        known = self.config.services_by_name.get(service) if self.config else None
        return known.health_path if known else None

    def take(self, document: bytes, source: str) -> bool:
        """Put the configuration in `document` into force if it is valid and newer."""
        if document == self._document:
            return False
        try:
            config = self._decode(document)
            check_config(config)
        except ConfigInvalid as error:
            self._timeline.record("config_refused", detail=f"from {source}: {error.message}")
            return False
        if config.version <= self.version:
            if config.version < self.version:
                self._timeline.record(
                    "config_older", version=config.version, detail=f"from {source}"
                )
            return False
        self.config = config
        self._document = document
        self.index = RouteIndex(config.routes)
        self._timeline.record(
            "config_in_force",
            version=config.version,
            detail=f"from {source}, {len(config.routes)} routes",
        )
        self._on_change()
        return True

    def take_copy(self, copy: ConfigCopy, peer: InstanceId | None) -> None:
        """Take in a copy that a peer has sent."""
        self._asking = False
        if copy.version > self.version:
            self.take(copy.document, f"peer {peer}")

    def answer(self, peer: Peer) -> None:
        """Send the configuration in force to `peer`."""
        if self.config is not None:
            peer.tell(ConfigCopy(self.version, self._document))

    def note_peer(self, version: int, peer: Peer) -> None:
        """Note that `peer` has `version`; it is asked for it if it is still newer in a moment."""
        if version <= self.version or self._asking:
            return
        self._asking = True
        # A daemon without any configuration can't answer callers, so it asks at once.
        after(ASK_AFTER_MS if self.config else 0, self._ask, version, peer)

    def _ask(self, version: int, peer: Peer) -> None:
        self._asking = False
        if version > self.version:
            peer.tell(ConfigAsked())
