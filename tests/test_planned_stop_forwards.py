"""Two and three members over links in memory while one of them stops as planned.

A request forwarded to the member that stops must end at once with a true outcome: a
caller that is told ``unknown`` may not submit a non-idempotent request again.
"""

from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from tamarackmount.checks import check_settings
from tamarackmount.daemon import service
from tamarackmount.daemon.http_responses import FinalResponse
from tamarackmount.daemon.request_calls import RequestContent
from tamarackmount.daemon.service import Daemon
from tamarackmount.ids import MemberId, QueueName, RequestId, WorkspaceId
from tamarackmount.internal.codec import Envelope
from tamarackmount.kernel.messages import ForwardedReply, ForwardedRequest, Outcome
from tests.utils.build_settings import settings_text

SENDER, STOPPING, STAYING = (
    MemberId(name) for name in ("dc1-a", "dc2-stopping", "dc2-staying")
)
DATA_CENTRE_BY_MEMBER = {SENDER: "dc1", STOPPING: "dc2", STAYING: "dc2"}
STEP_S = 0.025
NOTICE_S = 2.0


class Links:
    """The links of one daemon; a message in ``network`` takes one step."""

    def __init__(self, cell: "Cell", member_id: MemberId) -> None:
        """Connect a member of a cell."""
        self._cell = cell
        self._member_id = member_id

    def send(self, to: MemberId, message: Any) -> bool:
        if to in self._cell.stopped:
            return False
        self._cell.sent.append((self._member_id, to, message))
        return True

    def stop(self) -> None:
        self._cell.stopped.add(self._member_id)


class Sink:
    """Keeps the responses to a request."""

    def __init__(self) -> None:
        """Begin without a response."""
        self.responses: list[FinalResponse] = []

    def finish(self, response: FinalResponse) -> None:
        self.responses.append(response)


class Cell:
    """Daemons without sockets in virtual time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *members: MemberId) -> None:
        """Prepare the daemons of ``members``."""
        self.now = 100.0
        self.sent: list[tuple[MemberId, MemberId, Any]] = []
        self.lost_types: tuple[type, ...] = ()
        self.stopped: set[MemberId] = set()
        self.delivered: list[tuple[MemberId, MemberId, Any]] = []
        monkeypatch.setattr(service, "read_clock", lambda: self.now)
        self.daemons = {member: self._daemon(member, members) for member in members}

    def _daemon(self, member: MemberId, members: tuple[MemberId, ...]) -> Any:
        text = settings_text().partition("[[peers]]")[0]
        own = DATA_CENTRE_BY_MEMBER[member]
        text = text.replace('"entry-1"', f'"{member}"').replace('"dc1"', f'"{own}"')
        for number, peer in enumerate(members):
            if peer != member:
                text += (
                    f'[[peers]]\nid = "{peer}"\n'
                    f'data_centre = "{DATA_CENTRE_BY_MEMBER[peer]}"\n'
                    f'host = "192.0.2.{number + 9}"\npeer_port = 8081\n\n'
                )
        daemon: Any = Daemon(check_settings(text, "").unwrap(), MemoryReactorClock())  # type: ignore[no-untyped-call]
        daemon._links = Links(self, member)
        daemon._http_port = daemon._log_task = daemon._vm_task = Stoppable()
        return daemon

    def elapse(self, seconds: float) -> None:
        """Tick the daemons and deliver what they sent."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for member, daemon in self.daemons.items():
                if member not in self.stopped:
                    daemon._tick()
            self.deliver()

    def deliver(self) -> None:
        sent, self.sent = self.sent, []
        for sender, to, message in sent:
            if to in self.stopped or isinstance(message, self.lost_types):
                continue
            self.delivered.append((sender, to, message))
            self.daemons[to]._receive(Envelope(sender, message))

    def submit(self, request_id: str = "dc2:order") -> Sink:
        sink = Sink()
        content = RequestContent(
            RequestId(request_id),
            WorkspaceId("retail"),
            QueueName("counter"),
            idempotent=False,
            method="POST",
            path="/",
            headers=[],
            body=b"",
            traceparent="",
        )
        self.daemons[SENDER].submit_request(content, 10_000, sink)
        return sink

    def forwards_to(self, member: MemberId) -> int:
        return sum(
            to == member and isinstance(message, ForwardedRequest)
            for _, to, message in self.delivered
        )

    def until_stopped(self) -> None:
        for _ in range(400):
            if self.daemons[STOPPING]._node._refusing:
                return
            self.elapse(STEP_S)
        raise AssertionError("the stop did not reach its refusing phase")


class Stoppable:
    """Stands in for a component that only has to stop."""

    def stop(self) -> None:
        """Do nothing."""

    def stopListening(self) -> None:  # noqa: N802
        """Do nothing."""


def test_forward_that_a_stopped_member_never_read_is_not_run_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against `unknown` three seconds later, when the member counts as lost.
    cell = Cell(monkeypatch, SENDER, STOPPING)
    cell.elapse(2.5)
    cell.daemons[STOPPING].drain()
    cell.until_stopped()
    cell.lost_types = (ForwardedRequest,)
    sink = cell.submit()
    cell.elapse(1.0)
    assert STOPPING in cell.stopped
    assert [response.outcome for response in sink.responses] == [Outcome.NOT_RUN]


def test_forward_to_a_member_that_refuses_is_answered_before_its_links_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cell = Cell(monkeypatch, SENDER, STOPPING)
    cell.elapse(2.5)
    cell.daemons[STOPPING].drain()
    cell.until_stopped()
    sink = cell.submit()
    cell.elapse(3 * STEP_S)
    assert STOPPING not in cell.stopped
    assert [response.outcome for response in sink.responses] == [Outcome.NOT_RUN]


def test_forward_that_arrives_after_the_end_is_not_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an attempt whose answer is dropped since the links are closed.
    cell = Cell(monkeypatch, SENDER, STOPPING)
    cell.elapse(2.5)
    cell.daemons[STOPPING].drain()
    cell.until_stopped()
    daemon = cell.daemons[STOPPING]
    while daemon._close_links_at is None:
        cell.elapse(STEP_S)
    sink = cell.submit()
    cell.elapse(3 * STEP_S)
    assert len(daemon._calls) == 0
    assert [response.outcome for response in sink.responses] == [Outcome.NOT_RUN]


def test_forward_that_was_taken_and_not_answered_is_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a false `not run` after an answer was lost.
    cell = Cell(monkeypatch, SENDER, STOPPING)
    cell.elapse(2.5)
    cell.lost_types = (ForwardedReply,)
    sink = cell.submit()
    cell.elapse(STEP_S)
    assert cell.forwards_to(STOPPING) == 1
    cell.daemons[STOPPING].drain()
    cell.elapse(NOTICE_S + 1.5)
    assert STOPPING in cell.stopped
    assert [response.outcome for response in sink.responses] == [Outcome.UNKNOWN]


def test_forward_that_was_not_taken_goes_to_the_next_member_of_its_home(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cell = Cell(monkeypatch, SENDER, STOPPING, STAYING)
    cell.elapse(2.5)
    cell.daemons[SENDER]._node.membership.contact = _contact_of_one_that_stops(cell)
    cell.daemons[STOPPING].drain()
    cell.until_stopped()
    cell.submit()
    cell.elapse(4 * STEP_S)
    assert cell.forwards_to(STOPPING) == 1
    assert cell.forwards_to(STAYING) == 1


def _contact_of_one_that_stops(cell: Cell) -> Any:
    """Return the choice of a sender that has not heard of the planned stop."""
    membership = cell.daemons[SENDER]._node.membership
    contact = type(membership).contact

    def choose(data_centre: Any, now: Any, excluded: Any = frozenset()) -> Any:
        if STOPPING not in excluded:
            return STOPPING
        return contact(membership, data_centre, now, excluded)

    return choose


def test_planned_stop_is_known_in_other_data_centres_before_it_refuses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against forwards to a member that stops while another one is there but
    # unknown to the sender, because only one member gets regular heartbeats.
    cell = Cell(monkeypatch, SENDER, STOPPING, STAYING)
    cell.elapse(0.1)
    cell.daemons[STOPPING].drain()
    cell.until_stopped()
    membership = cell.daemons[SENDER]._node.membership
    assert membership.contact("dc2", cell.now) == STAYING
