"""A planned stop waits for open calls, but not past its deadline."""

from tamarackmount.daemon.drain import LINGER_S, Drain, DrainStep, DrainTimes
from tamarackmount.ids import Instant

START = 100.0
TIMES = DrainTimes(notice_s=2.0, whole_s=20.0)


def build_drain() -> Drain:
    return Drain(TIMES, Instant(START))


def step(drain: Drain, after_s: float, under_way: int = 0) -> DrainStep:
    return drain.step(under_way, Instant(START + after_s))


def test_requests_are_served_during_the_notice() -> None:
    drain = build_drain()
    assert step(drain, 0.0) is DrainStep.NOTICE
    assert step(drain, 1.9) is DrainStep.NOTICE
    assert step(drain, 2.0, under_way=1) is DrainStep.REFUSING


def test_drain_waits_for_open_calls() -> None:
    drain = build_drain()
    assert step(drain, 19.9, under_way=1) is DrainStep.REFUSING


def test_drain_lingers_after_the_last_answer() -> None:
    drain = build_drain()
    step(drain, 5.0, under_way=1)
    assert step(drain, 5.1) is DrainStep.REFUSING
    assert step(drain, 5.1 + LINGER_S - 0.01) is DrainStep.REFUSING
    assert step(drain, 5.1 + LINGER_S) is DrainStep.OVER


def test_late_request_restarts_the_linger_time() -> None:
    drain = build_drain()
    step(drain, 5.0)
    step(drain, 5.3, under_way=1)
    assert step(drain, 5.6) is DrainStep.REFUSING
    assert step(drain, 5.6 + LINGER_S) is DrainStep.OVER


def test_drain_ends_at_its_deadline_despite_open_calls() -> None:
    assert step(build_drain(), 20.0, under_way=3) is DrainStep.OVER
