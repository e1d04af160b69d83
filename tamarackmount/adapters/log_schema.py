"""Messages of the platform's log service, as JSON over HTTP.

``POST /append`` takes an :class:`AppendRequest` and answers with an
:class:`AppendReply`; the records of one call get consecutive offsets or none.
``GET /records?from=OFFSET&limit=COUNT`` answers with a :class:`RecordPage`.
Either call may answer 503 while the service is down.
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
    """A record to append: the writer's id for it and its text."""

    id: RecordId
    body: str


class AppendRequest(_Message):
    """Records to append as one group."""

    records: list[NewRecord] = Field(min_length=1, max_length=MAX_RECORDS_PER_APPEND)


class AppendReply(_Message):
    """Offset of the first record of the group."""

    first_offset: Offset


class StoredRecord(_Message):
    """A record with its place in the log."""

    offset: Offset
    id: RecordId
    body: str


class RecordPage(_Message):
    """Records from the asked offset on.

    ``first_offset`` is the oldest offset still kept; when it is above the asked
    one, the records between were dropped by retention. ``next_offset`` is the
    offset that the next appended record will get.
    """

    first_offset: Offset
    next_offset: Offset
    records: list[StoredRecord]
