"""Tests of the stand-ins' HTTP interfaces and control ports, in virtual time."""

import json
from typing import Any

import pytest
from returns.result import Failure, Success

from tamarackmount.adapters.http_exchange import Answer
from tests.utils.build_platform_messages import a_start, a_sync, a_vm, an_append
from tests.utils.memory_network import MemoryNetwork
from tests.utils.serve_platform import (
    Served,
    call,
    serve_log,
    serve_upstream,
    serve_vm_list,
    serve_worker,
)


def answer(
    network: MemoryNetwork, method: str, url: str, body: bytes = b""
) -> tuple[int, Any]:
    result = network.wait(call(network, method, url, body))
    assert isinstance(result, Success), result
    response: Answer = result.unwrap()
    return response.status, json.loads(response.body)


def set_faults(network: MemoryNetwork, served: Served, **faults: Any) -> None:
    url = f"{served.control_url}/faults"
    assert answer(network, "POST", url, json.dumps(faults).encode()) == (200, {})


@pytest.mark.parametrize(
    "serve", [serve_log, serve_vm_list, serve_worker, serve_upstream]
)
def test_every_control_port_serves_breaches_state_and_validated_faults(
    serve: Any,
) -> None:
    network = MemoryNetwork()
    url = serve(network).control_url
    assert answer(network, "GET", f"{url}/breaches") == (200, {"breaches": []})
    assert answer(network, "GET", f"{url}/state")[0] == 200
    assert answer(network, "POST", f"{url}/faults", b"{}") == (200, {})
    status, refusal = answer(network, "POST", f"{url}/faults", b'{"colour": 7}')
    assert (status, refusal["errors"][0]["loc"]) == (400, ["colour"])
    assert answer(network, "GET", f"{url}/elsewhere")[0] == 404
    assert answer(network, "GET", f"{url}/faults")[0] == 404


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", "/append", b'{"records": []}'),
        ("POST", "/append", b"nonsense"),
        ("GET", "/records?from=1", b""),
        ("GET", "/records?from=1&limit=1001", b""),
        ("GET", "/records?from=-1&limit=1", b""),
    ],
)
def test_log_rejects_malformed_calls(method: str, path: str, body: bytes) -> None:
    network = MemoryNetwork()
    log = serve_log(network)
    assert answer(network, method, log.url + path, body)[0] == 400
    assert log.logic.state()["records"] == 0


def test_log_answers_503_while_it_is_down() -> None:
    network = MemoryNetwork()
    log = serve_log(network)
    set_faults(network, log, mode="down")
    body = an_append("a").model_dump_json().encode()
    assert answer(network, "POST", f"{log.url}/append", body)[0] == 503
    assert answer(network, "GET", f"{log.url}/records?from=1&limit=1")[0] == 503


def test_slow_log_appends_before_it_replies() -> None:
    network = MemoryNetwork()
    log = serve_log(network)
    set_faults(network, log, mode="slow", delay_ms=700)
    body = an_append("a").model_dump_json().encode()
    waiting = call(network, "POST", f"{log.url}/append", body)
    network.settle()
    assert log.logic.state()["records"] == 1
    before = network.seconds()
    assert network.wait(waiting).unwrap().status == 200
    assert network.seconds() == before + 0.7


def test_vm_is_added_marked_as_leaving_and_deleted() -> None:
    network = MemoryNetwork()
    vm_list = serve_vm_list(network, lag_s=1.0)
    url = f"{vm_list.control_url}/vms/w1"
    body = a_vm("w1").model_dump_json().encode()
    assert answer(network, "POST", f"{url}/leave")[0] == 404
    assert answer(network, "PUT", url, body) == (200, {})
    assert answer(network, "GET", f"{vm_list.url}/vms") == (200, {"vms": []})
    network.advance(1.0)
    assert answer(network, "GET", f"{vm_list.url}/vms")[1]["vms"][0]["state"] == "live"
    assert answer(network, "POST", f"{url}/leave") == (200, {})
    network.advance(1.0)
    listed = answer(network, "GET", f"{vm_list.url}/vms")[1]["vms"]
    assert [vm["state"] for vm in listed] == ["leaving"]
    assert answer(network, "DELETE", url) == (200, {})
    network.advance(1.0)
    assert answer(network, "GET", f"{vm_list.url}/vms") == (200, {"vms": []})


def test_vm_whose_id_differs_from_its_path_is_rejected() -> None:
    network = MemoryNetwork()
    vm_list = serve_vm_list(network)
    body = a_vm("w2").model_dump_json().encode()
    url = f"{vm_list.control_url}/vms/w1"
    assert answer(network, "PUT", url, body)[0] == 400
    assert answer(network, "PUT", url, b"{}")[0] == 400


def test_worker_answers_409_with_the_highest_epoch() -> None:
    network = MemoryNetwork()
    worker = serve_worker(network)
    sync = a_sync(epoch=3).model_dump_json().encode()
    status, report = answer(network, "POST", f"{worker.url}/sync", sync)
    assert (status, report["epoch"]) == (200, 3)
    start = a_start(epoch=2).model_dump_json().encode()
    assert answer(network, "POST", f"{worker.url}/start", start) == (
        409,
        {"highest": 3},
    )
    assert answer(network, "POST", f"{worker.url}/start", b"{}")[0] == 400
    assert answer(network, "GET", f"{worker.url}/sync")[0] == 404


def test_refusing_worker_starts_nothing() -> None:
    network = MemoryNetwork()
    worker = serve_worker(network)
    set_faults(network, worker, mode="refuse")
    start = a_start().model_dump_json().encode()
    assert answer(network, "POST", f"{worker.url}/start", start)[0] == 503
    assert answer(network, "GET", f"{worker.control_url}/state")[1]["starts"] == 0


def test_hanging_worker_starts_nothing_and_never_answers() -> None:
    network = MemoryNetwork()
    worker = serve_worker(network)
    set_faults(network, worker, mode="hang")
    start = a_start().model_dump_json().encode()
    result = network.wait(call(network, "POST", f"{worker.url}/start", start))
    assert isinstance(result, Failure)
    assert answer(network, "GET", f"{worker.control_url}/state")[1]["starts"] == 0


def test_upstream_echoes_the_request() -> None:
    network = MemoryNetwork()
    upstream = serve_upstream(network)
    url = f"{upstream.url}/cards/7?answer_bytes=2000"
    status, echo = answer(network, "POST", url, b"two books")
    assert status == 200
    assert (echo["upstream"], echo["path"]) == ("u1", "/cards/7?answer_bytes=2000")
    assert len(echo["body_sha256"]) == 64
    assert network.wait(call(network, "GET", url)).unwrap().body.endswith(b"  ")


def test_request_with_a_lost_connection_keeps_its_slot_until_its_work_ends() -> None:
    network = MemoryNetwork()
    upstream = serve_upstream(network)
    waiting = call(network, "GET", f"{upstream.url}/?work_ms=500")
    network.settle()
    waiting.cancel()
    network.settle()
    state_url = f"{upstream.control_url}/state"
    assert answer(network, "GET", state_url)[1]["running"] == 1
    network.advance(0.5)
    state = answer(network, "GET", state_url)[1]
    assert (state["running"], state["connections"]) == (0, 0)


def test_refusing_upstream_rejects_connections_until_the_fault_is_cleared() -> None:
    network = MemoryNetwork()
    upstream = serve_upstream(network)
    set_faults(network, upstream, mode="refuse_connections")
    assert isinstance(network.wait(call(network, "GET", upstream.url)), Failure)
    set_faults(network, upstream)
    assert answer(network, "GET", upstream.url)[0] == 200
