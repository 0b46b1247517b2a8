from __future__ import annotations

from collections.abc import Iterator

import anyio
import pytest

from lagoonbeam.core.http_client import ResponseProgress
from lagoonbeam.errors import ResponseLostError, StoreBusyError
from lagoonbeam.site.staggered_attempts import Attempt, run_staggered

pytestmark = pytest.mark.anyio
PATIENCE_S = 0.05


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Route:
    """A route with a fixed outcome after a delay.

    Attributes:
        was_abandoned: Whether an attempt on it was cancelled.
    """

    def __init__(
        self,
        outcome: str | Exception,
        *,
        delay_s: float = 0.0,
        starts_response: bool = False,
    ):
        self._outcome = outcome
        self._delay_s = delay_s
        self._starts_response = starts_response
        self.start_count = 0
        self.was_abandoned = False

    async def run(self, progress: ResponseProgress) -> str:
        self.start_count += 1
        if self._starts_response:
            progress.record_data()
        try:
            await anyio.sleep(self._delay_s)
        except BaseException:
            self.was_abandoned = True
            raise
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome


async def run_over(*routes: Route) -> str:
    return await run_staggered(Attempt(r.run, PATIENCE_S) for r in routes)


async def test_late_attempt_does_not_hold_up_the_next_one() -> None:
    late, prompt = Route("late", delay_s=60), Route("prompt")
    with anyio.fail_after(1):
        assert await run_over(late, prompt) == "prompt"
    assert late.was_abandoned


async def test_result_in_time_makes_no_further_attempt() -> None:
    unused = Route("unused")
    assert await run_over(Route("first"), unused) == "first"
    assert not unused.start_count


async def test_response_that_has_begun_is_not_repeated_on_other_routes() -> (
    None
):
    slow = Route("slow", delay_s=4 * PATIENCE_S, starts_response=True)
    unused = Route("unused")
    assert await run_over(slow, unused) == "slow"
    assert not unused.start_count


async def test_late_result_is_taken_when_all_others_fail() -> None:
    late = Route("late", delay_s=4 * PATIENCE_S)
    refused = Route(StoreBusyError("refused"))
    assert await run_over(late, refused, refused) == "late"


async def test_refused_attempt_beside_a_late_one_is_followed_at_once() -> None:
    refused = Attempt(Route(StoreBusyError("refused")).run, 60.0)
    late = Attempt(Route("late", delay_s=60).run, PATIENCE_S)
    prompt = Attempt(Route("prompt").run, PATIENCE_S)
    with anyio.fail_after(1):
        assert await run_staggered([late, refused, prompt]) == "prompt"


async def test_first_error_is_raised_when_all_attempts_fail() -> None:
    with pytest.raises(ResponseLostError):
        await run_over(
            Route(ResponseLostError("silent")), Route(StoreBusyError("refused"))
        )


async def test_failed_attempt_is_followed_at_once_and_its_error_is_known() -> (
    None
):
    errors: list[object] = []

    def make_attempts() -> Iterator[Attempt[str]]:
        first = Attempt(Route(StoreBusyError("refused")).run, 60.0)
        yield first
        errors.append(first.error)
        yield Attempt(Route("second").run, 60.0)

    with anyio.fail_after(1):
        assert await run_staggered(make_attempts()) == "second"
    assert isinstance(errors[0], StoreBusyError)
