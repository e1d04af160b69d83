"""Metrics of a node, as a scraper reads them."""

from tamarackmount.internal.metrics_text import render_metrics
from tamarackmount.node.metrics import NodeMetrics


def test_every_collector_is_rendered_with_its_labels() -> None:
    metrics = NodeMetrics()
    metrics.record_request("POST", 200, 0.02)
    metrics.record_store_result("yes", 0.015)
    metrics.record_first_start("stock", 0.05)
    metrics.record_job_end("stock", "completed", 1.2)
    metrics.record_run_end("done")
    metrics.record_order("start", "done")
    metrics.set_is_holder(True)
    metrics.set_evacuated_data_centres(2)
    metrics.set_evacuated_runs(31)
    text = render_metrics(metrics.registry).decode()
    for line in (
        'tamarackmount_calls_total{status="200",verb="POST"} 1',
        'tamarackmount_call_seconds_bucket{le="0.02",verb="POST"} 1',
        'tamarackmount_store_record_seconds_count{result="yes"} 1',
        'tamarackmount_first_start_seconds_count{queue="stock"} 1',
        'tamarackmount_job_seconds_count{phase="completed",queue="stock"} 1',
        'tamarackmount_run_ends_total{how="done"} 1',
        'tamarackmount_orders_total{result="done",verb="start"} 1',
        "tamarackmount_holder 1",
        "tamarackmount_evacuated_data_centres 2",
        "tamarackmount_runs_in_evacuated_data_centres 31",
    ):
        assert line in text
