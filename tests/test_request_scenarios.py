"""Failures while a request is being processed, step by step on a small fleet."""

from tamarackmount.ids import Instant, MemberId, RequestId, WorkspaceId
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
    """Return a fleet with the owner ``m1`` that all members know."""
    fleet = FaultyFleet()
    fleet.take_over(fleet.members[M1], is_first_owner=True)
    fleet.replicate_attempts()
    return fleet


def submit(
    fleet: FaultyFleet,
    call_id: int,
    member_id: MemberId,
    *,
    team_id: WorkspaceId = DESIGN,
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


def deliver(fleet: FaultyFleet, withheld: type | None = None) -> None:
    """Deliver all messages, and those that result, except one type."""
    for _ in range(5):
        for envelope in fleet.deliverable():
            if withheld is None or not isinstance(envelope.message, withheld):
                fleet.network.remove(envelope)
                fleet.deliver(envelope)


def connect(fleet: FaultyFleet) -> None:
    for execution in fleet.connecting():
        fleet.connect(execution)


def proceed(fleet: FaultyFleet, seconds: float, withheld: type | None = None) -> None:
    """Advance time in steps of 0.1 s with a working network."""
    for _ in range(round(seconds / 0.1)):
        deliver(fleet, withheld)
        connect(fleet)
        fleet.advance(0.1)
        fleet.check()


def in_transit(fleet: FaultyFleet, kind: type) -> list[Envelope]:
    return [
        envelope for envelope in fleet.network if isinstance(envelope.message, kind)
    ]


def only_finish(fleet: FaultyFleet, call_id: int) -> Finish:
    (finish,) = fleet.calls[call_id].finishes
    return finish


def start_non_idempotent(fleet: FaultyFleet, member_id: MemberId) -> None:
    """Submit a non-idempotent request and send it to its upstream."""
    submit(fleet, 1, member_id)
    deliver(fleet)
    connect(fleet)
    assert fleet.calls[1].sent


def test_repeat_after_the_owner_dies_is_recognised() -> None:
    fleet = build_fleet()
    start_non_idempotent(fleet, M2)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.5)
    submit(fleet, 2, M3)
    proceed(fleet, 1.5)
    assert only_finish(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_repeat_after_an_owner_with_its_own_request_dies_is_recognised() -> None:
    fleet = build_fleet()
    start_non_idempotent(fleet, M1)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.5)
    submit(fleet, 2, M2)
    proceed(fleet, 1.5)
    assert only_finish(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_repeat_after_both_members_die_in_turn_is_recognised() -> None:
    fleet = build_fleet()
    start_non_idempotent(fleet, M2)
    fleet.kill(fleet.members[M2])
    fleet.replicate_attempts()
    fleet.restart(fleet.members[M2])
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.5)
    submit(fleet, 2, M2)
    proceed(fleet, 1.5)
    assert only_finish(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_repeat_waits_for_the_holdings_report_of_a_slow_member() -> None:
    fleet = build_fleet()
    start_non_idempotent(fleet, M2)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    submit(fleet, 2, M3)
    proceed(fleet, 1.5, withheld=HoldingsReport)
    assert not fleet.calls[2].sent
    proceed(fleet, 0.5)
    assert only_finish(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_grant_of_the_previous_owner_does_not_repeat_an_attempt() -> None:
    fleet = build_fleet()
    submit(fleet, 3, M3, idempotent=True)
    deliver(fleet)
    connect(fleet)
    (running,) = fleet.executing()
    submit(fleet, 1, M2)
    deliver(fleet, withheld=TicketGrant)
    (stale,) = in_transit(fleet, TicketGrant)
    fleet.network.remove(stale)
    fleet.kill(fleet.members[M1])
    fleet.take_over(fleet.members[M3])
    deliver(fleet, withheld=TicketRequest)
    fleet.answer(running)
    submit(fleet, 2, M3)
    deliver(fleet, withheld=TicketRequest)
    connect(fleet)
    assert fleet.calls[2].sent
    fleet.deliver(stale)
    connect(fleet)
    assert not fleet.calls[1].sent


def test_duplicate_grant_of_a_disconnected_attempt_keeps_its_record() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2)
    deliver(fleet, withheld=TicketGrant)
    (grant,) = in_transit(fleet, TicketGrant)
    deliver(fleet)
    connect(fleet)
    (execution,) = fleet.executing()
    fleet.disconnect(execution)
    (release,) = in_transit(fleet, TicketRelease)
    fleet.network.remove(release)
    fleet.deliver(grant)
    deliver(fleet)
    submit(fleet, 2, M3)
    proceed(fleet, 0.5)
    fleet.deliver(release)
    assert only_finish(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_requests_of_a_paused_member_count_towards_the_ceiling() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2, team_id=RETAIL, idempotent=True)
    submit(fleet, 2, M3, idempotent=True)
    deliver(fleet)
    connect(fleet)
    running = fleet.executing()
    assert len(running) == 2
    fleet.pause(fleet.members[M2])
    fleet.take_over(fleet.members[M3])
    deliver(fleet)
    fleet.answer(
        next(execution for execution in running if execution.call.member_id == M3)
    )
    submit(fleet, 3, M1, team_id=RETAIL, idempotent=True)
    proceed(fleet, 2.0)
    assert fleet.calls[3].sent


def test_paused_owner_does_not_dispatch_after_it_resumes() -> None:
    fleet = build_fleet()
    fleet.pause(fleet.members[M1])
    submit(fleet, 1, M2, idempotent=True)
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 1.2)
    assert fleet.calls[1].sent
    fleet.resume(fleet.members[M1])
    proceed(fleet, 1.0)
    assert fleet.members[M1].dispatcher is None


def test_report_of_a_witness_that_was_paused_does_not_end_the_quarantine() -> None:
    fleet = build_fleet()
    fleet.kill(fleet.members[M3])
    proceed(fleet, 2.0)
    fleet.update_owner_members()
    proceed(fleet, 0.5)
    fleet.pause(fleet.members[M2])
    fleet.advance(0.5)
    fleet.update_owner_members()
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


def test_restarted_member_does_not_release_tickets_of_its_previous_run() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2)
    deliver(fleet, withheld=TicketGrant)
    (grant,) = in_transit(fleet, TicketGrant)
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
    assert only_finish(fleet, 2).reason is RefusalReason.ALREADY_ATTEMPTED


def test_request_whose_grant_was_in_transit_at_a_handover_is_granted_again() -> None:
    fleet = build_fleet()
    submit(fleet, 1, M2, idempotent=True)
    deliver(fleet, withheld=TicketGrant)
    fleet.take_over(fleet.members[M3])
    proceed(fleet, 0.3, withheld=TicketGrant)
    (stale, fresh) = in_transit(fleet, TicketGrant)
    assert (stale.source, fresh.source) == (M1, M3)
    fleet.deliver(stale)
    fleet.deliver(fresh)
    connect(fleet)
    assert fleet.calls[1].sent
