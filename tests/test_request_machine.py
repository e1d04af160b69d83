"""Request guarantees under message loss, delay, crashes, pauses and takeovers.

At most one member is stopped or paused at a time, and a member fails only after every
attempt that it has recorded is replicated, because attempts are kept by two members.
"""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    precondition,
    rule,
)

from tamarackmount.ids import Instant, RequestId, WorkspaceId
from tamarackmount.kernel.request_effects import NewRequest
from tests.utils.build_requests import COUNTER, DESIGN, M1, RETAIL
from tests.utils.fleet_machine import INDEX, FleetMachine
from tests.utils.prove import machine_settings
from tests.utils.request_fleet import Member


@dataclass(frozen=True)
class RequestDraft:
    """Parameters of a request to submit."""

    index: int
    team_id: WorkspaceId
    number: int
    idempotent: bool
    seconds: float


REQUEST_DRAFT = st.builds(
    RequestDraft,
    index=INDEX,
    team_id=st.sampled_from([RETAIL, DESIGN]),
    number=st.integers(0, 2),
    idempotent=st.booleans(),
    seconds=st.sampled_from([0.6, 1.5, 3.0, 5.0]),
)

ROUNDS = st.lists(INDEX, min_size=1, max_size=8)
"""Rounds without faults; a value divisible by 3 also answers an attempt."""


class RequestMachine(FleetMachine):
    """One data centre with random faults of the network, members and callers."""

    @initialize()
    def first_owner(self) -> None:
        self.fleet.take_over(self.fleet.members[M1], is_first_owner=True)
        self.fleet.replicate_attempts()

    def member(self, index: int) -> Member:
        running = self.fleet.running()
        return running[index % len(running)]

    @rule(
        drafts=st.lists(REQUEST_DRAFT, min_size=1, max_size=6), rounds=st.integers(0, 2)
    )
    def submit(self, drafts: list[RequestDraft], rounds: int) -> None:
        for draft in drafts:
            self.submit_one(draft)
        for _ in range(rounds):
            self.make_progress()

    def submit_one(self, draft: RequestDraft) -> None:
        member = self.member(draft.index)
        self.call_number += 1
        deadline = self.fleet.now + draft.seconds
        kind = "query" if draft.idempotent else "order"
        request = NewRequest(
            call_id=self.call_number,
            request_id=RequestId(f"{kind}-{draft.number}"),
            team_id=draft.team_id,
            queue=COUNTER,
            idempotent=draft.idempotent,
            deadline=Instant(self.fleet.clock(member.member_id, draft.seconds)),
        )
        self.fleet.submit(member, request, deadline)

    @rule(rounds=ROUNDS)
    def work(self, rounds: list[int]) -> None:
        """Deliver messages and answer some attempts without faults."""
        for index in rounds:
            self.make_progress()
            if index % 3 == 0:
                self.answer_one(index)

    def make_progress(self) -> None:
        self.deliver_all()
        self.deliver_all()
        self.connect_all()
        self.fleet.check()

    def deliver_all(self) -> None:
        for envelope in self.fleet.deliverable():
            self.fleet.network.remove(envelope)
            self.fleet.deliver(envelope)

    def answer_one(self, index: int) -> None:
        executions = self.fleet.answerable()
        if executions:
            self.fleet.answer(executions[index % len(executions)])

    @precondition(lambda self: self.fleet.connecting())
    @rule(index=INDEX)
    def connect(self, index: int) -> None:
        executions = self.fleet.connecting()
        self.fleet.connect(executions[index % len(executions)])

    @precondition(lambda self: self.fleet.connecting())
    @rule(index=INDEX)
    def fail_to_connect(self, index: int) -> None:
        executions = self.fleet.connecting()
        self.fleet.fail_to_connect(executions[index % len(executions)])

    @precondition(lambda self: self.fleet.answerable())
    @rule(index=INDEX)
    def disconnect(self, index: int) -> None:
        executions = self.fleet.answerable()
        self.fleet.disconnect(executions[index % len(executions)])

    @precondition(lambda self: self.fleet.open_calls())
    @rule(index=INDEX)
    def leave(self, index: int) -> None:
        calls = self.fleet.open_calls()
        self.fleet.leave(calls[index % len(calls)])

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.2, 0.2, 0.5, 1.7]))
    def advance(self, seconds: float) -> None:
        self.fleet.advance(seconds)
        self.fleet.check_in_time()

    @precondition(lambda self: len(self.fleet.running()) == 3)
    @rule(index=INDEX)
    def kill(self, index: int) -> None:
        self.fleet.replicate_attempts()
        self.fleet.kill(self.member(index))

    @precondition(lambda self: len(self.fleet.running()) == 3)
    @rule(index=INDEX)
    def pause(self, index: int) -> None:
        self.fleet.replicate_attempts()
        self.fleet.pause(self.member(index))

    @precondition(lambda self: len(self.fleet.running()) < 3)
    @rule()
    def come_back(self) -> None:
        """Bring every stopped or paused member back."""
        self.fleet.restore_all_members()

    @precondition(lambda self: len(self.fleet.running()) == 3)
    @rule(index=INDEX, successor=INDEX, kills=st.booleans())
    def fail_over(self, index: int, successor: int, kills: bool) -> None:
        """Stop or pause a member that has work; another member takes over."""
        self.fleet.replicate_attempts()
        member = self.member(index)
        if kills:
            self.fleet.kill(member)
        else:
            self.fleet.pause(member)
        self.fleet.take_over(self.member(successor))
        self.deliver_all()
        self.deliver_all()

    @precondition(lambda self: self.fleet.is_owner_unavailable())
    @rule(index=INDEX)
    def succeed(self, index: int) -> None:
        """Let a member take over from an owner that is stopped or paused."""
        self.fleet.take_over(self.member(index))

    @rule(index=INDEX, chance=st.integers(0, 5))
    def hand_over(self, index: int, chance: int) -> None:
        if not chance:
            self.fleet.take_over(self.member(index))


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = machine_settings(histories=500, steps=40)
