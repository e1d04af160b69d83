"""Runs the scheduler and carries out its decisions while this node is the holder."""

import logging
import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any

from returns.result import Failure
from twisted.internet.task import LoopingCall, deferLater

from tamarackmount.ids import DataCentreId, Epoch, Instant, JobId
from tamarackmount.node import clock
from tamarackmount.node.authority_check import AuthorityCheck
from tamarackmount.node.claims import Claim, HeartbeatWriter
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.node.hedged_advice import HedgedAdviceClient
from tamarackmount.node.holder_dependencies import HolderDependencies
from tamarackmount.node.journal_writer import JournalWriter, WriterCallbacks
from tamarackmount.node.start_orders import ORDER_TIMEOUT_S, StartOrders
from tamarackmount.node.submissions import StoreOutcome, StoreResult
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.node.turns import TurnWork, measured_turn
from tamarackmount.node.worker_registrations import WorkerRegistrations
from tamarackmount.platform.store import Appended, KeyedRecord
from tamarackmount.platform.workers import PollRequest
from tamarackmount.scheduling.admission.admission import Refusal, whole_retry_s
from tamarackmount.scheduling.contact.store_batches import Batch
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import (
    AbortCalls,
    AskAdvice,
    Effect,
    PollWorker,
    StartRun,
    StepDown,
    StopRun,
)
from tamarackmount.scheduling.domain.fleet_config import FleetConfig
from tamarackmount.scheduling.domain.model import FailureCause, JobPhase, StepKey
from tamarackmount.scheduling.domain.worker_reports import (
    OrderReply,
    StartOrder,
    WorkerEntry,
)
from tamarackmount.scheduling.jobs.step_advice import AdviceAnswer
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.scheduler import Scheduler
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import RecordKind, decode_record, split_key
from tamarackmount.scheduling.store.retention import expired_cancels, expired_jobs
from tamarackmount.units import MS_PER_SECOND

TICK_INTERVAL_S = 0.05
"""Interval between scheduler ticks without input, in seconds; no due action needs
finer steps."""

DECISION_DELAY_S = 0.002
"""Delay in which inputs are collected before the next decision, in seconds."""

POLL_TIMEOUT_MARGIN_S = 0.2
"""Time that a poll of a worker may take beyond its wait, in seconds. Round trips take 3
to 10 ms, and urgent jobs have 0.5 s to spare."""

RETENTION_CHECK_INTERVAL_S = 5.0
"""Interval between two checks for expired jobs, in seconds."""

RESTORE_TURN_S = 0.02
"""Time after which restoring pauses for other work, in seconds: heartbeats are due
every few tenths of a second."""

_log = logging.getLogger(__name__)


class Holder:
    """Schedules under one epoch, until it is released or another node takes over."""

    def __init__(
        self,
        dependencies: HolderDependencies,
        claimed: Claim,
        job_index: JobIndex,
        fleet: FleetConfig,
        on_ended: Callable[[str], None],
    ) -> None:
        """Take over the jobs of ``job_index``.

        ``on_ended`` is called with a reason when the store or a worker fences this
        holder.
        """
        self._dependencies = dependencies
        self._epoch = claimed.epoch
        self._job_index = job_index
        self._on_ended = on_ended
        self._is_stopped = False
        self._is_releasing = False
        self._is_tick_scheduled = False
        self._rng = random.Random()
        self._next_retention_check_at = clock.now()
        self._start_orders = StartOrders(
            dependencies.workers, claimed.epoch, self._may_send, self._start_answered
        )
        self.scheduler = Scheduler(claimed.epoch, self._find_job, dependencies.metrics)
        self.scheduler.set_stop_timeout(dependencies.stop_timeout_ms)
        self.scheduler.set_max_lease(dependencies.max_lease_ms)
        self.scheduler.set_max_record_bytes(dependencies.store.max_record_bytes)
        self.scheduler.set_fleet_config(fleet, clock.now())
        callbacks = WriterCallbacks(
            self._take_batch,
            self._batch_stored,
            self._on_fenced,
            dependencies.store_silence_s,
            dependencies.metrics.record_too_long_record,
        )
        self._log = FencedLog(
            dependencies.reactor, dependencies.store, dependencies.topic, claimed.epoch
        )
        self._writer = JournalWriter(dependencies.reactor, self._log, callbacks)
        self._heartbeats = HeartbeatWriter(
            dependencies.reactor, claimed, self._on_fenced
        )
        self._advice = HedgedAdviceClient(
            dependencies.reactor,
            dependencies.node,
            dependencies.advice,
            dependencies.peer_calls,
            self._advice_answered,
        )
        self._authority_check = AuthorityCheck(
            dependencies.reactor, dependencies.peer_calls
        )
        self._registrations = WorkerRegistrations(
            dependencies.reactor, dependencies.store, self._registrations_changed
        )
        self._ticks = LoopingCall(stop_process_on_error(self._tick))
        self._ticks.clock = dependencies.reactor
        self._handlers: dict[type, Callable[[Any], None]] = {
            PollWorker: self._poll,
            AbortCalls: self._abort_calls,
            StartRun: self._start_orders.send,
            StopRun: self._stop_run,
            AskAdvice: self._request_advice,
            StepDown: self._step_down,
        }

    @property
    def epoch(self) -> Epoch:
        """The epoch under which this holder schedules."""
        return self._epoch

    @property
    def is_stopped(self) -> bool:
        """Whether this holder has stopped, or was fenced by the next one."""
        return self._is_stopped

    @property
    def stores_quickly(self) -> bool:
        """Whether the store has taken the last records and heartbeats without delay."""
        return self._log.is_quick and self._heartbeats.is_quick

    async def fence(self) -> bool:
        """Keep former holders from writing; tell whether that succeeded.

        Their records have to be read before :meth:`start`.
        """
        self._heartbeats.start()
        return isinstance(await self._log.append([]), Appended)

    async def restore(self, former_orders_end_at: Instant) -> None:
        """Restore the scheduler's state in short turns; heartbeats go out in between.

        Former holders send no more orders after ``former_orders_end_at``.
        """
        job_index = self._job_index
        steps = self.scheduler.restore_in_steps(
            job_index.open_jobs(),
            job_index.workers(),
            job_index.forecast,
            former_orders_end_at,
            job_index.runs_are_complete,
            clock.now(),
            clock.unix_ms(),
        )
        while not self._is_stopped and not self._restore_part(steps):
            await deferLater(self._dependencies.reactor, 0, lambda: None)

    def _restore_part(self, steps: Iterator[None]) -> bool:
        """Restore for the length of a turn; tell whether everything is restored."""
        ends_at = clock.now() + RESTORE_TURN_S
        with self._measured_turn(TurnWork.RESTORE):
            return all(clock.now() < ends_at for _ in steps)

    def _apply_later_records(self) -> None:
        """Apply what callers have stored since the restore began."""
        for job_id, records in self._job_index.jobs_by_id.items():
            if records.is_final:
                continue
            self.scheduler.add_job(records, clock.now(), clock.unix_ms())
            if records.is_cancelled:
                self.scheduler.cancel_job(job_id, clock.now(), clock.unix_ms())

    def start(self) -> None:
        """Start scheduling with the state that was restored."""
        self._apply_later_records()
        self._heartbeats.start_fallback(self._writer.add)
        self._registrations.tail.start()
        self._ticks.start(TICK_INTERVAL_S, now=True)

    async def release(self, is_urgent: bool = False) -> None:
        """Stop ordering, store all pending records, release the role, and stop.

        Orders continue until the append in progress is stored, as that takes long in a
        slow store. They end before the release is written: the next holder starts once
        it has read the release, perhaps before this one has the store's response. It
        assumes that this one sends no more orders. It also assumes that the store has a
        record of each order, unless a completeness record says otherwise.

        If ``is_urgent``, this VM is slow, and orders end at once: they would time out.
        """
        if not is_urgent:
            await self._writer.wait_for_append()
        self._is_releasing = True
        self.scheduler.set_authority(HolderAuthority.NONE)
        # No order follows; a slow VM needs its processor time for the last records.
        self._stop_ticking()
        await self._writer.flush()
        await self._heartbeats.release()
        self.stop()

    def stop(self) -> None:
        """Stop at once, without releasing the role."""
        self._stop_ticking()
        self._heartbeats.stop()
        self._writer.stop()

    def set_fleet_config(self, fleet: FleetConfig) -> None:
        """Apply a new configuration."""
        self.scheduler.set_fleet_config(fleet, clock.now())
        self._schedule_tick()

    def set_evacuated_data_centres(self, data_centres: frozenset[DataCentreId]) -> None:
        """Start no more runs in these data centres, and in no others unless listed."""
        self.scheduler.set_evacuated_data_centres(data_centres, clock.now())
        self._schedule_tick()

    async def store(self, record: KeyedRecord) -> StoreResult:
        """Store a caller's record with the next append, if admission allows it."""
        refusal = self._check_admission(record)
        if refusal is not None:
            retry_after_s = whole_retry_s(refusal, self._rng)
            return StoreResult(StoreOutcome.REFUSED, retry_after_s)
        return StoreResult(await self._writer.add(record))

    def _check_admission(self, record: KeyedRecord) -> Refusal | None:
        key_parts = split_key(record.key)
        if key_parts is None or key_parts[0] is not RecordKind.JOB:
            return None
        records = self._job_index.jobs_by_id.get(JobId(key_parts[1]))
        if records is not None and records.accepted is not None:
            return None
        job = decode_record(record.value, AcceptedJob)
        if isinstance(job, Failure):
            return None
        return self.scheduler.check_admission(job.unwrap(), clock.now())

    def handle_job_stored(self, job_id: JobId) -> None:
        """Schedule a stored job that is in this node's job index."""
        records = self._job_index.jobs_by_id.get(job_id)
        if records is not None:
            with self._measured_turn(TurnWork.NEW_JOB):
                self.scheduler.add_job(records, clock.now(), clock.unix_ms())
            self._schedule_tick()

    def handle_cancel_stored(self, job_id: JobId) -> None:
        """Cancel a job whose cancellation the store has."""
        self.scheduler.cancel_job(job_id, clock.now(), clock.unix_ms())
        self._schedule_tick()

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return a job's phase as callers see it, or ``None`` if it isn't known."""
        return self.scheduler.phase(job_id) or self._job_index.phase(job_id)

    def failure_cause(self, job_id: JobId) -> FailureCause | None:
        """Return why a job has failed, if it has."""
        cause = self.scheduler.failure_cause(job_id)
        return cause or self._job_index.failure_cause(job_id)

    def _stop_ticking(self) -> None:
        if self._is_stopped:
            return
        self._is_stopped = True
        self._dependencies.metrics.set_evacuated_runs(0)
        self._registrations.tail.stop()
        if self._ticks.running:
            self._ticks.stop()

    def _measured_turn(self, work: TurnWork) -> AbstractContextManager[None]:
        return measured_turn(self._dependencies.metrics, work)

    def _find_job(self, job_id: JobId) -> AcceptedJob | None:
        records = self._job_index.jobs_by_id.get(job_id)
        return records.accepted if records is not None else None

    def _schedule_tick(self) -> None:
        if not self._is_tick_scheduled and not self._is_stopped:
            self._is_tick_scheduled = True
            self._dependencies.reactor.callLater(
                DECISION_DELAY_S, stop_process_on_error(self._tick)
            )

    def _tick(self) -> None:
        self._is_tick_scheduled = False
        if self._is_stopped:
            return
        with self._measured_turn(TurnWork.DECISIONS):
            self._decide()
        if self.scheduler.has_more_to_place:
            self._schedule_tick()

    def _decide(self) -> None:
        self.scheduler.set_advice_concurrency(self._advice.available_concurrency())
        # Read before the authority is checked: if the process is suspended in between,
        # leases begin at a time at which the authority was valid.
        now = clock.now()
        self._update_authority()
        self.scheduler.tick(now, clock.unix_ms())
        for effect in self.scheduler.take_effects():
            self._execute(effect)
        self._remove_expired_jobs()
        if not self._is_stopped:
            run_count = self.scheduler.evacuated_run_count
            self._dependencies.metrics.set_evacuated_runs(run_count)
            self._writer.start_writing()

    def _update_authority(self) -> None:
        authority = self._authority_check.check(self._heartbeats.last_heartbeat_sent_at)
        self.scheduler.set_authority(
            HolderAuthority.NONE if self._is_releasing else authority
        )

    def _remove_expired_jobs(self) -> None:
        if clock.now() < self._next_retention_check_at:
            return
        self._next_retention_check_at = Instant(
            clock.now() + RETENTION_CHECK_INTERVAL_S
        )
        jobs_by_id = self._job_index.jobs_by_id
        cancels = self._job_index.unmatched_cancels
        self.scheduler.remove_cancels(expired_cancels(cancels, clock.unix_ms()))
        self.scheduler.remove_jobs(
            expired_jobs(
                jobs_by_id, clock.unix_ms(), self._dependencies.status_retention_s
            )
        )

    def _execute(self, effect: Effect) -> None:
        self._handlers[type(effect)](effect)

    def _poll(self, effect: PollWorker) -> None:
        spawn(self._poll_worker(effect))

    async def _poll_worker(self, effect: PollWorker) -> None:
        sent_at = clock.now()
        poll_request = PollRequest(
            self._epoch, effect.ack_cursor, effect.lease_end_clock_ms, effect.wait_ms
        )
        deadline = Instant(
            sent_at + effect.wait_ms / MS_PER_SECOND + POLL_TIMEOUT_MARGIN_S
        )
        answer = await self._dependencies.workers.poll(
            effect.address,
            effect.incarnation,
            poll_request,
            deadline,
            lambda: not self._is_stopped and self.scheduler.may_poll(effect),
        )
        if self._is_stopped:
            return
        with self._measured_turn(TurnWork.WORKER_REPORT):
            self.scheduler.poll_answered(
                effect.incarnation,
                answer,
                sent_at,
                clock.now(),
                is_extra=effect.is_extra,
            )
        self._schedule_tick()

    def _abort_calls(self, effect: AbortCalls) -> None:
        self._dependencies.workers.abort_calls(effect.address)

    def _may_send(self, order: StartOrder) -> bool:
        if self._is_stopped:
            return False
        self._update_authority()
        return self.scheduler.may_send(order)

    def _start_answered(self, order: StartOrder, reply: OrderReply) -> None:
        self._dependencies.metrics.record_order("start", reply.result.value)
        if self._is_stopped:
            return
        self.scheduler.start_answered(
            order.incarnation,
            order.task,
            order.run_number,
            reply.result,
            clock.now(),
            clock_ms=reply.clock_ms,
        )
        self._schedule_tick()

    def _stop_run(self, effect: StopRun) -> None:
        spawn(self._stop_on_worker(effect))

    async def _stop_on_worker(self, effect: StopRun) -> None:
        deadline = Instant(clock.now() + ORDER_TIMEOUT_S)
        result = await self._dependencies.workers.stop(
            effect.address,
            effect.incarnation,
            effect.task,
            effect.run_number,
            self._epoch,
            deadline,
        )
        self._dependencies.metrics.record_order("stop", result.value)
        if self._is_stopped:
            return
        self.scheduler.stop_answered(
            effect.incarnation, effect.task, effect.run_number, result, clock.now()
        )
        self._schedule_tick()

    def _request_advice(self, effect: AskAdvice) -> None:
        self._advice.ask(effect)

    def _advice_answered(self, step: StepKey, answer: AdviceAnswer | None) -> None:
        if self._is_stopped:
            return
        self.scheduler.advice_answered(step, answer, clock.now())
        self._schedule_tick()

    def _step_down(self, effect: StepDown) -> None:
        self._on_fenced(effect.reason)

    def _on_fenced(self, reason: str) -> None:
        if self._is_stopped:
            return
        self.stop()
        self._on_ended(reason)

    def _take_batch(self) -> Batch | None:
        return self.scheduler.take_batch(clock.now(), clock.unix_ms())

    def _batch_stored(self, batch: Batch) -> None:
        now = clock.now()
        self._update_authority()
        with self._measured_turn(TurnWork.STORED_BATCH):
            self.scheduler.batch_stored(batch, now)
        self._schedule_tick()

    def _registrations_changed(self, entries: list[WorkerEntry]) -> None:
        self.scheduler.set_registered_workers(entries, clock.now())
        self._schedule_tick()
