"""Tickets of the advice service, each of which allows a step to run on one worker.

Steps need them if their queue has an advice policy. A ticket is usable until
``TICKET_MARGIN_S`` before it expires.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.ids import Instant, WorkerId
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.units import MS_PER_SECOND

TICKET_MARGIN_S = 0.15
"""Tickets that expire within this time are not used, in seconds: the longest time that
an order takes to reach its worker."""


@dataclass(frozen=True, slots=True)
class WorkerTicket:
    """A worker that may run a step, and the ticket that proves it."""

    worker_id: WorkerId
    ticket: str


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """Tickets for those workers of a request that may run the step."""

    tickets: tuple[WorkerTicket, ...]
    valid_ms: float


@dataclass(slots=True)
class _Ticket:
    text: str
    expires_at: Instant
    incarnation: WorkerIncarnation


@dataclass(slots=True)
class StepAdvice:
    """The advice service's decisions about one step, and its tickets.

    ``allowed`` has the incarnation of each allowed worker for which the newest ticket
    was given. Whether a worker is allowed never changes; tickets expire, or end with
    the incarnation, and are requested again.
    No request is sent before ``retry_at``, the retry time after an unanswered one, or
    before ``next_check_at``, the time of the next check for missing or expiring
    tickets.
    """

    allowed: dict[WorkerId, WorkerIncarnation] = field(default_factory=dict)
    refused: set[WorkerId] = field(default_factory=set)
    request_in_flight: bool = False
    retry_at: Instant = Instant(0.0)
    next_check_at: Instant = Instant(0.0)
    _tickets_by_worker: dict[WorkerId, _Ticket] = field(default_factory=dict)
    _earliest_expiry: Instant = Instant(float("inf"))
    _latest_expiry: Instant = Instant(0.0)

    def record_answer(
        self,
        incarnations: Iterable[WorkerIncarnation],
        answer: AdviceAnswer,
        now: Instant,
    ) -> None:
        """Record an answer that has just arrived for the requested workers."""
        expires_at = Instant(now + answer.valid_ms / MS_PER_SECOND)
        ticket_by_worker = {row.worker_id: row.ticket for row in answer.tickets}
        for incarnation in incarnations:
            text = ticket_by_worker.get(incarnation.worker_id)
            if text is None:
                self.refused.add(incarnation.worker_id)
                continue
            self.allowed[incarnation.worker_id] = incarnation
            self._tickets_by_worker[incarnation.worker_id] = _Ticket(
                text, expires_at, incarnation
            )
        tickets = self._tickets_by_worker.values()
        self._earliest_expiry = min(
            (row.expires_at for row in tickets), default=self._earliest_expiry
        )
        self._latest_expiry = max(
            (row.expires_at for row in tickets), default=self._latest_expiry
        )

    def has_usable_ticket(self, at: Instant) -> bool:
        """Tell whether any ticket is usable at this time."""
        return self._latest_expiry >= at + TICKET_MARGIN_S

    def all_tickets_usable(self, at: Instant) -> bool:
        """Tell whether every ticket is usable at this time."""
        return self._earliest_expiry >= at + TICKET_MARGIN_S

    def usable_ticket(self, incarnation: WorkerIncarnation, at: Instant) -> str:
        """Return a worker's ticket if it is usable then, or an empty string."""
        found = self._tickets_by_worker.get(incarnation.worker_id)
        if (
            found is None
            or found.incarnation != incarnation
            or found.expires_at < at + TICKET_MARGIN_S
        ):
            return ""
        return found.text

    def discard_ticket(self, incarnation: WorkerIncarnation) -> None:
        """Discard a ticket that its worker refused."""
        # Reset, so that the next check finds the ticket missing and requests it again.
        self._earliest_expiry = Instant(0.0)
        self._tickets_by_worker.pop(incarnation.worker_id, None)

    def release_tickets(self, incarnations: Iterable[WorkerIncarnation]) -> None:
        """Forget the tickets for workers that may not start runs any more.

        They stay allowed: tickets for them are requested again once they may.
        """
        tickets = self._tickets_by_worker
        held = [one for one in incarnations if one.worker_id in tickets]
        if not held:
            return
        for incarnation in held:
            self.discard_ticket(incarnation)
        self._latest_expiry = max(
            (row.expires_at for row in tickets.values()), default=Instant(0.0)
        )
