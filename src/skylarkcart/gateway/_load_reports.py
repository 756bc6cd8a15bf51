"""Metrics and log lines on the load that upstreams report."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from skylarkcart.gateway._event_log import MAX_DETAIL_LINES_PER_SECOND, EventLog, Level
from skylarkcart.load import LoadStatistics
from skylarkcart.replicas import RefusedCall


class LoadCollector(Collector):
    """Exposes the totals of ``LoadStatistics``, read when the metrics are."""

    def __init__(self, *, statistics: LoadStatistics) -> None:
        self._statistics = statistics

    def describe(self) -> Iterator[Metric]:
        """Names the metrics without reading their values."""
        return self.collect()

    def collect(self) -> Iterator[Metric]:
        statistics = self._statistics
        for name, text, value in (
            ("load_reports", "Reports of load with a work factor", statistics.reports),
            (
                "load_error_calls",
                "Sum of the differences between expected and reported calls",
                statistics.error_calls,
            ),
            (
                "load_contradictions",
                "Reports that didn't fit how their call ended",
                statistics.contradictions,
            ),
            (
                "load_refused_calls",
                "Calls refused by upstreams that report their load",
                statistics.refused,
            ),
            (
                "load_misplaced_calls",
                "Refused calls while a sibling was believed to have a free slot",
                statistics.misplaced,
            ),
        ):
            yield CounterMetricFamily(f"skylarkcart_gateway_{name}", text, value)


def log_refused_call(log: EventLog, request: str, refused: RefusedCall) -> None:
    """Writes the inputs of the choice of an upstream that refused the call."""
    log.write(
        "call_misplaced" if refused.is_misplaced else "call_refused",
        level=Level.WARNING,
        limit=MAX_DETAIL_LINES_PER_SECOND,
        request=request,
        **msgspec.structs.asdict(refused.chosen),
        siblings=refused.siblings,
    )
