"""The exception hierarchy; every error that lagoonbeam reports has a code.

Between processes an error is sent by its ``code`` and raised as the same type
on the receiving side (see `make_error`).
"""

from __future__ import annotations

from typing import ClassVar


class LagoonbeamError(Exception):
    """Base of all errors.

    Args:
        detail: What was received and what is expected.
        retry_after_s: Seconds after which a retry may succeed; 0 for unknown.

    Attributes:
        code: Stable identifier of the error, used on the wire.
        http_status: Status of the HTTP response that reports it.
        by_code: All error types by their code.
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
        code: The code that another process sent.
        detail: The explanation that it sent.
        retry_after_s: Seconds after which a retry may succeed.

    Returns:
        An instance of the registered class, or of the base class if the code
        is unknown.
    """
    error_type = LagoonbeamError.by_code.get(code, LagoonbeamError)
    return error_type(detail, retry_after_s=retry_after_s)


class SettingsError(LagoonbeamError):
    """A settings file is invalid; `detail` lists all errors in it."""

    code = "settings_invalid"


class RequestError(LagoonbeamError):
    """Base of errors in a request, which its sender can correct."""

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
    """The token is valid but does not permit this request."""

    code = "forbidden"
    http_status = 403


class UnknownOrganisationError(RequestError):
    """The rules in force do not contain the organisation."""

    code = "unknown_organisation"
    http_status = 422


class UnknownKindError(RequestError):
    """The organisation may not submit this kind of work."""

    code = "unknown_kind"
    http_status = 422


class UnknownJobError(RequestError):
    """No job with this identifier is known."""

    code = "unknown_job"
    http_status = 404


class UnknownEndpointError(RequestError):
    """The availability zone has no such endpoint."""

    code = "unknown_endpoint"
    http_status = 404


class IdempotencyKeyReusedError(RequestError):
    """The idempotency key was used before with a different request."""

    code = "key_reused"
    http_status = 422


class ImpossibleShapeError(RequestError):
    """No availability zone can run this gang, even when idle."""

    code = "impossible_shape"
    http_status = 422


class RulesInvalidError(RequestError):
    """A rules document is invalid; `detail` lists the errors."""

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
    """Base of refusals under load; a later retry may succeed."""

    code = "overload"
    http_status = 429


class QueueFullError(OverloadError):
    """The queue limit of the organisation, caller or kind is reached."""

    code = "queue_full"


class DeadlineUnreachableError(OverloadError):
    """The expected wait is longer than the job's deadline."""

    code = "deadline_unreachable"


class TooManyRequestsError(OverloadError):
    """The entry has reached its limit of open requests."""

    code = "too_many_requests"


class UnavailableError(LagoonbeamError):
    """Base of failures of a component that may recover."""

    code = "unavailable"
    http_status = 503


class NotReadyError(UnavailableError):
    """The instance has not yet caught up with the log or a peer."""

    code = "not_ready"


class DrainingError(UnavailableError):
    """The instance is shutting down and accepts no new work."""

    code = "draining"


class LogUnavailableError(UnavailableError):
    """The platform's log cannot be reached."""

    code = "log_unavailable"


class LogAppendUnconfirmedError(UnavailableError):
    """The log did not confirm an append that may still take effect."""

    code = "log_uncertain"


class LogTruncatedError(UnavailableError):
    """The requested offset is older than the oldest retained entry.

    Attributes:
        oldest_offset: Offset of the oldest retained entry.
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
    """The log is unavailable and no peer could store a replica."""

    code = "no_replica"


class ZoneUnreachableError(UnavailableError):
    """No active scheduler of the availability zone can be reached."""

    code = "zone_unreachable"


class NotActiveError(UnavailableError):
    """The instance is not the active scheduler of its availability zone."""

    code = "not_active"


class LinkError(UnavailableError):
    """Base of failures of a link between two processes."""

    code = "link_error"


class LinkClosedError(LinkError):
    """The link could not be opened, or was closed before the reply."""

    code = "link_closed"


class LinkNotOpenedError(LinkClosedError):
    """The link could not be opened; the call was not sent."""

    code = "link_not_opened"


class LinkTimeoutError(LinkError):
    """The other side did not reply in time; the call may have run."""

    code = "link_timeout"


class WorkerError(LagoonbeamError):
    """Base of failures of commands to a worker."""

    code = "worker_error"
    http_status = 502


class WorkerUnreachableError(WorkerError):
    """The worker did not respond in time."""

    code = "worker_unreachable"


class WorkerRefusedError(WorkerError):
    """The worker lacks free resources or is leaving."""

    code = "worker_refused"


class StaleTermError(WorkerError):
    """The worker has accepted a newer term and rejects this scheduler.

    Attributes:
        number: Number of the newer term.
        instance: Instance of the newer term.
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
    """A decision would break an invariant and was not carried out."""

    code = "invariant"


class GuaranteeViolatedError(InvariantError):
    """The unused guaranteed cells no longer all fit into the zone."""

    code = "guarantee_violated"


class CellAllocationError(InvariantError):
    """A cell was allocated twice, or released while not allocated."""

    code = "cell_error"


class UnknownPluginError(LagoonbeamError):
    """No plug-in is registered under the name."""

    code = "unknown_plugin"


class ServerUnreachableError(UnavailableError):
    """The connection could not be made; the request was not sent."""

    code = "server_unreachable"


class PeerWithoutRouteError(ServerUnreachableError):
    """A peer did not make a store call, since it has no route to the store."""

    code = "peer_without_route"


class ResponseLostError(UnavailableError):
    """No response to a sent request; it may have been executed."""

    code = "answer_lost"


class StoreBusyError(UnavailableError):
    """The store refused a call, which had no effect."""

    code = "store_busy"


class FencedError(UnavailableError):
    """A newer term exists; the request had no effect."""

    code = "fenced"


class TokensUsedUpError(LagoonbeamError):
    """A term has no higher fencing token for a machine."""

    code = "tokens_used_up"


class OffsetConflictError(UnavailableError):
    """A conditional append expected another end of the journal."""

    code = "offset_conflict"


class ProducerSequenceError(UnavailableError):
    """An append's sequence number is not its producer's next one."""

    code = "sequence"


class MalformedDataError(UnavailableError):
    """A response or record of another system cannot be decoded."""

    code = "malformed_answer"


class UnknownQueueError(RequestError):
    """No queue has this name."""

    code = "unknown_queue"
    http_status = 404
