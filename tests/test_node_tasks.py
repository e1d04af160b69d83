"""Tasks and steps with unhandled exceptions."""

import logging

import pytest

from tamarackmount.node.tasks import on_fatal_error, spawn, stop_process_on_error


async def succeed() -> int:
    return 7


async def fail() -> int:
    raise KeyError("lost")


def failing_step() -> None:
    raise KeyError("lost")


def test_task_returns_its_result() -> None:
    results: list[object] = []
    spawn(succeed()).addCallback(results.append)
    assert results == [7]


def test_failed_task_or_step_is_logged_and_stops_process(
    caplog: pytest.LogCaptureFixture,
) -> None:
    stops: list[int] = []
    on_fatal_error(lambda: stops.append(1))
    spawn(fail())
    stop_process_on_error(failing_step)()
    assert len(stops) == 2
    critical = [row for row in caplog.records if row.levelno == logging.CRITICAL]
    assert [row.getMessage() for row in critical] == ["broken invariant"] * 2
    assert all(row.exc_info for row in critical)
