"""Makes attempts at the same operation over alternative routes, staggered.

An attempt that is late is not given up: the next one is made beside it, and
the first result is taken. The time until a result depends on how soon a route
is found late, not on the sum of the routes' timeouts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

from lagoonbeam.core.http_client import ResponseProgress
from lagoonbeam.errors import LagoonbeamError

MAX_RESPONSE_GAP_S = 0.5
"""Seconds without further data after which a response that has begun to arrive
is late as well; a store slowed down a hundredfold answers in 0.4 s."""

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class Attempt(Generic[T]):
    """One attempt.

    Attributes:
        run: Makes the attempt; the argument is to record when data of a
            response arrives.
        patience_s: Time without the beginning of a response, in seconds, after
            which the next attempt is made as well.
        progress: When data of a response last arrived.
        error: Why the attempt failed, if it did.
    """

    run: Callable[[ResponseProgress], Awaitable[T]]
    patience_s: float
    progress: ResponseProgress = field(default_factory=ResponseProgress)
    error: LagoonbeamError | None = None


class _Race(Generic[T]):
    """Attempts under way and the first result."""

    def __init__(self) -> None:
        self._running: list[Attempt[T]] = []
        self._changed = anyio.Event()
        self.results: list[T] = []
        self.errors: list[LagoonbeamError] = []

    def enter(self, attempt: Attempt[T]) -> None:
        """Counts an attempt that is about to be run."""
        self._running.append(attempt)

    async def run(self, attempt: Attempt[T]) -> None:
        """Runs an attempt and records its outcome."""
        try:
            self.results.append(await attempt.run(attempt.progress))
        except LagoonbeamError as error:
            attempt.error = error
            self.errors.append(error)
        self._running.remove(attempt)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_until_late(self, attempt: Attempt[T]) -> None:
        """Waits for a result, or until an attempt has failed or is late.

        Waits on while a response to any attempt is arriving.
        """
        started_s = anyio.current_time()
        while not self.results:
            late_s = self._find_late_s(attempt, started_s)
            wait_s = late_s - anyio.current_time()
            if wait_s <= 0:
                return
            with anyio.move_on_after(wait_s):
                await self._changed.wait()

    def _find_late_s(self, attempt: Attempt[T], started_s: float) -> float:
        """Returns when the next attempt is due if no more data arrives."""
        last_data_s = max(
            (running.progress.last_data_s for running in self._running),
            default=float("-inf"),
        )
        if last_data_s >= started_s:
            return last_data_s + MAX_RESPONSE_GAP_S
        return started_s + (attempt.patience_s if attempt.error is None else 0)

    async def wait_for_all(self) -> None:
        """Waits for a result, or until all attempts have failed."""
        while self._running and not self.results:
            await self._changed.wait()


async def run_staggered(attempts: Iterable[Attempt[T]]) -> T:
    """Makes attempts one after the other until one of them has a result.

    The next attempt is made when the last one has failed, or has no response
    for longer than its patience. Attempts still under way are cancelled once
    there is a result.

    Args:
        attempts: At least one attempt; each is taken only when it is made.

    Raises:
        LagoonbeamError: The error of the first attempt that failed, if all
            did.
    """
    race: _Race[T] = _Race()
    async with anyio.create_task_group() as tasks:
        for attempt in attempts:
            race.enter(attempt)
            tasks.start_soon(race.run, attempt)
            await race.wait_until_late(attempt)
            if race.results:
                break
        await race.wait_for_all()
        tasks.cancel_scope.cancel()
    if not race.results:
        raise race.errors[0]
    return race.results[0]
