"""What saved logs tell of each job: its requests, runs, waits and end.

Fields of another type than expected count as absent, and lines without a readable time
are skipped: logs may be cut, damaged or of another version.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from itertools import zip_longest
from math import inf, isfinite
from typing import Any

from tamarackmount.explain import LogLine

MAX_COUNTED_S = 1.0
"""Time, in seconds, that counts of dropped lines without ``since`` cover."""


@dataclass(slots=True)
class RunTrace:
    """One run, in seconds since 1970; ``how`` is a value of ``RunEnd``."""

    step: str
    index: str
    number: int
    started_at: float
    ended_at: float | None = None
    how: str = ""


@dataclass(frozen=True, slots=True)
class WaitSegment:
    """A time in which a step waited, in seconds since 1970.

    ``fraction_by_reason`` is the part of that time spent for each ``WaitReason``.
    """

    began_at: float
    ended_at: float
    fraction_by_reason: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class _WaitLine:
    """A line about a wait of ``waiting`` tasks.

    Lines of older versions have no ``seconds_by_reason``: they begin their reason.
    """

    at: float
    reason: str
    seconds_by_reason: Mapping[str, float]
    has_started: bool
    waiting: float


@dataclass(slots=True)
class JobTrace:
    """The log lines of one job, in seconds since 1970."""

    queue: str = ""
    handed_in_at: float | None = None
    stored_at: float | None = None
    outcome: str = ""
    ended_at: float | None = None
    phase: str = ""
    is_late: bool = False
    is_perpetual: bool = False
    runs: list[RunTrace] = field(default_factory=list)
    wait_lines_by_step: dict[str, list[_WaitLine]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def last_known_at(self) -> float:
        """Return when the logs last tell of the job."""
        times = [self.handed_in_at or 0.0, self.stored_at or 0.0, self.ended_at or 0.0]
        times += [run.ended_at or run.started_at for run in self.runs]
        times += [row.at for rows in self.wait_lines_by_step.values() for row in rows]
        return max(times)

    def waiting_step(self) -> str | None:
        """Return the step that still waits after its last line, if any does."""
        last_row_by_step = {
            step: rows[-1] for step, rows in self.wait_lines_by_step.items()
        }
        waiting = [
            (row.at, step)
            for step, row in last_row_by_step.items()
            if not row.has_started and self._count_starts(step, row.at) < row.waiting
        ]
        return max(waiting)[1] if waiting else None

    def _count_starts(self, step: str, since: float) -> int:
        return sum(run.step == step and run.started_at >= since for run in self.runs)

    def wait_segments(self, step: str) -> list[WaitSegment]:
        """Return the waits of a step in the order of time, without overlaps."""
        segments: list[WaitSegment] = []
        rows = self.wait_lines_by_step.get(step, [])
        for row, following in zip_longest(rows, rows[1:]):
            segments += _segments_of(row, following, segments)
        return segments


def _segments_of(
    row: _WaitLine, following: _WaitLine | None, earlier: Sequence[WaitSegment]
) -> Iterator[WaitSegment]:
    total_s = sum(row.seconds_by_reason.values())
    if total_s > 0:
        begins_at = row.at - total_s
        if earlier:
            begins_at = max(begins_at, earlier[-1].ended_at)
        fractions = {
            reason: seconds / total_s
            for reason, seconds in row.seconds_by_reason.items()
        }
        yield WaitSegment(begins_at, row.at, fractions)
    if not row.has_started:
        ends_at = inf
        if following is not None:
            covered_s = sum(following.seconds_by_reason.values())
            ends_at = max(row.at, following.at - covered_s)
        yield WaitSegment(row.at, ends_at, {row.reason: 1.0})


@dataclass(frozen=True, slots=True)
class LostLines:
    """A time, in seconds since 1970, in which lines of these messages were given up."""

    began_at: float
    ended_at: float
    messages: frozenset[str]


def seconds_of(line: LogLine) -> float | None:
    """Return a line's time in seconds since 1970, or None if it is not readable."""
    try:
        return datetime.fromisoformat(line.time).timestamp()
    except (ValueError, OverflowError):
        return None


def read_traces(lines: Iterable[LogLine]) -> dict[str, JobTrace]:
    """Return what the lines tell of each job, by job id."""
    traces: dict[str, JobTrace] = defaultdict(JobTrace)
    for line in lines:
        handler = _HANDLERS_BY_MESSAGE.get(line.message)
        if handler is None or not line.job:
            continue
        at = seconds_of(line)
        if at is not None:
            handler(traces[line.job], line.fields, at)
    return traces


def times_without_holder(lines: Iterable[LogLine]) -> list[tuple[float, float]]:
    """Return the times between a holder's last decision and the next holder's start."""
    gaps: list[tuple[float, float]] = []
    last_decision: float | None = None
    for line in lines:
        at = seconds_of(line) if line.message in _HOLDER_MESSAGES else None
        if at is None:
            continue
        if line.message == "scheduling held" and last_decision is not None:
            gaps.append((last_decision, at))
        last_decision = at
    return gaps


def read_lost_lines(lines: Iterable[LogLine]) -> list[LostLines]:
    """Return when lines were given up, and their messages."""
    found = []
    for line in lines:
        if line.message not in ("log lines dropped", "log lines summed"):
            continue
        at = seconds_of(line)
        counts = line.fields.get("counts")
        if at is None or not isinstance(counts, dict):
            continue
        since = _time(line.fields.get("since"))
        began_at = since if since is not None else at - MAX_COUNTED_S
        found.append(LostLines(began_at, at, frozenset(counts)))
    return found


def end_of_logs(lines: Sequence[LogLine]) -> float:
    """Return the time of the last readable line, in seconds since 1970."""
    times = (seconds_of(line) for line in reversed(lines))
    return next((at for at in times if at is not None), 0.0)


def _time(value: object) -> float | None:
    return (
        seconds_of(LogLine(value, "", "", "", {})) if isinstance(value, str) else None
    )


def _number(value: object, default: float = 0.0) -> float:
    if isinstance(value, (int, float)) and isfinite(value):
        return float(value)
    return default


def _text(value: object) -> str:
    return value if isinstance(value, str) else ""


def _read_submission(trace: JobTrace, fields: dict[str, Any], at: float) -> None:
    began_at = at - _number(fields.get("took_s"))
    trace.queue = trace.queue or _text(fields.get("queue"))
    if trace.handed_in_at is None or began_at < trace.handed_in_at:
        trace.handed_in_at = began_at
    outcome = _text(fields.get("stored"))
    if outcome == "yes" and trace.stored_at is None:
        trace.stored_at = at
    if trace.outcome != "yes":
        trace.outcome = outcome
    steps = fields.get("steps")
    if isinstance(steps, list):
        trace.is_perpetual |= any("perpetual" in _text(step).split() for step in steps)


def _read_start(trace: JobTrace, fields: dict[str, Any], at: float) -> None:
    step, _, index = _text(fields.get("task")).rpartition(".")
    trace.runs.append(RunTrace(step, index, int(_number(fields.get("run"))), at))


def _read_end(trace: JobTrace, fields: dict[str, Any], at: float) -> None:
    step, _, index = _text(fields.get("task")).rpartition(".")
    number = int(_number(fields.get("run")))
    how = _text(fields.get("how"))
    for run in trace.runs:
        if (run.step, run.index, run.number) == (step, index, number):
            if run.ended_at is None:
                run.ended_at, run.how = at, how
            return
    # A run of a former holder whose start is not in these logs.
    began_at = at - _number(fields.get("ran_s"))
    trace.runs.append(RunTrace(step, index, number, began_at, at, how))


def _read_wait(trace: JobTrace, fields: dict[str, Any], at: float) -> None:
    raw = fields.get("seconds_by_reason")
    seconds_by_reason = {
        reason: _number(seconds)
        for reason, seconds in (raw.items() if isinstance(raw, dict) else ())
        if _number(seconds) > 0
    }
    row = _WaitLine(
        at,
        _text(fields.get("reason")),
        seconds_by_reason,
        has_started=fields.get("started") is True,
        waiting=_number(fields.get("waiting"), 1.0),
    )
    trace.wait_lines_by_step[_text(fields.get("step"))].append(row)


def _read_job_end(trace: JobTrace, fields: dict[str, Any], at: float) -> None:
    if trace.ended_at is None:
        trace.ended_at = at
        trace.phase = _text(fields.get("phase"))
        trace.is_late = bool(fields.get("late"))
        trace.queue = trace.queue or _text(fields.get("queue"))


_HANDLERS_BY_MESSAGE = {
    "job handed in": _read_submission,
    "run starts": _read_start,
    "run ended": _read_end,
    "step waits": _read_wait,
    "job ended": _read_job_end,
}

_HOLDER_MESSAGES = frozenset(
    {"scheduling held", "run starts", "run ended", "step waits", "job ended"}
)
