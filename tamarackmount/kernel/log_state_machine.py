"""One member's reading and writing of the log, and what it holds from it.

Feeds the configuration, the claims of ownership and the job records in the log's
order, settles the member's own records, and appends a snapshot before retention
drops what a starting member needs.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure

from tamarackmount.adapters.log_schema import RecordPage, StoredRecord
from tamarackmount.ids import (
    ConfigPath,
    DataCentreId,
    Epoch,
    Instant,
    MemberId,
    Offset,
    RecordId,
)
from tamarackmount.kernel.effects import (
    AppendToLog,
    ChangeOutcome,
    Effect,
    FinishChange,
    ReadLog,
    ReportProblem,
)
from tamarackmount.kernel.fleet_config import ChangeResult, FleetConfig
from tamarackmount.kernel.log_records import (
    ConfigChange,
    ConfigSnapshot,
    JobRecords,
    LogRecord,
    OwnerClaim,
    record_from_text,
    record_to_text,
)
from tamarackmount.kernel.log_writer import (
    RETRY_DELAY_S,
    AppendResult,
    LogWriter,
    LogWriterEffect,
    PendingRecord,
    ReadBack,
    RecordSettled,
    SendAppend,
    WriteResult,
)
from tamarackmount.kernel.ownership_claims import OwnershipClaims, PlacedClaim
from tamarackmount.kernel.snapshot_schedule import SnapshotSchedule

CHANGE_TIMEOUT_S = 10.0
"""How long an operator's change may wait for the log, in seconds."""

CLAIM_RECORD_TIMEOUT_S = 2.0
"""How long a claim may wait for the log, in seconds."""


@dataclass(frozen=True, slots=True)
class ClaimAccepted:
    """A claim read from the log, accepted by its place there.

    ``is_own`` if this run of this member wrote it.
    """

    data_centre: DataCentreId
    member_id: MemberId
    epoch: Epoch
    is_own: bool


@dataclass(frozen=True, slots=True)
class ClaimKnown:
    """A data centre's last claim, learnt from a snapshot; by whom isn't known."""

    data_centre: DataCentreId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class JobsRead:
    """Job records of a data centre, read from the log."""

    data_centre: DataCentreId
    records: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """Some document changed."""


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The fate of a record that this member wrote for its jobs."""

    id: RecordId
    result: WriteResult


LogEvent = ClaimAccepted | ClaimKnown | JobsRead | ConfigChanged | RecordWritten
"""What reading or writing the log means for the rest of the node."""


@dataclass(frozen=True, slots=True)
class LogOutput:
    """Effects for the daemon and news for the node, in order."""

    effects: list[Effect]
    events: list[LogEvent]


@dataclass(frozen=True, slots=True)
class _WaitingChange:
    """An operator's change on its way."""

    call_id: int
    path: ConfigPath
    deadline: Instant


class LogStateMachine:
    """The log as one member reads and writes it."""

    def __init__(
        self,
        member_id: MemberId,
        run_name: str,
        appends_per_second: float,
        snapshot_spread_s: float,
        now: Instant,
    ) -> None:
        """Start at the first offset; ``run_name`` makes record ids unique.

        ``snapshot_spread_s`` is the time over which the fleet spreads snapshots.
        """
        self.config = FleetConfig()
        self._me = member_id
        self._run_name = run_name
        self._writer = LogWriter(appends_per_second, now)
        self._sequence = 0
        self._changes_by_record: dict[RecordId, _WaitingChange] = {}
        self._last_end_read: Instant | None = None
        self._read_back_after: Instant | None = None
        self._claims = OwnershipClaims()
        self._snapshots = SnapshotSchedule(member_id, snapshot_spread_s)

    def is_fresh(self, limit_s: float, now: Instant) -> bool:
        """Tell whether the log's end was read within ``limit_s`` seconds."""
        return self._last_end_read is not None and now - self._last_end_read <= limit_s

    @property
    def knows_claims(self) -> bool:
        """Whether claims can be decided here by the log's order."""
        return self._claims.is_complete

    def end_read_age_s(self, now: Instant) -> float | None:
        """Return how long ago the log's end was read, in seconds."""
        return None if self._last_end_read is None else now - self._last_end_read

    def change(self, call_id: int, change: ConfigChange, now: Instant) -> LogOutput:
        """Write an operator's change; its outcome follows as an effect."""
        record_id = self._next_id()
        deadline = Instant(now + CHANGE_TIMEOUT_S)
        waiting = _WaitingChange(call_id, change.path, deadline)
        self._changes_by_record[record_id] = waiting
        return self._write(record_id, change, deadline, now)

    def claim(self, claim: OwnerClaim, now: Instant) -> LogOutput:
        """Write a claim of ownership."""
        deadline = Instant(now + CLAIM_RECORD_TIMEOUT_S)
        return self._write(self._next_id(), claim, deadline, now)

    def save_jobs(
        self, records: JobRecords, deadline: Instant, now: Instant
    ) -> RecordId:
        """Write job records; their fate follows as news with the returned id."""
        record_id = self._next_id()
        self._write(record_id, records, deadline, now)
        return record_id

    def page_read(self, page: RecordPage, asked: Instant, now: Instant) -> LogOutput:
        """Take in records; ``asked`` is when the read was sent."""
        step = LogOutput([], [])
        if page.first_offset > self.config.applied:
            self.config.records_dropped(page.first_offset)
            self._claims.records_dropped(page.first_offset)
        fresh = [r for r in page.records if r.offset >= self.config.applied]
        for stored in fresh:
            self._take_in(stored, step)
        self._note_own(fresh, step)
        if fresh:
            self.config.advance(Offset(fresh[-1].offset + 1))
        if page.next_offset > self.config.applied:
            step.effects.append(ReadLog(self.config.applied))
            return step
        self._end_read(asked, now, step)
        self._keep_snapshot(page, now, step)
        return step

    def appended(self, result: AppendResult, now: Instant) -> LogOutput:
        """Take in the result of an append call."""
        step = LogOutput([], [])
        self._settle(self._writer.appended(result, now), step, now)
        if result is AppendResult.DONE:
            step.effects.append(ReadLog(self.config.applied))
        return step

    def tick(self, now: Instant) -> LogOutput:
        """Send what is due and give up what is late."""
        step = LogOutput([], [])
        self._settle(self._writer.tick(now), step, now)
        self._expire_changes(now, step)
        return step

    def _write(
        self, record_id: RecordId, record: LogRecord, deadline: Instant, now: Instant
    ) -> LogOutput:
        pending = PendingRecord(record_id, record_to_text(record), deadline)
        step = LogOutput([], [])
        self._settle(self._writer.write([pending], now), step, now)
        return step

    def _note_own(self, fresh: Sequence[StoredRecord], step: LogOutput) -> None:
        """Settle this run's records, those too that were given up as unknown."""
        self._writer.seen([stored.id for stored in fresh])
        prefix = self._id_prefix()
        for stored in fresh:
            if stored.id.startswith(prefix):
                self._settled(stored.id, WriteResult.WRITTEN, step)

    def _take_in(self, stored: StoredRecord, step: LogOutput) -> None:
        parsed = record_from_text(stored.body)
        if isinstance(parsed, Failure):
            problem = f"log record {stored.offset} is not readable: {parsed.failure()}"
            step.effects.append(ReportProblem(problem))
            return
        record = parsed.unwrap()
        match record:
            case ConfigChange():
                self._take_change(stored, record, step)
            case ConfigSnapshot():
                self._take_snapshot(record, step)
            case OwnerClaim():
                is_own = stored.id.startswith(self._id_prefix())
                self._take_claim(PlacedClaim(stored.offset, record, is_own), step)
            case JobRecords():
                step.events.append(JobsRead(record.data_centre, tuple(record.records)))

    def _take_claim(self, placed: PlacedClaim, step: LogOutput) -> None:
        epoch = self._claims.decide(placed)
        if epoch is None:
            return
        claim = placed.claim
        step.events.append(
            ClaimAccepted(claim.data_centre, claim.member_id, epoch, placed.is_own)
        )

    def _take_change(
        self, stored: StoredRecord, change: ConfigChange, step: LogOutput
    ) -> None:
        result = self.config.apply_change(stored.offset, change)
        if result is not ChangeResult.UNDECIDED:
            self._finish_change(stored.id, _OUTCOME_BY_CHANGE[result], step)
        if result is ChangeResult.ACCEPTED:
            step.events.append(ConfigChanged())

    def _take_snapshot(self, snapshot: ConfigSnapshot, step: LogOutput) -> None:
        self.config.apply_snapshot(snapshot)
        self._snapshots.seen(snapshot.applied)
        was_complete = self._claims.is_complete
        kept = self._claims.restore(snapshot.owners, snapshot.applied)
        if self._claims.is_complete and not was_complete:
            known = [ClaimKnown(one.data_centre, one.epoch) for one in snapshot.owners]
            step.events.extend(known)
        for placed in kept:
            self._take_claim(placed, step)
        step.events.append(ConfigChanged())

    def _end_read(self, asked: Instant, now: Instant, step: LogOutput) -> None:
        last = self._last_end_read
        self._last_end_read = asked if last is None else max(asked, last)
        self.config.mark_loaded()
        if self._read_back_after is not None and asked >= self._read_back_after:
            self._read_back_after = None
            self._settle(self._writer.read_back(now), step, now)

    def _keep_snapshot(self, page: RecordPage, now: Instant, step: LogOutput) -> None:
        """Write a snapshot when the last one is too near to being dropped."""
        if not (self.config.is_complete and self._claims.is_complete):
            return
        if not self._snapshots.is_due(page, now):
            return
        record_id = self._next_id()
        self._snapshots.written(record_id)
        deadline = Instant(now + CHANGE_TIMEOUT_S)
        snapshot = self.config.snapshot(self._claims.owners())
        step.effects.extend(self._write(record_id, snapshot, deadline, now).effects)

    def _settle(
        self,
        effects: Sequence[LogWriterEffect],
        step: LogOutput,
        now: Instant,
    ) -> None:
        for effect in effects:
            match effect:
                case SendAppend(records):
                    step.effects.append(AppendToLog(records))
                case ReadBack():
                    self._begin_read_back(now)
                    step.effects.append(ReadLog(self.config.applied))
                case RecordSettled(record_id, result):
                    self._settled(record_id, result, step)

    def _begin_read_back(self, now: Instant) -> None:
        # A read sent after the loss is enough, however long it takes.
        if self._read_back_after is None:
            self._read_back_after = now

    def _settled(
        self, record_id: RecordId, result: WriteResult, step: LogOutput
    ) -> None:
        self._snapshots.settled(record_id)
        if record_id not in self._changes_by_record:
            step.events.append(RecordWritten(record_id, result))
        elif result is not WriteResult.WRITTEN:
            # A written change is finished once its place in the log is read.
            self._finish_change(record_id, _OUTCOME_BY_WRITE[result], step)

    def _finish_change(
        self, record_id: RecordId, outcome: ChangeOutcome, step: LogOutput
    ) -> None:
        waiting = self._changes_by_record.pop(record_id, None)
        if waiting is None:
            return
        version = self.config.version(waiting.path)
        step.effects.append(FinishChange(waiting.call_id, outcome, version))

    def _expire_changes(self, now: Instant, step: LogOutput) -> None:
        late = [
            record_id
            for record_id, waiting in self._changes_by_record.items()
            if now >= waiting.deadline + RETRY_DELAY_S
        ]
        for record_id in late:
            self._finish_change(record_id, ChangeOutcome.UNKNOWN, step)

    def _next_id(self) -> RecordId:
        self._sequence += 1
        return RecordId(f"{self._id_prefix()}{self._sequence}")

    def _id_prefix(self) -> str:
        return f"{self._me}/{self._run_name}/"


_OUTCOME_BY_CHANGE = {
    ChangeResult.ACCEPTED: ChangeOutcome.ACCEPTED,
    ChangeResult.CONFLICT: ChangeOutcome.CONFLICT,
    ChangeResult.SUPERSEDED: ChangeOutcome.UNKNOWN,
}

_OUTCOME_BY_WRITE = {
    WriteResult.NOT_WRITTEN: ChangeOutcome.NOT_CHANGED,
    WriteResult.UNKNOWN: ChangeOutcome.UNKNOWN,
}
