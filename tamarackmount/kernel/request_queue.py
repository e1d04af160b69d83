"""Waiting ticket requests of one queue, with a FIFO queue for each team.

The policy of the queue ranks the teams; the requests of one team are served in order
of arrival. Operations on one ticket or team are O(log n) in the number of teams and
requests.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from tamarackmount.ids import Instant, MemberId, TicketId, WorkspaceId
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import TicketRequest
from tamarackmount.plugins.base import QueuePolicy, QueueRank, TeamQueueUsage


@dataclass(frozen=True, slots=True)
class WaitingTicket:
    """A ticket request that waits at the owner; times are by the owner's clock."""

    request: TicketRequest
    member_id: MemberId
    arrived_at: Instant
    deadline: Instant


@dataclass(slots=True)
class _TeamQueue:
    tickets_by_id: OrderedDict[TicketId, WaitingTicket] = field(
        default_factory=OrderedDict
    )
    share: float = 1.0
    running: int = 0
    at_ceiling: bool = False
    rank: QueueRank | None = None
    backlog_per_share: float | None = None
    active: bool = False

    def head(self) -> WaitingTicket:
        """Return the oldest ticket; the queue must not be empty."""
        return next(iter(self.tickets_by_id.values()))


class RequestQueue:
    """Waiting tickets of one queue.

    ``max_waiting`` is the maximum number of waiting requests. The class does not
    enforce it itself, see :meth:`is_full` and :meth:`shed_candidate`.
    """

    def __init__(self, policy: QueuePolicy, max_waiting: int) -> None:
        """Create an empty queue whose teams are ranked by ``policy``."""
        self.policy = policy
        self.max_waiting = max_waiting
        self._slots = 0
        self._active_share = 0.0
        self._queues_by_team: dict[WorkspaceId, _TeamQueue] = {}
        self._tickets_by_id: dict[TicketId, WaitingTicket] = {}
        self._deadlines = DeadlineHeap[TicketId]()
        self._teams_by_rank = SortedList()
        self._teams_by_backlog = SortedList()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets_by_id)

    def is_full(self) -> bool:
        """Return whether the queue has reached ``max_waiting``."""
        return len(self) >= self.max_waiting

    def get(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Return a waiting ticket."""
        return self._tickets_by_id.get(ticket_id)

    def tickets(self) -> list[WaitingTicket]:
        """Return every waiting ticket."""
        return list(self._tickets_by_id.values())

    def waiting(self, team_id: WorkspaceId) -> int:
        """Return the number of the team's waiting requests."""
        team_queue = self._queues_by_team.get(team_id)
        return 0 if team_queue is None else len(team_queue.tickets_by_id)

    def waiting_by_team(self) -> dict[WorkspaceId, int]:
        """Return the number of waiting requests of each team that has any."""
        return {
            team_id: len(team_queue.tickets_by_id)
            for team_id, team_queue in self._queues_by_team.items()
            if team_queue.tickets_by_id
        }

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that the policy divides between the teams."""
        self._slots = slots

    def set_policy(self, policy: QueuePolicy) -> None:
        """Change the policy and rank every team again."""
        self.policy = policy
        for team_id, team_queue in self._queues_by_team.items():
            self._update_rank(team_id, team_queue)

    def set_team(
        self, team_id: WorkspaceId, share: float, running: int, at_ceiling: bool
    ) -> None:
        """Set a team's share and usage; a team at its ceiling is not ranked."""
        team_queue = self._team_queue(team_id)
        self._deactivate(team_queue)
        team_queue.share = share
        team_queue.running = running
        team_queue.at_ceiling = at_ceiling
        self._update(team_id, team_queue)

    def add(self, ticket: WaitingTicket) -> None:
        """Append a ticket to the queue of its team."""
        request = ticket.request
        team_queue = self._team_queue(request.team_id)
        team_queue.tickets_by_id[request.ticket_id] = ticket
        self._tickets_by_id[request.ticket_id] = ticket
        self._deadlines.set(request.ticket_id, ticket.deadline)
        self._update(request.team_id, team_queue)

    def remove(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Remove and return a ticket; return ``None`` if it is not queued."""
        ticket = self._tickets_by_id.pop(ticket_id, None)
        if ticket is None:
            return None
        self._deadlines.discard(ticket_id)
        team_id = ticket.request.team_id
        team_queue = self._queues_by_team[team_id]
        del team_queue.tickets_by_id[ticket_id]
        self._update(team_id, team_queue)
        return ticket

    def has_candidates(self) -> bool:
        """Return whether a team below its ceiling has waiting requests."""
        return bool(self._teams_by_rank)

    def heads(self) -> Iterator[WaitingTicket]:
        """Yield the oldest ticket of each team below its ceiling, in policy order."""
        for _, team_id in self._teams_by_rank:
            yield self._queues_by_team[team_id].head()

    def shed_candidate(self) -> WaitingTicket | None:
        """Return the ticket to refuse first when the queue is over its limit.

        That is the newest ticket of the team with the most waiting requests per share.
        """
        if not self._teams_by_backlog:
            return None
        _, team_id = self._teams_by_backlog[-1]
        tickets_by_id = self._queues_by_team[team_id].tickets_by_id
        return tickets_by_id[next(reversed(tickets_by_id))]

    def backlog_per_share(self, team_id: WorkspaceId, extra: int = 0) -> float:
        """Return the team's waiting requests plus ``extra``, divided by its share."""
        team_queue = self._team_queue(team_id)
        return (len(team_queue.tickets_by_id) + extra) / team_queue.share

    def releases_until_turn(self, team_id: WorkspaceId) -> float:
        """Return the number of slot releases until a new request gets a slot.

        It is the smaller of two bounds: the length of the whole queue, and the length
        of the team's own queue divided by the team's fraction of the active shares.
        Both lengths include the new request.
        """
        team_queue = self._team_queue(team_id)
        active_share = (
            self._active_share
            if team_queue.active
            else self._active_share + team_queue.share
        )
        own = (len(team_queue.tickets_by_id) + 1) * active_share / team_queue.share
        return min(own, len(self) + 1)

    def pop_expired(self, now: Instant) -> list[WaitingTicket]:
        """Remove and return the tickets whose deadlines have passed."""
        expired: list[WaitingTicket] = []
        for ticket_id in self._deadlines.pop_due(now):
            ticket = self.remove(ticket_id)
            if ticket is not None:
                expired.append(ticket)
        return expired

    def _team_queue(self, team_id: WorkspaceId) -> _TeamQueue:
        return self._queues_by_team.setdefault(team_id, _TeamQueue())

    def _update(self, team_id: WorkspaceId, team_queue: _TeamQueue) -> None:
        self._deactivate(team_queue)
        if team_queue.tickets_by_id or team_queue.running:
            team_queue.active = True
            self._active_share += team_queue.share
        self._update_rank(team_id, team_queue)
        self._update_backlog(team_id, team_queue)

    def _deactivate(self, team_queue: _TeamQueue) -> None:
        if team_queue.active:
            team_queue.active = False
            self._active_share -= team_queue.share

    def _update_rank(self, team_id: WorkspaceId, team_queue: _TeamQueue) -> None:
        if team_queue.rank is not None:
            self._teams_by_rank.remove((team_queue.rank, team_id))
            team_queue.rank = None
        if not team_queue.tickets_by_id or team_queue.at_ceiling:
            return
        usage = TeamQueueUsage(
            share=team_queue.share,
            active_share=self._active_share,
            running=team_queue.running,
            slots=self._slots,
            oldest=team_queue.head().arrived_at,
        )
        team_queue.rank = self.policy.rank(usage)
        self._teams_by_rank.add((team_queue.rank, team_id))

    def _update_backlog(self, team_id: WorkspaceId, team_queue: _TeamQueue) -> None:
        if team_queue.backlog_per_share is not None:
            self._teams_by_backlog.remove((team_queue.backlog_per_share, team_id))
            team_queue.backlog_per_share = None
        if team_queue.tickets_by_id:
            team_queue.backlog_per_share = (
                len(team_queue.tickets_by_id) / team_queue.share
            )
            self._teams_by_backlog.add((team_queue.backlog_per_share, team_id))
