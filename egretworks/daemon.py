"""Assemble a daemon from its parts, run it and shut it down gracefully."""

from __future__ import annotations

import logging
import random

import eventlet

from egretworks import announcing, replication, reporting, watching
from egretworks.blackboard import Blackboard
from egretworks.callport import CallPort
from egretworks.clock import SystemClock, seconds
from egretworks.config import Settings
from egretworks.controllers import Links, start_all
from egretworks.dispatch import Dispatcher
from egretworks.exceptions import SettingsError
from egretworks.gossip import GossipSocket
from egretworks.later import LaterCalls
from egretworks.ledger import Ledger
from egretworks.membership import Membership
from egretworks.messages import (
    MemberRow,
    MembersReply,
    MembersRequest,
    SyncReply,
    SyncRequest,
)
from egretworks.metrics import Metrics
from egretworks.objects import ObjectStore
from egretworks.oncecalls import OnceCalls
from egretworks.operatorport import OperatorPort
from egretworks.peers import PeerClient, PeerServer
from egretworks.plannedstop import planned_stop
from egretworks.shards import ShardStore
from egretworks.shardwriter import ShardWriter
from egretworks.timeline import Timeline
from egretworks.types import InstanceId, WriterMark
from egretworks.upstream import Upstream

HOUSEKEEPING_MS = 1_000
POLL_MS = 50
# Time for the other daemons to learn that this one is leaving, before it stops accepting calls.
LEAVE_PROPAGATION_MS = 200

# Importing these modules registers their controllers.
CONTROLLER_MODULES = (announcing, reporting, replication, watching)

log = logging.getLogger(__name__)


class Daemon:
    """One daemon with all its parts.

    The constructor binds all ports; the call port refuses connections until the daemon has caught
    up with the version in force.
    """

    def __init__(self, settings: Settings) -> None:
        instance = settings.instance
        self.clock = SystemClock()
        self.random = random.Random()
        own = MemberRow(
            id=instance.id,
            data_centre=instance.data_centre,
            host=instance.host,
            peer_port=instance.peer_port,
            operator_port=instance.operator_port,
            incarnation=int(self.clock.wall()),
            serial=0,
        )
        timeline = Timeline(InstanceId(instance.id), self.clock)
        membership = Membership(own, self.random)
        self.metrics = Metrics()
        self.board = Blackboard(
            settings, self.clock, self.random, membership, timeline, self.metrics
        )
        self.upstream = Upstream(
            self.clock,
            connect_ms=settings.calls.connect_ms,
            max_body_bytes=settings.calls.max_body_bytes,
        )
        self.dispatcher = Dispatcher(self.board, self.upstream, self.metrics)
        self._open_ports()

    def run(self) -> None:
        """Start all green threads and return once the daemon has stopped."""
        self._stopped = eventlet.event.Event()
        self.board.timeline.record("started")
        eventlet.spawn_n(self.gossip.run)
        eventlet.spawn_n(self.operator_port.run)
        eventlet.spawn_n(self._serve_calls_when_ready)
        eventlet.spawn_n(self._close_idle_connections)
        eventlet.spawn_n(self._admit_waiting_calls)
        eventlet.spawn_n(self.later.run)
        start_all(self.board, self.links)
        self._stopped.wait()

    def stop(self) -> None:
        """Start a graceful shutdown: leave the mesh, drain calls and stop. Idempotent."""
        if self.board.stopping:
            return
        self.board.stopping = True
        self.board.timeline.record("stopping")
        eventlet.spawn_n(self._drain)

    def _drain(self) -> None:
        self.gossip.send(self.board.membership.leave())
        eventlet.sleep(seconds(LEAVE_PROPAGATION_MS))
        drain_ms = self.board.settings.calls.drain_ms
        self.dispatcher.stop = planned_stop(self.clock.now(), drain_ms)
        self.call_port.drain(drain_ms)
        self._wait_for_once_outcomes()
        self.board.timeline.record("stopped")
        self.operator_port.close()
        self.peer_server.stop()
        self.gossip.close()
        self._stopped.send()

    def _wait_for_once_outcomes(self) -> None:
        """Wait up to `drain_ms` for the outcomes of once-only calls to be recorded."""
        with eventlet.Timeout(seconds(self.board.settings.calls.drain_ms), False):
            while self.once.unsettled:
                eventlet.sleep(seconds(POLL_MS))

    def _open_ports(self) -> None:
        """Open the ports and make what uses them, or raise `SettingsError`."""
        board = self.board
        instance = board.settings.instance
        platform = board.settings.platform
        try:
            self.gossip = GossipSocket(
                instance.host,
                instance.peer_port,
                self.clock,
                lambda message: replication.receive(board, message),
            )
            store = ObjectStore(
                platform.address, timeout_ms=platform.timeout_ms, limit_time=eventlet.Timeout
            )
            ledger = Ledger(store, self.clock, self._new_writer_mark)
            self._make_once_calls(store)
            self.links = Links(store, ledger, PeerClient(), self.gossip)
            self.peer_server = PeerServer(instance.host, instance.peer_port)
            self._register_peer_methods()
            self.peer_server.start()
            self.operator_port = OperatorPort(board, self.links, self.dispatcher, self.metrics)
            self.call_port = CallPort(
                instance.host,
                instance.call_port,
                board.settings.calls,
                self.clock,
                self.dispatcher.serve,
            )
        except OSError as error:
            raise SettingsError(
                f"a port of instance {instance.id!r} can't be opened: {error}",
                next_step="check that no other process uses the ports under [instance]",
            ) from error

    def _make_once_calls(self, store: ObjectStore) -> None:
        shards = ShardStore(store, lambda pause_ms: eventlet.sleep(seconds(pause_ms)))
        self.once = OnceCalls(self.board, store, ShardWriter(shards, self.clock))
        self.later = LaterCalls(self.board, store, self.once, self.dispatcher)
        self.once.later = self.later
        self.dispatcher.once = self.once

    def _register_peer_methods(self) -> None:
        board = self.board
        self.peer_server.register(
            replication.SYNC,
            SyncRequest,
            SyncReply,
            lambda request: replication.answer_sync(board, request),
        )
        self.peer_server.register(
            replication.MEMBERS,
            MembersRequest,
            MembersReply,
            lambda request: replication.answer_members(board, request),
        )

    def _new_writer_mark(self) -> WriterMark:
        return WriterMark(f"{self.board.own_id}-{self.random.getrandbits(64):x}")

    def _serve_calls_when_ready(self) -> None:
        while not self.board.caught_up.wait(HOUSEKEEPING_MS):
            if self.board.stopping:
                return
        try:
            self.call_port.open()
        except OSError as error:
            log.error("the call port can't listen: %s", error)
            self.stop()
            return
        self.board.ready = True
        self.board.timeline.record("ready", version=self.board.in_force.version)
        self.call_port.run()

    def _close_idle_connections(self) -> None:
        while not self.board.stopping:
            eventlet.sleep(seconds(HOUSEKEEPING_MS))
            self.upstream.close_idle()

    def _admit_waiting_calls(self) -> None:
        """Try every `POLL_MS` to admit the queued calls, while there are any.

        The dispatcher admits them itself when a call releases its slot. Slots also become free when
        a target announces itself or its ejection ends, which sets no signal.
        """
        while True:
            self.board.calls_queued.wait(HOUSEKEEPING_MS)
            while self.dispatcher.waiting():
                self.dispatcher.admit_waiting()
                eventlet.sleep(seconds(POLL_MS))


def make_daemon(settings: Settings) -> Daemon:
    """Return a daemon whose ports are open, or raise `SettingsError`."""
    return Daemon(settings)
