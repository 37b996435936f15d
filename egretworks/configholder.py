"""Hold the configuration in force, whose version never decreases while the daemon runs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from egretworks.exceptions import ConfigInvalid
from egretworks.linkframes import ConfigCopy, ConfigRequest, Frame
from egretworks.meshroutes import CallerLimits, MeshConfig, RouteIndex, check_config
from egretworks.streams import Timer, call_later
from egretworks.timeline import Timeline
from egretworks.types import NO_VERSION, InstanceId, Version

# Delay before a newer version is requested from a peer. A daemon that watches the store itself
# receives the version within this time.
REQUEST_DELAY_MS = 150
# After this time without an answer another peer may be asked.
REQUEST_TIMEOUT_MS = 500

log = logging.getLogger(__name__)


class Peer(Protocol):
    """Send frames to another daemon."""

    def send_frame(self, frame: Frame) -> None:
        """Send `frame`."""


class ConfigHolder:
    """Hold the configuration in force and the document that it was decoded from.

    The version in force never decreases, and an invalid configuration changes nothing. `on_change`
    is called after a version has come into force.
    """

    def __init__(
        self, decode: Callable[[bytes], MeshConfig], timeline: Timeline, on_change: Callable
    ) -> None:
        self._decode = decode
        self._timeline = timeline
        self._on_change = on_change
        self._document = b""
        # Set while a request to a peer is scheduled or unanswered.
        self._request_timer: Timer | None = None
        self.config: MeshConfig | None = None
        self.index = RouteIndex(())

    @property
    def version(self) -> Version:
        """Return the version in force, or `NO_VERSION`."""
        return self.config.version if self.config else NO_VERSION

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers, or the defaults while there is no configuration."""
        return self.config.limits if self.config else CallerLimits()

    def health_path(self, service: str) -> str | None:
        """Return the path for health checks of `service`, or None if it is not configured."""
        known = self.config.services_by_name.get(service) if self.config else None
        return known.health_path if known else None

    def apply(self, document: bytes, source: str) -> bool:
        """Put the configuration in `document` into force if it is valid and newer.

        Returns whether it came into force. `source` appears in the timeline.
        """
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

    def apply_copy(self, copy: ConfigCopy, peer: InstanceId | None) -> None:
        """Apply a copy received from a peer if it is newer."""
        self._end_request()
        if copy.version > self.version:
            self.apply(copy.document, f"peer {peer}")

    def send_config(self, peer: Peer) -> None:
        """Send the document in force, if any, to `peer`."""
        if self.config is not None:
            peer.send_frame(ConfigCopy(self.version, self._document))

    def on_peer_version(self, version: int, peer: Peer) -> None:
        """Request the document from `peer` if its `version` is newer.

        The request is delayed and not sent if the version has come into force by then. Another one
        is made only after the answer or `REQUEST_TIMEOUT_MS`: copies that several peers send at
        once would fill this daemon's link.
        """
        if version <= self.version or self._request_timer is not None:
            return
        # A daemon without a configuration cannot serve callers, so it does not wait.
        delay_ms = REQUEST_DELAY_MS if self.config else 0
        self._request_timer = call_later(delay_ms, self._request, version, peer)

    def _request(self, version: int, peer: Peer) -> None:
        self._request_timer = None
        if version > self.version:
            self._request_timer = call_later(REQUEST_TIMEOUT_MS, self._end_request)
            peer.send_frame(ConfigRequest())

    def _end_request(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None
