"""The capacity bench's report: Markdown tables, or one line of JSON."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from tamarackmount.bench.costs import Cost, Slopes, Unit
from tamarackmount.bench.fleet_size import FleetSize, Periods
from tamarackmount.bench.measuring import Line
from tamarackmount.bench.spending import Plan, Remedy, Role, Spending, Total

MICRO = 1e6
PERCENT = 100
KB = 1e3
MB = 1e6
SHOWN_AS_NOTHING = 1e-6

ONCE = (Role.TAKEOVER, Role.SNAPSHOT)
"""Roles whose lines are totals."""


@dataclass(frozen=True, slots=True)
class RunNote:
    """When, where and of what the figures are."""

    command: str
    date: str
    commit: str
    machine: str
    load_before: float
    load_after: float


@dataclass(frozen=True, slots=True)
class Report:
    """Everything that a run gave."""

    note: RunNote
    size: FleetSize
    periods: Periods
    slopes: Slopes
    plan: Plan
    remedies: Sequence[Remedy]


def json_line(report: Report) -> str:
    """Return the report as one line of JSON."""
    slopes = {cost.name.lower(): _line_json(cost, report) for cost in report.slopes}
    body = {
        "note": asdict(report.note),
        "size": asdict(report.size),
        "periods": asdict(report.periods),
        "slopes": slopes,
        "spendings": [asdict(one) for one in report.plan.spendings],
        "totals": [asdict(one) for one in report.plan.totals],
        "remedies": [asdict(one) for one in report.remedies],
    }
    return json.dumps(body, default=_enum_value)


def tables(report: Report) -> str:
    """Return the report as Markdown."""
    note = report.note
    head = (
        f"Run: `{note.command}`, {note.date}, commit {note.commit}, {note.machine}; "
        f"load average {note.load_before:.1f} before and {note.load_after:.1f} after."
    )
    parts = [
        head,
        slopes_table(report.slopes),
        spendings_table(report.plan.spendings),
        once_table(report.plan.spendings),
        totals_table(report.plan.totals),
        remedies_table(report.remedies),
    ]
    return "\n\n".join(parts)


def slopes_table(slopes: Slopes) -> str:
    """Return the measured lines."""
    head = ["measured", "unit", "per", "at size", "base", "slope", "spread"]
    return markdown(head, [_slope_row(cost, line) for cost, line in slopes.items()])


def spendings_table(spendings: Sequence[Spending]) -> str:
    """Return what each role spends for as long as it lasts."""
    head = ["role", "load", "what", "messages/s", "% of a core", "KB/s", "MB"]
    rows = [_spending_row(one) for one in spendings if one.role not in ONCE]
    return markdown(head, rows)


def once_table(spendings: Sequence[Spending]) -> str:
    """Return what is spent once, as totals."""
    head = ["role", "what", "messages", "s of CPU", "KB"]
    taken = [one for one in spendings if one.role in ONCE]
    return markdown(head, [_once_row(one) for one in taken])


def totals_table(totals: Sequence[Total]) -> str:
    """Return the sums against the budget."""
    head = ["node", "% of a core", "of budget", "KB/s", "of budget", "MB", "of budget"]
    return markdown(head, [_total_row(one) for one in totals])


def remedies_table(remedies: Sequence[Remedy]) -> str:
    """Return what mechanisms that are not built would cost a node."""
    head = ["item", "mechanism", "% of a core, today", "with it", "KB/s, today"]
    return markdown([*head, "with it"], [_remedy_row(one) for one in remedies])


def markdown(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def _slope_row(cost: Cost, line: Line) -> list[str]:
    info = cost.value
    sizes = ", ".join(f"{point.size:,}" for point in line.points)
    factor, unit = _SHOWN_BY_UNIT[info.unit]
    return [
        info.text,
        unit,
        info.size,
        sizes,
        _number(line.base * factor),
        _number(line.per_unit * factor),
        f"±{line.spread * PERCENT:.0f} %",
    ]


def _spending_row(one: Spending) -> list[str]:
    return [
        one.role.value,
        one.load.value,
        one.item,
        _number(one.messages),
        _number(one.cores * PERCENT),
        _number(one.bytes / KB),
        _number(one.memory_bytes / MB),
    ]


def _once_row(one: Spending) -> list[str]:
    return [
        one.role.value,
        one.item,
        _number(one.messages),
        _number(one.cores),
        _number(one.bytes / KB),
    ]


def _total_row(one: Total) -> list[str]:
    return [
        one.name,
        _number(one.cores * PERCENT),
        _times(one.cores_of_budget),
        _number(one.bytes / KB),
        _times(one.bytes_of_budget),
        _number(one.memory_bytes / MB),
        _times(one.memory_of_budget),
    ]


def _remedy_row(one: Remedy) -> list[str]:
    return [
        one.item,
        one.mechanism,
        _number(one.cores_today * PERCENT),
        _number(one.cores * PERCENT),
        _number(one.bytes_today / KB),
        _number(one.bytes / KB),
    ]


def _times(value: float) -> str:
    return f"{value:.2f}x"


def _number(value: float) -> str:
    """Return about three digits; nothing for nothing."""
    if abs(value) < SHOWN_AS_NOTHING:
        return "-"
    if abs(value) >= PERCENT:
        return f"{value:,.0f}"
    return f"{value:.3g}"


_SHOWN_BY_UNIT = {
    Unit.CPU_SECONDS: (MICRO, "µs of CPU"),
    Unit.BYTES: (1.0, "bytes"),
    Unit.MEMORY: (1.0, "bytes of memory"),
    Unit.COUNT: (1.0, "count"),
}


def _line_json(cost: Cost, report: Report) -> dict[str, Any]:
    info, line = cost.value, report.slopes[cost]
    return {
        "text": info.text,
        "unit": info.unit.value,
        "per": info.size,
        **asdict(line),
    }


def _enum_value(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"{value!r} is not JSON")
