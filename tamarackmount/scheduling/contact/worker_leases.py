"""Registrations, reports and leases of workers.

A poll reports what a worker runs and which runs ended, and renews the worker's lease.
A task that does not allow copies is started elsewhere only once its earlier run is
certainly over: the worker reported its end, no longer lists it, was replaced by a newer
incarnation, or let its lease expire.
"""

import logging
from dataclasses import replace

from tamarackmount.ids import DataCentreId, Instant, RackId
from tamarackmount.resources import NOTHING
from tamarackmount.scheduling.contact.worker_ends import (
    Replacement,
    carry_over_runs,
    record_replaced_lapsed_workers,
    remove_replaced_worker,
)
from tamarackmount.scheduling.domain.effects import AbortCalls, StepDown
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    WHOLE_WORK_PERCENT,
    PollFailure,
    RunningRun,
    WorkerEntry,
    WorkerReport,
)
from tamarackmount.scheduling.evidence.suspected_workers import (
    mark_suspected,
    request_speculative_copies,
)
from tamarackmount.scheduling.execution.run_ends import handle_run_end
from tamarackmount.scheduling.execution.run_reconciliation import (
    adopt_or_stop_run,
    reconcile_runs,
)
from tamarackmount.scheduling.jobs.runs import Presence, Run
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import (
    WorkerRecord,
    decode_task,
    encode_task,
)
from tamarackmount.scheduling.workers.workers import (
    CALL_DELAY_S,
    MAX_INHERITED_LEASE_S,
    ContactState,
    WorkerState,
)
from tamarackmount.units import MS_PER_SECOND

_log = logging.getLogger(__name__)

UNSTORED_ENDS_POLL_DELAY_S = 0.4
"""Delay before the next poll while run ends are not stored, in seconds: a worker lists
unacknowledged ends again and answers at once."""

MIN_POLL_INTERVAL_S = 0.1
"""Minimum time from a report to the next poll if the report has run ends, or if a batch
with run ends is stored after it, in seconds; other polls follow at once. Each poll is
billed, and runs that end within this time are reported together; urgent jobs have half
a second to spare."""

POLL_RETRY_DELAY_S = 0.3
"""Delay before the next poll of a worker that does not answer, in seconds."""


def update_registered_workers(
    state: SchedulerState, entries: list[WorkerEntry], now: Instant
) -> None:
    """Replace the list of registered workers."""
    registered = {entry.incarnation for entry in entries}
    # The list keeps an incarnation for a while after another one has taken its place.
    state.replaced_incarnations &= registered
    for entry in entries:
        if entry.incarnation not in state.replaced_incarnations:
            _add_or_update_worker(state, entry, now)
    for worker in list(state.workers_by_incarnation.values()):
        if worker.incarnation not in registered and worker.is_registered:
            worker.is_registered = False
            _log.info(
                "worker no longer registered",
                extra={"worker": worker.incarnation.worker_id},
            )


def _add_or_update_worker(
    state: SchedulerState, entry: WorkerEntry, now: Instant
) -> None:
    worker = state.workers_by_incarnation.get(entry.incarnation)
    is_new = worker is None
    if worker is None:
        worker = _add_worker(state, entry, now)
        record_replaced_lapsed_workers(state, entry, now)
        extra = {"worker": entry.incarnation.worker_id, "service": entry.service}
        _log.info("worker registered", extra=extra)
    if entry.is_draining and not worker.entry.is_draining:
        _log.info("worker draining", extra={"worker": entry.incarnation.worker_id})
    if entry.is_draining and not worker.has_announced_drain:
        worker.has_announced_drain = True
        state.changed_workers.add(entry.incarnation)
    # Listed again with others' changes, an entry is older than its remaining time.
    if is_new or entry != worker.entry:
        worker.cold_until = Instant(now + entry.cold_remaining_ms / MS_PER_SECOND)
    worker.largest_capacity = worker.nominal_capacity
    worker.entry = entry
    worker.is_evacuated = entry.data_centre in state.evacuated_data_centres
    worker.is_registered = True
    worker.was_registered = True


def _add_worker(
    state: SchedulerState,
    entry: WorkerEntry,
    now: Instant,
    replacement: Replacement = Replacement.RESTARTED,
) -> WorkerState:
    """Add an incarnation in place of older ones under its id."""
    worker = WorkerState(entry, contact=ContactState.UNCONFIRMED, next_poll_at=now)
    carried_over: list[Run] = []
    for other in list(state.workers_by_incarnation.values()):
        if (
            other.incarnation.worker_id == entry.incarnation.worker_id
            and other.incarnation.born_unix_ms < entry.incarnation.born_unix_ms
        ):
            worker.record_former(other, now, state.longest_lease_s)
            state.emit(AbortCalls(other.entry.address))
            carried_over += remove_replaced_worker(state, other, now, replacement)
    state.workers_by_incarnation[entry.incarnation] = worker
    state.changed_workers.add(entry.incarnation)
    carry_over_runs(state, worker, carried_over, now)
    return worker


def worker_record(worker: WorkerState, now: Instant) -> WorkerRecord:
    """Return a worker's record for the store."""
    runs = [(encode_task(run.task), run.number) for run in worker.runs_by_task.values()]
    entry = worker.entry
    return WorkerRecord(
        entry.incarnation,
        entry.service,
        entry.address,
        worker.reported_end_number,
        runs,
        drains=worker.has_announced_drain,
        has_foreign_lease=now < worker.foreign_lease_ends,
    )


def restore_worker(
    state: SchedulerState,
    record: WorkerRecord,
    former_orders_end_at: Instant,
    now: Instant,
) -> None:
    """Restore a worker to which former holders may have sent orders.

    They send none after ``former_orders_end_at``. The worker's stored runs count as
    running until the worker reports or its lease expires. Its capacity, data centre,
    labels and rack are not known before its registration is read.
    """
    entry = WorkerEntry(
        incarnation=record.life,
        service=record.service,
        address=record.address,
        data_centre=DataCentreId(""),
        labels=frozenset(),
        rack=RackId(""),
        capacity=NOTHING,
    )
    worker = WorkerState(
        entry, contact=ContactState.UNCONFIRMED, is_registered=False, is_stored=True
    )
    worker.has_announced_drain = record.drains
    worker.reported_end_number = record.ack
    worker.stored_end_number = record.ack
    worker.lease_ends = Instant(former_orders_end_at + MAX_INHERITED_LEASE_S)
    worker.lease_calls_end = Instant(former_orders_end_at + CALL_DELAY_S)
    if record.has_foreign_lease:
        worker.foreign_lease_ends = Instant(
            worker.lease_calls_end + state.longest_lease_s
        )
        worker.lease_ends = max(worker.lease_ends, worker.foreign_lease_ends)
    state.workers_by_incarnation[entry.incarnation] = worker
    for text, number in record.runs:
        row = RunningRun(decode_task(text), number, "", WHOLE_WORK_PERCENT)
        adopt_or_stop_run(state, worker, row, now, Presence.UNKNOWN)


def poll_answered(
    state: SchedulerState,
    incarnation: WorkerIncarnation,
    answer: WorkerReport | PollFailure,
    sent: Instant,
    now: Instant,
    *,
    is_extra: bool = False,
) -> None:
    """Handle the answer to a poll that was sent at ``sent``.

    An extra poll without a report changes nothing: the regular ones tell whether the
    worker is silent.
    """
    worker = state.workers_by_incarnation.get(incarnation)
    if worker is None:
        return
    if is_extra:
        worker.extra_poll_in_flight = False
        if answer in (PollFailure.NO_ANSWER, PollFailure.UNHEALTHY):
            return
    else:
        worker.poll_in_flight = False
    if isinstance(answer, PollFailure):
        _handle_poll_failure(state, worker, answer, sent, now)
        return
    if worker.is_outdated(answer.clock_ms, sent):
        # A newer report was handled; ends that are not acknowledged are listed again.
        worker.next_poll_at = min(worker.next_poll_at, now)
        return
    _handle_report(state, worker, answer, sent, now)


def _handle_report(
    state: SchedulerState,
    worker: WorkerState,
    answer: WorkerReport,
    sent: Instant,
    now: Instant,
) -> None:
    if answer.born_unix_ms not in (None, worker.incarnation.born_unix_ms):
        _replace_incarnation(state, worker, answer.born_unix_ms, now)
        return
    _confirm_contact(worker, now)
    state.lapsed_workers.pop(worker.incarnation, None)
    worker.record_clock(answer.clock_ms, sent, now)
    for ended in sorted(answer.ended, key=lambda end: end.end_number):
        if ended.end_number > worker.reported_end_number:
            handle_run_end(state, worker, ended, now)
    worker.record_listed_ends(are_all=answer.lists_all_ends)
    reconcile_runs(state, worker, answer, sent, now)
    worker.earliest_poll_at = Instant(now + MIN_POLL_INTERVAL_S)
    worker.next_poll_at = worker.earliest_poll_at if answer.ended else now
    if worker.reported_end_number > worker.stored_end_number:
        worker.next_poll_at = Instant(now + UNSTORED_ENDS_POLL_DELAY_S)


def _replace_incarnation(
    state: SchedulerState, worker: WorkerState, born_unix_ms: int | None, now: Instant
) -> None:
    """Handle a report of another incarnation under the same id.

    A newer one is known from now on; its registration is read later.
    """
    old = worker.incarnation
    replacement = Replacement.OTHER_INCARNATION_ANSWERS
    if born_unix_ms is None or born_unix_ms < old.born_unix_ms:
        remove_replaced_worker(state, worker, now, replacement)
        return
    newer = WorkerIncarnation(old.worker_id, born_unix_ms)
    successor = state.workers_by_incarnation.get(newer)
    if successor is not None:
        successor.record_former(worker, now, state.longest_lease_s)
        carried_over = remove_replaced_worker(state, worker, now, replacement)
        carry_over_runs(state, successor, carried_over, now)
        return
    entry = replace(worker.entry, incarnation=newer, is_draining=False)
    # It may serve another pool, so that it gets no run before it is registered.
    _add_worker(state, entry, now, replacement).is_registered = False


def _handle_poll_failure(
    state: SchedulerState,
    worker: WorkerState,
    failure: PollFailure,
    sent: Instant,
    now: Instant,
) -> None:
    """Handle a poll that gave no report.

    After the first one, the worker is suspected and polled again at once. After a
    second one in a row, it counts as silent until a poll gives a report.
    """
    if failure is PollFailure.FENCED:
        step_down(state, worker.incarnation)
        return
    if failure is PollFailure.NO_ANSWER:
        worker.record_unanswered_poll(now)
    if failure is PollFailure.OTHER_INCARNATION:
        remove_replaced_worker(state, worker, now, Replacement.OTHER_WORKER_ANSWERS)
        return
    if worker.silent_since is None and not worker.last_poll_failed:
        worker.last_poll_failed = True
        worker.next_poll_at = now
        mark_suspected(state, worker, sent)
        return
    if worker.silent_since is None:
        worker.silent_since = now
        extra = {"worker": worker.incarnation.worker_id, "reason": failure.value}
        # The message is kept for operators' tools: the worker is silent, not expired.
        _log.info("worker lost", extra=extra)
        request_speculative_copies(state, worker)
    worker.next_poll_at = Instant(now + POLL_RETRY_DELAY_S)


def step_down(state: SchedulerState, incarnation: WorkerIncarnation) -> None:
    """Step down because a worker refused a call for its fencing token.

    The worker follows a holder with a higher one. Further calls have no effect.
    """
    if not state.superseded:
        state.superseded = True
        state.emit(StepDown(f"worker {incarnation.worker_id} follows a newer holder"))


def _confirm_contact(worker: WorkerState, now: Instant) -> None:
    if worker.contact is not ContactState.CONFIRMED or worker.silent_since is not None:
        extra = {"worker": worker.incarnation.worker_id, "reach": worker.contact.value}
        _log.info("worker contact confirmed", extra=extra)
    worker.contact = ContactState.CONFIRMED
    worker.silent_since = None
    worker.last_poll_failed = False
    worker.record_answer(now)
