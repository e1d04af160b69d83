"""Request queues: order of service, deadlines and load shedding."""

from tamarackmount.ids import TicketId, WorkspaceId
from tamarackmount.kernel.request_queue import RequestQueue
from tamarackmount.plugins.queue_policies import WaitingTimePolicy
from tests.utils.build_requests import DESIGN, RETAIL, at, build_waiting_ticket


def build_queue(max_waiting: int = 10) -> RequestQueue:
    queue = RequestQueue(WaitingTimePolicy(), max_waiting)
    queue.set_slots(4)
    return queue


def head_ids(queue: RequestQueue) -> list[str]:
    return [ticket.request.ticket_id for ticket in queue.heads()]


def test_requests_of_a_team_are_served_in_order_of_arrival() -> None:
    queue = build_queue()
    queue.add(build_waiting_ticket("a", arrived_at=1))
    queue.add(build_waiting_ticket("b", arrived_at=2))
    assert head_ids(queue) == ["a"]
    queue.remove(TicketId("a"))
    assert head_ids(queue) == ["b"]


def test_teams_are_ranked_by_the_policy() -> None:
    queue = build_queue()
    queue.add(build_waiting_ticket("a", team_id=RETAIL, arrived_at=2))
    queue.add(build_waiting_ticket("b", team_id=DESIGN, arrived_at=1))
    assert head_ids(queue) == ["b", "a"]


def test_team_at_its_ceiling_has_no_candidate() -> None:
    queue = build_queue()
    queue.add(build_waiting_ticket("a"))
    queue.set_team(RETAIL, share=1, running=3, at_ceiling=True)
    assert not queue.has_candidates()
    queue.set_team(RETAIL, share=1, running=2, at_ceiling=False)
    assert head_ids(queue) == ["a"]


def test_ticket_can_be_removed_once() -> None:
    queue = build_queue()
    queue.add(build_waiting_ticket("a"))
    assert queue.remove(TicketId("a")) is not None
    assert queue.remove(TicketId("a")) is None
    assert len(queue) == 0
    assert queue.shed_candidate() is None


def test_expired_tickets_are_removed() -> None:
    queue = build_queue()
    queue.add(build_waiting_ticket("a", deadline=1))
    queue.add(build_waiting_ticket("b", deadline=2))
    expired = queue.pop_expired(at(1))
    assert [ticket.request.ticket_id for ticket in expired] == ["a"]
    assert head_ids(queue) == ["b"]


def test_shed_candidate_is_the_newest_of_the_team_with_most_waiting_per_share() -> None:
    queue = build_queue()
    queue.set_team(RETAIL, share=4, running=0, at_ceiling=False)
    queue.set_team(DESIGN, share=1, running=0, at_ceiling=False)
    for number in range(3):
        queue.add(build_waiting_ticket(f"r{number}", team_id=RETAIL))
    queue.add(build_waiting_ticket("d0", team_id=DESIGN))
    candidate = queue.shed_candidate()
    assert candidate is not None
    assert candidate.request.ticket_id == "d0"
    queue.set_team(DESIGN, share=2, running=0, at_ceiling=False)
    candidate = queue.shed_candidate()
    assert candidate is not None
    assert candidate.request.ticket_id == "r2"


def test_releases_until_turn_do_not_depend_on_another_teams_backlog() -> None:
    queue = build_queue()
    for number in range(100):
        queue.add(build_waiting_ticket(f"r{number}", team_id=RETAIL))
    assert queue.releases_until_turn(DESIGN) == 2
    assert queue.releases_until_turn(RETAIL) == 101


def test_policy_change_ranks_every_team_again() -> None:
    class Reversed:
        def rank(self, use: object) -> tuple[float, float]:
            oldest: float = use.oldest  # type: ignore[attr-defined]
            return (0.0, -oldest)

    queue = build_queue()
    for number in range(3):
        team_id = WorkspaceId(f"team-{number}")
        ticket = build_waiting_ticket(str(number), team_id=team_id, arrived_at=number)
        queue.add(ticket)
    queue.set_policy(Reversed())
    assert head_ids(queue) == ["2", "1", "0"]
