"""What a scheduler answers to each message."""

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
from lagoonbeam.scheduler.known_jobs import FORWARD_TIMEOUT_S

if TYPE_CHECKING:
    from lagoonbeam.scheduler.node import SchedulerNode


@singledispatch
async def answer_message(message: Message, node: SchedulerNode) -> Message:
    """Answers one message.

    Args:
        message: What was asked.
        node: The scheduler that answers.

    Raises:
        LagoonbeamError: If it refuses.
    """
    raise InvalidRequestError(f"unexpected {type(message).__name__}")


@answer_message.register(Heartbeat)
async def _(message: Heartbeat, node: SchedulerNode) -> Message:
    node.peers.observe(message)
    return node.make_heartbeat()


@answer_message.register(SubmitJob)
async def _(message: SubmitJob, node: SchedulerNode) -> Message:
    return await node.submit(message.job)


@answer_message.register(EnqueueJob)
async def _(message: EnqueueJob, node: SchedulerNode) -> Message:
    if message.is_copy:
        node.intake.keep(message.job)
    else:
        node.require_zone()
        node.enqueue(message.job, True)
    return Acknowledgement()


@answer_message.register(WaitJob)
async def _(message: WaitJob, node: SchedulerNode) -> Message:
    return await node.known.wait_job(message.job_id, message.wait_s)


@answer_message.register(CancelJob)
async def _(message: CancelJob, node: SchedulerNode) -> Message:
    return await node.known.cancel(message.job_id)


@answer_message.register(ListJobs)
async def _(message: ListJobs, node: SchedulerNode) -> Message:
    return JobList(node.known.list_jobs(message.organisation, message.limit))


@answer_message.register(FinishNotice)
async def _(message: FinishNotice, node: SchedulerNode) -> Message:
    node.known.take_notice(message.status)
    return Acknowledgement()


@answer_message.register(RelayEntries)
async def _(message: RelayEntries, node: SchedulerNode) -> Message:
    node.take_entries(message.entries)
    return Acknowledgement()


@answer_message.register(FetchState)
async def _(message: FetchState, node: SchedulerNode) -> Message:
    if not node.journal.caught_up:
        raise NotReadyError("the log was not read yet")
    return StateImage(node.journal.state.encode())


@answer_message.register(PublishRules)
async def _(message: PublishRules, node: SchedulerNode) -> Message:
    version = await node.publish_rules(message.document, message.author)
    return RulesStatus(version, message.document)


@answer_message.register(GetRules)
async def _(message: GetRules, node: SchedulerNode) -> Message:
    state = node.journal.state
    document = encode_rules(state.rules).decode() if state.rules else ""
    return RulesStatus(state.version, document)


@answer_message.register(GetInstances)
async def _(message: GetInstances, node: SchedulerNode) -> Message:
    own = node.make_heartbeat()
    return InstanceList([own, *node.peers.iterate_fresh()])


@answer_message.register(GetFleet)
async def _(message: GetFleet, node: SchedulerNode) -> Message:
    zone = message.availability_zone or node.settings.availability_zone
    if zone == node.settings.availability_zone and node.zone is not None:
        return FleetStatus(node.zone.list_worker_statuses())
    active = node.peers.find_active(zone)
    if active is None:
        raise ZoneUnreachableError(
            f"no active scheduler of zone {zone!r} is reachable",
            retry_after_s=1.0,
        )
    return await node.peers.call(
        active.instance, GetFleet(zone), timeout_s=FORWARD_TIMEOUT_S
    )


@answer_message.register(DrainEndpoint)
async def _(message: DrainEndpoint, node: SchedulerNode) -> Message:
    names = {e.name for e in node.catalog.entries if e.role == "worker"}
    if message.worker not in names:
        raise UnknownEndpointError(
            f"got endpoint {message.worker!r}, expected one of {sorted(names)}"
        )
    await node.journal.append(
        EndpointDrained(worker=message.worker),
        timeout_s=node.settings.append_timeout_s,
    )
    return Acknowledgement()


@answer_message.register(GetEvents)
async def _(message: GetEvents, node: SchedulerNode) -> Message:
    return EventList(msgspec.json.encode(node.events.read(message.after)))
