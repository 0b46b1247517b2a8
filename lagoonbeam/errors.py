"""The exception tree: every failure lagoonbeam reports has a type and a code.

An error travels between processes by its ``code`` and is raised again as the
same type on the other side (see `make_error`).
"""

from __future__ import annotations

from typing import ClassVar


class LagoonbeamError(Exception):
    """Base of all errors.

    Args:
        detail: What was got, what was expected, and the choices.
        retry_after_s: Seconds after which a retry may succeed; 0 for never.

    Attributes:
        code: Stable identifier of the failure, used on the wire.
        http_status: Status an entry answers with.
    """

    code: ClassVar[str] = "internal"
    http_status: ClassVar[int] = 500
    by_code: ClassVar[dict[str, type[LagoonbeamError]]] = {}

    def __init__(self, detail: str = "", *, retry_after_s: float = 0.0):
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s

    def __init_subclass__(cls, **kwargs: object) -> None:
        """Registers each subclass under its code."""
        super().__init_subclass__(**kwargs)
        LagoonbeamError.by_code[cls.code] = cls


def make_error(
    *, code: str, detail: str, retry_after_s: float
) -> LagoonbeamError:
    """Builds the error registered under a code.

    Args:
        code: The code another process sent.
        detail: Its explanation.
        retry_after_s: Seconds after which a retry may succeed.

    Returns:
        An instance of the registered class, or of the base class.
    """
    error_type = LagoonbeamError.by_code.get(code, LagoonbeamError)
    return error_type(detail, retry_after_s=retry_after_s)


class SettingsError(LagoonbeamError):
    """A settings file has faults; `detail` lists all of them."""

    code = "settings_invalid"


class RequestError(LagoonbeamError):
    """Base of errors that the caller can mend."""

    code = "request_error"
    http_status = 400


class InvalidRequestError(RequestError):
    """The request is malformed."""

    code = "invalid_request"


class BodyTooLargeError(RequestError):
    """The request body is larger than the entry accepts."""

    code = "body_too_large"
    http_status = 413


class UnauthorizedError(RequestError):
    """The token is missing or unknown."""

    code = "unauthorized"
    http_status = 401


class ForbiddenError(RequestError):
    """The token is valid but does not allow this call."""

    code = "forbidden"
    http_status = 403


class UnknownOrganisationError(RequestError):
    """The rules in force do not name this organisation."""

    code = "unknown_organisation"
    http_status = 422


class UnknownKindError(RequestError):
    """The organisation may not submit this kind of work."""

    code = "unknown_kind"
    http_status = 422


class UnknownJobError(RequestError):
    """No such job is known."""

    code = "unknown_job"
    http_status = 404


class UnknownEndpointError(RequestError):
    """No such endpoint is known in this availability zone."""

    code = "unknown_endpoint"
    http_status = 404


class IdempotencyKeyReusedError(RequestError):
    """The idempotency key was used with another request."""

    code = "key_reused"
    http_status = 422


class ImpossibleShapeError(RequestError):
    """No availability zone could ever hold this gang."""

    code = "impossible_shape"
    http_status = 422


class RulesInvalidError(RequestError):
    """A rules document is not valid; `detail` lists the faults."""

    code = "rules_invalid"
    http_status = 422


class GuaranteeInfeasibleError(RulesInvalidError):
    """The declared fleet cannot hold all guarantees together."""

    code = "guarantee_infeasible"


class RulesConflictError(RequestError):
    """A rules document is not based on the version in force."""

    code = "rules_conflict"
    http_status = 409


class OverloadError(LagoonbeamError):
    """Base of refusals that a later retry may not meet."""

    code = "overload"
    http_status = 429


class QueueFullError(OverloadError):
    """A queue bound of the organisation, caller or kind is reached."""

    code = "queue_full"


class DeadlineUnreachableError(OverloadError):
    """The expected wait is longer than the job's deadline."""

    code = "deadline_unreachable"


class TooManyRequestsError(OverloadError):
    """The entry holds as many open requests as it may."""

    code = "too_many_requests"


class UnavailableError(LagoonbeamError):
    """Base of failures of a part that may come back."""

    code = "unavailable"
    http_status = 503


class NotReadyError(UnavailableError):
    """The instance has not caught up with the log or a peer yet."""

    code = "not_ready"


class DrainingError(UnavailableError):
    """The instance is shutting down and takes no new work."""

    code = "draining"


class LogUnavailableError(UnavailableError):
    """The platform's log cannot be reached."""

    code = "log_unavailable"


class LogAppendUnconfirmedError(UnavailableError):
    """The log did not confirm a record that it may yet hold."""

    code = "log_uncertain"


class LogTruncatedError(UnavailableError):
    """The asked offset is older than the oldest that the log keeps.

    Attributes:
        oldest_offset: The oldest that it keeps.
    """

    code = "log_truncated"

    def __init__(
        self,
        detail: str = "",
        *,
        retry_after_s: float = 0.0,
        oldest_offset: int = 0,
    ):
        super().__init__(detail, retry_after_s=retry_after_s)
        self.oldest_offset = oldest_offset


class NoReplicaError(UnavailableError):
    """The log is down and no peer could take a second copy."""

    code = "no_replica"


class ZoneUnreachableError(UnavailableError):
    """No active scheduler of the availability zone can be reached."""

    code = "zone_unreachable"


class NotActiveError(UnavailableError):
    """The scheduler is not the active one of its availability zone."""

    code = "not_active"


class LinkError(UnavailableError):
    """Base of failures of a connection between two processes."""

    code = "link_error"


class LinkClosedError(LinkError):
    """The connection is closed."""

    code = "link_closed"


class LinkTimeoutError(LinkError):
    """The other side did not answer before the deadline."""

    code = "link_timeout"


class WorkerError(LagoonbeamError):
    """Base of failures of a command to a worker."""

    code = "worker_error"
    http_status = 502


class WorkerUnreachableError(WorkerError):
    """The worker did not answer before the deadline."""

    code = "worker_unreachable"


class WorkerRefusedError(WorkerError):
    """The worker has no room or is leaving."""

    code = "worker_refused"


class StaleTermError(WorkerError):
    """The worker obeys a scheduler with a newer term.

    Attributes:
        number: Number of that term.
        instance: Instance of that term.
    """

    code = "stale_term"

    def __init__(
        self,
        detail: str = "",
        *,
        retry_after_s: float = 0.0,
        number: int = 0,
        instance: str = "",
    ):
        super().__init__(detail, retry_after_s=retry_after_s)
        self.number = number
        self.instance = instance


class InvariantError(LagoonbeamError):
    """A promise would be broken; the decision that caused it is stopped."""

    code = "invariant"


class GuaranteeViolatedError(InvariantError):
    """The unused guaranteed cells no longer fit together."""

    code = "guarantee_violated"


class CellAllocationError(InvariantError):
    """A cell was taken twice or released without being taken."""

    code = "cell_error"


class UnknownPluginError(LagoonbeamError):
    """No plug-in is registered under the given name."""

    code = "unknown_plugin"


class ServerUnreachableError(UnavailableError):
    """No connection could be made; the request was not sent."""

    code = "server_unreachable"


class ResponseLostError(UnavailableError):
    """A request was sent and not answered; it may have had its effect."""

    code = "answer_lost"


class StoreBusyError(UnavailableError):
    """The store refused a call without any effect."""

    code = "store_busy"


class FencedError(UnavailableError):
    """A newer term exists; nothing was written or done."""

    code = "fenced"


class OffsetConflictError(UnavailableError):
    """The journal does not end where a conditional append expected."""

    code = "offset_conflict"


class ProducerSequenceError(UnavailableError):
    """An append's sequence number does not follow the last one."""

    code = "sequence"


class MalformedDataError(UnavailableError):
    """Another system's answer or record cannot be read."""

    code = "malformed_answer"


class UnknownQueueError(RequestError):
    """No such queue exists."""

    code = "unknown_queue"
    http_status = 404
