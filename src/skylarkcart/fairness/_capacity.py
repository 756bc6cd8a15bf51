"""Adaptive limit of the number of shards queried concurrently.

At most once per window, the capacity is raised if it was fully used and latency was
near the baseline, or reduced by a factor if upstreams shed load or latency rose.
"""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis


class CapacityPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds and rates of the adaptation; capacities are numbers of shards.

    ``latency_ratio`` is the multiple of the baseline latency that counts as a rise.
    """

    initial: float
    minimum: float
    maximum: float
    window_ms: float = 250.0
    min_samples: int = 8
    latency_ratio: float = 2.0
    growth_ratio: float = 0.05
    decrease_factor: float = 0.8
    shed_ratio: float = 0.02


# Factor by which the baseline may rise per window. At 1.01, a minute of overload raises
# the baseline fourfold.
BASELINE_DRIFT_FACTOR = 1.001
# At minimum capacity, high latency is not caused by the load of this instance, so the
# baseline may adapt to it faster.
BASELINE_DRIFT_FACTOR_AT_MINIMUM = 1.1
LATENCY_SMOOTHING = 0.1


class AdaptiveCapacity:
    """Adapts the capacity to the latency and shedding of finished requests."""

    def __init__(self, *, policy: CapacityPolicy, now: Millis) -> None:
        self._policy = policy
        self.current = policy.initial
        self.smoothed_latency_ms = 0.0
        self._baseline_ms: float | None = None
        self._start_window(now)

    def configure(self, policy: CapacityPolicy) -> None:
        """Applies new bounds and keeps the current capacity within them."""
        self._policy = policy
        self.current = min(max(self.current, policy.minimum), policy.maximum)

    def record_saturated(self) -> None:
        """Records that a request had to wait; only a fully used capacity is raised."""
        self._is_saturated = True

    def record(self, *, latency_ms: float, is_shed: bool, now: Millis) -> None:
        """Records a finished request and adapts the capacity at the end of a window."""
        if is_shed:
            self._shed += 1
        else:
            self._served += 1
            self._latency_sum += latency_ms
            self._update_smoothed_latency(latency_ms)
        samples = self._served + self._shed
        if now - self._window_start >= self._policy.window_ms:
            if samples >= self._policy.min_samples:
                self._adapt()
                self._start_window(now)

    def _update_smoothed_latency(self, latency_ms: float) -> None:
        if self.smoothed_latency_ms == 0.0:
            self.smoothed_latency_ms = latency_ms
        self.smoothed_latency_ms += LATENCY_SMOOTHING * (
            latency_ms - self.smoothed_latency_ms
        )

    def _adapt(self) -> None:
        samples = self._served + self._shed
        is_shedding = self._shed > self._policy.shed_ratio * samples
        if is_shedding or self._has_latency_risen():
            self.current *= self._policy.decrease_factor
        elif self._is_saturated:
            self.current += max(1.0, self._policy.growth_ratio * self.current)
        self.current = min(
            max(self.current, self._policy.minimum), self._policy.maximum
        )

    def _has_latency_risen(self) -> bool:
        if self._served == 0:
            return False
        mean = self._latency_sum / self._served
        if self._baseline_ms is None:
            self._baseline_ms = mean
        is_at_minimum = self.current <= self._policy.minimum
        drift = (
            BASELINE_DRIFT_FACTOR_AT_MINIMUM if is_at_minimum else BASELINE_DRIFT_FACTOR
        )
        self._baseline_ms = min(mean, self._baseline_ms * drift)
        return mean > self._baseline_ms * self._policy.latency_ratio

    def _start_window(self, now: Millis) -> None:
        self._window_start = now
        self._served = 0
        self._shed = 0
        self._latency_sum = 0.0
        self._is_saturated = False
