"""Counters and latency histograms of one node."""

from collections.abc import Sequence
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry
from twisted.web.resource import Resource

from tamarackmount.internal.metrics_text import (
    SECONDS_BUCKETS,
    TEXT_FORMAT,
    render_metrics,
)
from tamarackmount.node.connection_metrics import ConnectionMetrics
from tamarackmount.node.contention_metrics import ContentionMetrics
from tamarackmount.scheduling.shares.observer import ContentionRow


class NodeMetrics:
    """Metrics of an entry VM, named by the Prometheus conventions."""

    def __init__(self) -> None:
        """Register every collector."""
        self.registry = Registry()
        self._calls = Counter(
            "tamarackmount_calls_total",
            "Callers' calls by verb and status.",
            registry=self.registry,
        )
        self._call_seconds = self._histogram(
            "tamarackmount_call_seconds", "From a call's arrival to its answer."
        )
        self._store_record_seconds = self._histogram(
            "tamarackmount_store_record_seconds",
            "From a caller's job or cancelling to the store's word, by result.",
        )
        self._first_start_seconds = self._histogram(
            "tamarackmount_first_start_seconds",
            "From a job's acceptance to the order of its first start, by queue.",
        )
        self._job_seconds = self._histogram(
            "tamarackmount_job_seconds",
            "From a job's acceptance to its end, by queue and phase.",
        )
        self._runs = Counter(
            "tamarackmount_run_ends_total",
            "Ends of runs by how they ended.",
            registry=self.registry,
        )
        self._worker_ends = Counter(
            "tamarackmount_worker_ends_total",
            "Workers removed with runs, by the cause of their end.",
            registry=self.registry,
        )
        self._lost_runs = Counter(
            "tamarackmount_lost_runs_total",
            "Runs whose end no worker reported, by the cause of their worker's end.",
            registry=self.registry,
        )
        self._orders = Counter(
            "tamarackmount_orders_total",
            "Orders to workers by verb and result.",
            registry=self.registry,
        )
        self._is_holder = Gauge(
            "tamarackmount_holder",
            "1 while this node schedules.",
            registry=self.registry,
        )
        self._holder_notices = Counter(
            "tamarackmount_holder_notices_total",
            "Holders that this node knows by their notice, without the store's record.",
            registry=self.registry,
        )
        self._too_long_records = Counter(
            "tamarackmount_too_long_records_total",
            "Records left out as the store takes none of their length, by kind.",
            registry=self.registry,
        )
        self._job_limit_refusals = Counter(
            "tamarackmount_job_limit_refusals_total",
            "Jobs refused as they would exceed the process's memory or time, by limit.",
            registry=self.registry,
        )
        self._crowded_requests = Counter(
            "tamarackmount_crowded_requests_total",
            "Requests refused as too many of their kind were being served, by kind.",
            registry=self.registry,
        )
        self._kept_job_bytes = Gauge(
            "tamarackmount_kept_job_bytes",
            "Estimated memory of the accepted jobs that this node keeps.",
            registry=self.registry,
        )
        self._processor_slowdown = Gauge(
            "tamarackmount_processor_slowdown",
            "Time that a fixed amount of work takes, relative to this process's best.",
            registry=self.registry,
        )
        self._evacuated_data_centres = Gauge(
            "tamarackmount_evacuated_data_centres",
            "Data centres in which, by the operator's record, nothing starts.",
            registry=self.registry,
        )
        self._evacuated_runs = Gauge(
            "tamarackmount_runs_in_evacuated_data_centres",
            "Runs that go on there, at the node that schedules.",
            registry=self.registry,
        )
        self.connections = ConnectionMetrics(self.registry)
        self._longest_turn = Gauge(
            "tamarackmount_longest_turn_seconds",
            "Longest time for which the holder's work held the event loop, by work.",
            registry=self.registry,
        )
        self._longest_turn_s: dict[str, float] = {}
        self.set_evacuated_data_centres(0)
        self.set_evacuated_runs(0)
        self._contention = ContentionMetrics(self.registry)

    def record_request(self, verb: str, status: int, took_s: float) -> None:
        """Count a caller's request and its duration."""
        self._calls.inc({"verb": verb, "status": str(status)})
        self._call_seconds.observe({"verb": verb}, took_s)

    def record_store_result(self, result: str, took_s: float) -> None:
        """Count a caller's record and the time until its outcome was known."""
        self._store_record_seconds.observe({"result": result}, took_s)

    def record_job_limit_refusal(self, limit: str) -> None:
        """Count a job that was refused for a limit of this process."""
        self._job_limit_refusals.inc({"limit": limit})

    def record_crowded_request(self, kind: str) -> None:
        """Count a request that was refused as too many were being served."""
        self._crowded_requests.inc({"kind": kind})

    def set_kept_job_bytes(self, kept_bytes: int) -> None:
        """Set the estimated memory of the accepted jobs, in bytes."""
        self._kept_job_bytes.set({}, kept_bytes)

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Count a job's first start and the time from its acceptance."""
        self._first_start_seconds.observe({"queue": queue}, waited_s)

    def record_job_end(self, queue: str, phase: str, age_s: float) -> None:
        """Count a job's end and the time from its acceptance."""
        self._job_seconds.observe({"queue": queue, "phase": phase}, age_s)

    def record_run_end(self, outcome: str) -> None:
        """Count the end of a run."""
        self._runs.inc({"how": outcome})

    def record_worker_end(self, cause: str) -> None:
        """Count a removed worker that had runs."""
        self._worker_ends.inc({"cause": cause})

    def record_lost_run(self, cause: str) -> None:
        """Count a run that its worker never reported as ended."""
        self._lost_runs.inc({"cause": cause})

    def record_order(self, verb: str, result: str) -> None:
        """Count an order to a worker."""
        self._orders.inc({"verb": verb, "result": result})

    def set_processor_slowdown(self, slowdown: float) -> None:
        """Record how much slower the processor is than at its best."""
        self._processor_slowdown.set({}, round(slowdown, 2))

    def record_turn(self, work: str, took_s: float) -> None:
        """Record how long a turn of the event loop took, in seconds."""
        if took_s > self._longest_turn_s.get(work, 0.0):
            self._longest_turn_s[work] = took_s
            self._longest_turn.set({"work": work}, round(took_s, 4))

    def record_holder_notice(self) -> None:
        """Count a holder whose record this node could not read."""
        self._holder_notices.inc({})

    def record_too_long_record(self, kind: str) -> None:
        """Count a record that was left out for its length."""
        self._too_long_records.inc({"kind": kind})

    def record_contention(self, rows: Sequence[ContentionRow]) -> None:
        """Replace the rows about workspaces that compete for pools."""
        self._contention.record(rows)

    def set_is_holder(self, is_holder: bool) -> None:
        """Record whether this node is the holder; another node has no shares."""
        self._is_holder.set({}, int(is_holder))
        if not is_holder:
            self._contention.record(())

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._contention.update_gauges()
        self.connections.update_gauges()
        return render_metrics(self.registry)

    def set_evacuated_data_centres(self, count: int) -> None:
        """Record the number of evacuated data centres."""
        self._evacuated_data_centres.set({}, count)

    def set_evacuated_runs(self, count: int) -> None:
        """Record the number of runs in evacuated data centres."""
        self._evacuated_runs.set({}, count)

    def _histogram(self, name: str, text: str) -> Any:
        return Histogram(name, text, registry=self.registry, buckets=SECONDS_BUCKETS)


class MetricsResource(Resource):
    """Serves the metrics as text."""

    isLeaf = True  # noqa: N815  (name set by Twisted)

    def __init__(self, metrics: NodeMetrics) -> None:
        """Serve ``metrics``."""
        Resource.__init__(self)
        self._metrics = metrics

    def render(self, request: Any) -> bytes:
        """Return all metrics, whatever the path."""
        request.setHeader(b"content-type", TEXT_FORMAT.encode())
        return self._metrics.render()
