"""Baseline and recent latency of an upstream and of a service."""

from __future__ import annotations

import collections
import statistics

RECENT_SAMPLES = 9
MIN_SAMPLES = 20
STEP_FACTOR = 3.0

# A latency step of one upstream is a cold start only if the upstream is slower than its
# service by this factor; if the service is as slow, it is overload.
STEP_OVER_SERVICE_FACTOR = 2.0

# Smoothing factor of the baseline: old samples decay over some hundred calls, and a
# latency step does not shift the baseline.
BASELINE_GAIN = 0.02

SERVICE_SAMPLES = 64
SERVICE_SAMPLES_PER_MEDIAN = 8


class LatencyTracker:
    """The recent median and the slowly adapting baseline latency of an upstream.

    The median is robust against single slow calls.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(
            maxlen=RECENT_SAMPLES
        )
        self._baseline_samples = 0
        self._baseline_ms = 0.0
        self.recent_ms: float | None = None

    @property
    def baseline_ms(self) -> float | None:
        return self._baseline_ms if self._baseline_samples >= MIN_SAMPLES else None

    @property
    def has_stepped(self) -> bool:
        """Whether the recent median exceeds three times the baseline latency."""
        if self._baseline_samples < MIN_SAMPLES or len(self._recent) < RECENT_SAMPLES:
            return False
        return self.recent_ms > STEP_FACTOR * self._baseline_ms

    def record(self, latency_ms: float, *, updates_baseline: bool) -> None:
        """Records a latency; a latency step never updates the baseline."""
        self._recent.append(latency_ms)
        self.recent_ms = statistics.median_low(self._recent)
        if not updates_baseline or self.has_stepped:
            return
        self._baseline_samples += 1
        gain = max(BASELINE_GAIN, 1.0 / self._baseline_samples)
        self._baseline_ms += gain * (self.recent_ms - self._baseline_ms)

    def clear_recent(self) -> None:
        self._recent.clear()
        self.recent_ms = None

    def reset_baseline(self) -> None:
        """Discards the baseline after the latency has changed permanently."""
        self._baseline_samples = 0
        self._baseline_ms = 0.0


class ServiceLatency:
    """The median latency of recent calls to all warm upstreams of a service."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(
            maxlen=SERVICE_SAMPLES
        )
        self._samples_until_median = 0
        self._reported: collections.deque[float] = collections.deque(
            maxlen=RECENT_SAMPLES
        )
        self.recent_ms: float | None = None

    @property
    def baseline_ms(self) -> float | None:
        """The local median, or else the median reported by other instances."""
        if self.recent_ms is None and self._reported:
            return statistics.median_low(self._reported)
        return self.recent_ms

    def record_reported(self, baseline_ms: float) -> None:
        self._reported.append(baseline_ms)

    def record(self, latency_ms: float) -> None:
        self._recent.append(latency_ms)
        self._samples_until_median -= 1
        if len(self._recent) >= MIN_SAMPLES and self._samples_until_median <= 0:
            self._samples_until_median = SERVICE_SAMPLES_PER_MEDIAN
            self.recent_ms = statistics.median_low(self._recent)
