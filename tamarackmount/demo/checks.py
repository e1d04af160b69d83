"""Checks the outcomes that callers saw against what the stand-ins recorded."""

import math
import statistics
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from tamarackmount.demo.records import (
    NOT_RUN_ENDINGS,
    REPEAT_ERROR,
    Attempt,
    Disturbance,
    DisturbanceWindow,
    Ending,
    JobEnd,
    RequestRecord,
    Revocation,
    TaskRun,
)
from tamarackmount.ids import RequestId, TaskId

REVOCATION_BOUND_S = 13.0
"""Maximum time until a revoked key is refused everywhere, in seconds.

Equal to ``CUT_OFF_AFTER_S`` of :mod:`tamarackmount.kernel.node`, the age of the
configuration above which a member counts as cut off.
"""

CUT_OFF_ENDINGS = frozenset({Ending.LOST, Ending.UNKNOWN})
"""Endings of requests that a planned stop must not cause."""


@dataclass(frozen=True, slots=True)
class RunData:
    """Data that a run of the harness collected.

    ``execution_count_by_id`` tells how often the upstreams executed each
    non-idempotent request. ``work_ms`` is the work time that callers asked of the
    upstreams. ``breaches`` are the rule violations that stand-ins detected.
    ``failed_steps`` names the steps that failed or did not complete.
    """

    records: Sequence[RequestRecord]
    windows: Sequence[DisturbanceWindow]
    execution_count_by_id: Mapping[RequestId, int]
    work_ms: int = 0
    breaches: Sequence[str] = ()
    task_runs: Sequence[TaskRun] = ()
    revocation: Revocation | None = None
    jobs: Sequence[JobEnd] = ()
    work_after_leaving: int = 0
    failed_steps: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class Verdict:
    """Results of a run; counts, unless the name states another unit."""

    answered: int
    not_run: int
    unknown: int
    doubled: int
    not_run_but_executed: int
    answered_but_not_executed: int
    wrong_answers: int
    cut_off_by_planned_stop: int
    waiting_p50_ms: float
    waiting_p99_ms: float
    breaches: int
    task_attempts: int
    task_overlaps: int
    work_after_leaving: int
    revocation_seconds: float | None
    accepted_after_refusal: int
    job_count_by_state: dict[str, int] = field(default_factory=dict)
    broken_promises: list[str] = field(default_factory=list)

    @property
    def exit_code(self) -> int:
        """0 if no guarantee was broken, else 1."""
        return 1 if self.broken_promises else 0


MUST_BE_ZERO = (
    "doubled",
    "not_run_but_executed",
    "answered_but_not_executed",
    "wrong_answers",
    "cut_off_by_planned_stop",
    "breaches",
    "task_overlaps",
    "work_after_leaving",
    "accepted_after_refusal",
)
"""Counts of the verdict that must be zero; any other value is a broken guarantee."""


def check_run(run_data: RunData) -> Verdict:
    """Check the data of a run and return the verdict."""
    outcomes = Counter(record.outcome() for record in run_data.records)
    p50, p99 = percentiles(_waiting_times_ms(run_data))
    revocation = run_data.revocation
    verdict = Verdict(
        answered=outcomes[Ending.ANSWERED],
        not_run=outcomes[Ending.NOT_RUN],
        unknown=outcomes[Ending.UNKNOWN],
        doubled=_doubled(run_data),
        not_run_but_executed=_not_run_but_executed(run_data),
        answered_but_not_executed=_answered_but_not_executed(run_data),
        wrong_answers=sum(attempt.wrong for attempt in _attempts(run_data.records)),
        cut_off_by_planned_stop=_count_cut_off(run_data),
        waiting_p50_ms=p50,
        waiting_p99_ms=p99,
        breaches=len(run_data.breaches),
        task_attempts=len(run_data.task_runs),
        task_overlaps=_task_overlaps(run_data.task_runs),
        work_after_leaving=run_data.work_after_leaving,
        revocation_seconds=revocation.seconds if revocation else None,
        accepted_after_refusal=revocation.accepted_again if revocation else 0,
        job_count_by_state=dict(Counter(job.state for job in run_data.jobs)),
    )
    verdict.broken_promises.extend(_broken_guarantees(run_data, verdict))
    return verdict


def percentiles(values: Sequence[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile; 0 for fewer than two values."""
    if len(values) < 2:
        return 0.0, 0.0
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return round(cuts[49], 1), round(cuts[98], 1)


def _broken_guarantees(run_data: RunData, verdict: Verdict) -> list[str]:
    broken = [
        f"{name}: {getattr(verdict, name)}"
        for name in MUST_BE_ZERO
        if getattr(verdict, name)
    ]
    if verdict.answered == 0:
        broken.append("no request was answered")
    broken += [f"step failed: {step}" for step in run_data.failed_steps]
    broken += [
        f"job {job.job_id} ended {job.state}, not {job.expected}"
        for job in run_data.jobs
        if job.state != job.expected
    ]
    return broken + _broken_revocation_guarantees(run_data.revocation)


def _broken_revocation_guarantees(revocation: Revocation | None) -> list[str]:
    if revocation is None:
        return []
    if revocation.seconds is None:
        return ["a revoked key was never refused everywhere"]
    if revocation.seconds > REVOCATION_BOUND_S:
        return [f"a revoked key was refused after {revocation.seconds:.1f} s"]
    return []


def _attempts(records: Iterable[RequestRecord]) -> Iterable[Attempt]:
    for record in records:
        yield from record.attempts


def _waiting_times_ms(run_data: RunData) -> list[float]:
    return [
        max(0.0, record.elapsed() * 1_000 - run_data.work_ms)
        for record in run_data.records
        if record.outcome() is Ending.ANSWERED
    ]


def _non_idempotent_attempts(run_data: RunData) -> dict[RequestId, list[Attempt]]:
    """Group the attempts of the non-idempotent requests by request id."""
    attempts_by_id: dict[RequestId, list[Attempt]] = {}
    non_idempotent = (record for record in run_data.records if not record.idempotent)
    for attempt in _attempts(non_idempotent):
        attempts_by_id.setdefault(attempt.request_id, []).append(attempt)
    return attempts_by_id


def _doubled(run_data: RunData) -> int:
    counts = run_data.execution_count_by_id
    non_idempotent = _non_idempotent_attempts(run_data)
    return sum(counts.get(request_id, 0) > 1 for request_id in non_idempotent)


def _not_run_but_executed(run_data: RunData) -> int:
    counts = run_data.execution_count_by_id
    return sum(
        counts.get(request_id, 0) > 0
        for request_id, attempts in _non_idempotent_attempts(run_data).items()
        if all(attempt.ending in NOT_RUN_ENDINGS for attempt in attempts)
    )


def _answered_but_not_executed(run_data: RunData) -> int:
    counts = run_data.execution_count_by_id
    return sum(
        counts.get(request_id, 0) == 0
        for request_id, attempts in _non_idempotent_attempts(run_data).items()
        if any(attempt.ending is Ending.ANSWERED for attempt in attempts)
    )


def _count_cut_off(run_data: RunData) -> int:
    stops = [
        window for window in run_data.windows if window.kind is Disturbance.PLANNED_STOP
    ]
    others = [window for window in run_data.windows if window not in stops]
    return sum(
        _is_cut_off(attempt, stops, others) for attempt in _attempts(run_data.records)
    )


def _is_cut_off(
    attempt: Attempt,
    stops: Sequence[DisturbanceWindow],
    others: Sequence[DisturbanceWindow],
) -> bool:
    if attempt.ending not in CUT_OFF_ENDINGS or attempt.error == REPEAT_ERROR:
        return False
    overlapped = [stop for stop in stops if stop.overlaps(attempt)]
    if any(stop.target == attempt.via for stop in overlapped):
        return True
    return bool(overlapped) and not any(other.overlaps(attempt) for other in others)


def _task_overlaps(runs: Iterable[TaskRun]) -> int:
    count = 0
    end_by_task: dict[TaskId, float] = {}
    for run in sorted(runs, key=lambda run: run.started):
        last_end = end_by_task.get(run.task_id, run.started)
        count += run.started < last_end
        end = math.inf if run.ended is None else run.ended
        end_by_task[run.task_id] = max(end, last_end)
    return count
