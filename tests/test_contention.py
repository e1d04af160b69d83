"""Who competes for which pool: reports, metrics and the command."""

import json
from collections.abc import Sequence
from typing import Any

import pytest
from returns.result import Success

from tamarackmount.contention import read_contention
from tamarackmount.http_calls import HttpResponse
from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.node.contention_metrics import MAX_ROWS, OTHERS
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.shares.contention import (
    REPORT_INTERVAL_S,
    ContentionReports,
)
from tamarackmount.scheduling.shares.observer import ContentionRow, NoObserver
from tamarackmount.scheduling.shares.shares import ShareRow
from tamarackmount.status import ExitStatus
from tests.utils.build_scheduling import (
    START,
    WORKSPACE,
    SchedulerHarness,
    job,
    step,
    worker_entry,
)
from tests.utils.environment import CallResult, command_line, unreachable

POOL = ServiceName("counter")
URL = "http://192.0.2.11:9100"
OTHER_URL = "http://192.0.2.12:9100"


def share(workspace: str, **values: float) -> ShareRow:
    """Return the share of a workspace that uses twice what it is entitled to."""
    fields: dict[str, Any] = {
        "entitled": 0.25,
        "used": 0.5,
        "lent": 0.0,
        "borrowed": 0.25,
        "waiting": 0.125,
        "refused": 3,
        **values,
    }
    return ShareRow(WorkspaceId(workspace), POOL, **fields)


class Shares:
    """Fixed shares, and the number of times that they were read."""

    def __init__(self, *rows: ShareRow) -> None:
        """Return these rows."""
        self._rows = rows
        self.reads = 0

    def share_rows(self) -> Sequence[ShareRow]:
        """Return the rows."""
        self.reads += 1
        return self._rows


class Drains:
    """A forecast for one workspace."""

    def drain_s(self, workspace: WorkspaceId, service: ServiceName) -> float | None:
        """Return the forecast."""
        return 7.5 if workspace == "retail" else None


def row(workspace: str, drain_s: float | None = None, **values: float) -> ContentionRow:
    """Return a row of one workspace."""
    return ContentionRow(share(workspace, **values), drain_s)


def metrics_of(*rows: ContentionRow, is_holder: bool = True) -> str:
    """Return the text of a node's metrics after a report."""
    metrics = NodeMetrics()
    metrics.set_is_holder(is_holder)
    metrics.record_contention(rows)
    return metrics.render().decode()


def test_rows_are_reported_once_per_interval() -> None:
    shares = Shares(share("retail"), share("books"))
    reports = ContentionReports(shares, Drains())
    found: list[Sequence[ContentionRow]] = []

    class Recorder(NoObserver):
        def record_contention(self, rows: Sequence[ContentionRow]) -> None:
            found.append(rows)

    for tick in range(500):
        reports.report_if_due(Recorder(), Instant(START + tick * 0.004))
    assert shares.reads == len(found) == 2.0 / REPORT_INTERVAL_S
    assert [(one.share.workspace, one.drain_s) for one in found[0]] == [
        ("retail", 7.5),
        ("books", None),
    ]


def test_each_measure_has_a_gauge() -> None:
    text = metrics_of(row("retail", drain_s=7.5))
    labels = '{service="counter",workspace="retail"}'
    for sample in (
        f"tamarackmount_share_entitled{labels} 0.25",
        f"tamarackmount_share_used{labels} 0.5",
        f"tamarackmount_share_lent{labels} 0.0",
        f"tamarackmount_share_borrowed{labels} 0.25",
        f"tamarackmount_share_waiting{labels} 0.125",
        f"tamarackmount_share_refused_jobs{labels} 3",
        f"tamarackmount_share_drain_seconds{labels} 7.5",
    ):
        assert sample in text


def test_rows_of_a_former_report_and_of_a_former_holder_are_removed() -> None:
    """Guards against two nodes that show the shares after a change of holder."""
    metrics = NodeMetrics()
    metrics.set_is_holder(True)
    metrics.record_contention([row("retail")])
    metrics.render()
    metrics.record_contention([row("books")])
    found = read_contention(metrics.render().decode())
    assert [one.workspace for one in found.rows] == ["books"]
    metrics.set_is_holder(False)
    assert read_contention(metrics.render().decode()).rows == []


def test_labels_are_bounded_and_the_others_are_added_up() -> None:
    """Guards against metrics that grow with the number of workspaces."""
    rows = [row(f"w{number}", drain_s=number, used=0.001) for number in range(500)]
    rows.append(row("large", used=0.9))
    found = read_contention(metrics_of(*rows)).rows
    assert len(found) == MAX_ROWS + 1
    assert found[0].workspace == OTHERS
    assert found[0].value_by_measure["refused_jobs"] == 3 * (501 - MAX_ROWS)
    assert found[0].value_by_measure["drain_seconds"] == 499
    assert "large" in {one.workspace for one in found}


@pytest.mark.parametrize("name", ['a"b', "a\nb", "a\\", "x" * 5_000, "a} 1", "Ω"])
def test_a_name_that_is_no_label_does_not_damage_the_metrics(name: str) -> None:
    text = metrics_of(row(name), row("retail"))
    assert max(len(line) for line in text.split("\n")) < 1_000
    found = read_contention(text).rows
    assert len(found) == 2
    assert all(len(one.value_by_measure) == 6 for one in found)


def answer(text: str, status: int = 200) -> CallResult:
    """Return the answer of an entry VM's metrics address."""
    return Success(HttpResponse(status, (), text.encode()))


def test_the_command_prints_the_rows_of_the_holder_as_a_table() -> None:
    rows = row("books", used=0.1), row("retail", drain_s=7.5)
    run_command, opener = command_line(
        unreachable(), answer(metrics_of(is_holder=False)), answer(metrics_of(*rows))
    )
    shown = run_command("contention", OTHER_URL, OTHER_URL, URL)
    assert shown.status is ExitStatus.OK
    table = [line.split() for line in shown.stdout.splitlines()]
    assert table[0][:4] == ["POOL", "WORKSPACE", "ENTITLED", "USED"]
    assert table[1] == [
        *("counter", "retail", "25.0%", "50.0%", "0.0%", "25.0%", "12.5%"),
        *("3", "7.5", "s"),
    ]
    assert table[2][1] == "books"
    assert table[2][-1] == "-"
    assert opener.requests[-1].url == f"{URL}/metrics"
    assert "not the holder" in shown.stderr


def test_the_command_prints_json() -> None:
    run_command, _ = command_line(answer(metrics_of(row("retail", drain_s=7.5))))
    shown = run_command("contention", "--json", f"{URL}/metrics")
    assert json.loads(shown.stdout) == {
        "rows": [
            {
                "workspace": "retail",
                "service": "counter",
                "entitled": 0.25,
                "used": 0.5,
                "lent": 0.0,
                "borrowed": 0.25,
                "waiting": 0.125,
                "refused_jobs": 3.0,
                "drain_seconds": 7.5,
            }
        ]
    }


def test_a_pool_with_capacity_for_all_has_no_rows() -> None:
    run_command, _ = command_line(answer(metrics_of()))
    shown = run_command("contention", URL)
    assert shown.status is ExitStatus.OK
    assert shown.stdout == "no pool has shares in force\n"


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (unreachable(), ExitStatus.UNREACHABLE),
        (answer("", status=503), ExitStatus.UNREACHABLE),
        (answer("not metrics\n{}{ 1\ntamarackmount_holder x"), ExitStatus.NOT_FOUND),
    ],
)
def test_no_holder_is_an_error(result: CallResult, status: ExitStatus) -> None:
    run_command, _ = command_line(result)
    shown = run_command("contention", URL)
    assert shown.status is status
    assert shown.stderr


def test_a_wrong_url_is_named() -> None:
    run_command, _ = command_line()
    shown = run_command("contention", "front-a-1")
    assert shown.status is ExitStatus.USAGE
    assert "'front-a-1' is not a URL" in shown.stderr


def test_the_scheduler_reports_who_waits_for_a_pool() -> None:
    """Guards against metrics of contention that nothing fills."""
    found: list[ContentionRow] = []

    class Recorder(NoObserver):
        def record_contention(self, rows: Sequence[ContentionRow]) -> None:
            found[:] = rows

    harness = SchedulerHarness(ceiling=Resources(), observer=Recorder())
    harness.register_workers(worker_entry("w1", cores=4))
    harness.submit_job(job(1, step(8, estimated_ms=8_000)))
    harness.scheduler.check_admission(job(2), harness.now)
    harness.tick(1.0)
    (only,) = found
    assert only.share.workspace == WORKSPACE
    assert (only.share.used, only.share.waiting) == (1.0, 1.0)
    # Four tasks of 8 s wait, and the one of 1 s that was accepted last, for 4 cores.
    assert only.drain_s == pytest.approx((4 * 8.0 + 1.0) / 4)
