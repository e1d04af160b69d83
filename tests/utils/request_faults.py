"""Faults of members of a fleet under test, and the way back to order."""

from tests.utils.request_fleet import Member
from tests.utils.request_network import REPLICATION_MESSAGES
from tests.utils.request_traffic import TrafficFleet


class FaultyFleet(TrafficFleet):
    """A fleet whose members die, pause and come back."""

    def kill(self, member: Member) -> None:
        member.is_up = False
        member.stopped_at = self.now
        member.dispatcher = None
        for call in self.calls.values():
            if call.member_id == member.member_id and not call.finishes:
                call.lost = True
        for execution in self.executions:
            if execution.call.member_id == member.member_id:
                execution.connected = False
        self.executions = [one for one in self.executions if one.sent]

    def restart(self, member: Member) -> None:
        # The owner notices the new incarnation: the earlier one is lost first.
        self.tell_owner_of_members()
        member.incarnation += 1
        member.table = self.new_table(member.member_id, member.incarnation)
        member.owner = None
        member.known_epoch = 0
        member.started_at = self.now
        member.is_up = True

    def pause(self, member: Member) -> None:
        member.is_paused = True
        member.stopped_at = self.now

    def resume(self, member: Member) -> None:
        member.is_paused = False
        member.table.witness.mark_suspected_lost(self.clock(member.member_id))
        if self.owner != member.member_id:
            # Its lease has lapsed, which it checks before it acts as the owner.
            self.stop_dispatching(member)
        self.tick(member)

    def settle_attempts(self) -> None:
        """Let every attempt be remembered by two members that run."""
        self.tell_owner_of_members()
        self.announce()
        for _ in range(30):
            for envelope in list(self.network):
                is_replication = isinstance(envelope.message, REPLICATION_MESSAGES)
                if is_replication and self.is_running(envelope.target):
                    self.network.remove(envelope)
                    self.deliver(envelope)
            if self.attempts_are_settled():
                return
            self.advance(0.1)
        raise AssertionError("attempts do not settle")

    def attempts_are_settled(self) -> bool:
        owner = self.dispatching_owner()
        if owner is None or owner.dispatcher is None:
            return True
        snapshot = owner.dispatcher.snapshot()
        return not snapshot.collecting_holdings and snapshot.copies_pending == 0

    def end_quietly(self) -> None:
        """Let everything end with a working network; nothing may be left over."""
        self.bring_everyone_back()
        if self.owner is None:
            return
        if self.members[self.owner].dispatcher is None:
            self.take_over(self.members[self.owner])
        for _ in range(60):
            self._run_without_faults(0.2)
        owner = self.members[self.owner]
        assert owner.dispatcher is not None
        snapshot = owner.dispatcher.snapshot()
        assert snapshot.lent == 0, "slots are lent for good"
        assert snapshot.waiting == 0, "tickets wait for good"
        for member in self.members.values():
            assert member.table.in_flight == 0
            assert member.table.waiting == 0

    def bring_everyone_back(self) -> None:
        for member in self.members.values():
            if not member.is_up:
                self.restart(member)
            if member.is_paused:
                self.resume(member)

    def _run_without_faults(self, seconds: float) -> None:
        self.announce()
        self.tell_owner_of_members()
        for envelope in list(self.network):
            self.network.remove(envelope)
            self.deliver(envelope)
        self.advance(seconds)
        self.check()
        self.check_in_time()
