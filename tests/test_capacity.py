"""The capacity ledger never overcommits and finds free capacity if there is any."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import JobId, RackId, WorkerId
from tamarackmount.kernel.capacity import (
    CapacityLedger,
    OvercommitError,
    tasks_that_fit,
)
from tamarackmount.plugins.placement import PLACEMENT_POLICIES, PlacementRequest
from tamarackmount.resources import Resources
from tests.utils.build_jobs import size

SIZES = st.builds(size, st.integers(1, 8), st.integers(1, 8), st.integers(0, 2))


def ledger_of(capacities: list[Resources]) -> CapacityLedger:
    ledger = CapacityLedger()
    for number, capacity in enumerate(capacities):
        worker_id = WorkerId(f"w{number}")
        ledger.add(worker_id, RackId(f"r{number % 3}"), capacity)
        ledger.set_schedulable(worker_id, True)
    return ledger


def request(amount: Resources, *avoid: str) -> PlacementRequest:
    return PlacementRequest(amount, frozenset(map(WorkerId, avoid)), {})


def test_commit_beyond_capacity_raises() -> None:
    ledger = ledger_of([size(2, 4)])
    ledger.commit(WorkerId("w0"), size(2, 1), False)
    with pytest.raises(OvercommitError):
        ledger.commit(WorkerId("w0"), size(1, 1), False)
    ledger.release(WorkerId("w0"), size(2, 1), False)
    ledger.commit(WorkerId("w0"), size(1, 1), False)


def test_unschedulable_and_reserved_workers_take_nothing() -> None:
    ledger = ledger_of([size(4, 4), size(4, 4)])
    ledger.set_schedulable(WorkerId("w0"), False)
    ledger.reserve(WorkerId("w1"), JobId("gang"))
    assert not ledger.has_capacity(size(1))
    ledger.reserve(WorkerId("w1"), None)
    assert [worker.id for worker in ledger.workers_with_capacity(size(1))] == ["w1"]


def test_index_of_a_removed_worker_is_reused() -> None:
    ledger = ledger_of([size(4, 4)])
    ledger.remove(WorkerId("w0"))
    assert not ledger.has_capacity(size(1))
    ledger.add(WorkerId("w9"), RackId("r9"), size(2, 2))
    ledger.set_schedulable(WorkerId("w9"), True)
    assert [worker.id for worker in ledger.workers_with_capacity(size(1))] == ["w9"]


def test_workers_fitting_after_preemption_count_only_preemptible_work() -> None:
    ledger = ledger_of([size(4, 4), size(4, 4)])
    ledger.commit(WorkerId("w0"), size(3), True)
    ledger.commit(WorkerId("w1"), size(3), False)
    assert [
        worker.id for worker in ledger.workers_fitting_after_preemption(size(4))
    ] == ["w0"]


@pytest.mark.parametrize("name", ["best-fit", "spread-racks", "first-fit"])
@given(capacities=st.lists(SIZES, max_size=12), amounts=st.lists(SIZES, max_size=30))
def test_policies_place_whenever_something_fits(
    name: str, capacities: list[Resources], amounts: list[Resources]
) -> None:
    ledger = ledger_of(capacities)
    policy = PLACEMENT_POLICIES.get(name).unwrap()
    for amount in amounts:
        fits = any(amount.fits_in(one.free) for one in ledger.workers_by_id.values())
        choice = policy.choose(ledger, request(amount))
        assert (choice is not None) == fits
        if choice is not None:
            ledger.commit(choice.worker_id, amount, False)


@pytest.mark.parametrize("name", ["best-fit", "spread-racks", "first-fit"])
def test_worker_to_avoid_is_the_last_resort(name: str) -> None:
    ledger = ledger_of([size(2, 4), size(4, 4)])
    policy = PLACEMENT_POLICIES.get(name).unwrap()
    choice = policy.choose(ledger, request(size(2), "w0"))
    assert choice is not None
    assert choice.worker_id == "w1"
    ledger.commit(WorkerId("w1"), size(4), False)
    last = policy.choose(ledger, request(size(2), "w0"))
    assert last is not None
    assert last.worker_id == "w0"


@given(capacity=SIZES, amount=SIZES)
def test_tasks_that_fit_is_the_largest_count(
    capacity: Resources, amount: Resources
) -> None:
    count = tasks_that_fit(capacity, amount)
    free = capacity
    for _ in range(count):
        assert amount.fits_in(free)
        free = free - amount
    assert not amount.fits_in(free)
