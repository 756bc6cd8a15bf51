"""The budget for extra calls of a service across all instances."""

from __future__ import annotations

import random

import pytest

from skylarkcart.budgets import ExtraCallBudget, ExtraCallKind, FleetShare, RequestRate
from skylarkcart.clock import Millis

RATIO = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0


def build_budget(now: float = 0.0, *, min_fraction: float = 1.0) -> ExtraCallBudget:
    return ExtraCallBudget(
        ratio=RATIO,
        slack=SLACK,
        window_ms=WINDOW_MS,
        min_fraction=min_fraction,
        now=Millis(now),
    )


def build_share(size: int) -> FleetShare:
    """The share of an instance whose traffic is that of the others."""
    return FleetShare(size=size, traffic=1.0 / size)


@pytest.mark.parametrize("seed", range(10))
def test_fleet_stays_within_the_limit_in_every_window(seed: int) -> None:
    """Every call fails, so that each instance uses its whole budget."""
    generator = random.Random(seed)
    fleet = [build_budget(min_fraction=1.0 - generator.random()) for _ in range(8)]
    requests: list[float] = []
    extra_calls: list[float] = []
    now = 0.0
    while now < 40_000:
        now += generator.expovariate(0.045)
        budget = generator.choice(fleet)
        budget.record_request(Millis(now))
        requests.append(now)
        if budget.try_spend(ExtraCallKind.RETRY, now=Millis(now), share=build_share(8)):
            extra_calls.append(now)
    for end in range(int(WINDOW_MS), 40_000, 250):
        start = end - WINDOW_MS
        requested = sum(start < at <= end for at in requests)
        sent = sum(start < at <= end for at in extra_calls)
        assert sent <= RATIO * requested + SLACK


def test_hedges_leave_budget_for_retries() -> None:
    """Hedges must leave budget to retries, without which a request fails."""
    budget = build_budget()
    now = Millis(20_000)
    for _ in range(100):
        budget.record_request(now)
    while budget.try_spend(ExtraCallKind.HEDGE, now=now, share=build_share(8)):
        pass
    assert budget.try_spend(ExtraCallKind.RETRY, now=now, share=build_share(8))


def test_restart_does_not_grant_the_whole_slack_again() -> None:
    """The previous process may have used its share just before it was killed."""
    budget = build_budget(now=1_000)
    spent = 0
    while budget.try_spend(
        ExtraCallKind.RETRY, now=Millis(1_001), share=build_share(1)
    ):
        spent += 1
    assert spent <= SLACK / 2


def test_extra_calls_expire_after_the_window() -> None:
    budget = build_budget()
    now = Millis(30_000)
    while budget.try_spend(ExtraCallKind.RETRY, now=now, share=build_share(8)):
        pass
    assert budget.get_unused_fraction(now=now, share=build_share(8)) < 0.2
    assert budget.get_unused_fraction(now=Millis(41_000), share=build_share(8)) == 1.0


@pytest.mark.parametrize("seed", range(10))
def test_large_fleet_uses_nearly_all_of_its_budget_and_no_more(seed: int) -> None:
    """Rounding fractions up at random must not exceed the limit of the fleet."""
    generator = random.Random(seed)
    fleet_size, slack = 80, 200.0
    fleet = [
        ExtraCallBudget(
            ratio=RATIO,
            slack=slack,
            window_ms=WINDOW_MS,
            min_fraction=1.0 - generator.random(),
            now=Millis(-2 * WINDOW_MS),
        )
        for _ in range(fleet_size)
    ]
    requested = sent = 0
    for number in range(560):
        now = Millis(number * WINDOW_MS / 560)
        budget = generator.choice(fleet)
        budget.record_request(now)
        requested += 1
        for _ in range(3):
            sent += budget.try_spend(
                ExtraCallKind.RETRY, now=now, share=build_share(fleet_size)
            )
    limit = RATIO * requested + slack
    assert 0.8 * limit <= sent <= limit


@pytest.mark.parametrize("seed", range(10))
def test_large_fleet_uses_the_fractions_of_its_budget(seed: int) -> None:
    """Rounding down wastes budget: 80 instances with 3.7 calls make 240, not 296."""
    generator = random.Random(seed)
    fleet_size, slack, requests = 80, 200.0, 560
    fleet = [
        ExtraCallBudget(
            ratio=RATIO,
            slack=slack,
            window_ms=WINDOW_MS,
            min_fraction=1.0 - generator.random(),
            now=Millis(-2 * WINDOW_MS),
        )
        for _ in range(fleet_size)
    ]
    for number in range(requests):
        now = Millis(number * WINDOW_MS / requests)
        fleet[number % fleet_size].record_request(now)
    now = Millis(WINDOW_MS - 1)
    sent = sum(
        budget.try_spend(ExtraCallKind.RETRY, now=now, share=build_share(fleet_size))
        for budget in fleet
        for _ in range(10)
    )
    limit = RATIO * requests + slack
    assert 0.9 * limit <= sent <= limit


@pytest.mark.parametrize("seed", range(5))
def test_instances_with_callers_use_the_budget_of_idle_ones(seed: int) -> None:
    """A large fleet, in which the load balancer's hash leaves most without callers.

    75 callers at 195 instances, and each call fails: with equal shares, two thirds of
    the slack were never used, and searches failed for lack of retries.
    """
    generator = random.Random(seed)
    fleet_size, slack, requests_per_s = 195, 430.0, 50.0
    callers = [generator.randrange(fleet_size) for _ in range(75)]
    started_at = Millis(-2 * WINDOW_MS)
    budgets = [
        ExtraCallBudget(
            ratio=RATIO,
            slack=slack,
            window_ms=WINDOW_MS,
            min_fraction=1.0 - generator.random(),
            now=started_at,
        )
        for _ in range(fleet_size)
    ]
    rates = [
        RequestRate(window_ms=WINDOW_MS, now=started_at) for _ in range(fleet_size)
    ]
    extra_calls: list[float] = []
    requests: list[float] = []
    now = float(started_at)
    while now < 30_000.0:
        now += generator.expovariate(requests_per_s / 1_000.0)
        requests.append(now)
        instance = generator.choice(callers)
        budgets[instance].record_request(Millis(now))
        rates[instance].record(Millis(now))
        total = sum(rate.get_per_s(Millis(now)) or 0.0 for rate in rates)
        own = rates[instance].get_per_s(Millis(now)) or 0.0
        traffic = own / total if total else 1.0 / fleet_size
        share = FleetShare(size=fleet_size, traffic=traffic)
        for _ in range(4):
            if budgets[instance].try_spend(
                ExtraCallKind.RETRY, now=Millis(now), share=share
            ):
                extra_calls.append(now)
    for end in range(10_000, 30_000, 500):
        sent = sum(end - WINDOW_MS < at <= end for at in extra_calls)
        requested = sum(end - WINDOW_MS < at <= end for at in requests)
        limit = RATIO * requested + slack
        assert 0.6 * limit <= sent <= limit


def test_instance_without_requests_keeps_a_part_of_an_equal_share() -> None:
    idle = FleetShare(size=10, traffic=0.0)
    equal = FleetShare(size=10, traffic=0.1)
    assert 0.0 < idle.fraction < equal.fraction < 0.1
