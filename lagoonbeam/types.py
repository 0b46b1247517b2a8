"""Shared type aliases."""

from typing import Literal, TypeAlias

Adjacency: TypeAlias = Literal["none", "rack", "worker"]
"""Topology constraint on the members of a gang."""

Urgency: TypeAlias = Literal["batch", "normal", "urgent"]
"""Priority class of a job; ``URGENCY_RANKS`` gives the order."""

Durability: TypeAlias = Literal["log", "peer"]
"""Where an accepted job is stored: in the log, or on a second instance."""

JobId: TypeAlias = str
TaskId: TypeAlias = str
InstanceName: TypeAlias = str
ZoneName: TypeAlias = str
OrganisationName: TypeAlias = str
WorkerName: TypeAlias = str
Offset: TypeAlias = int
