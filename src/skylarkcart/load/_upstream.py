"""The load of one upstream, and what is common to the upstreams of a service."""

from __future__ import annotations

import random

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.load._regression import LagRegression
from skylarkcart.load._statistics import LoadStatistics

# Cautious priors: queues last for some calls, a work factor for less than one.
CALLS_HALF_LIFE_MS = 60.0
CALLS_VARIANCE = 1.0
FACTOR_HALF_LIFE_MS = 20.0
FACTOR_VARIANCE = 0.04

# Weight of one report in the moving averages of an upstream and of its service.
UPSTREAM_MEAN_WEIGHT = 0.15
SERVICE_MEAN_WEIGHT = 0.05

# Without news for longer than this, the mean of others' calls halves in the half-life,
# so that an upstream that once was full is tried again.
NEWS_MAX_AGE_MS = 2_000.0
MEAN_HALF_LIFE_MS = 8_000.0

# The pace starts as if this many calls had taken their typical time. One call moves it
# by at most the weight, and pauses don't count fully.
PACE_PRIOR_CALLS = 5.0
PACE_WEIGHT = 0.05
MIN_PACE = 0.25
MAX_PACE = 4.0

# What a report that contradicts the call's end leaves of the trust in the upstream's
# reports, and the part of the lost trust that each other report restores.
TRUST_AFTER_REFUSAL = 0.5
TRUST_AFTER_QUICK_CALL = 0.8
TRUST_RESTORED = 0.1

# A uniform distribution with a standard deviation of 1 has this width.
UNIFORM_WIDTH = 12.0**0.5


class ServiceLoad:
    """What the reports of a service's upstreams have in common."""

    def __init__(self, *, statistics: LoadStatistics | None = None) -> None:
        self.statistics = LoadStatistics() if statistics is None else statistics
        self.calls = LagRegression(
            half_life_ms=CALLS_HALF_LIFE_MS, variance=CALLS_VARIANCE
        )
        self.factor = LagRegression(
            half_life_ms=FACTOR_HALF_LIFE_MS, variance=FACTOR_VARIANCE
        )
        # Whether an upstream of the service has stated a work factor.
        self.is_reported = False
        self.mean_calls = 0.0
        self.mean_factor = 1.0

    def record(self, *, calls: float, factor: float, trust: float) -> None:
        """Updates the means with a report's calls of others and work factor."""
        if not self.is_reported:
            self.is_reported = True
            self.mean_calls = calls * trust
        weight = SERVICE_MEAN_WEIGHT * trust
        self.mean_calls += weight * (calls - self.mean_calls)
        self.mean_factor += weight * (factor - self.mean_factor)


class UpstreamLoad:
    """Estimates the calls and the work factor of one upstream for now."""

    def __init__(self, *, service: ServiceLoad) -> None:
        self._service = service
        self.slots = 1
        self.reported_at = Millis(float("-inf"))
        self.trust = 1.0
        # What was expected when the last report arrived, and the age of that estimate.
        self.last_expected = 0.0
        self.last_age_ms = float("inf")
        self._mean_calls = service.mean_calls
        self._calls_deviation = 0.0
        self._mean_factor = service.mean_factor
        self._factor_deviation = 0.0
        self._reports = 0
        self._pace = 1.0
        self._pace_calls = PACE_PRIOR_CALLS

    def record(
        self,
        report: ReportedLoad,
        *,
        now: Millis,
        own_calls: int,
        is_refusal: bool = False,
        is_contradicted: bool = False,
    ) -> None:
        """Records a report; ``own_calls`` are this instance's calls that it includes.

        ``is_refusal`` holds if the upstream refused the call for lack of room,
        ``is_contradicted`` if the call's end doesn't fit the report.
        """
        self._update_trust(report, is_refusal, is_contradicted)
        stated = report.running + report.waiting
        self._record_expected(stated, own_calls, now)
        self.slots = report.slots
        calls = float(max(0, stated - own_calls))
        if is_refusal:
            calls = max(calls, float(report.slots - own_calls))
        calls += (1.0 - self.trust) * (self._service.mean_calls - calls)
        factor = 1.0 if report.work_factor is None else report.work_factor
        age_ms = now - self.reported_at
        calls_deviation = calls - self._mean_calls
        factor_deviation = factor - self._mean_factor
        if 0.0 <= age_ms < float("inf"):
            service = self._service
            service.calls.record(self._calls_deviation, calls_deviation, age_ms=age_ms)
            service.factor.record(
                self._factor_deviation, factor_deviation, age_ms=age_ms
            )
        self._service.record(calls=calls, factor=factor, trust=self.trust)
        self._reports += 1
        weight = max(UPSTREAM_MEAN_WEIGHT, 1.0 / (self._reports + 1.0))
        self._mean_calls += weight * calls_deviation
        self._mean_factor += weight * factor_deviation
        self._calls_deviation = calls - self._mean_calls
        self._factor_deviation = factor - self._mean_factor
        self.reported_at = now

    def record_pace(self, ratio: float) -> None:
        """Records the time of a call without a queue, relative to its typical time."""
        self._pace_calls += 1.0
        weight = max(PACE_WEIGHT, 1.0 / self._pace_calls)
        ratio = min(max(MIN_PACE, ratio), MAX_PACE)
        self._pace += weight * (ratio - self._pace)

    def expect_calls(self, now: Millis, own_calls: int) -> float:
        """Returns the expected calls that run and wait there now, own ones included."""
        age_ms = now - self.reported_at
        if age_ms == float("inf"):
            return own_calls + self._service.mean_calls
        weight = self._service.calls.weights[int(age_ms).bit_length()]
        others = self._get_mean_calls(age_ms) + weight * self._calls_deviation
        return own_calls + max(0.0, others)

    def draw_calls(self, now: Millis, own_calls: int, random: random.Random) -> float:
        """Returns a draw from the distribution of the calls that are there now."""
        age_ms = now - self.reported_at
        regression = self._service.calls
        age_class = int(age_ms).bit_length()
        others = (
            self._get_mean_calls(age_ms)
            + regression.weights[age_class] * self._calls_deviation
            + regression.spreads[age_class] * UNIFORM_WIDTH * (random.random() - 0.5)
        )
        return own_calls + others if others > 0.0 else own_calls

    def get_slowness(self, now: Millis) -> float:
        """Returns the expected time of work there now, relative to its typical time."""
        weight = self._service.factor.weights[int(now - self.reported_at).bit_length()]
        factor = self._mean_factor + weight * self._factor_deviation
        return self._pace * factor

    def has_free_slot(self, now: Millis, own_calls: int) -> bool:
        return self.expect_calls(now, own_calls) + 1.0 <= self.slots

    def _get_mean_calls(self, age_ms: float) -> float:
        if age_ms <= NEWS_MAX_AGE_MS:
            return self._mean_calls
        return self._mean_calls * 0.5 ** (
            (age_ms - NEWS_MAX_AGE_MS) / MEAN_HALF_LIFE_MS
        )

    def _update_trust(
        self, report: ReportedLoad, is_refusal: bool, is_contradicted: bool
    ) -> None:
        if is_refusal and report.running + report.waiting < report.slots:
            self.trust *= TRUST_AFTER_REFUSAL
        elif is_contradicted:
            self.trust *= TRUST_AFTER_QUICK_CALL
        else:
            self.trust += TRUST_RESTORED * (1.0 - self.trust)
            return
        self._service.statistics.contradictions += 1

    def _record_expected(self, stated: int, own_calls: int, now: Millis) -> None:
        self.last_expected = self.expect_calls(now, own_calls)
        self.last_age_ms = now - self.reported_at
        statistics = self._service.statistics
        statistics.reports += 1
        statistics.error_calls += abs(self.last_expected - stated)
