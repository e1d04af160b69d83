"""A planned stop waits for the calls in flight and ends by its deadline."""

from tamarackmount.daemon.drain import LINGER_S, Drain, DrainPhase, DrainTimes
from tamarackmount.ids import Instant

START = 100.0
TIMES = DrainTimes(notice_s=2.0, total_s=20.0)


def build_drain() -> Drain:
    return Drain(TIMES, Instant(START))


def advance(drain: Drain, after_s: float, in_flight: int = 0) -> DrainPhase:
    return drain.advance(in_flight, Instant(START + after_s))


def test_requests_are_served_during_the_notice_period() -> None:
    drain = build_drain()
    assert advance(drain, 0.0) is DrainPhase.NOTICE
    assert advance(drain, 1.9) is DrainPhase.NOTICE
    assert advance(drain, 2.0, in_flight=1) is DrainPhase.REFUSING


def test_stop_waits_for_calls_in_flight() -> None:
    drain = build_drain()
    assert advance(drain, 19.9, in_flight=1) is DrainPhase.REFUSING


def test_stop_lingers_after_the_last_response() -> None:
    drain = build_drain()
    advance(drain, 5.0, in_flight=1)
    assert advance(drain, 5.1) is DrainPhase.REFUSING
    assert advance(drain, 5.1 + LINGER_S - 0.01) is DrainPhase.REFUSING
    assert advance(drain, 5.1 + LINGER_S) is DrainPhase.FINISHED


def test_late_request_restarts_the_linger_time() -> None:
    drain = build_drain()
    advance(drain, 5.0)
    advance(drain, 5.3, in_flight=1)
    assert advance(drain, 5.6) is DrainPhase.REFUSING
    assert advance(drain, 5.6 + LINGER_S) is DrainPhase.FINISHED


def test_stop_ends_at_its_deadline_despite_calls_in_flight() -> None:
    assert advance(build_drain(), 20.0, in_flight=3) is DrainPhase.FINISHED
