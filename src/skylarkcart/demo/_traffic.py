"""Sends the demo's requests and aggregates their outcomes."""

from __future__ import annotations

import collections
import random
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from skylarkcart.standins import Arrival, OpenLoopTraffic, Outcome, StandinDeployment
from skylarkcart.types import ServiceId

MAX_LATENCY_US = 60_000_000
MICROSECONDS_PER_MILLISECOND = 1000.0
REQUESTS_PER_FILING = 10


class ServiceStatistics:
    """Counts, latencies and failed checks of one service's requests.

    ``failures`` describes each failed check: a broken connection, a coverage that does
    not add up, an answer from another service's snapshot or a filing that did not run
    exactly once.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.answered = 0
        self.complete = 0
        self.covered_shards = 0
        self.total_shards = 0
        self.failures: list[str] = []
        self.refusals: collections.Counter[str] = collections.Counter()
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, 3)

    @property
    def coverage(self) -> float:
        return self.covered_shards / self.total_shards if self.total_shards else 1.0

    def get_latency_ms(self, percentile: float) -> float:
        value = self.latencies.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_MILLISECOND

    def record(self, outcome: Outcome) -> None:
        self.sent += 1
        if outcome.connection_error:
            self.failures.append(f"connection broke: {outcome.connection_error}")
            return
        elapsed_us = int(outcome.latency_ms * MICROSECONDS_PER_MILLISECOND)
        self.latencies.record_value(max(1, elapsed_us))
        if not outcome.is_answered:
            self.refusals[outcome.error] += 1
            return
        self.answered += 1
        self.complete += outcome.is_complete
        self.covered_shards += outcome.covered
        self.total_shards += outcome.total
        if outcome.covered + outcome.missing != outcome.total:
            self.failures.append(
                f"coverage of request {outcome.request_id} does not add up"
            )


class DemoTraffic:
    """Sends searches and filings of random accounts to random entry instances."""

    def __init__(self, *, deployment: StandinDeployment, seed: int) -> None:
        self.statistics_by_service: dict[ServiceId, ServiceStatistics] = (
            collections.defaultdict(ServiceStatistics)
        )
        self._deployment = deployment
        self._random = random.Random(seed)
        self._open_loop = OpenLoopTraffic(
            keys=deployment.keys,
            choose_address=self._choose_address,
            on_outcome=self._record_outcome,
        )

    @property
    def sent(self) -> int:
        return self._open_loop.sent

    async def run(
        self, *, services: tuple[ServiceId, ...], requests: int, rate_per_s: float
    ) -> None:
        """Sends ``requests`` in turn to the services and waits for all outcomes."""
        await self._open_loop.run(self._schedule(services, requests, rate_per_s))

    def _schedule(
        self, services: tuple[ServiceId, ...], requests: int, rate_per_s: float
    ) -> Iterator[Arrival]:
        accounts = list(self._deployment.keys)
        for number in range(requests):
            yield Arrival(
                due_s=number / rate_per_s,
                service=services[number % len(services)],
                account=self._random.choice(accounts),
                number=number,
                is_filing=number % REQUESTS_PER_FILING == 0,
            )

    def _choose_address(self, arrival: Arrival) -> str:
        return self._random.choice(self._deployment.entries).address

    def _record_outcome(self, outcome: Outcome) -> None:
        service = outcome.arrival.service
        statistics = self.statistics_by_service[service]
        statistics.record(outcome)
        if not outcome.is_answered:
            return
        if outcome.arrival.is_filing:
            self._check_receipt(statistics, outcome)
        elif not outcome.snapshot.startswith(f"{service}@"):
            statistics.failures.append(
                f"{service} answered from snapshot {outcome.snapshot}"
            )

    def _check_receipt(self, statistics: ServiceStatistics, outcome: Outcome) -> None:
        runs = sum(
            upstream.filings.get(outcome.request_id, 0)
            for upstream in self._deployment.upstream_server.upstreams.values()
        )
        if runs != 1:
            statistics.failures.append(f"filing {outcome.request_id} ran {runs} times")
