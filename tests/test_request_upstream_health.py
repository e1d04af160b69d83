"""Failing or slow upstreams are ejected and return on probation."""

from tamarackmount.ids import UpstreamId
from tamarackmount.kernel.upstream_health import (
    BASE_EJECTION_MS,
    EJECTION_RESET_SAMPLES,
    MIN_SAMPLES,
    PROBATION_ANSWERS,
    UpstreamHealth,
    UpstreamHealthState,
)
from tests.utils.build_requests import SERVICE, at, build_upstreams

U1 = UpstreamId("u1")
U2 = UpstreamId("u2")
U3 = UpstreamId("u3")
BASE_EJECTION_S = BASE_EJECTION_MS / 1_000


def build_health(count: int = 4) -> UpstreamHealth:
    health = UpstreamHealth()
    health.set_upstreams(build_upstreams(count))
    return health


def fail(health: UpstreamHealth, upstream_id: UpstreamId, now: float = 0) -> None:
    for _ in range(5):
        health.failed(upstream_id, at(now))


def answer(
    health: UpstreamHealth,
    upstream_id: UpstreamId,
    service_s: float,
    times: int = MIN_SAMPLES,
) -> None:
    for _ in range(times):
        health.answered(upstream_id, service_s, at(0))


def test_upstream_that_fails_everything_is_ejected() -> None:
    health = build_health()
    fail(health, U1)
    assert health.state(U1) is UpstreamHealthState.EJECTED
    assert health.limit(U1) == 0


def test_rare_failures_do_not_eject_an_upstream() -> None:
    health = build_health()
    for _ in range(20):
        answer(health, U1, 0.1, times=9)
        health.failed(U1, at(0))
    assert health.state(U1) is UpstreamHealthState.HEALTHY


def test_upstream_much_slower_than_the_median_is_ejected() -> None:
    health = build_health()
    for upstream_id in (U1, U2):
        answer(health, upstream_id, 0.1)
    answer(health, U3, 0.5)
    assert health.state(U3) is UpstreamHealthState.EJECTED
    assert health.state(U1) is UpstreamHealthState.HEALTHY


def test_slower_of_two_upstreams_is_ejected() -> None:
    health = build_health(2)
    answer(health, U1, 0.1)
    answer(health, U2, 0.5)
    assert health.state(U2) is UpstreamHealthState.EJECTED


def test_evenly_slow_service_has_no_upstream_ejected() -> None:
    health = build_health()
    for upstream_id in (U1, U2, U3):
        answer(health, upstream_id, 5.0)
    assert health.state(U3) is UpstreamHealthState.HEALTHY


def test_ejected_upstream_returns_on_probation() -> None:
    health = build_health()
    fail(health, U1)
    assert health.tick(at(BASE_EJECTION_S - 0.01)) == []
    assert health.tick(at(BASE_EJECTION_S)) == [U1]
    assert health.limit(U1) == 1
    answer(health, U1, 0.1, times=PROBATION_ANSWERS)
    assert health.state(U1) is UpstreamHealthState.HEALTHY


def test_failure_on_probation_doubles_the_ejection_time() -> None:
    health = build_health()
    fail(health, U1)
    health.tick(at(BASE_EJECTION_S))
    health.failed(U1, at(BASE_EJECTION_S))
    assert health.tick(at(3 * BASE_EJECTION_S - 0.01)) == []
    assert health.tick(at(3 * BASE_EJECTION_S)) == [U1]


def test_enough_answers_reset_the_ejection_time() -> None:
    health = build_health()
    fail(health, U1)
    health.tick(at(BASE_EJECTION_S))
    answer(health, U1, 0.1, times=EJECTION_RESET_SAMPLES)
    fail(health, U1, now=10)
    assert health.tick(at(10 + BASE_EJECTION_S)) == [U1]


def test_at_most_half_of_a_service_is_ejected() -> None:
    health = build_health(3)
    for upstream_id in (U1, U2, U3):
        fail(health, upstream_id)
    states = [health.state(upstream_id) for upstream_id in (U1, U2, U3)]
    assert states.count(UpstreamHealthState.EJECTED) == 1


def test_only_upstream_is_never_ejected() -> None:
    health = build_health(1)
    fail(health, U1)
    assert health.limit(U1) is None


def test_upstream_listed_again_starts_without_history() -> None:
    health = build_health(2)
    fail(health, U1)
    health.set_upstreams(build_upstreams(2)[1:])
    health.set_upstreams(build_upstreams(2))
    assert health.state(U1) is UpstreamHealthState.HEALTHY
    assert health.tick(at(100)) == []
    fail(health, U2)
    assert health.state(U2) is UpstreamHealthState.EJECTED


def test_median_is_unknown_until_enough_answers() -> None:
    health = build_health()
    assert health.median_s(SERVICE) is None
    answer(health, U1, 0.1, times=MIN_SAMPLES - 1)
    assert health.median_s(SERVICE) is None
    answer(health, U1, 0.1, times=1)
    assert health.median_s(SERVICE) is not None
