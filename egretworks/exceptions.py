"""Define every error, by layer, with the code that operators and programs see."""

from __future__ import annotations


class EgretError(Exception):
    """Report a failure with a code and, where there is one, the next step."""

    code = "egret"
    exit_status = 1

    def __init__(self, message: str, *, next_step: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.next_step = next_step


class SettingsError(EgretError):
    """Report a settings file that can't be used."""

    code = "settings.invalid"
    exit_status = 3


class TicketError(EgretError):
    """Report a ticket that can't be taken as asked."""

    code = "ticket"
    exit_status = 4


class TicketInvalid(TicketError):
    """Report a ticket whose content is wrong."""

    code = "ticket.invalid"


class TicketNotFound(TicketError):
    """Report a ticket number that was never filed."""

    code = "ticket.not_found"
    exit_status = 5


class TicketConflict(TicketError):
    """Report a ticket that another operator decided first."""

    code = "ticket.conflict"
    exit_status = 6


class ChangeRefused(TicketError):
    """Report a change that doesn't fit the state it should follow."""

    code = "change.refused"


class ConfigInvalid(EgretError):
    """Report a configuration of the mesh that contradicts itself or can't be read."""

    code = "config.invalid"


class PlatformError(EgretError):
    """Report a failure of the platform's object API."""

    code = "platform"
    exit_status = 7


class PlatformUnavailable(PlatformError):
    """Report a platform that didn't answer; a write may have taken effect."""

    code = "platform.unavailable"


class ObjectConflict(PlatformError):
    """Report a conditional update whose condition didn't hold."""

    code = "platform.conflict"


class ObjectNotFound(PlatformError):
    """Report an object that isn't there."""

    code = "platform.not_found"


class WatchCompacted(PlatformError):
    """Report a watch whose history is gone, so that a full read is due."""

    code = "platform.compacted"


class PeerError(EgretError):
    """Report a failure between two daemons."""

    code = "peer.unavailable"
    exit_status = 8


class PeerRefused(PeerError):
    """Report a peer that answered with an error of its own."""

    code = "peer.refused"


class CallError(EgretError):
    """Report a call that can't be answered."""

    code = "call"
    http_status = 502
    not_run = False


class BadRequest(CallError):
    """Report a request that can't be read or isn't allowed."""

    code = "call.bad_request"
    http_status = 400
    not_run = True


class HeadersTooLarge(BadRequest):
    """Report a request whose headers are over the limit."""

    code = "call.headers_too_large"
    http_status = 431


class BodyTooLarge(BadRequest):
    """Report a request whose body is over the limit."""

    code = "call.body_too_large"
    http_status = 413


class NoRoute(CallError):
    """Report a request that no route in force matches."""

    code = "call.no_route"
    http_status = 404
    not_run = True


class NotReady(CallError):
    """Report a daemon that has no configuration in force yet, or is stopping."""

    code = "call.not_ready"
    http_status = 503
    not_run = True


class Overloaded(CallError):
    """Report a call refused because no target had room for it in time."""

    code = "call.overloaded"
    http_status = 503
    not_run = True


class BodiesInHand(Overloaded):
    """Report a request whose body isn't read, as the daemon holds too many bytes already."""

    code = "call.bodies_in_hand"


class TargetRefused(CallError):
    """Report a target that says it did not run the request."""

    code = "call.target_refused"
    http_status = 503
    not_run = True


class ConnectFailed(CallError):
    """Report a target that no connection could be opened to."""

    code = "call.connect_failed"
    http_status = 503
    not_run = True


class DeadlineExceeded(CallError):
    """Report a deadline that passed before anything was sent."""

    code = "call.deadline"
    http_status = 504
    not_run = True


class OutcomeUnknown(CallError):
    """Report a request that was sent and whose answer didn't come whole."""

    code = "call.outcome_unknown"
    http_status = 502


class AttemptTimeout(OutcomeUnknown):
    """Report a request that was sent and not answered within its deadline."""

    code = "call.timeout"
    http_status = 504


class CallerGone(CallError):
    """Report a caller that closed its connection before the answer."""

    code = "call.caller_gone"
    http_status = 499


class OnceError(CallError):
    """Report a once-only call that can't be decided."""

    code = "once"


class OnceKeyMissing(OnceError):
    """Report a once-only call without a key."""

    code = "once.key_missing"
    http_status = 400
    not_run = True


class OnceUnrecorded(OnceError):
    """Report a once-only call refused because it couldn't be recorded."""

    code = "once.unrecorded"
    http_status = 503
    not_run = True


class OnceRunning(OnceError):
    """Report a once-only call whose first run hasn't ended."""

    code = "once.running"
    http_status = 409


class OnceUnknown(OnceError):
    """Report a once-only call whose first run has an unknown outcome."""

    code = "once.unknown"
    http_status = 409


class OnceKeyReused(OnceError):
    """Report a key that already stands for another request."""

    code = "once.key_reused"
    http_status = 422
    not_run = True


class OnceConflict(EgretError):
    """Report a once-only call that isn't in the state that a command needs."""

    code = "once.conflict"
    exit_status = 6


class ControlError(EgretError):
    """Report an operators' command that can't be carried out."""

    code = "control"
    exit_status = 2


class CallNotLogged(ControlError):
    """Report a call that no log line names."""

    code = "control.call_not_logged"
    exit_status = 5


class FleetUnreachable(ControlError):
    """Report a fleet none of whose daemons answered."""

    code = "control.fleet_unreachable"
    exit_status = 9
