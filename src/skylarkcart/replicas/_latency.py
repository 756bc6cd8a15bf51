"""Quantiles of the recent call latencies of a route."""

from __future__ import annotations

import collections

WINDOW_SAMPLES = 256
SAMPLES_PER_SORT = 16
MIN_SAMPLES = 16


class RouteLatency:
    """The latencies of a route's last calls in milliseconds.

    The window is sorted once in ``SAMPLES_PER_SORT`` calls. Before ``MIN_SAMPLES`` the
    initial value is every quantile.
    """

    def __init__(self, *, initial_ms: float) -> None:
        self._initial_ms = initial_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._ordered: list[float] = []
        self._until_sort = MIN_SAMPLES

    def add(self, latency_ms: float) -> None:
        self._samples.append(latency_ms)
        self._until_sort -= 1
        if self._until_sort <= 0:
            self._until_sort = SAMPLES_PER_SORT
            self._ordered = sorted(self._samples)

    def get_quantile(self, quantile: float) -> float:
        if not self._ordered:
            return self._initial_ms
        rank = int(len(self._ordered) * quantile)
        return self._ordered[min(rank, len(self._ordered) - 1)]
