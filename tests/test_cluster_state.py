from __future__ import annotations

import pytest

from lagoonbeam.core.cluster_state import JOB_RETENTION_S, ClusterState
from lagoonbeam.core.records import (
    AnyRecord,
    JobAccepted,
    JobFinished,
    LaunchIntended,
    LaunchVoided,
    RecordBatch,
    RulesPublished,
    Term,
    TermStarted,
)
from lagoonbeam.core.rules import RulesDocument, encode_rules
from tests.fakes import ZONE, make_job


def fold(*records: AnyRecord) -> ClusterState:
    state = ClusterState()
    for offset, record in enumerate(records):
        state.fold(offset, RecordBatch("w", offset, (record,)))
    return state


def make_launch_intent(attempt: str, number: int = 1) -> LaunchIntended:
    return LaunchIntended(
        job_id="j1",
        attempt=attempt,
        availability_zone=ZONE,
        term=Term(number, "i"),
        members=(),
    )


def make_publication(publication: str, based_on: int) -> RulesPublished:
    document = encode_rules(RulesDocument(based_on, ())).decode()
    return RulesPublished(
        publication_id=publication, document=document, author="a"
    )


class TestIdempotencyKeys:
    def test_second_job_with_the_same_key_is_ignored(self) -> None:
        first = make_job("j1", idempotency_key="k")
        second = make_job("j2", idempotency_key="k")
        state = fold(JobAccepted(job=first), JobAccepted(job=second))
        assert list(state.jobs) == ["j1"]

    def test_finished_job_and_its_key_expire_after_the_retention(self) -> None:
        """The later acceptance, not the local clock, makes the job expire."""

        def accept(name: str, at_s: float) -> JobAccepted:
            job = make_job(name, idempotency_key=name)
            return JobAccepted(
                job=type(job)(**{**vars(job), "accepted_at_s": at_s})
            )

        finished = JobFinished(
            job_id="j1", outcome="completed", finished_at_s=10.0
        )
        late = 11.0 + JOB_RETENTION_S
        state = fold(
            accept("j1", 1.0), finished, accept("j2", 5.0), accept("j3", late)
        )
        assert set(state.jobs) == {"j2", "j3"}
        assert state.find_job_by_key("armor", "j1") is None


class TestLaunchIntents:
    def test_second_launch_intent_is_ignored(self) -> None:
        accepted = JobAccepted(job=make_job(idempotent=False))
        state = fold(accepted, make_launch_intent("a"), make_launch_intent("b"))
        intent = state.jobs["j1"].intent
        assert intent is not None
        assert intent.attempt == "a"

    def test_launch_intent_of_an_older_term_is_ignored(self) -> None:
        """A scheduler that was superseded appends its intent late."""
        started = TermStarted(availability_zone=ZONE, term=Term(2, "i"))
        state = fold(
            JobAccepted(job=make_job()), started, make_launch_intent("a", 1)
        )
        assert state.jobs["j1"].intent is None

    def test_voiding_another_attempt_keeps_the_intent(self) -> None:
        voided = LaunchVoided(
            job_id="j1", attempt="b", availability_zone=ZONE, term=Term(1, "i")
        )
        state = fold(
            JobAccepted(job=make_job()), make_launch_intent("a"), voided
        )
        assert state.jobs["j1"].intent is not None


class TestOutcomes:
    def test_second_outcome_is_ignored(self) -> None:
        state = fold(
            JobAccepted(job=make_job()),
            JobFinished(job_id="j1", outcome="completed"),
            JobFinished(job_id="j1", outcome="failed"),
        )
        status = state.describe_job("j1")
        assert status is not None
        assert status.outcome == "completed"

    def test_outcome_folded_before_acceptance_is_applied(self) -> None:
        """Two instances append both records; the log may order them so."""
        state = fold(
            JobFinished(job_id="j1", outcome="completed"),
            JobAccepted(job=make_job()),
        )
        assert not list(state.iterate_unfinished_jobs(ZONE))


class TestRules:
    def test_publication_based_on_an_older_version_is_refused(self) -> None:
        """Two operators edit the same version; the later append conflicts."""
        state = fold(
            make_publication("a", 0),
            make_publication("b", 0),
            make_publication("c", 1),
        )
        codes = [state.publication_results[name].code for name in "abc"]
        assert codes == ["", "rules_conflict", ""]
        assert state.rules_version == 2

    def test_older_snapshot_is_ignored(self) -> None:
        older = fold(make_publication("a", 0)).encode()
        state = fold(make_publication("a", 0), make_publication("b", 1))
        state.load(older)
        assert state.rules_version == 2


class TestDuplicateBatches:
    @pytest.mark.parametrize("offset", [0, 1])
    def test_duplicate_batch_is_dropped(self, offset: int) -> None:
        """The entry is read again, or its append was retried."""
        state = fold(make_publication("a", 0))
        assert not state.fold(
            offset, RecordBatch("w", 0, (make_publication("a", 0),))
        )
        assert state.rules_version == 1
