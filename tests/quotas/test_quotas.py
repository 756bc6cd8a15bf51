"""Rates over all instances: late reports, restarts and partitions."""

from __future__ import annotations

import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.published import Account
from skylarkcart.quotas import Quotas
from skylarkcart.types import AccountId, InstanceId, Spending

ACCOUNT = AccountId("museum")

# Bounds of the operators: in a window, requests of an account may exceed its rate and
# burst by a quarter and 20.
WINDOW_S = 5.0
OVERSHOOT = 0.25
SLACK = 20


def build_account(rate: float, burst: float) -> dict[AccountId, Account]:
    account = Account(
        account=ACCOUNT, keys=("key",), priority=0, rate_per_s=rate, burst=burst
    )
    return {ACCOUNT: account}


class Instances:
    """Instances that report to each other in rounds, some of them cut off."""

    def __init__(self, *, count: int, rate: float, burst: float) -> None:
        self.quotas = [Quotas() for _ in range(count)]
        for quotas in self.quotas:
            quotas.configure(build_account(rate, burst), Millis(0))
        self.group = [0] * count
        self.incarnation = [1] * count
        self.admitted: list[float] = []

    def request(self, index: int, now: Millis) -> bool:
        is_admitted = self.quotas[index].try_spend(ACCOUNT, now)
        if is_admitted:
            self.admitted.append(now)
        return is_admitted

    def report(self, now: Millis) -> None:
        for i, source in enumerate(self.quotas):
            for j, target in enumerate(self.quotas):
                if i != j and self.group[i] == self.group[j]:
                    target.hear(
                        InstanceId(f"instance-{i}"),
                        self.incarnation[i],
                        source.build_report(now),
                        now,
                    )
            same = self.group.count(self.group[i])
            source.reachable_part = same / len(self.quotas)

    def count_worst_window(self) -> int:
        worst = 0
        start = 0
        for end, at in enumerate(self.admitted):
            while at - self.admitted[start] > WINDOW_S * 1_000:
                start += 1
            worst = max(worst, end - start + 1)
        return worst


def drive(
    instances: Instances,
    *,
    seconds: float,
    per_s: float,
    seed: int,
    weights: list[float],
    on_round: object = None,
    round_ms: float = 200,
) -> int:
    """Sends requests at random instances; returns how many were refused."""
    generator = random.Random(seed)
    refused = 0
    now = 0.0
    next_round = 0.0
    while now < seconds * 1_000:
        now += generator.expovariate(per_s) * 1_000
        while next_round <= now:
            if on_round is not None:
                on_round(next_round)
            instances.report(Millis(next_round))
            next_round += round_ms
        index = generator.choices(range(len(weights)), weights)[0]
        refused += not instances.request(index, Millis(now))
    return refused


def bound(rate: float, burst: float) -> float:
    return (rate * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("factor", [1.5, 7.5])
@pytest.mark.parametrize("round_ms", [200, 400])
def test_account_far_over_its_rate_stays_within_the_fleet_bound(
    seed: int, factor: float, round_ms: float
) -> None:
    """One account that sends many times its rate to all instances at once.

    Instances of other zones hear of it in every second round.
    """
    instances = Instances(count=9, rate=60, burst=60)
    drive(
        instances,
        seconds=20,
        per_s=60 * factor,
        seed=seed,
        weights=[1.0] * 9,
        round_ms=round_ms,
    )
    assert instances.count_worst_window() <= bound(60, 60)


@pytest.mark.parametrize("seed", range(5))
def test_account_at_twenty_times_its_rate_stays_within_the_bound(seed: int) -> None:
    """Debt that was forgiven too soon once let such an account exceed the bound."""
    instances = Instances(count=9, rate=60, burst=60)
    drive(instances, seconds=20, per_s=1_200, seed=seed, weights=[1.0] * 9)
    assert instances.count_worst_window() <= bound(60, 60)


@pytest.mark.parametrize("seed", range(5))
def test_uneven_arrival_within_the_rate_is_hardly_refused(seed: int) -> None:
    """The balancer's hash sends most of an account's requests to few instances."""
    instances = Instances(count=9, rate=60, burst=60)
    weights = [0.5, 0.3, 0.1, 0.05, 0.05, 0.0, 0.0, 0.0, 0.0]
    refused = drive(instances, seconds=30, per_s=40, seed=seed, weights=weights)
    assert refused <= 0.005 * 30 * 40


@pytest.mark.parametrize("seed", range(5))
def test_partition_does_not_multiply_the_rate(seed: int) -> None:
    """Each side of a partition may use only its part of the rate."""
    instances = Instances(count=9, rate=60, burst=60)

    def partition(now: float) -> None:
        if now >= 5_000:
            instances.group = [0, 0, 0, 1, 1, 1, 2, 2, 2]

    drive(
        instances,
        seconds=20,
        per_s=600,
        seed=seed,
        weights=[1.0] * 9,
        on_round=partition,
    )
    assert instances.count_worst_window() <= bound(60, 60)


@pytest.mark.parametrize("seed", range(5))
def test_restart_of_all_instances_does_not_bring_a_second_burst(seed: int) -> None:
    """Processes killed together start with buckets of unknown level."""
    instances = Instances(count=9, rate=60, burst=60)

    def restart(now: float) -> None:
        if now == 8_000:
            for index in range(9):
                instances.quotas[index] = Quotas()
                instances.quotas[index].configure(build_account(60, 60), Millis(now))
                instances.incarnation[index] += 1

    drive(
        instances,
        seconds=16,
        per_s=450,
        seed=seed,
        weights=[1.0] * 9,
        on_round=restart,
    )
    assert instances.count_worst_window() <= bound(60, 60)


def test_lower_limit_binds_the_tokens_that_are_left() -> None:
    quotas = Quotas(initial_part=1.0)
    quotas.configure(build_account(100, 100), Millis(0))
    quotas.configure(build_account(2, 2), Millis(0))
    admitted = sum(quotas.try_spend(ACCOUNT, Millis(1)) for _ in range(50))
    assert admitted == 2


def test_returning_requests_leave_tokens_to_new_ones() -> None:
    """Callers that come back once took the tokens of those still in time."""
    quotas = Quotas(initial_part=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    returning = [
        quotas.try_spend(ACCOUNT, Millis(0), is_returning=True) for _ in range(20)
    ]
    fresh = [quotas.try_spend(ACCOUNT, Millis(0)) for _ in range(20)]
    assert returning.count(True) == 7
    assert fresh.count(True) == 3


def test_returning_request_is_told_when_it_would_be_admitted() -> None:
    """It was told to come back at once while the tokens left were reserved."""
    quotas = Quotas(initial_part=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    while quotas.try_spend(ACCOUNT, Millis(0), is_returning=True):
        pass
    due = Millis(quotas.estimate_wait_ms(ACCOUNT, is_returning=True) + 1)
    assert quotas.try_spend(ACCOUNT, due, is_returning=True)


def test_account_with_a_burst_of_one_admits_returning_requests() -> None:
    """The reserve must not shut out accounts whose burst is smaller than it."""
    quotas = Quotas(initial_part=1.0)
    quotas.configure(build_account(1, 1), Millis(0))
    assert quotas.try_spend(ACCOUNT, Millis(0), is_returning=True)


def test_account_without_a_rate_is_not_limited() -> None:
    quotas = Quotas()
    quotas.configure(build_account(0, 0), Millis(0))
    assert all(quotas.try_spend(ACCOUNT, Millis(0)) for _ in range(1_000))


def spent(total: int, earlier: int = 0) -> dict[AccountId, Spending]:
    return {ACCOUNT: Spending(total=total, earlier=earlier)}


def test_restarted_process_is_not_deducted_twice() -> None:
    """Counters of a new incarnation start anew and must not look like new spending."""
    quotas = Quotas(initial_part=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    peer = InstanceId("peer")
    quotas.hear(peer, 1, spent(100), Millis(0))
    quotas.hear(peer, 1, spent(104), Millis(0))
    quotas.hear(peer, 2, spent(3), Millis(0))
    assert quotas.get_level(ACCOUNT) == 6


def test_account_that_a_peer_names_anew_is_deducted_from_its_recent_total() -> None:
    """Reports leave out idle accounts; their old spending must not count as new."""
    quotas = Quotas(initial_part=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    peer = InstanceId("peer")
    quotas.hear(peer, 1, {}, Millis(0))
    quotas.hear(peer, 1, spent(502, earlier=500), Millis(0))
    assert quotas.get_level(ACCOUNT) == 8


def test_report_names_only_accounts_that_were_active_lately() -> None:
    quotas = Quotas(initial_part=1.0)
    quotas.configure(build_account(10, 10), Millis(0))
    quotas.build_report(Millis(0))
    quotas.try_spend(ACCOUNT, Millis(1))
    assert quotas.build_report(Millis(2)) == spent(1)
    for now in range(1_000, 7_000, 1_000):
        quotas.build_report(Millis(now))
    assert quotas.build_report(Millis(7_000)) == {}
