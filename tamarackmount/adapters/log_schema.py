"""Messages of the platform's log service, as JSON over HTTP.

``POST /append`` takes an :class:`AppendRequest` and responds with an
:class:`AppendReply`. The records of one call get consecutive offsets, or none is
stored.
``GET /records?from=OFFSET&limit=COUNT`` responds with a :class:`RecordPage`.
Either call may respond with 503 while the service is down.
"""

from pydantic import BaseModel, ConfigDict, Field

from tamarackmount.ids import Offset, RecordId

MAX_RECORDS_PER_APPEND = 500
"""Largest number of records in one append call."""

MAX_RECORDS_PER_PAGE = 1_000
"""Largest number of records in one page."""


class _Message(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class NewRecord(_Message):
    """A record to append: an id given by the writer, and its text."""

    id: RecordId
    body: str


class AppendRequest(_Message):
    """Records to append as one group."""

    records: list[NewRecord] = Field(min_length=1, max_length=MAX_RECORDS_PER_APPEND)


class AppendReply(_Message):
    """Offset of the first record of the group."""

    first_offset: Offset


class StoredRecord(_Message):
    """A record with its offset in the log."""

    offset: Offset
    id: RecordId
    body: str


class RecordPage(_Message):
    """Records from the requested offset on.

    ``first_offset`` is the oldest offset that is still stored; if it is higher than
    the requested one, retention dropped the records between them. ``next_offset`` is
    the offset that the next appended record gets.
    """

    first_offset: Offset
    next_offset: Offset
    records: list[StoredRecord]
