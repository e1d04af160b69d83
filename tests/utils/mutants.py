"""Mutation tests for the safety checks of ``scheduling`` and ``node``.

Each mutation removes one check from a copy of the source; the tests have to fail then.
Run by ``make mutants``, which prints ``caught`` or ``SURVIVED`` for each mutation, or
``STALE`` if its source text has changed, and exits non-zero unless all were caught. It
is not part of CI, since each mutation runs its tests again.
"""

import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.utils.source_edits import SourceEdit, StaleEditError, copy_source

SCHEDULING = "tests/test_scheduling_*.py"
NODE = "tests/test_platform_node.py tests/test_claims.py tests/test_holder_authority.py"
PARTIAL_OUTAGE = "tests/test_partial_outage.py"
EVACUATION = "tests/test_*evacuation*.py"
CRASHES = "tests/test_scheduling_worker_crashes.py"
CEILINGS = "tests/test_scheduling_ceilings*.py"
FAILED_RUNS = "tests/test_scheduling_failed_runs.py tests/test_scheduling_gang*.py"
LISTED_ENDS = "tests/test_scheduling_listed_ends.py"
CRASH_WAVES = "tests/test_scheduling_crash_waves.py"
GANG_CRASHES = (
    "tests/test_scheduling_gang_crashes.py tests/test_gang_evidence_records.py "
    "tests/test_scheduling_give_up_rules.py"
)
WAITING_ORDERS = "tests/test_scheduling_waiting_orders.py"
RESTARTED = (
    "tests/test_scheduling_restarted_workers.py "
    "tests/test_scheduling_carried_over_runs.py"
)
WIDE_RESERVATIONS = "tests/test_scheduling_wide_reservations.py"
EARLY_CANCELS = "tests/test_early_cancels.py"
REPETITIONS = "tests/test_scheduling_many_repetitions.py"
OVER_TCP = "tests/test_scheduling_restarts_over_tcp.py"


@dataclass(frozen=True, slots=True)
class Mutant:
    """A mutation of one file.

    ``guard`` says what the mutated code ensures. ``old`` has to occur exactly once in
    the file at ``path`` and is replaced by ``new``; ``tests`` have to fail then.
    """

    guard: str
    path: str
    old: str
    new: str
    tests: str = SCHEDULING

    @property
    def edit(self) -> SourceEdit:
        """The edit of the source."""
        return SourceEdit(self.path, self.old, self.new)


MUTANTS = (
    Mutant(
        "workers are reserved only for tasks that their limits allow",
        "scheduling/workers/free_capacity.py",
        "limit - count_runs_on(step, worker)",
        "limit",
        WIDE_RESERVATIONS,
    ),
    Mutant(
        "reservations give way on a pool that is mostly idle",
        "scheduling/placement/reservations.py",
        "if self._now >= step.uses_reserved_at and self._is_mostly_idle(step):",
        "if False:",
        WIDE_RESERVATIONS,
    ),
    Mutant(
        "the cancellation of an unknown job is stored",
        "node/job_service.py",
        "        cancellation = _cancellation_by(canceller)\n",
        "        if phase is PhaseLookupFailure.NOT_SUBMITTED:\n"
        "            return ApiResponse(HttpStatus.GONE)\n"
        "        cancellation = _cancellation_by(canceller)\n",
        EARLY_CANCELS,
    ),
    Mutant(
        "a workspace does not cancel the future jobs of another one",
        "scheduling/store/journal.py",
        "            not self.is_restricted\n",
        "            True\n",
        EARLY_CANCELS,
    ),
    Mutant(
        "cancellations of unknown jobs are limited",
        "node/record_relay.py",
        "if cancelled_id is not None and not self._limits.can_keep_cancel(",
        "if False and not self._limits.can_keep_cancel(",
        EARLY_CANCELS,
    ),
    Mutant(
        "a repetition does not start before it is due",
        "scheduling/scheduler_state.py",
        "if step.due_unix_ms > self.unix_ms:",
        "if False:",
        REPETITIONS,
    ),
    Mutant(
        "a repetition has no state long before it is due",
        "scheduling/execution/occurrences.py",
        "if job.due_unix_ms(occurrence) > state.unix_ms:",
        "if False:",
        REPETITIONS,
    ),
    Mutant(
        "a run of a repetition that has no state yet is taken over",
        "scheduling/scheduler_state.py",
        "if task.occurrence in job.unopened and not job.phase.is_final:",
        "if False:",
        REPETITIONS,
    ),
    Mutant(
        "what is stored while a new holder restores is not lost",
        "node/holder.py",
        "        self._apply_later_records()\n",
        "",
        "tests/test_node_turns.py",
    ),
    Mutant(
        "a start order that has waited is sent only if its run is still wanted",
        "scheduling/contact/order_results.py",
        "        and state.is_start_wanted(run)\n",
        "",
        WAITING_ORDERS,
    ),
    Mutant(
        "a start order that has waited is sent only if its worker may still start",
        "scheduling/contact/order_results.py",
        "        and worker.can_start\n"
        "        and worker.covers_reservations(run.amount)\n    )",
        "        and worker.covers_reservations(run.amount)\n    )",
        f"{WAITING_ORDERS} {EVACUATION}",
    ),
    Mutant(
        "leases that calls to a former incarnation gave the next one are counted",
        "scheduling/contact/worker_leases.py",
        "worker.record_former(other, now, state.longest_lease_s)",
        "worker.lease_ends = max(worker.lease_ends, other.lease_ends)",
        RESTARTED,
    ),
    Mutant(
        "a poll with a lease counts until it is answered or over",
        "scheduling/workers/workers.py",
        "        if not self.poll_in_flight:\n",
        "        if True:\n",
        RESTARTED,
    ),
    Mutant(
        "an order is written only to a connection of the incarnation that it names",
        "platform/http.py",
        "        if connection.peer != question.expected:\n",
        "        if False:\n",
        OVER_TCP,
    ),
    Mutant(
        "a connection on which nobody has answered carries a question first",
        "platform/http.py",
        "        if connection.peer is not None:\n",
        "        if True:\n",
        OVER_TCP,
    ),
    Mutant(
        "a connection to the former incarnation carries nothing for the next one",
        "platform/http.py",
        "(not expected or connection.peer in (None, expected))",
        "True",
        "tests/test_platform_calls.py",
    ),
    Mutant(
        "ends are acknowledged only to the incarnation that listed them",
        "scheduling/contact/worker_polls.py",
        "worker.stored_end_number if worker.is_incarnation_certain else 0",
        "worker.stored_end_number",
        RESTARTED,
    ),
    Mutant(
        "a reply with the clock of another incarnation confirms nothing",
        "scheduling/contact/order_results.py",
        "if clock_ms is not None and not worker.may_have_read(clock_ms):",
        "if False:",
        RESTARTED,
    ),
    Mutant(
        "a poll that was connecting is checked again before it is sent",
        "scheduling/contact/worker_polls.py",
        "return is_question or worker.is_incarnation_certain",
        "return True",
        RESTARTED,
    ),
    Mutant(
        "runs that a former holder ordered are carried over to the next incarnation",
        "scheduling/contact/worker_ends.py",
        "is_unlisted = run.presence is not Presence.CONFIRMED or (",
        "is_unlisted = not run.is_adopted and (",
        RESTARTED,
    ),
    Mutant(
        "runs that were carried over are carried over again",
        "scheduling/contact/worker_ends.py",
        "(run.is_ordered or run.is_orphaned)",
        "run.is_ordered",
        RESTARTED,
    ),
    Mutant(
        "a task is carried over once",
        "scheduling/contact/worker_ends.py",
        "        if run.task in successor.runs_by_task:\n            continue\n",
        "",
        RESTARTED,
    ),
    Mutant(
        "an unanswered order may run on at an incarnation that is not known yet",
        "scheduling/contact/worker_ends.py",
        "and now <= worker.lease_calls_end + state.longest_lease_s",
        "and False",
        RESTARTED,
    ),
    Mutant(
        "the next holder knows of leases from calls to former incarnations",
        "scheduling/contact/worker_leases.py",
        "    if record.has_foreign_lease:\n",
        "    if False:\n",
        RESTARTED,
    ),
    Mutant(
        "the time of a tick is read before the authority is checked",
        "node/holder.py",
        "self.scheduler.tick(now, clock.unix_ms())",
        "self.scheduler.tick(clock.now(), clock.unix_ms())",
        "tests/test_suspended_holder.py",
    ),
    Mutant(
        "replies read after a suspension do not count",
        "node/authority_check.py",
        "self._replies_by_node[peer] = (sent_at, reply.age_ms)",
        "self._replies_by_node[peer] = (clock.now(), reply.age_ms)",
        "tests/test_suspended_holder.py",
    ),
    Mutant(
        "a report that a newer one overtook is not handled",
        "scheduling/contact/worker_leases.py",
        "if worker.is_outdated(answer.clock_ms, sent):",
        "if False:",
    ),
    Mutant(
        "at most one extra poll of a worker is in flight",
        "scheduling/contact/worker_polls.py",
        "elif worker.needs_extra_poll and not worker.extra_poll_in_flight:",
        "elif worker.needs_extra_poll:",
    ),
    Mutant(
        "runs that ended use nothing of their pool",
        "scheduling/scheduler_state.py",
        "            load.add(run, -1, step.spec.is_preemptible)\n",
        "",
        "tests/test_scheduling_contention.py",
    ),
    Mutant(
        "no workspace exceeds its ceiling, whatever is observed",
        "scheduling/limits/ceilings.py",
        "    return all(filled <= limit * allowed for _, filled, limit in parts)",
        "    return True",
        "tests/test_scheduling_contention.py",
    ),
    Mutant(
        "newcomers count the work that was promised to earlier callers",
        "scheduling/admission/admission.py",
        "return wait_s + state.returns.work_ahead_s(pool, job.job_id, now)",
        "return wait_s",
        "tests/test_scheduling_returns.py",
    ),
    Mutant(
        "no job is refused while capacity for it has just become free",
        "scheduling/admission/admission.py",
        "        forecast.renew(now)\n",
        "",
        "tests/test_scheduling_admission.py",
    ),
    Mutant(
        "work at its workspace's ceiling delays no other workspace",
        "scheduling/admission/drain_forecast.py",
        "if step.wait_reason is WaitReason.CEILING:",
        "if False:",
        "tests/test_scheduling_admission.py",
    ),
    Mutant(
        "jobs accepted since the sums were computed are work ahead",
        "scheduling/admission/admission.py",
        "        forecast.add_accepted(job, now)\n",
        "",
        "tests/test_scheduling_admission.py",
    ),
    Mutant(
        "workspaces have weighted shares of a scarce pool",
        "scheduling/shares/shares.py",
        "shares[other] = level * demands[other].weight",
        "shares[other] = level",
        "tests/test_scheduling_shares.py",
    ),
    Mutant(
        "urgent work that was not seen for a window frees no more than before",
        "scheduling/limits/ceilings.py",
        "if state.urgent_peaks.is_representative(workspace.workspace_id, now):",
        "if True:",
        "tests/test_scheduling_ceilings.py",
    ),
    Mutant(
        "no job waits while its workspace uses less than half of its ceiling",
        "scheduling/limits/ceilings.py",
        "    allowed = 1.0 if uses_little else fraction",
        "    allowed = fraction",
        "tests/test_scheduling_ceilings.py",
    ),
    Mutant(
        "an order leaves only while its worker has the capacity",
        "scheduling/contact/order_results.py",
        "        and worker.covers_reservations(run.amount)\n"
        "        and state.authority",
        "        and state.authority",
        "tests/test_scheduling_capacity_changes.py",
    ),
    Mutant(
        "an order that waits for its turn is checked again",
        "scheduling/contact/order_results.py",
        "        and worker.covers_reservations(run.amount)\n    )",
        "    )",
        "tests/test_scheduling_capacity_changes.py",
    ),
    Mutant(
        "jobs are stored before the workers that they learned from",
        "scheduling/contact/store_batches.py",
        "        if state.changed_jobs:\n",
        "        if False:\n",
        "tests/test_scheduling_write_ahead.py",
    ),
    Mutant(
        "checkpoints of waiting tasks are stored",
        "scheduling/scheduler_state.py",
        "if (0 if step.spec.gang else index) in step.checkpoints_by_index:",
        "if False:",
    ),
    Mutant(
        "only speculative steps have copies",
        "scheduling/jobs/runs.py",
        "return spec.speculative and not (spec.gang or spec.perpetual)",
        "return True",
    ),
    Mutant(
        "the other run of a task is stopped once one is done",
        "scheduling/execution/run_ends.py",
        "if run.number != ended.run_number:",
        "if False:",
    ),
    Mutant(
        "a suspected worker gets no new runs",
        "scheduling/workers/workers.py",
        "and not self.is_suspected",
        "",
    ),
    Mutant(
        "the first sequence number of a claim is random",
        "node/fenced_log.py",
        "secrets.randbelow(MAX_FIRST_SEQUENCE)",
        "0",
        NODE,
    ),
    Mutant(
        "a claim names the offset at which its topic has to end",
        "node/claims.py",
        "started_unix_ms))], end\n",
        "started_unix_ms))]\n",
        NODE,
    ),
    Mutant(
        "a record whose append got no response is not reported as not stored",
        "node/submissions.py",
        "StoreOutcome.UNKNOWN if self.may_be_stored else StoreOutcome.NOT_STORED",
        "StoreOutcome.NOT_STORED",
        NODE,
    ),
    Mutant(
        "a node that has not read the store to its end denies no job",
        "node/job_service.py",
        "PhaseLookupFailure.NOT_SUBMITTED\n"
        "            if has_read_all\n"
        "            else PhaseLookupFailure.UNAVAILABLE",
        "PhaseLookupFailure.NOT_SUBMITTED",
        NODE,
    ),
    Mutant(
        "a holder whose heartbeats are not accepted starts no runs",
        "scheduling/membership/holder_authority.py",
        "        HolderAuthority.RENEW_ONLY\n"
        "        if heartbeat_age_s <= RENEWAL_LIMIT_S\n"
        "        else HolderAuthority.NONE",
        "        HolderAuthority.FULL",
        NODE,
    ),
    Mutant(
        "a former holder may have written heartbeats until it was fenced",
        "scheduling/membership/holder_watch.py",
        "        return max(self.known_orders_end_at, "
        "Instant(read_at + FORMER_ORDERS_LIMIT_S))",
        "        return self.known_orders_end_at",
        PARTIAL_OUTAGE,
    ),
    Mutant(
        "a heartbeat read late renews no holder",
        "scheduling/membership/holder_watch.py",
        "(record.epoch, record.beat) <= (known.epoch, known.beat)",
        "record.epoch < known.epoch",
        PARTIAL_OUTAGE,
    ),
    Mutant(
        "missing heartbeats count only while the store is read",
        "scheduling/membership/holder_watch.py",
        "if now - self.last_read > MAX_READ_GAP_S:\n            return False",
        "if False:\n            return False",
        NODE,
    ),
    Mutant(
        "other workers are asked about if the allowed ones can't take a task",
        "scheduling/advice/advice_choice.py",
        "    if step.wait_reason is WaitReason.NO_CAPACITY:\n        return True\n",
        "",
    ),
    Mutant(
        "a job is known until the store has its end",
        "scheduling/scheduler_state.py",
        "        if job.job_id not in self.stored_final_phase_by_job:\n"
        "            return\n",
        "        if not job.phase.is_final:\n            return\n",
    ),
    Mutant(
        "no lease is longer than the platform allows",
        "scheduling/workers/workers.py",
        "LEASE_MS = 6_000",
        "LEASE_MS = 60_000",
    ),
    Mutant(
        "nothing is placed without full authority",
        "scheduling/placement/placement.py",
        "if state.authority is not HolderAuthority.FULL or ",
        "if ",
    ),
    Mutant(
        "a node that can ask nobody denies no job",
        "node/known_jobs.py",
        "            return PhaseLookupFailure.NOT_SUBMITTED\n"
        "    return PhaseLookupFailure.UNAVAILABLE",
        "            return PhaseLookupFailure.NOT_SUBMITTED\n"
        "    return PhaseLookupFailure.NOT_SUBMITTED",
        "tests/test_followers.py",
    ),
    Mutant(
        "a node without followers in reach follows the store itself",
        "scheduling/membership/followers.py",
        "    return FollowDecision(should_follow=True, is_regular=False)",
        "    return FollowDecision(should_follow=False, is_regular=False)",
        "tests/test_followers.py",
    ),
    Mutant(
        "the end of a lease allows for a slow worker clock",
        "scheduling/workers/workers.py",
        "MIN_CLOCK_RATE = 0.98",
        "MIN_CLOCK_RATE = 1.2",
    ),
    Mutant(
        "the lease of a silent worker is not renewed",
        "scheduling/contact/worker_polls.py",
        "    if not worker.is_incarnation_certain:\n        lease_end = None\n",
        "",
    ),
    Mutant(
        "run ends are stored before they are acknowledged",
        "scheduling/contact/worker_polls.py",
        "worker.stored_end_number if worker.is_incarnation_certain",
        "worker.reported_end_number if worker.is_incarnation_certain",
    ),
    Mutant(
        "a final phase is reported only once it is stored",
        "scheduling/scheduler.py",
        "return JobPhase.RUNNING if job.phase.is_final else job.phase",
        "return job.phase",
    ),
    Mutant(
        "a run end counts once",
        "scheduling/contact/worker_leases.py",
        "if ended.end_number > worker.reported_end_number:",
        "if True:",
    ),
    Mutant(
        "a failed run counts once, however often its end is reported",
        "scheduling/jobs/runs.py",
        "        if run_number in numbers:\n            return False\n",
        "",
        FAILED_RUNS,
    ),
    Mutant(
        "a new holder knows which failed runs were counted",
        "scheduling/jobs/runs.py",
        "found.failed_runs_by_index[index] = set(numbers)",
        "pass",
        FAILED_RUNS,
    ),
    Mutant(
        "a run whose start order got no answer is stopped before a retry",
        "scheduling/contact/order_results.py",
        "if run.confirmed_at is None:\n        state.stop_run(run, now)",
        "state.drop_run(run, now)",
    ),
    Mutant(
        "stored runs count after a takeover",
        "scheduling/contact/worker_leases.py",
        "    for text, number in record.runs:",
        "    for text, number in ():",
    ),
    Mutant(
        "a run that is not listed is not over while ends may follow",
        "scheduling/execution/run_reconciliation.py",
        "if not report.lists_all_ends:",
        "if False:",
        LISTED_ENDS,
    ),
    Mutant(
        "a new holder waits for all ends of runs that it does not know",
        "scheduling/contact/worker_leases.py",
        "worker.record_listed_ends(are_all=answer.lists_all_ends)",
        "worker.record_listed_ends(are_all=True)",
        LISTED_ENDS,
    ),
    Mutant(
        "what orphaned runs use counts towards the ceiling",
        "scheduling/scheduler_state.py",
        "        self._count_ceiling_usage(run, 1)\n        if stops_now:",
        "        if stops_now:",
        CEILINGS,
    ),
    Mutant(
        "an orphaned run that is over holds no workspace back",
        "scheduling/scheduler_state.py",
        "        self._count_ceiling_usage(run, -1)\n        if run.is_orphaned:",
        "        if run.is_orphaned:",
        CEILINGS,
    ),
    Mutant(
        "what a new holder does not know yet counts towards the ceiling",
        "scheduling/placement/placement.py",
        "    update_unknown_use(state)\n",
        "",
        CEILINGS,
    ),
    Mutant(
        "a worker gets no more runs than its record holds",
        "scheduling/placement/placement.py",
        "        and len(worker.runs_by_task) < max_runs\n",
        "",
        "tests/test_record_limits.py",
    ),
    Mutant(
        "a record that is too long keeps no other from the store",
        "node/journal_writer.py",
        "if size <= limit:",
        "if True:",
        "tests/test_record_limits.py",
    ),
    Mutant(
        "a registration under an odd id names no worker",
        "platform/workers.py",
        'if not text.isascii() or not text.isprintable() or " " in text:',
        "if False:",
        "tests/test_odd_entries.py",
    ),
    Mutant(
        "a worker is asked at once about a run that it has not confirmed",
        "scheduling/contact/order_results.py",
        "run.presence is not Presence.CONFIRMED:",
        "run.confirmed_at is None:",
        CEILINGS,
    ),
    Mutant(
        "a task does not start while it has an orphaned run",
        "scheduling/placement/placement.py",
        "if step.task(index) in state.orphaned_run_count_by_task:\n"
        "            continue",
        "if False:\n            continue",
    ),
    Mutant(
        "a start order waits until the store holds its run",
        "scheduling/execution/run_starts.py",
        "if state.write_ahead.is_enabled or waits_for_its_record(state, run):",
        "if waits_for_its_record(state, run):",
    ),
    Mutant(
        "a suspect's start order waits for the store, also if others do not",
        "scheduling/execution/run_starts.py",
        "if state.write_ahead.is_enabled or waits_for_its_record(state, run):",
        "if state.write_ahead.is_enabled:",
        CRASHES,
    ),
    Mutant(
        "an order waits until the store has a record of its worker",
        "scheduling/execution/run_starts.py",
        "return not is_recorded or (",
        "return (",
        "tests/test_scheduling_write_ahead.py",
    ),
    Mutant(
        "a task that crashes its workers is given up",
        "scheduling/evidence/crash_evidence.py",
        "            if culprit is not None:",
        "            if False:",
        CRASHES,
    ),
    Mutant(
        "tasks are not given up for the crashes of another job",
        "scheduling/evidence/crash_evidence.py",
        "    return SHARED_WEIGHT if is_shared else SOLE_WEIGHT",
        "    return SOLE_WEIGHT",
        CRASHES,
    ),
    Mutant(
        "no task is started again without end, however its crashes are explained",
        "scheduling/evidence/crash_evidence.py",
        "    if counts.unexplained(unexplained) >= MAX_UNEXPLAINED_CRASHES:\n"
        "        return True\n"
        "    if counts.all(_counted_crashes(crashes)) >= MAX_CRASHES:",
        "    if False:",
        CRASHES,
    ),
    Mutant(
        "orders that came to crashed workers do not give a task up",
        "scheduling/evidence/crash_evidence.py",
        "    if crash.is_explained or not _is_confirmed(crash):",
        "    if crash.is_explained:",
        CRASH_WAVES,
    ),
    Mutant(
        "a worker that reported without a run is no evidence against its task",
        "scheduling/contact/worker_ends.py",
        " or run.presence is Presence.ABSENT:",
        ":",
        CRASH_WAVES,
    ),
    Mutant(
        "a late answer to an order is not the time of a crash",
        "scheduling/contact/worker_ends.py",
        "    ended_at = worker.fell_silent_at or now",
        "    ended_at = worker.answered_at",
        CRASH_WAVES,
    ),
    Mutant(
        "a crash is evidence only against the members of a gang that were there",
        "scheduling/contact/worker_ends.py",
        "        record_crash(state, step, run.task.index, crash, now)",
        "        index = 0 if step.spec.gang else run.task.index\n"
        "        record_crash(state, step, index, crash, now)",
        GANG_CRASHES,
    ),
    Mutant(
        "a gang is given up only if two workers crashed under one member",
        "scheduling/evidence/gang_crashes.py",
        "        if len(own) < MIN_MEMBER_CRASHES:\n            return len(own)\n",
        "",
        GANG_CRASHES,
    ),
    Mutant(
        "a member of a gang starts few times more after three crashes under it",
        "scheduling/evidence/gang_crashes.py",
        "        return LIMITING_CRASHES + sum(starts)",
        "        return len(own)",
        GANG_CRASHES,
    ),
    Mutant(
        "starts of a member that ended without a crash count towards its limits",
        "scheduling/evidence/gang_crashes.py",
        "    return difference if difference < FIRST_RUN_NUMBER_AFTER_TAKEOVER else 1",
        "    return 1",
        GANG_CRASHES,
    ),
    Mutant(
        "a gang that may not start again is given up before it would",
        "scheduling/placement/placement.py",
        "    if step.crashes_by_index and give_up_gang_over_budget(state, step, now):",
        "    if False:",
        GANG_CRASHES,
    ),
    Mutant(
        "numbers that a takeover leaves out are no starts",
        "scheduling/evidence/gang_crashes.py",
        "    return difference if difference < FIRST_RUN_NUMBER_AFTER_TAKEOVER else 1",
        "    return difference",
        GANG_CRASHES,
    ),
    Mutant(
        "a gang whose members crash their workers in turn is given up",
        "scheduling/evidence/gang_crashes.py",
        "        if len(own) >= MIN_MEMBER_CRASHES and self.total >= MAX_GANG_CRASHES:",
        "        if False:",
        GANG_CRASHES,
    ),
    Mutant(
        "crashes that an earlier version recorded count towards a member's limits",
        "scheduling/evidence/gang_crashes.py",
        "        earlier = min(self.unattributed, LIMITING_CRASHES)",
        "        earlier = 0",
        GANG_CRASHES,
    ),
    Mutant(
        "crashes that an earlier version recorded are no evidence against a member",
        "scheduling/evidence/gang_crashes.py",
        "    return step.spec.gang and not crash.members",
        "    return False",
        GANG_CRASHES,
    ),
    Mutant(
        "a crash that an earlier version recorded is not counted again",
        "scheduling/evidence/crash_evidence.py",
        "        _drop_unattributed(state, step, crash.worker)\n",
        "",
        GANG_CRASHES,
    ),
    Mutant(
        "all members with evidence are weighed after a crash under one of them",
        "scheduling/evidence/crash_evidence.py",
        "                tasks = [step.task(index) for index in "
        "sorted(step.crashes_by_index)]",
        "                tasks = [task]",
        GANG_CRASHES,
    ),
    Mutant(
        "the members of a gang wait together for their records",
        "scheduling/execution/run_starts.py",
        "        return has_suspects(state, step)",
        "        return is_suspect(state, step, run.task.index)",
        GANG_CRASHES,
    ),
    Mutant(
        "a suspect of a gang starts at another address than where it crashed",
        "scheduling/evidence/suspect_isolation.py",
        "        GangWorkers(others, _elsewhere_by_suspect(step, suspects, apart)),\n",
        "",
        GANG_CRASHES,
    ),
    Mutant(
        "tasks that crash their workers together are not started without end",
        "scheduling/evidence/crash_evidence.py",
        "    return [*_lone(crashes), *_alike_widespread(crashes)]",
        "    return _lone(crashes)",
        "tests/test_scheduling_deadly_tasks_together.py",
    ),
    Mutant(
        "tasks are not given up for crashes of many workers at once",
        "scheduling/evidence/crash_evidence.py",
        "    return [crash for crash in crashes if not crash.is_widespread]",
        "    return crashes",
        CRASH_WAVES,
    ),
    Mutant(
        "each crash counts once for a task",
        "scheduling/evidence/crash_evidence.py",
        "    if any(known.worker == crash.worker for known in crashes):",
        "    if False:",
        GANG_CRASHES,
    ),
    Mutant(
        "a run that goes on for long clears its task",
        "scheduling/execution/run_reconciliation.py",
        "    if outlives_crashes(step, run):",
        "    if False:",
        CRASHES,
    ),
    Mutant(
        "a worker that drains does not count as crashed",
        "scheduling/contact/worker_ends.py",
        "    if cause is not WorkerEndCause.DRAINED:\n        is_certain",
        "    if True:\n        is_certain",
        CRASHES,
    ),
    Mutant(
        "a worker that was cut off does not count as crashed",
        "scheduling/contact/worker_leases.py",
        "    state.lapsed_workers.pop(worker.incarnation, None)\n",
        "",
        CRASHES,
    ),
    Mutant(
        "a worker that is back after its lease was over counts as crashed",
        "scheduling/contact/worker_leases.py",
        "        record_replaced_lapsed_workers(state, entry, now)\n",
        "",
        CRASHES,
    ),
    Mutant(
        "a suspect gets no copy",
        "scheduling/scheduler_state.py",
        "        if run.task in self.suspected_tasks:",
        "        if False:",
        CRASHES,
    ),
    Mutant(
        "an order that was not sent is no evidence",
        "scheduling/contact/worker_ends.py",
        "        if step is None or not run.is_ordered or ",
        "        if step is None or ",
        CRASHES,
    ),
    Mutant(
        "orders stop waiting only once the store says that runs may be missing",
        "scheduling/contact/store_batches.py",
        "        if should_enable:\n            write_ahead.is_enabled = True",
        "        write_ahead.is_enabled = should_enable\n        if should_enable:",
    ),
    Mutant(
        "restored tasks wait for unconfirmed workers if runs may be missing",
        "scheduling/placement/placement.py",
        "is_uncertain = "
        "step.job.is_restored and step.job.accepted.service in unconfirmed",
        "is_uncertain = False",
    ),
    Mutant(
        "a stored start order is checked again before it is sent",
        "scheduling/contact/order_results.py",
        "may_start = (\n        state.is_start_wanted(run)\n"
        "        and worker.can_start",
        "may_start = (\n        True",
    ),
    Mutant(
        "a start order whose ticket has expired is not sent",
        "scheduling/contact/order_results.py",
        "return step.advice.usable_ticket(order.incarnation, now) == order.ticket",
        "return True",
    ),
    Mutant(
        "a workspace's ceiling is not exceeded",
        "scheduling/limits/ceilings.py",
        "    return all(filled <= limit * allowed for _, filled, limit in parts)",
        "    return True",
    ),
    Mutant(
        "a run reserves capacity until it is certainly over",
        "scheduling/workers/workers.py",
        "self.used = self.used + run.amount",
        "self.used = self.used",
    ),
    Mutant(
        "a listed run counts under any number",
        "scheduling/execution/run_reconciliation.py",
        "            unknown_rows.append(row)",
        "            adopt_or_stop_run(state, worker, row, now, Presence.CONFIRMED)",
        "tests/test_scheduling_reports_at_takeover.py",
    ),
    Mutant(
        "a run counts until its own worker says that it is over",
        "scheduling/execution/run_reconciliation.py",
        "    return other is None or other.contact is not ContactState.CONFIRMED",
        "    return True",
        "tests/test_scheduling_reports_at_takeover.py",
    ),
    Mutant(
        "a former holder's run that no task needs reserves its capacity",
        "scheduling/execution/run_reconciliation.py",
        "    return step.reserved_amount, step.amount",
        "    return NOTHING, step.amount",
        "tests/test_scheduling_overlapping_holders.py",
    ),
    Mutant(
        "a run is not over by a report that may be older than its start",
        "scheduling/execution/run_reconciliation.py",
        "if known_at is None or known_at >= sent:",
        "if known_at is None:",
        "tests/test_scheduling_overlapping_holders.py",
    ),
    Mutant(
        "a job fails after its maximum number of attempts",
        "scheduling/execution/run_ends.py",
        "if step.failures_by_index[index] >= queue.max_attempts:",
        "if count > 99 * queue.max_attempts:",
    ),
    Mutant(
        "an append is rejected only if no other call of it may be applied",
        "node/hedged_append.py",
        "is_uncertain = self._may_be_applied or self._pending > 0",
        "is_uncertain = False",
        "tests/test_hedged_append.py",
    ),
    Mutant(
        "a release of the holder role is not taken for a repeated heartbeat",
        "node/fenced_log.py",
        "async with self._turns:",
        "if True:",
        "tests/test_claims.py",
    ),
    Mutant(
        "a start order that waited is sent only under the authority of that moment",
        "node/start_orders.py",
        "if self._may_send(order):",
        "if True:",
        "tests/test_start_orders.py",
    ),
    Mutant(
        "a holder that reads the store is not replaced early",
        "node/holder_probe.py",
        "if isinstance(reply, StoreAgeReply) and reply.age_ms <= MAX_STORE_AGE_MS:",
        "if False:",
        "tests/test_holder_probe.py",
    ),
    Mutant(
        "a holder is not replaced early while the store is slow",
        "node/holder_election.py",
        "if clock.now() > read_started_at + MAX_QUICK_READ_S:",
        "if False:",
        "tests/test_holder_probe.py",
    ),
    Mutant(
        "a draining worker gets no new runs",
        "scheduling/workers/workers.py",
        "            and not self.entry.is_draining\n",
        "",
    ),
    Mutant(
        "no run is placed in an evacuated data centre",
        "scheduling/workers/workers.py",
        "            and not self.is_evacuated\n",
        "",
        EVACUATION,
    ),
    Mutant(
        "workers that register in an evacuated data centre get no runs",
        "scheduling/contact/worker_leases.py",
        "entry.data_centre in state.evacuated_data_centres",
        "False",
        EVACUATION,
    ),
    Mutant(
        "the lease of a silent worker is over at some time",
        "scheduling/contact/worker_polls.py",
        "silent_since is None or now <= silent_since + RENEWAL_SILENCE_TIMEOUT_S",
        "True",
    ),
    Mutant(
        "the holder checks the evacuations when an order's turn comes",
        "node/holder.py",
        "return self.scheduler.may_send(order)",
        "return self.scheduler.authority is HolderAuthority.FULL",
        EVACUATION,
    ),
    Mutant(
        "a new holder reads the operator topic to its end before its first start",
        "node/holder_election.py",
        "return all(results)",
        "return results[0]",
        EVACUATION,
    ),
    Mutant(
        "a new holder is told of the evacuations before its first start",
        "node/holder_election.py",
        "holder.set_evacuated_data_centres(self._evacuations.data_centres)\n",
        "holder.set_evacuated_data_centres(frozenset())\n",
        EVACUATION,
    ),
    Mutant(
        "a read that finds records trimmed has not reached the topic's end",
        "node/topic_tail.py",
        "            self._next_offset = None\n"
        "            self._is_caught_up = False\n",
        "            self._next_offset = None\n",
        EVACUATION,
    ),
    Mutant(
        "a node that reads a change tells the holder",
        "node/node.py",
        "            send_evacuations(self._context, holder_node, changes)\n"
        "\n    def _holder_node_changed",
        "            return\n\n    def _holder_node_changed",
        EVACUATION,
    ),
    Mutant(
        "nodes repeat the evacuations to a holder that asks for the store",
        "node/node.py",
        "        send_evacuations(self._context, sender, self._evacuations.changes())",
        "        return",
        EVACUATION,
    ),
    Mutant(
        "a late record does not undo a later one",
        "scheduling/membership/evacuations.py",
        "if offset < self._snapshot_end or (known and offset <= known.offset):",
        "if False:",
        EVACUATION,
    ),
    Mutant(
        "a notice counts only until the reads have passed its offset",
        "scheduling/membership/evacuations.py",
        "if not self._is_passed(notice) and not self._is_too_far(notice)",
        "if not self._is_too_far(notice)",
        EVACUATION,
    ),
    Mutant(
        "a late notice does not undo a later one",
        "scheduling/membership/evacuations.py",
        "if is_late or self._is_passed(notice)",
        "if self._is_passed(notice)",
        EVACUATION,
    ),
    Mutant(
        "a new holder is told of evacuations that were read before",
        "node/holder_election.py",
        "                self.on_holder_node_changed()",
        "                pass",
        EVACUATION,
    ),
    Mutant(
        "an order is checked again once there is a connection to its worker",
        "node/start_orders.py",
        "lambda: self._may_send(order),",
        "lambda: True,",
        "tests/test_start_orders.py",
    ),
    Mutant(
        "a request is not written if its permission ended while connecting",
        "platform/http.py",
        "if not may_send():",
        "if False:",
        "tests/test_platform_calls.py",
    ),
)


def main() -> int:
    """Test every mutation on a copy of the source; return 1 unless all are caught."""
    survived = [mutant for mutant in MUTANTS if not _is_caught(mutant)]
    print(f"{len(MUTANTS) - len(survived)} caught, {len(survived)} survived")
    return 1 if survived else 0


def _is_caught(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        copy_source(copy)
        try:
            mutant.edit.apply(copy)
        except StaleEditError as error:
            print(f"STALE     {mutant.guard}: {error}")
            return False
        tests = [
            str(found.relative_to(copy))
            for pattern in mutant.tests.split()
            for found in sorted(copy.glob(pattern))
        ]
        command = [sys.executable, "-m", "pytest", "-x", "-q", *tests]
        run = subprocess.run(command, cwd=copy, capture_output=True, check=False)
    is_caught = run.returncode == 1
    print(f"{'caught' if is_caught else 'SURVIVED':9} {mutant.guard}")
    return is_caught


if __name__ == "__main__":
    sys.exit(main())
