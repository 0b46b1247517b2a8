from __future__ import annotations

import time
from collections.abc import Sequence

import anyio

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.endings import Endings
from lagoonbeam.site.events import Event
from lagoonbeam.site.model import End, JobState, Step
from lagoonbeam.site.plan_memory import PlanMemory
from lagoonbeam.site.records import Record, RunEnd
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept, make_job, make_policy, place


class Scene:
    """Endings over a journal that takes its time."""

    def __init__(self) -> None:
        self.state = SiteState()
        self.decisions = DecisionLog("n0", "z1", descriptor=2)
        self.endings = Endings(
            lambda: self.state,
            lambda job: make_policy(job.request.queue.priority),
            self.journal,
            PlanMemory(self.decisions),
            self.decisions,
        )

    async def journal(self, records: Sequence[Record]) -> bool:
        await anyio.sleep(0.01)
        for record in records:
            self.state.apply(record)
        return True

    def count(self, event: Event) -> float:
        line = f'decisions_total{{event="{event.value}"}}'
        rendered = self.decisions.metrics.render().decode()
        found = [x for x in rendered.splitlines() if line in x]
        return float(found[0].split()[-1]) if found else 0.0


def test_end_of_a_gang_is_one_line_though_members_end_together() -> None:
    scene = Scene()
    gang = Step(count=3, is_gang=True)
    (unit,) = accept(scene.state, make_job("a", gang))
    place(scene.state, unit, "w0")

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            for task in unit.tasks:
                end = RunEnd(task.task_id, 1, End.DONE)
                tasks.start_soon(scene.endings.end_runs, [end])

    anyio.run(main)
    assert scene.state.jobs["a"].state is JobState.COMPLETED
    assert scene.count(Event.JOB_ENDED) == 1


def test_job_that_failed_too_often_is_failed_once() -> None:
    scene = Scene()
    (unit,) = accept(scene.state, make_job("a"))
    for run in (1, 2):
        place(scene.state, unit, "w0", run)
        end = RunEnd(unit.key, run, End.FAILED)
        anyio.run(scene.endings.end_runs, [end])
        anyio.run(scene.endings.end_hopeless)
    anyio.run(scene.endings.end_hopeless)
    assert scene.state.jobs["a"].state is JobState.FAILED
    assert scene.count(Event.JOB_ENDED) == 1


def test_work_that_must_not_run_again_fails_at_its_first_failure() -> None:
    scene = Scene()
    (unit,) = accept(scene.state, make_job("a", runs_once=True))
    place(scene.state, unit, "w0")
    anyio.run(scene.endings.end_runs, [RunEnd(unit.key, 1, End.FAILED)])
    anyio.run(scene.endings.end_hopeless)
    assert scene.state.jobs["a"].state is JobState.FAILED


def test_job_not_started_in_time_did_not_run() -> None:
    scene = Scene()
    now_s = time.time()
    accept(
        scene.state, make_job("a", accepted_at_s=now_s - 2, start_within_s=1)
    )
    accept(scene.state, make_job("b", accepted_at_s=now_s, start_within_s=9))
    anyio.run(scene.endings.end_hopeless)
    assert scene.state.jobs["a"].state is JobState.DID_NOT_RUN
    assert scene.state.jobs["b"].is_open


def test_runs_of_workers_without_a_session_are_ended() -> None:
    scene = Scene()
    (unit,) = accept(scene.state, make_job("a"))
    place(scene.state, unit, "gone")
    anyio.run(scene.endings.end_lost_workers, ["w0"])
    assert not unit.has_runs
