"""OpenTelemetry spans of requests, exported as JSON log lines."""

import logging
from collections.abc import Sequence

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from tamarackmount.ids import MemberId

_log = logging.getLogger("tamarackmount.trace")
_PROPAGATOR = TraceContextTextMapPropagator()
_TRACEPARENT = "traceparent"


class LogSpanExporter(SpanExporter):
    """Writes each finished span as one log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans; times are nanoseconds since 1970 in UTC."""
        for span in spans:
            _log.info("span", extra=_span_fields(span))
        return SpanExportResult.SUCCESS


def _span_fields(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    parent = span.parent
    return {
        "span": span.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_span_id": f"{parent.span_id:016x}" if parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


def make_tracer(member_id: MemberId, sample_ratio: float) -> Tracer:
    """Return the tracer of one member.

    The fraction ``sample_ratio`` of the traces that start here is recorded. A trace
    that a caller started is recorded if the caller sampled it.
    """
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sample_ratio)),
        resource=Resource({"service.instance.id": member_id}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
    return provider.get_tracer("tamarackmount")


def start_span(tracer: Tracer, name: str, kind: SpanKind, traceparent: str) -> Span:
    """Start a span as a child of ``traceparent``, or a new trace if that is empty."""
    context = _PROPAGATOR.extract({_TRACEPARENT: traceparent}) if traceparent else None
    return tracer.start_span(name, context=context, kind=kind)


def traceparent_of(span: Span) -> str:
    """Return the W3C ``traceparent`` header value that refers to ``span``."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=set_span_in_context(span))
    return carrier.get(_TRACEPARENT, "")
