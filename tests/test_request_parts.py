"""Deadline heap, retry budget, and the known owner of an entry VM."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import Epoch
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.known_owner import KnownOwner
from tamarackmount.kernel.retry_budget import RetryBudget
from tests.utils.build_requests import M1, at


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.one_of(st.none(), st.integers(0, 50))),
        max_size=300,
    )
)
def test_heap_agrees_with_a_plain_dictionary(
    changes: list[tuple[int, int | None]],
) -> None:
    heap = DeadlineHeap[int]()
    deadlines_by_key: dict[int, int] = {}
    for key, deadline in changes:
        if deadline is None:
            heap.discard(key)
            deadlines_by_key.pop(key, None)
        else:
            heap.set(key, at(deadline))
            deadlines_by_key[key] = deadline
    due = [key for key, deadline in deadlines_by_key.items() if deadline <= 25]
    assert sorted(heap.pop_due(at(25))) == sorted(due)
    assert len(heap) == len(deadlines_by_key) - len(due)


def test_heap_size_is_bounded_by_the_number_of_keys() -> None:
    heap = DeadlineHeap[int]()
    for number in range(10_000):
        heap.set(number % 10, at(number))
    assert len(heap) == 10
    assert heap.heap_size <= 128


def test_budget_allows_a_burst_and_then_a_ratio_of_the_requests() -> None:
    budget = RetryBudget(ratio=0.1, burst=2)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(9):
        budget.earn()
    assert not budget.spend()
    budget.earn()
    budget.earn()
    assert budget.spend()


def test_budget_does_not_exceed_its_burst() -> None:
    budget = RetryBudget(ratio=1, burst=2)
    for _ in range(10):
        budget.earn()
    assert [budget.spend() for _ in range(3)] == [True, True, False]


def test_higher_fence_resets_the_owner_and_an_equal_one_does_not() -> None:
    owner = KnownOwner(grace_ms=300)
    owner.set_owner(M1)
    assert owner.raise_fence(Epoch(2), at(0))
    assert not owner.is_known
    owner.set_owner(M1)
    assert not owner.raise_fence(Epoch(2), at(1))
    assert owner.is_known
    assert owner.is_stale(Epoch(1))
    assert not owner.is_stale(Epoch(2))


def test_grace_period_starts_when_the_owner_is_lost() -> None:
    owner = KnownOwner(grace_ms=300)
    owner.set_unknown(at(1))
    owner.set_unknown(at(1.2))
    assert not owner.refuses_requests(at(1.29))
    assert owner.refuses_requests(at(1.3))
