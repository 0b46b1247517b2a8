"""Shared type aliases."""

from typing import Literal, TypeAlias

Adjacency: TypeAlias = Literal["none", "rack", "worker"]
"""How close the members of a gang must be placed."""

Urgency: TypeAlias = Literal["batch", "normal", "urgent"]
"""How soon a job is needed; see ``URGENCY_RANKS`` for the order."""

Durability: TypeAlias = Literal["log", "peer"]
"""Where an accepted job is kept: the platform's log, or a second instance."""

JobId: TypeAlias = str
TaskId: TypeAlias = str
InstanceName: TypeAlias = str
ZoneName: TypeAlias = str
OrganisationName: TypeAlias = str
WorkerName: TypeAlias = str
Offset: TypeAlias = int
