"""Queue one offered request at a gate, send it to the target and report its outcome."""

from __future__ import annotations

from egretworks.clock import Millis
from egretworks.edge import TargetHead
from egretworks.gateinterface import (
    NOT_SERVING_RETRY_AFTER_MS,
    CancelCallback,
    OfferGate,
    Reply,
)
from egretworks.gatequeue import GateQueue, QueueEntry
from egretworks.httpwire import Response, encode_request
from egretworks.linkframes import (
    Answered,
    LossReason,
    Lost,
    Offer,
    Outcome,
    RefusalReason,
)
from egretworks.runningrequests import RunningRequest
from egretworks.targetconnections import Exchange, ExchangeFailure
from egretworks.targettracker import TargetIncarnation
from egretworks.types import CallId, RouteName, ServiceName, TeamName

# Extra time in which a target that stops at the deadline can still answer that it did.
ANSWER_GRACE_MS = 60


class PendingOffer:
    """Hold one offer from its arrival at the gate to its outcome.

    `_reply` is None once the outcome has been sent or the offer was cancelled or withdrawn.
    `_abort` and `_running` are set once the exchange with the target has started.
    """

    def __init__(
        self,
        gate: OfferGate,
        incarnation: TargetIncarnation,
        offer: Offer,
        entry: QueueEntry,
        reply: Reply,
    ) -> None:
        self._gate = gate
        self._host = gate.host
        self._incarnation = incarnation
        self._offer = offer
        self._entry = entry
        self._reply: Reply | None = reply
        self._queue: GateQueue | None = None
        self._started = Millis(0)
        self._abort: CancelCallback | None = None
        self._running: RunningRequest | None = None

    def run(self) -> None:
        """Send the request to the target."""
        gate, offer = self._gate, self._offer
        self._queue = gate.queue
        self._started = self._host.clock.now()
        if not gate.allows_retry(offer):
            gate.free_slot(gate.queue)
            self.refuse(RefusalReason.RETRY_BUDGET, 0.0)
            return
        if not self._host.rollouts.take(self._incarnation):
            gate.free_slot(gate.queue)
            self.refuse(RefusalReason.NOT_SERVING, NOT_SERVING_RETRY_AFTER_MS)
            return
        self._running = RunningRequest(
            RouteName(offer.route), self._entry.expires_at, offer.retry_share
        )
        gate.running_requests.start(self._running)
        if offer.retry:
            self._host.metrics.count("gate_retries_run")
        left_ms = max(1.0, self._entry.expires_at - self._started)
        head = TargetHead(
            CallId(offer.call),
            int(left_ms),
            ServiceName(offer.caller),
            self._incarnation.id,
            TeamName(offer.team),
        )
        host = next((value for name, value in offer.headers if name == b"host"), b"")
        data = encode_request(offer, host.decode("latin-1"), self._host.edge.target_headers(head))
        waited_ms = self._started - self._entry.arrived
        self._host.metrics.observe("gate_wait", waited_ms)
        self._host.calls.step(
            "gate_handed",
            offer.call,
            target=self._incarnation.id,
            waited_ms=round(waited_ms, 1),
            left_ms=round(left_ms, 1),
            running=gate.running,
            retry_share=round(offer.retry_share, 2),
        )
        exchange = Exchange(
            offer.method, data, left_ms + ANSWER_GRACE_MS, self._is_own_answer, self._on_done
        )
        self._abort = gate.send(exchange)

    def refuse(self, reason: RefusalReason, retry_after_ms: float) -> None:
        """Send a refusal; the request was never sent to the target."""
        self._send_outcome(self._gate.refusal(self._offer, reason, retry_after_ms))

    def withdraw(self) -> bool:
        """Remove the request from the queue; return False if it is not waiting there."""
        if self._reply is None or not self._gate.withdraw(self._entry):
            return False
        self._reply = None
        return True

    def cancel(self) -> None:
        """Stop the request if possible; `reply` is not called afterwards.

        A request that is in flight and not idempotent runs to its end.
        """
        if self._reply is None:
            return
        self._reply = None
        waiting = self._gate.withdraw(self._entry)
        self._host.metrics.count(f"gate_cancelled_{'waiting' if waiting else 'running'}")
        self._host.calls.step(
            "gate_cancelled",
            self._offer.call,
            waiting=waiting,
            idempotent=self._offer.idempotent,
            after_ms=round(self._host.clock.now() - self._entry.arrived, 1),
        )
        if waiting or self._abort is None:
            return
        if self._offer.idempotent:
            self._abort()
            self._free_slot()

    def _is_own_answer(self, response: Response) -> bool:
        # An answer without a request id may belong to another request.
        return self._host.edge.read_answer_metadata(response).id == self._offer.call

    def _on_done(self, outcome: Response | ExchangeFailure) -> None:
        gate = self._gate
        took_ms = self._host.clock.now() - self._started
        result = self._outcome_of(outcome)
        if isinstance(result, Answered):
            gate.record_result(failed=result.status >= 500)
            self._queue.processing_times.record(self._offer.route, took_ms)
            self._host.metrics.observe("target", took_ms)
            failed = result.status >= 500
            self._host.rollouts.on_answer(
                self._incarnation, self._offer.route, took_ms, failed=failed
            )
        else:
            gate.record_result(failed=True)
            if isinstance(result, Lost):
                self._host.rollouts.on_lost(self._incarnation, self._offer.route, took_ms)
        self._free_slot()
        self._send_outcome(result)

    def _free_slot(self) -> None:
        self._gate.running_requests.end(self._running)
        self._gate.free_slot(self._queue)

    def _outcome_of(self, outcome: Response | ExchangeFailure) -> Outcome:
        """Return what the exchange with the target proves: answered, not run or unknown."""
        gate, offer = self._gate, self._offer
        if outcome is ExchangeFailure.NO_CONNECTION:
            gate.target.on_unreachable(self._incarnation)
            return gate.refusal(offer, RefusalReason.NO_CONNECTION, NOT_SERVING_RETRY_AFTER_MS)
        if isinstance(outcome, ExchangeFailure):
            timed_out = outcome is ExchangeFailure.TIMED_OUT
            return self._lost(LossReason.TIMED_OUT if timed_out else LossReason.BROKEN)
        metadata = self._host.edge.read_answer_metadata(outcome)
        # 421 Misdirected Request: another target answers at the address.
        if outcome.status != 421 and (metadata.signed or metadata.not_run):
            gate.target.apply_notice(self._incarnation, outcome)
        if metadata.not_run or outcome.status == 421:
            if outcome.status == 421:
                gate.target.on_wrong_target(self._incarnation)
            retry_after_ms = self._queue.processing_times.mean
            return gate.refusal(offer, RefusalReason.DECLINED, retry_after_ms, reached_target=True)
        if not metadata.signed or metadata.encoded:
            return self._lost(LossReason.NOT_WHOLE)
        return Answered(offer.serial, outcome.status, outcome.headers, outcome.body, gate.report())

    def _lost(self, reason: LossReason) -> Lost:
        self._host.metrics.count(f"gate_lost_{reason.name.lower()}")
        self._host.calls.failure(
            "gate_lost",
            self._offer.call,
            reason=reason.name.lower(),
            target=self._incarnation.id,
            after_ms=round(self._host.clock.now() - self._started, 1),
        )
        return Lost(self._offer.serial, reason, self._gate.report())

    def _send_outcome(self, outcome: Outcome) -> None:
        reply, self._reply = self._reply, None
        if reply is not None:
            reply(outcome)
