"""Replays of workers under holders that overlap, on a network that delays and loses."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from tamarackmount.ids import Epoch, Instant, JobId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.contact.store_batches import Batch
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import (
    Effect,
    PollWorker,
    StartRun,
    StepDown,
    StopRun,
)
from tamarackmount.scheduling.domain.model import StepSpec, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    EndedRun,
    OrderResult,
    PollFailure,
    RunEnd,
    RunningRun,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)
from tamarackmount.scheduling.membership.holder_authority import (
    FULL_AUTHORITY_LIMIT_S,
    RENEWAL_LIMIT_S,
    HolderAuthority,
)
from tamarackmount.scheduling.membership.holder_watch import FORMER_ORDERS_LIMIT_S
from tamarackmount.scheduling.scheduler import Scheduler
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import encode_record, job_key
from tamarackmount.units import MS_PER_SECOND
from tests.utils.build_scheduling import START, UNIX_MS, fleet_config

Answer = Callable[[WorkerReport | PollFailure], None]
"""Takes the answer to a poll."""

STEP_S = 0.01
"""Time between two ticks of a holder, in seconds."""

ORDER_TIMEOUT_S = 0.2
"""Time after which an order counts as not answered, in seconds."""

CLOCK_HEAD_START_S = 100.0
"""Time on a worker's clock when the play begins, in seconds."""

STOP_S = 0.4
"""Longest time that a worker takes to stop a run, in seconds."""

CEILING_OVERAGE_FRACTION = 0.1
"""Fraction by which a workspace may exceed its ceiling, besides the task that starts,
as the users allow."""

NO_CEILING = Resources()

MAX_STARTS_PER_WORKER = 3
"""Number of start orders that a holder sends to a worker at once."""


@dataclass(slots=True)
class PlayedRun:
    """A run on a worker; ``began_under`` is the token of the order that started it."""

    number: int
    ends_at: float
    outcome: RunEnd
    began_under: Epoch
    is_stopping: bool = False


@dataclass(slots=True)
class PlayedWorker:
    """A worker that carries out the orders of the highest token that it has seen."""

    entry: WorkerEntry
    token: Epoch = Epoch(0)
    clock_rate: float = 1.0
    cut_until: float = 0.0
    lease_end_clock_ms: float = float("-inf")
    run_by_task: dict[TaskKey, PlayedRun] = field(default_factory=dict)
    closed_by_task: dict[TaskKey, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    end_count: int = 0

    def clock_ms(self, now: Instant) -> int:
        """Return a reading of the worker's own clock, which began before the play."""
        return int((now - START + CLOCK_HEAD_START_S) * self.clock_rate * MS_PER_SECOND)

    def renew_lease(self, lease_end_clock_ms: int | None) -> None:
        """Renew the lease, which never shortens."""
        if lease_end_clock_ms is not None:
            self.lease_end_clock_ms = max(self.lease_end_clock_ms, lease_end_clock_ms)


@dataclass(slots=True)
class PlayedHolder:
    """A holder; it reaches no store from ``cut_at`` on."""

    epoch: Epoch
    scheduler: Scheduler
    cut_at: float = float("inf")
    is_stopped: bool = False
    append: tuple[float, Batch] | None = None
    queued: dict[WorkerIncarnation, list[StartRun]] = field(default_factory=dict)
    in_flight: dict[WorkerIncarnation, int] = field(default_factory=dict)


class OverlappingHolders:
    """Workers, a store, and holders of which the former ones go on for a while.

    ``loss`` is the fraction of calls and of answers that are lost, ``late`` that of
    calls that are carried out up to a second later, ``slow_s`` the longest delay of an
    answer on its way through a busy holder.
    """

    def __init__(
        self,
        entries: list[WorkerEntry],
        seed: int,
        loss: float = 0.0,
        late: float = 0.0,
        slow_s: float = 0.0,
        ceiling: Resources = NO_CEILING,
    ) -> None:
        """Begin with one holder."""
        self.now = START
        self.random = Random(seed)
        self.loss = loss
        self.late = late
        self.slow_s = slow_s
        self.store_latency_s = 0.01
        self.overloaded: list[str] = []
        self.over_ceiling: list[str] = []
        self._ceiling = ceiling
        self.start_count = 0
        self.workers = {entry.incarnation: PlayedWorker(entry) for entry in entries}
        self.jobs: dict[JobId, AcceptedJob] = {}
        self.records: dict[str, bytes] = {}
        self.holders: list[PlayedHolder] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.take_over()

    @property
    def holder(self) -> PlayedHolder:
        """The newest holder."""
        return self.holders[-1]

    @property
    def unix_ms(self) -> int:
        """The time of day, in milliseconds since 1970."""
        return UNIX_MS + int((self.now - START) * MS_PER_SECOND)

    def submit(self, accepted: AcceptedJob) -> None:
        """Submit a job to the newest holder."""
        self.jobs[accepted.job_id] = accepted
        index = self._read_store()
        holder = self.holder
        records = index.jobs_by_id[accepted.job_id]
        holder.scheduler.add_job(records, self.now, self.unix_ms)

    def cancel(self, job_id: JobId) -> None:
        """Cancel a job."""
        self.holder.scheduler.cancel_job(job_id, self.now, self.unix_ms)

    def take_over(self) -> None:
        """Let a new holder restore what the store has; the former one goes on."""
        epoch = Epoch(10 * (len(self.holders) + 1))
        scheduler = Scheduler(epoch, self.jobs.get)
        scheduler.set_fleet_config(fleet_config(ceiling=self._ceiling), self.now)
        scheduler.set_stop_timeout(int(STOP_S * MS_PER_SECOND))
        index = self._read_store()
        if self.holders:
            self.holder.append = None
            scheduler.restore(
                index.open_jobs(),
                index.workers(),
                index.forecast,
                Instant(self.now + FORMER_ORDERS_LIMIT_S),
                index.runs_are_complete,
                self.now,
                self.unix_ms,
            )
        self.holders.append(PlayedHolder(epoch, scheduler))
        entries = [worker.entry for worker in self.workers.values()]
        scheduler.set_registered_workers(entries, self.now)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now = Instant(self.now + STEP_S)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for worker in self.workers.values():
                self._advance(worker)
            for holder in self.holders:
                if not holder.is_stopped:
                    self._tick(holder)

    def _read_store(self) -> JobIndex:
        index = JobIndex()
        for accepted in self.jobs.values():
            index.apply(job_key(accepted), encode_record(accepted))
        for key, value in self.records.items():
            index.apply(key, value)
        return index

    def _later(self, seconds: float, act: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + seconds, self._event_count, act))

    def _tick(self, holder: PlayedHolder) -> None:
        cut_s = self.now - holder.cut_at
        authority = HolderAuthority.FULL
        if cut_s > FULL_AUTHORITY_LIMIT_S:
            authority = HolderAuthority.RENEW_ONLY
        if cut_s > RENEWAL_LIMIT_S:
            authority = HolderAuthority.NONE
        scheduler = holder.scheduler
        scheduler.set_authority(authority)
        scheduler.tick(self.now, self.unix_ms)
        for effect in scheduler.take_effects():
            self._execute(holder, effect)
        self._write(holder)

    def _write(self, holder: PlayedHolder) -> None:
        if self.now >= holder.cut_at or holder is not self.holder:
            return
        if holder.append is not None and self.now >= holder.append[0]:
            batch, holder.append = holder.append[1], None
            self.records.update(dict(batch.records))
            holder.scheduler.batch_stored(batch, self.now)
        if holder.append is None:
            batch_or_none = holder.scheduler.take_batch(self.now, self.unix_ms)
            if batch_or_none is not None:
                holder.append = self.now + self.store_latency_s, batch_or_none

    def _execute(self, holder: PlayedHolder, effect: Effect) -> None:
        if isinstance(effect, StepDown):
            holder.is_stopped = True
        elif isinstance(effect, PollWorker):
            self._poll(holder, effect)
        elif isinstance(effect, StopRun):
            self._send_stop(holder, effect)
        elif isinstance(effect, StartRun):
            where = effect.order.incarnation
            holder.queued.setdefault(where, []).append(effect)
            self._send_queued(holder, where)

    def _send_queued(self, holder: PlayedHolder, where: WorkerIncarnation) -> None:
        queue = holder.queued.get(where, [])
        while queue and holder.in_flight.get(where, 0) < MAX_STARTS_PER_WORKER:
            order = queue.pop(0).order
            holder.in_flight[where] = holder.in_flight.get(where, 0) + 1
            self._send_start(holder, order)

    def _send_start(self, holder: PlayedHolder, order: StartOrder) -> None:
        def answer(result: OrderResult) -> None:
            holder.in_flight[order.incarnation] -= 1
            if not holder.is_stopped:
                holder.scheduler.start_answered(
                    order.incarnation, order.task, order.run_number, result, self.now
                )
                self._send_queued(holder, order.incarnation)

        if holder.is_stopped or not holder.scheduler.may_send(order):
            self._later(0.0, lambda: answer(OrderResult.NOT_SENT))
            return
        worker = self.workers[order.incarnation]
        self._call(worker, lambda: self._start(holder, worker, order), answer)

    def _send_stop(self, holder: PlayedHolder, effect: StopRun) -> None:
        def answer(result: OrderResult) -> None:
            if not holder.is_stopped:
                holder.scheduler.stop_answered(
                    effect.incarnation,
                    effect.task,
                    effect.run_number,
                    result,
                    self.now,
                )

        worker = self.workers[effect.incarnation]
        self._call(worker, lambda: self._stop(holder, worker, effect), answer)

    def _call(
        self,
        worker: PlayedWorker,
        carry_out: Callable[[], OrderResult],
        answer: Callable[[OrderResult], None],
    ) -> None:
        """Make a call that is answered exactly once."""
        is_answered = False

        def answer_once(result: OrderResult) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                answer(result)

        def arrive() -> None:
            result = carry_out()
            if self.random.random() >= self.loss and self.now >= worker.cut_until:
                self._later(self._delay(), lambda: answer_once(result))

        self._later(ORDER_TIMEOUT_S, lambda: answer_once(OrderResult.UNKNOWN))
        if self.now < worker.cut_until:
            return
        if self.random.random() < self.late:
            self._later(self.random.choice((0.3, 1.0, 3.0, 5.0)), arrive)
        elif self.random.random() >= self.loss:
            self._later(0.003 + self.random.uniform(0, 0.02), arrive)

    def _delay(self) -> float:
        return 0.003 + self.random.uniform(0.0, self.slow_s)

    def _poll(self, holder: PlayedHolder, poll: PollWorker) -> None:
        sent = self.now
        is_answered = False
        worker = self.workers[poll.incarnation]

        def answer(report: WorkerReport | PollFailure) -> None:
            nonlocal is_answered
            if not is_answered and not holder.is_stopped:
                is_answered = True
                holder.scheduler.poll_answered(
                    poll.incarnation, report, sent, self.now, is_extra=poll.is_extra
                )

        timeout_s = poll.wait_ms / MS_PER_SECOND + ORDER_TIMEOUT_S
        self._later(timeout_s, lambda: answer(PollFailure.NO_ANSWER))
        if self.random.random() >= self.loss and self.now >= worker.cut_until:
            delay_s = 0.003 + self.random.uniform(0, 0.02)
            self._later(delay_s, lambda: self._receive(holder, worker, poll, answer))

    def _receive(
        self,
        holder: PlayedHolder,
        worker: PlayedWorker,
        poll: PollWorker,
        answer: Answer,
    ) -> None:
        """Let a worker take a poll, and answer once a run has ended or the wait has."""
        if holder.epoch < worker.token:
            self._later(self._delay(), lambda: answer(PollFailure.FENCED))
            return
        worker.token = holder.epoch
        worker.ended = [row for row in worker.ended if row.end_number > poll.ack_cursor]
        worker.renew_lease(poll.lease_end_clock_ms)
        wait_until = Instant(self.now + poll.wait_ms / MS_PER_SECOND)
        self._answer_when_due(worker, wait_until, answer)

    def _answer_when_due(
        self, worker: PlayedWorker, wait_until: Instant, answer: Answer
    ) -> None:
        if not worker.ended and self.now < wait_until:
            self._later(
                STEP_S, lambda: self._answer_when_due(worker, wait_until, answer)
            )
            return
        report = self._report(worker)
        if self.random.random() >= self.loss and self.now >= worker.cut_until:
            self._later(self._delay(), lambda: answer(report))

    def _report(self, worker: PlayedWorker) -> WorkerReport:
        rows = tuple(
            RunningRun(task, run.number, "", int(self.now * 10) % 100)
            for task, run in worker.run_by_task.items()
        )
        born = worker.entry.incarnation.born_unix_ms
        clock_ms = worker.clock_ms(self.now)
        return WorkerReport(born, clock_ms, rows, tuple(worker.ended))

    def _start(
        self, holder: PlayedHolder, worker: PlayedWorker, order: StartOrder
    ) -> OrderResult:
        if holder.epoch < worker.token:
            return OrderResult.FENCED
        worker.token = holder.epoch
        if order.lease_end_clock_ms <= worker.clock_ms(self.now):
            return OrderResult.LATE
        worker.renew_lease(order.lease_end_clock_ms)
        run = worker.run_by_task.get(order.task)
        if run is not None and run.number == order.run_number:
            return OrderResult.DONE
        if order.run_number <= worker.closed_by_task.get(order.task, 0):
            return OrderResult.STALE_RUN
        if run is not None:
            return OrderResult.STALE_RUN
        step = self._step_of(order.task)
        lasts_s = step.estimated_ms / MS_PER_SECOND * self.random.uniform(0.7, 1.5)
        ends_at = float("inf") if step.perpetual else self.now + lasts_s
        failed = self.random.random() < 0.03
        worker.run_by_task[order.task] = PlayedRun(
            order.run_number,
            ends_at,
            RunEnd.FAILED if failed else RunEnd.DONE,
            holder.epoch,
        )
        self.start_count += 1
        self._check_capacity(worker, order)
        self._check_ceiling(order)
        return OrderResult.DONE

    def _check_capacity(self, worker: PlayedWorker, order: StartOrder) -> None:
        used = NOTHING
        for task in worker.run_by_task:
            used = used + self._step_of(task).reserved_amount
        if not used.fits_in(worker.entry.capacity):
            name = worker.entry.incarnation.worker_id
            runs = {
                f"{task.job_id[-3:]}.{task.step}.{task.index}": run
                for task, run in worker.run_by_task.items()
            }
            self.overloaded.append(
                f"{self.now:.3f} {name} by {order.task} {order.run_number}: {runs}"
            )

    def _check_ceiling(self, order: StartOrder) -> None:
        """Check what the only workspace has running on all workers."""
        used = NOTHING
        for worker in self.workers.values():
            for task in worker.run_by_task:
                used = used + self._step_of(task).amount
        limit = self._ceiling.millicores * (1.0 + CEILING_OVERAGE_FRACTION)
        limit += self._step_of(order.task).amount.millicores
        if self._ceiling.millicores and used.millicores > limit:
            self.over_ceiling.append(
                f"{self.now:.3f} {order.task} {order.run_number}: {used.millicores}"
            )

    def _stop(
        self, holder: PlayedHolder, worker: PlayedWorker, effect: StopRun
    ) -> OrderResult:
        if holder.epoch < worker.token:
            return OrderResult.FENCED
        worker.token = holder.epoch
        run = worker.run_by_task.get(effect.task)
        if run is not None and run.number == effect.run_number:
            if not run.is_stopping:
                run.is_stopping = True
                run.ends_at = min(
                    run.ends_at, self.now + self.random.uniform(0.05, STOP_S)
                )
                run.outcome = RunEnd.STOPPED
            return OrderResult.DONE
        closed = worker.closed_by_task.get(effect.task, 0)
        worker.closed_by_task[effect.task] = max(closed, effect.run_number)
        return OrderResult.DONE

    def _step_of(self, task: TaskKey) -> StepSpec:
        return self.jobs[task.job_id].spec.steps[task.step]

    def _advance(self, worker: PlayedWorker) -> None:
        for task, run in list(worker.run_by_task.items()):
            outcome = run.outcome
            if worker.clock_ms(self.now) >= worker.lease_end_clock_ms:
                outcome = RunEnd.LEASE_EXPIRED
            elif self.now < run.ends_at:
                continue
            del worker.run_by_task[task]
            closed = worker.closed_by_task.get(task, 0)
            worker.closed_by_task[task] = max(closed, run.number)
            worker.end_count += 1
            worker.ended.append(
                EndedRun(worker.end_count, task, run.number, outcome, "")
            )
