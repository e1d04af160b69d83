"""The fleet's configuration as one member knows it.

Documents change by compare-and-set in the order of the log: a change takes effect
when the version it expects is the document's version at that offset of the log, and
its own offset becomes the new version. Documents also arrive from peers; a document is
replaced only by one with a higher version, so an older document never replaces a newer
one, whether it comes from the log or from a peer.

A member that starts after retention deleted records doesn't know the versions that the
remaining changes were decided against. It keeps those changes undecided until a
snapshot or a peer provides all documents up to an offset after the gap.
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
"""Offset of the first record ever written to a log; retention may have dropped it."""

ABSENT = Offset(0)
"""The version of a document that never existed."""

HISTORY_LENGTH = 20
"""Number of versions of each document that a member remembers."""


class ChangeResult(Enum):
    """Result of deciding a change in log order.

    ``SUPERSEDED`` means that this member already has a later version, so the change has
    no effect now and it is not known whether it ever had one. ``UNDECIDED`` means that
    the decision needs earlier records, which retention deleted.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    SUPERSEDED = "superseded"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class Document:
    """A document at a version; an empty text means that it was deleted."""

    path: ConfigPath
    version: Offset
    text: str


@dataclass(frozen=True, slots=True)
class _UndecidedChange:
    offset: Offset
    change: ConfigChange


class FleetConfig:
    """Documents by path, and the offset up to which the log was applied to them."""

    def __init__(self) -> None:
        """Start with no document, before the first record of the log."""
        self._documents_by_path: dict[ConfigPath, Document] = {}
        self._history_by_path: dict[ConfigPath, deque[Document]] = {}
        self._applied = FIRST_OFFSET
        self._known_to = FIRST_OFFSET
        self._missing_before = FIRST_OFFSET
        self._undecided: list[_UndecidedChange] = []
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether the end of the log or a peer's documents were read, without gaps."""
        return self._is_loaded and self.is_complete

    def mark_loaded(self) -> None:
        """Record that the log was read to its end."""
        self._is_loaded = True

    @property
    def applied(self) -> Offset:
        """The offset before which every retained record of the log was read."""
        return self._applied

    @property
    def known_to(self) -> Offset:
        """The offset before which every accepted change is in the documents."""
        return self._known_to

    @property
    def is_complete(self) -> bool:
        """Whether no change that retention deleted can be missing."""
        return self._known_to >= self._missing_before

    def document(self, path: ConfigPath) -> Document | None:
        """Return a document that exists now."""
        document = self._documents_by_path.get(path)
        return document if document is not None and document.text else None

    def version(self, path: ConfigPath) -> Offset:
        """Return the version of a document, deleted or not; 0 if it never existed."""
        document = self._documents_by_path.get(path)
        return document.version if document is not None else ABSENT

    def documents(self) -> Mapping[ConfigPath, Document]:
        """Return every document that exists now, by path."""
        return {path: doc for path, doc in self._documents_by_path.items() if doc.text}

    def history(self, path: ConfigPath) -> list[Document]:
        """Return the remembered versions of a document, oldest first."""
        return list(self._history_by_path.get(path, ()))

    def records_dropped(self, first_offset: Offset) -> None:
        """Record that the log retains nothing before ``first_offset``."""
        if first_offset <= self._applied:
            return
        self._missing_before = max(self._missing_before, first_offset)
        self.advance(first_offset)

    def apply_change(self, offset: Offset, change: ConfigChange) -> ChangeResult:
        """Decide a change by its offset in the log."""
        if not self.is_complete:
            self._undecided.append(_UndecidedChange(offset, change))
            return ChangeResult.UNDECIDED
        return self._decide(offset, change)

    def apply_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Apply the documents of a snapshot that are newer than the stored ones."""
        documents = [
            Document(entry.path, entry.version, entry.text)
            for entry in snapshot.entries
        ]
        self._apply_documents(snapshot.applied, documents)

    def apply_entries(self, known_to: Offset, entries: Iterable[ConfigEntry]) -> bool:
        """Apply a peer's documents; return whether any document changed.

        ``known_to`` is the peer's; it is 0 if the peer doesn't know all documents.
        """
        documents = [
            Document(entry.path, entry.version, entry.text) for entry in entries
        ]
        if known_to > 0:
            self._is_loaded = True
        return self._apply_documents(known_to, documents)

    def advance(self, offset: Offset) -> None:
        """Record that every record before ``offset`` was applied."""
        self._applied = max(self._applied, offset)
        if self.is_complete:
            self._known_to = max(self._known_to, self._applied)

    def entries_since(self, offset: Offset) -> list[ConfigEntry]:
        """Return the documents changed at ``offset`` or later, also deleted ones."""
        return [
            ConfigEntry(doc.path, doc.version, doc.text)
            for doc in self._documents_by_path.values()
            if doc.version >= offset
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

    def _apply_documents(self, known_to: Offset, documents: list[Document]) -> bool:
        changed = [self._store_if_newer(document) for document in documents]
        self._known_to = max(self._known_to, known_to)
        decided = self._decide_undecided(known_to)
        return any(changed) or decided

    def _decide_undecided(self, known_to: Offset) -> bool:
        """Decide the undecided changes once nothing before them is missing."""
        if not self.is_complete:
            return False
        undecided, self._undecided = self._undecided, []
        remaining = [logged for logged in undecided if logged.offset >= known_to]
        results = [self._decide(logged.offset, logged.change) for logged in remaining]
        self._known_to = max(self._known_to, self._applied)
        return ChangeResult.ACCEPTED in results

    def _decide(self, offset: Offset, change: ConfigChange) -> ChangeResult:
        version = self.version(change.path)
        if version == offset:
            # A peer sent the document before this member read the change in the log.
            return ChangeResult.ACCEPTED
        if version > offset:
            return ChangeResult.SUPERSEDED
        if version != change.expected:
            return ChangeResult.CONFLICT
        self._store(Document(change.path, offset, change.text))
        return ChangeResult.ACCEPTED

    def _store_if_newer(self, document: Document) -> bool:
        if document.version <= self.version(document.path):
            return False
        self._store(document)
        return True

    def _store(self, document: Document) -> None:
        self._documents_by_path[document.path] = document
        history = self._history_by_path.setdefault(
            document.path, deque(maxlen=HISTORY_LENGTH)
        )
        history.append(document)
