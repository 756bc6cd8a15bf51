"""Statistics of request outcomes."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Sequence

from hdrh.histogram import HdrHistogram

from skylarkcart.standins import Outcome
from skylarkcart.types import AccountId

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_MILLISECOND = 1000.0
PLOTTED_PERCENTILES = (50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9, 100.0)


def build_latency_histogram(outcomes: Iterable[Outcome]) -> HdrHistogram:
    """Returns the latencies of answered requests, measured from their due times."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for outcome in outcomes:
        if outcome.is_answered:
            elapsed_us = int(outcome.latency_ms * MICROSECONDS_PER_MILLISECOND)
            histogram.record_value(max(1, elapsed_us))
    return histogram


def read_percentile_ms(outcomes: Iterable[Outcome], percentile: float) -> float:
    histogram = build_latency_histogram(outcomes)
    value = histogram.get_value_at_percentile(percentile)
    return value / MICROSECONDS_PER_MILLISECOND


def compute_coverage_mean(outcomes: Iterable[Outcome]) -> float:
    """Returns covered shards over all shards of answered searches, or 0 without any."""
    answered = [o for o in outcomes if o.is_answered and not o.arrival.is_filing]
    total = sum(outcome.total for outcome in answered)
    return sum(outcome.covered for outcome in answered) / total if total else 0.0


def count_errors(outcomes: Iterable[Outcome]) -> int:
    """Returns the number of requests that were not answered."""
    return sum(not outcome.is_answered for outcome in outcomes)


def count_cut_requests(outcomes: Iterable[Outcome]) -> int:
    return sum(bool(outcome.connection_error) for outcome in outcomes)


def summarize(outcomes: Sequence[Outcome]) -> dict[str, float]:
    """Returns the figures that are common to all kinds of traffic."""
    histogram = build_latency_histogram(outcomes)

    def read_percentile(percentile: float) -> float:
        value = histogram.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_MILLISECOND

    return {
        "requests": len(outcomes),
        "answered": sum(outcome.is_answered for outcome in outcomes),
        "errors": count_errors(outcomes),
        "cut_requests": count_cut_requests(outcomes),
        "refused_by_rate": sum(o.error == "rate_exceeded" for o in outcomes),
        "p50_ms": read_percentile(50.0),
        "p95_ms": read_percentile(95.0),
        "p99_ms": read_percentile(99.0),
        "coverage_mean": compute_coverage_mean(outcomes),
    }


def list_percentiles(outcomes: Iterable[Outcome]) -> tuple[tuple[float, float], ...]:
    """Returns (percentile, milliseconds) pairs for a plot of the tail latency."""
    histogram = build_latency_histogram(outcomes)
    return tuple(
        (
            percentile,
            histogram.get_value_at_percentile(percentile)
            / MICROSECONDS_PER_MILLISECOND,
        )
        for percentile in PLOTTED_PERCENTILES
    )


def count_per_second(
    outcomes: Iterable[Outcome], *, keep: Callable[[Outcome], bool]
) -> tuple[tuple[float, ...], tuple[float, ...]]:
    """Returns the seconds and, for each, how many outcomes due in it pass ``keep``."""
    counts: collections.Counter[int] = collections.Counter()
    last = 0
    for outcome in outcomes:
        second = int(outcome.arrival.due_s)
        last = max(last, second)
        counts[second] += keep(outcome)
    seconds = range(last + 1)
    return tuple(map(float, seconds)), tuple(float(counts[s]) for s in seconds)


def compute_answered_ratios(outcomes: Iterable[Outcome]) -> dict[AccountId, float]:
    """Returns answered requests over sent requests for each account."""
    sent: collections.Counter[AccountId] = collections.Counter()
    answered: collections.Counter[AccountId] = collections.Counter()
    for outcome in outcomes:
        sent[outcome.arrival.account] += 1
        answered[outcome.arrival.account] += outcome.is_answered
    return {account: answered[account] / count for account, count in sent.items()}
