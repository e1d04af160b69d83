"""The fast look-up of room agrees with a look at every worker."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.free_capacity import FreeCapacityIndex
from tamarackmount.scheduling.model import StepKey
from tamarackmount.scheduling.runs import JobState, StepState
from tamarackmount.scheduling.workers import ContactState, WorkerState
from tests.utils.build_scheduling import START, job, step, worker_entry

NOW = Instant(START)


def worker(number: int, cores: int, label: str, rests: bool = False) -> WorkerState:
    """Return a worker with some cores free."""
    found = WorkerState(
        worker_entry(f"w{number}", cores=cores, labels=frozenset({label, "r1"})),
        contact=ContactState.CONFIRMED,
    )
    found.backoff_until = Instant(NOW + 1.0) if rests else NOW
    return found


def waiting(cores: int, label: str = "") -> StepState:
    """Return a step of one task."""
    spec = step(1, cores, label=label)
    accepted = job(1, spec)
    return StepState(StepKey(accepted.job_id, 0, 0), spec, JobState(accepted), {0})


@given(
    workers=st.lists(
        st.tuples(st.integers(1, 8), st.sampled_from("xy"), st.booleans())
    ),
    used=st.lists(st.integers(0, 8)),
    cores=st.integers(1, 9),
    label=st.sampled_from(["", "x"]),
)
def test_it_agrees_with_a_look_at_every_worker(
    workers: list[tuple[int, str, bool]], used: list[int], cores: int, label: str
) -> None:
    rows = [worker(number, *row) for number, row in enumerate(workers)]
    rooms = FreeCapacityIndex(rows, NOW)
    for row, taken in zip(rows, used, strict=False):
        row.used = Resources(taken * 1_000, 0, 0)
    waits = waiting(cores, label)
    expected = any(
        now_free.fits_in(row.free) and row.backoff_until <= NOW
        for row in rows
        for now_free in [waits.reserved_amount]
        if not label or label in row.entry.labels
    )
    assert rooms.has_fitting_worker(waits, lambda _: True) is expected


def test_a_full_pool_is_not_looked_at_worker_by_worker() -> None:
    rooms = FreeCapacityIndex([worker(number, 2, "x") for number in range(100)], NOW)
    asked: list[WorkerState] = []

    def may_take(row: WorkerState) -> bool:
        asked.append(row)
        return True

    assert not rooms.has_fitting_worker(waiting(3), may_take)
    assert not asked
    assert rooms.has_fitting_worker(waiting(2), may_take)
    assert len(asked) == 1


def test_where_nobody_is_allowed_there_is_no_place() -> None:
    rooms = FreeCapacityIndex([worker(1, 8, "x")], NOW)
    assert not rooms.has_fitting_worker(waiting(1), lambda _: False)
