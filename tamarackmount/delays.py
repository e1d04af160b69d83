"""Find out where late jobs lost their time, from saved logs of all entry VMs.

The time from handing a job in to its end is split along its critical path: backwards
from the last run that ended, over the earlier runs of that task and what the task
waited for, to the step before it and at last to the caller's request. Each part has a
:class:`Cause`, and the parts of a job add up to its whole time. The logs don't show
what happened before a request reached a node.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from statistics import median

from tamarackmount.explain import LogLine
from tamarackmount.scheduling.model import JobPhase
from tamarackmount.scheduling.runs import WaitReason
from tamarackmount.scheduling.worker_reports import RunEnd

SLOW_FACTOR = 2.0
"""Multiple, without unit, of the median duration of a step's runs above which a run
counts as slow."""

MIN_SAMPLES = 3
"""Number of ended runs of a step from which on they have a median to compare with."""

WINDOW_S = 2.0
"""Length of the windows of handing in by which jobs are counted, in seconds."""


class Cause(Enum):
    """What a job's time went to."""

    WORK = "work"
    SLOW_RUN = "run on a slow worker"
    FAILED_RUN = "run that failed"
    STOPPED_RUN = "run stopped and begun again"
    LOST_RUN = "run on a worker that did not answer or hung"
    ACCEPTING = "waited for the store to accept it"
    NO_HOLDER = "no holder"
    TAKEOVER = "waited for workers to answer a new holder"
    ADVICE = "waited for advice"
    CAPACITY = "waited for capacity"
    CEILING = "at its workspace's ceiling"
    RETRY = "waited after a refused start, a preemption or a stop"
    ORDERING = "waited for its order to be stored and sent"
    REFUSED = "refused"
    STORE_AWAY = "not stored"
    NOT_ENDED = "not ended in these logs"
    UNEXPLAINED = "unexplained"


_CAUSE_BY_WAIT_REASON = {
    WaitReason.TAKEOVER.value: Cause.TAKEOVER,
    WaitReason.BACKOFF.value: Cause.RETRY,
    WaitReason.ORPHANED_RUN.value: Cause.RETRY,
    WaitReason.CEILING.value: Cause.CEILING,
    WaitReason.NO_ELIGIBLE_WORKER.value: Cause.ADVICE,
    WaitReason.NO_CAPACITY.value: Cause.CAPACITY,
    WaitReason.HEADROOM.value: Cause.CAPACITY,
}

_CAUSE_BY_END = {
    RunEnd.FAILED.value: Cause.FAILED_RUN,
    RunEnd.STOPPED.value: Cause.STOPPED_RUN,
    RunEnd.LEASE_EXPIRED.value: Cause.LOST_RUN,
    RunEnd.GANG_BROKEN.value: Cause.FAILED_RUN,
    RunEnd.GANG_INCOMPLETE.value: Cause.LOST_RUN,
}

_FINAL_PHASES = frozenset(phase.value for phase in JobPhase if phase.is_final)

_CAUSE_BY_OUTCOME = {
    "refused": Cause.REFUSED,
    "no": Cause.STORE_AWAY,
    "unknown": Cause.STORE_AWAY,
}


@dataclass(slots=True)
class _Run:
    step: str
    index: str
    number: int
    started_at: float
    ended_at: float | None = None
    how: str = ""


@dataclass(slots=True)
class _Trace:
    """The log lines of one job, in seconds since 1970."""

    queue: str = ""
    handed_in_at: float | None = None
    stored_at: float | None = None
    outcome: str = ""
    ended_at: float | None = None
    phase: str = ""
    is_late: bool = False
    runs: list[_Run] = field(default_factory=list)
    waits: list[tuple[float, str, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class JobDelay:
    """Where the time of one job went; ``seconds_by_cause`` adds up to ``took_s``."""

    job: str
    queue: str
    handed_in_at: float
    phase: str
    is_late: bool
    took_s: float
    seconds_by_cause: dict[Cause, float]

    @property
    def has_ended(self) -> bool:
        """Whether the logs show the job's end."""
        return self.phase in _FINAL_PHASES

    @property
    def cause(self) -> Cause:
        """The cause that took most of the time, the work itself aside."""
        others = {
            cause: seconds
            for cause, seconds in self.seconds_by_cause.items()
            if cause is not Cause.WORK and seconds > 0
        }
        if others:
            return max(others, key=lambda cause: others[cause])
        if Cause.WORK in self.seconds_by_cause:
            return Cause.WORK
        # A job that did not end has one cause, perhaps without any time.
        return next(iter(self.seconds_by_cause))


@dataclass(slots=True)
class WindowCounts:
    """Jobs of one queue that were handed in within one window."""

    handed_in: int = 0
    late: int = 0
    not_done: int = 0
    refused: int = 0


def find_delays(lines: Sequence[LogLine]) -> list[JobDelay]:
    """Return the delay of every job that the logs name as handed in.

    A job of which several requests were logged counts from the first one.
    """
    traces = _read_traces(lines)
    gaps = _times_without_holder(lines)
    medians = _median_durations(traces.values())
    return [
        _delay(job, trace, gaps, medians)
        for job, trace in traces.items()
        if trace.handed_in_at is not None
    ]


def count_by_window(
    delays: Iterable[JobDelay],
) -> dict[tuple[str, int], WindowCounts]:
    """Count jobs by queue and by window since the first one was handed in."""
    rows = sorted(delays, key=lambda delay: delay.handed_in_at)
    counts: dict[tuple[str, int], WindowCounts] = defaultdict(WindowCounts)
    for row in rows:
        window = int((row.handed_in_at - rows[0].handed_in_at) / WINDOW_S)
        count = counts[row.queue, window]
        count.handed_in += 1
        count.late += row.is_late
        count.refused += row.cause is Cause.REFUSED
        count.not_done += not row.has_ended
    return dict(sorted(counts.items()))


def is_harmed(delay: JobDelay) -> bool:
    """Tell whether a job was late, or not done although nobody cancelled it."""
    return delay.is_late or not delay.has_ended


def _seconds(line: LogLine) -> float:
    return datetime.fromisoformat(line.time).timestamp()


def _read_traces(lines: Sequence[LogLine]) -> dict[str, _Trace]:
    traces: dict[str, _Trace] = defaultdict(_Trace)
    for line in lines:
        handler = _HANDLERS_BY_MESSAGE.get(line.message)
        if handler is not None and line.job:
            handler(traces[line.job], line, _seconds(line))
    return traces


def _read_submission(trace: _Trace, line: LogLine, at: float) -> None:
    fields = line.fields
    began_at = at - float(fields.get("took_s", 0.0))
    trace.queue = trace.queue or str(fields.get("queue", ""))
    if trace.handed_in_at is None or began_at < trace.handed_in_at:
        trace.handed_in_at = began_at
    outcome = str(fields.get("stored", ""))
    if outcome == "yes" and trace.stored_at is None:
        trace.stored_at = at
    if trace.outcome != "yes":
        trace.outcome = outcome


def _read_start(trace: _Trace, line: LogLine, at: float) -> None:
    step, _, index = str(line.fields.get("task", "")).rpartition(".")
    trace.runs.append(_Run(step, index, int(line.fields.get("run", 0)), at))


def _read_end(trace: _Trace, line: LogLine, at: float) -> None:
    step, _, index = str(line.fields.get("task", "")).rpartition(".")
    number = int(line.fields.get("run", 0))
    for run in trace.runs:
        if (run.step, run.index, run.number) == (step, index, number):
            if run.ended_at is None:
                run.ended_at, run.how = at, str(line.fields.get("how", ""))
            return
    # A run of a former holder whose start is not in these logs.
    began_at = at - float(line.fields.get("ran_s", 0.0))
    how = str(line.fields.get("how", ""))
    trace.runs.append(_Run(step, index, number, began_at, at, how))


def _read_wait(trace: _Trace, line: LogLine, at: float) -> None:
    fields = line.fields
    trace.waits.append((at, str(fields.get("step")), str(fields.get("reason"))))


def _read_job_end(trace: _Trace, line: LogLine, at: float) -> None:
    if trace.ended_at is None:
        trace.ended_at = at
        trace.phase = str(line.fields.get("phase", ""))
        trace.is_late = bool(line.fields.get("late"))
        trace.queue = trace.queue or str(line.fields.get("queue", ""))


_HANDLERS_BY_MESSAGE = {
    "job handed in": _read_submission,
    "run starts": _read_start,
    "run ended": _read_end,
    "step waits": _read_wait,
    "job ended": _read_job_end,
}


def _times_without_holder(lines: Sequence[LogLine]) -> list[tuple[float, float]]:
    """Return the times between a holder's last decision and the next holder's start."""
    gaps: list[tuple[float, float]] = []
    last_decision: float | None = None
    for line in lines:
        at = _seconds(line) if line.message in _HOLDER_MESSAGES else 0.0
        if line.message == "scheduling held":
            if last_decision is not None:
                gaps.append((last_decision, at))
            last_decision = at
        elif line.message in _HOLDER_MESSAGES:
            last_decision = at
    return gaps


_HOLDER_MESSAGES = frozenset(
    {"scheduling held", "run starts", "run ended", "step waits", "job ended"}
)


def _median_durations(traces: Iterable[_Trace]) -> dict[tuple[int, str], float]:
    """Return the median duration of each step's runs, by trace and step."""
    medians = {}
    for trace in traces:
        durations: dict[str, list[float]] = defaultdict(list)
        for run in trace.runs:
            if run.how == RunEnd.DONE.value and run.ended_at is not None:
                durations[run.step].append(run.ended_at - run.started_at)
        for step, values in durations.items():
            if len(values) >= MIN_SAMPLES:
                medians[id(trace), step] = median(values)
    return medians


def _delay(
    job: str,
    trace: _Trace,
    gaps: Sequence[tuple[float, float]],
    medians: dict[tuple[int, str], float],
) -> JobDelay:
    handed_in_at = trace.handed_in_at or 0.0
    seconds: dict[Cause, float] = defaultdict(float)
    if trace.ended_at is None:
        cause = _CAUSE_BY_OUTCOME.get(trace.outcome, Cause.NOT_ENDED)
        last_at = (trace.stored_at or handed_in_at) - handed_in_at
        return JobDelay(
            job,
            trace.queue,
            handed_in_at,
            trace.outcome,
            False,
            last_at,
            {cause: last_at},
        )
    path = _CriticalPath(trace, gaps, medians, seconds)
    path.walk()
    if not trace.runs and trace.phase == JobPhase.COMPLETED.value:
        seconds.clear()
        seconds[Cause.UNEXPLAINED] = trace.ended_at - handed_in_at
    took_s = trace.ended_at - handed_in_at
    return JobDelay(
        job,
        trace.queue,
        handed_in_at,
        trace.phase,
        trace.is_late,
        took_s,
        dict(seconds),
    )


class _CriticalPath:
    """Walks one job's critical path backwards and adds up the seconds by cause."""

    def __init__(
        self,
        trace: _Trace,
        gaps: Sequence[tuple[float, float]],
        medians: dict[tuple[int, str], float],
        seconds: dict[Cause, float],
    ) -> None:
        self._trace = trace
        self._gaps = gaps
        self._medians = medians
        self._seconds = seconds
        self._at = trace.ended_at or 0.0

    def walk(self) -> None:
        """Walk from the job's end to its first request."""
        trace = self._trace
        handed_in_at = trace.handed_in_at or 0.0
        run = self._last_run_before(self._at, trace.runs)
        waiting_step = run.step if run is not None else self._first_step()
        while run is not None and self._at > handed_in_at:
            ended_at = min(self._at, run.ended_at or self._at)
            self._add_wait(waiting_step, max(ended_at, handed_in_at))
            self._add_run(run, max(run.started_at, handed_in_at))
            waiting_step = run.step
            earlier = [
                other
                for other in trace.runs
                if (other.step, other.index) == (run.step, run.index)
                and other.started_at < run.started_at
            ]
            before = [other for other in trace.runs if other.step != run.step]
            run = self._last_start(earlier) or self._last_run_before(self._at, before)
        stored_at = min(self._at, trace.stored_at or handed_in_at)
        self._add_wait(waiting_step, max(stored_at, handed_in_at))
        self._seconds[Cause.ACCEPTING] += max(0.0, self._at - handed_in_at)

    def _first_step(self) -> str:
        steps = [run.step for run in self._trace.runs]
        return min(steps, default="0.0")

    @staticmethod
    def _last_start(runs: Sequence[_Run]) -> _Run | None:
        return max(runs, key=lambda run: run.started_at, default=None)

    @staticmethod
    def _last_run_before(at: float, runs: Sequence[_Run]) -> _Run | None:
        ended = [run for run in runs if run.ended_at is not None and run.ended_at <= at]
        return max(ended, key=lambda run: run.ended_at or 0.0, default=None)

    def _add_run(self, run: _Run, began_at: float) -> None:
        if run.how == RunEnd.DONE.value:
            usual_s = self._medians.get((id(self._trace), run.step))
            is_slow = usual_s and self._at - began_at > SLOW_FACTOR * usual_s
            cause = Cause.SLOW_RUN if is_slow else Cause.WORK
        else:
            cause = _CAUSE_BY_END.get(run.how, Cause.LOST_RUN)
        self._seconds[cause] += max(0.0, self._at - began_at)
        self._at = min(self._at, began_at)

    def _add_wait(self, step: str, until: float) -> None:
        """Add the wait from ``until``, an earlier time, to the current one."""
        while self._at > until:
            began_at, reason = max(
                (
                    (at, reason)
                    for at, name, reason in self._trace.waits
                    if name == step and at < self._at
                ),
                default=(until, ""),
            )
            began_at = max(began_at, until)
            cause = _CAUSE_BY_WAIT_REASON.get(reason, Cause.ORDERING)
            length = self._at - began_at
            without_holder = sum(
                max(0.0, min(self._at, end) - max(began_at, start))
                for start, end in self._gaps
            )
            self._seconds[Cause.NO_HOLDER] += without_holder
            self._seconds[cause] += length - without_holder
            self._at = began_at
            if not reason:
                return
