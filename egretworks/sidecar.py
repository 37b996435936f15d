"""Put the daemon beside a target together, run it and stop it without cutting a request."""

from __future__ import annotations

import logging
import random
import signal
from collections.abc import Callable
from pathlib import Path

import eventlet
import eventlet.event
import msgspec

from egretworks import logs
from egretworks.calllog import CallLog
from egretworks.clock import SystemClock, seconds
from egretworks.config import SidecarSettings, read_sidecar_settings
from egretworks.configholder import ConfigHolder
from egretworks.destinations import Destination, LocalDestination
from egretworks.edge import Edge, Heartbeat
from egretworks.exceptions import BadRequest, SettingsError
from egretworks.forwarding import Forwarder, ForwardHost
from egretworks.gate import Gate, GateHost
from egretworks.gauges import GaugeSources, read_gauges
from egretworks.heldbytes import HeldBytes
from egretworks.httpport import HttpExchange, HttpPort
from egretworks.httpwire import Response, error_response
from egretworks.inboundlinks import InboundLink
from egretworks.linkframes import Rows
from egretworks.linkhost import LinkHost
from egretworks.meshretrybudget import RetryBounds
from egretworks.metrics import Metrics
from egretworks.orphanedoffers import OrphanedOffers
from egretworks.outboundlinks import OutboundLink
from egretworks.rows import DaemonRow, RowTable, is_store_watcher
from egretworks.storesync import CONFIG_NAME, ConfigWatch, PeerDiscovery, Store, Stored
from egretworks.streams import Listener, Stream, after
from egretworks.timeline import Timeline
from egretworks.types import DataCentre, Endpoint, InstanceId, ServiceName, parse_endpoint

TICK_MS = 50
SWEEP_MS = 500
# The settings file may change without a signal.
SETTINGS_POLL_MS = 1_000
# Two readiness checks, a second apart, take a daemon out; this is a little longer.
OUT_OF_ROTATION_MS = 2_200
# The other daemons send nothing more this long after they have heard of the stop.
NEWS_SPREAD_MS = 300
# Left of the grace time when the daemon ends what is still open.
LEAST_GRACE_LEFT_MS = 700
DRAIN_POLL_MS = 25
# Part of the process's memory that bodies of requests may take.
BODIES_SHARE = 0.25

log = logging.getLogger(__name__)

ConnectStore = Callable[[str], Store]


class Sidecar:
    """Run the daemon beside one target."""

    def __init__(
        self,
        path: Path,
        settings: SidecarSettings,
        edge: Edge,
        connect_store: ConnectStore,
        log_handler: logs.BoundedHandler,
    ) -> None:
        self._path = path
        self._settings = settings
        self._edge = edge
        self._connect_store = connect_store
        self._clock = SystemClock()
        self._random = random.Random()
        self._metrics = Metrics()
        self._stopping = False
        self._stopped = eventlet.event.Event()
        instance = settings.instance
        self._timeline = Timeline(InstanceId(instance.id), self._clock)
        own = DaemonRow(
            InstanceId(instance.id),
            DataCentre(instance.data_centre),
            instance.host,
            settings.listen.link_port,
            incarnation=int(self._clock.wall()),
            serial=0,
        )
        self._calls = CallLog(self._timeline, self._clock)
        self._rows = RowTable(own)
        self._config = ConfigHolder(edge.decode_config, self._timeline, self._on_config)
        self._gate = Gate(
            GateHost(
                self._clock,
                edge,
                self._metrics,
                self._timeline,
                self._calls,
                lambda: self._settings.bounds.drain_ms,
                self._config.health_path,
                self._on_target_changed,
            )
        )
        self._bodies = HeldBytes(int(settings.bounds.memory_mb * 1_000_000 * BODIES_SHARE))
        self._local_place = LocalDestination(self._gate, own.id)
        self._link_host = LinkHost(
            self._clock,
            self._timeline,
            self._rows,
            self._config,
            self._gate,
            self._bodies,
            OrphanedOffers(self._clock),
            set(),
            self._on_news,
            self._publish,
        )
        self._links_by_id: dict[InstanceId, OutboundLink] = {}
        self._forwarder = Forwarder(self._forward_host())
        self._gauge_sources = GaugeSources(
            self._clock,
            self._gate,
            self._rows,
            self._config,
            self._forwarder,
            self._bodies,
            lambda: sum(link.usable for link in self._links_by_id.values()),
            lambda: log_handler.dropped,
        )
        self._open_ports()

    def run(self) -> None:
        """Start everything and return once the daemon has stopped."""
        self._timeline.record("started", detail=f"service={self._settings.instance.service}")
        signal.signal(signal.SIGTERM, lambda *_: after(0, self.stop))
        signal.signal(signal.SIGHUP, lambda *_: after(0, self._reload))
        after(TICK_MS, self._tick)
        after(SWEEP_MS, self._sweep)
        eventlet.spawn_n(self._poll_settings)
        eventlet.spawn_n(self._follow_store)
        self._stopped.wait()

    def stop(self) -> None:
        """Drain and stop; a second call changes nothing."""
        if not self._stopping:
            self._stopping = True
            self._timeline.record("stopping")
            eventlet.spawn_n(self._drain)

    def _forward_host(self) -> ForwardHost:
        return ForwardHost(
            self._clock,
            self._random,
            self._edge,
            self._metrics,
            self._calls,
            self._config,
            self._places,
            lambda: self._rows.size,
            lambda: ServiceName(self._settings.instance.service),
            self._attempt_bounds,
        )

    def _attempt_bounds(self) -> RetryBounds:
        bounds = self._settings.bounds
        return RetryBounds(bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack)

    def _open_ports(self) -> None:
        listen = self._settings.listen
        host = self._settings.instance.host
        try:
            self._ready_port = self._http_port(parse_endpoint(listen.ready), self._serve_ready)
            self._announcement_port = self._http_port(
                parse_endpoint(listen.announcements), self._serve_announcement
            )
            self._call_port = self._http_port(parse_endpoint(listen.calls), self._forwarder.serve)
            self._link_listener = Listener(Endpoint(host, listen.link_port), self._accept_link)
            self._metrics_port = self._http_port(
                Endpoint(host, listen.metrics_port), self._serve_metrics
            )
        except OSError as error:
            raise SettingsError(f"a port can't be opened: {error}") from error

    def _http_port(self, endpoint: Endpoint, serve: Callable[[HttpExchange], None]) -> HttpPort:
        return HttpPort(
            endpoint,
            self._clock,
            lambda: self._config.limits,
            serve,
            self._bodies,
            self._forwarder.record_rejection,
        )

    def _places(self, service: ServiceName) -> list[Destination]:
        """Return the places that take requests for `service`."""
        places: list[Destination] = []
        own = self._gate.row()
        if own is not None and own.serving and own.service == service:
            places.append(self._local_place)
        for link in self._links_by_id.values():
            row = link.row
            target = row.target
            if (
                target is not None
                and target.serving
                and target.service == service
                and not row.leaving
                and link.usable
            ):
                places.append(link)
        return places

    def _serve_ready(self, exchange: HttpExchange) -> None:
        ready = self._config.config is not None and not self._stopping
        known = self._edge.is_readiness_check(exchange.request)
        status = 404 if not known else 200 if ready else 503
        exchange.answer(Response(status, [], b""))

    def _serve_announcement(self, exchange: HttpExchange) -> None:
        try:
            announcement = self._edge.read_announcement(exchange.request)
            if isinstance(announcement, Heartbeat):
                self._check_heartbeat(announcement)
        except BadRequest as error:
            self._timeline.record("announcement_refused", detail=error.message)
            exchange.answer(error_response(error))
            return
        self._gate.apply_announcement(announcement)
        exchange.answer(Response(200, [(b"Content-Type", b"application/json")], b"{}"))

    def _check_heartbeat(self, beat: Heartbeat) -> None:
        """Raise `BadRequest` where the heartbeat can't be that of the target beside the daemon."""
        if beat.endpoint.host != self._settings.instance.host:
            raise BadRequest(f"target {beat.id} at {beat.endpoint} isn't on this instance")
        config = self._config.config
        if config is not None and beat.service not in config.services_by_name:
            raise BadRequest(f"target {beat.id}: service {beat.service!r} isn't defined")

    def _serve_metrics(self, exchange: HttpExchange) -> None:
        body = self._metrics.page(lambda: read_gauges(self._gauge_sources))
        exchange.answer(Response(200, [(b"Content-Type", b"text/plain")], body))

    def _accept_link(self, stream: Stream) -> None:
        InboundLink(self._link_host, stream)

    def _on_config(self) -> None:
        self._gate.check_health_if_unconfirmed()

    def _on_target_changed(self) -> None:
        self._publish(self._rows.change_own(target=self._gate.row()))

    def _publish(self, row: DaemonRow) -> None:
        """Tell the other daemons of the changed own row."""
        frame = Rows([row])
        for link in self._links_by_id.values():
            link.send_frame(frame)
        for served in self._link_host.inbound_links:
            served.send_frame(frame)

    def _on_news(self, rows: list[DaemonRow]) -> None:
        for row in rows:
            link = self._links_by_id.get(row.id)
            if link is None:
                self._links_by_id[row.id] = OutboundLink(self._link_host, row)
                continue
            if row.endpoint != link.row.endpoint:
                link.close()
            if row.incarnation != link.row.incarnation:
                link.reconnect_soon()
            link.row = row

    def _tick(self) -> None:
        after(TICK_MS, self._tick)
        now = self._clock.now()
        for link in list(self._links_by_id.values()):
            link.tick(now)

    def _sweep(self) -> None:
        after(SWEEP_MS, self._sweep)
        for port in (
            self._call_port,
            self._announcement_port,
            self._ready_port,
            self._metrics_port,
        ):
            port.sweep()

    def _follow_store(self) -> None:
        store = self._connect_store(self._settings.platform.address)
        rows = PeerDiscovery(
            store, lambda: self._rows.own, self._link_host.merge_rows, self._timeline, self._random
        )
        watch = ConfigWatch(
            store,
            self._take_configs,
            self._watches_store,
            self._on_store_reachable,
            self._timeline,
            self._random,
        )
        eventlet.spawn_n(watch.run)
        rows.run()

    def _watches_store(self) -> bool:
        now = self._clock.now()
        links = self._links_by_id.values()
        return is_store_watcher(
            self._rows.own,
            [link.row for link in links if link.usable and not link.estimate(now).suspect],
        )

    def _on_store_reachable(self, reachable: bool) -> None:
        self._publish(self._rows.change_own(store_reachable=reachable))

    def _take_configs(self, objects: tuple[Stored, ...]) -> None:
        """Put the newest valid version of a batch into force, and pass it on nearby."""
        for stored in reversed(objects):
            usable = stored.name == CONFIG_NAME and not stored.deleted
            if usable and self._config.apply(stored.document, f"store revision {stored.revision}"):
                for link in self._links_by_id.values():
                    if link.near:
                        self._config.send_config(link)
                return

    def _poll_settings(self) -> None:
        """Read the settings again when their file changes."""
        changed_at = self._path.stat().st_mtime_ns
        while True:
            eventlet.sleep(seconds(SETTINGS_POLL_MS))
            latest = self._path.stat().st_mtime_ns
            if latest != changed_at:
                changed_at = latest
                self._reload()

    def _reload(self) -> None:
        """Take over changed settings; what can't be read or used leaves the old ones in force."""
        try:
            settings = read_sidecar_settings(self._path)
        except SettingsError as error:
            self._timeline.record("settings_refused", detail=error.message)
            return
        if settings == self._settings:
            return
        waiting = needs_restart(self._settings, settings)
        if waiting:
            self._timeline.record("settings_need_restart", detail=", ".join(waiting))
        self._settings = settings
        logging.getLogger().setLevel(settings.log.level.upper())
        self._timeline.record(
            "settings_reloaded",
            detail=f"service={settings.instance.service}",
            facts={"bounds": msgspec.to_builtins(settings.bounds), "log": settings.log.level},
        )

    def _drain(self) -> None:
        """Leave the rotation, finish what is in hand, and end."""
        last_moment = self._clock.now() + self._settings.bounds.grace_ms - LEAST_GRACE_LEFT_MS
        # New callers come until the readiness checks have taken the daemon out.
        eventlet.sleep(seconds(OUT_OF_ROTATION_MS - NEWS_SPREAD_MS))
        self._gate.stopping = True
        self._publish(self._rows.change_own(leaving=True, target=self._gate.row()))
        eventlet.sleep(seconds(NEWS_SPREAD_MS))
        self._call_port.closing = True
        self._call_port.stop_listening()
        self._call_port.close_idle()
        while self._clock.now() < last_moment and self._busy():
            eventlet.sleep(seconds(DRAIN_POLL_MS))
        self._timeline.record(
            "stopped", detail=f"calls={self._forwarder.in_flight} runs={self._gate.running}"
        )
        for served in list(self._link_host.inbound_links):
            served.close()
        self._stopped.send()

    def _busy(self) -> bool:
        return bool(self._forwarder.in_flight or self._gate.running or self._call_port.busy)


def needs_restart(before: SidecarSettings, after: SidecarSettings) -> list[str]:
    """Return the names of the settings that have changed and are only read at the start."""
    names = []
    own = msgspec.structs.replace(after.instance, service=before.instance.service)
    if own != before.instance:
        names.append("instance")
    if after.listen != before.listen:
        names.append("listen")
    if after.platform != before.platform:
        names.append("platform")
    return names


def run_sidecar(path: Path, edge: Edge, connect_store: ConnectStore) -> None:
    """Run the daemon by the settings in `path` until it is told to stop."""
    settings = read_sidecar_settings(path)
    log_handler = logs.set_up(settings.instance.id, settings.log.level)
    Sidecar(path, settings, edge, connect_store, log_handler).run()
