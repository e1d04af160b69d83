"""Records that the members write to the platform's log, as JSON texts."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from tamarackmount.ids import ConfigPath, DataCentreId, Epoch, MemberId, Offset


class _Record(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ConfigChange(_Record):
    """Replaces a document if its version is ``expected``; an empty text deletes it."""

    kind: Literal["config_change"] = "config_change"
    path: ConfigPath
    expected: Offset
    text: str


class SnapshotEntry(_Record):
    """One document in a snapshot."""

    path: ConfigPath
    version: Offset
    text: str


class LoggedOwner(_Record):
    """The last accepted claim of a data centre in the log."""

    data_centre: DataCentreId
    epoch: Epoch


class ConfigSnapshot(_Record):
    """All documents, deleted ones included, as of the records before ``applied``."""

    kind: Literal["config_snapshot"] = "config_snapshot"
    applied: Offset
    entries: list[SnapshotEntry]
    owners: list[LoggedOwner]


class OwnerClaim(_Record):
    """Claims a data centre's ownership, to succeed the owner of epoch ``expected``."""

    kind: Literal["owner_claim"] = "owner_claim"
    data_centre: DataCentreId
    member_id: MemberId
    expected: Epoch


class JobRecords(_Record):
    """Job records of a data centre as JSON texts; newer versions replace older."""

    kind: Literal["job_records"] = "job_records"
    data_centre: DataCentreId
    records: list[str]


LogRecord = ConfigChange | ConfigSnapshot | OwnerClaim | JobRecords
"""Every record of the log."""

_ADAPTER: TypeAdapter[LogRecord] = TypeAdapter(
    Annotated[LogRecord, Field(discriminator="kind")]
)


def record_to_text(record: LogRecord) -> str:
    """Return the JSON text of a record."""
    return record.model_dump_json()


def record_from_text(text: str) -> Result[LogRecord, str]:
    """Return the record in a JSON text, or a description of the error."""
    try:
        return Success(_ADAPTER.validate_json(text))
    except ValidationError as error:
        return Failure(str(error))
