"""Crowds of callers with large bodies must not end or starve a node's process."""

from pathlib import Path

import pytest

from tests.utils.build_hostile_requests import (
    MAX_STEPS,
    MAX_STORABLE_STEPS,
    chunked,
    job_of_many_steps,
    largest_job,
    with_chunks,
    with_length,
)
from tests.utils.hostile_clients import Script, connected
from tests.utils.running_node import Limits, check_survival, running_node
from tests.utils.serve_store import Mode

JOB_NUMBERS = range(1, 401)
"""One caller each: with a body of the largest size each, they exceed the memory."""

LIMITS = Limits(memory_mib=128, file_descriptors=4_100)
"""Limits of the process; without callers it takes about 50 MiB."""

SHORT_OF_THE_END = 5
"""Number of bytes that are missing from a body that stops just short of its end."""

LARGE_CHUNK_BYTES = 65_536
PIECE_BYTES = 4_096

ANNOUNCED_BYTES = 64 * 1024 * 1024
"""Announced length of a body far over the limit."""

OVERSIZED_BYTES = 2 * 1024 * 1024
"""Number of bytes that are sent of a body far over the limit."""

JOBS = {
    "few_steps": largest_job(),
    "many_steps": job_of_many_steps(MAX_STEPS),
    "storable": job_of_many_steps(MAX_STORABLE_STEPS),
}
"""Valid jobs of the largest size, by how much they take once decoded and stored."""


def whole(body: bytes) -> list[Script]:
    return [Script((with_length(job, len(body)), body)) for job in JOB_NUMBERS]


@pytest.mark.parametrize("kind", JOBS)
def test_whole_bodies_exhaust_the_node(kind: str, tmp_path: Path) -> None:
    with running_node(LIMITS, tmp_path) as (node, _):
        check_survival(node, node.entry, whole(JOBS[kind]))


def test_bodies_in_pieces_that_stop_short_exhaust_the_node(tmp_path: Path) -> None:
    body = JOBS["few_steps"]
    scripts = [
        Script((with_length(job, len(body)), body[:-SHORT_OF_THE_END]), PIECE_BYTES)
        for job in JOB_NUMBERS
    ]
    with running_node(LIMITS, tmp_path) as (node, _):
        check_survival(node, node.entry, scripts)


@pytest.mark.parametrize("chunk_bytes", [LARGE_CHUNK_BYTES, 1])
def test_chunked_bodies_that_stop_short_exhaust_the_node(
    chunk_bytes: int, tmp_path: Path
) -> None:
    content = chunked(JOBS["few_steps"], chunk_bytes)[:-SHORT_OF_THE_END]
    scripts = [Script((with_chunks(job), content)) for job in JOB_NUMBERS]
    with running_node(LIMITS, tmp_path) as (node, _):
        check_survival(node, node.entry, scripts)


def test_announced_bodies_over_the_limit_exhaust_the_node(tmp_path: Path) -> None:
    content = b"x" * OVERSIZED_BYTES
    scripts = [
        Script((with_length(job, ANNOUNCED_BYTES), content)) for job in JOB_NUMBERS
    ]
    with running_node(LIMITS, tmp_path) as (node, _):
        check_survival(node, node.entry, scripts)


def test_chunked_bodies_over_the_limit_exhaust_the_node(tmp_path: Path) -> None:
    content = chunked(b"x" * OVERSIZED_BYTES, LARGE_CHUNK_BYTES)
    scripts = [Script((with_chunks(job), content)) for job in JOB_NUMBERS]
    with running_node(LIMITS, tmp_path) as (node, _):
        check_survival(node, node.entry, scripts)


@pytest.mark.parametrize("mode", [Mode.SLOW, Mode.SILENT])
@pytest.mark.parametrize("kind", ["few_steps", "storable"])
def test_jobs_that_wait_for_the_store_exhaust_the_node(
    kind: str, mode: Mode, tmp_path: Path
) -> None:
    with running_node(LIMITS, tmp_path) as (node, store):
        store.set_mode(mode)
        with connected(node.entry, whole(JOBS[kind])) as crowd:
            crowd.wait_until_quiet(node.observe)
            store.set_mode(Mode.NORMAL)
            node.check_that_it_serves()
            node.check_limits()
