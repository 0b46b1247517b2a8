"""Mutation tests: disables each guard in a scratch copy and runs its test.

Prints a row per mutation; exits with 1 if a test passes without its guard.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

PROJECT_ROOT = Path(__file__).parent.parent
COPIED_PATHS = [
    "lagoonbeam",
    "standins",
    "harness",
    "tests",
    "properties",
    "docs",
]
COPIED_PATHS += ["benchmarks", "platform", "deploy"]
COPIED_PATHS += ["pyproject.toml", "CONTRIBUTING.md", "KNOWN-RED.txt"]
TEST_TIMEOUT_S = 180.0


@dataclass(frozen=True)
class Mutation:
    """A guard in the code and the test that must fail without it.

    Attributes:
        invariant: Invariant that the guard upholds.
        path: Module that contains the guard.
        guard_code: Source text of the guard; occurs once in the module.
        replacement_code: Source text that replaces it.
        failing_test: Test that must fail after the replacement.
    """

    invariant: str
    path: str
    guard_code: str
    replacement_code: str
    failing_test: str


MUTATIONS = [
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
        "site: a gang is placed completely or not at all",
        "lagoonbeam/site/placement.py",
        "        if not unassigned_tasks:\n            return assignment\n"
        "    return None",
        "        if not unassigned_tasks:\n            return assignment\n"
        "    return assignment",
        "tests/site/test_planner.py"
        "::test_gang_is_placed_completely_or_not_at_all",
    ),
    Mutation(
        "site: the first record of an identifier counts",
        "lagoonbeam/site/state.py",
        "    if request.job_id in state.jobs:",
        "    if False:",
        "tests/site/test_state.py::test_second_acceptance_of_a_job_id_is_ignored",
    ),
    Mutation(
        "site: the end of a stale run is ignored",
        "lagoonbeam/site/state.py",
        "task.placement is None or task.run != end.run:",
        "task.placement is None:",
        "tests/site/test_state.py::test_end_of_a_stale_run_is_ignored",
    ),
    Mutation(
        "site: did_not_run is true",
        "lagoonbeam/site/state.py",
        "    if job is not None and not job.has_started:",
        "    if job is not None:",
        "tests/site/test_state.py::test_started_job_is_not_dropped",
    ),
    Mutation(
        "site: work that may have run is not repeated",
        "lagoonbeam/site/state.py",
        "        unit.job.request.runs_once\n",
        "        False\n",
        "tests/site/test_state.py"
        "::test_run_once_job_is_unknown_after_an_interrupted_run",
    ),
    Mutation(
        "site: a run-once job is not evicted",
        "lagoonbeam/site/worker_usage.py",
        "        if unit.job.request.runs_once:",
        "        if False:",
        "tests/site/test_planner.py::test_run_once_job_is_not_evicted",
    ),
    Mutation(
        "site: guarantees stay reclaimable",
        "lagoonbeam/site/priority_limits.py",
        "        return nonevictable_total <= accelerator_total"
        " - self._guaranteed_total",
        "        return True",
        "tests/site/test_planner.py"
        "::test_run_once_jobs_leave_the_guarantees_reclaimable",
    ),
    Mutation(
        "site: an upkeep wave respects its cap",
        "lagoonbeam/site/upkeep.py",
        "        for machine_id in candidates["
        ": max(0, wave.at_once - len(counted))]:",
        "        for machine_id in candidates:",
        "tests/site/test_upkeep.py"
        "::test_empty_machines_are_serviced_within_the_cap",
    ),
    Mutation(
        "site: a machine is emptied before its upkeep",
        "lagoonbeam/site/upkeep.py",
        "        if not is_ordered and not self._evacuator.is_empty("
        "machine.worker):",
        "        if False:",
        "tests/site/test_upkeep.py"
        "::test_machine_with_work_is_emptied_before_its_upkeep",
    ),
    Mutation(
        "site: a unit without attempts left is not started",
        "lagoonbeam/site/ready_queue.py",
        "                and not has_used_up_attempts("
        "unit, self.get_policy(unit.job))",
        "                and True",
        "tests/site/test_planner.py"
        "::test_unit_that_used_up_its_attempts_is_not_started_again",
    ),
    Mutation(
        "site: workers of an evacuated zone get no runs",
        "lagoonbeam/site/fleet.py",
        "            and session.report.availability_zone\n"
        "            not in self._list_evacuated_zones()",
        "            and True",
        "tests/site/test_fleet.py"
        "::test_workers_of_an_evacuated_zone_get_no_runs",
    ),
    Mutation(
        "site: a late read is repeated on the next route",
        "lagoonbeam/site/staggered_attempts.py",
        "            wait_s = deadline_s - anyio.current_time()",
        '            wait_s = float("inf")',
        "tests/adapters/test_store_reads.py"
        "::test_open_connections_that_went_silent_do_not_delay_a_record",
    ),
    Mutation(
        "site: an old configuration denies no queue",
        "lagoonbeam/site/job_service.py",
        "        if age_s > self._configuration_apply_s:",
        "        if False:",
        "tests/site/test_job_service.py"
        "::test_queue_that_may_have_been_added_is_not_reported_as_unknown",
    ),
    Mutation(
        "site: appended records are applied once",
        "lagoonbeam/site/journal_follower.py",
        "        applied_count = self.offset - page.first_offset",
        "        applied_count = 0",
        "tests/site/test_journal_follower.py"
        "::test_late_page_does_not_apply_appended_records_again",
    ),
    Mutation(
        "site: no start on a worker that was closed while journaling",
        "lagoonbeam/site/run_launcher.py",
        "            if not self._fleet.accepts_runs(placement.worker)",
        "            if False",
        "tests/site/test_fleet.py"
        "::test_gang_is_withdrawn_if_a_worker_is_closed_while_journaling",
    ),
    Mutation(
        "site: narrow work does not starve a wide gang",
        "lagoonbeam/site/backfill.py",
        "            and (hold.policy.priority < policy.priority"
        " or hold is oldest)",
        "            and False",
        "tests/site/test_backfill.py"
        "::test_wide_gang_starts_although_narrow_tasks_wait",
    ),
    Mutation(
        "site: an idempotency key names one job",
        "lagoonbeam/site/job_api.py",
        "    if entry.get_fingerprint() != make_fingerprint(job_request):",
        "    if False:",
        "tests/site/test_job_api.py"
        "::test_idempotency_key_names_one_job_and_rejects_another_body",
    ),
    Mutation(
        "site: jobs of other organisations are hidden",
        "lagoonbeam/site/job_api.py",
        "        if entry.request.organisation != organisation.name:",
        "        if False:",
        "tests/site/test_job_api.py"
        "::test_jobs_of_other_organisations_are_hidden",
    ),
]


def run_mutation(mutation: Mutation) -> str:
    """Returns ``red`` if the test fails without the guard, as it must."""
    with tempfile.TemporaryDirectory() as folder:
        copied_project = Path(folder)
        platform = copied_project / "platform"
        for name in COPIED_PATHS:
            source = PROJECT_ROOT / name
            if source.is_dir():
                shutil.copytree(source, copied_project / name)
            else:
                shutil.copy(source, copied_project / name)
        module = copied_project / mutation.path
        source_code = module.read_text()
        if source_code.count(mutation.guard_code) != 1:
            return (
                "guard code found"
                f" {source_code.count(mutation.guard_code)} times"
            )
        module.write_text(
            source_code.replace(mutation.guard_code, mutation.replacement_code)
        )
        completed_process = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", mutation.failing_test],
            cwd=copied_project,
            env={"PYTHONPATH": f"{copied_project}:{platform}", "PATH": ""},
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    return {0: "GREEN", 1: "red"}.get(
        completed_process.returncode, "did not run"
    )


def main() -> int:
    """Runs the mutations whose invariant contains the first argument."""
    invariant_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    undetected_count = 0
    for mutation in MUTATIONS:
        if invariant_filter not in mutation.invariant:
            continue
        result = run_mutation(mutation)
        undetected_count += result != "red"
        print(
            f"{result:6} {mutation.invariant}: {mutation.failing_test}",
            flush=True,
        )
    return int(undetected_count > 0)


if __name__ == "__main__":
    sys.exit(main())
