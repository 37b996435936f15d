"""Hold the configuration in force, whose version never decreases while the daemon runs."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import Protocol

from egretworks.configdelta import Pieces, apply_edits, digest, encode_edits, split
from egretworks.exceptions import ConfigInvalid, PeerError
from egretworks.linkframes import ConfigCopy, ConfigDelta, ConfigRequest, Frame
from egretworks.meshroutes import CallerLimits, MeshConfig, RouteIndex, check_config
from egretworks.streams import Timer, call_later
from egretworks.teams import TeamIndex
from egretworks.timeline import Timeline
from egretworks.types import NO_VERSION, InstanceId, ServiceName, Version

# Delay before a newer version is requested from a peer. A daemon that watches the store itself
# receives the version within this time.
REQUEST_DELAY_MS = 150
# After this time without an answer another peer may be asked.
REQUEST_TIMEOUT_MS = 500
# Versions of which the pieces are kept, so that a daemon that is as far behind gets differences.
# They share the pieces that did not change.
KEPT_VERSIONS = 32

log = logging.getLogger(__name__)


class ConfigPeer(Protocol):
    """Send frames to another daemon, and tell which configuration it has."""

    # The version in force at the peer as far as is known.
    peer_version: Version
    # Whether the peer reads `ConfigDelta`.
    reads_deltas: bool

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
        self._pieces_by_version: OrderedDict[Version, Pieces] = OrderedDict()
        # Differences from earlier versions to the one in force.
        self._delta_by_base: dict[Version, ConfigDelta] = {}
        # Set while a request to a peer is scheduled or unanswered.
        self._request_timer: Timer | None = None
        self._newest_known = NO_VERSION
        self.config: MeshConfig | None = None
        self.index = RouteIndex(())
        # None if the configuration in force defines no teams.
        self.teams: TeamIndex | None = None

    @property
    def version(self) -> Version:
        """Return the version in force, or `NO_VERSION`."""
        return self.config.version if self.config else NO_VERSION

    @property
    def is_behind(self) -> bool:
        """Return whether a peer has a newer version than the one in force."""
        return self._newest_known > self.version

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers, or the defaults while there is no configuration."""
        return self.config.limits if self.config else CallerLimits()

    def services(self) -> Collection[ServiceName]:
        """Return the names of the configured services; none while there is no configuration."""
        return self.config.services_by_name.keys() if self.config else ()

    def health_path(self, service: str) -> str | None:
        """Return the path for health checks of `service`, or None if it is not configured."""
        known = self.config.services_by_name.get(service) if self.config else None
        return known.health_path if known else None

    def has(self, document: bytes) -> bool:
        """Return whether the configuration in `document`, or a newer one, is in force."""
        if document == self._document:
            return True
        try:
            return self._decode(document).version <= self.version
        except ConfigInvalid:
            return False

    def apply(self, document: bytes, source: str) -> bool:
        """Put the configuration in `document` into force if it is valid and newer.

        Returns whether it came into force. `source` appears in the timeline.
        """
        if document == self._document:
            return False
        try:
            config = self._decode(document)
            check_config(config, self.config)
        except ConfigInvalid as error:
            self._timeline.record("config_refused", detail=f"from {source}: {error.message}")
            return False
        if config.version <= self.version:
            if config.version < self.version:
                self._timeline.record(
                    "config_older", version=config.version, detail=f"from {source}"
                )
            return False
        self._keep(document, config.version)
        self.config = config
        self.index = RouteIndex(config.routes)
        self.teams = None if config.teams is None else TeamIndex(config.teams)
        self._timeline.record(
            "config_in_force",
            version=config.version,
            detail=f"from {source}, {len(config.routes)} routes",
        )
        self._on_change()
        return True

    def apply_copy(self, copy: ConfigCopy, peer: InstanceId) -> None:
        """Apply a copy received from a peer if it is newer."""
        self._end_request()
        if copy.version > self.version:
            self.apply(copy.document, f"peer {peer}")

    def apply_delta(self, delta: ConfigDelta, peer: ConfigPeer, peer_id: InstanceId) -> None:
        """Apply the differences received from a peer if they give a newer version.

        Without the version that they refer to, the whole document is requested from the peer.
        """
        self._end_request()
        if delta.version <= self.version:
            return
        document = self._rebuild(delta)
        if document is None:
            self._timeline.record(
                "config_base_missing",
                version=delta.version,
                detail=f"from peer {peer_id}, based on version {delta.base_version}",
            )
            self._send_request(peer, NO_VERSION)
            return
        self.apply(document, f"peer {peer_id}")

    def send_config(self, peer: ConfigPeer, known_version: Version | None = None) -> None:
        """Send the configuration in force, if any, to `peer`.

        The peer gets the differences from `known_version`, by default the one that it is known to
        have, or the whole if that is not kept here.
        """
        if self.config is None:
            return
        base = peer.peer_version if known_version is None else known_version
        if not peer.reads_deltas:
            peer.send_frame(ConfigCopy(self.version, self._document))
        elif base < self.version or known_version is not None:
            peer.send_frame(self._delta_from(base))
        peer.peer_version = self.version

    def on_peer_version(self, version: int, peer: ConfigPeer) -> None:
        """Request the document from `peer` if its `version` is newer.

        The request is delayed and not sent if the version has come into force by then. Another one
        is made only after the answer or `REQUEST_TIMEOUT_MS`: copies that several peers send at
        once would fill this daemon's link.
        """
        peer.peer_version = Version(version)
        self._newest_known = max(self._newest_known, peer.peer_version)
        if version <= self.version or self._request_timer is not None:
            return
        # A daemon without a configuration cannot serve callers, so it does not wait.
        delay_ms = REQUEST_DELAY_MS if self.config else 0
        self._request_timer = call_later(delay_ms, self._request, version, peer)

    def _request(self, version: int, peer: ConfigPeer) -> None:
        self._request_timer = None
        if version > self.version:
            self._send_request(peer, self.version)

    def _send_request(self, peer: ConfigPeer, known_version: Version) -> None:
        self._request_timer = call_later(REQUEST_TIMEOUT_MS, self._end_request)
        peer.send_frame(ConfigRequest(known_version))

    def _end_request(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _keep(self, document: bytes, version: Version) -> None:
        """Keep `document` and its pieces, and drop the oldest version kept."""
        pieces = split(document, self._pieces_by_version.get(self.version, ()))
        self._document = document
        self._pieces_by_version[version] = pieces
        self._delta_by_base.clear()
        if len(self._pieces_by_version) > KEPT_VERSIONS:
            self._pieces_by_version.popitem(last=False)

    def _delta_from(self, base: Version) -> ConfigDelta:
        """Return the differences from version `base`, or from nothing if that is not kept."""
        pieces = self._pieces_by_version.get(base)
        if pieces is None:
            base, pieces = NO_VERSION, ()
        delta = self._delta_by_base.get(base)
        if delta is None:
            edits = encode_edits(pieces, self._pieces_by_version[self.version])
            delta = ConfigDelta(self.version, base, digest(self._document), edits)
            self._delta_by_base[base] = delta
        return delta

    def _rebuild(self, delta: ConfigDelta) -> bytes | None:
        """Return the document that `delta` gives, or None if its base is not the one kept here."""
        base = () if not delta.base_version else self._pieces_by_version.get(delta.base_version)
        if base is None:
            return None
        try:
            document = b"".join(apply_edits(base, delta.edits))
        except PeerError as error:
            log.warning("differences of version %s: %s", delta.version, error.message)
            return None
        return document if digest(document) == delta.digest else None
