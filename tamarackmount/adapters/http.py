"""JSON over HTTP, as the platform's services speak it.

Assumptions: a service answers 200 with one JSON object that matches its schema,
and any other status means that the call was refused. Services keep idle
connections for longer than ``IDLE_CONNECTION_S``.
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
"""Largest answer taken from the platform, in bytes."""

CONNECT_TIMEOUT_S = 2.0
"""Longest wait for a connection to the platform, in seconds."""

IDLE_PER_HOST = 2
"""Idle connections kept to each address of the platform."""

CALL_TIMEOUT_S = 5.0
"""Longest wait for a whole answer of the platform, in seconds."""

OK = 200
"""Status of every answer that is no refusal."""

JSON_HEADERS = (HttpHeader("Content-Type", "application/json"),)
"""Headers of every call."""

MAX_DETAIL_CHARACTERS = 500
"""Longest text of a refusal kept in an error."""


class HttpFault(Enum):
    """How a call failed.

    ``UNREACHABLE`` means that nothing was sent and ``REFUSED`` that the service
    answered with another status than 200. With ``NO_REPLY`` and ``MALFORMED`` the
    call may have taken effect.
    """

    UNREACHABLE = "unreachable"
    NO_REPLY = "no_reply"
    REFUSED = "refused"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class HttpError:
    """A failed call; ``status`` and ``body`` are those of a refusal."""

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
    """Calls a JSON service and checks each answer against its schema."""

    def __init__(
        self, reactor: ClientReactor, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Wait at most ``call_timeout_s`` for each whole answer."""
        limits = Limits(IDLE_PER_HOST, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES)
        self._exchanger = HttpExchanger(reactor, limits)
        self._call_timeout_s = call_timeout_s

    def get(self, url: str, answer_type: type[T]) -> "Deferred[Result[T, HttpError]]":
        """Call ``GET``."""
        return self._call("GET", url, b"", answer_type)

    def post(
        self, url: str, body: BaseModel, answer_type: type[T]
    ) -> "Deferred[Result[T, HttpError]]":
        """Call ``POST`` with a body."""
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
        return sent.addCallback(_reader(answer_type))


def _reader(answer_type: type[T]) -> Callable[[ExchangeResult], Result[T, HttpError]]:
    def read(result: ExchangeResult) -> Result[T, HttpError]:
        if isinstance(result, Failure):
            return Failure(_exchange_error(result.failure()))
        return _read_answer(result.unwrap(), answer_type)

    return read


def _exchange_error(error: ExchangeError) -> HttpError:
    return HttpError(_FAULT_BY_EXCHANGE_FAULT[error.fault], error.detail)


def _read_answer(answer: Answer, answer_type: type[T]) -> Result[T, HttpError]:
    if answer.status != OK:
        detail = answer.body[:MAX_DETAIL_CHARACTERS].decode("utf-8", "replace")
        return Failure(HttpError(HttpFault.REFUSED, detail, answer.status, answer.body))
    try:
        return Success(answer_type.model_validate_json(answer.body))
    except ValidationError as error:
        return Failure(HttpError(HttpFault.MALFORMED, str(error)))
