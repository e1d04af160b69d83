"""Failures in the middle of a request, played step by step on a small fleet."""

from tamarackmount.ids import Instant, MemberId, RequestId, TeamId
from tamarackmount.kernel.messages import (
    HoldingsReport,
    RefusalReason,
    TicketGrant,
    TicketRelease,
    TicketRequest,
)
from tamarackmount.kernel.request_effects import Finish, NewRequest
from tests.utils.build_requests import COUNTER, DESIGN, M1, M2, M3, RETAIL
from tests.utils.request_faults import FaultyFleet
from tests.utils.request_network import Envelope


def build_fleet() -> FaultyFleet:
    """Return a fleet whose owner is ``m1``, with everybody informed."""
    fleet = FaultyFleet()
    fleet.take_over(fleet.members[M1], fresh=True)
    fleet.settle_attempts()
    return fleet


def submit(
    fleet: FaultyFleet,
    call_id: int,
    member_id: MemberId,
    *,
    team_id: TeamId = DESIGN,
    idempotent: bool = False,
    seconds: float = 5.0,
) -> None:
    request = NewRequest(
        call_id=call_id,
        request_id=RequestId(f"query-{call_id}" if idempotent else "order"),
        team_id=team_id,
        queue=COUNTER,
        idempotent=idempotent,
        deadline=Instant(fleet.clock(member_id, seconds)),
    )
    fleet.submit(fleet.members[member_id], request, fleet.now + seconds)


def deliver(fleet: FaultyFleet, held_back: type | None = None) -> None:
    """Deliver what is under way and what follows, but for one kind of message."""
    for _ in range(5):
        for envelope in fleet.deliverable():
            if held_back is None or not isinstance(envelope.message, held_back):
                fleet.network.remove(envelope)
                fleet.deliver(envelope)


def connect(fleet: FaultyFleet) -> None:
    for execution in fleet.connecting():
        fleet.connect(execution)


def proceed(fleet: FaultyFleet, seconds: float, held_back: type | None = None) -> None:
    """Let time pass in small steps with a working network."""
    for _ in range(round(seconds / 0.1)):
        deliver(fleet, held_back)
        connect(fleet)
        fleet.advance(0.1)
        fleet.check()


def under_way(fleet: FaultyFleet, kind: type) -> list[Envelope]:
    return [one for one in fleet.network if isinstance(one.message, kind)]


def finish_of(fleet: FaultyFleet, call_id: int) -> Finish:
    (finish,) = fleet.calls[call_id].finishes
    return finish


def start_order(fleet: FaultyFleet, member_id: MemberId) -> None:
    """Bring a non-idempotent request to its upstream."""
    submit(fleet, 1, member_id)
    deliver(fleet)
    connect(fleet)
    assert fleet.calls[1].sent


def test_repeat_after_the_owners_death_is_recognised() -> None:
    fleet = build_fleet()
    start_order(fleet, M2)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.5)
    submit(fleet, 2, M3)
    proceed(fleet, 1.5)
    assert finish_of(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_repeat_after_the_asking_owners_death_is_recognised() -> None:
    fleet = build_fleet()
    start_order(fleet, M1)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.5)
    submit(fleet, 2, M2)
    proceed(fleet, 1.5)
    assert finish_of(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_repeat_after_both_members_died_in_turn_is_recognised() -> None:
    fleet = build_fleet()
    start_order(fleet, M2)
    fleet.kill(fleet.members[M2])
    fleet.settle_attempts()
    fleet.restart(fleet.members[M2])
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.5)
    submit(fleet, 2, M2)
    proceed(fleet, 1.5)
    assert finish_of(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_nothing_runs_again_before_a_slow_member_reported_it() -> None:
    fleet = build_fleet()
    start_order(fleet, M2)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    submit(fleet, 2, M3)
    proceed(fleet, 1.5, held_back=HoldingsReport)
    assert not fleet.calls[2].sent
    proceed(fleet, 0.5)
    assert finish_of(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_grant_of_the_earlier_owner_does_not_run_what_ran_under_the_next() -> None:
    fleet = build_fleet()
    submit(fleet, 3, M3, idempotent=True)
    deliver(fleet)
    connect(fleet)
    (held,) = fleet.executing()
    submit(fleet, 1, M2)
    deliver(fleet, held_back=TicketGrant)
    (stale,) = under_way(fleet, TicketGrant)
    fleet.network.remove(stale)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    deliver(fleet, held_back=TicketRequest)
    fleet.answer(held)
    submit(fleet, 2, M3)
    deliver(fleet, held_back=TicketRequest)
    connect(fleet)
    assert fleet.calls[2].sent
    fleet.deliver(stale)
    connect(fleet)
    assert not fleet.calls[1].sent


def test_doubled_grant_of_a_broken_attempt_does_not_forget_it() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2)
    deliver(fleet, held_back=TicketGrant)
    (grant,) = under_way(fleet, TicketGrant)
    deliver(fleet)
    connect(fleet)
    (execution,) = fleet.executing()
    fleet.disconnect(execution)
    (release,) = under_way(fleet, TicketRelease)
    fleet.network.remove(release)
    fleet.deliver(grant)
    deliver(fleet)
    submit(fleet, 2, M3)
    proceed(fleet, 0.5)
    fleet.deliver(release)
    assert finish_of(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_paused_members_requests_count_against_the_ceiling() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2, team_id=RETAIL, idempotent=True)
    submit(fleet, 2, M3, idempotent=True)
    deliver(fleet)
    connect(fleet)
    held = fleet.executing()
    assert len(held) == 2
    fleet.pause(fleet.members[M2])
    fleet.take_over(fleet.members[M3])
    deliver(fleet)
    fleet.answer(next(one for one in held if one.call.member_id == M3))
    submit(fleet, 3, M1, team_id=RETAIL, idempotent=True)
    proceed(fleet, 2.0)
    assert fleet.calls[3].sent


def test_paused_owner_lends_nothing_after_its_time() -> None:
    fleet = build_fleet()
    fleet.pause(fleet.members[M1])
    submit(fleet, 1, M2, idempotent=True)
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.2)
    assert fleet.calls[1].sent
    fleet.resume(fleet.members[M1])
    proceed(fleet, 1.0)
    assert fleet.members[M1].dispatcher is None


def test_witness_that_was_away_ends_no_quarantine() -> None:
    fleet = build_fleet()
    fleet.kill(fleet.members[M3])
    proceed(fleet, 2.0)
    fleet.tell_owner_of_members()
    proceed(fleet, 0.5)
    fleet.pause(fleet.members[M2])
    fleet.advance(0.5)
    fleet.tell_owner_of_members()
    submit(fleet, 1, M1, idempotent=True)
    connect(fleet)
    assert fleet.calls[1].sent
    fleet.resume(fleet.members[M2])
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M2])
    for call_id in (2, 3, 4):
        submit(fleet, call_id, M2, idempotent=True)
    proceed(fleet, 0.3)
    assert not fleet.calls[4].sent
    proceed(fleet, 1.5)
    assert fleet.calls[4].sent


def test_restarted_member_does_not_return_what_its_earlier_run_used() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2)
    deliver(fleet, held_back=TicketGrant)
    (grant,) = under_way(fleet, TicketGrant)
    deliver(fleet)
    connect(fleet)
    fleet.kill(fleet.members[M2])
    fleet.restart(fleet.members[M2])
    fleet.announce()
    deliver(fleet)
    fleet.deliver(grant)
    deliver(fleet)
    submit(fleet, 2, M3)
    proceed(fleet, 0.5)
    assert finish_of(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_request_whose_grant_was_under_way_at_a_hand_over_is_granted_again() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2, idempotent=True)
    deliver(fleet, held_back=TicketGrant)
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 0.3, held_back=TicketGrant)
    (stale, fresh) = under_way(fleet, TicketGrant)
    assert (stale.source, fresh.source) == (M1, M3)
    fleet.deliver(stale)
    fleet.deliver(fresh)
    connect(fleet)
    assert fleet.calls[1].sent
