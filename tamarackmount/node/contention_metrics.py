"""Gauges of the shares of workspaces in pools, with a bounded number of labels."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from aioprometheus import Gauge, Registry
from aioprometheus.metricdict import MetricDict

from tamarackmount.scheduling.shares.observer import ContentionRow

MAX_ROWS = 100
"""Number of pairs of workspace and pool with gauges of their own."""

MAX_LABEL_CHARACTERS = 100
"""Length to which names in labels are cut, in characters."""

OTHERS = "others"
"""Label of the workspaces of a pool that have no gauges of their own."""

PREFIX = "tamarackmount_share_"
"""Prefix of the names of the gauges."""

_TEXT_BY_MEASURE = {
    "entitled": "Fraction of a pool that a workspace is owed while others wait.",
    "used": "Fraction of a pool that a workspace's runs use.",
    "lent": "Fraction of a pool that a workspace is owed and others use.",
    "borrowed": "Fraction of a pool that a workspace uses beyond what it is owed.",
    "waiting": "Fraction of a pool that a workspace's waiting work needs.",
    "refused_jobs": "Refused jobs of a workspace in a pool, as the holder counts them.",
    "drain_seconds": "Forecast of when a workspace's waiting work has started.",
}

_UNSAFE_IN_LABELS = str.maketrans({"\\": "_", '"': "_", "\n": "_", "\r": "_"})


@dataclass(frozen=True, slots=True)
class _Values:
    workspace: str
    service: str
    value_by_measure: dict[str, float]

    @property
    def weight(self) -> tuple[float, float]:
        """By which rows are chosen for gauges of their own."""
        values = self.value_by_measure
        return values["used"] + values["waiting"], values["refused_jobs"]


class ContentionMetrics:
    """The newest rows of the holder, and their gauges."""

    def __init__(self, registry: Registry) -> None:
        """Register the gauges."""
        self._rows: Sequence[ContentionRow] = ()
        self._gauges = {
            measure: Gauge(f"{PREFIX}{measure}", text, registry=registry)
            for measure, text in _TEXT_BY_MEASURE.items()
        }

    def record(self, rows: Sequence[ContentionRow]) -> None:
        """Keep the rows until the gauges are read."""
        self._rows = rows

    def update_gauges(self) -> None:
        """Set the gauges to the newest rows, and remove those of earlier rows."""
        for gauge in self._gauges.values():
            gauge.values = MetricDict()
        for row in _bound_rows([_values_of(row) for row in self._rows]):
            labels = {"workspace": row.workspace, "service": row.service}
            for measure, value in row.value_by_measure.items():
                self._gauges[measure].set(labels, value)


def _values_of(row: ContentionRow) -> _Values:
    share = row.share
    values: dict[str, float] = {
        "entitled": share.entitled,
        "used": share.used,
        "lent": share.lent,
        "borrowed": share.borrowed,
        "waiting": share.waiting,
        "refused_jobs": share.refused,
    }
    if row.drain_s is not None:
        values["drain_seconds"] = row.drain_s
    return _Values(_label(share.workspace), _label(share.service), values)


def _label(name: str) -> str:
    return name.translate(_UNSAFE_IN_LABELS)[:MAX_LABEL_CHARACTERS]


def _bound_rows(rows: Sequence[_Values]) -> Iterable[_Values]:
    """Return the largest rows and the sum of the others of each pool.

    Rows with equal labels are added up too.
    """
    largest_first = sorted(rows, key=lambda row: row.weight, reverse=True)
    others = [replace(row, workspace=OTHERS) for row in largest_first[MAX_ROWS:]]
    total_by_labels: dict[tuple[str, str], _Values] = {}
    for row in (*largest_first[:MAX_ROWS], *others):
        labels = row.workspace, row.service
        former = total_by_labels.get(labels)
        total_by_labels[labels] = _add_up(former, row) if former else row
    return total_by_labels.values()


def _add_up(former: _Values, row: _Values) -> _Values:
    values = dict(former.value_by_measure)
    for measure, value in row.value_by_measure.items():
        present = values.get(measure, 0.0)
        is_time = measure == "drain_seconds"
        values[measure] = max(present, value) if is_time else present + value
    return replace(former, value_by_measure=values)
