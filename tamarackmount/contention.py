"""Read who competes for which pool from the metrics of an entry VM."""

import re
from dataclasses import dataclass, field
from math import isfinite

from tamarackmount.node.contention_metrics import PREFIX

_SAMPLE = re.compile(
    r"(?P<name>[a-zA-Z_:][\w:]*)(?:\{(?P<labels>.*)\})? (?P<value>\S+)"
)
_LABEL = re.compile(r'(\w+)="([^"]*)"')

HOLDER_METRIC = "tamarackmount_holder"
"""Gauge that is 1 on the holder."""


@dataclass(slots=True)
class ContentionView:
    """One workspace in one pool; ``value_by_measure`` is by the name of the gauge."""

    workspace: str
    service: str
    value_by_measure: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class NodeContention:
    """What an entry VM's metrics say of contention; only the holder has rows."""

    is_holder: bool
    rows: list[ContentionView]


def read_contention(text: str) -> NodeContention:
    """Read metrics in the Prometheus text format; lines that can't be read are skipped.

    Rows are sorted by pool, and by what is used and waiting, largest first.
    """
    is_holder = False
    row_by_labels: dict[tuple[str, str], ContentionView] = {}
    for line in text.split("\n"):
        sample = _SAMPLE.fullmatch(line.strip())
        value = _number(sample["value"]) if sample else None
        if sample is None or value is None:
            continue
        if sample["name"] == HOLDER_METRIC:
            is_holder = value == 1
        if not sample["name"].startswith(PREFIX):
            continue
        labels = dict(_LABEL.findall(sample["labels"] or ""))
        if "workspace" in labels and "service" in labels:
            key = labels["workspace"], labels["service"]
            row = row_by_labels.setdefault(key, ContentionView(*key))
            row.value_by_measure[sample["name"].removeprefix(PREFIX)] = value
    rows = sorted(row_by_labels.values(), key=_order)
    return NodeContention(is_holder, rows)


def _order(row: ContentionView) -> tuple[str, float, str]:
    values = row.value_by_measure
    size = values.get("used", 0.0) + values.get("waiting", 0.0)
    return row.service, -size, row.workspace


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) else None
