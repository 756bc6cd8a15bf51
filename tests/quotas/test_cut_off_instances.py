"""Guards against an account that exceeds its quota while instances are cut off.

Parts of the fleet that can't hear each other each hold the account's tokens. Callers
still reach all of them. Instances exchange their reports as in a running fleet.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from skylarkcart.clock import Millis
from skylarkcart.fleet import REPORT_INTERVAL_MS, Fleet, OwnState
from skylarkcart.quotas import Quotas
from skylarkcart.types import InstanceId, ZoneId
from tests.quotas.test_quotas import (
    ACCOUNT,
    WINDOW_S,
    build_account,
    compute_limit,
)

CUT_AT_MS = 8_000.0
CUT_UNTIL_MS = 14_000.0
END_MS = 18_000.0

Cut = Callable[[int], object]


class Instance:
    """An instance's view of the fleet and of the account."""

    def __init__(self, *, index: int, zones: tuple[ZoneId, ...], rate: float) -> None:
        self.host = f"10.0.0.{index}"
        self.name = InstanceId(f"instance-{index}")
        self.fleet = Fleet(
            instance=self.name,
            zone=zones[index % len(zones)],
            zones=zones,
            host=self.host,
            incarnation=1,
            seed_hosts=("10.0.0.0", "10.0.0.1"),
            random=random.Random(index),
        )
        self.quotas = Quotas()
        self.quotas.configure(build_account(rate, rate), Millis(0))

    def build_report(self, *, to_host: str, now: Millis, wants_reply: bool):
        own = OwnState(
            revision=1,
            confirmed_age_ms=0.0,
            is_leaving=False,
            reaches_store=True,
            spending=self.quotas.build_report(now),
        )
        return self.fleet.build_report(
            own, to_host=to_host, now=now, wants_reply=wants_reply
        )

    def receive(self, report, now: Millis) -> None:
        for member in self.fleet.apply_report(report, now):
            self.quotas.apply_peer_spending(
                member.instance, member.incarnation, member.spending, now
            )

    def update_reachable_fraction(self, now: Millis) -> None:
        self.fleet.remove_lost_peers(now)
        reach = self.fleet.get_reach(now)
        self.quotas.update_reach(
            reach.fraction,
            silent=reach.silent,
            silent_since=reach.silent_since,
            now=now,
        )


class CutFleet:
    """Instances, of which some can't hear each other for some seconds.

    ``get_part`` returns the part of the fleet to which an instance belongs meanwhile.
    ``lost_ratio`` is the part of all reports that are lost.
    """

    def __init__(
        self,
        *,
        count: int,
        zone_count: int,
        rate: float,
        get_part: Cut,
        lost_ratio: float = 0.0,
    ) -> None:
        zones = tuple(ZoneId(f"zone-{number}") for number in range(zone_count))
        self.instances = [
            Instance(index=index, zones=zones, rate=rate) for index in range(count)
        ]
        self._indexes = {each.host: i for i, each in enumerate(self.instances)}
        self._get_part = get_part
        self._lost_ratio = lost_ratio
        self._random = random.Random(count)
        self.admitted: list[float] = []
        self.refused: list[float] = []

    def run(
        self,
        *,
        usual_per_s: float,
        hot_per_s: float,
        hot_at: float,
        seed: int,
        weights: list[float] | None = None,
    ) -> None:
        """Sends requests to the instances, more of them from ``hot_at`` on."""
        generator = random.Random(seed)
        rounds = [
            (REPORT_INTERVAL_MS * generator.random(), index)
            for index in range(len(self.instances))
        ]
        heapq.heapify(rounds)
        now = 0.0
        while now < END_MS:
            per_s = hot_per_s if hot_at <= now < hot_at + 6_500 else usual_per_s
            now += generator.expovariate(per_s) * 1_000
            while rounds[0][0] <= now:
                due, index = rounds[0]
                self._run_round(index, Millis(due))
                heapq.heapreplace(rounds, (due + REPORT_INTERVAL_MS, index))
            (instance,) = generator.choices(self.instances, weights)
            is_admitted = instance.quotas.try_spend(ACCOUNT, Millis(now))
            (self.admitted if is_admitted else self.refused).append(now)

    def count_busiest_window(self) -> int:
        start, highest = 0, 0
        for end, at in enumerate(self.admitted):
            while at - self.admitted[start] > WINDOW_S * 1_000:
                start += 1
            highest = max(highest, end - start + 1)
        return highest

    def _run_round(self, index: int, now: Millis) -> None:
        instance = self.instances[index]
        for host in instance.fleet.choose_report_targets(now):
            target = self._indexes[host]
            if not self._is_connected(index, target, now):
                continue
            report = instance.build_report(to_host=host, now=now, wants_reply=True)
            other = self.instances[target]
            other.receive(report, now)
            if report.wants_reply:
                reply = other.build_report(
                    to_host=instance.host, now=now, wants_reply=False
                )
                instance.receive(reply, now)
        instance.update_reachable_fraction(now)

    def _is_connected(self, first: int, second: int, now: Millis) -> bool:
        if self._random.random() < self._lost_ratio:
            return False
        if not CUT_AT_MS <= now < CUT_UNTIL_MS:
            return True
        return self._get_part(first) == self._get_part(second)


def isolate(*cut_off: int) -> Cut:
    """Each of these instances is cut off from all others."""
    return lambda index: index if index in cut_off else "rest"


CUTS = {
    "two single instances": isolate(3, 6),
    "three single instances": isolate(2, 3, 6),
    "four single instances": isolate(1, 2, 3, 6),
    "one availability zone": lambda index: index % 4 == 1,
    "halves": lambda index: index < 4,
    "all single instances": isolate(*range(8)),
}


@pytest.mark.parametrize("rate", [22.0, 27.0, 65.0])
@pytest.mark.parametrize("get_part", CUTS.values(), ids=CUTS)
@pytest.mark.parametrize("cut_after_ms", [-2_000.0, 100.0, 300.0, 1_500.0])
def test_account_stays_within_its_quota_while_instances_are_cut_off(
    rate: float, get_part: Cut, cut_after_ms: float
) -> None:
    """The account sends four times its rate from shortly before or after the cut."""
    for seed in range(3):
        fleet = CutFleet(count=8, zone_count=4, rate=rate, get_part=get_part)
        fleet.run(
            usual_per_s=0.55 * rate,
            hot_per_s=4.1 * rate,
            hot_at=CUT_AT_MS - cut_after_ms,
            seed=seed,
        )
        assert fleet.count_busiest_window() <= compute_limit(rate, rate)


@pytest.mark.parametrize(
    "get_part",
    [lambda i: i if i % 3 == 0 else "rest", lambda i: i % 4 == 1],
    ids=["every third instance", "one availability zone"],
)
def test_account_stays_within_its_quota_in_a_large_fleet(get_part: Cut) -> None:
    """With gossip, single members are not heard of for seconds; their zones are."""
    fleet = CutFleet(count=69, zone_count=4, rate=15.0, get_part=get_part)
    fleet.run(usual_per_s=8.0, hot_per_s=62.0, hot_at=CUT_AT_MS - 100, seed=1)
    assert fleet.count_busiest_window() <= compute_limit(15.0, 15.0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("lost_ratio", [0.0, 0.03, 0.1])
def test_lost_reports_refuse_no_account_within_its_rate(
    lost_ratio: float, seed: int
) -> None:
    """Tokens left to an instance whose report was lost come back with the next one."""
    fleet = CutFleet(
        count=8,
        zone_count=4,
        rate=22.0,
        get_part=lambda index: "whole",
        lost_ratio=lost_ratio,
    )
    fleet.run(
        usual_per_s=16.0,
        hot_per_s=16.0,
        hot_at=0,
        seed=seed,
        weights=[0.5, 0.3, 0.1, 0.05, 0.05, 0.0, 0.0, 0.0],
    )
    refused = [at for at in fleet.refused if at > 2_000]
    assert len(refused) <= 0.01 * 16 * (END_MS - 2_000) / 1_000


def test_tokens_come_back_when_a_cut_ends() -> None:
    """Otherwise an account that did nothing would be refused after each cut."""
    fleet = CutFleet(count=8, zone_count=4, rate=22.0, get_part=CUTS["halves"])
    fleet.run(usual_per_s=12.0, hot_per_s=12.0, hot_at=0, seed=1)
    assert not [at for at in fleet.refused if at > CUT_UNTIL_MS + 200]
    assert len(fleet.refused) <= 2
    levels = [each.quotas.get_level(ACCOUNT) for each in fleet.instances]
    assert min(levels) > 15


def test_cut_off_instance_notices_before_others_count_as_unresponsive() -> None:
    fleet = CutFleet(count=8, zone_count=4, rate=22.0, get_part=isolate(3))
    fleet.run(usual_per_s=12.0, hot_per_s=12.0, hot_at=0, seed=1)
    cut_off = fleet.instances[3].fleet
    heard_last = max(peer.reported_at for peer in cut_off.peers.values())
    assert cut_off.get_reach(Millis(heard_last + 700)).fraction == 1 / 8
