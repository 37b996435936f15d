"""Follow what the local target states about itself and whether it can be reached."""

from __future__ import annotations

from collections.abc import Callable

from egretworks.edge import TargetNotice
from egretworks.gateinterface import GateHost
from egretworks.healthchecks import HealthChecks
from egretworks.httpwire import Response
from egretworks.rows import TargetRow
from egretworks.targetconnections import Exchange
from egretworks.targettracker import TargetIncarnation, TargetTracker


class LocalTarget:
    """Apply answers of the local target, and failures to reach it, to `tracker`.

    `send` starts an exchange with the target. `on_gone` is called when it becomes unreachable, and
    `apply_limit` with each notice that states its limit or that it has none.
    """

    def __init__(
        self,
        host: GateHost,
        tracker: TargetTracker,
        send: Callable[[Exchange], object],
        on_gone: Callable[[], None],
        apply_limit: Callable[[TargetIncarnation, TargetNotice], None],
    ) -> None:
        self._host = host
        self._tracker = tracker
        self._on_gone = on_gone
        self._apply_limit = apply_limit
        self._health = HealthChecks(host, tracker, send, self._on_healthy)
        # The target as an earlier run of this daemon last described it to the others.
        self._earlier_target: TargetRow | None = None

    def check_health_if_unconfirmed(self) -> None:
        """Check the health of a target that is not confirmed yet.

        The path for the check may have become known with a new configuration.
        """
        self._health.check_if_unconfirmed()

    def record_change(self) -> None:
        """Log the changed state of the target and let other daemons know it."""
        incarnation = self._tracker.current
        self._host.timeline.record(
            "target_changed",
            target=incarnation.id,
            detail=f"serving={incarnation.serving} slots={incarnation.slots}"
            f" gone={incarnation.gone} sequence={incarnation.sequence} born={incarnation.born}",
        )
        self._host.on_change()

    def _on_healthy(self, incarnation: TargetIncarnation, response: Response) -> None:
        """Apply the answer of a healthy target to a health check."""
        id = self._host.edge.healthy_target(response)
        if self._tracker.confirm(id):
            self.record_change()
        if id != incarnation.id:
            return
        self._apply_health_notice(incarnation, response)
        if incarnation.gone:
            incarnation.gone = False
            self.record_change()

    def on_unreachable(self, incarnation: TargetIncarnation) -> None:
        """Mark the target as gone after a connection to it could not be opened."""
        if incarnation is self._tracker.current and self._tracker.mark_unreachable():
            self.record_change()
            self._on_gone()
            self._health.check_later()

    def on_wrong_target(self, incarnation: TargetIncarnation) -> None:
        """Mark the target as unconfirmed after another target answered at its address."""
        if incarnation is self._tracker.current and incarnation.confirmed:
            incarnation.confirmed = False
            self.record_change()

    def apply_notice(self, incarnation: TargetIncarnation, response: Response) -> None:
        """Follow what the target states about itself in an answer; the last answer counts."""
        if incarnation is not self._tracker.current:
            return
        notice = self._host.edge.read_notice(response)
        if notice.leaving:
            self._start_leaving()
        self._apply_limit(incarnation, notice)

    def _apply_health_notice(self, incarnation: TargetIncarnation, response: Response) -> None:
        """Follow what a health answer states; a limit that it does not state may still hold."""
        notice = self._host.edge.read_notice(response)
        if notice.leaving:
            self._start_leaving()
        if notice.limit_per_s is not None:
            self._apply_limit(incarnation, notice)

    def apply_earlier_row(self, earlier: TargetRow) -> None:
        """Follow what an earlier run of this daemon knew of the target."""
        self._earlier_target = earlier
        self.continue_leaving()

    def continue_leaving(self) -> None:
        """Send the target nothing if an earlier run of this daemon knew that it leaves."""
        earlier, incarnation = self._earlier_target, self._tracker.current
        if earlier is None or incarnation is None or not earlier.leaving:
            return
        is_same = (earlier.id, earlier.born) == (incarnation.id, incarnation.born)
        if is_same and self._tracker.end_drain(self._host.clock.now()):
            self.record_change()

    def _start_leaving(self) -> None:
        if self._tracker.start_leaving(self._host.clock.now()):
            self.record_change()
