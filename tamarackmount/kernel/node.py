"""Decision logic of one member: inputs go in, effects come out.

The node does no I/O. The daemon passes inputs to it and carries out its effects. Tests
drive several nodes and simulate the network, the log and the clock.
"""

from collections.abc import Mapping

from tamarackmount.adapters.log_schema import RecordPage
from tamarackmount.adapters.vm_schema import VmList
from tamarackmount.adapters.worker_schema import CommandReply, WorkerReport
from tamarackmount.documents import WhenCutOff
from tamarackmount.ids import (
    ConfigPath,
    Epoch,
    Instant,
    KeyHash,
    MemberId,
    Offset,
    QueueName,
    TicketId,
    WorkspaceId,
)
from tamarackmount.kernel.effects import (
    CallWorker,
    Effect,
    ReportProblem,
    SendPeer,
)
from tamarackmount.kernel.forwarding import CallerRequest
from tamarackmount.kernel.log_records import ConfigChange
from tamarackmount.kernel.log_writer import AppendResult
from tamarackmount.kernel.member_core import MemberCore, NodeTiming
from tamarackmount.kernel.messages import (
    AttemptCopied,
    AttemptCopy,
    AttemptResult,
    ForwardsClosed,
    HoldingsReport,
    HoldingsRequest,
    JobAnswer,
    JobCall,
    JobCopied,
    JobCopy,
    JobsHeld,
    JobsWanted,
    LoanCopied,
    LoanCopy,
    PeerMessage,
    RefusalReason,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketRequest,
    TicketWithdrawal,
)

__all__ = ["Node", "NodeTiming"]

OPEN_TEAM = WorkspaceId("-open")
"""Team of requests without a key to queues open to all; it has no document."""

CUT_OFF_AFTER_S = 13.0
"""Age of the configuration above which a member is cut off, in seconds."""

_REQUEST_MESSAGES = (
    TicketRequest,
    TicketGrant,
    TicketRefusal,
    TicketRelease,
    TicketWithdrawal,
    LoanCopy,
    LoanCopied,
    AttemptCopy,
    AttemptCopied,
    HoldingsRequest,
    HoldingsReport,
)
_JOB_MESSAGES = (JobCall, JobAnswer, JobCopy, JobCopied, JobsWanted, JobsHeld)


class Node(MemberCore):
    """Inputs of one member: callers, operators, the platform, peers and time."""

    def admit(
        self, queue: QueueName, key: KeyHash | None, now: Instant
    ) -> WorkspaceId | RefusalReason:
        """Return the team of a request to a queue, or why the request is refused."""
        if self._refusing:
            return RefusalReason.DRAINING
        rules = self.directory.queues_by_name.get(queue)
        if rules is None:
            return RefusalReason.UNKNOWN_QUEUE
        if rules.open_to_all and key is None:
            return OPEN_TEAM
        return self.team_of_key(key, now)

    def team_of_key(
        self, key: KeyHash | None, now: Instant
    ) -> WorkspaceId | RefusalReason:
        """Return the team that a key belongs to, or why its work is refused."""
        team_id = self.directory.team_of_key(key) if key is not None else None
        if team_id is None:
            return RefusalReason.BAD_KEY
        return self._unless_cut_off(team_id, now)

    def submit(self, request: CallerRequest, now: Instant) -> list[Effect]:
        """Accept an admitted request of a caller or a peer."""
        return self._check_for_pause(now) + self.requests.submit(request, now)

    def attempt_ended(
        self, ticket_id: TicketId, result: AttemptResult, now: Instant
    ) -> list[Effect]:
        """Handle the end of an attempt at an upstream."""
        effects = self._check_for_pause(now)
        return effects + self.requests.attempt_ended(ticket_id, result, now)

    def caller_disconnected(self, call_id: int, now: Instant) -> list[Effect]:
        """Handle that the caller of a request disconnected."""
        return self._check_for_pause(now) + self.requests.caller_disconnected(
            call_id, now
        )

    def job_call(self, call: JobCall, now: Instant) -> list[Effect]:
        """Handle a caller's call about jobs."""
        return self._check_for_pause(now) + self.jobs.call(call, now)

    def change_config(
        self, call_id: int, path: ConfigPath, expected: Offset, text: str, now: Instant
    ) -> list[Effect]:
        """Apply an operator's change of a document; the text has been checked."""
        change = ConfigChange(path=path, expected=expected, text=text)
        effects = self._check_for_pause(now)
        return effects + self._apply_log_output(
            self.log.change(call_id, change, now), now
        )

    def log_read(
        self, page: RecordPage, sent_at: Instant, now: Instant
    ) -> list[Effect]:
        """Handle records read from the log; ``sent_at`` is when it was requested."""
        effects = self._check_for_pause(now)
        return effects + self._apply_log_output(
            self.log.page_read(page, sent_at, now), now
        )

    def log_appended(self, result: AppendResult, now: Instant) -> list[Effect]:
        """Handle the result of an append to the log."""
        effects = self._check_for_pause(now)
        return effects + self._apply_log_output(self.log.appended(result, now), now)

    def vms_listed(self, vms: VmList, now: Instant) -> list[Effect]:
        """Apply a new VM list."""
        effects = self._check_for_pause(now)
        effects += self.requests.set_vms(vms.vms, now)
        return effects + self.jobs.set_vms(vms.vms, now)

    def worker_synced(
        self, call: CallWorker, report: WorkerReport, now: Instant
    ) -> list[Effect]:
        """Handle a worker's answer to a sync."""
        effects = self._check_for_pause(now)
        return effects + self.jobs.worker_synced(call.worker_id, report, now)

    def worker_answered(
        self, call: CallWorker, reply: CommandReply, now: Instant
    ) -> list[Effect]:
        """Handle a worker's answer to a command other than a sync."""
        return self._check_for_pause(now) + self.jobs.command_answered(call, reply, now)

    def worker_failed(self, call: CallWorker, now: Instant) -> list[Effect]:
        """Handle a failed call to a worker."""
        return self._check_for_pause(now) + self.jobs.worker_failed(call, now)

    def worker_stale(
        self, call: CallWorker, highest: Epoch, now: Instant
    ) -> list[Effect]:
        """Handle a worker's refusal of a stale epoch.

        ``highest`` is the highest epoch that the worker knows. A refusal of a command
        of an earlier epoch of this member is ignored.
        """
        effects = self._check_for_pause(now)
        if call.command.epoch != self.ownership.epoch:
            return effects
        effects += self.jobs.worker_stale(call.worker_id, highest, now)
        lost = self.ownership.superseded(highest, now)
        return effects + self._ownership_effects(lost, now)

    def drain(self, now: Instant) -> list[Effect]:
        """Prepare for a planned stop: announce it in heartbeats, hand over ownership.

        The member remains the owner while no other member can take over.
        """
        effects = self._check_for_pause(now)
        self._draining = True
        effects += self._hand_over(now)
        self._heartbeats.send_remote_now(now)
        effects += self._send_heartbeats(self.membership.local_targets(), now)
        return effects + self._send_heartbeats(self.membership.remote_peers(), now)

    def refuse_new(self) -> None:
        """Refuse all new requests from now on."""
        self._refusing = True

    @property
    def is_refusing(self) -> bool:
        """Whether this member refuses new requests, forwarded ones too."""
        return self._refusing

    def close_forwards(
        self, taken_by_peer: Mapping[MemberId, list[int]]
    ) -> list[Effect]:
        """Tell all members of other data centres that this one takes no more requests.

        ``taken_by_peer`` has the call ids of the forwarded requests that it took.
        """
        return [
            SendPeer(
                peer, ForwardsClosed(self._incarnation, taken_by_peer.get(peer, []))
            )
            for peer in self.membership.remote_peers()
        ]

    def peer_message(
        self, sender: MemberId, message: PeerMessage, now: Instant
    ) -> list[Effect]:
        """Handle a message from another member."""
        if self.membership.data_centre_of(sender) is None:
            return [
                ReportProblem(
                    f"discarded a message from {sender}, which is not a known peer"
                )
            ]
        effects = self._check_for_pause(now)
        if isinstance(message, _REQUEST_MESSAGES):
            return effects + self.requests.peer_message(sender, message, now)
        if isinstance(message, _JOB_MESSAGES):
            return effects + self.jobs.peer_message(sender, message, now)
        return effects + self._member_message(sender, message, now)

    def tick(self, now: Instant) -> list[Effect]:
        """Handle everything that is due.

        The caller ticks several times per heartbeat interval.
        """
        effects = self._check_for_pause(now)
        self._last_tick = now
        effects += self._hand_over(now)
        effects += self._tick_ownership(now)
        effects += self._tick_members(now)
        effects += self._send_heartbeats(
            self._heartbeats.due(now, is_leaving=self._draining), now
        )
        effects += self._apply_log_output(self.log.tick(now), now)
        effects += self.requests.tick(now)
        effects += self.jobs.tick(now)
        return effects

    def config_age_s(self, now: Instant) -> float:
        """Return the maximum age of this member's configuration, in seconds.

        That is the time since this member or one of its live peers last read the log
        to its end, or infinity if none of them ever did.
        """
        ages = [self.membership.min_log_age_s(now)]
        own = self.log.end_read_age_s(now)
        return min(ages if own is None else [*ages, own])

    def _unless_cut_off(
        self, team_id: WorkspaceId, now: Instant
    ) -> WorkspaceId | RefusalReason:
        when = self.directory.teams_by_id[team_id].when_cut_off
        if when is WhenCutOff.REFUSE and self.config_age_s(now) > CUT_OFF_AFTER_S:
            return RefusalReason.CUT_OFF
        return team_id
