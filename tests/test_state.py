from __future__ import annotations

import pytest

from lagoonbeam.core.records import (
    AnyRecord,
    Batch,
    JobAccepted,
    JobFinished,
    LaunchIntended,
    LaunchVoided,
    RulesPublished,
    Term,
    TermStarted,
)
from lagoonbeam.core.rules import RulesDocument, encode_rules
from lagoonbeam.core.state import KEY_RETENTION_S, ClusterState
from tests.fakes import ZONE, make_job


def fold(*records: AnyRecord) -> ClusterState:
    state = ClusterState()
    for offset, record in enumerate(records):
        state.fold(offset, Batch("w", offset, (record,)))
    return state


def intend(attempt: str, number: int = 1) -> LaunchIntended:
    return LaunchIntended(
        job_id="j1",
        attempt=attempt,
        availability_zone=ZONE,
        term=Term(number, "i"),
        members=(),
    )


def publish(publication: str, based_on: int) -> RulesPublished:
    document = encode_rules(RulesDocument(based_on, ())).decode()
    return RulesPublished(
        publication_id=publication, document=document, author="a"
    )


class TestKeys:
    def test_first_use_of_a_key_wins(self) -> None:
        first = make_job("j1", idempotency_key="k")
        second = make_job("j2", idempotency_key="k")
        state = fold(JobAccepted(job=first), JobAccepted(job=second))
        assert list(state.jobs) == ["j1"]

    def test_key_is_remembered_for_its_retention_only(self) -> None:
        def accept(name: str, at_s: float) -> JobAccepted:
            job = make_job(name, idempotency_key=name)
            return JobAccepted(
                job=type(job)(**{**vars(job), "accepted_at_s": at_s})
            )

        finished = JobFinished(
            job_id="j1", outcome="completed", finished_at_s=10.0
        )
        late = 11.0 + KEY_RETENTION_S
        state = fold(
            accept("j1", 1.0), finished, accept("j2", 5.0), accept("j3", late)
        )
        assert set(state.jobs) == {"j2", "j3"}
        assert state.find_by_key("armor", "j1") is None


class TestLaunches:
    def test_second_intent_is_void(self) -> None:
        accepted = JobAccepted(job=make_job(idempotent=False))
        state = fold(accepted, intend("a"), intend("b"))
        intent = state.jobs["j1"].intent
        assert intent is not None
        assert intent.attempt == "a"

    def test_intent_of_an_older_term_is_void(self) -> None:
        started = TermStarted(availability_zone=ZONE, term=Term(2, "i"))
        state = fold(JobAccepted(job=make_job()), started, intend("a", 1))
        assert state.jobs["j1"].intent is None

    def test_only_its_own_intent_is_taken_back(self) -> None:
        voided = LaunchVoided(
            job_id="j1", attempt="b", availability_zone=ZONE, term=Term(1, "i")
        )
        state = fold(JobAccepted(job=make_job()), intend("a"), voided)
        assert state.jobs["j1"].intent is not None


class TestOutcomes:
    def test_first_outcome_counts(self) -> None:
        state = fold(
            JobAccepted(job=make_job()),
            JobFinished(job_id="j1", outcome="completed"),
            JobFinished(job_id="j1", outcome="failed"),
        )
        status = state.describe_job("j1")
        assert status is not None
        assert status.outcome == "completed"

    def test_outcome_before_acceptance_counts(self) -> None:
        state = fold(
            JobFinished(job_id="j1", outcome="completed"),
            JobAccepted(job=make_job()),
        )
        assert not list(state.iterate_unfinished(ZONE))


class TestRules:
    def test_racing_operators(self) -> None:
        state = fold(publish("a", 0), publish("b", 0), publish("c", 1))
        codes = [state.verdicts[name].code for name in "abc"]
        assert codes == ["", "rules_conflict", ""]
        assert state.version == 2

    def test_older_image_never_reverts(self) -> None:
        older = fold(publish("a", 0)).encode()
        state = fold(publish("a", 0), publish("b", 1))
        state.load(older)
        assert state.version == 2


class TestRepeats:
    @pytest.mark.parametrize("offset", [0, 1])
    def test_repeated_batch_is_dropped(self, offset: int) -> None:
        state = fold(publish("a", 0))
        assert not state.fold(offset, Batch("w", 0, (publish("a", 0),)))
        assert state.version == 1
