"""Large jobs are decoded in turns, so that other callers are answered meanwhile."""

from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tamarackmount.ids import Instant
from tamarackmount.node.paced_queue import (
    MAX_TURN_S,
    PAUSE_FACTOR,
    SMALL_BYTES,
    PacedQueue,
)

LARGE = 100_000
WORK_S = 0.25


class PacedWork:
    """Work in turns of a queue, in virtual time.

    ``spans_by_name`` has the start and the end of what was done, and ``refused`` the
    names of what was not.
    """

    def __init__(self, max_bytes: int = 100 * LARGE) -> None:
        """Let work of up to ``max_bytes`` wait."""
        self.clock = Clock()
        reactor: Any = self.clock
        self.queue = PacedQueue(reactor, max_bytes)
        self.work_s = WORK_S
        self.spans_by_name: dict[str, tuple[float, float]] = {}
        self.refused: list[str] = []

    def add(self, name: str, size: int = LARGE, left_s: float = 60.0) -> None:
        ensureDeferred(self._work(name, size, left_s))

    def run(self, seconds: float) -> None:
        """Let time pass, in steps of a power of two as sums of these are exact."""
        self.clock.pump([0.125] * int(seconds / 0.125))

    async def _work(self, name: str, size: int, left_s: float) -> None:
        deadline = Instant(self.clock.seconds() + left_s)
        if not await self.queue.wait_turn(size, deadline):
            self.refused.append(name)
            return
        started_at = self.clock.seconds()
        self.clock.rightNow += self.work_s if size > SMALL_BYTES else 0.0
        self.spans_by_name[name] = (started_at, self.clock.seconds())


def test_large_jobs_followed_one_another_without_a_pause() -> None:
    work = PacedWork()
    names = [f"job {number}" for number in range(5)]
    for name in names:
        work.add(name)
    work.run(10.0)
    assert list(work.spans_by_name) == names
    spans = list(work.spans_by_name.values())
    pauses_s = [
        later[0] - earlier[1] for earlier, later in zip(spans, spans[1:], strict=False)
    ]
    assert min(pauses_s) >= WORK_S


def test_a_small_job_waited_behind_large_ones() -> None:
    work = PacedWork()
    for number in range(5):
        work.add(f"job {number}")
    work.add("small", size=SMALL_BYTES)
    assert list(work.spans_by_name) == ["small"]


def test_a_single_large_job_is_done_at_once() -> None:
    work = PacedWork(max_bytes=LARGE)
    work.add("job")
    work.clock.advance(0.0)
    assert list(work.spans_by_name) == ["job"]


def test_large_jobs_beyond_the_bound_were_kept_waiting() -> None:
    work = PacedWork(max_bytes=3 * LARGE)
    for number in range(5):
        work.add(f"job {number}")
    assert work.refused == ["job 3", "job 4"]
    work.run(10.0)
    assert len(work.spans_by_name) == 3
    assert work.queue.waiting_bytes == 0


def test_a_job_that_would_miss_its_deadline_was_kept_waiting() -> None:
    work = PacedWork()
    work.add("first")
    work.run(5.0)
    for number in range(5):
        work.add(f"job {number}")
    work.add("late", left_s=2.0)
    assert work.refused == ["late"]
    assert work.queue.retry_s >= 2


def test_a_job_whose_deadline_has_passed_was_decoded() -> None:
    work = PacedWork()
    work.add("first")
    work.add("second", left_s=0.5)
    work.run(10.0)
    assert work.refused == ["second"]
    assert list(work.spans_by_name) == ["first"]


def test_large_jobs_were_refused_after_the_process_had_been_suspended() -> None:
    work = PacedWork()
    work.work_s = 60.0
    work.add("suspended")
    work.run(MAX_TURN_S * PAUSE_FACTOR)
    work.work_s = WORK_S
    work.add("next", left_s=3.0)
    work.run(3.0)
    assert list(work.spans_by_name) == ["suspended", "next"]
