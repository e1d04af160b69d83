"""Outcomes of forwarded requests, also when the receiving member is lost."""

from tamarackmount.adapters.vm_schema import Vm, VmKind
from tamarackmount.documents import QueueDocument
from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    Offset,
    QueueName,
    RackId,
    RequestId,
    WorkspaceId,
)
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.effects import Effect, FinishRequest, ForwardRequest
from tamarackmount.kernel.forwarding import CallerRequest
from tamarackmount.kernel.membership import Member, Membership
from tamarackmount.kernel.messages import Heartbeat, Outcome, RefusalReason
from tamarackmount.kernel.request_effects import RequestTiming
from tamarackmount.kernel.request_part import RequestPart
from tamarackmount.kernel.timing import Timing

DC1, DC2, DC3 = (DataCentreId(name) for name in ("dc1", "dc2", "dc3"))
ME, X, Y = MemberId("a"), MemberId("x"), MemberId("y")
COUNTER = QueueName("counter")
ORDER = RequestId("dc2:order")
START = Instant(100.0)
BEFORE_LOSS = Instant(100.5)
AFTER_LOSS = Instant(105.0)
AFTER_DEADLINE = Instant(111.0)


class LocalMember:
    """A member whose peers ``x`` and ``y`` are in two other data centres."""

    def __init__(self) -> None:
        """Start after a heartbeat from each peer."""
        peers = [Member(X, DC2), Member(Y, DC3)]
        me = Member(ME, DC1)
        run = Incarnation(1)
        self.membership = Membership(me, run, peers, Timing(), START)
        directory = Directory()
        directory.queues_by_name = {COUNTER: QueueDocument(service="counter")}
        self.part = RequestPart(
            ME, run, DC1, RequestTiming(), directory, self.membership
        )
        self.part.set_vms([upstream("u2", DC2), upstream("u3", DC3)], START)
        self.receive_heartbeat(X, DC2)
        self.receive_heartbeat(Y, DC3)

    def receive_heartbeat(
        self, name: MemberId, where: DataCentreId, run: int = 1, at: Instant = START
    ) -> None:
        heartbeat = Heartbeat(
            member_id=name,
            incarnation=Incarnation(run),
            data_centre=where,
            sequence=1 + int(at),
            epoch=Epoch(1),
            owner=name,
            config_offset=Offset(1),
            log_age_ms=0,
        )
        self.membership.heartbeat_received(heartbeat, at)

    def submit(self, request_id: RequestId, *, idempotent: bool) -> list[Effect]:
        request = CallerRequest(
            call_id=1,
            request_id=request_id,
            team_id=WorkspaceId("retail"),
            queue=COUNTER,
            idempotent=idempotent,
            deadline=Instant(START + 10),
        )
        return self.part.submit(request, START)


def upstream(name: str, where: DataCentreId) -> Vm:
    return Vm(
        id=name,
        kind=VmKind.UPSTREAM,
        data_centre=where,
        rack=RackId("r1"),
        host="127.0.0.1",
        port=1,
        service="counter",
        slots=8,
    )


def targets(effects: list[Effect]) -> list[MemberId]:
    return [effect.to for effect in effects if isinstance(effect, ForwardRequest)]


def finishes(effects: list[Effect]) -> list[FinishRequest]:
    return [effect for effect in effects if isinstance(effect, FinishRequest)]


def test_non_idempotent_request_is_forwarded_to_its_home() -> None:
    assert targets(LocalMember().submit(ORDER, idempotent=False)) == [X]


def test_request_forwarded_to_a_restarted_member_is_unknown_at_once() -> None:
    member = LocalMember()
    member.submit(ORDER, idempotent=False)
    assert member.part.tick(BEFORE_LOSS) == []
    member.receive_heartbeat(X, DC2, run=2, at=BEFORE_LOSS)
    (finish,) = finishes(member.part.tick(BEFORE_LOSS))
    assert finish.outcome is Outcome.UNKNOWN
    assert finish.reason is RefusalReason.HOME_UNREACHABLE


def test_request_forwarded_to_a_lost_member_is_unknown_at_once() -> None:
    member = LocalMember()
    member.submit(ORDER, idempotent=False)
    (finish,) = finishes(member.part.tick(AFTER_LOSS))
    assert finish.outcome is Outcome.UNKNOWN


def test_unanswered_forwarded_request_is_unknown_at_its_deadline() -> None:
    member = LocalMember()
    member.submit(ORDER, idempotent=False)
    member.receive_heartbeat(X, DC2, at=Instant(AFTER_DEADLINE - 1))
    (finish,) = finishes(member.part.tick(AFTER_DEADLINE))
    assert finish.reason is RefusalReason.DEADLINE


def test_idempotent_request_forwarded_to_a_lost_member_is_served_elsewhere() -> None:
    member = LocalMember()
    assert targets(member.submit(RequestId("query"), idempotent=True)) == [X]
    member.receive_heartbeat(Y, DC3, at=Instant(AFTER_LOSS - 1))
    effects = member.part.tick(AFTER_LOSS)
    assert targets(effects) == [Y]
    assert finishes(effects) == []


def test_answer_is_valid_once_and_not_after_the_request_ended() -> None:
    member = LocalMember()
    member.submit(ORDER, idempotent=False)
    assert member.part.forward_ended(1, X)
    assert not member.part.forward_ended(1, X)
    member.submit(ORDER, idempotent=False)
    member.part.tick(AFTER_LOSS)
    assert not member.part.forward_ended(1, X)


def test_request_that_could_not_be_forwarded_was_not_run() -> None:
    member = LocalMember()
    member.submit(ORDER, idempotent=False)
    (finish,) = finishes(member.part.forward_not_sent(1, START))
    assert finish.outcome is Outcome.NOT_RUN
    assert member.part.unfinished == 0
