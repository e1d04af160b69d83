"""Requests handed to another data centre end truthfully when it is lost."""

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
    TeamId,
)
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.effects import Effect, FinishRequest, ForwardRequest
from tamarackmount.kernel.forwarding import CallerRequest
from tamarackmount.kernel.membership import Member, Membership
from tamarackmount.kernel.messages import Heartbeat, Outcome, RefusalReason
from tamarackmount.kernel.request_effects import RequestTiming
from tamarackmount.kernel.request_part import RequestPart
from tamarackmount.kernel.timing import Timing

HERE, THERE, ELSEWHERE = (DataCentreId(name) for name in ("dc1", "dc2", "dc3"))
ME, X, Y = MemberId("a"), MemberId("x"), MemberId("y")
COUNTER = QueueName("counter")
ORDER = RequestId("dc2:order")
START = Instant(100.0)
SOON = Instant(100.5)
LOST = Instant(105.0)
LATE = Instant(111.0)


class Site:
    """One member whose peers are in two other data centres, ``x`` and ``y``."""

    def __init__(self) -> None:
        """Start with both peers heard."""
        peers = [Member(X, THERE), Member(Y, ELSEWHERE)]
        me = Member(ME, HERE)
        run = Incarnation(1)
        self.membership = Membership(me, run, peers, Timing(), START)
        directory = Directory()
        directory.queues_by_name = {COUNTER: QueueDocument(service="counter")}
        self.part = RequestPart(
            ME, run, HERE, RequestTiming(), directory, self.membership
        )
        self.part.set_vms([upstream("u2", THERE), upstream("u3", ELSEWHERE)], START)
        self.hear(X, THERE)
        self.hear(Y, ELSEWHERE)

    def hear(
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
            team_id=TeamId("retail"),
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


def test_non_idempotent_request_goes_to_its_home() -> None:
    assert targets(Site().submit(ORDER, idempotent=False)) == [X]


def test_request_of_a_member_that_began_anew_is_unknown_at_once() -> None:
    site = Site()
    site.submit(ORDER, idempotent=False)
    assert site.part.tick(SOON) == []
    site.hear(X, THERE, run=2, at=SOON)
    (finish,) = finishes(site.part.tick(SOON))
    assert finish.outcome is Outcome.UNKNOWN
    assert finish.reason is RefusalReason.HOME_UNREACHABLE


def test_request_of_a_lost_member_is_unknown_at_once() -> None:
    site = Site()
    site.submit(ORDER, idempotent=False)
    (finish,) = finishes(site.part.tick(LOST))
    assert finish.outcome is Outcome.UNKNOWN


def test_request_without_an_answer_is_unknown_at_its_deadline() -> None:
    site = Site()
    site.submit(ORDER, idempotent=False)
    site.hear(X, THERE, at=Instant(LATE - 1))
    (finish,) = finishes(site.part.tick(LATE))
    assert finish.reason is RefusalReason.DEADLINE


def test_idempotent_request_of_a_lost_member_is_served_elsewhere() -> None:
    site = Site()
    assert targets(site.submit(RequestId("query"), idempotent=True)) == [X]
    site.hear(Y, ELSEWHERE, at=Instant(LOST - 1))
    effects = site.part.tick(LOST)
    assert targets(effects) == [Y]
    assert finishes(effects) == []


def test_answer_counts_once_and_not_after_the_request_was_given_up() -> None:
    site = Site()
    site.submit(ORDER, idempotent=False)
    assert site.part.forward_ended(1)
    assert not site.part.forward_ended(1)
    site.submit(ORDER, idempotent=False)
    site.part.tick(LOST)
    assert not site.part.forward_ended(1)


def test_request_that_could_not_be_handed_over_was_not_run() -> None:
    site = Site()
    site.submit(ORDER, idempotent=False)
    (finish,) = finishes(site.part.forward_not_sent(1))
    assert finish.outcome is Outcome.NOT_RUN
    assert site.part.under_way == 0
