"""Simulates the fair queue and a FIFO queue with the same arrivals.

    python -m skylarkcart.measure._fair_queue_simulation --seed=1

The simulated back end runs ``BACKEND_SHARDS`` shard calls at full speed. With more in
flight, calls slow down in proportion, so that throughput doesn't rise. Time is
simulated.
"""

from __future__ import annotations

import collections
import heapq
import random
from collections.abc import Sequence
from typing import Protocol

import msgspec
from absl import app, flags

from skylarkcart.clock import Millis
from skylarkcart.fairness import (
    Admitted,
    CapacityPolicy,
    Complete,
    Enqueue,
    Expire,
    FairAction,
    FairnessPolicy,
    FairQueue,
    RefusalReason,
    Refused,
)
from skylarkcart.types import AccountId, RequestId

BACKEND_SHARDS = 64
BASE_LATENCY_MS = 10.0
DEADLINE_MS = 200.0
CAPACITY_POLICY = CapacityPolicy(initial=48, minimum=8, maximum=256)
FIFO_BOUND = 2048
WARM_UP_MS = 2_000.0
SHARDS_PER_MS = BACKEND_SHARDS / BASE_LATENCY_MS

FLAGS = flags.FLAGS


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """Offered load of one account.

    ``load`` is a fraction of the back end's capacity, ``cost`` the shard calls of one
    request.
    """

    account: str
    load: float
    cost: int
    weight: float = 1.0


class AccountTotals(msgspec.Struct, kw_only=True):
    """Counts of one account's requests that arrived after the warm-up."""

    requests: int = 0
    on_time: int = 0
    refused: int = 0
    expired_in_queue: int = 0
    late: int = 0
    on_time_shard_calls: int = 0


class Queue(Protocol):
    """The interface of a simulated queue."""

    def handle(self, event: object, now: Millis) -> list[FairAction]: ...


class FifoQueue:
    """The baseline: admits all accounts in arrival order, up to a fixed capacity."""

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._waiting: collections.deque[Enqueue] = collections.deque()
        self._running: dict[RequestId, int] = {}

    def handle(self, event: object, now: Millis) -> list[FairAction]:
        if isinstance(event, Enqueue):
            self._waiting.append(event)
        elif isinstance(event, Complete):
            self._running.pop(event.request_id)
        actions: list[FairAction] = []
        while self._waiting and self._fits(self._waiting[0].cost):
            head = self._waiting.popleft()
            self._running[head.request_id] = head.cost
            actions.append(Admitted(request_id=head.request_id, waited_ms=0.0))
        return actions

    def _fits(self, cost: int) -> bool:
        return sum(self._running.values()) + cost <= self._capacity


def simulate(
    queue: Queue, demands: Sequence[Demand], *, seed: int, duration_ms: float
) -> dict[str, AccountTotals]:
    """Runs Poisson arrivals through a queue and returns the totals of each account."""
    return _Simulation(queue, demands, seed=seed, duration_ms=duration_ms).run()


class _Simulation:
    def __init__(
        self, queue: Queue, demands: Sequence[Demand], *, seed: int, duration_ms: float
    ) -> None:
        self._queue = queue
        self._duration_ms = duration_ms
        self._service_times = random.Random(f"{seed}/service")
        self._in_flight = 0
        self._requests: dict[RequestId, tuple[Enqueue, Millis]] = {}
        self.totals = {demand.account: AccountTotals() for demand in demands}
        self._events: list[tuple[float, int, object]] = []
        self._number = 0
        for demand in demands:
            self._schedule_arrivals(demand, random.Random(f"{seed}/{demand.account}"))

    def run(self) -> dict[str, AccountTotals]:
        while self._events:
            at_ms, _, event = heapq.heappop(self._events)
            now = Millis(at_ms)
            if isinstance(event, Enqueue):
                self._record_arrival(event, now)
            elif isinstance(event, Complete):
                self._record_completion(event, now)
            self._apply_actions(self._queue.handle(event, now), now)
        return self.totals

    def _schedule_arrivals(self, demand: Demand, generator: random.Random) -> None:
        rate_per_ms = demand.load * SHARDS_PER_MS / demand.cost
        at_ms = generator.expovariate(rate_per_ms)
        while at_ms < self._duration_ms:
            self._number += 1
            event = Enqueue(
                request_id=RequestId(str(self._number)),
                account=AccountId(demand.account),
                cost=demand.cost,
                deadline=Millis(at_ms + DEADLINE_MS),
            )
            self._schedule_event(at_ms, event)
            self._schedule_event(at_ms + DEADLINE_MS, Expire())
            at_ms += generator.expovariate(rate_per_ms)

    def _schedule_event(self, at_ms: float, event: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, event))

    def _record_arrival(self, event: Enqueue, now: Millis) -> None:
        self._requests[event.request_id] = (event, now)
        if now >= WARM_UP_MS:
            self.totals[event.account].requests += 1

    def _record_completion(self, event: Complete, now: Millis) -> None:
        request, arrived_at = self._requests.pop(event.request_id)
        self._in_flight -= request.cost
        if arrived_at < WARM_UP_MS:
            return
        account_totals = self.totals[request.account]
        if now > request.deadline:
            account_totals.late += 1
            return
        account_totals.on_time += 1
        account_totals.on_time_shard_calls += request.cost

    def _apply_actions(self, actions: list[FairAction], now: Millis) -> None:
        for action in actions:
            if isinstance(action, Admitted):
                self._start_request(action.request_id, now)
            elif isinstance(action, Refused):
                self._record_refusal(action)

    def _record_refusal(self, action: Refused) -> None:
        request, arrived_at = self._requests.pop(action.request_id)
        if arrived_at < WARM_UP_MS:
            return
        account_totals = self.totals[request.account]
        account_totals.refused += 1
        if action.reason is RefusalReason.DEADLINE_IN_QUEUE:
            account_totals.expired_in_queue += 1

    def _start_request(self, request_id: RequestId, now: Millis) -> None:
        request, _ = self._requests[request_id]
        self._in_flight += request.cost
        slowdown = max(1.0, self._in_flight / BACKEND_SHARDS)
        jitter = self._service_times.uniform(0.8, 1.2)
        self._schedule_event(
            now + BASE_LATENCY_MS * jitter * slowdown, Complete(request_id=request_id)
        )


def build_fair_queue(demands: Sequence[Demand]) -> FairQueue:
    queue = FairQueue(policy=FairnessPolicy(), capacity=CAPACITY_POLICY, now=Millis(0))
    weights = {AccountId(demand.account): demand.weight for demand in demands}
    queue.configure(weights=weights, capacity=CAPACITY_POLICY)
    return queue


def build_fifo_queue(demands: Sequence[Demand]) -> FifoQueue:
    return FifoQueue(capacity=BACKEND_SHARDS)


QUEUE_BUILDERS = {"fair": build_fair_queue, "fifo": build_fifo_queue}
LOAD_RATIOS = (0.5, 0.7, 0.9, 1.0, 1.2, 1.5)


def build_equal_demands(load: float, *, noisy_rate_factor: float = 1.0) -> list[Demand]:
    """Returns eight accounts of equal load.

    The first one sends at ``noisy_rate_factor`` times its rate.
    """
    return [
        Demand(
            account=f"a{i}",
            load=load / 8 * (noisy_rate_factor if i == 0 else 1.0),
            cost=4 + 2 * i,
        )
        for i in range(8)
    ]


def build_mixed_demands(large_load_ratio: float) -> list[Demand]:
    """Returns one account with queries of 40 shards and seven with queries of 2."""
    small = [Demand(account=f"s{i}", load=0.05, cost=2) for i in range(1, 8)]
    return [Demand(account="large", load=large_load_ratio, cost=40, weight=4.0), *small]


def measure_retained_ratios(
    name: str, quiet: list[Demand], loud: list[Demand], *, seed: int, duration_ms: float
) -> dict[str, float]:
    """Returns the on-time requests of each other account, loud run over quiet run.

    The first account of ``quiet`` is the one whose load rises in ``loud``.
    """
    build_queue = QUEUE_BUILDERS[name]
    quiet_totals = simulate(
        build_queue(quiet), quiet, seed=seed, duration_ms=duration_ms
    )
    loud_totals = simulate(build_queue(loud), loud, seed=seed, duration_ms=duration_ms)
    others = [demand.account for demand in quiet[1:]]
    return {
        other: loud_totals[other].on_time / max(1, quiet_totals[other].on_time)
        for other in others
    }


class LoadFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Results at one load.

    ``goodput_ratio`` is a fraction of the capacity, the others are fractions of the
    requests.
    """

    goodput_ratio: float
    late_ratio: float
    refused_ratio: float
    expired_ratio: float


def simulate_load(
    name: str, load: float, *, seed: int, duration_ms: float
) -> LoadFigures:
    """Runs eight accounts whose total load is ``load`` times the capacity."""
    demands = build_equal_demands(load)
    totals = simulate(
        QUEUE_BUILDERS[name](demands), demands, seed=seed, duration_ms=duration_ms
    ).values()
    requests = sum(account_totals.requests for account_totals in totals)
    shard_calls = sum(account_totals.on_time_shard_calls for account_totals in totals)
    return LoadFigures(
        goodput_ratio=shard_calls / (SHARDS_PER_MS * (duration_ms - WARM_UP_MS)),
        late_ratio=sum(account_totals.late for account_totals in totals) / requests,
        refused_ratio=sum(account_totals.refused for account_totals in totals)
        / requests,
        expired_ratio=sum(account_totals.expired_in_queue for account_totals in totals)
        / requests,
    )


def build_report(*, seed: int, duration_ms: float) -> list[str]:
    """Returns the results of all simulations, one line each."""
    lines = []
    for name in QUEUE_BUILDERS:
        options = {"seed": seed, "duration_ms": duration_ms}
        retained_ratios = measure_retained_ratios(
            name,
            build_equal_demands(0.7),
            build_equal_demands(0.7, noisy_rate_factor=10.0),
            **options,
        )
        lines.append(
            f"noisy account x10, {name}: "
            f"worst retained {min(retained_ratios.values()):.4f}"
        )
        retained_ratios = measure_retained_ratios(
            name, build_mixed_demands(0.5), build_mixed_demands(3.0), **options
        )
        lines.append(
            f"large against small queries, {name}: "
            f"worst retained {min(retained_ratios.values()):.4f}"
        )
        lines += _build_load_report(name, **options)
    return lines


def _build_load_report(name: str, *, seed: int, duration_ms: float) -> list[str]:
    results = {
        load: simulate_load(name, load, seed=seed, duration_ms=duration_ms)
        for load in LOAD_RATIOS
    }
    lines = [
        f"load {load:.1f}, {name}: goodput {figures.goodput_ratio:.3f} late "
        f"{figures.late_ratio:.3f} refused {figures.refused_ratio:.3f} "
        f"of these expired in queue {figures.expired_ratio:.3f}"
        for load, figures in results.items()
    ]
    peak = max(figures.goodput_ratio for figures in results.values())
    overload_ratio = results[LOAD_RATIOS[-1]].goodput_ratio / peak
    return [*lines, f"goodput at 150% over peak, {name}: {overload_ratio:.4f}"]


def main(argv: list[str]) -> None:
    del argv
    for line in build_report(seed=FLAGS.seed, duration_ms=FLAGS.duration_ms):
        print(line)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of arrivals and service times.")
    flags.DEFINE_float("duration_ms", 20_000.0, "Simulated time of each run.")
    app.run(main)
