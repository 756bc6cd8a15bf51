"""Fair sharing, early refusal and bounds of the queue."""

from __future__ import annotations

import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.fairness import (
    Abandon,
    AdaptiveCapacity,
    Admitted,
    CapacityPolicy,
    Complete,
    Enqueue,
    Expire,
    FairnessPolicy,
    FairQueue,
    Outcome,
    Queued,
    RefusalReason,
    Refused,
)
from skylarkcart.measure import _fair_queue_simulation
from skylarkcart.types import AccountId, RequestId
from skylarkcart.verdict import RunVerdict


def build_queue(*, capacity: float = 4, bound: int = 8, **weights: float) -> FairQueue:
    bounds = CapacityPolicy(initial=capacity, minimum=1, maximum=capacity)
    policy = FairnessPolicy(max_queued_per_account=bound)
    queue = FairQueue(policy=policy, capacity=bounds, now=Millis(0))
    named = {AccountId(account): weight for account, weight in weights.items()}
    queue.configure(weights=named, capacity=bounds)
    return queue


def enqueue(
    queue: FairQueue,
    name: str,
    *,
    cost: int = 1,
    deadline: float = 1e6,
    now: float = 0,
):
    """Enqueues a request named by its account and a number, such as ``a1``."""
    event = Enqueue(
        request_id=RequestId(name),
        account=AccountId(name[0]),
        cost=cost,
        deadline=Millis(deadline),
    )
    return queue.handle(event, Millis(now))


def run_serially(queue: FairQueue, first: str, count: int) -> list[str]:
    """Completes one request after another and returns the order of admission."""
    order, running = [], first
    for _ in range(count):
        actions = queue.handle(Complete(request_id=RequestId(running)), Millis(0))
        running = next(a.request_id for a in actions if isinstance(a, Admitted))
        order.append(running[0])
    return order


def test_weights_divide_the_capacity_in_any_order_of_arrival():
    queue = build_queue(capacity=1, bound=64, a=3.0, b=1.0)
    enqueue(queue, "z0")
    for number in range(40):
        enqueue(queue, f"b{number}")
    for number in range(40):
        enqueue(queue, f"a{number}")
    assert run_serially(queue, "z0", 40).count("a") == pytest.approx(30, abs=1)


def test_requests_are_charged_by_their_number_of_shards():
    queue = build_queue(capacity=1, bound=64)
    enqueue(queue, "z0")
    for number in range(40):
        enqueue(queue, f"w{number}", cost=10)
        enqueue(queue, f"n{number}", cost=1)
    order = run_serially(queue, "z0", 33)
    assert order.count("n") == pytest.approx(30, abs=1)


def test_idle_time_gives_an_account_no_advantage():
    queue = build_queue(capacity=1, bound=64)
    enqueue(queue, "a0")
    for number in range(1, 31):
        enqueue(queue, f"a{number}")
    run_serially(queue, "a0", 10)
    for number in range(20):
        enqueue(queue, f"b{number}")
    assert run_serially(queue, "a10", 10).count("b") <= 6


def test_request_that_would_wait_too_long_is_refused_immediately_as_not_run():
    queue = build_queue(capacity=1)
    enqueue(queue, "a0")
    queue.handle(Complete(request_id=RequestId("a0")), Millis(20))
    enqueue(queue, "a1", now=20)
    (queued,) = enqueue(queue, "a2", now=20)
    assert isinstance(queued, Queued)
    (refused,) = enqueue(queue, "a3", deadline=55, now=20)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.WAIT_EXCEEDS_DEADLINE
    assert refused.verdict is RunVerdict.NOT_RUN
    assert refused.retry_after_ms >= 1


def test_a_request_never_starts_after_its_deadline():
    queue = build_queue(capacity=1)
    enqueue(queue, "a0")
    enqueue(queue, "a1", deadline=50)
    enqueue(queue, "a2", deadline=500)
    assert queue.next_expiry == 50
    (refused,) = queue.handle(Expire(), Millis(50))
    assert refused.reason is RefusalReason.DEADLINE_IN_QUEUE
    (admitted,) = queue.handle(Complete(request_id=RequestId("a0")), Millis(60))
    assert admitted == Admitted(request_id=RequestId("a2"), waited_ms=60)


def test_full_queue_of_one_account_does_not_affect_another():
    queue = build_queue(capacity=1, bound=3)
    enqueue(queue, "a0")
    replies = [enqueue(queue, f"a{number}")[0] for number in range(1, 6)]
    assert [isinstance(reply, Refused) for reply in replies] == [False] * 3 + [True] * 2
    assert isinstance(enqueue(queue, "b1")[0], Queued)


def test_capacity_shrinks_on_shedding_down_to_its_minimum():
    bounds = CapacityPolicy(initial=100, minimum=20, maximum=100)
    queue = FairQueue(policy=FairnessPolicy(), capacity=bounds, now=Millis(0))
    for number in range(2_000):
        enqueue(queue, f"a{number}", now=number * 10, deadline=1e9)
        complete = Complete(request_id=RequestId(f"a{number}"), outcome=Outcome.SHED)
        queue.handle(complete, Millis(number * 10 + 5))
    assert queue.capacity == 20


def test_capacity_recovers_when_the_service_remains_slower():
    bounds = CapacityPolicy(initial=100, minimum=10, maximum=100)
    capacity = AdaptiveCapacity(policy=bounds, now=Millis(0))
    lowest = 100.0
    for number in range(4_000):
        capacity.record_saturated()
        latency_ms = 10.0 if number < 1_000 else 40.0
        capacity.record(latency_ms=latency_ms, is_shed=False, now=Millis(number * 10.0))
        lowest = min(lowest, capacity.current)
    assert lowest == 10
    assert capacity.current == 100


def test_memory_is_bounded_by_queued_and_running_requests():
    source = random.Random(5)
    queue = build_queue(capacity=8, bound=16)
    running: list[RequestId] = []
    for number in range(20_000):
        name = f"{chr(97 + source.randrange(12))}{number}"
        actions = enqueue(queue, name, now=number, deadline=number + 10_000)
        if source.random() < 0.1:
            actions += queue.handle(Abandon(request_id=RequestId(name)), Millis(number))
        if running and source.random() < 0.9:
            done = Complete(request_id=running.pop())
            actions += queue.handle(done, Millis(number))
        running += [a.request_id for a in actions if isinstance(a, Admitted)]
        assert queue.in_flight == len(running) <= 8
    assert queue.queued <= 12 * 16
    assert len(queue._account_queues) <= 12
    assert len(queue._deadlines) <= 2 * queue.queued + 65


@pytest.mark.parametrize("seed", [1, 2])
def test_noisy_account_does_not_reduce_the_answers_of_others(seed):
    quiet, loud = _fair_queue_simulation.build_equal_demands(
        0.7
    ), _fair_queue_simulation.build_equal_demands(0.7, noisy_rate_factor=10.0)
    retained_ratios = _fair_queue_simulation.measure_retained_ratios(
        "fair", quiet, loud, seed=seed, duration_ms=4_000
    )
    assert min(retained_ratios.values()) >= 0.99
    retained_ratios = _fair_queue_simulation.measure_retained_ratios(
        "fifo", quiet, loud, seed=seed, duration_ms=4_000
    )
    assert min(retained_ratios.values()) < 0.5


def test_goodput_holds_at_one_and_a_half_times_the_capacity():
    peak = _fair_queue_simulation.simulate_load("fair", 1.0, seed=3, duration_ms=5_000)
    overload = _fair_queue_simulation.simulate_load(
        "fair", 1.5, seed=3, duration_ms=5_000
    )
    assert overload.goodput_ratio >= 0.9 * peak.goodput_ratio
    assert overload.late_ratio < 0.01
