"""No start in an evacuated data centre, over sequences of submissions and records."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from tamarackmount.ids import DataCentreId
from tamarackmount.scheduling.domain.worker_reports import OrderResult, PollFailure
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)

ZONES = ("dc1", "dc2", "dc3")
WORKERS = tuple(f"{zone}-{number}" for zone in ZONES for number in range(2))

STEPS = (
    step(6),
    step(3, cores=4, speculative=True),
    step(4, cores=4, gang=True),
    step(2, perpetual=True),
)

ACTIONS = st.one_of(
    st.tuples(st.just("submit"), st.integers(0, len(STEPS) - 1), st.booleans()),
    st.tuples(st.just("evacuate"), st.sets(st.sampled_from(ZONES))),
    st.tuples(st.just("tick"), st.sampled_from([0.01, 0.3, 1.5])),
    st.tuples(st.just("answer"), st.sampled_from(list(OrderResult)[3:])),
    st.tuples(st.just("silence"), st.sampled_from(WORKERS)),
    st.tuples(st.just("report"), st.sampled_from(WORKERS)),
    st.tuples(st.just("store"), st.booleans()),
)


class EvacuationSequence:
    """A scheduler whose orders are checked as they are emitted."""

    def __init__(self) -> None:
        """Register two workers in each of three data centres."""
        self.harness = SchedulerHarness()
        self.harness.register_workers(
            *(
                worker_entry(name, data_centre=DataCentreId(name.partition("-")[0]))
                for name in WORKERS
            )
        )
        # So that the first starts wait for the store, as they do while it is slow.
        self.harness.scheduler._state.write_ahead.is_enabled = True
        self.harness.is_store_healthy = False
        self.evacuated: set[str] = set()
        self.checked = 0
        self.jobs = 0

    def submit(self, kind: int, is_urgent: bool) -> None:
        """Submit a job of one step."""
        self.jobs += 1
        queue = HIGH_PRIORITY if is_urgent else LOW_PRIORITY
        self.harness.submit_job(job(self.jobs, STEPS[kind], in_queue=queue))

    def evacuate(self, zones: set[str]) -> None:
        """Replace the evacuated data centres; all others are in service."""
        # Orders of an earlier tick were emitted under the earlier evacuations.
        self.check()
        self.evacuated = zones
        self.harness.scheduler.set_evacuated_data_centres(
            frozenset(map(DataCentreId, zones)), self.harness.now
        )
        for start in self.harness.starts:
            zone = start.order.incarnation.worker_id.partition("-")[0]
            if zone in zones:
                assert not self.harness.scheduler.may_send(start.order)

    def tick(self, seconds: float) -> None:
        """Let time pass."""
        self.harness.tick(seconds)

    def answer(self, result: OrderResult) -> None:
        """Answer the orders so far."""
        self.check()
        self.checked = 0
        self.harness.answer_starts(result)

    def silence(self, name: str) -> None:
        """Let a poll go unanswered."""
        self.harness.answer_poll(PollFailure.NO_ANSWER, incarnation(name))

    def report(self, name: str) -> None:
        """Let a worker report what it runs, as far as the scheduler knows."""
        workers = self.harness.scheduler._state.workers_by_incarnation
        worker = workers.get(incarnation(name))
        runs = worker.runs_by_task.values() if worker is not None else ()
        running = tuple((run.task, run.number) for run in runs)
        self.harness.answer_poll(worker_report(running=running), incarnation(name))

    def store(self, is_healthy: bool) -> None:
        """Let the store take records, or keep starts waiting for it."""
        self.harness.is_store_healthy = is_healthy

    def check(self) -> None:
        """Check the orders that were emitted since the last check."""
        for start in self.harness.starts[self.checked :]:
            worker = start.order.incarnation.worker_id
            assert worker.partition("-")[0] not in self.evacuated, start
        self.checked = len(self.harness.starts)


@settings(max_examples=150, deadline=None)
@given(st.lists(ACTIONS, max_size=25))
@example([("submit", 0, True), ("evacuate", set(ZONES)), ("store", True), ("tick", 0)])
def test_no_order_goes_to_a_data_centre_that_is_evacuated(
    actions: list[tuple[object, ...]],
) -> None:
    sequence = EvacuationSequence()
    for name, *arguments in actions:
        getattr(sequence, str(name))(*arguments)
        sequence.check()
