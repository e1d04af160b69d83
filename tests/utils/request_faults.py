"""Faults of members of a simulated fleet, and recovery from them."""

from tests.utils.request_fleet import Member
from tests.utils.request_network import REPLICATION_MESSAGES
from tests.utils.request_traffic import TrafficFleet


class FaultyFleet(TrafficFleet):
    """A fleet whose members can be killed, paused, restarted and resumed."""

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
        self.executions = [execution for execution in self.executions if execution.sent]

    def restart(self, member: Member) -> None:
        # The owner first learns that the previous incarnation is lost.
        self.update_owner_members()
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
            # Its lease has expired, which an owner checks before it acts.
            self.stop_dispatching(member)
        self.tick(member)

    def replicate_attempts(self) -> None:
        """Let every attempt be recorded by two running members."""
        self.update_owner_members()
        self.announce()
        for _ in range(30):
            for envelope in list(self.network):
                is_replication = isinstance(envelope.message, REPLICATION_MESSAGES)
                if is_replication and self.is_running(envelope.target):
                    self.network.remove(envelope)
                    self.deliver(envelope)
            if self.attempts_are_replicated():
                return
            self.advance(0.1)
        raise AssertionError("attempts are not replicated after 30 rounds")

    def attempts_are_replicated(self) -> bool:
        owner = self.dispatching_owner()
        if owner is None or owner.dispatcher is None:
            return True
        snapshot = owner.dispatcher.snapshot()
        return not snapshot.collecting_holdings and snapshot.copies_pending == 0

    def drain_and_check(self) -> None:
        """Run without faults and check that no loan and no request is left over."""
        self.restore_all_members()
        if self.owner is None:
            return
        if self.members[self.owner].dispatcher is None:
            self.take_over(self.members[self.owner])
        for _ in range(60):
            self._run_without_faults(0.2)
        owner = self.members[self.owner]
        assert owner.dispatcher is not None
        snapshot = owner.dispatcher.snapshot()
        assert snapshot.lent == 0, "some slots are still lent"
        assert snapshot.waiting == 0, "some tickets are still waiting"
        for member in self.members.values():
            assert member.table.in_flight == 0
            assert member.table.waiting == 0

    def restore_all_members(self) -> None:
        for member in self.members.values():
            if not member.is_up:
                self.restart(member)
            if member.is_paused:
                self.resume(member)

    def _run_without_faults(self, seconds: float) -> None:
        self.announce()
        self.update_owner_members()
        for envelope in list(self.network):
            self.network.remove(envelope)
            self.deliver(envelope)
        self.advance(seconds)
        self.check()
        self.check_in_time()
