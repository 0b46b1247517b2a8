"""Guards of the zone schedulers; for each, a test that fails without it."""

from __future__ import annotations

from harness.mutation import Mutation

ZONE_MUTATIONS = [
    Mutation(
        "guarantees can be reclaimed",
        "lagoonbeam/core/guarantees.py",
        "        if missing_slots > self.shortfall_slots:",
        "        if False:",
        "properties/test_planner.py",
    ),
    Mutation(
        "no partial gang: all members are reserved first",
        "lagoonbeam/scheduler/gang_launcher.py",
        "        return len(successful_workers) == len(members_by_worker)",
        "        return True",
        "tests/test_zone_scheduler.py::TestLaunch"
        "::test_refused_reservation_starts_no_member",
    ),
    Mutation(
        "no partial gang: a lost member stops the rest",
        "lagoonbeam/scheduler/job_completion.py",
        "        elif not gang.is_intact:",
        "        elif False:",
        "tests/test_zone_scheduler.py::TestMemberLost"
        "::test_crash_of_one_worker_stops_and_relaunches_the_gang",
    ),
    Mutation(
        "did_not_run is true: a launched job may have run",
        "lagoonbeam/scheduler/job_completion.py",
        "        if job.job_id in self._term_state.jobs_launched_in_term:",
        "        if False:",
        "tests/test_zone_scheduler.py::TestCancellation"
        "::test_job_started_before_does_not_get_did_not_run",
    ),
    Mutation(
        "did_not_run is true: workers are fenced first",
        "lagoonbeam/scheduler/job_completion.py",
        "        return all_synced and bool(self._term_state.worker_links)",
        "        return True",
        "tests/test_zone_scheduler.py::TestCancellation"
        "::test_unsynced_worker_prevents_did_not_run",
    ),
    Mutation(
        "at most once: the launch intent is logged first",
        "lagoonbeam/scheduler/gang_launcher.py",
        "        if not gang.job.idempotent"
        " and not await self._record_intent(gang):",
        "        if False:",
        "tests/test_zone_scheduler.py::TestLaunch"
        "::test_non_idempotent_job_is_not_launched_without_the_log",
    ),
    Mutation(
        "at most once: an interrupted run is not repeated",
        "lagoonbeam/scheduler/job_completion.py",
        "        elif (\n"
        "            job.idempotent\n"
        "            or gang.checkpointed_run_s > 0\n"
        "            or gang.is_confirmed_unstarted\n"
        "        ):",
        "        elif True:",
        "tests/test_zone_scheduler.py::TestMemberLost"
        "::test_non_idempotent_job_is_not_rerun_after_a_crash",
    ),
    Mutation(
        "at most once: the first use of a key wins",
        "lagoonbeam/core/cluster_state.py",
        "            if key in self._jobs_by_key:",
        "            if False:",
        "tests/test_cluster_state.py::TestIdempotencyKeys"
        "::test_second_job_with_the_same_key_is_ignored",
    ),
    Mutation(
        "at most once: a launch intent of an older term is void",
        "lagoonbeam/core/cluster_state.py",
        "        if record.term < self.get_term(record.availability_zone):",
        "        if False:",
        "tests/test_cluster_state.py::TestLaunchIntents"
        "::test_launch_intent_of_an_older_term_is_ignored",
    ),
    Mutation(
        "duplicate appends are dropped",
        "lagoonbeam/core/cluster_state.py",
        "        if batch.sequence <= self._writer_sequences.get("
        "batch.writer, -1):",
        "        if False:",
        "tests/test_cluster_state.py::TestDuplicateBatches",
    ),
    Mutation(
        "rules: one of two racing operators is refused",
        "lagoonbeam/core/cluster_state.py",
        "            if document.based_on != self.rules_version:",
        "            if False:",
        "tests/test_cluster_state.py::TestRules"
        "::test_publication_based_on_an_older_version_is_refused",
    ),
    Mutation(
        "rules never revert",
        "lagoonbeam/core/cluster_state.py",
        "        if snapshot.next_offset < self.next_offset:",
        "        if False:",
        "tests/test_cluster_state.py::TestRules::test_older_snapshot_is_ignored",
    ),
    Mutation(
        "a leaving endpoint gets nothing new",
        "lagoonbeam/scheduler/worker_reports.py",
        '            or link.entry.state == "leaving"',
        "            or False",
        "tests/test_promises.py::test_a_leaving_endpoint_gets_nothing_new",
    ),
    Mutation(
        "every queued job is eventually considered",
        "lagoonbeam/core/planner.py",
        "        self._allocator.release(pool, planned)\n"
        "        self._ordering.retry_blocked(None)",
        "        self._allocator.release(pool, planned)",
        "properties/test_liveness.py",
    ),
    Mutation(
        "an adopted gang replaces the queue entry of its job",
        "lagoonbeam/core/planner.py",
        "        self.cancel(job.job_id)\n        planned.estimated_run_s",
        "        planned.estimated_run_s",
        "tests/test_zone_scheduler.py::TestTakeover"
        "::test_gang_reported_after_recovery_is_not_launched_twice",
    ),
    Mutation(
        "a cancellation during the voiding of an intent is kept",
        "lagoonbeam/scheduler/job_completion.py",
        "        if gang.cancelled:\n            self.finish_gang(\n"
        '                gang, JobOutcome.CANCELLED, "cancelled by',
        "        if False:\n            self.finish_gang(\n"
        '                gang, JobOutcome.CANCELLED, "cancelled by',
        "tests/test_zone_scheduler.py::TestCancellation"
        "::test_cancellation_while_an_intent_is_voided_is_kept",
    ),
    Mutation(
        "what a loaded state changes is acted on",
        "lagoonbeam/scheduler/log_client.py",
        "            changes, self._record_listeners",
        "            (), self._record_listeners",
        "tests/test_loaded_state.py"
        "::test_job_in_a_loaded_state_is_not_forgotten",
    ),
    Mutation(
        "a list that falls behind brings no leaving worker back",
        "lagoonbeam/scheduler/instance_catalog.py",
        "        elif now_s < self._leaving_until_s.get(entry.name, now_s):",
        "        elif False:",
        "tests/test_instance_catalog.py"
        "::test_list_that_falls_behind_brings_no_leaving_worker_back",
    ),
    Mutation(
        "a launch of another scheduler is resolved",
        "lagoonbeam/scheduler/decision_executor.py",
        "        if entry is not None and entry.intent is not None:",
        "        if False:",
        "tests/test_zone_scheduler.py::TestLaunch"
        "::test_launch_of_another_scheduler_that_started_nothing_is_voided",
    ),
]
