"""Traffic of callers and upstreams of a simulated fleet."""

from tamarackmount.kernel.messages import AttemptResult
from tamarackmount.kernel.request_effects import NewRequest
from tests.utils.request_callers import Call, Execution
from tests.utils.request_fleet import Fleet, Member


class TrafficFleet(Fleet):
    """A fleet with callers, and with upstreams that answer or fail."""

    def submit(self, member: Member, request: NewRequest, deadline: float) -> None:
        call = Call(request.call_id, member.member_id, request, deadline)
        self.calls[request.call_id] = call
        now = self.clock(member.member_id)
        self.apply_effects(member, member.table.submit(request, now))
        self.deliver_local()

    def leave(self, call: Call) -> None:
        call.left = True
        member = self.members[call.member_id]
        now = self.clock(member.member_id)
        self.apply_effects(member, member.table.caller_disconnected(call.call_id, now))
        self.deliver_local()

    def connecting(self) -> list[Execution]:
        return [
            execution
            for execution in self.executions
            if not execution.sent and self.is_running(execution.call.member_id)
        ]

    def executing(self) -> list[Execution]:
        return [
            execution
            for execution in self.executions
            if execution.occupies_slot(self.now)
        ]

    def answerable(self) -> list[Execution]:
        return [
            execution
            for execution in self.executing()
            if self._can_receive_answer(execution)
        ]

    def open_calls(self) -> list[Call]:
        return [
            call
            for call in self.calls.values()
            if not (call.finishes or call.left or call.lost)
            and self.is_running(call.member_id)
        ]

    def _can_receive_answer(self, execution: Execution) -> bool:
        member = self.members[execution.call.member_id]
        return not member.is_paused

    def connect(self, execution: Execution) -> None:
        execution.sent = True
        execution.call.sent = True

    def fail_to_connect(self, execution: Execution) -> None:
        self.executions.remove(execution)
        self._end(execution, AttemptResult.FAILED_BEFORE_SEND)

    def answer(self, execution: Execution) -> None:
        execution.done = True
        if execution.connected:
            execution.connected = False
            execution.call.answered = True
            self._end(execution, AttemptResult.ANSWERED)

    def disconnect(self, execution: Execution) -> None:
        if execution.connected:
            execution.connected = False
            self._end(execution, AttemptResult.FAILED_AFTER_SEND)

    def _end(self, execution: Execution, result: AttemptResult) -> None:
        member = self.members[execution.call.member_id]
        now = self.clock(member.member_id)
        ticket_id = execution.ticket_id
        self.apply_effects(member, member.table.attempt_ended(ticket_id, result, now))
        self.deliver_local()
