"""In-memory log service for tests in virtual time, with the faults of the real one."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from tamarackmount.adapters.log_schema import RecordPage, StoredRecord
from tamarackmount.ids import ConfigPath, Offset, RecordId
from tamarackmount.kernel.log_records import (
    ConfigChange,
    LogRecord,
    record_from_text,
    record_to_text,
)
from tamarackmount.kernel.log_writer import PendingRecord

PAGE_RECORDS = 50


@dataclass(slots=True)
class FakeLog:
    """A log with offsets from 1 that returns only the last ``keep`` records.

    ``all_records`` has every record, for checks. The next ``lose_replies`` appends
    take effect without a reply; the next ``late_appends`` have no reply either and
    take effect ``late_s`` later. The code that runs the log applies ``down``,
    ``delay_s`` and these faults.
    """

    keep: int = 100_000
    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    late_appends: int = 0
    late_s: float = 3.0
    appends: int = 0
    all_records: list[StoredRecord] = field(default_factory=list)
    append_times: list[float] = field(default_factory=list)
    _applied_count: int = 0
    _versions: dict[ConfigPath, Offset] = field(default_factory=dict)
    _accepted: dict[Offset, ConfigChange] = field(default_factory=dict)

    @property
    def first_offset(self) -> Offset:
        """Offset of the oldest record that is still available."""
        return Offset(max(1, self.next_offset - self.keep))

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record."""
        return Offset(len(self.all_records) + 1)

    def append(self, records: Sequence[PendingRecord], now: float = 0.0) -> None:
        """Store the records of one append call."""
        self.appends += 1
        self.append_times.append(now)
        for record in records:
            self.store(record.id, record.text)

    def store(self, record_id: RecordId, text: str) -> Offset:
        """Store one record and return its offset."""
        offset = self.next_offset
        self.all_records.append(StoredRecord(offset=offset, id=record_id, body=text))
        return offset

    def add(self, record: LogRecord, name: str = "") -> Offset:
        """Store a record as if another writer had appended it."""
        record_id = RecordId(name or f"other/{self.next_offset}")
        return self.store(record_id, record_to_text(record))

    def page(self, offset: Offset, limit: int = PAGE_RECORDS) -> RecordPage:
        """Return available records from an offset on."""
        first = self.first_offset
        start = max(offset, first)
        return RecordPage(
            first_offset=first,
            next_offset=self.next_offset,
            records=self.all_records[start - 1 : start - 1 + limit],
        )

    def accepted_changes(self) -> dict[Offset, ConfigChange]:
        """Return the configuration changes that took effect, by their offset.

        A change takes effect if it expects the current version of its document.
        """
        for stored in self.all_records[self._applied_count :]:
            record = record_from_text(stored.body).unwrap()
            if isinstance(record, ConfigChange):
                self._apply(stored.offset, record)
        self._applied_count = len(self.all_records)
        return self._accepted

    def versions(self) -> dict[ConfigPath, Offset]:
        """Return the version of every document, including deleted ones."""
        self.accepted_changes()
        return self._versions

    def _apply(self, offset: Offset, change: ConfigChange) -> None:
        if self._versions.get(change.path, 0) == change.expected:
            self._versions[change.path] = offset
            self._accepted[offset] = change
