"""Find out where late jobs lost their time, from saved logs of all entry VMs.

The time from handing a job in to its end is split along its critical path: backwards
from the last run that ended, over the earlier runs of that task and what the task
waited for, to the step before it and at last to the caller's request. Each part has a
:class:`Cause`, and the parts of a job add up to its whole time. The logs don't show
what happened before a request reached a node.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import median

from tamarackmount.explain import LogLine
from tamarackmount.job_traces import (
    JobTrace,
    LostLines,
    RunTrace,
    WaitSegment,
    end_of_logs,
    read_lost_lines,
    read_traces,
    times_without_holder,
)
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.jobs.runs import WaitReason

SLOW_FACTOR = 2.0
"""Multiple, without unit, of the median duration of a step's runs above which a run
counts as slow."""

MIN_SAMPLES = 3
"""Number of ended runs of a step from which on they have a median to compare with."""

MIN_JUDGED_S = 5.0
"""Time, in seconds, for which the logs have to go on after a job was handed in to judge
a job that waits in them to their end. An urgent job has lost its value by then."""

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
    UNEXPLAINED = "unexplained"


class Unexplained(Enum):
    """Why the logs don't tell where a job's time went."""

    LINES_DROPPED = "log lines were dropped"
    LAST_RUN_ENDED = "no end in the logs although its last run ended"
    LOGS_END = "the logs end before it"
    NO_TRACE = "no line about it after it was accepted"
    NO_RUNS = "it was completed, but no line tells of its runs"


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


@dataclass(frozen=True, slots=True)
class JobDelay:
    """Where the time of one job went; ``seconds_by_cause`` adds up to ``took_s``.

    ``took_s`` of a job that waits to the end of the logs is until then. A job that
    ``is_serving`` has perpetual tasks that run. ``unexplained`` says why the logs don't
    tell its cause.
    """

    job: str
    queue: str
    handed_in_at: float
    phase: str
    is_late: bool
    took_s: float
    seconds_by_cause: dict[Cause, float]
    unexplained: Unexplained | None = None
    is_serving: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether the logs show the job's end."""
        return self.phase in _FINAL_PHASES

    @property
    def cause(self) -> Cause:
        """The cause that took most of the time, the work itself aside."""
        return _main_cause(self.seconds_by_cause)


@dataclass(slots=True)
class WindowCounts:
    """Jobs of one queue that were handed in within one window."""

    handed_in: int = 0
    late: int = 0
    not_done: int = 0
    refused: int = 0


def find_delays(lines: Sequence[LogLine]) -> list[JobDelay]:
    """Return the delay of every job that the logs name as handed in.

    ``lines`` are sorted by time. A job of which several requests were logged counts
    from the first one.
    """
    traces = read_traces(lines)
    log = _LogPeriod(
        times_without_holder(lines), read_lost_lines(lines), end_of_logs(lines)
    )
    medians = _median_durations(traces.values())
    return [
        _delay(job, trace, log, medians)
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
    return delay.is_late or not (delay.has_ended or delay.is_serving)


@dataclass(frozen=True, slots=True)
class _LogPeriod:
    """What the logs tell of the system, with times in seconds since 1970."""

    without_holder: Sequence[tuple[float, float]]
    lost_lines: Sequence[LostLines]
    end: float

    def may_lack(self, message: str, since: float) -> bool:
        """Tell whether lines of a message were given up at or after a time."""
        return any(
            message in lost.messages and lost.ended_at >= since
            for lost in self.lost_lines
        )

    def seconds_without_holder(self, began_at: float, ended_at: float) -> float:
        """Return the time without a holder within a period."""
        return sum(
            max(0.0, min(ended_at, end) - max(began_at, start))
            for start, end in self.without_holder
        )


def _main_cause(seconds_by_cause: dict[Cause, float]) -> Cause:
    """Return the cause that took most of the time, the work itself aside."""
    others = {
        cause: seconds
        for cause, seconds in seconds_by_cause.items()
        if cause is not Cause.WORK and seconds > 0
    }
    if others:
        return max(others, key=lambda cause: others[cause])
    if Cause.WORK in seconds_by_cause:
        return Cause.WORK
    # A job that did not end has one cause, perhaps without any time.
    return next(iter(seconds_by_cause))


def _median_durations(traces: Iterable[JobTrace]) -> dict[tuple[int, str], float]:
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
    trace: JobTrace,
    log: _LogPeriod,
    medians: dict[tuple[int, str], float],
) -> JobDelay:
    handed_in_at = trace.handed_in_at or 0.0
    ended_at = trace.ended_at
    unexplained = None
    is_serving = False
    if ended_at is None:
        cause = _CAUSE_BY_OUTCOME.get(trace.outcome)
        is_serving = trace.is_perpetual and _has_unfinished_run(trace)
        unexplained = None if cause or is_serving else _why_end_is_unknown(trace, log)
        if cause or unexplained or is_serving:
            ended_at = trace.stored_at or handed_in_at
            cause = cause or (Cause.UNEXPLAINED if unexplained else Cause.WORK)
            seconds = {cause: ended_at - handed_in_at}
        else:
            ended_at = max(log.end, handed_in_at)
            seconds = _CriticalPath(trace, log, medians, ended_at).walk()
            if _main_cause(seconds) is Cause.UNEXPLAINED:
                unexplained = Unexplained.LOGS_END
    elif not trace.runs and trace.phase == JobPhase.COMPLETED.value:
        is_lost = log.may_lack("run starts", handed_in_at)
        unexplained = Unexplained.LINES_DROPPED if is_lost else Unexplained.NO_RUNS
        seconds = {Cause.UNEXPLAINED: ended_at - handed_in_at}
    else:
        seconds = _CriticalPath(trace, log, medians, ended_at).walk()
    return JobDelay(
        job,
        trace.queue,
        handed_in_at,
        trace.phase or trace.outcome,
        trace.is_late,
        ended_at - handed_in_at,
        seconds,
        unexplained,
        is_serving,
    )


def _has_unfinished_run(trace: JobTrace) -> bool:
    return any(run.ended_at is None for run in trace.runs)


def _why_end_is_unknown(trace: JobTrace, log: _LogPeriod) -> Unexplained | None:
    """Return why the end of an accepted job is not in the logs.

    None if it was still waiting or running when they end, after a time that shows why.
    """
    if log.may_lack("job ended", trace.last_known_at()):
        return Unexplained.LINES_DROPPED
    if log.end - (trace.handed_in_at or 0.0) < MIN_JUDGED_S:
        return Unexplained.LOGS_END
    if trace.waiting_step() is not None or _has_unfinished_run(trace):
        return None
    if trace.runs:
        return Unexplained.LAST_RUN_ENDED
    is_lost = any(
        log.may_lack(message, trace.handed_in_at or 0.0)
        for message in ("step waits", "run starts")
    )
    return Unexplained.LINES_DROPPED if is_lost else Unexplained.NO_TRACE


class _CriticalPath:
    """Walks one job's critical path backwards and adds up the seconds by cause."""

    def __init__(
        self,
        trace: JobTrace,
        log: _LogPeriod,
        medians: dict[tuple[int, str], float],
        ended_at: float,
    ) -> None:
        self._trace = trace
        self._log = log
        self._medians = medians
        self._at = ended_at
        self._seconds: dict[Cause, float] = defaultdict(float)

    def walk(self) -> dict[Cause, float]:
        """Walk from the job's end to its first request; return the seconds by cause."""
        trace = self._trace
        handed_in_at = trace.handed_in_at or 0.0
        run = self._last_run_before(self._at, trace.runs)
        waiting_step = run.step if run is not None else self._first_step()
        if trace.ended_at is None:
            waiting_step = trace.waiting_step() or waiting_step
            if trace.waiting_step() is None:
                run = self._last_start([one for one in trace.runs if not one.ended_at])
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
        return dict(self._seconds)

    def _first_step(self) -> str:
        steps = [run.step for run in self._trace.runs]
        return min(steps, default="0.0")

    @staticmethod
    def _last_start(runs: Sequence[RunTrace]) -> RunTrace | None:
        return max(runs, key=lambda run: run.started_at, default=None)

    @staticmethod
    def _last_run_before(at: float, runs: Sequence[RunTrace]) -> RunTrace | None:
        ended = [run for run in runs if run.ended_at is not None and run.ended_at <= at]
        return max(ended, key=lambda run: run.ended_at or 0.0, default=None)

    def _add_run(self, run: RunTrace, began_at: float) -> None:
        if run.how == RunEnd.DONE.value:
            usual_s = self._medians.get((id(self._trace), run.step))
            is_slow = usual_s and self._at - began_at > SLOW_FACTOR * usual_s
            cause = Cause.SLOW_RUN if is_slow else Cause.WORK
        elif run.ended_at is None and self._trace.ended_at is None:
            # How a run ends that is under way when the logs end is not known.
            cause = Cause.UNEXPLAINED
        else:
            cause = _CAUSE_BY_END.get(run.how, Cause.LOST_RUN)
        self._seconds[cause] += max(0.0, self._at - began_at)
        self._at = min(self._at, began_at)

    def _add_wait(self, step: str, until: float) -> None:
        """Add the wait from ``until``, an earlier time, to the current one."""
        for segment in reversed(self._trace.wait_segments(step)):
            if segment.began_at >= self._at or segment.ended_at <= until:
                continue
            self._add_unknown_wait(max(until, segment.ended_at))
            self._add_segment(segment, max(until, segment.began_at))
        self._add_unknown_wait(until)

    def _add_unknown_wait(self, until: float) -> None:
        """Add a time without a reason to wait: the step's order was under way."""
        self._add_segment(WaitSegment(until, self._at, {"": 1.0}), until)

    def _add_segment(self, segment: WaitSegment, began_at: float) -> None:
        length = self._at - began_at
        if length <= 0:
            return
        without_holder = self._log.seconds_without_holder(began_at, self._at)
        self._seconds[Cause.NO_HOLDER] += without_holder
        for reason, fraction in segment.fraction_by_reason.items():
            cause = _CAUSE_BY_WAIT_REASON.get(reason, Cause.ORDERING)
            self._seconds[cause] += (length - without_holder) * fraction
        self._at = began_at
