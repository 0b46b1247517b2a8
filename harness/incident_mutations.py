"""Guards that incidents brought; for each, a test that fails without it."""

from __future__ import annotations

from harness.mutation import Mutation

INCIDENT_MUTATIONS = [
    Mutation(
        "site: ends listed after a restart count",
        "lagoonbeam/site/session.py",
        "            if (task.task_id, task.run) not in listed_runs\n"
        "            and not reply.is_truncated\n"
        "            and self.dispatcher.has_begun_before("
        "task, sent_s, self.running)",
        "            if True",
        "tests/site/test_session.py"
        "::test_end_listed_after_a_restart_is_not_recorded_as_lapsed",
    ),
    Mutation(
        "site: a stop counts for the incarnation that confirmed it",
        "lagoonbeam/site/session.py",
        "        self.dispatcher.discard_stops()\n",
        "",
        "tests/site/test_session.py"
        "::test_stop_confirmed_before_a_restart_does_not_end_a_run",
    ),
    Mutation(
        "site: the wait for leases goes on across terms",
        "lagoonbeam/site/prior_leases.py",
        '            min(chain(read_at_s, renewed_at_s), default=float("inf"))',
        "            now_s",
        "tests/site/test_prior_leases.py"
        "::test_wait_for_a_lost_worker_is_not_begun_anew_by_each_term",
    ),
    Mutation(
        "site: a term is recorded before it renews a lease",
        "lagoonbeam/site/silent_workers/lease_renewer.py",
        "            and self.is_term_recorded\n",
        "",
        "tests/site/test_session.py"
        "::test_no_lease_is_renewed_before_its_term_is_journaled",
    ),
    Mutation(
        "site: text that is nested too deeply ends nothing",
        "lagoonbeam/core/json_decoding.py",
        "(msgspec.MsgspecError, RecursionError, UnicodeDecodeError)",
        "msgspec.MsgspecError",
        "tests/adapters/test_decoders.py"
        "::test_deeply_nested_text_raises_typed_errors",
    ),
    Mutation(
        "site: a failing session ends no term",
        "lagoonbeam/site/fleet.py",
        "        except Exception as error:",
        "        except MemoryError as error:",
        "tests/site/test_fleet.py"
        "::test_failing_session_ends_neither_the_term_nor_the_others",
    ),
    Mutation(
        "site: a cancelled identifier stays cancelled",
        "lagoonbeam/site/state_changes.py",
        "    if any(scope.covers(request) for scope in scopes):",
        "    if False:",
        "tests/site/test_job_service.py"
        "::test_acceptance_that_follows_its_cancellation_does_not_run",
    ),
    Mutation(
        "site: no job is unknown by old records",
        "lagoonbeam/site/job_service.py",
        "        if job is None and not has_newest_records:",
        "        if False:",
        "tests/site/test_job_service.py"
        "::test_job_is_not_called_unknown_without_the_newest_records",
    ),
    Mutation(
        "site: an upkeep order is journaled before it is sent",
        "lagoonbeam/site/upkeep.py",
        "            if not await self._context.append_records([order]):\n"
        "                return",
        "            pass",
        "tests/site/test_upkeep.py"
        "::test_late_order_of_an_earlier_term_counts_towards_the_cap",
    ),
    Mutation(
        "site: machines that are down are counted before each order",
        "lagoonbeam/site/upkeep.py",
        "self._count_unavailable(wave, machines) >= wave.at_once",
        "False",
        "tests/site/test_upkeep.py"
        "::test_selected_machine_waits_while_another_one_is_down",
    ),
    Mutation(
        "site: snapshots are due by the age of the newest one",
        "lagoonbeam/site/journal_follower.py",
        "            self._last_snapshot_s = read_boot_time_s()\n",
        "            pass\n",
        "tests/site/test_journal_follower.py"
        "::test_snapshot_is_due_although_no_term_outlasts_the_interval",
    ),
    Mutation(
        "site: a late manifest of a snapshot has no effect",
        "platform/lagoonbeam_platform/snapshots.py",
        "                expected_offset=end_offset,\n",
        "",
        "tests/adapters/test_snapshots.py"
        "::test_late_manifest_does_not_name_deleted_parts",
    ),
    Mutation(
        "site: an older snapshot does not replace a newer one",
        "platform/lagoonbeam_platform/snapshots.py",
        "        if stored.offset > snapshot.offset:\n",
        "        if False:\n",
        "tests/adapters/test_snapshots.py"
        "::test_older_snapshot_does_not_replace_a_newer_one",
    ),
    Mutation(
        "site: the journal is replayed if the snapshot lacks parts",
        "lagoonbeam/site/journal_follower.py",
        "                await anyio.sleep(add_jitter(RETRY_DELAY_S))\n"
        "                return\n",
        "                await anyio.sleep(add_jitter(RETRY_DELAY_S))\n"
        "                continue\n",
        "tests/site/test_journal_follower.py"
        "::test_journal_is_replayed_when_the_snapshot_lacks_parts",
    ),
    Mutation(
        "site: a machine refuses a move that a newer one has replaced",
        "lagoonbeam/site/machine_fences.py",
        "        if order != last_order:\n",
        "        if False:\n",
        "tests/site/test_spare_pools.py"
        "::test_late_move_does_not_undo_a_newer_one",
    ),
    Mutation(
        "site: a loan without an answer is fenced off at its end",
        "lagoonbeam/site/spare_pools.py",
        "            elif machine is None:\n",
        "            elif machine is None or machine.pool != loan.pool:\n",
        "tests/site/test_spare_pools.py"
        "::test_loan_without_an_answer_is_fenced_off_at_its_end",
    ),
]
