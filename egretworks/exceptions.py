"""Define the exceptions, by layer, with the codes and statuses that operators and callers see."""

from __future__ import annotations


class EgretError(Exception):
    """Base class of all errors.

    `code` identifies the kind of error, `exit_status` is that of the command line, and `next_step`
    is advice for the operator or empty.
    """

    code = "egret"
    exit_status = 1

    def __init__(self, message: str, *, next_step: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.next_step = next_step


class SettingsError(EgretError):
    """Report a settings file that cannot be read or is invalid."""

    code = "settings.invalid"
    exit_status = 3


class TicketError(EgretError):
    """Base class of the errors about tickets and changes."""

    code = "ticket"
    exit_status = 4


class TicketInvalid(TicketError):
    """Report a ticket or ticket number with invalid content."""

    code = "ticket.invalid"


class TicketNotFound(TicketError):
    """Report a ticket number that was never filed."""

    code = "ticket.not_found"
    exit_status = 5


class TicketConflict(TicketError):
    """Report a command that lost to another operator's, or came too late for the ticket."""

    code = "ticket.conflict"
    exit_status = 6


class ChangeRefused(TicketError):
    """Report a change that does not apply to the state, or a state that fails its check."""

    code = "change.refused"


class ConfigInvalid(EgretError):
    """Report a configuration of the mesh that is inconsistent or cannot be decoded."""

    code = "config.invalid"


class PlatformError(EgretError):
    """Report a failure of the platform's object API."""

    code = "platform"
    exit_status = 7


class PlatformUnavailable(PlatformError):
    """Report that the platform did not answer, is overloaded, failed or answered unreadably.

    A write may have taken effect.
    """

    code = "platform.unavailable"


class ResponseTooLong(PlatformUnavailable):
    """Report that a response of the platform was given up, as it was too long or took too long."""

    code = "platform.response_too_long"


class ObjectConflict(PlatformError):
    """Report a conditional write that failed because its condition did not hold."""

    code = "platform.conflict"


class ObjectNotFound(PlatformError):
    """Report an object that does not exist on the platform."""

    code = "platform.not_found"


class WatchCompacted(PlatformError):
    """Report a watch from a position whose history was compacted; a full read is needed."""

    code = "platform.compacted"


class PeerError(EgretError):
    """Report a failed exchange between two daemons."""

    code = "peer.unavailable"
    exit_status = 8


class PeerRefused(PeerError):
    """Report a peer that answered a request with an error."""

    code = "peer.refused"


class CallError(EgretError):
    """Base class of the errors that a caller gets instead of the target's answer."""

    code = "call"
    http_status = 502
    # Whether it is certain that no target ran the call, so that any call may be retried.
    not_run = False


class BadRequest(CallError):
    """Report a request that is malformed or not allowed."""

    code = "call.bad_request"
    http_status = 400
    not_run = True


class HeadersTooLarge(BadRequest):
    """Report a request whose headers exceed the size limit."""

    code = "call.headers_too_large"
    http_status = 431


class BodyTooLarge(BadRequest):
    """Report a request whose body exceeds the size limit."""

    code = "call.body_too_large"
    http_status = 413


class ReceiveTimeout(BadRequest):
    """Report a request that was not received completely in time."""

    code = "call.receive_timeout"
    http_status = 408


class NoRoute(CallError):
    """Report a request that no route in force matches."""

    code = "call.no_route"
    http_status = 404
    not_run = True


class UnknownKey(CallError):
    """Report a request whose key no team holds, on a route that requires one."""

    code = "call.unknown_key"
    http_status = 401
    not_run = True


class OverQuota(CallError):
    """Report a request beyond the quota of its team."""

    code = "call.over_quota"
    http_status = 429
    not_run = True


class NotReady(CallError):
    """Report a daemon that cannot accept the call: it is starting or out of connections."""

    code = "call.not_ready"
    http_status = 503
    not_run = True


class Overloaded(CallError):
    """Report a call that was shed: no target had a free slot in time, or the queue was full."""

    code = "call.overloaded"
    http_status = 503
    not_run = True


class BodiesInHand(Overloaded):
    """Report a call that was shed because the daemon already buffers too many bytes of bodies."""

    code = "call.bodies_in_hand"


class TargetRefused(CallError):
    """Report a target that refused the request and states that it did not run it."""

    code = "call.target_refused"
    http_status = 503
    not_run = True


class ConnectFailed(CallError):
    """Report that no connection to the target could be opened."""

    code = "call.connect_failed"
    http_status = 503
    not_run = True


class DeadlineExceeded(CallError):
    """Report a deadline that passed before the request was sent to a target."""

    code = "call.deadline"
    http_status = 504
    not_run = True


class OutcomeUnknown(CallError):
    """Report a request that was sent to a target and whose complete answer did not arrive."""

    code = "call.outcome_unknown"
    http_status = 502


class AttemptTimeout(OutcomeUnknown):
    """Report a request that was sent to a target and not answered before its deadline."""

    code = "call.timeout"
    http_status = 504


class CallerGone(CallError):
    """Report a caller that closed its connection before it was answered."""

    code = "call.caller_gone"
    http_status = 499


class OnceError(CallError):
    """Base class of the errors about once-only calls."""

    code = "once"


class OnceKeyMissing(OnceError):
    """Report a once-only call without an idempotency key."""

    code = "once.key_missing"
    http_status = 400
    not_run = True


class OnceUnrecorded(OnceError):
    """Report a once-only call refused because its record could not be read or written in time."""

    code = "once.unrecorded"
    http_status = 503
    not_run = True


class OnceRunning(OnceError):
    """Report a once-only call whose key belongs to a call that is still running."""

    code = "once.running"
    http_status = 409


class OnceUnknown(OnceError):
    """Report a once-only call of which it is unknown whether it ran."""

    code = "once.unknown"
    http_status = 409


class OnceKeyReused(OnceError):
    """Report an idempotency key that was used for a different request."""

    code = "once.key_reused"
    http_status = 422
    not_run = True


class OnceConflict(EgretError):
    """Report an operator's command on a once-only call whose state does not allow it."""

    code = "once.conflict"
    exit_status = 6


class ControlError(EgretError):
    """Base class of the errors of operators' commands."""

    code = "control"
    exit_status = 2


class CallNotLogged(ControlError):
    """Report a call that none of the given log lines mentions."""

    code = "control.call_not_logged"
    exit_status = 5


class FleetUnreachable(ControlError):
    """Report that none of the known daemons answered, or that none is known."""

    code = "control.fleet_unreachable"
    exit_status = 9
