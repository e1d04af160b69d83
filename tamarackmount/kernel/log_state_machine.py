"""One member's reading and writing of the log, and the state built from it.

Applies configuration changes and ownership claims in log order, passes on job
records, determines the outcome of the member's own records, and appends a snapshot
before retention deletes records that a starting member needs.
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
from tamarackmount.kernel.ownership_claims import LoggedClaim, OwnershipClaims
from tamarackmount.kernel.snapshot_schedule import SnapshotSchedule

CHANGE_TIMEOUT_S = 10.0
"""Longest time that an operator's change waits for the log, in seconds."""

CLAIM_RECORD_TIMEOUT_S = 2.0
"""Longest time that a claim waits for the log, in seconds."""


@dataclass(frozen=True, slots=True)
class ClaimAccepted:
    """A claim that was read from the log and accepted.

    ``is_own`` if this run of this member wrote it.
    """

    data_centre: DataCentreId
    member_id: MemberId
    epoch: Epoch
    is_own: bool


@dataclass(frozen=True, slots=True)
class ClaimKnown:
    """A data centre's last claim, from a snapshot that doesn't name the claimer."""

    data_centre: DataCentreId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class JobsRead:
    """Job records of a data centre, read from the log."""

    data_centre: DataCentreId
    records: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A document changed."""


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The outcome of a record that this member wrote, operators' changes excepted."""

    id: RecordId
    result: WriteResult


LogEvent = ClaimAccepted | ClaimKnown | JobsRead | ConfigChanged | RecordWritten
"""An event from reading or writing the log, for the rest of the node."""


@dataclass(frozen=True, slots=True)
class LogOutput:
    """Effects for the daemon and events for the node, each in order."""

    effects: list[Effect]
    events: list[LogEvent]


@dataclass(frozen=True, slots=True)
class _PendingChange:
    """An operator's change without an outcome."""

    call_id: int
    path: ConfigPath
    deadline: Instant


class LogStateMachine:
    """Reads and writes the log for one member."""

    def __init__(
        self,
        member_id: MemberId,
        run_name: str,
        appends_per_second: float,
        snapshot_spread_s: float,
        now: Instant,
    ) -> None:
        """Start at the first offset; ``run_name`` makes record ids unique.

        ``snapshot_spread_s`` is the time over which the members of the fleet spread
        their snapshots.
        """
        self.config = FleetConfig()
        self._member_id = member_id
        self._run_name = run_name
        self._writer = LogWriter(appends_per_second, now)
        self._sequence = 0
        self._changes_by_record: dict[RecordId, _PendingChange] = {}
        self._last_end_read: Instant | None = None
        self._read_back_after: Instant | None = None
        self._claims = OwnershipClaims()
        self._snapshots = SnapshotSchedule(member_id, snapshot_spread_s)

    def is_fresh(self, limit_s: float, now: Instant) -> bool:
        """Return whether the end of the log was read within ``limit_s`` seconds."""
        return self._last_end_read is not None and now - self._last_end_read <= limit_s

    @property
    def knows_claims(self) -> bool:
        """Whether this member knows all earlier claims and so can decide new ones."""
        return self._claims.is_complete

    def end_read_age_s(self, now: Instant) -> float | None:
        """Return how long ago the end of the log was read, in seconds."""
        return None if self._last_end_read is None else now - self._last_end_read

    def change(self, call_id: int, change: ConfigChange, now: Instant) -> LogOutput:
        """Write an operator's change; its outcome follows as an effect."""
        record_id = self._next_id()
        deadline = Instant(now + CHANGE_TIMEOUT_S)
        pending_change = _PendingChange(call_id, change.path, deadline)
        self._changes_by_record[record_id] = pending_change
        return self._write(record_id, change, deadline, now)

    def claim(self, claim: OwnerClaim, now: Instant) -> LogOutput:
        """Write a claim of ownership."""
        deadline = Instant(now + CLAIM_RECORD_TIMEOUT_S)
        return self._write(self._next_id(), claim, deadline, now)

    def save_jobs(
        self, records: JobRecords, deadline: Instant, now: Instant
    ) -> RecordId:
        """Write job records; the outcome follows as an event with the returned id."""
        record_id = self._next_id()
        self._write(record_id, records, deadline, now)
        return record_id

    def page_read(self, page: RecordPage, sent_at: Instant, now: Instant) -> LogOutput:
        """Apply the records of a page; ``sent_at`` is when the read was sent."""
        output = LogOutput([], [])
        if page.first_offset > self.config.applied:
            self.config.records_dropped(page.first_offset)
            self._claims.records_dropped(page.first_offset)
        new_records = [r for r in page.records if r.offset >= self.config.applied]
        for stored in new_records:
            self._apply_record(stored, output)
        self._settle_own_records(new_records, output)
        if new_records:
            self.config.advance(Offset(new_records[-1].offset + 1))
        if page.next_offset > self.config.applied:
            output.effects.append(ReadLog(self.config.applied))
            return output
        self._end_reached(sent_at, now, output)
        self._write_snapshot_if_due(page, now, output)
        return output

    def appended(self, result: AppendResult, now: Instant) -> LogOutput:
        """Handle the result of an append call."""
        output = LogOutput([], [])
        self._apply_writer_effects(self._writer.appended(result, now), output, now)
        if result is AppendResult.DONE:
            output.effects.append(ReadLog(self.config.applied))
        return output

    def tick(self, now: Instant) -> LogOutput:
        """Send what is due; end the wait for what is overdue."""
        output = LogOutput([], [])
        self._apply_writer_effects(self._writer.tick(now), output, now)
        self._expire_changes(now, output)
        return output

    def _write(
        self, record_id: RecordId, record: LogRecord, deadline: Instant, now: Instant
    ) -> LogOutput:
        pending = PendingRecord(record_id, record_to_text(record), deadline)
        output = LogOutput([], [])
        self._apply_writer_effects(self._writer.write([pending], now), output, now)
        return output

    def _settle_own_records(
        self, new_records: Sequence[StoredRecord], output: LogOutput
    ) -> None:
        """Report this run's records as written, even if reported as unknown before."""
        self._writer.seen([stored.id for stored in new_records])
        prefix = self._id_prefix()
        for stored in new_records:
            if stored.id.startswith(prefix):
                self._record_settled(stored.id, WriteResult.WRITTEN, output)

    def _apply_record(self, stored: StoredRecord, output: LogOutput) -> None:
        parsed = record_from_text(stored.body)
        if isinstance(parsed, Failure):
            problem = f"log record {stored.offset} is not readable: {parsed.failure()}"
            output.effects.append(ReportProblem(problem))
            return
        record = parsed.unwrap()
        match record:
            case ConfigChange():
                self._apply_change(stored, record, output)
            case ConfigSnapshot():
                self._apply_snapshot(record, output)
            case OwnerClaim():
                is_own = stored.id.startswith(self._id_prefix())
                self._apply_claim(LoggedClaim(stored.offset, record, is_own), output)
            case JobRecords():
                output.events.append(
                    JobsRead(record.data_centre, tuple(record.records))
                )

    def _apply_claim(self, logged_claim: LoggedClaim, output: LogOutput) -> None:
        epoch = self._claims.decide(logged_claim)
        if epoch is None:
            return
        claim = logged_claim.claim
        output.events.append(
            ClaimAccepted(
                claim.data_centre, claim.member_id, epoch, logged_claim.is_own
            )
        )

    def _apply_change(
        self, stored: StoredRecord, change: ConfigChange, output: LogOutput
    ) -> None:
        result = self.config.apply_change(stored.offset, change)
        if result is not ChangeResult.UNDECIDED:
            self._finish_change(stored.id, _OUTCOME_BY_CHANGE[result], output)
        if result is ChangeResult.ACCEPTED:
            output.events.append(ConfigChanged())

    def _apply_snapshot(self, snapshot: ConfigSnapshot, output: LogOutput) -> None:
        self.config.apply_snapshot(snapshot)
        self._snapshots.seen(snapshot.applied)
        was_complete = self._claims.is_complete
        undecided = self._claims.restore(snapshot.owners, snapshot.applied)
        if self._claims.is_complete and not was_complete:
            known = [
                ClaimKnown(owner.data_centre, owner.epoch) for owner in snapshot.owners
            ]
            output.events.extend(known)
        for logged_claim in undecided:
            self._apply_claim(logged_claim, output)
        output.events.append(ConfigChanged())

    def _end_reached(self, sent_at: Instant, now: Instant, output: LogOutput) -> None:
        last = self._last_end_read
        self._last_end_read = sent_at if last is None else max(sent_at, last)
        self.config.mark_loaded()
        if self._read_back_after is not None and sent_at >= self._read_back_after:
            self._read_back_after = None
            self._apply_writer_effects(self._writer.read_back(now), output, now)

    def _write_snapshot_if_due(
        self, page: RecordPage, now: Instant, output: LogOutput
    ) -> None:
        """Write a snapshot if one is due and this member knows the whole state.

        One is due when the last one is close to being dropped by retention.
        """
        if not (self.config.is_complete and self._claims.is_complete):
            return
        if not self._snapshots.is_due(page, now):
            return
        record_id = self._next_id()
        self._snapshots.written(record_id)
        deadline = Instant(now + CHANGE_TIMEOUT_S)
        snapshot = self.config.snapshot(self._claims.owners())
        output.effects.extend(self._write(record_id, snapshot, deadline, now).effects)

    def _apply_writer_effects(
        self,
        effects: Sequence[LogWriterEffect],
        output: LogOutput,
        now: Instant,
    ) -> None:
        for effect in effects:
            match effect:
                case SendAppend(records):
                    output.effects.append(AppendToLog(records))
                case ReadBack():
                    self._begin_read_back(now)
                    output.effects.append(ReadLog(self.config.applied))
                case RecordSettled(record_id, result):
                    self._record_settled(record_id, result, output)

    def _begin_read_back(self, now: Instant) -> None:
        # Any read sent after the reply was lost is sufficient, however long it takes.
        if self._read_back_after is None:
            self._read_back_after = now

    def _record_settled(
        self, record_id: RecordId, result: WriteResult, output: LogOutput
    ) -> None:
        self._snapshots.settled(record_id)
        if record_id not in self._changes_by_record:
            output.events.append(RecordWritten(record_id, result))
        elif result is not WriteResult.WRITTEN:
            # A written change is finished once its offset in the log is read.
            self._finish_change(record_id, _OUTCOME_BY_WRITE[result], output)

    def _finish_change(
        self, record_id: RecordId, outcome: ChangeOutcome, output: LogOutput
    ) -> None:
        pending_change = self._changes_by_record.pop(record_id, None)
        if pending_change is None:
            return
        version = self.config.version(pending_change.path)
        output.effects.append(FinishChange(pending_change.call_id, outcome, version))

    def _expire_changes(self, now: Instant, output: LogOutput) -> None:
        overdue = [
            record_id
            for record_id, pending_change in self._changes_by_record.items()
            # The log writer reports most expired records itself, and the delay lets it
            # do so first. This is for a change that was written but not read in time,
            # or whose append is not answered.
            if now >= pending_change.deadline + RETRY_DELAY_S
        ]
        for record_id in overdue:
            self._finish_change(record_id, ChangeOutcome.UNKNOWN, output)

    def _next_id(self) -> RecordId:
        self._sequence += 1
        return RecordId(f"{self._id_prefix()}{self._sequence}")

    def _id_prefix(self) -> str:
        return f"{self._member_id}/{self._run_name}/"


_OUTCOME_BY_CHANGE = {
    ChangeResult.ACCEPTED: ChangeOutcome.ACCEPTED,
    ChangeResult.CONFLICT: ChangeOutcome.CONFLICT,
    ChangeResult.SUPERSEDED: ChangeOutcome.UNKNOWN,
}

_OUTCOME_BY_WRITE = {
    WriteResult.NOT_WRITTEN: ChangeOutcome.NOT_CHANGED,
    WriteResult.UNKNOWN: ChangeOutcome.UNKNOWN,
}
