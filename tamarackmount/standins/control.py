"""What every stand-in shares: breaches, JSON answers and the control port."""

from dataclasses import asdict, dataclass
from typing import Any, Protocol

from pydantic import BaseModel, ConfigDict, ValidationError

from tamarackmount.standins.web import (
    Handler,
    HandlerResource,
    WebRequest,
    answer_invalid,
    answer_json,
    answer_not_found,
    read_body,
    segments,
)

MAX_BREACHES = 1_000
"""Number of breaches kept in full; later ones are only counted."""


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule, as a stand-in saw it."""

    rule: str
    detail: str


class BreachLog:
    """Breaches in the order in which they were seen."""

    def __init__(self) -> None:
        """Start without any breach."""
        self.breaches: list[Breach] = []
        self.dropped = 0

    def add(self, rule: str, detail: str) -> None:
        """Note a breach."""
        if len(self.breaches) >= MAX_BREACHES:
            self.dropped += 1
            return
        self.breaches.append(Breach(rule, detail))


class FaultBody(BaseModel):
    """Base of the bodies of ``POST /faults``; unknown fields are refused.

    A body replaces all faults: a field left out goes back to its default, so
    ``{}`` ends every fault.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


class Controlled(Protocol):
    """A stand-in's logic, as its control port sees it."""

    @property
    def breach_log(self) -> BreachLog:
        """Breaches seen so far."""

    def state(self) -> dict[str, Any]:
        """Return whatever a harness may want to read, fit for JSON."""

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raises pydantic's ``ValidationError``."""


class ControlResource(HandlerResource):
    """The control port: ``/breaches``, ``/state`` and ``/faults``.

    ``extra`` gets the requests for other paths and answers ``None`` for those
    that it does not know either.
    """

    def __init__(
        self, controlled: Controlled, extra: Handler = lambda request: None
    ) -> None:
        """Serve the control port of ``controlled``."""
        super().__init__(self._answer)
        self._controlled = controlled
        self._extra = extra
        self._handlers_by_route: dict[tuple[bytes, str], Handler] = {
            (b"GET", "breaches"): self._breaches,
            (b"GET", "state"): self._state,
            (b"POST", "faults"): self._faults,
        }

    def _answer(self, request: WebRequest) -> bytes:
        route = (request.method, "/".join(segments(request)))
        handler = self._handlers_by_route.get(route, self._extra)
        body = handler(request)
        if body is None:
            return answer_not_found(request)
        return body

    def _breaches(self, request: WebRequest) -> bytes:
        log = self._controlled.breach_log
        breaches = [asdict(breach) for breach in log.breaches]
        return answer_json(request, 200, {"breaches": breaches})

    def _state(self, request: WebRequest) -> bytes:
        return answer_json(request, 200, self._controlled.state())

    def _faults(self, request: WebRequest) -> bytes:
        try:
            self._controlled.set_faults_json(read_body(request))
        except ValidationError as error:
            return answer_invalid(request, error)
        return answer_json(request, 200, {})
