"""The report of the capacity benchmark: Markdown tables or one line of JSON."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from tamarackmount.bench.costs import Cost, MeasuredLines, Unit
from tamarackmount.bench.fleet_size import FleetSize, Periods
from tamarackmount.bench.measuring import Line
from tamarackmount.bench.resource_usage import (
    Plan,
    ProposedChange,
    ResourceUsage,
    Role,
    Total,
)

MICRO = 1e6
PERCENT = 100
KB = 1e3
MB = 1e6
ZERO_THRESHOLD = 1e-6
"""Absolute value below which a number is shown as a dash."""

ONCE = (Role.TAKEOVER, Role.SNAPSHOT)
"""Roles whose usages are totals instead of rates."""


@dataclass(frozen=True, slots=True)
class RunNote:
    """Date, machine, commit and load of a run."""

    command: str
    date: str
    commit: str
    machine: str
    load_before: float
    load_after: float


@dataclass(frozen=True, slots=True)
class Report:
    """All results of a run."""

    note: RunNote
    size: FleetSize
    periods: Periods
    measured_lines: MeasuredLines
    plan: Plan
    proposed_changes: Sequence[ProposedChange]


def json_line(report: Report) -> str:
    """Return the report as one line of JSON."""
    measured_lines = {
        cost.name.lower(): _line_json(cost, report) for cost in report.measured_lines
    }
    # The keys are outer names, so some differ from the names of the fields.
    body = {
        "note": asdict(report.note),
        "size": asdict(report.size),
        "periods": asdict(report.periods),
        "slopes": measured_lines,
        "spendings": [asdict(usage) for usage in report.plan.usages],
        "totals": [asdict(total) for total in report.plan.totals],
        "remedies": [asdict(change) for change in report.proposed_changes],
    }
    return json.dumps(body, default=_enum_value)


def tables(report: Report) -> str:
    """Return the report as Markdown tables."""
    note = report.note
    head = (
        f"Run: `{note.command}`, {note.date}, commit {note.commit}, {note.machine}; "
        f"load average {note.load_before:.1f} before and {note.load_after:.1f} after."
    )
    parts = [
        head,
        measured_lines_table(report.measured_lines),
        usages_table(report.plan.usages),
        once_table(report.plan.usages),
        totals_table(report.plan.totals),
        proposed_changes_table(report.proposed_changes),
    ]
    return "\n\n".join(parts)


def measured_lines_table(measured_lines: MeasuredLines) -> str:
    """Return the table of the measured lines."""
    head = ["measured", "unit", "per", "at size", "base", "slope", "spread"]
    return markdown(
        head, [_measured_line_row(cost, line) for cost, line in measured_lines.items()]
    )


def usages_table(usages: Sequence[ResourceUsage]) -> str:
    """Return the table of what each role uses continuously."""
    head = ["role", "load", "what", "messages/s", "% of a core", "KB/s", "MB"]
    rows = [_usage_row(usage) for usage in usages if usage.role not in ONCE]
    return markdown(head, rows)


def once_table(usages: Sequence[ResourceUsage]) -> str:
    """Return the table of what is used once, as totals."""
    head = ["role", "what", "messages", "s of CPU", "KB"]
    used_once = [usage for usage in usages if usage.role in ONCE]
    return markdown(head, [_once_row(usage) for usage in used_once])


def totals_table(totals: Sequence[Total]) -> str:
    """Return the table of the totals, compared with the budget."""
    head = ["node", "% of a core", "of budget", "KB/s", "of budget", "MB", "of budget"]
    return markdown(head, [_total_row(total) for total in totals])


def proposed_changes_table(proposed_changes: Sequence[ProposedChange]) -> str:
    """Return the table of what the proposed changes would cost a node."""
    head = ["item", "mechanism", "% of a core, today", "with it", "KB/s, today"]
    return markdown(
        [*head, "with it"],
        [_proposed_change_row(change) for change in proposed_changes],
    )


def markdown(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def _measured_line_row(cost: Cost, line: Line) -> list[str]:
    info = cost.value
    sizes = ", ".join(f"{point.size:,}" for point in line.points)
    factor, unit = _DISPLAY_BY_UNIT[info.unit]
    return [
        info.text,
        unit,
        info.size,
        sizes,
        _number(line.base * factor),
        _number(line.per_unit * factor),
        f"±{line.spread * PERCENT:.0f} %",
    ]


def _usage_row(usage: ResourceUsage) -> list[str]:
    return [
        usage.role.value,
        usage.load.value,
        usage.item,
        _number(usage.messages),
        _number(usage.cores * PERCENT),
        _number(usage.bytes / KB),
        _number(usage.memory_bytes / MB),
    ]


def _once_row(usage: ResourceUsage) -> list[str]:
    return [
        usage.role.value,
        usage.item,
        _number(usage.messages),
        _number(usage.cores),
        _number(usage.bytes / KB),
    ]


def _total_row(total: Total) -> list[str]:
    return [
        total.name,
        _number(total.cores * PERCENT),
        _times(total.cores_of_budget),
        _number(total.bytes / KB),
        _times(total.bytes_of_budget),
        _number(total.memory_bytes / MB),
        _times(total.memory_of_budget),
    ]


def _proposed_change_row(change: ProposedChange) -> list[str]:
    return [
        change.item,
        change.mechanism,
        _number(change.cores_today * PERCENT),
        _number(change.cores * PERCENT),
        _number(change.bytes_today / KB),
        _number(change.bytes / KB),
    ]


def _times(value: float) -> str:
    return f"{value:.2f}x"


def _number(value: float) -> str:
    """Format a number with about three digits, and zero as a dash."""
    if abs(value) < ZERO_THRESHOLD:
        return "-"
    if abs(value) >= PERCENT:
        return f"{value:,.0f}"
    return f"{value:.3g}"


_DISPLAY_BY_UNIT = {
    Unit.CPU_SECONDS: (MICRO, "µs of CPU"),
    Unit.BYTES: (1.0, "bytes"),
    Unit.MEMORY: (1.0, "bytes of memory"),
    Unit.COUNT: (1.0, "count"),
}


def _line_json(cost: Cost, report: Report) -> dict[str, Any]:
    info, line = cost.value, report.measured_lines[cost]
    return {
        "text": info.text,
        "unit": info.unit.value,
        "per": info.size,
        **asdict(line),
    }


def _enum_value(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"{value!r} cannot be encoded as JSON")
