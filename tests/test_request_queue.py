"""Lines keep order inside a team, deadlines, and tell who crowds them."""

from tamarackmount.ids import TeamId, TicketId
from tamarackmount.kernel.request_queue import RequestQueue
from tamarackmount.plugins.queue_policies import WaitingTimePolicy
from tests.utils.build_requests import DESIGN, RETAIL, at, build_waiting_ticket


def build_line(max_waiting: int = 10) -> RequestQueue:
    line = RequestQueue(WaitingTimePolicy(), max_waiting)
    line.set_slots(4)
    return line


def heads_of(line: RequestQueue) -> list[str]:
    return [ticket.request.ticket_id for ticket in line.heads()]


def test_team_is_served_in_order_of_arrival() -> None:
    line = build_line()
    line.add(build_waiting_ticket("a", arrived_at=1))
    line.add(build_waiting_ticket("b", arrived_at=2))
    assert heads_of(line) == ["a"]
    line.remove(TicketId("a"))
    assert heads_of(line) == ["b"]


def test_teams_are_ranked_by_the_policy() -> None:
    line = build_line()
    line.add(build_waiting_ticket("a", team_id=RETAIL, arrived_at=2))
    line.add(build_waiting_ticket("b", team_id=DESIGN, arrived_at=1))
    assert heads_of(line) == ["b", "a"]


def test_team_at_its_ceiling_has_no_candidate() -> None:
    line = build_line()
    line.add(build_waiting_ticket("a"))
    line.set_team(RETAIL, share=1, running=3, at_ceiling=True)
    assert not line.has_candidates()
    line.set_team(RETAIL, share=1, running=2, at_ceiling=False)
    assert heads_of(line) == ["a"]


def test_removed_ticket_is_gone() -> None:
    line = build_line()
    line.add(build_waiting_ticket("a"))
    assert line.remove(TicketId("a")) is not None
    assert line.remove(TicketId("a")) is None
    assert len(line) == 0
    assert line.most_crowded() is None


def test_expired_tickets_are_taken_out() -> None:
    line = build_line()
    line.add(build_waiting_ticket("a", deadline=1))
    line.add(build_waiting_ticket("b", deadline=2))
    expired = line.pop_expired(at(1))
    assert [ticket.request.ticket_id for ticket in expired] == ["a"]
    assert heads_of(line) == ["b"]


def test_most_crowded_is_the_newest_of_the_team_over_its_share() -> None:
    line = build_line()
    line.set_team(RETAIL, share=4, running=0, at_ceiling=False)
    line.set_team(DESIGN, share=1, running=0, at_ceiling=False)
    for number in range(3):
        line.add(build_waiting_ticket(f"r{number}", team_id=RETAIL))
    line.add(build_waiting_ticket("d0", team_id=DESIGN))
    crowded = line.most_crowded()
    assert crowded is not None
    assert crowded.request.ticket_id == "d0"
    line.set_team(DESIGN, share=2, running=0, at_ceiling=False)
    crowded = line.most_crowded()
    assert crowded is not None
    assert crowded.request.ticket_id == "r2"


def test_turns_ahead_of_a_small_team_ignore_another_teams_flood() -> None:
    line = build_line()
    for number in range(100):
        line.add(build_waiting_ticket(f"r{number}", team_id=RETAIL))
    assert line.turns_ahead(DESIGN) == 2
    assert line.turns_ahead(RETAIL) == 101


def test_changed_policy_ranks_every_team_again() -> None:
    class Reversed:
        def rank(self, use: object) -> tuple[float, float]:
            oldest: float = use.oldest  # type: ignore[attr-defined]
            return (0.0, -oldest)

    line = build_line()
    for number in range(3):
        team_id = TeamId(f"team-{number}")
        ticket = build_waiting_ticket(str(number), team_id=team_id, arrived_at=number)
        line.add(ticket)
    line.set_policy(Reversed())
    assert heads_of(line) == ["2", "1", "0"]
