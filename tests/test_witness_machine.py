"""Slots and ceilings are never exceeded while two of three members are unavailable.

All requests are idempotent, so no attempt has to be remembered and members may fail
at any moment: killed, paused or restarted.
"""

from enum import Enum

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    precondition,
    rule,
)

from tamarackmount.ids import Instant, MemberId, RequestId, WorkspaceId
from tamarackmount.kernel.messages import LoanCopied, LoanCopy
from tamarackmount.kernel.request_effects import NewRequest
from tests.utils.build_requests import COUNTER, DESIGN, M1, M2, M3, RETAIL
from tests.utils.fleet_machine import FleetMachine
from tests.utils.prove import machine_settings
from tests.utils.request_fleet import Member

MEMBER = st.sampled_from([M1, M2, M3])
"""A member; most rules use another one if it is not running."""

PASSES = 5
"""Rounds of messages from a ticket request to its grant, the witness included."""

TEAMS = st.lists(st.sampled_from([RETAIL, DESIGN, DESIGN]), min_size=1, max_size=4)


class Fault(Enum):
    """How a member becomes unavailable."""

    DEAD = "dead"
    PAUSED = "paused"
    RESTARTED = "restarted"


LOSSES = st.lists(
    st.tuples(MEMBER, st.sampled_from(Fault), st.booleans()), min_size=1, max_size=3
)
"""Members lost one after another, and whether the owner notices each loss."""


class WitnessMachine(FleetMachine):
    """One data centre that may lose its owner and another member together."""

    @initialize()
    def first_owner(self) -> None:
        self.fleet.take_over(self.fleet.members[M1], is_first_owner=True)
        self.deliver_all()
        self.deliver_all()

    def running(self, member_id: MemberId) -> Member:
        """Return a member, or the next one that runs."""
        running = self.fleet.running()
        wanted = [member for member in running if member.member_id >= member_id]
        return (wanted or running)[0]

    @rule(member_id=MEMBER, teams=TEAMS)
    def submit(self, member_id: MemberId, teams: list[WorkspaceId]) -> None:
        for team_id in teams:
            self.submit_one(self.running(member_id), team_id)

    def submit_one(self, member: Member, team_id: WorkspaceId) -> None:
        self.call_number += 1
        seconds = 3.0
        request = NewRequest(
            call_id=self.call_number,
            request_id=RequestId(f"query-{self.call_number}"),
            team_id=team_id,
            queue=COUNTER,
            idempotent=True,
            deadline=Instant(self.fleet.clock(member.member_id, seconds)),
        )
        self.fleet.submit(member, request, self.fleet.now + seconds)

    @rule(member_id=MEMBER, teams=TEAMS, holds_copies=st.booleans())
    def work(
        self, member_id: MemberId, teams: list[WorkspaceId], holds_copies: bool
    ) -> None:
        """Send requests of one member through to their upstreams."""
        self.submit(member_id, teams)
        for _ in range(PASSES):
            self.deliver_all(holds_copies=holds_copies)
        self.connect_all()
        self.fleet.check()

    @rule(holds_copies=st.booleans())
    def deliver_all(self, holds_copies: bool = False) -> None:
        """Deliver the messages in flight, optionally without loan copies."""
        for envelope in self.fleet.deliverable():
            is_copy = isinstance(envelope.message, LoanCopy | LoanCopied)
            if not (holds_copies and is_copy):
                self.fleet.network.remove(envelope)
                self.fleet.deliver(envelope)

    @rule()
    def connect(self) -> None:
        self.connect_all()

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.2, 0.5, 0.9]))
    def advance(self, seconds: float) -> None:
        self.fleet.advance(seconds)
        self.fleet.check_in_time()

    @precondition(lambda self: len(self.fleet.running()) > 1)
    @rule(member_id=MEMBER, kills=st.booleans(), is_noticed=st.booleans())
    def lose_member(self, member_id: MemberId, kills: bool, is_noticed: bool) -> None:
        self.lose_one(self.running(member_id), kills)
        if is_noticed:
            self.fleet.update_owner_members()

    def lose_one(self, member: Member, kills: bool) -> None:
        if kills:
            self.fleet.kill(member)
        else:
            self.fleet.pause(member)

    @rule(member_id=MEMBER)
    def come_back(self, member_id: MemberId) -> None:
        member = self.fleet.members[member_id]
        if not member.is_up:
            self.fleet.restart(member)
        elif member.is_paused:
            self.fleet.resume(member)
        self.fleet.update_owner_members()

    @precondition(lambda self: len(self.fleet.running()) > 1)
    @rule(member_id=MEMBER, is_noticed=st.booleans())
    def restart(self, member_id: MemberId, is_noticed: bool) -> None:
        member = self.running(member_id)
        if member.member_id == self.fleet.owner:
            return
        self.fleet.kill(member)
        self.fleet.restart(member)
        if is_noticed:
            self.fleet.update_owner_members()

    @precondition(lambda self: len(self.fleet.running()) > 1)
    @rule(kills=st.booleans(), successor=MEMBER, rounds=st.integers(0, 3))
    def fail_over(self, kills: bool, successor: MemberId, rounds: int) -> None:
        """Lose the owner during its work; another member takes over."""
        owner = self.fleet.dispatching_owner()
        if owner is not None:
            self.lose_one(owner, kills)
        self.fleet.take_over(self.running(successor))
        for _ in range(rounds):
            self.deliver_all()
        self.connect_all()

    @rule(
        loaded=st.lists(MEMBER, min_size=1, max_size=3),
        losses=LOSSES,
        holds_copies=st.booleans(),
        pause_s=st.sampled_from([0.0, 0.1, 0.3]),
        successor=MEMBER,
    )
    def lose_several(
        self,
        loaded: list[MemberId],
        losses: list[tuple[MemberId, Fault, bool]],
        holds_copies: bool,
        pause_s: float,
        successor: MemberId,
    ) -> None:
        """Lose members while every slot is in use; then fill the new owner's slots."""
        self.settle()
        for member_id in loaded:
            self.work(member_id, [DESIGN, DESIGN], holds_copies)
        for member_id, fault, is_noticed in losses:
            self.lose_for_now(member_id, fault)
            if is_noticed:
                self.fleet.update_owner_members()
                self.deliver_all()
            self.work(self.running(member_id).member_id, [DESIGN], holds_copies)
        if pause_s:
            self.fleet.advance(pause_s)
        self.fleet.take_over(self.running(successor))
        self.deliver_all()
        self.work(successor, [DESIGN, RETAIL, DESIGN, DESIGN], False)

    def settle(self) -> None:
        """Wait until loans and quarantines of earlier faults are over."""
        self.fleet.restore_all_members()
        if self.fleet.is_owner_unavailable() or not self.owner_dispatches():
            self.fleet.take_over(self.running(M1))
        for _ in range(8):
            self.announce()
            self.deliver_all()
            self.deliver_all()
            self.fleet.advance(0.2)
            self.fleet.check()

    def owner_dispatches(self) -> bool:
        owner = self.fleet.dispatching_owner()
        return owner is not None and owner.dispatcher is not None

    def lose_for_now(self, member_id: MemberId, fault: Fault) -> None:
        member = self.running(member_id)
        if len(self.fleet.running()) == 1 and fault is not Fault.RESTARTED:
            return
        if fault is Fault.PAUSED:
            self.fleet.pause(member)
            return
        self.fleet.kill(member)
        if fault is Fault.RESTARTED:
            self.fleet.restart(member)

    @precondition(lambda self: self.fleet.is_owner_unavailable())
    @rule(member_id=MEMBER)
    def succeed(self, member_id: MemberId) -> None:
        self.fleet.take_over(self.running(member_id))

    @rule(member_id=MEMBER, chance=st.integers(0, 2))
    def hand_over(self, member_id: MemberId, chance: int) -> None:
        if not chance:
            self.fleet.take_over(self.running(member_id))


TestWitnessMachine = WitnessMachine.TestCase
TestWitnessMachine.settings = machine_settings(histories=150, steps=50)
