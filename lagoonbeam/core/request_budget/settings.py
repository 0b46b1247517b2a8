"""Settings of the bounds on requests."""

from __future__ import annotations

from typing import Annotated

import msgspec

_Fraction = Annotated[float, msgspec.Meta(gt=0, lt=1)]


class RequestLimitSettings(msgspec.Struct, frozen=True):
    """Bounds on what the clients of a process may hold of it.

    Attributes:
        memory_fraction: Part of the machine's memory that requests may hold;
            the rest is for the state, plans, workers and peers.
        descriptor_fraction: Part of the machine's descriptors for sockets that
            clients' connections may use.
        request_grace_s: Time in which a request must arrive, beside the time
            that its size takes at the slowest rate.
        min_rate_bytes_per_s: Slowest rate at which a request may arrive.
    """

    memory_fraction: _Fraction = 0.25
    descriptor_fraction: _Fraction = 0.5
    request_grace_s: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    min_rate_bytes_per_s: Annotated[float, msgspec.Meta(gt=0)] = 1_024
