from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import anyio

from lagoonbeam.errors import StoreBusyError
from lagoonbeam.site.advice import ASKED_AT_ONCE, AdviceBook
from lagoonbeam.site.decisions import Decisions
from lagoonbeam.site.platform_interface import Advice, AdviceService


class FakeAdvice(AdviceService):
    def __init__(self, valid_s: float = 3.0):
        self.asked: list[list[str]] = []
        self.valid_s = valid_s
        self.busy = 0

    async def request_advice(self, step: str, workers: Sequence[str]) -> Advice:
        self.asked.append(list(workers))
        if self.busy:
            self.busy -= 1
            raise StoreBusyError("429")
        tickets = {w: f"t-{w}" for w in workers if w.endswith("1")}
        return Advice(tickets, self.valid_s)


def run(
    service: FakeAdvice, test: Callable[[AdviceBook], Awaitable[None]]
) -> None:
    async def main() -> None:
        book = AdviceBook(service, Decisions("n0", "z1", descriptor=2))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(book.run)
            await test(book)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_tickets_are_kept_and_denials_are_not_asked_again() -> None:
    service = FakeAdvice()

    async def test(book: AdviceBook) -> None:
        book.want("s", [("w1", 1), ("w2", 1)])
        await book.changed.wait()
        assert book.get_tickets("s") == {"w1": "t-w1"}
        book.want("s", [("w1", 1), ("w2", 1)])
        await anyio.sleep(0.05)
        assert service.asked == [["w1", "w2"]]
        book.drop("s", "w1")
        book.want("s", [("w1", 1), ("w2", 1)])
        await anyio.sleep(0.05)
        assert service.asked[1:] == [["w1"]]

    run(service, test)


def test_ticket_about_to_expire_is_not_used() -> None:
    async def test(book: AdviceBook) -> None:
        book.want("s", [("w1", 1)])
        await book.changed.wait()
        assert book.get_tickets("s") == {}

    run(FakeAdvice(valid_s=0.2), test)


def test_question_is_bounded_and_repeated_while_the_service_is_busy() -> None:
    service = FakeAdvice()
    service.busy = 1

    async def test(book: AdviceBook) -> None:
        many = [(f"w{n}", 1) for n in range(100)]
        book.want("s", many)
        await anyio.sleep(0.6)
        book.want("s", many)
        await book.changed.wait()
        assert [len(asked) for asked in service.asked] == [ASKED_AT_ONCE] * 2

    run(service, test)
