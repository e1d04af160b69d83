"""When callers return while the store is away, and how many of them are served."""

import random
from collections.abc import Callable

import pytest

from tamarackmount.scheduling.admission.admission import add_jitter
from tamarackmount.scheduling.admission.retry_times import store_retry_s

OUTAGE_S = 6.5
MAX_RETRIES = 4
ARRIVALS = 200


def is_served(
    arrival_s: float, deadline_s: float, retry_s: Callable[[float], float], seed: int
) -> bool:
    """Tell whether a caller returns after an outage that began at 0 s, and in time."""
    rng = random.Random(seed)
    at = arrival_s
    for _ in range(MAX_RETRIES):
        remaining_s = arrival_s + deadline_s - at
        if at >= OUTAGE_S or remaining_s <= 0:
            break
        at += add_jitter(retry_s(remaining_s), rng)
    return OUTAGE_S <= at < arrival_s + deadline_s


def served_share(deadline_s: float, retry_s: Callable[[float], float]) -> float:
    served = sum(
        is_served(OUTAGE_S * n / ARRIVALS, deadline_s, retry_s, n)
        for n in range(ARRIVALS)
    )
    return served / ARRIVALS


def test_callers_who_wait_long_are_served_after_the_outage() -> None:
    assert served_share(12.0, store_retry_s) >= 0.95
    assert served_share(12.0, lambda _: 1.0) <= 0.7


def test_callers_who_wait_shortly_are_not_told_to_return_after_they_have_left() -> None:
    # The header has whole seconds, so that they return 2 s after their arrival at last.
    best = 2.0 / OUTAGE_S
    assert served_share(3.0, store_retry_s) >= 0.95 * best
    assert served_share(3.0, lambda _: 3.0) <= 0.3 * best


@pytest.mark.parametrize("remaining_s", [-1.0, 0.0, 0.5, 3.0, 4.0])
def test_the_retry_time_is_at_least_a_second(remaining_s: float) -> None:
    assert store_retry_s(remaining_s) == 1.0


def test_callers_who_wait_long_do_not_return_together() -> None:
    rng = random.Random(1)
    assert len({add_jitter(store_retry_s(12.0), rng) for _ in range(100)}) >= 3
