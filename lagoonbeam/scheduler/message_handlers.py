"""Handlers of the messages that a scheduler receives."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

import msgspec

from lagoonbeam.core.messages import (
    Acknowledgement,
    CancelJob,
    DrainEndpoint,
    EnqueueJob,
    EventList,
    FetchState,
    FinishNotice,
    FleetStatus,
    GetEvents,
    GetFleet,
    GetInstances,
    GetRules,
    Heartbeat,
    InstanceList,
    JobList,
    ListJobs,
    Message,
    PublishRules,
    RelayEntries,
    RulesStatus,
    StateImage,
    SubmitJob,
    WaitJob,
)
from lagoonbeam.core.records import EndpointDrained
from lagoonbeam.core.rules import encode_rules
from lagoonbeam.errors import (
    InvalidRequestError,
    NotReadyError,
    UnknownEndpointError,
    ZoneUnreachableError,
)
from lagoonbeam.scheduler.job_registry import FORWARD_TIMEOUT_S

if TYPE_CHECKING:
    from lagoonbeam.scheduler.process import SchedulerProcess

MAX_WAIT_S = 10.0
"""Longest wait of a call; entries ask for shorter ones, and ask again."""


@singledispatch
async def handle_message(
    message: Message, process: SchedulerProcess
) -> Message:
    """Handles a message and returns the reply.

    Args:
        message: The message.
        process: The scheduler process that handles it.

    Raises:
        LagoonbeamError: If the request is refused.
    """
    raise InvalidRequestError(f"unexpected message {type(message).__name__}")


@handle_message.register(Heartbeat)
async def _(message: Heartbeat, process: SchedulerProcess) -> Message:
    process.peers.record_heartbeat(message)
    return process.make_heartbeat()


@handle_message.register(SubmitJob)
async def _(message: SubmitJob, process: SchedulerProcess) -> Message:
    return await process.submit(message.job)


@handle_message.register(EnqueueJob)
async def _(message: EnqueueJob, process: SchedulerProcess) -> Message:
    if message.is_copy:
        process.job_acceptor.add_provisional(message.job)
    else:
        process.require_zone_scheduler()
        process.enqueue(message.job, True)
    return Acknowledgement()


@handle_message.register(WaitJob)
async def _(message: WaitJob, process: SchedulerProcess) -> Message:
    wait_s = min(message.wait_s, MAX_WAIT_S)
    return await process.job_registry.wait_job(message.job_id, wait_s)


@handle_message.register(CancelJob)
async def _(message: CancelJob, process: SchedulerProcess) -> Message:
    return await process.job_registry.cancel(message.job_id)


@handle_message.register(ListJobs)
async def _(message: ListJobs, process: SchedulerProcess) -> Message:
    return JobList(
        process.job_registry.list_jobs(message.organisation, message.limit)
    )


@handle_message.register(FinishNotice)
async def _(message: FinishNotice, process: SchedulerProcess) -> Message:
    process.job_registry.record_announced_status(message.status)
    return Acknowledgement()


@handle_message.register(RelayEntries)
async def _(message: RelayEntries, process: SchedulerProcess) -> Message:
    process.apply_relayed_entries(message.entries)
    return Acknowledgement()


@handle_message.register(FetchState)
async def _(message: FetchState, process: SchedulerProcess) -> Message:
    if not process.log_client.caught_up:
        raise NotReadyError("the log was not read yet")
    return StateImage(process.log_client.state.encode())


@handle_message.register(PublishRules)
async def _(message: PublishRules, process: SchedulerProcess) -> Message:
    version = await process.publish_rules(message.document, message.author)
    return RulesStatus(version, message.document)


@handle_message.register(GetRules)
async def _(message: GetRules, process: SchedulerProcess) -> Message:
    state = process.log_client.state
    document = encode_rules(state.rules).decode() if state.rules else ""
    return RulesStatus(state.rules_version, document)


@handle_message.register(GetInstances)
async def _(message: GetInstances, process: SchedulerProcess) -> Message:
    own_heartbeat = process.make_heartbeat()
    return InstanceList(
        [own_heartbeat, *process.peers.iterate_live_heartbeats()]
    )


@handle_message.register(GetFleet)
async def _(message: GetFleet, process: SchedulerProcess) -> Message:
    zone = message.availability_zone or process.settings.availability_zone
    if zone == process.settings.availability_zone and process.zone is not None:
        return FleetStatus(process.zone.list_worker_statuses())
    active_heartbeat = process.peers.find_active_scheduler(zone)
    if active_heartbeat is None:
        raise ZoneUnreachableError(
            f"no active scheduler of zone {zone!r} is reachable",
            retry_after_s=1.0,
        )
    return await process.peers.call(
        active_heartbeat.instance, GetFleet(zone), timeout_s=FORWARD_TIMEOUT_S
    )


@handle_message.register(DrainEndpoint)
async def _(message: DrainEndpoint, process: SchedulerProcess) -> Message:
    worker_names = {
        entry.name
        for entry in process.instance_catalog.entries
        if entry.role == "worker"
    }
    if message.worker not in worker_names:
        raise UnknownEndpointError(
            f"got endpoint {message.worker!r}, expected one of"
            f" {sorted(worker_names)}"
        )
    await process.log_client.append(
        EndpointDrained(worker=message.worker),
        timeout_s=process.settings.append_timeout_s,
    )
    return Acknowledgement()


@handle_message.register(GetEvents)
async def _(message: GetEvents, process: SchedulerProcess) -> Message:
    return EventList(
        msgspec.json.encode(process.events.list_events_after(message.after))
    )
