"""Run the clients of the platform's store: the watches and peer discovery."""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from egretworks.clock import Clock
from egretworks.configholder import ConfigHolder
from egretworks.freshness import ConfigFreshness, RevocationBound
from egretworks.linkhost import LinkHost
from egretworks.linkset import LinkSet
from egretworks.rolloutcontrol import Rollouts
from egretworks.rolloutlead import RolloutWatch
from egretworks.rows import DaemonRow, is_store_watcher
from egretworks.storesync import (
    CONFIG_NAME,
    ConfigProofs,
    ConfigWatch,
    PeerDiscovery,
    Store,
    Stored,
)
from egretworks.timeline import Timeline
from egretworks.types import RandomSource


class StoreClients:
    """Connect the store to the configuration, the rows and the links of a daemon."""

    def __init__(
        self,
        link_host: LinkHost,
        links: LinkSet,
        freshness: ConfigFreshness,
        revocation: RevocationBound,
        rollouts: Rollouts,
        random: RandomSource,
    ) -> None:
        self._link_host = link_host
        self._links = links
        self._freshness = freshness
        self._revocation = revocation
        self._rollouts = rollouts
        self._random = random
        # The newest configuration that this daemon has read in the store, valid or not.
        self._newest_document: bytes | None = None

    @property
    def _config(self) -> ConfigHolder:
        return self._link_host.config

    @property
    def _timeline(self) -> Timeline:
        return self._link_host.timeline

    @property
    def _clock(self) -> Clock:
        return self._link_host.clock

    def run(self, connect: Callable[[], Store]) -> None:
        """Connect to the store and call it from green threads; never returns."""
        store = connect()
        rows = self._link_host.rows
        discovery = PeerDiscovery(
            store,
            lambda: rows.own,
            rows.all_rows,
            self._merge_stored_rows,
            self._is_watcher,
            self._timeline,
            self._random,
        )
        watch = ConfigWatch(
            store,
            self._apply_configs,
            self._is_watcher,
            self._on_reachable,
            self._timeline,
            self._random,
            ConfigProofs(
                self._freshness, lambda: self._config.version, self._renew_after_ms, self._clock
            ),
        )
        eventlet.spawn_n(watch.run)
        eventlet.spawn_n(RolloutWatch(self._rollouts.lead, store).run)
        discovery.run()

    def _renew_after_ms(self) -> float | None:
        """Return the age at which proofs are renewed, None while there are no keys to revoke."""
        return None if self._config.teams is None else self._revocation.renew_after_ms()

    def _merge_stored_rows(self, rows: list[DaemonRow]) -> None:
        self._link_host.merge_rows(rows)
        self._link_host.rows.listed = True

    def _is_watcher(self) -> bool:
        return is_store_watcher(self._link_host.rows.own, self._links.reachable_rows())

    def _on_reachable(self, reachable: bool) -> None:
        self._links.publish(self._link_host.rows.change_own(store_reachable=reachable))

    def _apply_configs(self, objects: tuple[Stored, ...]) -> bool:
        """Apply the newest valid configuration in `objects` and send it within the data centre.

        Returns whether the newest one that was read is in force; other objects change nothing.
        """
        documents = [
            stored for stored in objects if stored.name == CONFIG_NAME and not stored.deleted
        ]
        for stored in reversed(documents):
            if self._config.apply(stored.document, f"store revision {stored.revision}"):
                self._links.send_config()
                break
        if documents:
            self._newest_document = documents[-1].document
        return self._newest_document is not None and self._config.has(self._newest_document)
