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
"""Pattern of a caller's name for a job; it excludes the id separators : and /."""

MAX_TASKS = 100_000
"""Maximum number of tasks in one job."""

MAX_RUN_MS = 31 * 24 * 3_600_000
"""Maximum declared run time, in milliseconds."""

MILLICORES_PER_CORE = 1_000
MIB_PER_GIB = 1_024


class JobKind(Enum):
    """The kind of a job, which determines how its tasks are scheduled."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Priority(Enum):
    """The priority of a job relative to other jobs."""

    URGENT = "urgent"
    NORMAL = "normal"


class JobSpec(BaseModel):
    """A job specification; resource sizes are for one task."""

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
    def _reject_run_ms_of_services(
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
    """One error in a specification; ``field`` is empty if it has no single field."""

    field: str
    message: str


def parse_job_spec(text: str) -> Result[JobSpec, list[SpecError]]:
    """Parse a specification's JSON text; a failure holds all errors."""
    try:
        return Success(JobSpec.model_validate_json(text))
    except ValidationError as error:
        return Failure([_spec_error(detail) for detail in error.errors()])


def _spec_error(detail: Any) -> SpecError:
    field = ".".join(str(part) for part in detail["loc"])
    return SpecError(field, detail["msg"])


def describe_errors(errors: list[SpecError]) -> str:
    """Return all errors as one line."""
    return "; ".join(f"{error.field or 'body'}: {error.message}" for error in errors)
