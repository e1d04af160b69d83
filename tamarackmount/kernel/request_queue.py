"""Waiting requests of one queue, in one line for each team.

The queue's policy ranks the teams; inside a team, requests are served in order of
arrival. Every operation is O(log n) in the number of teams or requests.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from tamarackmount.ids import Instant, MemberId, TeamId, TicketId
from tamarackmount.kernel.deadline_heap import DeadlineHeap
from tamarackmount.kernel.messages import TicketRequest
from tamarackmount.plugins.base import QueuePolicy, QueueRank, TeamQueueUsage


@dataclass(frozen=True, slots=True)
class WaitingTicket:
    """A request for a slot that waits at the owner; times are by its clock."""

    request: TicketRequest
    member_id: MemberId
    arrived_at: Instant
    deadline: Instant


@dataclass(slots=True)
class _TeamLine:
    tickets_by_id: OrderedDict[TicketId, WaitingTicket] = field(
        default_factory=OrderedDict
    )
    share: float = 1.0
    running: int = 0
    at_ceiling: bool = False
    rank: QueueRank | None = None
    crowding: float | None = None
    active: bool = False

    def head(self) -> WaitingTicket:
        """Return the oldest ticket; the line must not be empty."""
        return next(iter(self.tickets_by_id.values()))


class RequestQueue:
    """Line of one queue.

    ``max_waiting`` is the most requests that may wait; the line itself does not
    enforce it, see :meth:`is_full` and :meth:`most_crowded`.
    """

    def __init__(self, policy: QueuePolicy, max_waiting: int) -> None:
        """Create an empty line that ``policy`` ranks."""
        self.policy = policy
        self.max_waiting = max_waiting
        self._slots = 0
        self._active_share = 0.0
        self._lines_by_team: dict[TeamId, _TeamLine] = {}
        self._tickets_by_id: dict[TicketId, WaitingTicket] = {}
        self._deadlines = DeadlineHeap[TicketId]()
        self._ranked = SortedList()
        self._crowded = SortedList()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets_by_id)

    def is_full(self) -> bool:
        """Tell whether no more requests may wait."""
        return len(self) >= self.max_waiting

    def get(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Return a waiting ticket."""
        return self._tickets_by_id.get(ticket_id)

    def tickets(self) -> list[WaitingTicket]:
        """Return every waiting ticket."""
        return list(self._tickets_by_id.values())

    def waiting(self, team_id: TeamId) -> int:
        """Return the number of the team's waiting requests."""
        line = self._lines_by_team.get(team_id)
        return 0 if line is None else len(line.tickets_by_id)

    def waiting_by_team(self) -> dict[TeamId, int]:
        """Return the number of waiting requests of each team that waits."""
        return {
            team_id: len(line.tickets_by_id)
            for team_id, line in self._lines_by_team.items()
            if line.tickets_by_id
        }

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that the policy divides among the teams."""
        self._slots = slots

    def set_policy(self, policy: QueuePolicy) -> None:
        """Change the policy and rank every team again."""
        self.policy = policy
        for team_id, line in self._lines_by_team.items():
            self._rerank(team_id, line)

    def set_team(
        self, team_id: TeamId, share: float, running: int, at_ceiling: bool
    ) -> None:
        """Set what the team may use and uses; at its ceiling it is not ranked."""
        line = self._line(team_id)
        self._count_inactive(line)
        line.share = share
        line.running = running
        line.at_ceiling = at_ceiling
        self._changed(team_id, line)

    def add(self, ticket: WaitingTicket) -> None:
        """Append a ticket to its team's line."""
        request = ticket.request
        line = self._line(request.team_id)
        line.tickets_by_id[request.ticket_id] = ticket
        self._tickets_by_id[request.ticket_id] = ticket
        self._deadlines.set(request.ticket_id, ticket.deadline)
        self._changed(request.team_id, line)

    def remove(self, ticket_id: TicketId) -> WaitingTicket | None:
        """Take a ticket out of the line."""
        ticket = self._tickets_by_id.pop(ticket_id, None)
        if ticket is None:
            return None
        self._deadlines.discard(ticket_id)
        team_id = ticket.request.team_id
        line = self._lines_by_team[team_id]
        del line.tickets_by_id[ticket_id]
        self._changed(team_id, line)
        return ticket

    def has_candidates(self) -> bool:
        """Tell whether a team below its ceiling waits."""
        return bool(self._ranked)

    def heads(self) -> Iterator[WaitingTicket]:
        """Yield the oldest ticket of each team below its ceiling, in policy order."""
        for _, team_id in self._ranked:
            yield self._lines_by_team[team_id].head()

    def most_crowded(self) -> WaitingTicket | None:
        """Return the newest ticket of the team that waits most for its share."""
        if not self._crowded:
            return None
        _, team_id = self._crowded[-1]
        tickets_by_id = self._lines_by_team[team_id].tickets_by_id
        return tickets_by_id[next(reversed(tickets_by_id))]

    def crowding(self, team_id: TeamId, extra: int = 0) -> float:
        """Return the team's waiting requests, and ``extra``, over its share."""
        line = self._line(team_id)
        return (len(line.tickets_by_id) + extra) / line.share

    def turns_ahead(self, team_id: TeamId) -> float:
        """Return after how many releases of the queue a new request has its turn.

        At most the whole line is ahead, and at most the team's own line slowed
        down to its part of the releases.
        """
        line = self._line(team_id)
        active_share = (
            self._active_share if line.active else self._active_share + (line.share)
        )
        own = (len(line.tickets_by_id) + 1) * active_share / line.share
        return min(own, len(self) + 1)

    def pop_expired(self, now: Instant) -> list[WaitingTicket]:
        """Remove and return the tickets whose deadlines are over."""
        expired: list[WaitingTicket] = []
        for ticket_id in self._deadlines.pop_due(now):
            ticket = self.remove(ticket_id)
            if ticket is not None:
                expired.append(ticket)
        return expired

    def _line(self, team_id: TeamId) -> _TeamLine:
        return self._lines_by_team.setdefault(team_id, _TeamLine())

    def _changed(self, team_id: TeamId, line: _TeamLine) -> None:
        self._count_inactive(line)
        if line.tickets_by_id or line.running:
            line.active = True
            self._active_share += line.share
        self._rerank(team_id, line)
        self._recrowd(team_id, line)

    def _count_inactive(self, line: _TeamLine) -> None:
        if line.active:
            line.active = False
            self._active_share -= line.share

    def _rerank(self, team_id: TeamId, line: _TeamLine) -> None:
        if line.rank is not None:
            self._ranked.remove((line.rank, team_id))
            line.rank = None
        if not line.tickets_by_id or line.at_ceiling:
            return
        use = TeamQueueUsage(
            share=line.share,
            active_share=self._active_share,
            running=line.running,
            slots=self._slots,
            oldest=line.head().arrived_at,
        )
        line.rank = self.policy.rank(use)
        self._ranked.add((line.rank, team_id))

    def _recrowd(self, team_id: TeamId, line: _TeamLine) -> None:
        if line.crowding is not None:
            self._crowded.remove((line.crowding, team_id))
            line.crowding = None
        if line.tickets_by_id:
            line.crowding = len(line.tickets_by_id) / line.share
            self._crowded.add((line.crowding, team_id))
