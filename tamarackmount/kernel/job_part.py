"""The part of a node that handles jobs: call relay, record store and scheduler.

The owner of a data centre runs its scheduler. Every member stores copies of the data
centre's job records; a new owner requests them from every live member, and reads
those of the log, before it starts its scheduler.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from itertools import count

from tamarackmount.adapters.vm_schema import Vm, VmKind, VmState
from tamarackmount.adapters.worker_schema import CommandReply, SyncCommand, WorkerReport
from tamarackmount.ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    RecordId,
    WorkerId,
)
from tamarackmount.internal.addresses import Address
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.effects import (
    CallWorker,
    Effect,
    FinishJobCall,
    ReportProblem,
    SendPeer,
    WorkerAction,
)
from tamarackmount.kernel.full_resync import FullResync
from tamarackmount.kernel.job_effects import (
    AnswerJob,
    CheckpointTask,
    DropRecords,
    JobEffect,
    ListedWorker,
    SaveRecords,
    SchedulerTiming,
    StartTask,
    StopTask,
    SyncWorker,
)
from tamarackmount.kernel.job_limits import job_limits
from tamarackmount.kernel.job_record_store import JobRecordStore
from tamarackmount.kernel.job_refusals import no_answer, no_owner, unreachable
from tamarackmount.kernel.job_relays import JobRelays
from tamarackmount.kernel.log_records import JobRecords
from tamarackmount.kernel.log_state_machine import LogStateMachine
from tamarackmount.kernel.log_writer import WriteResult
from tamarackmount.kernel.membership import Membership
from tamarackmount.kernel.messages import (
    JobAnswer,
    JobCall,
    JobCopied,
    JobCopy,
    JobsHeld,
    JobsWanted,
    PeerMessage,
)
from tamarackmount.kernel.record_recovery import RecordRecovery
from tamarackmount.kernel.record_replication import (
    SAVE_TIMEOUT_S,
    RecordReplication,
    ReplicaLagging,
    ReplicationEffect,
    RetryLogWrite,
    Saved,
    SaveRefused,
    SendCopy,
)
from tamarackmount.kernel.scheduler import Scheduler
from tamarackmount.resources import Resources

RECORDS_PER_MESSAGE = 200
"""Maximum number of job records in one message between members."""

NUMBERS_PER_MS = 1 << 20
"""Message numbers reserved for each millisecond of a member's incarnation.

Incarnations count milliseconds, so that no two runs of a member use the same number.
"""


class JobPart:
    """Handles the jobs of one member's data centre, as owner or follower."""

    def __init__(
        self,
        member_id: MemberId,
        incarnation: Incarnation,
        data_centre: DataCentreId,
        timing: SchedulerTiming,
        directory: Directory,
        membership: Membership,
        log: LogStateMachine,
    ) -> None:
        """Start without an owner, records or workers."""
        self._member_id = member_id
        self._data_centre = data_centre
        self._timing = timing
        self._directory = directory
        self._membership = membership
        self._log = log
        self._owner: MemberId | None = None
        self._epoch = Epoch(0)
        self._record_store = JobRecordStore()
        self._scheduler: Scheduler | None = None
        self._numbers = count(incarnation * NUMBERS_PER_MS + 1)
        self._replication = RecordReplication(Epoch(0), self._numbers)
        self._full_resync = FullResync(Epoch(0), self._numbers)
        self._record_recovery: RecordRecovery | None = None
        self._workers_by_id: dict[WorkerId, ListedWorker] = {}
        self._listed_workers: list[ListedWorker] = []
        self._relays = JobRelays(self._numbers)

    @property
    def scheduler(self) -> Scheduler | None:
        """The scheduler, or ``None`` unless this member is the owner and ready."""
        return self._scheduler

    @property
    def record_count(self) -> int:
        """Number of jobs whose records this member stores."""
        return len(self._record_store)

    def call(self, call: JobCall, now: Instant) -> list[Effect]:
        """Handle a call from one of this member's own callers."""
        relayed = self._relays.open(self._member_id, self._member_id, call, now)
        return self._route(self._member_id, relayed, now)

    def ownership_taken(
        self, epoch: Epoch, live: Iterable[MemberId], now: Instant
    ) -> list[Effect]:
        """Request the records of every live member, then start the scheduler."""
        self._owner = self._member_id
        self._epoch = epoch
        self._scheduler = None
        others = set(live) - {self._member_id}
        self._record_recovery = RecordRecovery(epoch, others, now)
        return self._request_records(now) + self._start_scheduler_if_ready(now)

    def owner_seen(
        self, owner: MemberId | None, epoch: Epoch, now: Instant
    ) -> list[Effect]:
        """Follow another owner, or none."""
        self._owner = owner
        self._epoch = max(self._epoch, epoch)
        self._record_recovery = None
        self._scheduler = None
        self._replication = RecordReplication(self._epoch, self._numbers)
        self._full_resync = FullResync(self._epoch, self._numbers)
        return []

    def member_joined(self, member_id: MemberId, now: Instant) -> list[Effect]:
        """Exchange records with a member that restarted or became reachable again."""
        if self._record_recovery is None:
            return []
        self._record_recovery.add_member(member_id, now)
        effects = self._request_records(now)
        if self._scheduler is None:
            return effects
        self._full_resync.begin(
            member_id, _split_into_messages(self._record_store.texts()), now
        )
        return effects + self._apply_replication_effects(
            self._replication.member_joined(member_id), now
        )

    def member_lost(self, member_id: MemberId, now: Instant) -> list[Effect]:
        """Stop waiting for the answers of a lost member."""
        self._full_resync.member_lost(member_id)
        effects = self._apply_replication_effects(
            self._replication.member_lost(member_id), now
        )
        if self._record_recovery is not None:
            self._record_recovery.member_lost(member_id)
        return effects + self._start_scheduler_if_ready(now)

    def set_vms(self, vms: Sequence[Vm], now: Instant) -> list[Effect]:
        """Use the workers of a new VM list."""
        workers = [vm for vm in vms if vm.kind is VmKind.WORKER]
        local = [vm for vm in workers if vm.data_centre == self._data_centre]
        listed = [_listed_worker(vm) for vm in local]
        # The scheduler may still send commands to workers that are no longer listed.
        self._workers_by_id.update({worker.id: worker for worker in listed})
        self._listed_workers = listed
        if self._scheduler is None:
            return []
        return self._apply_scheduler_effects(
            self._scheduler.set_workers(listed, now), now
        )

    def configure(self, now: Instant) -> list[Effect]:
        """Give the scheduler the team limits of the directory."""
        if self._scheduler is None:
            return []
        limits = job_limits(
            self._directory, self._data_centre, self._membership.data_centres()
        )
        return self._apply_scheduler_effects(
            self._scheduler.set_teams(limits, now), now
        )

    def records_read(self, records: Sequence[str], now: Instant) -> list[Effect]:
        """Store records of this data centre that the log or a member returned."""
        merged = self._record_store.merge(records, now)
        effects: list[Effect] = [ReportProblem(text) for text in merged.problems]
        if self._scheduler is None or not merged.newer:
            return effects
        restored = self._scheduler.restore(merged.newer, now)
        return effects + self._apply_scheduler_effects(restored, now)

    def record_written(
        self, record_id: RecordId, result: WriteResult, now: Instant
    ) -> list[Effect]:
        """Handle the result of writing records to the log."""
        return self._apply_replication_effects(
            self._replication.logged(record_id, result), now
        )

    def peer_message(
        self, sender: MemberId, message: PeerMessage, now: Instant
    ) -> list[Effect]:
        """Handle a message about jobs from another member."""
        match message:
            case JobCall():
                return self._route(sender, message, now)
            case JobAnswer():
                return self._relayed_answer(sender, message)
            case JobCopy():
                return self._store_copy(sender, message, now)
            case JobCopied(sequence):
                self._full_resync.acknowledged(sender, sequence)
                return self._apply_replication_effects(
                    self._replication.acknowledged(sender, sequence), now
                )
            case JobsWanted(epoch):
                return self._send_records(sender, epoch)
            case JobsHeld():
                return self._receive_records(sender, message, now)
            case _:
                return []

    def worker_synced(
        self, worker_id: WorkerId, report: WorkerReport, now: Instant
    ) -> list[Effect]:
        """Handle the answer to a sync."""
        if self._scheduler is None or report.epoch != self._epoch:
            return []
        effects = self._scheduler.worker_synced(worker_id, report, now)
        return self._apply_scheduler_effects(effects, now)

    def worker_failed(self, call: CallWorker, now: Instant) -> list[Effect]:
        """Handle a failed call to a worker, whose effect is unknown."""
        command = call.command
        if self._scheduler is None or command.epoch != self._epoch:
            return []
        if isinstance(command, SyncCommand):
            failed = self._scheduler.worker_failed(call.worker_id, now)
        else:
            failed = self._scheduler.command_failed(
                call.worker_id, command.task_id, command.attempt, now
            )
        return self._apply_scheduler_effects(failed, now)

    def worker_stale(
        self, worker_id: WorkerId, highest: Epoch, now: Instant
    ) -> list[Effect]:
        """Handle a worker's refusal because it knows a higher epoch."""
        if self._scheduler is None:
            return []
        effects = self._scheduler.worker_stale(worker_id, highest, now)
        return self._apply_scheduler_effects(effects, now)

    def command_answered(
        self, call: CallWorker, reply: CommandReply, now: Instant
    ) -> list[Effect]:
        """Handle the answer to a start, stop or checkpoint."""
        command = call.command
        if self._scheduler is None or command.epoch != self._epoch:
            return []
        if isinstance(command, SyncCommand):
            return []
        effects = self._scheduler.command_answered(
            call.worker_id, command.task_id, command.attempt, reply, now
        )
        return self._apply_scheduler_effects(effects, now)

    def tick(self, now: Instant) -> list[Effect]:
        """Do what is due at ``now``."""
        self._record_store.drop_expired(now)
        effects = self._apply_replication_effects(self._replication.tick(now), now)
        effects += [
            SendPeer(resend.to, resend.copy) for resend in self._full_resync.due(now)
        ]
        effects += self._expire_relays(now)
        effects += self._request_records(now)
        effects += self._start_scheduler_if_ready(now)
        if self._scheduler is not None:
            effects += self._apply_scheduler_effects(self._scheduler.tick(now), now)
        return effects

    def _route(self, origin: MemberId, call: JobCall, now: Instant) -> list[Effect]:
        data_centre = self._data_centre_of(call)
        if data_centre != self._data_centre:
            target = self._membership.contact(data_centre, now)
            if target is None:
                return self._answer(origin, unreachable(call, data_centre))
            return self._relay(origin, target, call, now)
        if self._owner is None:
            return self._answer(origin, no_owner(call))
        if self._owner != self._member_id:
            return self._relay_to_owner(origin, self._owner, call, now)
        if self._scheduler is None:
            return self._answer(origin, no_owner(call))
        return self._apply_scheduler_effects(
            self._scheduler.call(origin, call, now), now
        )

    def _data_centre_of(self, call: JobCall) -> DataCentreId:
        name = DataCentreId(call.job_id.partition(":")[0])
        known = name in self._membership.data_centres()
        return name if known else self._data_centre

    def _relay_to_owner(
        self, origin: MemberId, owner: MemberId, call: JobCall, now: Instant
    ) -> list[Effect]:
        # Two members that take each other for the owner would relay the call for ever.
        if self._membership.data_centre_of(origin) == self._data_centre:
            return self._answer(origin, no_owner(call))
        return self._relay(origin, owner, call, now)

    def _relay(
        self, origin: MemberId, to: MemberId, call: JobCall, now: Instant
    ) -> list[Effect]:
        return [SendPeer(to, self._relays.open(origin, to, call, now))]

    def _relayed_answer(self, sender: MemberId, answer: JobAnswer) -> list[Effect]:
        relay = self._relays.close(sender, answer)
        if relay is None:
            return []
        return self._answer(relay.origin, replace(answer, call_id=relay.call_id))

    def _answer(self, origin: MemberId, answer: JobAnswer) -> list[Effect]:
        if origin != self._member_id:
            return [SendPeer(origin, answer)]
        relay = self._relays.close(self._member_id, answer)
        if relay is None:
            return []
        return [FinishJobCall(replace(answer, call_id=relay.call_id))]

    def _expire_relays(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for relay in self._relays.expire(now):
            if relay.to == self._member_id:
                effects.append(FinishJobCall(no_answer(relay)))
            else:
                effects += self._answer(relay.origin, no_answer(relay))
        return effects

    def _store_copy(
        self, sender: MemberId, copy: JobCopy, now: Instant
    ) -> list[Effect]:
        if copy.epoch < self._epoch:
            return []
        self._epoch = copy.epoch
        merged = self._record_store.merge(copy.records, now)
        effects: list[Effect] = [ReportProblem(text) for text in merged.problems]
        if not merged.problems:
            effects.append(SendPeer(sender, JobCopied(copy.sequence)))
        return effects

    def _send_records(self, to: MemberId, epoch: Epoch) -> list[Effect]:
        if epoch < self._epoch:
            return []
        self._epoch = epoch
        chunks = _split_into_messages(self._record_store.texts())
        last = len(chunks) - 1
        return [
            SendPeer(to, JobsHeld(epoch, records, more=index < last, index=index))
            for index, records in enumerate(chunks)
        ]

    def _receive_records(
        self, sender: MemberId, message: JobsHeld, now: Instant
    ) -> list[Effect]:
        effects = self.records_read(message.records, now)
        if self._record_recovery is not None:
            self._record_recovery.answer_received(sender, message)
        return effects + self._start_scheduler_if_ready(now)

    def _request_records(self, now: Instant) -> list[Effect]:
        if self._record_recovery is None:
            return []
        wanted = JobsWanted(self._record_recovery.epoch)
        return [SendPeer(to, wanted) for to in self._record_recovery.due(now)]

    def _start_scheduler_if_ready(self, now: Instant) -> list[Effect]:
        recovery = self._record_recovery
        if recovery is None or self._scheduler is not None:
            return []
        if not recovery.may_begin(now):
            return []
        epoch = recovery.epoch
        self._replication = RecordReplication(epoch, self._numbers)
        self._full_resync = FullResync(epoch, self._numbers)
        scheduler = Scheduler(
            self._data_centre, self._member_id, epoch, self._timing, now
        )
        self._scheduler = scheduler
        effects = scheduler.set_teams(
            job_limits(
                self._directory, self._data_centre, self._membership.data_centres()
            ),
            now,
        )
        effects += scheduler.restore(self._record_store.texts(), now)
        effects += scheduler.set_workers(self._listed_workers, now)
        for member_id in self._membership.live_peers(self._data_centre, now):
            self._full_resync.begin(
                member_id, _split_into_messages(self._record_store.texts()), now
            )
        return self._apply_scheduler_effects(effects, now)

    def _apply_scheduler_effects(
        self, effects: Sequence[JobEffect], now: Instant
    ) -> list[Effect]:
        node_effects: list[Effect] = []
        for effect in effects:
            match effect:
                case SaveRecords(token, records):
                    node_effects += self._save(token, records, now)
                case DropRecords(job_ids):
                    self._record_store.drop(job_ids)
                case AnswerJob(origin, answer):
                    node_effects += self._answer(origin, answer)
                case SyncWorker() | StartTask() | StopTask() | CheckpointTask():
                    node_effects.append(self._command(effect))
        return node_effects

    def _command(
        self, effect: SyncWorker | StartTask | StopTask | CheckpointTask
    ) -> CallWorker:
        worker = self._workers_by_id[effect.worker_id]
        return CallWorker(
            worker_id=effect.worker_id,
            address=Address(worker.host, worker.port),
            action=_ACTION_BY_EFFECT[type(effect)],
            command=effect.command,
        )

    def _save(self, token: int, records: list[str], now: Instant) -> list[Effect]:
        self._record_store.merge(records, now)
        record_id = self._write_to_log(records, now)
        members = self._membership.live_peers(self._data_centre, now)
        replication_effects = self._replication.begin(
            token, records, record_id, members, now
        )
        return self._apply_replication_effects(replication_effects, now)

    def _retry_log_write(
        self, token: int, records: list[str], now: Instant
    ) -> list[Effect]:
        record_id = self._write_to_log(records, now)
        members = self._membership.live_peers(self._data_centre, now)
        replication_effects = self._replication.log_write_retried(
            token, record_id, members, now
        )
        return self._apply_replication_effects(replication_effects, now)

    def _write_to_log(self, records: list[str], now: Instant) -> RecordId:
        entry = JobRecords(data_centre=self._data_centre, records=records)
        return self._log.save_jobs(entry, Instant(now + SAVE_TIMEOUT_S), now)

    def _apply_replication_effects(
        self, effects: Sequence[ReplicationEffect], now: Instant
    ) -> list[Effect]:
        node_effects: list[Effect] = []
        for effect in effects:
            match effect:
                case SendCopy(to, copy):
                    node_effects.append(SendPeer(to, copy))
                case RetryLogWrite(token, records):
                    node_effects += self._retry_log_write(token, records, now)
                case ReplicaLagging(member_id):
                    parts = _split_into_messages(self._record_store.texts())
                    self._full_resync.begin(member_id, parts, now)
                case Saved(token, durability) if self._scheduler is not None:
                    saved = self._scheduler.records_saved(token, durability, now)
                    node_effects += self._apply_scheduler_effects(saved, now)
                case SaveRefused(token) if self._scheduler is not None:
                    refused = self._scheduler.records_refused(token, now)
                    node_effects += self._apply_scheduler_effects(refused, now)
        return node_effects


_ACTION_BY_EFFECT = {
    SyncWorker: WorkerAction.SYNC,
    StartTask: WorkerAction.START,
    StopTask: WorkerAction.STOP,
    CheckpointTask: WorkerAction.CHECKPOINT,
}


def _listed_worker(vm: Vm) -> ListedWorker:
    return ListedWorker(
        id=WorkerId(vm.id),
        host=vm.host,
        port=vm.port,
        rack=vm.rack,
        capacity=Resources(vm.millicores, vm.memory_mib, vm.accelerators),
        leaving=vm.state is VmState.LEAVING,
    )


def _split_into_messages(texts: list[str]) -> list[list[str]]:
    """Return the texts in lists that each fit one message, at least one list."""
    starts = range(0, max(len(texts), 1), RECORDS_PER_MESSAGE)
    return [texts[start : start + RECORDS_PER_MESSAGE] for start in starts]
