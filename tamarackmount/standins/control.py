"""Breach log, fault settings and control port shared by all stand-ins."""

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
    path_segments,
    read_body,
)

MAX_BREACHES = 1_000
"""Largest number of breaches kept in full; later ones are only counted."""


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule, detected by a stand-in."""

    rule: str
    detail: str


class BreachLog:
    """Breaches in the order in which they were detected."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self.breaches: list[Breach] = []
        self.dropped = 0

    def add(self, rule: str, detail: str) -> None:
        """Record a breach, or only count it when the log is full."""
        if len(self.breaches) >= MAX_BREACHES:
            self.dropped += 1
            return
        self.breaches.append(Breach(rule, detail))


class FaultBody(BaseModel):
    """Base of the bodies of ``POST /faults``; unknown fields are rejected.

    A body replaces all faults: an omitted field returns to its default, so ``{}``
    clears every fault.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


class Controlled(Protocol):
    """A stand-in that can be inspected and set up through a control port."""

    @property
    def breach_log(self) -> BreachLog:
        """Breaches detected so far."""

    def state(self) -> dict[str, Any]:
        """Return counters and other state as JSON-serialisable values."""

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raise pydantic's ``ValidationError`` if invalid."""


class ControlResource(HandlerResource):
    """The control port: ``/breaches``, ``/state`` and ``/faults``.

    ``fallback`` handles the requests for all other paths and returns ``None`` for
    paths that it does not serve.
    """

    def __init__(
        self, controlled: Controlled, fallback: Handler = lambda request: None
    ) -> None:
        """Serve the control port of the stand-in ``controlled``."""
        super().__init__(self._answer)
        self._controlled = controlled
        self._fallback = fallback
        self._handlers_by_route: dict[tuple[bytes, str], Handler] = {
            (b"GET", "breaches"): self._breaches,
            (b"GET", "state"): self._state,
            (b"POST", "faults"): self._faults,
        }

    def _answer(self, request: WebRequest) -> bytes:
        route = (request.method, "/".join(path_segments(request)))
        handler = self._handlers_by_route.get(route, self._fallback)
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
