"""Tests of the upstream stand-in: slots, connections, executions and deadlines."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import Instant, UpstreamId
from tamarackmount.standins.upstream_model import Execution, UpstreamModel
from tests.utils.build_platform_messages import an_arrival

START = Instant(100.0)


def an_upstream(slots: int = 2, connections: int = 2) -> UpstreamModel:
    return UpstreamModel(UpstreamId("u1"), slots, connections, service_s=0.005)


def rules(model: UpstreamModel) -> list[str]:
    return [breach.rule for breach in model.breach_log.breaches]


@given(st.lists(st.booleans(), max_size=60))
def test_only_requests_beyond_the_slots_are_breaches(begins: list[bool]) -> None:
    model = an_upstream(slots=3)
    running: list[Execution] = []
    expected_breaches = 0
    for begin in begins:
        if begin:
            expected_breaches += len(running) >= 3
            running.append(model.begin(START, an_arrival()))
        elif running:
            model.end(running.pop())
    assert rules(model) == ["too_many_requests"] * expected_breaches
    assert model.state()["running"] == len(running)


def test_only_connections_beyond_the_limit_are_breaches() -> None:
    model = an_upstream(connections=1)
    model.connection_opened()
    model.connection_closed()
    model.connection_opened()
    assert rules(model) == []
    model.connection_opened()
    assert rules(model) == ["too_many_connections"]


def test_work_time_is_requested_or_default_and_scaled_by_the_slow_factor() -> None:
    model = an_upstream()
    assert model.begin(START, an_arrival()).ends_at == START + 0.005
    assert model.begin(START, an_arrival(work_ms=50)).ends_at == START + 0.05
    model.set_faults_json(b'{"slow_factor": 4}')
    assert model.begin(START, an_arrival(work_ms=50)).ends_at == START + 0.2


def test_slot_is_freed_at_the_deadline_at_the_latest() -> None:
    model = an_upstream()
    execution = model.begin(START, an_arrival(work_ms=900, deadline_ms=500))
    assert (execution.ends_at, execution.in_time) == (START + 0.5, False)
    model.end(execution)
    state = model.state()
    assert (state["running"], state["past_deadline"]) == (0, 1)


def test_hanging_upstream_holds_the_slot_until_the_deadline() -> None:
    model = an_upstream()
    model.set_faults_json(b'{"mode": "hang"}')
    execution = model.begin(START, an_arrival(deadline_ms=500))
    assert (execution.ends_at, execution.in_time) == (START + 0.5, False)


def test_only_repeated_non_idempotent_requests_count_as_doubled() -> None:
    model = an_upstream(slots=9)
    for name, idempotent in [("a", True), ("a", True), ("b", False), ("c", False)]:
        model.begin(START, an_arrival(name, idempotent=idempotent))
    assert model.state()["doubled"] == []
    model.begin(START, an_arrival("c", idempotent=False))
    state = model.state()
    assert state["doubled"] == ["c"]
    assert state["executed_more_than_once"] == [
        {"request_id": "c", "count": 2},
        {"request_id": "a", "count": 2},
    ]
    assert model.non_idempotent_executions() == {
        "executions": [
            {"request_id": "b", "count": 1},
            {"request_id": "c", "count": 2},
        ]
    }


def test_key_that_reaches_an_upstream_is_a_breach() -> None:
    model = an_upstream()
    model.begin(START, an_arrival(has_key=True))
    assert rules(model) == ["key_forwarded"]
