"""Tests that the free capacity index agrees with a scan of every worker."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import StepKey
from tamarackmount.scheduling.jobs.index_ranges import IndexRanges
from tamarackmount.scheduling.jobs.runs import JobState, StepState
from tamarackmount.scheduling.workers.free_capacity import FreeCapacityIndex
from tamarackmount.scheduling.workers.workers import ContactState, WorkerState
from tests.utils.build_scheduling import START, job, step, worker_entry

NOW = Instant(START)


def make_worker(
    number: int, cores: int, label: str, in_backoff: bool = False
) -> WorkerState:
    """Return an idle worker with some cores."""
    state = WorkerState(
        worker_entry(f"w{number}", cores=cores, labels=frozenset({label, "r1"})),
        contact=ContactState.CONFIRMED,
    )
    state.backoff_until = Instant(NOW + 1.0) if in_backoff else NOW
    return state


def make_step(cores: int, label: str = "") -> StepState:
    """Return a step of one task."""
    spec = step(1, cores, label=label)
    accepted = job(1, spec)
    return StepState(
        StepKey(accepted.job_id, 0, 0), spec, JobState(accepted), IndexRanges.below(1)
    )


@given(
    workers=st.lists(
        st.tuples(st.integers(1, 8), st.sampled_from("xy"), st.booleans())
    ),
    used=st.lists(st.integers(0, 8)),
    cores=st.integers(1, 9),
    label=st.sampled_from(["", "x"]),
)
def test_the_index_agrees_with_a_scan_of_every_worker(
    workers: list[tuple[int, str, bool]], used: list[int], cores: int, label: str
) -> None:
    rows = [make_worker(number, *row) for number, row in enumerate(workers)]
    index = FreeCapacityIndex(rows, NOW)
    for row, used_cores in zip(rows, used, strict=False):
        row.used = Resources(used_cores * 1_000, 0, 0)
    waiting_step = make_step(cores, label)
    expected = any(
        amount.fits_in(row.free) and row.backoff_until <= NOW
        for row in rows
        for amount in [waiting_step.reserved_amount]
        if not label or label in row.entry.labels
    )
    assert index.has_fitting_worker(waiting_step, lambda _: True) is expected


def test_a_full_pool_is_not_scanned_worker_by_worker() -> None:
    index = FreeCapacityIndex(
        [make_worker(number, 2, "x") for number in range(100)], NOW
    )
    checked: list[WorkerState] = []

    def may_take(row: WorkerState) -> bool:
        checked.append(row)
        return True

    assert not index.has_fitting_worker(make_step(3), may_take)
    assert not checked
    assert index.has_fitting_worker(make_step(2), may_take)
    assert len(checked) == 1


def test_no_worker_fits_if_none_may_take_the_step() -> None:
    index = FreeCapacityIndex([make_worker(1, 8, "x")], NOW)
    assert not index.has_fitting_worker(make_step(1), lambda _: False)
