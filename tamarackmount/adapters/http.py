"""Client for JSON over HTTP, which the platform's services use.

Assumptions: a service answers 200 with one JSON object that matches its schema,
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

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest answer accepted from the platform, in bytes."""

CONNECT_TIMEOUT_S = 2.0
"""Time-out of connecting to the platform, in seconds."""

MAX_IDLE_PER_HOST = 2
"""Largest number of idle connections to each address of the platform."""

CALL_TIMEOUT_S = 5.0
"""Default time-out of a call, up to its complete answer, in seconds."""

STATUS_OK = 200
"""The only HTTP status that counts as success."""

JSON_HEADERS = (HttpHeader("Content-Type", "application/json"),)
"""Headers of every request."""

MAX_DETAIL_BYTES = 500
"""Length at which the text of a refusal is truncated, in bytes."""


class HttpFault(Enum):
    """How a call failed.

    ``UNREACHABLE`` means that nothing was sent, and ``REFUSED`` that the service
    answered with a status other than 200. ``NO_REPLY`` means that no complete answer
    arrived, and ``MALFORMED`` that the answer was too large or did not match its
    schema; in both cases the call may have taken effect.
    """

    UNREACHABLE = "unreachable"
    NO_REPLY = "no_reply"
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
    ExchangeFault.NO_ANSWER: HttpFault.NO_REPLY,
    ExchangeFault.CUT_ANSWER: HttpFault.NO_REPLY,
    ExchangeFault.TOO_LARGE: HttpFault.MALFORMED,
}


class JsonHttpClient:
    """Calls JSON services and validates each answer against its schema."""

    def __init__(
        self, reactor: ClientReactor, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Wait at most ``call_timeout_s`` for each complete answer."""
        limits = Limits(MAX_IDLE_PER_HOST, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES)
        self._exchanger = HttpExchanger(reactor, limits)
        self._call_timeout_s = call_timeout_s

    def get(self, url: str, answer_type: type[T]) -> "Deferred[Result[T, HttpError]]":
        """Send a ``GET`` request."""
        return self._call("GET", url, b"", answer_type)

    def post(
        self, url: str, body: BaseModel, answer_type: type[T]
    ) -> "Deferred[Result[T, HttpError]]":
        """Send a ``POST`` request with ``body`` as JSON."""
        text = body.model_dump_json().encode()
        return self._call("POST", url, text, answer_type)

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._exchanger.close()

    def _call(
        self, method: str, url: str, body: bytes, answer_type: type[T]
    ) -> "Deferred[Result[T, HttpError]]":
        deadline = Instant(self._exchanger.seconds() + self._call_timeout_s)
        sent = self._exchanger.send(method, url, JSON_HEADERS, body, deadline)
        return sent.addCallback(_answer_parser(answer_type))


def _answer_parser(
    answer_type: type[T],
) -> Callable[[ExchangeResult], Result[T, HttpError]]:
    def parse(result: ExchangeResult) -> Result[T, HttpError]:
        if isinstance(result, Failure):
            return Failure(_to_http_error(result.failure()))
        return _parse_answer(result.unwrap(), answer_type)

    return parse


def _to_http_error(error: ExchangeError) -> HttpError:
    return HttpError(_FAULT_BY_EXCHANGE_FAULT[error.fault], error.detail)


def _parse_answer(answer: Answer, answer_type: type[T]) -> Result[T, HttpError]:
    if answer.status != STATUS_OK:
        detail = answer.body[:MAX_DETAIL_BYTES].decode("utf-8", "replace")
        return Failure(HttpError(HttpFault.REFUSED, detail, answer.status, answer.body))
    try:
        return Success(answer_type.model_validate_json(answer.body))
    except ValidationError as error:
        return Failure(HttpError(HttpFault.MALFORMED, str(error)))
