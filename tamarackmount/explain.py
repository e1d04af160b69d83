"""Find out what happened to a job from saved logs of all entry VMs.

The logs are those of the nodes on the platform's entry VMs: the messages looked for
here are written by :mod:`tamarackmount.node` and :mod:`tamarackmount.scheduling`, as
JSON lines of :mod:`tamarackmount.internal.jsonlog`. Text before the first brace of a
line, such as a node name added by a log collector, is kept as the line's source. Lines
that are not JSON are skipped.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

CONTEXT_MESSAGES = frozenset(
    {
        "append failed",
        "configuration in force",
        "holder changed",
        "licence changed",
        "log lines dropped",
        "log lines summed",
        "node drains",
        "node started",
        "scheduling given up",
        "scheduling held",
        "store lost",
        "store regained",
        "store takes appends again",
    }
)
"""Messages about the system that are shown if logged while the job was active."""

_HEAD_KEYS = frozenset({"time", "level", "logger", "message", "job"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line; ``fields`` excludes time, level, logger, message and job."""

    time: str
    source: str
    message: str
    job: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line as readable text."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return " ".join(
            part for part in (self.time, self.source, self.message, fields) if part
        )


@dataclass(frozen=True, slots=True)
class Explanation:
    """A verdict on a job, its own log lines and context lines of the same period."""

    verdict: str
    lines: list[LogLine]
    context: list[LogLine]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines of all texts, sorted by time.

    Only line feeds end a line: a field may have other separators of lines.
    """
    lines = [
        line for text in texts for row in text.split("\n") if (line := _parse_line(row))
    ]
    return sorted(lines, key=lambda line: line.time)


def explain(job_id: str, lines: list[LogLine]) -> Explanation | None:
    """Return what happened to a job, or ``None`` if no line has its id."""
    job_lines = [line for line in lines if line.job == job_id]
    if not job_lines:
        return None
    first, last = job_lines[0].time, job_lines[-1].time
    context = [
        line
        for line in lines
        if line.message in CONTEXT_MESSAGES and first <= line.time <= last
    ]
    return Explanation(_verdict(job_lines), job_lines, context)


def _parse_line(row: str) -> LogLine | None:
    start = row.find("{")
    if start < 0:
        return None
    try:
        raw = orjson.loads(row[start:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(raw, dict) or "message" not in raw:
        return None
    fields = {name: raw[name] for name in raw if name not in _HEAD_KEYS}
    return LogLine(
        time=str(raw.get("time", "")),
        source=row[:start].strip(),
        message=str(raw["message"]),
        job=str(raw.get("job", "")),
        fields=fields,
    )


def _verdict(job_lines: list[LogLine]) -> str:
    by_message: dict[str, list[LogLine]] = {}
    for line in job_lines:
        by_message.setdefault(line.message, []).append(line)
    for message, describe in _VERDICTS:
        if message in by_message:
            return describe(by_message)
    return "its outcome is not in these logs"


def _describe_end(by_message: dict[str, list[LogLine]]) -> str:
    fields = by_message["job ended"][-1].fields
    late = "after its objective" if fields.get("late") else "within its objective"
    parts = [f"{fields.get('phase')} after {fields.get('age_s')} s, {late}"]
    cause = _TEXT_BY_CAUSE.get(str(fields.get("cause")))
    if cause is not None:
        parts.append(cause)
    waits = _describe_waits(by_message.get("step waits", []))
    if waits:
        parts.append(f"its steps waited because: {waits}")
    lost = by_message.get("run lost", [])
    if lost:
        parts.append(f"{len(lost)} runs were lost with their workers")
    failed = [
        line
        for line in by_message.get("run ended", [])
        if line.fields.get("how") != "done"
    ]
    if failed:
        parts.append(f"{len(failed)} runs did not complete")
    return "; ".join(parts)


def _describe_waits(lines: list[LogLine]) -> str:
    """Return the reasons with their time, or with the number of lines without times."""
    seconds_by_reason: dict[str, float] = defaultdict(float)
    lines_by_reason: Counter[str] = Counter()
    for line in lines:
        times = line.fields.get("seconds_by_reason")
        if not isinstance(times, dict):
            lines_by_reason[str(line.fields.get("reason"))] += 1
            continue
        for reason, seconds in times.items():
            if isinstance(seconds, (int, float)):
                seconds_by_reason[reason] += seconds
    timed = [f"{reason} ({s:.3g} s)" for reason, s in seconds_by_reason.items()]
    counted = [f"{reason} ({count})" for reason, count in lines_by_reason.items()]
    return "; ".join(timed + counted)


def _describe_refusal(by_message: dict[str, list[LogLine]]) -> str:
    fields = by_message["job refused"][-1].fields
    return (
        f"refused at submission: {fields.get('reason')}; "
        f"retry after {fields.get('retry_after_s')} s"
    )


def _describe_submission(by_message: dict[str, list[LogLine]]) -> str:
    fields = by_message["job handed in"][-1].fields
    outcome = _OUTCOMES_BY_STORED.get(
        str(fields.get("stored")), "not ended in these logs"
    )
    return f"{outcome} (after {fields.get('took_s')} s)"


_TEXT_BY_CAUSE = {
    "attempts": "a task used up its attempts",
    "worker_crashes": "workers crashed again and again under a task of it",
}

_OUTCOMES_BY_STORED = {
    "yes": "accepted, but not ended in these logs",
    "no": "not accepted: nothing was stored",
    "unknown": "its outcome was unknown at the caller's deadline",
    "refused": "refused at submission",
}

_VERDICTS = (
    ("job ended", _describe_end),
    ("job refused", _describe_refusal),
    ("job handed in", _describe_submission),
)
