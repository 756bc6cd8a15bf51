"""Tracing with a span for each hop.

The trace context is propagated in the W3C ``traceparent`` header.
"""

from __future__ import annotations

from opentelemetry import context, trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from skylarkcart.entry._settings import Settings, TraceExporter

TRACEPARENT_HEADER = "traceparent"

_propagator = TraceContextTextMapPropagator()


class Tracing:
    """Creates the spans of an instance.

    Without an exporter, it uses no-op spans, which have almost no cost.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._provider: TracerProvider | None = None
        if settings.trace_exporter is TraceExporter.CONSOLE:
            resource = Resource.create({"service.name": "skylarkcart-entry"})
            self._provider = TracerProvider(resource=resource)
            self._provider.add_span_processor(BatchSpanProcessor(ConsoleSpanExporter()))
        provider = self._provider or trace.NoOpTracerProvider()
        self._tracer = provider.get_tracer("skylarkcart")

    def start_span(
        self, name: str, parent: context.Context | None
    ) -> tuple[trace.Span, context.Context]:
        """Starts a child span of ``parent`` and returns it with its context."""
        span = self._tracer.start_span(name, context=parent)
        return span, trace.set_span_in_context(span, parent)

    def shutdown(self) -> None:
        if self._provider is not None:
            self._provider.shutdown()


def extract_context(traceparent: str | None) -> context.Context | None:
    """Returns the caller's trace context, or None without a ``traceparent`` header."""
    if not traceparent:
        return None
    return _propagator.extract({TRACEPARENT_HEADER: traceparent})


def inject_context(span_context: context.Context, headers: dict[str, str]) -> None:
    """Adds the trace context to the headers of an upstream call."""
    _propagator.inject(headers, context=span_context)
