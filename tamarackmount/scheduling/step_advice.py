"""Permissions to run steps on workers, where a queue's policy asks for them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.ids import Instant, WorkerId
from tamarackmount.scheduling.model import WorkerIncarnation
from tamarackmount.units import MS_PER_SECOND

TICKET_MARGIN_S = 0.15
"""Tickets that end within this are not used, in seconds: an order's longest way."""


@dataclass(frozen=True, slots=True)
class Permission:
    """A worker that may run the step, and the ticket that shows it."""

    worker_id: WorkerId
    ticket: str


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """The workers that may run a step, out of those asked for."""

    permissions: tuple[Permission, ...]
    valid_ms: float


@dataclass(slots=True)
class _Ticket:
    text: str
    ends: Instant
    incarnation: WorkerIncarnation


@dataclass(slots=True)
class StepAdvice:
    """What is known about who may run one step.

    Which workers are allowed never changes; tickets end and are asked for again. There
    is nothing to ask before ``next_check_at``.
    """

    allowed: set[WorkerId] = field(default_factory=set)
    refused: set[WorkerId] = field(default_factory=set)
    request_in_flight: bool = False
    retry_at: Instant = Instant(0.0)
    next_check_at: Instant = Instant(0.0)
    _tickets_by_worker: dict[WorkerId, _Ticket] = field(default_factory=dict)
    _first_end: Instant = Instant(float("inf"))
    _last_end: Instant = Instant(0.0)

    def record_answer(
        self,
        incarnations: Iterable[WorkerIncarnation],
        answer: AdviceAnswer,
        now: Instant,
    ) -> None:
        """Take an answer that has just come for the workers asked about."""
        ends = Instant(now + answer.valid_ms / MS_PER_SECOND)
        ticket_by_worker = {row.worker_id: row.ticket for row in answer.permissions}
        for incarnation in incarnations:
            text = ticket_by_worker.get(incarnation.worker_id)
            if text is None:
                self.refused.add(incarnation.worker_id)
                continue
            self.allowed.add(incarnation.worker_id)
            self._tickets_by_worker[incarnation.worker_id] = _Ticket(
                text, ends, incarnation
            )
        tickets = self._tickets_by_worker.values()
        self._first_end = min((row.ends for row in tickets), default=self._first_end)
        self._last_end = max((row.ends for row in tickets), default=self._last_end)

    def has_ticket(self, now: Instant) -> bool:
        """Tell whether any ticket may be used now."""
        return self._last_end >= now + TICKET_MARGIN_S

    def all_tickets_valid(self, now: Instant) -> bool:
        """Tell whether every ticket may be used now."""
        return self._first_end >= now + TICKET_MARGIN_S

    def usable_ticket(self, incarnation: WorkerIncarnation, now: Instant) -> str:
        """Return a ticket that may be used now, or an empty text."""
        found = self._tickets_by_worker.get(incarnation.worker_id)
        if (
            found is None
            or found.incarnation != incarnation
            or found.ends < now + TICKET_MARGIN_S
        ):
            return ""
        return found.text

    def discard_ticket(self, incarnation: WorkerIncarnation) -> None:
        """Forget a ticket that a worker did not take."""
        self._first_end = Instant(0.0)
        self._tickets_by_worker.pop(incarnation.worker_id, None)
