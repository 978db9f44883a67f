"""Send metrics to statsd, logs to structlog and spans to a file."""

import json
import logging
import sys
from collections.abc import Sequence
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any, TextIO

import statsd
import structlog
from opentelemetry.propagate import extract, inject
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind, set_span_in_context

from .settings import TelemetrySettings

PREFIX = "hornbeampaddle"


class Metrics:
    """A statsd client; without an address in the settings it sends nothing."""

    def __init__(self, settings: TelemetrySettings, instance_id: str) -> None:
        """Open the UDP socket if an address is set."""
        self._client: statsd.StatsClient | None = None
        if settings.statsd is not None:
            self._client = statsd.StatsClient(
                settings.statsd.host,
                settings.statsd.port,
                prefix=f"{PREFIX}.{instance_id}",
            )

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000)


class JsonSpanFile(SpanExporter):
    """Writes each finished span to a file as one line of JSON."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending."""
        self._file: TextIO = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans; called in the exporter's thread."""
        for span in spans:
            self._file.write(json.dumps(_span_line(span)) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


def _span_line(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    parent = span.parent
    return {
        "name": span.name,
        "trace": format(context.trace_id, "032x") if context else "",
        "span": format(context.span_id, "016x") if context else "",
        "parent": format(parent.span_id, "016x") if parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "service": span.resource.attributes.get("service.instance.id", ""),
        "attributes": dict(span.attributes or {}),
    }


class Traces:
    """Creates spans; without a traces file all calls do nothing."""

    def __init__(self, settings: TelemetrySettings, instance_id: str) -> None:
        """Start the exporter's thread if a traces file is set."""
        self._provider: TracerProvider | None = None
        if settings.traces_file:
            resource = Resource(
                {"service.name": PREFIX, "service.instance.id": instance_id}
            )
            sampler = ParentBased(TraceIdRatioBased(settings.traced_ratio))
            self._provider = TracerProvider(sampler=sampler, resource=resource)
            exporter = JsonSpanFile(Path(settings.traces_file))
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
            self._tracer = self._provider.get_tracer(PREFIX)

    def span(
        self, name: str, traceparent: str = "", server: bool = False
    ) -> AbstractContextManager[Span | None]:
        """Open a span, as a child of ``traceparent`` if it is not empty."""
        if self._provider is None:
            return nullcontext()
        context = extract({"traceparent": traceparent}) if traceparent else None
        kind = SpanKind.SERVER if server else SpanKind.CLIENT
        return self._tracer.start_as_current_span(name, context=context, kind=kind)

    def begin(self, name: str, traceparent: str) -> Span | None:
        """Start a child span of ``traceparent`` that the caller must end."""
        if self._provider is None:
            return None
        context = extract({"traceparent": traceparent})
        return self._tracer.start_span(name, context=context, kind=SpanKind.SERVER)

    def traceparent_of(self, span: Span | None, default: str) -> str:
        """Return the header to propagate ``span``, or ``default`` if there is none."""
        if span is None:
            return default
        carrier: dict[str, str] = {}
        inject(carrier, context=set_span_in_context(span))
        return carrier.get("traceparent", default)

    def traceparent(self, default: str = "") -> str:
        """Return the header to propagate the current span, or else ``default``."""
        if self._provider is None:
            return default
        carrier: dict[str, str] = {}
        inject(carrier)
        return carrier.get("traceparent", default)

    def close(self) -> None:
        """Write buffered spans and stop the exporter."""
        if self._provider is not None:
            self._provider.shutdown()


def set_up_logs(settings: TelemetrySettings) -> None:
    """Write logs as JSON lines to a file, or to standard error."""
    level = logging.getLevelNamesMapping()[settings.log_level.upper()]
    stream: TextIO = sys.stderr
    if settings.log_file:
        path = Path(settings.log_file)
        stream = path.open("a", encoding="utf-8")  # noqa: SIM115 (open until exit)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )
