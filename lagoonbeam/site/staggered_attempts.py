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

from lagoonbeam.errors import LagoonbeamError

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class Attempt(Generic[T]):
    """One attempt.

    Attributes:
        run: Makes the attempt; the argument is to be set once a response
            begins to arrive.
        patience_s: Time without the beginning of a response, in seconds, after
            which the next attempt is made as well.
        response_started: Set once a response begins to arrive.
        error: Why the attempt failed, if it did.
    """

    run: Callable[[anyio.Event], Awaitable[T]]
    patience_s: float
    response_started: anyio.Event = field(default_factory=anyio.Event)
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
            self.results.append(await attempt.run(attempt.response_started))
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
        deadline_s = anyio.current_time() + attempt.patience_s
        while not self.results:
            is_answering = any(
                running.response_started.is_set() for running in self._running
            )
            has_failed = attempt.error is not None
            wait_s = 0.0 if has_failed else deadline_s - anyio.current_time()
            if wait_s <= 0 and not is_answering:
                return
            with anyio.move_on_after(None if wait_s <= 0 else wait_s):
                await self._changed.wait()

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
