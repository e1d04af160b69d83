"""The fleet's configuration as one member knows it.

Documents change by compare-and-set, decided by the order of the log: a change
takes effect when the version it expects is the document's version at that place in
the log, and its own offset becomes the new version. Documents also arrive from
peers; a document is replaced only by one with a higher version, so nothing older
ever replaces something newer, whichever way it comes.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import ConfigPath, Offset
from tamarackmount.kernel.log_records import (
    ConfigChange,
    ConfigSnapshot,
    LoggedOwner,
    SnapshotEntry,
)
from tamarackmount.kernel.messages import ConfigEntry

FIRST_OFFSET = Offset(1)
"""Offset of the first record that a log ever gets."""

ABSENT = Offset(0)
"""The version of a document that never existed."""

HISTORY_LENGTH = 20
"""Number of versions of each document that a member remembers."""


class ChangeResult(Enum):
    """What the log's order made of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class Document:
    """A document at a version; an empty text means that it was deleted."""

    path: ConfigPath
    version: Offset
    text: str


class FleetConfig:
    """Documents by path, and how far the log was applied to them."""

    def __init__(self) -> None:
        """Start with no document, before the first record of the log."""
        self._documents_by_path: dict[ConfigPath, Document] = {}
        self._history_by_path: dict[ConfigPath, deque[Document]] = {}
        self._applied = FIRST_OFFSET
        self._missing_before = Offset(0)
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether the log's end or a peer's documents were read, without gaps."""
        return self._is_loaded and self.is_complete

    def mark_loaded(self) -> None:
        """Note that the log was read to its end."""
        self._is_loaded = True

    @property
    def applied(self) -> Offset:
        """The offset before which every record took effect here."""
        return self._applied

    @property
    def is_complete(self) -> bool:
        """Whether nothing that retention dropped may be missing here."""
        return self._missing_before <= self._applied

    def document(self, path: ConfigPath) -> Document | None:
        """Return a document that exists now."""
        document = self._documents_by_path.get(path)
        return document if document is not None and document.text else None

    def version(self, path: ConfigPath) -> Offset:
        """Return the version of a document, deleted or not; 0 when it never was."""
        document = self._documents_by_path.get(path)
        return document.version if document is not None else ABSENT

    def documents(self) -> Mapping[ConfigPath, Document]:
        """Return every document that exists now, by path."""
        return {path: doc for path, doc in self._documents_by_path.items() if doc.text}

    def history(self, path: ConfigPath) -> list[Document]:
        """Return the versions of a document seen here, oldest first."""
        return list(self._history_by_path.get(path, ()))

    def records_dropped(self, first_offset: Offset) -> None:
        """Note that the log keeps nothing before ``first_offset``."""
        if first_offset > self._applied:
            self._missing_before = max(self._missing_before, first_offset)

    def apply_change(self, offset: Offset, change: ConfigChange) -> ChangeResult:
        """Decide a change by its place in the log."""
        if self.version(change.path) != change.expected:
            return ChangeResult.CONFLICT
        self._put(Document(change.path, offset, change.text))
        return ChangeResult.ACCEPTED

    def apply_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Take in documents of a snapshot that are newer than those here."""
        for entry in snapshot.entries:
            self._put_newer(Document(entry.path, entry.version, entry.text))
        if snapshot.applied >= self._missing_before:
            self._missing_before = Offset(0)

    def apply_entries(self, offset: Offset, entries: Iterable[ConfigEntry]) -> bool:
        """Take in a peer's documents; return whether any was newer.

        ``offset`` is how far the peer had applied the log, without gaps.
        """
        changed = False
        for entry in entries:
            document = Document(entry.path, entry.version, entry.text)
            changed = self._put_newer(document) or changed
        if offset >= self._missing_before:
            self._missing_before = Offset(0)
        self._is_loaded = True
        return changed

    def advance(self, offset: Offset) -> None:
        """Note that every record before ``offset`` was taken in."""
        self._applied = max(self._applied, offset)

    def entries(self) -> list[ConfigEntry]:
        """Return every document, deleted ones too, for a peer."""
        return [
            ConfigEntry(doc.path, doc.version, doc.text)
            for doc in self._documents_by_path.values()
        ]

    def snapshot(self, owners: Iterable[LoggedOwner]) -> ConfigSnapshot:
        """Return a snapshot to append to the log."""
        entries = [
            SnapshotEntry(path=doc.path, version=doc.version, text=doc.text)
            for doc in self._documents_by_path.values()
        ]
        return ConfigSnapshot(
            applied=self._applied, entries=entries, owners=list(owners)
        )

    def _put_newer(self, document: Document) -> bool:
        if document.version <= self.version(document.path):
            return False
        self._put(document)
        return True

    def _put(self, document: Document) -> None:
        self._documents_by_path[document.path] = document
        history = self._history_by_path.setdefault(
            document.path, deque(maxlen=HISTORY_LENGTH)
        )
        history.append(document)
