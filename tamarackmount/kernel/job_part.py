"""The job half of a node: relaying calls, holding records, and the scheduler.

The owner of a data centre runs its scheduler. Every member holds copies of the data
centre's job records; a new owner collects them from every live member and from the
log before it decides anything.
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
    KeepingEffect,
    RecordReplication,
    ReplicaLagging,
    RetryLogWrite,
    Saved,
    SaveRefused,
    SendCopy,
)
from tamarackmount.kernel.scheduler import Scheduler
from tamarackmount.resources import Resources

RECORDS_PER_MESSAGE = 200
"""Job records in one message between members."""

NUMBERS_PER_MS = 1 << 20
"""Numbers of messages that one run of a member may use in a millisecond.

Incarnations count milliseconds, so that no two runs use the same number.
"""


class JobPart:
    """Jobs as one member sees them."""

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
        self._me = member_id
        self._data_centre = data_centre
        self._timing = timing
        self._directory = directory
        self._membership = membership
        self._log = log
        self._owner: MemberId | None = None
        self._epoch = Epoch(0)
        self._held = JobRecordStore()
        self._scheduler: Scheduler | None = None
        self._numbers = count(incarnation * NUMBERS_PER_MS + 1)
        self._keeping = RecordReplication(Epoch(0), self._numbers)
        self._copies = FullResync(Epoch(0), self._numbers)
        self._collection: RecordRecovery | None = None
        self._workers_by_id: dict[WorkerId, ListedWorker] = {}
        self._listed: list[ListedWorker] = []
        self._relays = JobRelays(self._numbers)

    @property
    def scheduler(self) -> Scheduler | None:
        """The scheduler, while this member owns its data centre."""
        return self._scheduler

    @property
    def held(self) -> int:
        """Number of jobs whose records this member holds."""
        return len(self._held)

    def call(self, call: JobCall, now: Instant) -> list[Effect]:
        """Take in a call of one of this member's callers."""
        noted = self._relays.open(self._me, self._me, call, now)
        return self._route(self._me, noted, now)

    def ownership_taken(
        self, epoch: Epoch, live: Iterable[MemberId], now: Instant
    ) -> list[Effect]:
        """Collect the records of every live member, then begin to schedule."""
        self._owner = self._me
        self._epoch = epoch
        self._scheduler = None
        others = set(live) - {self._me}
        self._collection = RecordRecovery(epoch, others, now)
        return self._collect_due(now) + self._begin_if_collected(now)

    def owner_seen(
        self, owner: MemberId | None, epoch: Epoch, now: Instant
    ) -> list[Effect]:
        """Follow another member, or nobody."""
        self._owner = owner
        self._epoch = max(self._epoch, epoch)
        self._collection = None
        self._scheduler = None
        self._keeping = RecordReplication(self._epoch, self._numbers)
        self._copies = FullResync(self._epoch, self._numbers)
        return []

    def member_joined(self, member_id: MemberId, now: Instant) -> list[Effect]:
        """Exchange records with a member that started anew or was out of reach."""
        if self._collection is None:
            return []
        self._collection.ask(member_id, now)
        effects = self._collect_due(now)
        if self._scheduler is None:
            return effects
        self._copies.begin(member_id, _chunks(self._held.texts()), now)
        return effects + self._from_keeping(self._keeping.member_joined(member_id), now)

    def member_lost(self, member_id: MemberId, now: Instant) -> list[Effect]:
        """Stop waiting for a member's answers."""
        self._copies.lost(member_id)
        effects = self._from_keeping(self._keeping.member_lost(member_id), now)
        if self._collection is not None:
            self._collection.lost(member_id)
        return effects + self._begin_if_collected(now)

    def set_vms(self, vms: Sequence[Vm], now: Instant) -> list[Effect]:
        """Take in the VM list."""
        workers = [vm for vm in vms if vm.kind is VmKind.WORKER]
        local = [vm for vm in workers if vm.data_centre == self._data_centre]
        listed = [_listed_worker(vm) for vm in local]
        # Workers no longer listed may still be sent their last commands.
        self._workers_by_id.update({worker.id: worker for worker in listed})
        self._listed = listed
        if self._scheduler is None:
            return []
        return self._from_scheduler(self._scheduler.set_workers(listed, now), now)

    def configure(self, now: Instant) -> list[Effect]:
        """Take in the teams of the directory."""
        if self._scheduler is None:
            return []
        limits = job_limits(
            self._directory, self._data_centre, self._membership.data_centres()
        )
        return self._from_scheduler(self._scheduler.set_teams(limits, now), now)

    def records_read(self, records: Sequence[str], now: Instant) -> list[Effect]:
        """Hold records of this data centre that the log or a member gave."""
        taken = self._held.take(records, now)
        effects: list[Effect] = [ReportProblem(text) for text in taken.problems]
        if self._scheduler is None or not taken.newer:
            return effects
        restored = self._scheduler.restore(taken.newer, now)
        return effects + self._from_scheduler(restored, now)

    def record_written(
        self, record_id: RecordId, result: WriteResult, now: Instant
    ) -> list[Effect]:
        """Take in the fate of records on their way to the log."""
        return self._from_keeping(self._keeping.logged(record_id, result), now)

    def peer_message(
        self, sender: MemberId, message: PeerMessage, now: Instant
    ) -> list[Effect]:
        """Take in a message of the job half."""
        match message:
            case JobCall():
                return self._route(sender, message, now)
            case JobAnswer():
                return self._relayed_answer(sender, message)
            case JobCopy():
                return self._take_copy(sender, message, now)
            case JobCopied(sequence):
                self._copies.copied(sender, sequence)
                return self._from_keeping(self._keeping.copied(sender, sequence), now)
            case JobsWanted(epoch):
                return self._send_records(sender, epoch)
            case JobsHeld():
                return self._collect(sender, message, now)
            case _:
                return []

    def worker_synced(
        self, worker_id: WorkerId, report: WorkerReport, now: Instant
    ) -> list[Effect]:
        """Take in the answer to a sync."""
        if self._scheduler is None or report.epoch != self._epoch:
            return []
        effects = self._scheduler.worker_synced(worker_id, report, now)
        return self._from_scheduler(effects, now)

    def worker_failed(self, call: CallWorker, now: Instant) -> list[Effect]:
        """Take in that a call to a worker failed; its effect is unknown."""
        command = call.command
        if self._scheduler is None or command.epoch != self._epoch:
            return []
        if isinstance(command, SyncCommand):
            failed = self._scheduler.worker_failed(call.worker_id, now)
        else:
            failed = self._scheduler.command_failed(
                call.worker_id, command.task_id, command.attempt, now
            )
        return self._from_scheduler(failed, now)

    def worker_stale(
        self, worker_id: WorkerId, highest: Epoch, now: Instant
    ) -> list[Effect]:
        """Take in that a worker knows a higher epoch."""
        if self._scheduler is None:
            return []
        effects = self._scheduler.worker_stale(worker_id, highest, now)
        return self._from_scheduler(effects, now)

    def command_answered(
        self, call: CallWorker, reply: CommandReply, now: Instant
    ) -> list[Effect]:
        """Take in the answer to a start, stop or checkpoint."""
        command = call.command
        if self._scheduler is None or command.epoch != self._epoch:
            return []
        if isinstance(command, SyncCommand):
            return []
        effects = self._scheduler.command_answered(
            call.worker_id, command.task_id, command.attempt, reply, now
        )
        return self._from_scheduler(effects, now)

    def tick(self, now: Instant) -> list[Effect]:
        """Advance time."""
        self._held.drop_old(now)
        effects = self._from_keeping(self._keeping.tick(now), now)
        effects += [SendPeer(one.to, one.copy) for one in self._copies.due(now)]
        effects += self._expire_relays(now)
        effects += self._collect_due(now)
        effects += self._begin_if_collected(now)
        if self._scheduler is not None:
            effects += self._from_scheduler(self._scheduler.tick(now), now)
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
        if self._owner != self._me:
            return self._relay_to_owner(origin, self._owner, call, now)
        if self._scheduler is None:
            return self._answer(origin, no_owner(call))
        return self._from_scheduler(self._scheduler.call(origin, call, now), now)

    def _data_centre_of(self, call: JobCall) -> DataCentreId:
        name = DataCentreId(call.job_id.partition(":")[0])
        known = name in self._membership.data_centres()
        return name if known else self._data_centre

    def _relay_to_owner(
        self, origin: MemberId, owner: MemberId, call: JobCall, now: Instant
    ) -> list[Effect]:
        # Two members that take each other for the owner must not pass a call on.
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
        if origin != self._me:
            return [SendPeer(origin, answer)]
        relay = self._relays.close(self._me, answer)
        if relay is None:
            return []
        return [FinishJobCall(replace(answer, call_id=relay.call_id))]

    def _expire_relays(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for relay in self._relays.expire(now):
            if relay.to == self._me:
                effects.append(FinishJobCall(no_answer(relay)))
            else:
                effects += self._answer(relay.origin, no_answer(relay))
        return effects

    def _take_copy(self, sender: MemberId, copy: JobCopy, now: Instant) -> list[Effect]:
        if copy.epoch < self._epoch:
            return []
        self._epoch = copy.epoch
        taken = self._held.take(copy.records, now)
        effects: list[Effect] = [ReportProblem(text) for text in taken.problems]
        if not taken.problems:
            effects.append(SendPeer(sender, JobCopied(copy.sequence)))
        return effects

    def _send_records(self, to: MemberId, epoch: Epoch) -> list[Effect]:
        if epoch < self._epoch:
            return []
        self._epoch = epoch
        chunks = _chunks(self._held.texts())
        last = len(chunks) - 1
        return [
            SendPeer(to, JobsHeld(epoch, records, more=index < last, index=index))
            for index, records in enumerate(chunks)
        ]

    def _collect(
        self, sender: MemberId, message: JobsHeld, now: Instant
    ) -> list[Effect]:
        effects = self.records_read(message.records, now)
        if self._collection is not None:
            self._collection.answered(sender, message)
        return effects + self._begin_if_collected(now)

    def _collect_due(self, now: Instant) -> list[Effect]:
        if self._collection is None:
            return []
        wanted = JobsWanted(self._collection.epoch)
        return [SendPeer(to, wanted) for to in self._collection.due(now)]

    def _begin_if_collected(self, now: Instant) -> list[Effect]:
        collection = self._collection
        if collection is None or self._scheduler is not None:
            return []
        if not collection.may_begin(now):
            return []
        epoch = collection.epoch
        self._keeping = RecordReplication(epoch, self._numbers)
        self._copies = FullResync(epoch, self._numbers)
        scheduler = Scheduler(self._data_centre, self._me, epoch, self._timing, now)
        self._scheduler = scheduler
        effects = scheduler.set_teams(
            job_limits(
                self._directory, self._data_centre, self._membership.data_centres()
            ),
            now,
        )
        effects += scheduler.restore(self._held.texts(), now)
        effects += scheduler.set_workers(self._listed, now)
        for member_id in self._membership.live_peers(self._data_centre, now):
            self._copies.begin(member_id, _chunks(self._held.texts()), now)
        return self._from_scheduler(effects, now)

    def _from_scheduler(
        self, effects: Sequence[JobEffect], now: Instant
    ) -> list[Effect]:
        done: list[Effect] = []
        for effect in effects:
            match effect:
                case SaveRecords(token, records):
                    done += self._save(token, records, now)
                case DropRecords(job_ids):
                    self._held.drop(job_ids)
                case AnswerJob(origin, answer):
                    done += self._answer(origin, answer)
                case SyncWorker() | StartTask() | StopTask() | CheckpointTask():
                    done.append(self._command(effect))
        return done

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
        self._held.take(records, now)
        record_id = self._write(records, now)
        members = self._membership.live_peers(self._data_centre, now)
        begun = self._keeping.begin(token, records, record_id, members, now)
        return self._from_keeping(begun, now)

    def _save_again(self, token: int, records: list[str], now: Instant) -> list[Effect]:
        record_id = self._write(records, now)
        members = self._membership.live_peers(self._data_centre, now)
        again = self._keeping.log_write_retried(token, record_id, members, now)
        return self._from_keeping(again, now)

    def _write(self, records: list[str], now: Instant) -> RecordId:
        entry = JobRecords(data_centre=self._data_centre, records=records)
        return self._log.save_jobs(entry, Instant(now + SAVE_TIMEOUT_S), now)

    def _from_keeping(
        self, effects: Sequence[KeepingEffect], now: Instant
    ) -> list[Effect]:
        done: list[Effect] = []
        for effect in effects:
            match effect:
                case SendCopy(to, copy):
                    done.append(SendPeer(to, copy))
                case RetryLogWrite(token, records):
                    done += self._save_again(token, records, now)
                case ReplicaLagging(member_id):
                    parts = _chunks(self._held.texts())
                    self._copies.begin(member_id, parts, now)
                case Saved(token, durability) if self._scheduler is not None:
                    saved = self._scheduler.records_saved(token, durability, now)
                    done += self._from_scheduler(saved, now)
                case SaveRefused(token) if self._scheduler is not None:
                    refused = self._scheduler.records_refused(token, now)
                    done += self._from_scheduler(refused, now)
        return done


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


def _chunks(texts: list[str]) -> list[list[str]]:
    """Return the texts in message-sized lists, at least one."""
    starts = range(0, max(len(texts), 1), RECORDS_PER_MESSAGE)
    return [texts[start : start + RECORDS_PER_MESSAGE] for start in starts]
