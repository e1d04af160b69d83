"""Tasks that fail unexpectedly."""

import logging

import pytest

from tamarackmount.node.tasks import on_fatal_error, spawn, stop_process_on_error


async def fine() -> int:
    return 7


async def wrong() -> int:
    raise KeyError("lost")


def step() -> None:
    raise KeyError("lost")


def test_a_task_gives_its_result() -> None:
    results: list[object] = []
    spawn(fine()).addCallback(results.append)
    assert results == [7]


def test_a_failed_task_or_step_is_logged_and_stops_the_process(
    caplog: pytest.LogCaptureFixture,
) -> None:
    stops: list[int] = []
    on_fatal_error(lambda: stops.append(1))
    spawn(wrong())
    stop_process_on_error(step)()
    assert len(stops) == 2
    found = [row for row in caplog.records if row.levelno == logging.CRITICAL]
    assert [row.getMessage() for row in found] == ["broken invariant"] * 2
    assert all(row.exc_info for row in found)
