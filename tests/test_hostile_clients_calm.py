"""Bounds against hostile clients must not reject a single request inside the limits."""

from pathlib import Path

import pytest

from tests.utils.build_hostile_requests import (
    LAST_CHUNK,
    MAX_STORABLE_STEPS,
    chunked,
    get_request,
    job_of_many_steps,
    largest_job,
    with_chunks,
    with_length,
)
from tests.utils.running_node import Limits, running_node

LIMITS = Limits(memory_mib=128, file_descriptors=400)
"""Limits of the process, as low as in the tests with crowds."""

JOB = 1
PIECE_BYTES = 16_384
PAUSE_S = 0.05
"""Pause between two pieces of a body, in seconds."""

LARGE_CHUNK_BYTES = 65_536

JOBS = {"few_steps": largest_job(), "storable": job_of_many_steps(MAX_STORABLE_STEPS)}
"""Valid jobs of the largest size whose records fit into the store."""


@pytest.mark.parametrize("kind", JOBS)
def test_a_whole_body_of_the_largest_size_is_refused(kind: str, tmp_path: Path) -> None:
    body = JOBS[kind]
    with running_node(LIMITS, tmp_path) as (node, _):
        assert node.exchange([with_length(JOB, len(body)) + body]) == [200]
        node.check_limits()


def test_a_body_of_the_largest_size_in_pieces_is_refused(tmp_path: Path) -> None:
    body = JOBS["few_steps"]
    pieces = [
        body[start : start + PIECE_BYTES] for start in range(0, len(body), PIECE_BYTES)
    ]
    with running_node(LIMITS, tmp_path) as (node, _):
        head = with_length(JOB, len(body))
        assert node.exchange([head, *pieces], pause_s=PAUSE_S) == [200]
        node.check_limits()


@pytest.mark.parametrize("chunk_bytes", [LARGE_CHUNK_BYTES, 1])
def test_a_chunked_body_of_the_largest_size_is_refused(
    chunk_bytes: int, tmp_path: Path
) -> None:
    content = chunked(JOBS["few_steps"], chunk_bytes) + LAST_CHUNK
    with running_node(LIMITS, tmp_path) as (node, _):
        assert node.exchange([with_chunks(JOB) + content]) == [200]
        node.check_limits()


def test_requests_on_one_connection_are_not_all_answered(tmp_path: Path) -> None:
    body = JOBS["few_steps"]
    first = with_length(JOB, len(body)) + body
    second = get_request(f"/stock/{JOB:016x}")
    with running_node(LIMITS, tmp_path) as (node, _):
        assert node.exchange([first + second], answers=2) == [200, 200]
        node.check_limits()
