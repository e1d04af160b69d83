"""Lines of every queue of one data centre, and what each team has running."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from tamarackmount.ids import Instant, MemberId, QueueName, TeamId, TicketId
from tamarackmount.kernel.request_queue import RequestQueue, WaitingTicket
from tamarackmount.plugins.base import QueuePolicy
from tamarackmount.plugins.queue_policies import WaitingTimePolicy, queue_policies


@dataclass(frozen=True, slots=True)
class QueueRules:
    """How one queue is served: its service, its policy's name, its longest line."""

    service: str
    policy: str = "waiting-time"
    max_waiting: int = 1_000


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """One team's share, a weight without unit, and its ceiling in the data centre.

    ``running_requests`` is the most requests that may hold a slot; ``None`` sets no
    limit.
    """

    share: float = 1.0
    running_requests: int | None = None


NO_LIMITS = RequestLimits()
"""Limits of a team that no document names."""


class RequestQueues:
    """Queues by name, their lines, and the running requests of each team."""

    def __init__(self) -> None:
        """Create a board without queues or teams."""
        self._rules_by_queue: dict[QueueName, QueueRules] = {}
        self._lines_by_queue: dict[QueueName, RequestQueue] = {}
        self._queues_by_service: dict[str, list[QueueName]] = {}
        self._limits_by_team: dict[TeamId, RequestLimits] = {}
        self._running_by_team: Counter[TeamId] = Counter()
        self._running_by_queue: dict[QueueName, Counter[TeamId]] = {}
        self._adopted_by_team: Counter[TeamId] = Counter()
        self._quarantined_slots = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests in all queues."""
        return sum(len(line) for line in self._lines_by_queue.values())

    def services(self) -> list[str]:
        """Return the services that have a queue."""
        return list(self._queues_by_service)

    def queues(self) -> list[QueueName]:
        """Return the names of all queues."""
        return list(self._rules_by_queue)

    def rules(self, queue: QueueName) -> QueueRules | None:
        """Return the rules of a queue."""
        return self._rules_by_queue.get(queue)

    def line(self, queue: QueueName) -> RequestQueue:
        """Return the line of a queue that has rules."""
        return self._lines_by_queue[queue]

    def lines(self, service: str) -> list[RequestQueue]:
        """Return the lines of every queue of a service."""
        names = self._queues_by_service.get(service, [])
        return [self._lines_by_queue[name] for name in names]

    def limits(self, team_id: TeamId) -> RequestLimits:
        """Return the limits of a team."""
        return self._limits_by_team.get(team_id, NO_LIMITS)

    def running(self, team_id: TeamId) -> int:
        """Return how many slots the team holds in the data centre."""
        return self._running_by_team[team_id]

    def running_by_team(self, queue: QueueName) -> dict[TeamId, int]:
        """Return how many slots of a queue each team holds."""
        return dict(self._running_by_queue.get(queue, {}))

    def at_ceiling(self, team_id: TeamId) -> bool:
        """Tell whether the team may not get another slot."""
        ceiling = self.limits(team_id).running_requests
        if ceiling is None:
            return False
        adopted = self._adopted_by_team[team_id]
        # The earlier owner kept the ceiling, so what lost members hold of the team
        # is at most the ceiling less what was reported, and at most what is
        # quarantined.
        maybe_lost = min(self._quarantined_slots, max(0, ceiling - adopted))
        return self._running_by_team[team_id] + maybe_lost >= ceiling

    def set_queues(
        self, rules_by_queue: Mapping[QueueName, QueueRules]
    ) -> list[WaitingTicket]:
        """Replace the rules; return what waited in queues that are gone."""
        orphans: list[WaitingTicket] = []
        for queue in list(self._lines_by_queue):
            if queue not in rules_by_queue:
                orphans += self._lines_by_queue.pop(queue).tickets()
        self._rules_by_queue = dict(rules_by_queue)
        self._queues_by_service = {}
        for queue, rules in rules_by_queue.items():
            self._queues_by_service.setdefault(rules.service, []).append(queue)
            self._set_line(queue, rules)
        return orphans

    def set_teams(self, limits_by_team: Mapping[TeamId, RequestLimits]) -> None:
        """Replace every team's limits."""
        touched = set(self._limits_by_team) | set(limits_by_team)
        self._limits_by_team = dict(limits_by_team)
        for team_id in touched:
            self._update_team(team_id)

    def set_quarantined(self, slots: int) -> None:
        """Set how many slots lost members may hold, which count for each ceiling."""
        if slots == self._quarantined_slots:
            return
        self._quarantined_slots = slots
        for team_id in self._limits_by_team:
            self._update_team(team_id)

    def set_slots(self, service: str, slots: int) -> None:
        """Set the number of slots that the service's queues divide."""
        for line in self.lines(service):
            line.set_slots(slots)

    def add(self, ticket: WaitingTicket) -> None:
        """Append a ticket to its queue's line."""
        request = ticket.request
        line = self._lines_by_queue[request.queue]
        self._update_line(request.queue, line, request.team_id)
        line.add(ticket)

    def find(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Return a waiting ticket."""
        for line in self._lines_by_queue.values():
            ticket = line.get(ticket_id)
            if ticket is not None:
                return ticket
        return None

    def remove(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Take a waiting ticket out of its line."""
        ticket = self.find(ticket_id)
        if ticket is None:
            return None
        return self._lines_by_queue[ticket.request.queue].remove(ticket_id)

    def tickets(self) -> list[WaitingTicket]:
        """Return every waiting ticket."""
        lines = self._lines_by_queue.values()
        return [ticket for line in lines for ticket in line.tickets()]

    def pop_expired(self, now: Instant) -> list[WaitingTicket]:
        """Remove and return the tickets whose deadlines are over."""
        lines = self._lines_by_queue.values()
        return [ticket for line in lines for ticket in line.pop_expired(now)]

    def remove_of(self, member_ids: frozenset[MemberId]) -> None:
        """Take out every ticket of the members."""
        for line in self._lines_by_queue.values():
            for ticket in line.tickets():
                if ticket.member_id in member_ids:
                    line.remove(ticket.request.ticket_id)

    def heads(self, service: str) -> Iterator[WaitingTicket]:
        """Yield the tickets that may get a slot of the service, best first.

        Queues of the same service take turns by the age of their first ticket.
        """
        lines = [line for line in self.lines(service) if line.has_candidates()]
        lines.sort(key=lambda line: next(line.heads()).arrived_at)
        for line in lines:
            yield from line.heads()

    def adopted(self, team_id: TeamId, queue: QueueName) -> None:
        """Count a slot that the team got from an earlier owner."""
        self._adopted_by_team[team_id] += 1
        self._count(team_id, queue, 1)

    def began(self, team_id: TeamId, queue: QueueName) -> None:
        """Count a slot that the team got."""
        self._count(team_id, queue, 1)

    def ended(self, team_id: TeamId, queue: QueueName) -> None:
        """Count a slot that the team gave back."""
        self._count(team_id, queue, -1)

    def _count(self, team_id: TeamId, queue: QueueName, change: int) -> None:
        self._running_by_team[team_id] += change
        by_team = self._running_by_queue.setdefault(queue, Counter())
        by_team[team_id] += change
        if not self._running_by_team[team_id]:
            del self._running_by_team[team_id]
        if not by_team[team_id]:
            del by_team[team_id]
        self._update_team(team_id)

    def _update_team(self, team_id: TeamId) -> None:
        for queue, line in self._lines_by_queue.items():
            self._update_line(queue, line, team_id)

    def _update_line(
        self, queue: QueueName, line: RequestQueue, team_id: TeamId
    ) -> None:
        by_team = self._running_by_queue.get(queue)
        line.set_team(
            team_id,
            share=self.limits(team_id).share,
            running=0 if by_team is None else by_team[team_id],
            at_ceiling=self.at_ceiling(team_id),
        )

    def _set_line(self, queue: QueueName, rules: QueueRules) -> None:
        line = self._lines_by_queue.get(queue)
        if line is None:
            line = RequestQueue(_policy(rules.policy), rules.max_waiting)
            self._lines_by_queue[queue] = line
            for team_id in self._running_by_queue.get(queue, {}):
                self._update_line(queue, line, team_id)
            return
        line.max_waiting = rules.max_waiting
        line.set_policy(_policy(rules.policy))


def _policy(name: str) -> QueuePolicy:
    """Return the policy of a name; documents are checked before, so it is known."""
    return queue_policies.get(name).value_or(WaitingTimePolicy)()
