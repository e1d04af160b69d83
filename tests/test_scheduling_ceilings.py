"""How much of its workspace's ceiling non-urgent work leaves to urgent work."""

import pytest

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.estimates.urgent_peaks import PEAK_WINDOW_S, UrgentPeaks
from tamarackmount.scheduling.limits.ceilings import (
    MIN_NON_URGENT_CEILING_FRACTION,
    NON_URGENT_CEILING_FRACTION,
)
from tamarackmount.scheduling.scheduler import SHARES_INTERVAL_S
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    ended_run,
    job,
    step,
    worker_entry,
    worker_report,
)

WORKSPACE = WorkspaceId("a")
CEILING = Resources(20_000, 0, 0)


class UrgentUse:
    """A worker on which urgent tasks of a workspace with 20 cores run and end."""

    def __init__(self) -> None:
        """Begin with an idle worker."""
        self.harness = SchedulerHarness(ceiling=CEILING)
        self.harness.register_workers(worker_entry("w1", cores=32))
        self._jobs = 0
        self._ends = 0

    def begin(self, cores: int) -> list[StartRun]:
        self._jobs += 1
        accepted = job(self._jobs, step(cores), in_queue=HIGH_PRIORITY)
        self.harness.submit_job(accepted)
        starts = self.harness.answer_starts()
        self.harness.tick(SHARES_INTERVAL_S)
        return starts

    def end(self, starts: list[StartRun]) -> None:
        rows = []
        for start in starts:
            self._ends += 1
            order = start.order
            rows.append(
                ended_run(self._ends, order.task, order.run_number, RunEnd.DONE)
            )
        self.harness.answer_poll(worker_report(ended=tuple(rows)))
        self.harness.tick(SHARES_INTERVAL_S)

    def use_for_a_window(self, cores: int) -> None:
        """Let urgent tasks use some cores twice, a window apart."""
        for wait_s in (0.0, PEAK_WINDOW_S / 2, PEAK_WINDOW_S / 2):
            self.wait(wait_s)
            self.end(self.begin(cores))

    def wait(self, seconds: float) -> None:
        self.harness.tick(seconds)
        self.harness.answer_poll(worker_report())

    def started_by_a_long_job(self) -> int:
        self.harness.submit_job(job(99, step(30, estimated_ms=9_000)))
        self.harness.tick(SHARES_INTERVAL_S)
        return len(self.harness.starts)


@pytest.mark.parametrize(
    ("urgent_cores", "started"),
    [(2, 18), (6, 14), (18, int(20 * MIN_NON_URGENT_CEILING_FRACTION))],
)
def test_non_urgent_jobs_leave_the_observed_urgent_peak_free(
    urgent_cores: int, started: int
) -> None:
    use = UrgentUse()
    use.use_for_a_window(urgent_cores)
    assert use.started_by_a_long_job() == started


@pytest.mark.parametrize(
    ("urgent_cores", "started"), [(2, int(20 * NON_URGENT_CEILING_FRACTION)), (6, 14)]
)
def test_a_peak_of_less_than_a_window_frees_nothing_beyond_the_fixed_fraction(
    urgent_cores: int, started: int
) -> None:
    use = UrgentUse()
    use.end(use.begin(urgent_cores))
    assert use.started_by_a_long_job() == started


def test_without_recent_urgent_use_the_fixed_fraction_holds() -> None:
    use = UrgentUse()
    use.use_for_a_window(6)
    use.wait(PEAK_WINDOW_S + 2.0)
    assert use.started_by_a_long_job() == int(20 * NON_URGENT_CEILING_FRACTION)


def test_urgent_jobs_in_use_count_as_part_of_the_peak() -> None:
    use = UrgentUse()
    use.use_for_a_window(6)
    use.begin(6)
    # Nothing is kept free for a second burst while the first one runs.
    assert use.started_by_a_long_job() == 14


def test_a_peak_counts_for_its_window_only() -> None:
    peaks = UrgentPeaks()
    peaks.record({WORKSPACE: Resources(5_000, 100, 0)}, Instant(0.0))
    peaks.record({WORKSPACE: Resources(1_000, 900, 0)}, Instant(0.5))
    assert peaks.peak(WORKSPACE, Instant(0.5)) == Resources(5_000, 900, 0)
    peaks.record({}, Instant(PEAK_WINDOW_S))
    assert peaks.peak(WORKSPACE, Instant(PEAK_WINDOW_S)) == Resources(5_000, 900, 0)
    peaks.record({}, Instant(PEAK_WINDOW_S + 1.0))
    assert peaks.peak(WORKSPACE, Instant(PEAK_WINDOW_S + 1.0)) is None


def test_a_job_waited_although_its_workspace_used_less_than_half_its_ceiling() -> None:
    use = UrgentUse()
    use.use_for_a_window(18)
    harness = use.harness
    harness.submit_job(job(101, step(cores=9)))
    assert len(harness.answer_starts()) == 1
    harness.submit_job(job(102, step(2, cores=2)))
    # The first task of two takes the workspace beyond half, and the other one waits.
    assert len(harness.answer_starts()) == 1
