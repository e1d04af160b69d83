"""All queues of one data centre, and the number of slots that each team holds."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from tamarackmount.ids import Instant, MemberId, QueueName, TicketId, WorkspaceId
from tamarackmount.kernel.request_queue import RequestQueue, WaitingTicket
from tamarackmount.plugins.base import QueuePolicy
from tamarackmount.plugins.queue_policies import WaitingTimePolicy, queue_policies


@dataclass(frozen=True, slots=True)
class QueueRules:
    """Service, name of the policy and maximum number of waiting requests of a queue."""

    service: str
    policy: str = "waiting-time"
    max_waiting: int = 1_000


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """One team's share, a weight without unit, and its ceiling in the data centre.

    ``running_requests`` is the maximum number of requests that hold a slot at the
    same time; ``None`` means no limit.
    """

    share: float = 1.0
    running_requests: int | None = None


NO_LIMITS = RequestLimits()
"""Limits of a team that has no document."""


class RequestQueues:
    """Queues by name, and the running requests of each team."""

    def __init__(self) -> None:
        """Start without queues or teams."""
        self._rules_by_queue: dict[QueueName, QueueRules] = {}
        self._queues_by_name: dict[QueueName, RequestQueue] = {}
        self._queues_by_service: dict[str, list[QueueName]] = {}
        self._limits_by_team: dict[WorkspaceId, RequestLimits] = {}
        self._running_by_team: Counter[WorkspaceId] = Counter()
        self._running_by_queue: dict[QueueName, Counter[WorkspaceId]] = {}
        self._adopted_by_team: Counter[WorkspaceId] = Counter()
        self._quarantined_slots = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests in all queues."""
        return sum(
            len(request_queue) for request_queue in self._queues_by_name.values()
        )

    def services(self) -> list[str]:
        """Return the services that have at least one queue."""
        return list(self._queues_by_service)

    def queues(self) -> list[QueueName]:
        """Return the names of all queues."""
        return list(self._rules_by_queue)

    def rules(self, queue: QueueName) -> QueueRules | None:
        """Return the rules of a queue."""
        return self._rules_by_queue.get(queue)

    def queue(self, queue: QueueName) -> RequestQueue:
        """Return the queue with this name, which must have rules."""
        return self._queues_by_name[queue]

    def queues_of_service(self, service: str) -> list[RequestQueue]:
        """Return every queue of a service."""
        names = self._queues_by_service.get(service, [])
        return [self._queues_by_name[name] for name in names]

    def limits(self, team_id: WorkspaceId) -> RequestLimits:
        """Return the limits of a team."""
        return self._limits_by_team.get(team_id, NO_LIMITS)

    def running(self, team_id: WorkspaceId) -> int:
        """Return the number of slots that the team holds in the data centre."""
        return self._running_by_team[team_id]

    def running_by_team(self, queue: QueueName) -> dict[WorkspaceId, int]:
        """Return the number of slots that each team holds through a queue."""
        return dict(self._running_by_queue.get(queue, {}))

    def at_ceiling(self, team_id: WorkspaceId) -> bool:
        """Return whether the team may not get another slot."""
        ceiling = self.limits(team_id).running_requests
        if ceiling is None:
            return False
        adopted = self._adopted_by_team[team_id]
        # Lost members may hold slots of the team. The previous owner enforced the same
        # ceiling, so they hold at most the ceiling minus the slots that were reported,
        # and at most the number of quarantined slots.
        possibly_lost = min(self._quarantined_slots, max(0, ceiling - adopted))
        return self._running_by_team[team_id] + possibly_lost >= ceiling

    def set_queues(
        self, rules_by_queue: Mapping[QueueName, QueueRules]
    ) -> list[WaitingTicket]:
        """Replace the rules; return the waiting tickets of removed queues."""
        removed: list[WaitingTicket] = []
        for queue in list(self._queues_by_name):
            if queue not in rules_by_queue:
                removed += self._queues_by_name.pop(queue).tickets()
        self._rules_by_queue = dict(rules_by_queue)
        self._queues_by_service = {}
        for queue, rules in rules_by_queue.items():
            self._queues_by_service.setdefault(rules.service, []).append(queue)
            self._set_rules(queue, rules)
        return removed

    def set_teams(self, limits_by_team: Mapping[WorkspaceId, RequestLimits]) -> None:
        """Replace every team's limits."""
        changed = set(self._limits_by_team) | set(limits_by_team)
        self._limits_by_team = dict(limits_by_team)
        for team_id in changed:
            self._update_team(team_id)

    def set_quarantined(self, slots: int) -> None:
        """Set the number of slots that lost members may hold.

        They count towards the ceiling of each team.
        """
        if slots == self._quarantined_slots:
            return
        self._quarantined_slots = slots
        for team_id in self._limits_by_team:
            self._update_team(team_id)

    def set_slots(self, service: str, slots: int) -> None:
        """Set the number of slots that the queues of a service divide."""
        for request_queue in self.queues_of_service(service):
            request_queue.set_slots(slots)

    def add(self, ticket: WaitingTicket) -> None:
        """Append a ticket to its queue."""
        request = ticket.request
        request_queue = self._queues_by_name[request.queue]
        self._update_team_in_queue(request.queue, request_queue, request.team_id)
        request_queue.add(ticket)

    def find(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Return a waiting ticket."""
        for request_queue in self._queues_by_name.values():
            ticket = request_queue.get(ticket_id)
            if ticket is not None:
                return ticket
        return None

    def remove(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Remove and return a ticket; return ``None`` if it is not queued."""
        ticket = self.find(ticket_id)
        if ticket is None:
            return None
        return self._queues_by_name[ticket.request.queue].remove(ticket_id)

    def tickets(self) -> list[WaitingTicket]:
        """Return every waiting ticket."""
        request_queues = self._queues_by_name.values()
        return [
            ticket
            for request_queue in request_queues
            for ticket in request_queue.tickets()
        ]

    def pop_expired(self, now: Instant) -> list[WaitingTicket]:
        """Remove and return the tickets whose deadlines have passed."""
        request_queues = self._queues_by_name.values()
        return [
            ticket
            for request_queue in request_queues
            for ticket in request_queue.pop_expired(now)
        ]

    def remove_tickets_of(self, member_ids: frozenset[MemberId]) -> None:
        """Remove every ticket of these members."""
        for request_queue in self._queues_by_name.values():
            for ticket in request_queue.tickets():
                if ticket.member_id in member_ids:
                    request_queue.remove(ticket.request.ticket_id)

    def heads(self, service: str) -> Iterator[WaitingTicket]:
        """Yield the tickets that may get a slot of the service, best first.

        The queue whose first ticket is oldest comes first.
        """
        request_queues = [
            request_queue
            for request_queue in self.queues_of_service(service)
            if request_queue.has_candidates()
        ]
        request_queues.sort(
            key=lambda request_queue: next(request_queue.heads()).arrived_at
        )
        for request_queue in request_queues:
            yield from request_queue.heads()

    def loan_adopted(self, team_id: WorkspaceId, queue: QueueName) -> None:
        """Count a slot that a former owner lent to the team."""
        self._adopted_by_team[team_id] += 1
        self._count(team_id, queue, 1)

    def loan_started(self, team_id: WorkspaceId, queue: QueueName) -> None:
        """Count a slot that was lent to the team."""
        self._count(team_id, queue, 1)

    def loan_ended(self, team_id: WorkspaceId, queue: QueueName) -> None:
        """Count a slot that the team released."""
        self._count(team_id, queue, -1)

    def _count(self, team_id: WorkspaceId, queue: QueueName, change: int) -> None:
        self._running_by_team[team_id] += change
        by_team = self._running_by_queue.setdefault(queue, Counter())
        by_team[team_id] += change
        if not self._running_by_team[team_id]:
            del self._running_by_team[team_id]
        if not by_team[team_id]:
            del by_team[team_id]
        self._update_team(team_id)

    def _update_team(self, team_id: WorkspaceId) -> None:
        for queue, request_queue in self._queues_by_name.items():
            self._update_team_in_queue(queue, request_queue, team_id)

    def _update_team_in_queue(
        self, queue: QueueName, request_queue: RequestQueue, team_id: WorkspaceId
    ) -> None:
        by_team = self._running_by_queue.get(queue)
        request_queue.set_team(
            team_id,
            share=self.limits(team_id).share,
            running=0 if by_team is None else by_team[team_id],
            at_ceiling=self.at_ceiling(team_id),
        )

    def _set_rules(self, queue: QueueName, rules: QueueRules) -> None:
        request_queue = self._queues_by_name.get(queue)
        if request_queue is None:
            request_queue = RequestQueue(_build_policy(rules.policy), rules.max_waiting)
            self._queues_by_name[queue] = request_queue
            for team_id in self._running_by_queue.get(queue, {}):
                self._update_team_in_queue(queue, request_queue, team_id)
            return
        request_queue.max_waiting = rules.max_waiting
        request_queue.set_policy(_build_policy(rules.policy))


def _build_policy(name: str) -> QueuePolicy:
    """Return the policy with this name.

    The name is known, because documents are checked before they are applied.
    """
    return queue_policies.get(name).value_or(WaitingTimePolicy)()
