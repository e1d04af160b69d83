"""Estimates of waiting, and which requests cannot be served in time."""

from tamarackmount.ids import Instant, QueueName
from tamarackmount.kernel.messages import RefusalReason
from tamarackmount.kernel.request_effects import remaining_ms
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.request_queues import RequestQueues
from tamarackmount.kernel.slots import SlotLedger
from tamarackmount.kernel.upstream_health import UpstreamHealth
from tamarackmount.units import MS_PER_SECOND

SHORTEST_RETRY_MS = 50
"""Shortest time to come back that a refusal names, in milliseconds."""

UNKNOWN_RETRY_MS = 1_000
"""Time to come back while the pace of a line is unknown, in milliseconds."""


class Admission:
    """Judges requests by the pace of their line.

    The pace of a saturated line is the rate of releases: the usable slots over the
    median service time.
    """

    def __init__(
        self, board: RequestQueues, ledger: SlotLedger, health: UpstreamHealth
    ) -> None:
        """Judge by the state of the dispatcher's parts."""
        self._board = board
        self._ledger = ledger
        self._health = health

    def pace(self, service: str) -> float | None:
        """Return the releases a second under load; ``None`` while unknown."""
        median_s = self._health.median_s(service)
        slots = self._ledger.usable_slots(service)
        if median_s is None or median_s <= 0 or slots == 0:
            return None
        return slots / median_s

    def wait_ms(self, queue: QueueName) -> int | None:
        """Return how long the whole line takes; ``None`` while unknown."""
        rules = self._board.rules(queue)
        pace = None if rules is None else self.pace(rules.service)
        if pace is None:
            return None
        return int(len(self._board.line(queue)) / pace * MS_PER_SECOND)

    def retry_after_ms(self, queue: QueueName, now: Instant) -> int:
        """Return when a refused request may come back, in milliseconds."""
        wait_ms = self.wait_ms(queue)
        if wait_ms is not None:
            return max(SHORTEST_RETRY_MS, wait_ms)
        until = self._ledger.quarantined_until
        if until is None:
            return UNKNOWN_RETRY_MS
        return max(SHORTEST_RETRY_MS, remaining_ms(until, now))

    def reason_against(
        self, ticket: WaitingTicket, now: Instant
    ) -> RefusalReason | None:
        """Return why a new request cannot be served, if that is known already."""
        request = ticket.request
        rules = self._board.rules(request.queue)
        if rules is None:
            return RefusalReason.UNKNOWN_QUEUE
        if ticket.deadline <= now:
            return RefusalReason.DEADLINE
        if self._board.limits(request.team_id).running_requests == 0:
            return RefusalReason.CEILING
        if not self._ledger.serves(rules.service, request.excluded):
            return RefusalReason.NO_UPSTREAM
        return self._too_late(ticket, rules.service, now)

    def quarantined_past(self, ticket: WaitingTicket, service: str) -> bool:
        """Tell whether every slot is quarantined until after the deadline."""
        until = self._ledger.quarantined_until
        if until is None or self._ledger.usable_slots(service):
            return False
        return until >= ticket.deadline

    def _too_late(
        self, ticket: WaitingTicket, service: str, now: Instant
    ) -> RefusalReason | None:
        request = ticket.request
        line = self._board.line(request.queue)
        at_ceiling = self._board.at_ceiling(request.team_id)
        if not at_ceiling and self._ledger.has_free(service):
            return None
        pace = self.pace(service)
        if pace is None:
            return None
        turns = line.turns_ahead(request.team_id)
        reason = RefusalReason.DEADLINE
        if at_ceiling:
            own = (line.waiting(request.team_id) + 1) / self._team_pace_part(ticket)
            turns = max(turns, own)
            reason = RefusalReason.CEILING
        if now + turns / pace < ticket.deadline:
            return None
        return reason

    def _team_pace_part(self, ticket: WaitingTicket) -> float:
        """Return the part of the service's releases that are the team's own."""
        request = ticket.request
        rules = self._board.rules(request.queue)
        slots = 0 if rules is None else self._ledger.usable_slots(rules.service)
        return max(1, self._board.running(request.team_id)) / max(1, slots)
