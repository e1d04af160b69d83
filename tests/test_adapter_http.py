"""HTTP exchanges: complete responses, and failures before and after sending."""

from typing import Any

import pytest
from pydantic import BaseModel
from returns.result import Failure, Success
from twisted.internet.protocol import Factory, Protocol

from tamarackmount.adapters.http import HttpFault, JsonHttpClient
from tamarackmount.adapters.http_exchange import (
    ExchangeFault,
    HttpExchanger,
)
from tamarackmount.adapters.http_wire import IDLE_CONNECTION_S, Limits
from tamarackmount.ids import Instant
from tamarackmount.kernel.messages import HttpHeader
from tests.utils.memory_network import MemoryNetwork
from tests.utils.serve_platform import serve_bytes, serve_log, serve_upstream

LIMITS = Limits(idle_per_host=1, connect_timeout_s=1.0, max_response_bytes=20)
DEADLINE = Instant(10.0)


class Colour(BaseModel):
    shade: int


class CannedServer(Protocol):
    """Responds to any bytes with fixed bytes, and may then close the connection."""

    response: bytes = b""
    closes_after_response = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.write(self.response)
        if self.closes_after_response:
            transport.loseConnection()


def serve_canned(
    network: MemoryNetwork, canned_response: bytes, close_after_response: bool = False
) -> str:
    class CannedResponse(CannedServer):
        response = canned_response
        closes_after_response = close_after_response

    port = serve_bytes(network, Factory.forProtocol(CannedResponse))
    return f"http://127.0.0.1:{port}/"


def fault_of(
    network: MemoryNetwork, url: str, deadline: Instant = DEADLINE
) -> ExchangeFault:
    exchanger = HttpExchanger(network, LIMITS)
    result = network.wait(exchanger.send("GET", url, [], b"", deadline))
    assert isinstance(result, Failure), result
    fault: ExchangeFault = result.failure().fault
    return fault


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("response", "fault"),
    [
        (b"", ExchangeFault.NO_RESPONSE),
        (b"HTTP/1.1 2", ExchangeFault.NO_RESPONSE),
        (b"\x00\x01\r\n\r\n", ExchangeFault.NO_RESPONSE),
        (OK + b"Content-Length: 9\r\n\r\nbook", ExchangeFault.TRUNCATED),
        (OK + b"\r\nbook", ExchangeFault.TRUNCATED),
        (CHUNKED + b"4\r\nbook\r\n", ExchangeFault.TRUNCATED),
        (CHUNKED + b"zz\r\nbook\r\n", ExchangeFault.TRUNCATED),
        (
            OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbook",
            ExchangeFault.NO_RESPONSE,
        ),
        (OK + b"Content-Length: 21\r\n\r\n" + b"x" * 21, ExchangeFault.TOO_LARGE),
    ],
)
def test_an_incomplete_response_is_a_failure(
    response: bytes, fault: ExchangeFault
) -> None:
    network = MemoryNetwork()
    assert (
        fault_of(network, serve_canned(network, response, close_after_response=True))
        is fault
    )


@pytest.mark.parametrize(
    "canned_response",
    [
        OK + b"Content-Length: 4\r\n\r\nbook",
        CHUNKED + b"2\r\nbo\r\n2\r\nok\r\n0\r\n\r\n",
    ],
)
def test_a_complete_response_is_accepted(canned_response: bytes) -> None:
    network = MemoryNetwork()
    exchanger = HttpExchanger(network, LIMITS)
    url = serve_canned(network, canned_response)
    response = network.wait(exchanger.send("GET", url, [], b"", DEADLINE)).unwrap()
    assert (response.status, response.body) == (200, b"book")


def test_a_failed_connection_means_not_sent() -> None:
    network = MemoryNetwork()
    assert fault_of(network, "http://127.0.0.1:9/") is ExchangeFault.NOT_SENT
    network.dead_ports.add(9)
    assert fault_of(network, "http://127.0.0.1:9/") is ExchangeFault.NOT_SENT
    assert network.seconds() == LIMITS.connect_timeout_s


def test_a_deadline_while_connecting_means_not_sent() -> None:
    network = MemoryNetwork()
    network.dead_ports.add(9)
    fault = fault_of(network, "http://127.0.0.1:9/", Instant(0.4))
    assert fault is ExchangeFault.NOT_SENT
    assert network.seconds() == 0.4


def test_a_deadline_that_passed_already_means_not_sent() -> None:
    network = MemoryNetwork()
    url = serve_canned(network, OK + b"Content-Length: 0\r\n\r\n")
    assert fault_of(network, url, Instant(0.0)) is ExchangeFault.NOT_SENT
    assert network.connects == 0


@pytest.mark.parametrize(
    ("response", "fault"),
    [
        (b"", ExchangeFault.NO_RESPONSE),
        (OK + b"Content-Length: 9\r\n\r\nbook", ExchangeFault.TRUNCATED),
    ],
)
def test_the_deadline_aborts_an_exchange_that_was_sent(
    response: bytes, fault: ExchangeFault
) -> None:
    network = MemoryNetwork()
    assert fault_of(network, serve_canned(network, response), Instant(0.4)) is fault
    assert network.seconds() == 0.4
    assert network.open_connections == 0


def test_a_request_on_a_connection_that_just_closed_is_not_retried() -> None:
    network = MemoryNetwork()
    exchanger = HttpExchanger(network, LIMITS)
    url = serve_canned(network, OK + b"Content-Length: 0\r\n\r\n")
    network.wait(exchanger.send("GET", url, [], b"", DEADLINE)).unwrap()
    network.close_servers_silently()
    result = network.wait(exchanger.send("GET", url, [], b"", DEADLINE))
    assert result.failure().fault is ExchangeFault.NO_RESPONSE
    assert network.connects == 1


@pytest.mark.parametrize(("idle", "connects"), [(0, 4), (1, 3), (2, 2)])
def test_idle_connections_are_bounded(idle: int, connects: int) -> None:
    network = MemoryNetwork()
    exchanger = HttpExchanger(network, Limits(idle, 1.0, 100))
    url = serve_canned(network, OK + b"Content-Length: 0\r\n\r\n")
    for _ in range(2):
        both = [exchanger.send("GET", url, [], b"", DEADLINE) for _ in range(2)]
        for pending in both:
            network.wait(pending).unwrap()
    assert network.connects == connects


def test_an_idle_connection_is_closed_after_its_timeout() -> None:
    network = MemoryNetwork()
    exchanger = HttpExchanger(network, LIMITS)
    url = serve_canned(network, OK + b"Content-Length: 0\r\n\r\n")
    network.wait(exchanger.send("GET", url, [], b"", DEADLINE)).unwrap()
    assert network.open_connections == 1
    network.advance(IDLE_CONNECTION_S)
    assert network.open_connections == 0


def test_a_finished_exchange_leaves_no_timer() -> None:
    network = MemoryNetwork()
    exchanger = HttpExchanger(network, LIMITS)
    url = serve_canned(network, OK + b"Content-Length: 0\r\n\r\n")
    network.wait(exchanger.send("GET", url, [], b"", DEADLINE)).unwrap()
    network.wait(exchanger.close())
    assert network.call_times == []


def test_a_client_without_idle_connections_asks_the_server_to_close() -> None:
    network = MemoryNetwork()
    exchanger = HttpExchanger(network, Limits(0, 1.0, 1_000))
    url = f"{serve_upstream(network).url}/"
    response = network.wait(exchanger.send("GET", url, [], b"", DEADLINE)).unwrap()
    assert b'"connection": "close"' in response.body


@pytest.mark.parametrize(
    ("method", "url", "header"),
    [
        ("GE T", "http://127.0.0.1:9/", HttpHeader("A", "b")),
        ("GET", "http://127.0.0.1:9/a b", HttpHeader("A", "b")),
        ("GET", "http://127.0.0.1:9/\u6771", HttpHeader("A", "b")),
        ("GET", "http://127.0.0.1:9/", HttpHeader("A", "\u6771")),
        ("GET", "http://127.0.0.1:9/", HttpHeader("A b:", "c")),
    ],
)
def test_a_request_that_cannot_be_encoded_is_not_sent(
    method: str, url: str, header: HttpHeader
) -> None:
    network = MemoryNetwork()
    exchanger = HttpExchanger(network, LIMITS)
    result = network.wait(exchanger.send(method, url, [header], b"", DEADLINE))
    assert result.failure().fault is ExchangeFault.NOT_SENT
    assert network.tcpClients == []


def test_json_responses_are_validated_against_their_schema() -> None:
    network = MemoryNetwork()
    client = JsonHttpClient(network)
    good = serve_canned(network, OK + b'Content-Length: 11\r\n\r\n{"shade":7}')
    assert network.wait(client.get(good, Colour)) == Success(Colour(shade=7))
    bad = serve_canned(network, OK + b"Content-Length: 2\r\n\r\n{}")
    result = network.wait(client.get(bad, Colour))
    assert result.failure().fault is HttpFault.MALFORMED


def test_another_status_is_a_refusal_with_its_body() -> None:
    network = MemoryNetwork()
    url = f"{serve_log(network).url}/elsewhere"
    error = network.wait(JsonHttpClient(network).get(url, Colour)).failure()
    assert (error.fault, error.status) == (HttpFault.REFUSED, 404)
    assert b"not_found" in error.body
