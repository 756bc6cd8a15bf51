"""Account rates across all instances, with late reports, restarts and partitions."""

from __future__ import annotations

import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.published import Account
from skylarkcart.quotas import Quotas
from skylarkcart.types import AccountId, InstanceId, Spending

ACCOUNT = AccountId("museum")

# In a window, the admitted requests of an account may exceed its rate and burst by a
# quarter and another 20 requests.
WINDOW_S = 5.0
MAX_EXCESS_RATIO = 0.25
MAX_EXCESS_REQUESTS = 20


def build_account(rate: float, burst: float) -> dict[AccountId, Account]:
    account = Account(
        account=ACCOUNT, keys=("key",), priority=0, rate_per_s=rate, burst=burst
    )
    return {ACCOUNT: account}


class SimulatedFleet:
    """Instances that exchange reports within the groups of a partition."""

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
                    target.apply_peer_spending(
                        InstanceId(f"instance-{i}"),
                        self.incarnation[i],
                        source.build_report(now),
                        now,
                    )
            reachable = self.group.count(self.group[i])
            source.reachable_fraction = reachable / len(self.quotas)

    def count_busiest_window(self) -> int:
        highest = 0
        start = 0
        for end, at in enumerate(self.admitted):
            while at - self.admitted[start] > WINDOW_S * 1_000:
                start += 1
            highest = max(highest, end - start + 1)
        return highest


def send_requests(
    fleet: SimulatedFleet,
    *,
    seconds: float,
    requests_per_s: float,
    seed: int,
    weights: list[float],
    before_round: object = None,
    round_ms: float = 200,
) -> int:
    """Sends requests to random instances and returns how many were refused."""
    generator = random.Random(seed)
    refused = 0
    now = 0.0
    next_report_at = 0.0
    while now < seconds * 1_000:
        now += generator.expovariate(requests_per_s) * 1_000
        while next_report_at <= now:
            if before_round is not None:
                before_round(next_report_at)
            fleet.report(Millis(next_report_at))
            next_report_at += round_ms
        index = generator.choices(range(len(weights)), weights)[0]
        refused += not fleet.request(index, Millis(now))
    return refused


def compute_limit(rate: float, burst: float) -> float:
    return (rate * WINDOW_S + burst) * (1 + MAX_EXCESS_RATIO) + MAX_EXCESS_REQUESTS


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("factor", [1.5, 7.5])
@pytest.mark.parametrize("round_ms", [200, 400])
def test_account_far_over_its_rate_stays_within_the_fleet_limit(
    seed: int, factor: float, round_ms: float
) -> None:
    """One account sends a multiple of its rate to all instances at once.

    Reports to other zones are sent only in every second round, thus the longer
    ``round_ms``.
    """
    fleet = SimulatedFleet(count=9, rate=60, burst=60)
    send_requests(
        fleet,
        seconds=20,
        requests_per_s=60 * factor,
        seed=seed,
        weights=[1.0] * 9,
        round_ms=round_ms,
    )
    assert fleet.count_busiest_window() <= compute_limit(60, 60)


@pytest.mark.parametrize("seed", range(5))
def test_account_at_twenty_times_its_rate_stays_within_the_limit(seed: int) -> None:
    """Too low a debt limit lets such an account exceed its limit."""
    fleet = SimulatedFleet(count=9, rate=60, burst=60)
    send_requests(fleet, seconds=20, requests_per_s=1_200, seed=seed, weights=[1.0] * 9)
    assert fleet.count_busiest_window() <= compute_limit(60, 60)


@pytest.mark.parametrize("seed", range(5))
def test_uneven_arrival_within_the_rate_is_rarely_refused(seed: int) -> None:
    """The load balancer hashes most of an account's requests to a few instances."""
    fleet = SimulatedFleet(count=9, rate=60, burst=60)
    weights = [0.5, 0.3, 0.1, 0.05, 0.05, 0.0, 0.0, 0.0, 0.0]
    refused = send_requests(
        fleet, seconds=30, requests_per_s=40, seed=seed, weights=weights
    )
    assert refused <= 0.005 * 30 * 40


@pytest.mark.parametrize("seed", range(5))
def test_partition_does_not_multiply_the_rate(seed: int) -> None:
    """Each side of a partition may use only its share of the rate."""
    fleet = SimulatedFleet(count=9, rate=60, burst=60)

    def partition(now: float) -> None:
        if now >= 5_000:
            fleet.group = [0, 0, 0, 1, 1, 1, 2, 2, 2]

    send_requests(
        fleet,
        seconds=20,
        requests_per_s=600,
        seed=seed,
        weights=[1.0] * 9,
        before_round=partition,
    )
    assert fleet.count_busiest_window() <= compute_limit(60, 60)


@pytest.mark.parametrize("seed", range(5))
def test_restart_of_all_instances_does_not_grant_a_second_burst(seed: int) -> None:
    """Processes that restart together don't know how much has been spent."""
    fleet = SimulatedFleet(count=9, rate=60, burst=60)

    def restart(now: float) -> None:
        if now == 8_000:
            for index in range(9):
                fleet.quotas[index] = Quotas()
                fleet.quotas[index].configure(build_account(60, 60), Millis(now))
                fleet.incarnation[index] += 1

    send_requests(
        fleet,
        seconds=16,
        requests_per_s=450,
        seed=seed,
        weights=[1.0] * 9,
        before_round=restart,
    )
    assert fleet.count_busiest_window() <= compute_limit(60, 60)


def test_lower_limit_reduces_the_remaining_tokens() -> None:
    quotas = Quotas(initial_fill_fraction=1.0)
    quotas.configure(build_account(100, 100), Millis(0))
    quotas.configure(build_account(2, 2), Millis(0))
    admitted = sum(quotas.try_spend(ACCOUNT, Millis(1)) for _ in range(50))
    assert admitted == 2


def test_retries_leave_tokens_to_new_requests() -> None:
    """Without a reserve, retries take the tokens of new requests.

    New requests can still be answered in time.
    """
    quotas = Quotas(initial_fill_fraction=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    retries = [quotas.try_spend(ACCOUNT, Millis(0), is_retry=True) for _ in range(20)]
    new = [quotas.try_spend(ACCOUNT, Millis(0)) for _ in range(20)]
    assert retries.count(True) == 7
    assert new.count(True) == 3


def test_retry_is_told_when_it_would_be_admitted() -> None:
    """The wait must include the reserve.

    Otherwise the caller is told to retry at once while all tokens are reserved.
    """
    quotas = Quotas(initial_fill_fraction=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    while quotas.try_spend(ACCOUNT, Millis(0), is_retry=True):
        pass
    due = Millis(quotas.estimate_wait_ms(ACCOUNT, is_retry=True) + 1)
    assert quotas.try_spend(ACCOUNT, due, is_retry=True)


def test_account_with_a_burst_of_one_admits_retries() -> None:
    """The reserve must not block accounts whose burst is too small for it."""
    quotas = Quotas(initial_fill_fraction=1.0)
    quotas.configure(build_account(1, 1), Millis(0))
    assert quotas.try_spend(ACCOUNT, Millis(0), is_retry=True)


def test_account_without_a_rate_is_not_limited() -> None:
    quotas = Quotas()
    quotas.configure(build_account(0, 0), Millis(0))
    assert all(quotas.try_spend(ACCOUNT, Millis(0)) for _ in range(1_000))


def build_spending(total: int, earlier: int = 0) -> dict[AccountId, Spending]:
    return {ACCOUNT: Spending(total=total, earlier=earlier)}


def test_restarted_process_is_not_deducted_twice() -> None:
    """The counters of a new incarnation start at 0 and are no new spending."""
    quotas = Quotas(initial_fill_fraction=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    peer = InstanceId("peer")
    quotas.apply_peer_spending(peer, 1, build_spending(100), Millis(0))
    quotas.apply_peer_spending(peer, 1, build_spending(104), Millis(0))
    quotas.apply_peer_spending(peer, 2, build_spending(3), Millis(0))
    assert quotas.get_level(ACCOUNT) == 6


def test_account_in_a_later_report_is_deducted_from_its_earlier_total() -> None:
    """Reports omit idle accounts, whose earlier spending must not count as new."""
    quotas = Quotas(initial_fill_fraction=1.0)
    quotas.configure(build_account(1, 10), Millis(0))
    peer = InstanceId("peer")
    quotas.apply_peer_spending(peer, 1, {}, Millis(0))
    quotas.apply_peer_spending(peer, 1, build_spending(502, earlier=500), Millis(0))
    assert quotas.get_level(ACCOUNT) == 8


def test_report_includes_only_recently_active_accounts() -> None:
    quotas = Quotas(initial_fill_fraction=1.0)
    quotas.configure(build_account(10, 10), Millis(0))
    quotas.build_report(Millis(0))
    quotas.try_spend(ACCOUNT, Millis(1))
    assert quotas.build_report(Millis(2)) == build_spending(1)
    for now in range(1_000, 7_000, 1_000):
        quotas.build_report(Millis(now))
    assert quotas.build_report(Millis(7_000)) == {}


def test_callers_that_return_after_a_restart_get_the_tokens_that_are_there() -> None:
    """All instances were ended; each caller has been refused or reset once.

    A new process has a quarter of a burst, less than what was reserved for requests
    that were never refused: it turned away all callers that came back.
    """
    quotas = Quotas()
    quotas.configure(build_account(rate=40.0, burst=40.0), Millis(0))
    admitted = [
        quotas.try_spend(ACCOUNT, Millis(100), is_retry=True) for _ in range(20)
    ]
    assert 6 <= sum(admitted) <= 10
    # A part of the bucket is left for requests that can still be answered in time.
    assert quotas.try_spend(ACCOUNT, Millis(100))


def test_reserve_grows_with_the_bucket() -> None:
    quotas = Quotas()
    quotas.configure(build_account(rate=40.0, burst=40.0), Millis(0))
    assert quotas.try_spend(ACCOUNT, Millis(2_000))
    admitted = [
        quotas.try_spend(ACCOUNT, Millis(2_000), is_retry=True) for _ in range(40)
    ]
    assert sum(admitted) == 27


def test_refunded_requests_cost_the_account_nothing_at_other_instances() -> None:
    """Refusals for want of room emptied the account's tokens everywhere else."""
    fleet = SimulatedFleet(count=2, rate=1.0, burst=20.0)
    fleet.report(Millis(0))
    level = fleet.quotas[1].get_level(ACCOUNT)
    for _ in range(15):
        assert fleet.quotas[0].try_spend(ACCOUNT, Millis(1))
        fleet.quotas[0].refund(ACCOUNT)
    fleet.report(Millis(2))
    assert fleet.quotas[1].get_level(ACCOUNT) == pytest.approx(level, abs=0.1)
