from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import anyio

from lagoonbeam.errors import StoreBusyError
from lagoonbeam.site.advice import MAX_WORKERS_PER_REQUEST, AdviceCache
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.platform_interface import Advice, AdviceService


class FakeAdviceService(AdviceService):
    def __init__(self, valid_s: float = 3.0):
        self.requests: list[list[str]] = []
        self.valid_s = valid_s
        self.remaining_failures = 0

    async def request_advice(self, step: str, workers: Sequence[str]) -> Advice:
        self.requests.append(list(workers))
        if self.remaining_failures:
            self.remaining_failures -= 1
            raise StoreBusyError("429")
        tickets = {w: f"t-{w}" for w in workers if w.endswith("1")}
        return Advice(tickets, self.valid_s)


def run(
    service: FakeAdviceService, test: Callable[[AdviceCache], Awaitable[None]]
) -> None:
    async def main() -> None:
        cache = AdviceCache(service, DecisionLog("n0", "z1", descriptor=2))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cache.run)
            await test(cache)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_granted_and_denied_workers_are_not_requested_again() -> None:
    service = FakeAdviceService()

    async def test(cache: AdviceCache) -> None:
        cache.request_tickets("s", [("w1", 1), ("w2", 1)])
        await cache.changed.wait()
        assert cache.get_tickets("s") == {"w1": "t-w1"}
        cache.request_tickets("s", [("w1", 1), ("w2", 1)])
        await anyio.sleep(0.05)
        assert service.requests == [["w1", "w2"]]
        cache.drop_ticket("s", "w1")
        cache.request_tickets("s", [("w1", 1), ("w2", 1)])
        await anyio.sleep(0.05)
        assert service.requests[1:] == [["w1"]]

    run(service, test)


def test_ticket_about_to_expire_is_not_used() -> None:
    async def test(cache: AdviceCache) -> None:
        cache.request_tickets("s", [("w1", 1)])
        await cache.changed.wait()
        assert cache.get_tickets("s") == {}

    run(FakeAdviceService(valid_s=0.2), test)


def test_request_is_bounded_and_repeatable_after_a_failure() -> None:
    service = FakeAdviceService()
    service.remaining_failures = 1

    async def test(cache: AdviceCache) -> None:
        many = [(f"w{n}", 1) for n in range(100)]
        cache.request_tickets("s", many)
        await anyio.sleep(0.6)
        cache.request_tickets("s", many)
        await cache.changed.wait()
        assert [len(requests) for requests in service.requests] == [
            MAX_WORKERS_PER_REQUEST
        ] * 2

    run(service, test)
