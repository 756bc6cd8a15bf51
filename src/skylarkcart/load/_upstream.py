"""The load of one upstream, and what is common to the upstreams of a service."""

from __future__ import annotations

import functools
import random

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.load._regression import (
    MAX_CLASSED_AGE_MS,
    LagRegression,
    get_age_class,
)
from skylarkcart.load._statistics import LoadStatistics

# Cautious priors: calls last for some tens of milliseconds, a queue about as long as a
# pause of its upstream, and a work factor for less than a call.
CALLS_HALF_LIFE_MS = 60.0
CALLS_VARIANCE = 1.0
QUEUED_HALF_LIFE_MS = 150.0
QUEUED_VARIANCE = 2.0
FACTOR_HALF_LIFE_MS = 20.0
FACTOR_VARIANCE = 0.04

# Weight of one report in the moving averages of an upstream and of its service. Work
# factors vary more than their means differ, so that an upstream's mean starts as if
# this many of its reports had stated that of its service.
UPSTREAM_MEAN_WEIGHT = 0.15
SERVICE_MEAN_WEIGHT = 0.05
FACTOR_MEAN_WEIGHT = 0.05
FACTOR_PRIOR_REPORTS = 5.0

# Without news for longer than this, the mean of others' calls halves in the half-life,
# so that an upstream that once was full is tried again.
NEWS_MAX_AGE_MS = 2_000.0
MEAN_HALF_LIFE_MS = 8_000.0

# The pace starts as if this many calls had taken their typical time. A call that met a
# pause moves it no further than one that took half a typical time longer.
PACE_PRIOR_CALLS = 10.0
PACE_WEIGHT = 0.03
MAX_PACE_CHANGE = 0.5
MIN_PACE = 0.5
MAX_PACE = 2.0

# What a report that contradicts the call's end leaves of the trust in the upstream's
# reports, and the trust that each other report restores.
TRUST_AFTER_CONTRADICTION = 0.5
TRUST_RESTORED = 0.02

# Weight of one report in the moving average of a service's utilization.
UTILIZATION_WEIGHT = 0.05

# Above this part of the slots in use, a few calls that others send at the same moment
# fill an upstream. Below it, spreading calls by chance only moves them from the best
# upstream to others.
BUSY_UTILIZATION = 0.2

# Stated calls for each slot, and a stated work factor, count up to these bounds, so
# that one absurd report doesn't rule the means.
MAX_CALLS_PER_SLOT = 8
MAX_COUNTED_FACTOR = 20.0


class ServiceLoad:
    """What the reports of a service's upstreams have in common."""

    def __init__(self, *, statistics: LoadStatistics | None = None) -> None:
        self.statistics = LoadStatistics() if statistics is None else statistics
        # Whether an upstream of the service has stated a work factor.
        self.is_reported = False
        # Waiting calls at which upstreams refuse further ones, as far as known.
        self.queue_limit = float("inf")
        self.mean_calls = 0.0
        self.mean_factor = 1.0
        # Part of the slots in use, according to the latest reports.
        self.utilization = 0.0
        self._reports = 0

    @property
    def is_busy(self) -> bool:
        """Whether calls of instances that choose at one moment may fill an upstream."""
        return self.is_reported and self.utilization >= BUSY_UTILIZATION

    # Services whose upstreams report nothing need no regressions.

    @functools.cached_property
    def calls(self) -> LagRegression:
        return LagRegression(half_life_ms=CALLS_HALF_LIFE_MS, variance=CALLS_VARIANCE)

    @functools.cached_property
    def queued_calls(self) -> LagRegression:
        """Weighs reports of a queue, which often has a cause that lasts longer."""
        return LagRegression(half_life_ms=QUEUED_HALF_LIFE_MS, variance=QUEUED_VARIANCE)

    @functools.cached_property
    def factor(self) -> LagRegression:
        return LagRegression(half_life_ms=FACTOR_HALF_LIFE_MS, variance=FACTOR_VARIANCE)

    def record(
        self, *, calls: float, factor: float, utilization: float, trust: float
    ) -> None:
        """Updates the means with a report's calls of others and work factor."""
        self.is_reported = True
        self._reports += 1
        self.utilization += max(UTILIZATION_WEIGHT, 1.0 / self._reports) * (
            utilization - self.utilization
        )
        weight = trust * max(SERVICE_MEAN_WEIGHT, 1.0 / (self._reports + 1.0))
        self.mean_calls += weight * (calls - self.mean_calls)
        self.mean_factor += weight * (factor - self.mean_factor)

    def record_queue(self, report: ReportedLoad, *, is_refusal: bool) -> None:
        """Learns how many calls may wait at an upstream."""
        if is_refusal and report.running >= report.slots:
            self.queue_limit = report.waiting
        elif report.waiting > self.queue_limit:
            self.queue_limit = report.waiting


class UpstreamLoad:
    """Estimates the calls and the work factor of one upstream for now."""

    def __init__(self, *, service: ServiceLoad, now: Millis, slots: int) -> None:
        self._service = service
        self._regression = service.calls
        self.slots = slots
        # When it was first considered, until it reports.
        self.reported_at = now
        self.has_report = False
        self.trust = 1.0
        # What was expected when the last report arrived, and the age of that estimate.
        self.last_expected = 0.0
        self.last_age_ms = 0.0
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
        service = self._service
        self._update_trust(report, is_refusal, is_contradicted)
        slots = report.slots
        stated = min(report.running + report.waiting, MAX_CALLS_PER_SLOT * slots)
        age_ms = now - self.reported_at
        self._record_error(stated, own_calls, now, age_ms)
        self.slots = slots
        calls = stated - own_calls
        if calls < 0:
            calls = 0
        if is_refusal:
            calls = max(calls, slots - own_calls)
        if self.trust < 1.0:
            calls += (1.0 - self.trust) * (service.mean_calls - calls)
        factor = report.work_factor or 1.0
        if factor > MAX_COUNTED_FACTOR:
            factor = MAX_COUNTED_FACTOR
        calls_change = calls - self._mean_calls
        factor_change = factor - self._mean_factor
        if self.has_report and age_ms >= 0.0:
            self._regression.record(self._calls_deviation, calls_change, age_ms=age_ms)
            service.factor.record(self._factor_deviation, factor_change, age_ms=age_ms)
        service.record(
            calls=calls,
            factor=factor,
            utilization=stated / slots,
            trust=self.trust,
        )
        if is_refusal or report.waiting > 0:
            service.record_queue(report, is_refusal=is_refusal)
            self._regression = service.queued_calls
        else:
            self._regression = service.calls
        self._reports += 1
        weight = 1.0 / (self._reports + 1.0)
        if weight < UPSTREAM_MEAN_WEIGHT:
            weight = UPSTREAM_MEAN_WEIGHT
        self._mean_calls += weight * calls_change
        self._calls_deviation = (1.0 - weight) * calls_change
        weight = 1.0 / (self._reports + FACTOR_PRIOR_REPORTS)
        if weight < FACTOR_MEAN_WEIGHT:
            weight = FACTOR_MEAN_WEIGHT
        self._mean_factor += weight * factor_change
        self._factor_deviation = (1.0 - weight) * factor_change
        self.reported_at = now
        self.has_report = True

    def record_pace(self, ratio: float) -> None:
        """Records the time of a call without a queue, relative to its typical time."""
        self._pace_calls += 1.0
        weight = max(PACE_WEIGHT, 1.0 / self._pace_calls)
        change = min(max(-MAX_PACE_CHANGE, ratio - self._pace), MAX_PACE_CHANGE)
        self._pace = min(max(MIN_PACE, self._pace + weight * change), MAX_PACE)

    def expect_calls(self, now: Millis, own_calls: int) -> float:
        """Returns the expected calls that run and wait there now, own ones included."""
        age_ms = now - self.reported_at
        weight = self._regression.weights[get_age_class(age_ms)]
        others = self._get_mean_calls(age_ms) + weight * self._calls_deviation
        return own_calls + max(0.0, others)

    def draw(
        self, now: Millis, own_calls: int, random: random.Random
    ) -> tuple[float, float]:
        """Returns a draw of the calls that are there now, and the slowness.

        The calls are drawn from their distribution for now, with own ones included.
        """
        age_ms = now - self.reported_at
        mean = self._mean_calls
        if age_ms < MAX_CLASSED_AGE_MS:
            # Written out, as this runs for each upstream that is compared.
            age_class = int(age_ms).bit_length()
        else:
            age_class = get_age_class(age_ms)
            mean = self._get_mean_calls(age_ms)
        regression = self._regression
        others = (
            mean
            + regression.weights[age_class] * self._calls_deviation
            + regression.spreads[age_class] * (random.random() - 0.5)
        )
        factor = self._mean_factor + (
            self._service.factor.weights[age_class] * self._factor_deviation
        )
        calls = own_calls + others if others > 0.0 else own_calls
        return calls, self._pace * factor

    def get_slowness(self, now: Millis) -> float:
        """Returns the expected time of work there now, relative to its typical time."""
        weight = self._service.factor.weights[get_age_class(now - self.reported_at)]
        factor = self._mean_factor + weight * self._factor_deviation
        return self._pace * factor

    def _get_mean_calls(self, age_ms: float) -> float:
        if age_ms <= NEWS_MAX_AGE_MS:
            return self._mean_calls
        return self._mean_calls * 0.5 ** (
            (age_ms - NEWS_MAX_AGE_MS) / MEAN_HALF_LIFE_MS
        )

    def _update_trust(
        self, report: ReportedLoad, is_refusal: bool, is_contradicted: bool
    ) -> None:
        hides_queue = is_refusal and report.running + report.waiting < report.slots
        if hides_queue or is_contradicted:
            self.trust *= TRUST_AFTER_CONTRADICTION
            self._service.statistics.contradictions += 1
        elif self.trust < 1.0:
            self.trust = min(1.0, self.trust + TRUST_RESTORED)

    def _record_error(
        self, stated: int, own_calls: int, now: Millis, age_ms: float
    ) -> None:
        self.last_expected = self.expect_calls(now, own_calls)
        self.last_age_ms = age_ms
        statistics = self._service.statistics
        statistics.reports += 1
        statistics.error_calls += abs(self.last_expected - stated)
