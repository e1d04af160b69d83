"""Client for JSON over HTTP, which the platform's services use.

Assumptions: a service responds with 200 and one JSON object that matches its schema,
and any other status means that the call was refused. Services keep idle
connections open for longer than ``IDLE_CONNECTION_S``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from tamarackmount.adapters.http_exchange import (
    Answer,
    ExchangeError,
    ExchangeFault,
    ExchangeResult,
    HttpExchanger,
)
from tamarackmount.adapters.http_wire import Limits
from tamarackmount.adapters.reactor import ClientReactor
from tamarackmount.ids import Instant
from tamarackmount.kernel.messages import HttpHeader

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response accepted from the platform, in bytes."""

CONNECT_TIMEOUT_S = 2.0
"""Time-out of connecting to the platform, in seconds."""

MAX_IDLE_PER_HOST = 2
"""Largest number of idle connections to each address of the platform."""

CALL_TIMEOUT_S = 5.0
"""Default time-out of a call, up to its complete response, in seconds."""

STATUS_OK = 200
"""The only HTTP status that counts as success."""

JSON_HEADERS = (HttpHeader("Content-Type", "application/json"),)
"""Headers of every request."""

MAX_DETAIL_BYTES = 500
"""Length at which the text of a refusal is truncated, in bytes."""


class HttpFault(Enum):
    """How a call failed.

    ``UNREACHABLE`` means that nothing was sent, and ``REFUSED`` that the service
    responded with a status other than 200. ``NO_RESPONSE`` means that the response is
    missing or truncated, and ``MALFORMED`` that it was too large or did not match its
    schema; in both cases the call may have taken effect.
    """

    UNREACHABLE = "unreachable"
    NO_RESPONSE = "no_reply"
    REFUSED = "refused"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class HttpError:
    """A failed call; ``status`` and ``body`` are set only for a refusal."""

    fault: HttpFault
    detail: str
    status: int = 0
    body: bytes = b""


T = TypeVar("T", bound=BaseModel)

_FAULT_BY_EXCHANGE_FAULT = {
    ExchangeFault.NOT_SENT: HttpFault.UNREACHABLE,
    ExchangeFault.NO_RESPONSE: HttpFault.NO_RESPONSE,
    ExchangeFault.TRUNCATED: HttpFault.NO_RESPONSE,
    ExchangeFault.TOO_LARGE: HttpFault.MALFORMED,
}


class JsonHttpClient:
    """Calls JSON services and validates each response against its schema."""

    def __init__(
        self, reactor: ClientReactor, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Wait at most ``call_timeout_s`` for each complete response."""
        limits = Limits(MAX_IDLE_PER_HOST, CONNECT_TIMEOUT_S, MAX_RESPONSE_BYTES)
        self._exchanger = HttpExchanger(reactor, limits)
        self._call_timeout_s = call_timeout_s

    def get(self, url: str, response_type: type[T]) -> "Deferred[Result[T, HttpError]]":
        """Send a ``GET`` request."""
        return self._call("GET", url, b"", response_type)

    def post(
        self, url: str, body: BaseModel, response_type: type[T]
    ) -> "Deferred[Result[T, HttpError]]":
        """Send a ``POST`` request with ``body`` as JSON."""
        text = body.model_dump_json().encode()
        return self._call("POST", url, text, response_type)

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._exchanger.close()

    def _call(
        self, method: str, url: str, body: bytes, response_type: type[T]
    ) -> "Deferred[Result[T, HttpError]]":
        deadline = Instant(self._exchanger.seconds() + self._call_timeout_s)
        sent = self._exchanger.send(method, url, JSON_HEADERS, body, deadline)
        return sent.addCallback(_response_parser(response_type))


def _response_parser(
    response_type: type[T],
) -> Callable[[ExchangeResult], Result[T, HttpError]]:
    def parse(result: ExchangeResult) -> Result[T, HttpError]:
        if isinstance(result, Failure):
            return Failure(_to_http_error(result.failure()))
        return _parse_response(result.unwrap(), response_type)

    return parse


def _to_http_error(error: ExchangeError) -> HttpError:
    return HttpError(_FAULT_BY_EXCHANGE_FAULT[error.fault], error.detail)


def _parse_response(response: Answer, response_type: type[T]) -> Result[T, HttpError]:
    if response.status != STATUS_OK:
        detail = response.body[:MAX_DETAIL_BYTES].decode("utf-8", "replace")
        return Failure(
            HttpError(HttpFault.REFUSED, detail, response.status, response.body)
        )
    try:
        return Success(response_type.model_validate_json(response.body))
    except ValidationError as error:
        return Failure(HttpError(HttpFault.MALFORMED, str(error)))
