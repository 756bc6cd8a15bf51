"""Quantiles of the recent call latencies of a route."""

from __future__ import annotations

import collections

WINDOW_SAMPLES = 256
SAMPLES_PER_SORT = 16
MIN_SAMPLES = 16


class RouteLatency:
    """A sliding window of a route's most recent call latencies in milliseconds.

    The window is sorted after every ``SAMPLES_PER_SORT`` calls. Until ``MIN_SAMPLES``
    calls are recorded, every quantile is the initial value.
    """

    def __init__(self, *, initial_ms: float) -> None:
        self._initial_ms = initial_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._sorted_samples: list[float] = []
        self._samples_until_sort = MIN_SAMPLES

    def add(self, latency_ms: float) -> None:
        self._samples.append(latency_ms)
        self._samples_until_sort -= 1
        if self._samples_until_sort <= 0:
            self._samples_until_sort = SAMPLES_PER_SORT
            self._sorted_samples = sorted(self._samples)

    def get_quantile(self, quantile: float) -> float:
        if not self._sorted_samples:
            return self._initial_ms
        rank = int(len(self._sorted_samples) * quantile)
        return self._sorted_samples[min(rank, len(self._sorted_samples) - 1)]
