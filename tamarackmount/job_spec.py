"""Job specifications as callers submit them."""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    ValidationInfo,
    field_validator,
)
from returns.result import Failure, Result, Success

from tamarackmount.ids import DataCentreId
from tamarackmount.resources import Resources

JOB_NAME_PATTERN = r"^[A-Za-z0-9._-]{1,128}$"
"""What a caller's name for a job looks like; ids are built from it with : and /."""

MAX_TASKS = 100_000
"""Largest number of tasks in one job."""

MAX_RUN_MS = 31 * 24 * 3_600_000
"""Longest declared run time, in milliseconds."""

MILLICORES_PER_CORE = 1_000
MIB_PER_GIB = 1_024


class JobKind(Enum):
    """What a job's tasks need of the scheduler."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Priority(Enum):
    """How a job ranks against the others."""

    URGENT = "urgent"
    NORMAL = "normal"


class JobSpec(BaseModel):
    """A job specification; sizes are those of one task."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    id: str = Field(pattern=JOB_NAME_PATTERN)
    kind: JobKind
    tasks: int = Field(default=1, ge=1, le=MAX_TASKS)
    cores: float = Field(gt=0, le=100_000, allow_inf_nan=False)
    memory_gib: float = Field(gt=0, le=1_000_000, allow_inf_nan=False)
    accelerators: int = Field(default=0, ge=0, le=10_000)
    run_ms: int | None = Field(default=None, ge=1, le=MAX_RUN_MS, validate_default=True)
    idempotent: bool = True
    priority: Priority = Priority.NORMAL
    max_attempts: int = Field(default=3, ge=1, le=100)
    data_centre: DataCentreId = Field(
        default=DataCentreId(""), pattern=r"^([a-z0-9][a-z0-9-]{0,62})?$"
    )

    @field_validator("run_ms")
    @classmethod
    def _services_run_until_cancelled(
        cls, run_ms: int | None, info: ValidationInfo
    ) -> int | None:
        if run_ms is not None and info.data.get("kind") is JobKind.SERVICE:
            raise ValueError("must be null for a service, which runs until cancelled")
        return run_ms

    def amount(self) -> Resources:
        """Return the declared size of one task, rounded up to whole units."""
        return Resources(
            math.ceil(self.cores * MILLICORES_PER_CORE),
            math.ceil(self.memory_gib * MIB_PER_GIB),
            self.accelerators,
        )


@dataclass(frozen=True, slots=True)
class SpecError:
    """One thing wrong with a specification; ``field`` is empty for the whole text."""

    field: str
    message: str


def parse_job_spec(text: str) -> Result[JobSpec, list[SpecError]]:
    """Read a specification's JSON text; a failure holds every error found."""
    try:
        return Success(JobSpec.model_validate_json(text))
    except ValidationError as error:
        return Failure([_spec_error(detail) for detail in error.errors()])


def _spec_error(detail: Any) -> SpecError:
    place = ".".join(str(part) for part in detail["loc"])
    return SpecError(place, detail["msg"])


def describe_errors(errors: list[SpecError]) -> str:
    """Return one line that names every error."""
    return "; ".join(f"{error.field or 'body'}: {error.message}" for error in errors)
