"""Calls and upstream executions of a simulated fleet, with their invariants."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from tamarackmount.ids import MemberId, TicketId, WorkspaceId
from tamarackmount.kernel.messages import Outcome
from tamarackmount.kernel.request_effects import Finish, NewRequest
from tamarackmount.kernel.request_queues import RequestLimits
from tamarackmount.kernel.slots import ListedUpstream
from tests.utils.build_requests import DESIGN, RETAIL

LIMITS_BY_TEAM = {
    RETAIL: RequestLimits(share=2.0, running_requests=1),
    DESIGN: RequestLimits(share=1.0),
}


@dataclass(slots=True)
class Call:
    """A caller's request and its outcomes; ``deadline`` is true time."""

    call_id: int
    member_id: MemberId
    request: NewRequest
    deadline: float
    finishes: list[Finish] = field(default_factory=list)
    sent: bool = False
    answered: bool = False
    left: bool = False
    lost: bool = False


@dataclass(slots=True)
class Execution:
    """An attempt at an upstream; ``deadline`` is true time."""

    call: Call
    ticket_id: TicketId
    upstream_id: str
    deadline: float
    sent: bool = False
    connected: bool = True
    done: bool = False

    def occupies_slot(self, now: float) -> bool:
        return self.sent and not self.done and now < self.deadline


def check_occupancy(
    executions: Sequence[Execution], upstreams: Sequence[ListedUpstream], now: float
) -> None:
    """Check that upstreams run no more attempts than slots and ceilings allow."""
    executing = [execution for execution in executions if execution.occupies_slot(now)]
    used = Counter(execution.upstream_id for execution in executing)
    for upstream in upstreams:
        assert used[upstream.id] <= upstream.slots, f"{upstream.id} exceeds its slots"
    by_team: Counter[WorkspaceId] = Counter(
        execution.call.request.team_id for execution in executing
    )
    for team_id, limits in LIMITS_BY_TEAM.items():
        ceiling = limits.running_requests
        if ceiling is not None:
            assert by_team[team_id] <= ceiling, f"{team_id} exceeds its ceiling"


def check_attempts(executions: Sequence[Execution]) -> None:
    """Check that no non-idempotent request was executed twice."""
    runs = Counter(
        (execution.call.request.team_id, execution.call.request.request_id)
        for execution in executions
        if execution.sent and not execution.call.request.idempotent
    )
    for key, count in runs.items():
        assert count <= 1, f"{key} was executed {count} times"


def check_call(call: Call) -> None:
    """Check the outcome of one call against what happened."""
    assert len(call.finishes) <= 1, f"more than one outcome: {call}"
    if not call.finishes:
        return
    outcome = call.finishes[0].outcome
    if outcome is Outcome.NOT_RUN:
        assert not call.sent, f"outcome is NOT_RUN, but bytes were sent: {call}"
    if outcome is Outcome.ANSWERED:
        assert call.answered, f"outcome is ANSWERED, but there was no answer: {call}"
