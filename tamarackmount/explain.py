"""From a job's id to what became of it, by saved logs of all entry VMs.

Lines are the JSON lines of :mod:`tamarackmount.internal.jsonlog`; whatever stands
before the first brace of a line, such as a collector's name of the node, is kept as its
source. Lines that are not JSON are left out.
"""

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
        "node drains",
        "node started",
        "scheduling given up",
        "scheduling held",
        "store lost",
        "store regained",
        "store takes appends again",
    }
)
"""Lines about the system that matter to a job while it is under way."""

_KEYS_OF_HEAD = frozenset({"time", "level", "logger", "message", "job"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log; ``fields`` are those beyond time, level and message."""

    time: str
    source: str
    message: str
    job: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line for a reader."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return " ".join(
            part for part in (self.time, self.source, self.message, fields) if part
        )


@dataclass(frozen=True, slots=True)
class Explanation:
    """What happened to a job: a verdict, its own lines and those around them."""

    verdict: str
    lines: list[LogLine]
    context: list[LogLine]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines in whole texts, in the order of their times."""
    lines = [
        line for text in texts for row in text.splitlines() if (line := _read(row))
    ]
    return sorted(lines, key=lambda line: line.time)


def explain(job_id: str, lines: list[LogLine]) -> Explanation | None:
    """Return what became of a job; nothing if no line names it."""
    own = [line for line in lines if line.job == job_id]
    if not own:
        return None
    first, last = own[0].time, own[-1].time
    context = [
        line
        for line in lines
        if line.message in CONTEXT_MESSAGES and first <= line.time <= last
    ]
    return Explanation(_verdict(own), own, context)


def _read(row: str) -> LogLine | None:
    begin = row.find("{")
    if begin < 0:
        return None
    try:
        raw = orjson.loads(row[begin:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(raw, dict) or "message" not in raw:
        return None
    fields = {name: raw[name] for name in raw if name not in _KEYS_OF_HEAD}
    return LogLine(
        time=str(raw.get("time", "")),
        source=row[:begin].strip(),
        message=str(raw["message"]),
        job=str(raw.get("job", "")),
        fields=fields,
    )


def _verdict(own: list[LogLine]) -> str:
    by_message: dict[str, list[LogLine]] = {}
    for line in own:
        by_message.setdefault(line.message, []).append(line)
    for name, tell in _VERDICTS:
        if name in by_message:
            return tell(by_message)
    return "its outcome is not in these logs"


def _ended(by_message: dict[str, list[LogLine]]) -> str:
    fields = by_message["job ended"][-1].fields
    late = "after its objective" if fields.get("late") else "within its objective"
    parts = [f"{fields.get('phase')} after {fields.get('age_s')} s, {late}"]
    reasons = [line.fields.get("reason") for line in by_message.get("step waits", [])]
    if reasons:
        counts = {reason: reasons.count(reason) for reason in dict.fromkeys(reasons)}
        told = "; ".join(f"{reason} ({count})" for reason, count in counts.items())
        parts.append(f"its steps waited because: {told}")
    failed = [
        line
        for line in by_message.get("run ended", [])
        if line.fields.get("how") != "done"
    ]
    if failed:
        parts.append(f"{len(failed)} runs did not end well")
    return "; ".join(parts)


def _refused(by_message: dict[str, list[LogLine]]) -> str:
    fields = by_message["job refused"][-1].fields
    return (
        f"refused at the door: {fields.get('reason')}; "
        f"told to come back in {fields.get('retry_after_s')} s"
    )


def _handed_in(by_message: dict[str, list[LogLine]]) -> str:
    fields = by_message["job handed in"][-1].fields
    told = _TOLD_BY_STORED.get(str(fields.get("stored")), "not ended in these logs")
    return f"{told} (after {fields.get('took_s')} s)"


_TOLD_BY_STORED = {
    "yes": "accepted, but not ended in these logs",
    "no": "not accepted: the store took nothing",
    "unknown": "its outcome was unknown when the caller's time was over",
    "refused": "refused at the door",
}

_VERDICTS = (
    ("job ended", _ended),
    ("job refused", _refused),
    ("job handed in", _handed_in),
)
