"""Jobs with many steps, or with long lists in them."""

from dataclasses import replace
from typing import Any

import pytest

from tamarackmount.platform import jobs
from tamarackmount.platform.jobs import decode_job
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import StepSpec, describe_steps
from tamarackmount.scheduling.store.journal import encode_record
from tamarackmount.scheduling.store.record_limits import (
    DEFAULT_MAX_RECORD_BYTES,
    max_steps_per_job,
)
from tests.utils.build_large_jobs import dense_body, listing_body
from tests.utils.build_scheduling import job, step

MAX_STEPS = max_steps_per_job(DEFAULT_MAX_RECORD_BYTES)


def test_steps_of_a_job_too_large_for_its_record_were_all_decoded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decoded: list[Any] = []
    monkeypatch.setattr(jobs, "_decode_step", decoded.append)
    error = decode_job(dense_body(20_000), MAX_STEPS).failure()
    assert error.is_too_large
    assert not decoded


@pytest.mark.parametrize("max_bytes", [1_000, DEFAULT_MAX_RECORD_BYTES])
def test_a_job_that_fits_into_its_record_has_no_more_than_the_maximum_of_steps(
    max_bytes: int,
) -> None:
    steps = [StepSpec(1, Resources(), gang=True, same_rack=True, perpetual=True)]
    record = encode_record(job(1, *steps * (max_steps_per_job(max_bytes) + 1)))
    assert len(record) > max_bytes


def test_the_message_about_a_job_repeated_its_body() -> None:
    error = decode_job(listing_body(100_000, dependency=7)).failure()
    assert len(error.detail) < 1_000


def test_a_dependency_that_is_listed_again_was_kept_each_time() -> None:
    spec = decode_job(listing_body(100_000)).unwrap()
    assert spec.steps[1].after == (0,)
    assert len(encode_record(replace(job(), spec=spec))) < 2_000


def test_the_description_of_a_job_was_as_long_as_the_job() -> None:
    steps = [replace(step(), label="l" * 100_000)] * MAX_STEPS
    texts = describe_steps(steps)
    assert sum(map(len, texts)) < 10_000
    assert str(MAX_STEPS - len(texts) + 1) in texts[-1]


def test_the_description_of_an_ordinary_job_names_each_step() -> None:
    texts = describe_steps([step(count) for count in (1, 2, 3)])
    assert [text.partition("x")[0] for text in texts] == ["1", "2", "3"]


def test_a_job_of_the_maximum_of_steps_is_decoded() -> None:
    spec = decode_job(dense_body(MAX_STEPS), MAX_STEPS).unwrap()
    assert len(spec.steps) == MAX_STEPS
