"""Estimates of waiting times, and refusal of requests that cannot be served in time."""

from tamarackmount.ids import Instant, QueueName
from tamarackmount.kernel.messages import RefusalReason
from tamarackmount.kernel.request_effects import remaining_ms
from tamarackmount.kernel.request_queue import WaitingTicket
from tamarackmount.kernel.request_queues import RequestQueues
from tamarackmount.kernel.slots import SlotLedger
from tamarackmount.kernel.upstream_health import UpstreamHealth
from tamarackmount.units import MS_PER_SECOND

MIN_RETRY_AFTER_MS = 50
"""Minimum retry-after time of a refusal, in milliseconds."""

DEFAULT_RETRY_AFTER_MS = 1_000
"""Retry-after time while the release rate is unknown, in milliseconds."""


class Admission:
    """Decides whether a request can get a slot in time.

    The estimate uses the rate at which slots are released while all are in use: the
    number of usable slots divided by the median service time.
    """

    def __init__(
        self, queues: RequestQueues, ledger: SlotLedger, health: UpstreamHealth
    ) -> None:
        """Use the queues, slots and upstream health of a dispatcher."""
        self._queues = queues
        self._ledger = ledger
        self._health = health

    def release_rate(self, service: str) -> float | None:
        """Return slot releases per second under load; ``None`` while unknown."""
        median_s = self._health.median_s(service)
        slots = self._ledger.usable_slots(service)
        if median_s is None or median_s <= 0 or slots == 0:
            return None
        return slots / median_s

    def wait_ms(self, queue: QueueName) -> int | None:
        """Return the time to serve the whole queue, in ms; ``None`` while unknown."""
        rules = self._queues.rules(queue)
        release_rate = None if rules is None else self.release_rate(rules.service)
        if release_rate is None:
            return None
        return int(len(self._queues.queue(queue)) / release_rate * MS_PER_SECOND)

    def retry_after_ms(self, queue: QueueName, now: Instant) -> int:
        """Return after how many milliseconds a refused request may be retried."""
        wait_ms = self.wait_ms(queue)
        if wait_ms is not None:
            return max(MIN_RETRY_AFTER_MS, wait_ms)
        until = self._ledger.quarantined_until
        if until is None:
            return DEFAULT_RETRY_AFTER_MS
        return max(MIN_RETRY_AFTER_MS, remaining_ms(until, now))

    def refusal_reason(
        self, ticket: WaitingTicket, now: Instant
    ) -> RefusalReason | None:
        """Return why a new request cannot be served, or ``None`` if it can be."""
        request = ticket.request
        rules = self._queues.rules(request.queue)
        if rules is None:
            return RefusalReason.UNKNOWN_QUEUE
        if ticket.deadline <= now:
            return RefusalReason.DEADLINE
        if self._queues.limits(request.team_id).running_requests == 0:
            return RefusalReason.CEILING
        if not self._ledger.serves(rules.service, request.excluded):
            return RefusalReason.NO_UPSTREAM
        return self._reason_if_too_late(ticket, rules.service, now)

    def is_quarantined_past_deadline(self, ticket: WaitingTicket, service: str) -> bool:
        """Return whether every slot is quarantined until the deadline or longer."""
        until = self._ledger.quarantined_until
        if until is None or self._ledger.usable_slots(service):
            return False
        return until >= ticket.deadline

    def _reason_if_too_late(
        self, ticket: WaitingTicket, service: str, now: Instant
    ) -> RefusalReason | None:
        request = ticket.request
        request_queue = self._queues.queue(request.queue)
        at_ceiling = self._queues.at_ceiling(request.team_id)
        if not at_ceiling and self._ledger.has_free(service):
            return None
        release_rate = self.release_rate(service)
        if release_rate is None:
            return None
        releases = request_queue.releases_until_turn(request.team_id)
        reason = RefusalReason.DEADLINE
        if at_ceiling:
            own_releases = (
                request_queue.waiting(request.team_id) + 1
            ) / self._team_release_fraction(ticket)
            releases = max(releases, own_releases)
            reason = RefusalReason.CEILING
        if now + releases / release_rate < ticket.deadline:
            return None
        return reason

    def _team_release_fraction(self, ticket: WaitingTicket) -> float:
        """Return the fraction of the service's releases that come from the team."""
        request = ticket.request
        rules = self._queues.rules(request.queue)
        slots = 0 if rules is None else self._ledger.usable_slots(rules.service)
        return max(1, self._queues.running(request.team_id)) / max(1, slots)
