"""Check the health of the local target until a healthy one answers."""

from __future__ import annotations

from collections.abc import Callable

from egretworks.gateinterface import GateHost
from egretworks.httpwire import Response
from egretworks.streams import call_later
from egretworks.targetconnections import Exchange, ExchangeFailure
from egretworks.targettracker import TargetIncarnation, TargetTracker

TIMEOUT_MS = 1_000
# Delays between health checks of an unreachable target. After the last check the gate waits for the
# next heartbeat.
RECHECK_DELAYS_MS = (200, 400, 800, 1_600)


class HealthChecks:
    """Check the current target of `tracker`, one check at a time.

    `send` starts an exchange with it. `on_healthy` gets each answer of a healthy target, which may
    be another one than the incarnation that was checked.
    """

    def __init__(
        self,
        host: GateHost,
        tracker: TargetTracker,
        send: Callable[[Exchange], object],
        on_healthy: Callable[[TargetIncarnation, Response], None],
    ) -> None:
        self._host = host
        self._tracker = tracker
        self._send = send
        self._on_healthy = on_healthy
        self._checking = False

    def check_if_unconfirmed(self) -> None:
        """Check a target that is not confirmed yet and does not leave."""
        incarnation = self._tracker.current
        if (
            incarnation is not None
            and not incarnation.confirmed
            and incarnation.drain_ends_at is None
        ):
            self.check()

    def check_later(self) -> None:
        """Check a target that has become unreachable, after the first of the delays."""
        call_later(RECHECK_DELAYS_MS[0], self.check, 1)

    def check(self, recheck: int = 0) -> None:
        """Start a health check unless one is in flight.

        `recheck` is 0 for a first check and counts the checks that follow if no healthy target
        answers.
        """
        incarnation = self._tracker.current
        if incarnation is None or self._checking:
            return
        path = self._host.health_path(incarnation.service)
        if path is None:
            return
        self._checking = True

        def on_done(outcome: Response | ExchangeFailure) -> None:
            self._checking = False
            self._on_done(incarnation, outcome, recheck)

        data = self._host.edge.health_request(path, str(incarnation.endpoint))
        self._host.metrics.count("health_checks")
        self._send(Exchange("GET", data, TIMEOUT_MS, lambda _: True, on_done))

    def _on_done(
        self, incarnation: TargetIncarnation, outcome: Response | ExchangeFailure, recheck: int
    ) -> None:
        if incarnation is not self._tracker.current:
            return
        is_answer = isinstance(outcome, Response)
        if is_answer and self._host.edge.healthy_target(outcome) is not None:
            self._on_healthy(incarnation, outcome)
        elif recheck < len(RECHECK_DELAYS_MS):
            call_later(RECHECK_DELAYS_MS[recheck], self.check, recheck + 1)
