"""Job specifications are parsed strictly and all errors are reported."""

import json
from typing import Any

import pytest
from returns.result import Failure, Success

from tamarackmount.job_spec import (
    JobKind,
    JobSpec,
    Priority,
    describe_errors,
    parse_job_spec,
)
from tamarackmount.resources import Resources

MINIMAL: dict[str, Any] = {"id": "j", "kind": "batch", "cores": 1, "memory_gib": 2}


def errors_of(**changes: Any) -> set[str]:
    result = parse_job_spec(json.dumps(MINIMAL | changes))
    assert isinstance(result, Failure)
    return {error.field for error in result.failure()}


def test_optional_fields_have_defaults() -> None:
    result = parse_job_spec(json.dumps(MINIMAL))
    assert isinstance(result, Success)
    spec = result.unwrap()
    assert spec == JobSpec(id="j", kind=JobKind.BATCH, cores=1, memory_gib=2)
    assert (spec.tasks, spec.run_ms, spec.idempotent) == (1, None, True)
    assert (spec.priority, spec.max_attempts, spec.data_centre) == (
        Priority.NORMAL,
        3,
        "",
    )


def test_sizes_are_rounded_up() -> None:
    spec = JobSpec(id="j", kind=JobKind.GANG, cores=0.0001, memory_gib=0.0001)
    assert spec.amount() == Resources(1, 1, 0)


def test_all_errors_are_reported_at_once() -> None:
    found = errors_of(id="a/b", kind="cron", tasks=0, cores=-1, max_attempts=101)
    assert found == {"id", "kind", "tasks", "cores", "max_attempts"}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("tasks", 1.5),
        ("tasks", "3"),
        ("tasks", 100_001),
        ("cores", "1"),
        ("idempotent", 1),
        ("priority", "high"),
        ("id", ""),
        ("id", "dc:team:job"),
        ("unknown", 1),
        ("accelerators", -1),
        ("data_centre", "Not A Name"),
    ],
)
def test_invalid_field_is_reported(field: str, value: object) -> None:
    assert errors_of(**{field: value}) == {field}


def test_run_time_of_a_service_is_refused() -> None:
    assert errors_of(kind="service", run_ms=5) == {"run_ms"}


@pytest.mark.parametrize("text", ["", "{", "[]", '"x"', "null"])
def test_text_that_is_not_an_object_is_refused(text: str) -> None:
    result = parse_job_spec(text)
    assert isinstance(result, Failure)
    assert describe_errors(result.failure()).startswith("body: ")
