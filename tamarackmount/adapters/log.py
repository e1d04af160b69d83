"""Client of the platform's log service.

Assumptions:

- An append takes effect as a whole or not at all, at most once a call, and the
  offsets of its records are consecutive.
- A status other than 200 means that an append had no effect.
- An append whose reply is lost may take effect later, also after records that
  were appended afterwards; no bound is known.
- Offsets grow by one a record, start at 1, and are never used twice.
- Every reader gets the same record at the same offset, until retention drops it.
- The service does not tell writers' ids apart: a record sent twice is kept twice.
"""

from dataclasses import dataclass
from enum import Enum

from returns.result import Result
from twisted.internet.defer import Deferred

from tamarackmount.adapters.http import HttpError, HttpFault, JsonHttpClient
from tamarackmount.adapters.log_schema import (
    AppendReply,
    AppendRequest,
    NewRecord,
    RecordPage,
)
from tamarackmount.adapters.reactor import ClientReactor
from tamarackmount.ids import Offset


class LogFault(Enum):
    """How a call of the log failed.

    ``UNAVAILABLE`` and ``REJECTED`` had no effect, the latter because the call
    itself is wrong. With ``OUTCOME_UNKNOWN`` the records may be in the log or
    still get there: read it back for their ids.
    """

    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class LogError:
    """A failed call of the log."""

    fault: LogFault
    detail: str


FIRST_SERVER_STATUS = 500
"""Lowest status by which a server says that it cannot answer now."""


class LogClient:
    """Appends to the platform's log and reads it."""

    def __init__(
        self, reactor: ClientReactor, url: str, call_timeout_s: float = 5.0
    ) -> None:
        """Call the service at ``url``, such as ``http://10.0.0.1:80``."""
        self._http = JsonHttpClient(reactor, call_timeout_s)
        self._url = url.rstrip("/")

    def append(self, records: list[NewRecord]) -> "Deferred[Result[Offset, LogError]]":
        """Append records as one group; gives the offset of the first."""
        body = AppendRequest(records=records)
        called = self._http.post(f"{self._url}/append", body, AppendReply)
        return called.addCallback(
            lambda result: result.map(_first_offset).alt(_append_error)
        )

    def read(
        self, from_offset: Offset, limit: int
    ) -> "Deferred[Result[RecordPage, LogError]]":
        """Read up to ``limit`` records from an offset on.

        A page over ``MAX_ANSWER_BYTES`` is ``UNAVAILABLE``; ask for fewer records.
        """
        url = f"{self._url}/records?from={from_offset}&limit={limit}"
        called = self._http.get(url, RecordPage)
        return called.addCallback(lambda result: result.alt(_read_error))

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._http.close()


def _first_offset(reply: AppendReply) -> Offset:
    return reply.first_offset


_APPEND_FAULT_BY_HTTP_FAULT = {
    HttpFault.UNREACHABLE: LogFault.UNAVAILABLE,
    HttpFault.NO_REPLY: LogFault.OUTCOME_UNKNOWN,
    HttpFault.MALFORMED: LogFault.OUTCOME_UNKNOWN,
}


def _append_error(error: HttpError) -> LogError:
    if error.fault is HttpFault.REFUSED:
        return LogError(_refusal(error.status), error.detail)
    return LogError(_APPEND_FAULT_BY_HTTP_FAULT[error.fault], error.detail)


def _read_error(error: HttpError) -> LogError:
    if error.fault is HttpFault.REFUSED:
        return LogError(_refusal(error.status), error.detail)
    return LogError(LogFault.UNAVAILABLE, error.detail)


def _refusal(status: int) -> LogFault:
    if status >= FIRST_SERVER_STATUS:
        return LogFault.UNAVAILABLE
    return LogFault.REJECTED
