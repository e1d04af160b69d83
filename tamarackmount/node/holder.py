"""The task that carries out the scheduler's decisions while this node holds it."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure
from twisted.internet.defer import DeferredSemaphore
from twisted.internet.task import LoopingCall

from tamarackmount.ids import Epoch, Instant, JobId, MemberId
from tamarackmount.node import clock
from tamarackmount.node.authority_check import AuthorityCheck
from tamarackmount.node.claims import Claim, HeartbeatWriter
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.node.hedged_advice import HedgedAdviceClient
from tamarackmount.node.journal_writer import JournalWriter, WriterCallbacks
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.submissions import StoreOutcome, StoreResult
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.node.worker_registrations import WorkerRegistrations
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.platform.store import (
    Appended,
    KeyedRecord,
    Store,
    Topic,
)
from tamarackmount.platform.workers import PollRequest, WorkerCalls
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.admission import Refusal, add_jitter
from tamarackmount.scheduling.effects import (
    AskAdvice,
    Effect,
    PollWorker,
    StartRun,
    StepDown,
    StopRun,
)
from tamarackmount.scheduling.fleet_config import FleetConfig
from tamarackmount.scheduling.holder_authority import HolderAuthority
from tamarackmount.scheduling.job_index import JobIndex
from tamarackmount.scheduling.journal import (
    RecordKind,
    decode_record,
    split_key,
)
from tamarackmount.scheduling.model import JobPhase, StepKey, WorkerIncarnation
from tamarackmount.scheduling.retention import expired_jobs
from tamarackmount.scheduling.scheduler import Scheduler
from tamarackmount.scheduling.step_advice import AdviceAnswer
from tamarackmount.scheduling.store_batches import Batch
from tamarackmount.scheduling.worker_reports import WorkerEntry
from tamarackmount.units import MS_PER_SECOND

TICK_S = 0.05
"""Pause between two ticks without input, in seconds; nothing due is as urgent."""

BATCH_DELAY_S = 0.002
"""Pause in which inputs gather before the next decision, in seconds."""

ORDER_TIMEOUT_S = 0.2
"""Longest wait for the answer to an order, in seconds; round trips take 3 to 10 ms, and
urgent jobs have 0.5 s to spare."""

POLL_TIMEOUT_MARGIN_S = 0.2
"""How much longer than its wait a look at a worker may take, in seconds; as above."""

ORDERS_PER_WORKER = 3
"""Starts under way at one worker; more would open more connections than they save."""

RETENTION_CHECK_INTERVAL_S = 5.0
"""Pause between two looks for jobs that the store may forget, in seconds."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HolderDependencies:
    """What a holder works with."""

    reactor: Any
    node: MemberId
    store: Store
    topic: Topic
    workers: WorkerCalls
    advice: AdviceClient
    peer_calls: PeerCalls
    metrics: NodeMetrics
    status_s: float


class Holder:
    """Decides under one epoch, until it is released or another holder follows."""

    def __init__(
        self,
        parts: HolderDependencies,
        claimed: Claim,
        book: JobIndex,
        fleet: FleetConfig,
        last_order: Instant,
        ended: Callable[[str], None],
    ) -> None:
        """Take over what ``book`` holds; ``ended`` is called when it is over.

        Earlier holders send no more orders after ``last_order``.
        """
        self._parts = parts
        self._epoch = claimed.epoch
        self._book = book
        self._ended = ended
        self._last_order = last_order
        self._is_over = False
        self._is_releasing = False
        self._poked = False
        self._rng = random.Random()
        self._forget_at = clock.now()
        self._semaphores_by_incarnation: dict[WorkerIncarnation, DeferredSemaphore] = {}
        self.scheduler = Scheduler(claimed.epoch, self._find_job, parts.metrics)
        self.scheduler.set_fleet_config(fleet, clock.now())
        events = WriterCallbacks(self._take_batch, self._stored, self._fenced)
        self._log = FencedLog(parts.reactor, parts.store, parts.topic, claimed.epoch)
        self._writer = JournalWriter(parts.reactor, self._log, events)
        self._signs = HeartbeatWriter(parts.reactor, claimed, self._fenced)
        self._advice = HedgedAdviceClient(
            parts.reactor, parts.node, parts.advice, parts.peer_calls, self._advised
        )
        self._authority_check = AuthorityCheck(parts.reactor, parts.peer_calls)
        self._registrations = WorkerRegistrations(
            parts.reactor, parts.store, self._workers_changed
        )
        self._ticks = LoopingCall(stop_process_on_error(self._tick))
        self._ticks.clock = parts.reactor
        self._handlers: dict[type, Callable[[Any], None]] = {
            PollWorker: self._hold,
            StartRun: self._start_run,
            StopRun: self._stop_run,
            AskAdvice: self._ask,
            StepDown: self._step_down,
        }

    @property
    def epoch(self) -> Epoch:
        """The epoch under which this holder decides."""
        return self._epoch

    async def fence(self) -> bool:
        """Keep earlier holders from writing; tell whether that is done.

        What they wrote before has to be read before :meth:`start`.
        """
        self._signs.start()
        return isinstance(await self._log.append([]), Appended)

    def start(self) -> None:
        """Begin to decide."""
        book = self._book
        self.scheduler.restore(
            book.open_jobs(),
            book.workers(),
            book.forecast,
            self._last_order,
            book.runs_are_complete,
            clock.now(),
            clock.unix_ms(),
        )
        self._registrations.tail.start()
        self._ticks.start(TICK_S, now=True)

    async def release(self) -> None:
        """Order nothing more, store all news, write that this holder stops, and stop.

        It goes on while an append is under way, which takes long in a slow store.
        The next holder begins as soon as it reads that, perhaps before this one has
        the store's answer, and takes what the store knows for all that was ordered.
        """
        await self._writer.wait_for_append()
        self._is_releasing = True
        self.scheduler.set_authority(HolderAuthority.NONE)
        await self._writer.flush()
        await self._signs.release()
        self.stop()

    def stop(self) -> None:
        """Stop at once."""
        self._halt()
        self._signs.stop()
        self._writer.stop()

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Take a new configuration."""
        self.scheduler.set_fleet_config(fleet, clock.now())
        self._poke()

    async def store(self, record: KeyedRecord) -> StoreResult:
        """Store a caller's record with the next append, if it is worth accepting."""
        refusal = self._refusal(record)
        if refusal is not None:
            retry_after_s = add_jitter(refusal.retry_after_s, self._rng)
            return StoreResult(StoreOutcome.REFUSED, retry_after_s)
        return StoreResult(await self._writer.add(record))

    def _refusal(self, record: KeyedRecord) -> Refusal | None:
        found = split_key(record.key)
        if found is None or found[0] is not RecordKind.JOB:
            return None
        known = self._book.jobs_by_id.get(JobId(found[1]))
        if known is not None and known.accepted is not None:
            return None
        job = decode_record(record.value, AcceptedJob)
        if isinstance(job, Failure):
            return None
        return self.scheduler.check_admission(job.unwrap(), clock.now())

    def handle_job_stored(self, job_id: JobId) -> None:
        """Take a job that the store holds, from this node's book."""
        known = self._book.jobs_by_id.get(job_id)
        if known is not None:
            self.scheduler.add_job(known, clock.now(), clock.unix_ms())
            self._poke()

    def handle_cancel_stored(self, job_id: JobId) -> None:
        """Take a cancelling that the store holds."""
        self.scheduler.cancel_job(job_id, clock.now(), clock.unix_ms())
        self._poke()

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return what a caller is told of a job."""
        return self.scheduler.phase(job_id) or self._book.phase(job_id)

    def _halt(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._registrations.tail.stop()
        if self._ticks.running:
            self._ticks.stop()

    def _find_job(self, job_id: JobId) -> AcceptedJob | None:
        known = self._book.jobs_by_id.get(job_id)
        return known.accepted if known is not None else None

    def _poke(self) -> None:
        if not self._poked and not self._is_over:
            self._poked = True
            self._parts.reactor.callLater(
                BATCH_DELAY_S, stop_process_on_error(self._tick)
            )

    def _tick(self) -> None:
        self._poked = False
        if self._is_over:
            return
        self.scheduler.set_advice_concurrency(self._advice.available_concurrency())
        self._check_licence()
        self.scheduler.tick(clock.now(), clock.unix_ms())
        for effect in self.scheduler.take_effects():
            self._carry_out(effect)
        self._forget_old_jobs()
        if not self._is_over:
            self._writer.start_writing()

    def _check_licence(self) -> None:
        authority = self._authority_check.check(self._signs.last_heartbeat_sent_at)
        self.scheduler.set_authority(
            HolderAuthority.NONE if self._is_releasing else authority
        )

    def _forget_old_jobs(self) -> None:
        if clock.now() < self._forget_at:
            return
        self._forget_at = Instant(clock.now() + RETENTION_CHECK_INTERVAL_S)
        known = self._book.jobs_by_id
        self.scheduler.remove_jobs(
            expired_jobs(known, clock.unix_ms(), self._parts.status_s)
        )

    def _carry_out(self, effect: Effect) -> None:
        self._handlers[type(effect)](effect)

    def _hold(self, effect: PollWorker) -> None:
        spawn(self._hold_worker(effect))

    async def _hold_worker(self, effect: PollWorker) -> None:
        sent = clock.now()
        order = PollRequest(
            self._epoch, effect.ack_cursor, effect.lease_end_clock_ms, effect.wait_ms
        )
        deadline = Instant(
            sent + effect.wait_ms / MS_PER_SECOND + POLL_TIMEOUT_MARGIN_S
        )
        answer = await self._parts.workers.poll(
            effect.address, effect.incarnation, order, deadline
        )
        if self._is_over:
            return
        self.scheduler.poll_answered(effect.incarnation, answer, sent, clock.now())
        self._poke()

    def _start_run(self, effect: StartRun) -> None:
        incarnation = effect.order.incarnation
        semaphore = self._semaphores_by_incarnation.get(incarnation)
        if semaphore is None:
            semaphore = DeferredSemaphore(ORDERS_PER_WORKER)
            self._semaphores_by_incarnation[incarnation] = semaphore
        semaphore.run(lambda: spawn(self._start_on_worker(effect)))

    async def _start_on_worker(self, effect: StartRun) -> None:
        if self._is_over:
            return
        order = effect.order
        deadline = Instant(clock.now() + ORDER_TIMEOUT_S)
        result = await self._parts.workers.start(
            effect.address, order, self._epoch, deadline
        )
        self._parts.metrics.record_order("start", result.value)
        if self._is_over:
            return
        self.scheduler.start_answered(
            order.incarnation, order.task, order.run, result, clock.now()
        )
        self._poke()

    def _stop_run(self, effect: StopRun) -> None:
        spawn(self._stop_on_worker(effect))

    async def _stop_on_worker(self, effect: StopRun) -> None:
        deadline = Instant(clock.now() + ORDER_TIMEOUT_S)
        result = await self._parts.workers.stop(
            effect.address,
            effect.incarnation,
            effect.task,
            effect.run,
            self._epoch,
            deadline,
        )
        self._parts.metrics.record_order("stop", result.value)
        if self._is_over:
            return
        self.scheduler.stop_answered(
            effect.incarnation, effect.task, effect.run, result, clock.now()
        )
        self._poke()

    def _ask(self, effect: AskAdvice) -> None:
        self._advice.ask(effect)

    def _advised(self, step: StepKey, answer: AdviceAnswer | None) -> None:
        if self._is_over:
            return
        self.scheduler.advice_answered(step, answer, clock.now())
        self._poke()

    def _step_down(self, effect: StepDown) -> None:
        self._fenced(effect.reason)

    def _fenced(self, reason: str) -> None:
        if self._is_over:
            return
        self.stop()
        self._ended(reason)

    def _take_batch(self) -> Batch | None:
        return self.scheduler.take_batch(clock.now(), clock.unix_ms())

    def _stored(self, batch: Batch) -> None:
        self._check_licence()
        self.scheduler.batch_stored(batch, clock.now())
        self._poke()

    def _workers_changed(self, entries: list[WorkerEntry]) -> None:
        self.scheduler.set_registered_workers(entries, clock.now())
        self._poke()
