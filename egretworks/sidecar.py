"""Assemble the daemon that runs beside a target, run it and shut it down gracefully."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from pathlib import Path

import eventlet
import eventlet.event

from egretworks import logs, signals
from egretworks.bytebudget import ByteBudget
from egretworks.calllog import CallLog
from egretworks.clock import Millis, SystemClock, seconds
from egretworks.config import SidecarSettings, read_sidecar_settings
from egretworks.configholder import ConfigHolder
from egretworks.destinations import Destination, LocalDestination
from egretworks.edge import Edge
from egretworks.forwardedcall import ForwardHost
from egretworks.forwarding import Forwarder
from egretworks.freshness import ConfigFreshness, RevocationBound
from egretworks.gate import Gate
from egretworks.gateinterface import GateHost
from egretworks.gauges import GaugeSources, read_gauges
from egretworks.inboundlinks import InboundLink
from egretworks.keycheck import KeyCheck
from egretworks.linepacer import LinePacer
from egretworks.linkhost import LinkHost
from egretworks.linkline import LinkLine
from egretworks.linkset import LinkSet
from egretworks.membersync import MemberSync
from egretworks.meshretrybudget import RetryBounds
from egretworks.metrics import Metrics
from egretworks.orphanedoffers import OrphanedOffers
from egretworks.plannedstop import planned_stop
from egretworks.quotaclient import QuotaClient, QuotaHost
from egretworks.quotapool import QuotaBounds
from egretworks.rollout import RolloutBounds
from egretworks.rolloutcontrol import Rollouts
from egretworks.rolloutstate import RolloutHost
from egretworks.rows import DaemonRow, RowTable
from egretworks.settingsreload import ReloadableSettings
from egretworks.sidecarports import PortHost, SidecarPorts
from egretworks.storeclients import StoreClients
from egretworks.storesync import Store
from egretworks.streams import Stream, call_later, use_time_since_boot
from egretworks.timeline import Timeline
from egretworks.types import DataCentre, InstanceId, ServiceName

# Interval at which outbound links are checked for reconnects, pings and timeouts.
TICK_MS = 50
# A timer of the event loop that is later than this is logged: the processor was busy or taken away.
LOGGED_LOOP_DELAY_MS = 250.0
# A tick that is this late means that the process was paused or got no processor.
PAUSE_MS = 150.0
# Readiness checks run every second, and two failures take a daemon out of rotation; this is
# slightly longer.
OUT_OF_ROTATION_MS = 2_200
# Time for the other daemons to receive the row that marks this one as leaving and to stop sending.
ROW_PROPAGATION_MS = 300
# Part of the grace period that is kept back for closing what is still open.
MIN_GRACE_LEFT_MS = 700
DRAIN_POLL_MS = 25
# Fraction of the memory limit that request bodies may occupy.
BODY_MEMORY_FRACTION = 0.25
# Fraction of the memory limit that arriving answers, and large frames of links, may occupy.
ANSWER_MEMORY_FRACTION = 0.25
# Fraction of the memory limit that heartbeats, readiness checks and metrics may occupy.
CONTROL_MEMORY_FRACTION = 0.02

ConnectStore = Callable[[str], Store]


class Sidecar:
    """Hold and connect the components of a daemon: ports, gate, links and store clients."""

    def __init__(
        self,
        path: Path,
        settings: SidecarSettings,
        edge: Edge,
        connect_store: ConnectStore,
        log_handler: logs.BoundedHandler,
    ) -> None:
        self._edge = edge
        self._connect_store = connect_store
        self._clock = SystemClock()
        self._random = random.Random()
        self._metrics = Metrics()
        self._stopping = False
        self._stopped = eventlet.event.Event()
        instance = settings.instance
        self._timeline = Timeline(InstanceId(instance.id), self._clock)
        self._reloadable = ReloadableSettings(path, settings, self._timeline)
        own_row = DaemonRow(
            InstanceId(instance.id),
            DataCentre(instance.data_centre),
            instance.host,
            settings.listen.link_port,
            incarnation=int(self._clock.wall()),
            serial=0,
        )
        memory_bytes = settings.bounds.memory_mb * 1_000_000
        self._calls = CallLog(self._timeline, self._clock)
        self._rows = RowTable(own_row)
        self._config = ConfigHolder(edge.decode_config, self._timeline, self._on_config_applied)
        self._freshness = ConfigFreshness(self._clock, lambda: self._config.version)
        self._revocation = RevocationBound(self._revoke_ms)
        self._answer_budget = ByteBudget(int(memory_bytes * ANSWER_MEMORY_FRACTION))
        self._rollouts = Rollouts(self._rollout_host())
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
                self._answer_budget,
                lambda calls: self._forwarder.allows_calls(calls),
                self._rollouts,
            )
        )
        self._body_budget = ByteBudget(int(memory_bytes * BODY_MEMORY_FRACTION))
        control_budget = ByteBudget(int(memory_bytes * CONTROL_MEMORY_FRACTION))
        pacer = LinePacer(lambda: self._settings.bounds.link_mbps)
        self._line = LinkLine(pacer, self._clock, self._answer_budget)
        self._local_destination = LocalDestination(self._gate, own_row.id)
        self._link_host = LinkHost(
            self._clock,
            self._timeline,
            self._metrics,
            self._calls,
            self._rows,
            MemberSync(self._rows),
            self._config,
            self._gate,
            self._body_budget,
            OrphanedOffers(self._clock),
            set(),
            self._on_rows_changed,
            lambda rows: self._links.pass_on(rows),
            lambda row: self._links.publish(row),
            self._gate.target.apply_earlier_row,
            self._freshness,
            self._line,
            lambda frame, link, peer: self._quota.handle(frame, link, peer),
            self._rollouts,
        )
        self._links = LinkSet(self._link_host, self._config.services, lambda: self._quota.in_use)
        self._quota = QuotaClient(self._quota_host())
        self._forwarder = Forwarder(self._forward_host())
        self._gauge_sources = GaugeSources(
            self._clock,
            self._gate,
            self._rows,
            self._config,
            self._forwarder,
            self._body_budget,
            self._answer_budget,
            lambda: self._links.usable_count,
            self._freshness,
            lambda: log_handler.dropped,
            lambda: self._line.queued_bytes,
            self._quota,
            self._rollouts.steps,
        )
        self._ports = SidecarPorts(self._port_host(control_budget))

    @property
    def _settings(self) -> SidecarSettings:
        return self._reloadable.current

    def run(self) -> None:
        """Start all components and block until the daemon has stopped."""
        self._run()
        signals.ignore()

    def _run(self) -> None:
        self._timeline.record("started", detail=f"service={self._settings.instance.service}")
        if signal.SIGTERM in signals.take():
            # No caller has been served yet, so nothing has to be waited for.
            self._timeline.record("stopped", detail="while starting")
            return
        self._schedule_tick()
        self._ports.start_sweeping()
        eventlet.spawn_n(self._reloadable.poll)
        eventlet.spawn_n(self._run_store_clients)
        self._stopped.wait()

    def stop(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
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
            self._destinations,
            lambda: self._rows.size,
            lambda: ServiceName(self._settings.instance.service),
            self._retry_bounds,
            self._unspent_since(),
            self._gate.running_requests,
            KeyCheck(self._config, self._freshness, self._revocation),
            self._quota,
            self._rollouts,
        )

    def _quota_host(self) -> QuotaHost:
        return QuotaHost(
            self._clock,
            self._random,
            self._metrics,
            self._rows,
            lambda: self._config.teams and self._config.teams.teams_by_name,
            self._quota_bounds,
            lambda id: self._links.links_by_id.get(id),
            self._settings.instance.first_start,
        )

    def _quota_bounds(self) -> QuotaBounds:
        bounds = self._settings.bounds
        return QuotaBounds(bounds.quota_window_ms, bounds.quota_overshoot, bounds.quota_slack)

    def _rollout_host(self) -> RolloutHost:
        return RolloutHost(
            self._clock,
            self._random,
            self._timeline,
            self._metrics,
            self._edge,
            self._rows,
            lambda: self._links,
            lambda: self._settings.bounds.rollout,
            self._rollout_bounds,
            lambda: self._gate.queue.load,
        )

    def _rollout_bounds(self) -> RolloutBounds:
        bounds = self._settings.bounds
        return RolloutBounds(bounds.canary_share, bounds.canary_slack)

    def _port_host(self, control_budget: ByteBudget) -> PortHost:
        return PortHost(
            self._settings,
            self._clock,
            self._edge,
            self._timeline,
            self._config,
            lambda: self._stopping,
            self._forwarder.serve,
            self._forwarder.record_rejection,
            self._accept_link,
            self._gate.apply_announcement,
            lambda: self._metrics.page(lambda: read_gauges(self._gauge_sources)),
            self._body_budget,
            control_budget,
        )

    def _unspent_since(self) -> Millis:
        settings, now = self._settings, self._clock.now()
        first_start = settings.instance.first_start
        return Millis(now - settings.bounds.retry_window_ms) if first_start else now

    def _revoke_ms(self) -> float | None:
        bounds = self._settings.bounds
        return bounds.revoke_ms if bounds.strict_revoke else None

    def _retry_bounds(self) -> RetryBounds:
        bounds = self._settings.bounds
        return RetryBounds(bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack)

    def _destinations(self, service: ServiceName) -> list[Destination]:
        """Return the local target and the links, as far as they can currently serve `service`."""
        destinations: list[Destination] = []
        local = self._gate.row()
        if local is not None and local.serving and local.service == service:
            destinations.append(self._local_destination)
        destinations += self._links.serving(service)
        return destinations

    def _accept_link(self, stream: Stream) -> None:
        InboundLink(self._link_host, stream)

    def _on_config_applied(self) -> None:
        self._gate.target.check_health_if_unconfirmed()

    def _on_rows_changed(self, rows: list[DaemonRow]) -> None:
        self._links.on_rows_changed(rows)
        self._rollouts.on_rows_changed()

    def _on_target_changed(self) -> None:
        self._links.publish(self._rows.change_own(target=self._gate.row()))
        self._rollouts.on_rows_changed()

    def _schedule_tick(self) -> None:
        call_later(TICK_MS, self._tick, Millis(self._clock.now() + TICK_MS))

    def _tick(self, due_at: Millis) -> None:
        self._schedule_tick()
        self._handle_signals()
        now = self._clock.now()
        self._record_loop_delay(now - due_at)
        if now - due_at > PAUSE_MS:
            self._links.excuse_silence(now - due_at)
        self._links.tick(now)
        self._quota.tick(now)
        self._rollouts.tick(now)

    def _handle_signals(self) -> None:
        received = signals.take()
        if signal.SIGHUP in received:
            self._reloadable.reload()
        if signal.SIGTERM in received:
            self.stop()

    def _record_loop_delay(self, delay_ms: float) -> None:
        self._metrics.observe("loop_delay", delay_ms)
        if delay_ms > LOGGED_LOOP_DELAY_MS:
            self._timeline.record("loop_delayed", facts={"late_ms": round(delay_ms, 1)})

    def _run_store_clients(self) -> None:
        clients = StoreClients(
            self._link_host,
            self._links,
            self._freshness,
            self._revocation,
            self._rollouts,
            self._random,
        )
        clients.run(lambda: self._connect_store(self._settings.platform.address))

    def _drain(self) -> None:
        """Leave the rotation, wait for in-flight requests until the grace period ends, and stop."""
        grace_ms = self._settings.bounds.grace_ms
        stop = planned_stop(self._clock.now(), grace_ms, MIN_GRACE_LEFT_MS)
        self._forwarder.stop = stop
        # Callers keep connecting until failed readiness checks take the daemon out of rotation.
        eventlet.sleep(seconds(OUT_OF_ROTATION_MS - ROW_PROPAGATION_MS))
        self._gate.stopping = True
        self._links.publish(self._rows.change_own(leaving=True, target=self._gate.row()))
        eventlet.sleep(seconds(ROW_PROPAGATION_MS))
        self._ports.calls.closing = True
        self._ports.calls.stop_listening()
        self._ports.calls.close_idle()
        while self._clock.now() < stop.ends_at and self._busy():
            eventlet.sleep(seconds(DRAIN_POLL_MS))
            self._ports.calls.close_idle()
        self._timeline.record(
            "stopped", detail=f"calls={self._forwarder.in_flight} runs={self._gate.running}"
        )
        for inbound in list(self._link_host.inbound_links):
            inbound.close()
        self._stopped.send()

    def _busy(self) -> bool:
        if self._forwarder.in_flight or self._gate.running or self._ports.calls.busy:
            return True
        # The outcomes of other daemons' requests.
        return any(inbound.unsent_bytes for inbound in self._link_host.inbound_links)


def run_sidecar(path: Path, edge: Edge, connect_store: ConnectStore) -> None:
    """Run the daemon with the settings file at `path` until SIGTERM.

    Raises `SettingsError` if the file is unreadable or invalid, or a port cannot be opened.
    """
    settings = read_sidecar_settings(path)
    use_time_since_boot()
    log_handler = logs.set_up(settings.instance.id, settings.log.level)
    Sidecar(path, settings, edge, connect_store, log_handler).run()
