"""Client of the platform's log service.

Assumptions:

- An append takes effect completely or not at all, at most once per call, and the
  offsets of its records are consecutive.
- A status other than 200 means that an append had no effect.
- An append whose response is lost may take effect later, even after records that were
  appended afterwards; no bound on the delay is known.
- Offsets start at 1, grow by one per record and are never reused.
- Every reader gets the same record at the same offset until retention drops it.
- The service does not remove duplicates: a record sent twice is stored twice, also
  if both have the same id.
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
    """How a call to the log service failed.

    With ``UNAVAILABLE`` and ``REJECTED`` the call had no effect; ``REJECTED`` means
    that the call is invalid. With ``OUTCOME_UNKNOWN`` the records may be in the log
    or may be added later: read the log and look for their ids.
    """

    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class LogError:
    """A failed call to the log service."""

    fault: LogFault
    detail: str


FIRST_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status of a server error; such errors are treated as temporary."""


class LogClient:
    """Appends to the platform's log and reads from it."""

    def __init__(
        self, reactor: ClientReactor, url: str, call_timeout_s: float = 5.0
    ) -> None:
        """Call the service at ``url``, such as ``http://10.0.0.1:80``."""
        self._http = JsonHttpClient(reactor, call_timeout_s)
        self._url = url.rstrip("/")

    def append(self, records: list[NewRecord]) -> "Deferred[Result[Offset, LogError]]":
        """Append records as one group and return the offset of the first."""
        body = AppendRequest(records=records)
        called = self._http.post(f"{self._url}/append", body, AppendReply)
        return called.addCallback(
            lambda result: result.map(_first_offset).alt(_append_error)
        )

    def read(
        self, from_offset: Offset, limit: int
    ) -> "Deferred[Result[RecordPage, LogError]]":
        """Read up to ``limit`` records, starting at ``from_offset``.

        A page larger than ``MAX_RESPONSE_BYTES`` fails with ``UNAVAILABLE``; the
        caller should ask for fewer records.
        """
        url = f"{self._url}/records?from={from_offset}&limit={limit}"
        called = self._http.get(url, RecordPage)
        return called.addCallback(lambda result: result.alt(_read_error))

    def close(self) -> "Deferred[None]":
        """Close idle connections."""
        return self._http.close()


def _first_offset(response: AppendReply) -> Offset:
    return response.first_offset


_APPEND_FAULT_BY_HTTP_FAULT = {
    HttpFault.UNREACHABLE: LogFault.UNAVAILABLE,
    HttpFault.NO_RESPONSE: LogFault.OUTCOME_UNKNOWN,
    HttpFault.MALFORMED: LogFault.OUTCOME_UNKNOWN,
}


def _append_error(error: HttpError) -> LogError:
    if error.fault is HttpFault.REFUSED:
        return LogError(_fault_of_status(error.status), error.detail)
    return LogError(_APPEND_FAULT_BY_HTTP_FAULT[error.fault], error.detail)


def _read_error(error: HttpError) -> LogError:
    if error.fault is HttpFault.REFUSED:
        return LogError(_fault_of_status(error.status), error.detail)
    return LogError(LogFault.UNAVAILABLE, error.detail)


def _fault_of_status(status: int) -> LogFault:
    if status >= FIRST_SERVER_ERROR_STATUS:
        return LogFault.UNAVAILABLE
    return LogFault.REJECTED
