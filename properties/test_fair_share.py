from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.ordering.fair_share import FairShareOrdering

action_lists = st.lists(
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


def make_planned_job(
    number: int, organisation: str, accelerators: int
) -> PlannedJob:
    job = Job(
        f"j{number}",
        organisation,
        "caller",
        "kind",
        shape=GangShape(1, accelerators),
    )
    return PlannedJob(job, float(number), estimated_run_s=1.0)


class TestFairShareOrdering:
    @given(action_lists)
    def test_every_queued_job_is_offered(
        self, actions: list[tuple[str, object, int]]
    ) -> None:
        """A pass without skips offers every queued job, after any history."""
        ordering = FairShareOrdering()
        queued: dict[str, PlannedJob] = {}
        accepted: list[PlannedJob] = []
        for number, (action, first_argument, second_argument) in enumerate(
            actions
        ):
            if action == "add":
                planned = make_planned_job(
                    number, str(first_argument), second_argument
                )
                queued[planned.job.job_id] = planned
                ordering.add(planned)
            elif action == "take":
                for candidate in ordering.iterate_candidates():
                    if first_argument or len(accepted) > 3:
                        ordering.mark_blocked(candidate)
                        continue
                    ordering.mark_placed(candidate)
                    accepted.append(candidate.planned)
                    del queued[candidate.planned.job.job_id]
                    break
                ordering.retry_blocked(None)
            elif action == "requeue" and accepted:
                planned = accepted.pop()
                planned.started_at_s = 1.0
                ordering.end_run(planned, 0.5)
                queued[planned.job.job_id] = planned
                ordering.add(planned)
            elif action == "cancel" and queued:
                name = sorted(queued)[second_argument % len(queued)]
                ordering.remove(queued.pop(name))
        ordering.retry_blocked(None)
        offered = []
        for candidate in ordering.iterate_candidates():
            ordering.mark_placed(candidate)
            offered.append(candidate.planned.job.job_id)
        assert sorted(offered) == sorted(queued)
