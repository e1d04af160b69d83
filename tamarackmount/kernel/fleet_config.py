"""The fleet's configuration as one member knows it.

Documents change by compare-and-set, decided by the order of the log: a change
takes effect when the version it expects is the document's version at that place in
the log, and its own offset becomes the new version. Documents also arrive from
peers; a document is replaced only by one with a higher version, so nothing older
ever replaces something newer, whichever way it comes.

A member that starts after retention dropped records doesn't know the versions that
the kept changes were decided against. It keeps those changes undecided until a
snapshot or a peer gives it all documents up to some place after the gap.
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
    """What the log's order made of a change.

    ``SUPERSEDED`` means that a later version is here already, so that the change
    has no effect any more and whether it had one isn't known. ``UNDECIDED`` waits
    for what retention dropped before it.
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
    """Documents by path, and how far the log was applied to them."""

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
        """Whether the log's end or a peer's documents were read, without gaps."""
        return self._is_loaded and self.is_complete

    def mark_loaded(self) -> None:
        """Note that the log was read to its end."""
        self._is_loaded = True

    @property
    def applied(self) -> Offset:
        """The offset before which every kept record of the log was read here."""
        return self._applied

    @property
    def known_to(self) -> Offset:
        """The offset before which every accepted change is in the documents here."""
        return self._known_to

    @property
    def is_complete(self) -> bool:
        """Whether nothing that retention dropped may be missing here."""
        return self._known_to >= self._missing_before

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
        if first_offset <= self._applied:
            return
        self._missing_before = max(self._missing_before, first_offset)
        self.advance(first_offset)

    def apply_change(self, offset: Offset, change: ConfigChange) -> ChangeResult:
        """Decide a change by its place in the log."""
        if not self.is_complete:
            self._undecided.append(_UndecidedChange(offset, change))
            return ChangeResult.UNDECIDED
        return self._decide(offset, change)

    def apply_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Take in documents of a snapshot that are newer than those here."""
        documents = [
            Document(entry.path, entry.version, entry.text)
            for entry in snapshot.entries
        ]
        self._take_documents(snapshot.applied, documents)

    def apply_entries(self, known_to: Offset, entries: Iterable[ConfigEntry]) -> bool:
        """Take in a peer's documents; return whether any was newer.

        ``known_to`` is the peer's; 0 from a peer that doesn't know all documents.
        """
        documents = [
            Document(entry.path, entry.version, entry.text) for entry in entries
        ]
        if known_to > 0:
            self._is_loaded = True
        return self._take_documents(known_to, documents)

    def advance(self, offset: Offset) -> None:
        """Note that every record before ``offset`` was taken in."""
        self._applied = max(self._applied, offset)
        if self.is_complete:
            self._known_to = max(self._known_to, self._applied)

    def entries_since(self, offset: Offset) -> list[ConfigEntry]:
        """Return the documents changed at ``offset`` or later, deleted ones too."""
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

    def _take_documents(self, known_to: Offset, documents: list[Document]) -> bool:
        changed = [self._put_newer(document) for document in documents]
        self._known_to = max(self._known_to, known_to)
        decided = self._decide_kept(known_to)
        return any(changed) or decided

    def _decide_kept(self, known_to: Offset) -> bool:
        """Decide the changes that waited, once nothing before them is missing."""
        if not self.is_complete:
            return False
        kept, self._undecided = self._undecided, []
        later = [one for one in kept if one.offset >= known_to]
        results = [self._decide(one.offset, one.change) for one in later]
        self._known_to = max(self._known_to, self._applied)
        return ChangeResult.ACCEPTED in results

    def _decide(self, offset: Offset, change: ConfigChange) -> ChangeResult:
        version = self.version(change.path)
        if version == offset:
            # A peer was quicker than the log.
            return ChangeResult.ACCEPTED
        if version > offset:
            return ChangeResult.SUPERSEDED
        if version != change.expected:
            return ChangeResult.CONFLICT
        self._put(Document(change.path, offset, change.text))
        return ChangeResult.ACCEPTED

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
