"""Guards of the site scheduler; for each, a test that fails without it."""

from __future__ import annotations

from harness.mutation import Mutation

SITE_MUTATIONS = [
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
        "lagoonbeam/site/state_changes.py",
        "    if request.job_id in state.jobs:",
        "    if False:",
        "tests/site/test_state.py::test_second_acceptance_of_a_job_id_is_ignored",
    ),
    Mutation(
        "site: the end of a stale run is ignored",
        "lagoonbeam/site/state_changes.py",
        "task.placement is None or task.run != end.run:",
        "task.placement is None:",
        "tests/site/test_state.py::test_end_of_a_stale_run_is_ignored",
    ),
    Mutation(
        "site: did_not_run is true",
        "lagoonbeam/site/state_changes.py",
        "    if job is not None and job.has_certainly_not_run:",
        "    if job is not None:",
        "tests/site/test_state.py::test_started_job_is_not_dropped",
    ),
    Mutation(
        "site: callers reach their own jobs only",
        "lagoonbeam/site/job_scope.py",
        "        return self.queue in",
        "        return True or self.queue in",
        "tests/site/test_job_scope.py"
        "::test_foreign_caller_sees_and_cancels_no_job",
    ),
    Mutation(
        "site: a foreign cancellation has no effect",
        "lagoonbeam/site/state_changes.py",
        "        if record.scope.covers(job.request):",
        "        if True:",
        "tests/site/test_job_scope.py"
        "::test_jobs_are_cancelled_by_their_own_callers_only",
    ),
    Mutation(
        "site: the identifier of a foreign job is refused",
        "lagoonbeam/site/job_service.py",
        "        if job is not None and not scope.covers(job.request):\n"
        "            raise JobIdInUseError(",
        "        if False:\n            raise JobIdInUseError(",
        "tests/site/test_job_scope.py"
        "::test_identifier_of_a_foreign_job_is_no_repeat",
    ),
    Mutation(
        "site: a placement is no begin",
        "lagoonbeam/site/state_changes.py",
        "        task.run = placement.run\n",
        "        task.run = placement.run\n"
        "        task.unit.job.mark_begun()\n",
        "tests/site/test_begun_jobs.py"
        "::test_jobs_whose_starts_are_refused_are_pending",
    ),
    Mutation(
        "site: a gang has begun once all members are there",
        "lagoonbeam/site/begun_jobs.py",
        "        return len(members) == len(unit.tasks)",
        "        return True",
        "tests/site/test_begun_jobs.py"
        "::test_gang_has_begun_once_all_members_are_there",
    ),
    Mutation(
        "site: a start that may be late is no proof that nothing ran",
        "lagoonbeam/site/state_changes.py",
        " or end.late_start_ms > 0:",
        ":",
        "tests/site/test_begun_jobs.py"
        "::test_job_is_dropped_only_if_no_run_of_it_can_have_begun",
    ),
    Mutation(
        "site: work that may have run is not repeated",
        "lagoonbeam/site/state_changes.py",
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
        "(attempt.patience_s if attempt.error is None else 0)",
        '(float("inf") if attempt.error is None else 0)',
        "tests/adapters/test_store_reads.py"
        "::test_open_connections_that_went_silent_do_not_delay_a_record",
    ),
    Mutation(
        "site: a response that stops midway is late",
        "lagoonbeam/site/staggered_attempts.py",
        "            return last_data_s + MAX_RESPONSE_GAP_S",
        '            return float("inf")',
        "tests/adapters/test_store_reads.py"
        "::test_response_that_stops_midway_does_not_delay_a_record",
    ),
    Mutation(
        "site: limits of a new configuration take effect",
        "lagoonbeam/site/instance.py",
        "            self.on_configuration(new_configuration)\n",
        "",
        "tests/test_site_configuration.py"
        "::test_limits_on_requests_take_effect_on_all_instances",
    ),
    Mutation(
        "site: a peer without a route does not try the store",
        "lagoonbeam/site/store_transport.py",
        "            raise ServerUnreachableError("
        '"no direct route to the store")',
        "            pass",
        "tests/adapters/test_partial_outage.py"
        "::test_few_instances_that_the_store_serves_are_found_in_time",
    ),
    Mutation(
        "site: the return to the direct route is kept",
        "lagoonbeam/site/store_transport.py",
        "            if is_late:\n                self._set_direct(",
        "            if True:\n                self._set_direct(",
        "tests/adapters/test_store_reads.py"
        "::test_read_through_a_peer_does_not_undo_the_return_to_the_store",
    ),
    Mutation(
        "site: an old configuration accepts no job",
        "lagoonbeam/site/job_service.py",
        "        self.check_configuration_age()\n"
        "        self._check_store_responsive()\n        started_s",
        "        self._check_store_responsive()\n        started_s",
        "tests/site/test_job_service.py"
        "::test_no_job_is_accepted_for_a_queue_that_may_have_been_removed",
    ),
    Mutation(
        "site: a late page does not seem up to date",
        "lagoonbeam/site/journal_follower.py",
        "max(self.last_synced_s, page.as_of_s)",
        "read_boot_time_s()",
        "tests/site/test_journal_follower.py"
        "::test_late_page_does_not_make_the_replica_seem_up_to_date",
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
        "site: jobs of no organisation are hidden",
        "lagoonbeam/site/job_api.py",
        "        if entry.request.organisation != organisation.name:",
        "        if False:",
        "tests/site/test_job_api.py::test_jobs_of_no_organisation_are_hidden",
    ),
]
