"""Guards against runs that are taken as ended while their worker runs them."""

from __future__ import annotations

from harness.mutation import Mutation

_TESTS = "tests/site/test_presumed_ends_"
_NEXT_RUN = "tests/site/test_late_starts_next_run.py"

PRESUMED_END_MUTATIONS = [
    Mutation(
        "site: leases outlive the session that granted them",
        "lagoonbeam/site/scheduler.py",
        "            self._fleet.find_lease_expiry_s(worker),\n",
        "",
        f"{_TESTS}without_session.py"
        "::test_failed_session_does_not_end_runs_that_hold_a_lease",
    ),
    Mutation(
        "site: a session keeps the leases of the one before it",
        "lagoonbeam/site/lease.py",
        "max(self._earlier_leases_expire_at_s, self._grants.expire_at_s)",
        "self._earlier_leases_expire_at_s",
        "tests/site/test_lease.py"
        "::test_lease_is_not_over_before_that_of_the_session_before",
    ),
    Mutation(
        "site: another worker's answer confirms no stop",
        "platform/lagoonbeam_platform/workers.py",
        "        if response.status != 200:\n"
        '            raise self._make_error(response, "run-stop")',
        "        if response.status not in (200, 421):\n"
        '            raise self._make_error(response, "run-stop")',
        f"{_TESTS}misdirected.py"
        "::test_stop_answered_by_another_worker_is_not_confirmed",
    ),
    Mutation(
        "site: a failed poll ends no run before its lease",
        "lagoonbeam/site/session.py",
        "        if self._lease.has_expired:\n",
        "        if True:\n",
        f"{_TESTS}misdirected.py"
        "::test_poll_answered_by_another_worker_ends_no_run_under_a_lease",
    ),
    Mutation(
        "site: a start being journaled is not ended",
        "lagoonbeam/site/termination.py",
        "            if (task.task_id, task.run) not in pending_starts\n",
        "",
        "tests/site/test_termination.py"
        "::test_runs_on_workers_without_session_are_ended",
    ),
    Mutation(
        "site: no start is sent before the worker's clock was read",
        "lagoonbeam/site/run_dispatcher.py",
        "            if not self._lease.has_clock_reading:",
        "            if False:",
        f"{_TESTS}replaced_session.py"
        "::test_start_before_the_first_poll_of_a_session_is_not_sent",
    ),
    Mutation(
        "site: no start is sent long after the last confirmed append",
        "lagoonbeam/site/run_dispatcher.py",
        "            if not self._scheduler.may_renew_leases:",
        "            if False:",
        f"{_TESTS}earlier_term.py"
        "::test_start_after_a_late_confirmation_lapses_before_its_end",
    ),
    Mutation(
        "site: a stop counts for the life that confirmed it",
        "lagoonbeam/site/run_dispatcher.py",
        "            if token == self._fence.token:",
        "            if True:",
        "tests/site/test_session.py"
        "::test_stop_answered_by_an_earlier_life_is_not_confirmed",
    ),
    Mutation(
        "site: a run number names one placement",
        "lagoonbeam/site/state_changes.py",
        "        if task is None or placement.run <= task.run:",
        "        if task is None:",
        "tests/site/test_state.py"
        "::test_run_number_that_is_placed_twice_exists_only_once",
    ),
    Mutation(
        "site: an entry of another writer closes no answering session",
        "lagoonbeam/site/fleet.py",
        "            session.incarnation != report.incarnation\n"
        "            or _has_moved(report, session.report)\n",
        "            False\n",
        f"{_TESTS}replaced_entry.py"
        "::test_entry_of_another_writer_does_not_cut_off_an_answering_worker",
    ),
    Mutation(
        "site: a repeated append is dated from its first sending",
        "lagoonbeam/site/journal_appender.py",
        "min(sent_s, stored_after_s)\n                batch",
        "sent_s\n                batch",
        "tests/site/test_journal_appender.py"
        "::test_repeated_append_is_confirmed_from_its_first_sending",
    ),
    Mutation(
        "site: failed polls end no start that is being journaled",
        "lagoonbeam/site/run_dispatcher.py",
        "            self.is_start_pending(task)\n            or",
        "            False\n            or",
        f"{_TESTS}slow_or_moved_worker.py"
        "::test_start_being_journaled_is_not_ended_by_failed_polls",
    ),
    Mutation(
        "site: an earlier term's runs have time to be stopped",
        "lagoonbeam/site/prior_leases.py",
        "expires_at_s + self._time_limits.stop_timeout_s",
        "expires_at_s",
        f"{_TESTS}slow_or_moved_worker.py"
        "::test_run_of_an_earlier_term_that_is_slow_to_kill_ends_before"
        "_its_record",
    ),
    Mutation(
        "site: a poll after a failed one acknowledges nothing",
        "lagoonbeam/site/session.py",
        "0 if self.failed_polls else self._acked_sequence",
        "self._acked_sequence",
        "tests/site/test_acknowledged_ends.py"
        "::test_end_on_a_restarted_worker_is_not_acknowledged_unread",
    ),
    Mutation(
        "site: a reading of a worker's clock shortens no wait",
        "lagoonbeam/site/lease.py",
        "                self._earlier_leases_expire_at_s,\n"
        "                self._to_local",
        "                self._to_local",
        f"{_TESTS}earlier_term.py"
        "::test_first_reading_of_a_worker_that_restarts_bounds_no_earlier"
        "_term",
    ),
    Mutation(
        "site: a worker has time to stop its runs after their lease",
        "lagoonbeam/site/lease.py",
        "            + self._stop_timeout_s\n",
        "",
        "tests/site/test_lease.py"
        "::test_lease_is_over_only_after_the_worker_had_time_to_stop_its_runs",
    ),
    Mutation(
        "site: a restarted worker refuses the orders to its earlier life",
        "lagoonbeam/site/unconfirmed_orders.py",
        "            self.token += 1\n",
        "            pass\n",
        "tests/site/test_late_starts.py"
        "::test_late_poll_does_not_acknowledge_ends_of_a_restarted_worker",
    ),
    Mutation(
        "site: a start without an answer is repeated at its worker",
        "lagoonbeam/site/session.py",
        "            if self._may_repeat_start(task) and",
        "            if False and",
        "tests/site/test_late_starts.py"
        "::test_start_without_an_answer_is_repeated_at_the_same_worker",
    ),
    Mutation(
        "site: a late start outlasts the leases of a silent worker",
        "lagoonbeam/site/unconfirmed_orders.py",
        "time.monotonic() <= leases_expire_at_s + self._max_delay_s",
        "time.monotonic() <= leases_expire_at_s",
        "tests/site/test_late_starts.py"
        "::test_start_without_an_answer_outlasts_the_lease_of_a_silent_worker",
    ),
    Mutation(
        "site: a unit gives way while a late start may begin",
        "lagoonbeam/site/late_starts/late_start_guard.py",
        "            for unit, worker in self.find_endangered():",
        "            for unit, worker in ():",
        f"{_NEXT_RUN}::test_next_run_gives_way_to_a_late_start_behind_a_cut",
    ),
    Mutation(
        "site: a unit is not placed while a late start may begin",
        "lagoonbeam/site/late_starts/late_start_guard.py",
        "        return not self.is_needed or not any(",
        "        return True or not any(",
        f"{_NEXT_RUN}::test_task_waits_for_a_silent_worker_only_as_long_as"
        "_a_start_may_begin",
    ),
    Mutation(
        "site: a new incarnation is asked to refuse late starts",
        "lagoonbeam/site/late_starts/late_start_refusals.py",
        'knows none of them."""\n        self._refused.clear()',
        'knows none of them."""',
        "tests/site/test_late_start_refusals.py"
        "::test_next_incarnation_is_asked_to_refuse_the_start_again",
    ),
    Mutation(
        "site: starts of an earlier term count as unanswered",
        "lagoonbeam/site/unconfirmed_orders.py",
        "            given_up_at_s = max(given_up_at_s, self._created_at_s)",
        "            pass",
        f"{_NEXT_RUN}::test_later_term_doubts_the_starts_of_an_earlier_one",
    ),
    Mutation(
        "site: snapshots keep late starts",
        "lagoonbeam/site/snapshot.py",
        "        state.late_starts.add(late_start)",
        "        pass",
        "tests/site/test_late_start_index.py::test_snapshot_keeps_late_starts",
    ),
    Mutation(
        "site: a run on a life whose clock began anew holds the longest lease",
        "lagoonbeam/site/run_dispatcher.py",
        "            self._lease.record_start_answer(clock_ms, sent_s)\n",
        "",
        "tests/site/test_silent_workers.py"
        "::test_run_begun_on_a_new_life_of_a_silent_worker_does_not_run_twice",
    ),
    Mutation(
        "site: late orders to an earlier life may extend a lease",
        "lagoonbeam/site/lease.py",
        "        if self.is_of_another_life(worker_clock_ms, sent_s):\n"
        "            self._unfenced_readings = UNFENCED_READINGS\n"
        "        now_s",
        "        now_s",
        "tests/site/test_lease.py"
        "::test_new_life_of_a_worker_may_hold_the_longest_lease",
    ),
    Mutation(
        "site: leases are renewed while the journal stores ends",
        "lagoonbeam/site/silent_workers/lease_renewer.py",
        "            if not self.may_renew:",
        "            if True:",
        "tests/site/test_silent_workers.py"
        "::test_store_outage_ends_no_sound_run",
    ),
]
