from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.ordering.fair_share import FairShareOrdering

steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("add"),
            st.sampled_from(["a", "b"]),
            st.sampled_from([1, 2]),
        ),
        st.tuples(st.just("take"), st.booleans(), st.integers(0, 3)),
        st.tuples(st.just("requeue"), st.just(""), st.just(0)),
        st.tuples(st.just("cancel"), st.just(""), st.integers(0, 5)),
    ),
    max_size=60,
)


def make_planned(number: int, organisation: str, size: int) -> PlannedJob:
    job = Job(
        f"j{number}",
        organisation,
        "caller",
        "kind",
        shape=GangShape(1, size),
    )
    return PlannedJob(job, float(number), estimated_run_s=1.0)


class TestNothingIsLost:
    @given(steps)
    def test_every_queued_job_is_offered(
        self, actions: list[tuple[str, object, int]]
    ) -> None:
        """Whatever came before, a pass that skips nothing offers all."""
        ordering = FairShareOrdering()
        queued: dict[str, PlannedJob] = {}
        taken: list[PlannedJob] = []
        for number, (action, first, second) in enumerate(actions):
            if action == "add":
                planned = make_planned(number, str(first), second)
                queued[planned.job.job_id] = planned
                ordering.add(planned)
            elif action == "take":
                for candidate in ordering.iterate_candidates():
                    if first or len(taken) > 3:
                        ordering.mark_blocked(candidate)
                        continue
                    ordering.mark_placed(candidate)
                    taken.append(candidate.planned)
                    del queued[candidate.planned.job.job_id]
                    break
                ordering.retry_blocked(None)
            elif action == "requeue" and taken:
                planned = taken.pop()
                planned.started_at_s = 1.0
                ordering.record_run_time(planned, 0.5)
                queued[planned.job.job_id] = planned
                ordering.add(planned)
            elif action == "cancel" and queued:
                name = sorted(queued)[second % len(queued)]
                ordering.remove(queued.pop(name))
        ordering.retry_blocked(None)
        offered = []
        for candidate in ordering.iterate_candidates():
            ordering.mark_placed(candidate)
            offered.append(candidate.planned.job.job_id)
        assert sorted(offered) == sorted(queued)
