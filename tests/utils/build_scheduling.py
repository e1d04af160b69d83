"""Builders of jobs, workers and reports for tests of the platform's scheduler."""

from dataclasses import replace
from typing import Any

from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Instant,
    JobId,
    KeyHash,
    QueueName,
    RackId,
    TeamId,
    WorkerId,
)
from tamarackmount.resources import Resources
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.effects import (
    AskAdvice,
    HoldWorker,
    StartRun,
    StopRun,
)
from tamarackmount.scheduling.fleet_config import (
    AdvicePolicy,
    Fleet,
    Queue,
    Service,
    Team,
    longest_first,
)
from tamarackmount.scheduling.job_index import KnownJob
from tamarackmount.scheduling.model import (
    JobSpec,
    ServiceName,
    StepSpec,
    TaskKey,
    WorkerLife,
)
from tamarackmount.scheduling.scheduler import Scheduler
from tamarackmount.scheduling.store_batches import Batch
from tamarackmount.scheduling.worker_reports import (
    EndedRun,
    OrderResult,
    RunEnd,
    RunningRun,
    WorkerEntry,
    WorkerReport,
)

SERVICE = ServiceName("counter")
TEAM = TeamId("retail")
URGENT = QueueName("stock")
PATIENT = QueueName("books")
PRIORITY_BY_QUEUE = {URGENT: 0, PATIENT: 2}
START = Instant(1_000.0)
UNIX_MS = 1_700_000_000_000
CLOCK_MS = 50_000
CEILING = Resources(64_000, 200_000, 0)


def queue(name: QueueName, priority: int, **changes: Any) -> Queue:
    """Return a queue without a placement policy of its own."""
    values: dict[str, Any] = {
        "name": name,
        "host": "host.example",
        "prefix": f"/{name}/",
        "service": SERVICE,
        "priority": priority,
        "max_attempts": 2,
        "stretch": 4.0,
        "target_ms": 3_000,
        "is_public": False,
    }
    return Queue(**{**values, **changes})


def fleet(
    version: int = 1, ceiling: Resources = CEILING, advice: AdvicePolicy | None = None
) -> Fleet:
    """Return a configuration with an urgent and a patient queue and one team."""
    queues = {
        URGENT: queue(URGENT, 0, stretch=1.5, target_ms=250, advice=advice),
        PATIENT: queue(PATIENT, 2, advice=advice),
    }
    return Fleet(
        version=version,
        queues_by_name=queues,
        teams_by_id={TEAM: Team(TEAM, 10.0, ceiling)},
        team_by_key={KeyHash("k"): TEAM},
        services_by_name={SERVICE: Service(SERVICE, False)},
        max_body_bytes=1_000,
        queues_by_host=longest_first(queues),
    )


def step(count: int = 1, cores: int = 1, **changes: Any) -> StepSpec:
    """Return a step of tasks that take a second."""
    values: dict[str, Any] = {"estimated_ms": 1_000, **changes}
    return StepSpec(count=count, amount=Resources(cores * 1_000, 1_000, 0), **values)


def job(
    number: int = 1, *steps: StepSpec, in_queue: QueueName = PATIENT
) -> AcceptedJob:
    """Return an accepted job; without steps it has one task."""
    return AcceptedJob(
        job_id=JobId(f"{number:016x}"),
        terms=queue(in_queue, PRIORITY_BY_QUEUE[in_queue]),
        team_id=TEAM,
        accepted_unix_ms=UNIX_MS,
        spec=JobSpec("text", steps or (step(),)),
    )


def life(name: str = "w1", born: int = 1) -> WorkerLife:
    """Return the life of a worker."""
    return WorkerLife(WorkerId(name), born)


def entry(name: str = "w1", cores: int = 8, **changes: Any) -> WorkerEntry:
    """Return a worker's registration."""
    values: dict[str, Any] = {
        "life": life(name),
        "service": SERVICE,
        "address": f"{name}:1",
        "data_centre": DataCentreId("dc1"),
        "labels": frozenset({"a", "r1"}),
        "rack": RackId("r1"),
        "capacity": Resources(cores * 1_000, 64_000, 0),
    }
    return WorkerEntry(**{**values, **changes})


def report(
    running: tuple[tuple[TaskKey, int], ...] = (),
    ended: tuple[EndedRun, ...] = (),
    clock_ms: int = CLOCK_MS,
    born: int = 1,
) -> WorkerReport:
    """Return what a worker lists."""
    rows = tuple(RunningRun(task, run, "", 100) for task, run in running)
    return WorkerReport(born, clock_ms, rows, ended)


def ended(number: int, task: TaskKey, run: int, how: RunEnd) -> EndedRun:
    """Return a listed end."""
    return EndedRun(number, task, run, how, "")


class Cell:
    """A scheduler with helpers that answer its effects in virtual time."""

    def __init__(self, ceiling: Resources = CEILING, **changes: Any) -> None:
        """Begin with a configuration and no workers."""
        self.now = START
        self.scheduler = Scheduler(Epoch(7), changes.pop("find_job", lambda _: None))
        self.scheduler.set_fleet(fleet(ceiling=ceiling, **changes), self.now)
        self.holds: list[HoldWorker] = []
        self.starts: list[StartRun] = []
        self.stops: list[StopRun] = []
        self.questions: list[AskAdvice] = []
        self.is_store_well = True
        self._records: dict[str, bytes] = {}

    @property
    def unix_ms(self) -> int:
        """The time of day."""
        return UNIX_MS + int((self.now - START) * 1_000)

    def list_workers(self, *entries: WorkerEntry) -> None:
        """Register workers that follow at once and have records."""
        self.scheduler.set_workers(list(entries), self.now)
        self.tick()
        for row in entries:
            self.hold(report(born=row.life.born_unix_ms), row.life)
        self.store()
        self.tick()

    def add(self, accepted: AcceptedJob) -> None:
        """Hand a job in that was accepted just now."""
        accepted = replace(accepted, accepted_unix_ms=self.unix_ms)
        self.scheduler.add_job(KnownJob(accepted), self.now, self.unix_ms)
        self.tick()

    def tick(self, seconds: float = 0.0) -> None:
        """Let time pass, and collect effects; a well store records starts at once."""
        self.now = Instant(self.now + seconds)
        self.scheduler.tick(self.now, self.unix_ms)
        if self.is_store_well and self.scheduler.waits_for_record:
            self.store()
        self._collect()

    def _collect(self) -> None:
        lists: dict[type, list[Any]] = {
            HoldWorker: self.holds,
            StartRun: self.starts,
            StopRun: self.stops,
            AskAdvice: self.questions,
        }
        for effect in self.scheduler.take_effects():
            lists.setdefault(type(effect), []).append(effect)

    def hold(self, answer: Any, of: WorkerLife | None = None) -> None:
        """Answer a look at a worker."""
        self.scheduler.worker_held(of or life(), answer, self.now, self.now)
        self.tick()

    def take_holds(self) -> list[HoldWorker]:
        """Return the looks so far."""
        holds, self.holds = self.holds, []
        return holds

    def answer_starts(self, result: OrderResult = OrderResult.DONE) -> list[StartRun]:
        """Answer all starts so far, and return them."""
        starts, self.starts = self.starts, []
        for start in starts:
            order = start.order
            self.scheduler.start_answered(
                order.life, order.task, order.run, result, self.now
            )
        self.tick()
        return starts

    def store(self) -> dict[str, bytes]:
        """Store all news, and return the newest record of each key so far."""
        while (batch := self.scheduler.take_batch(self.now, self.unix_ms)) is not None:
            self.stored(batch)
        self._collect()
        return dict(self._records)

    def stored(self, batch: Batch) -> None:
        """Let the store hold a batch."""
        self._records.update(dict(batch.records))
        self.scheduler.stored(batch, self.now)
