"""Sums of extra calls by collectors, and the budget that a fleet shares by them."""

from __future__ import annotations

import random

import pytest

from skylarkcart.budgets import (
    ExtraCallBudget,
    ExtraCallClaim,
    ExtraCallKind,
    FleetShare,
    FleetUsage,
    InstanceUsage,
    ServiceUsage,
    SharedUsage,
    UsageCollector,
    UsageView,
    ZoneUsage,
    decode_usage,
    encode_usage,
    hash_service,
)
from skylarkcart.clock import Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.types import InstanceId, ServiceId, ZoneId

WINDOW_MS = 10_000.0
SHARD = ServiceId("shard-1")
ZONES = (ZoneId("zone-a"), ZoneId("zone-b"))


def build_collector(zone: ZoneId = ZONES[0], name: str = "c-1") -> UsageCollector:
    return UsageCollector(instance=InstanceId(name), zone=zone, window_ms=WINDOW_MS)


def build_view(name: str, incarnation: int = 1) -> UsageView:
    return UsageView(instance=InstanceId(name), incarnation=incarnation)


def build_usage(
    view: UsageView, requests: int, extra_calls: int, *, total: int | None = None
) -> InstanceUsage:
    total = extra_calls if total is None else total
    return view.build_instance({SHARD: (requests, extra_calls)}, {SHARD: total})


def get_extra_calls(message: FleetUsage | ZoneUsage) -> int:
    (usage,) = message.services
    return usage.extra_calls


def get_common(collector: UsageCollector, now: float) -> FleetUsage:
    fleet_usage, _ = collector.build_fleet(Millis(now), settled_instances=2)
    return fleet_usage


def test_sums_hold_all_instances_and_zones() -> None:
    collector, remote = build_collector(), build_collector(ZONES[1], "c-2")
    collector.apply_instance(build_usage(build_view("i-1"), 10, 3), Millis(0))
    collector.apply_instance(build_usage(build_view("i-2"), 20, 4), Millis(0))
    remote.apply_instance(build_usage(build_view("i-3"), 5, 2), Millis(0))
    collector.apply_zone(remote.build_zone(Millis(0), settled_instances=3), Millis(0))
    message = get_common(collector, 100)
    assert message.services == (
        ServiceUsage(service_hash=hash_service(SHARD), requests=35, extra_calls=9),
    )
    assert message.settled_instances == 5


def test_repeated_and_late_messages_change_nothing() -> None:
    collector, view = build_collector(), build_view("i-1")
    first, second = build_usage(view, 10, 3), build_usage(view, 12, 5)
    for message in (second, first, second):
        collector.apply_instance(message, Millis(0))
    assert get_extra_calls(get_common(collector, 100)) == 5


def test_calls_of_a_killed_instance_count_until_their_window_is_over() -> None:
    """The upstreams still count them when its next process starts to call."""
    collector = build_collector()
    collector.apply_instance(build_usage(build_view("i-1"), 10, 30), Millis(0))
    restarted = build_usage(build_view("i-1", incarnation=2), 1, 1)
    collector.apply_instance(restarted, Millis(3_000))
    assert get_extra_calls(get_common(collector, 3_000)) == 31
    assert get_extra_calls(get_common(collector, 10_100)) == 1


def test_largest_of_two_collectors_sums_counts() -> None:
    """A collector that has just taken over knows few of its zone's instances."""
    collector = build_collector()
    for name, extra_calls in (("c-2", 40), ("c-3", 2)):
        remote = build_collector(ZONES[1], name)
        remote.apply_instance(build_usage(build_view("i-3"), 5, extra_calls), Millis(0))
        collector.apply_zone(
            remote.build_zone(Millis(0), settled_instances=3), Millis(0)
        )
    assert get_extra_calls(get_common(collector, 100)) == 40


def test_zone_that_is_not_heard_keeps_its_part_of_the_slack() -> None:
    """Both sides of a partition must not use the whole slack."""
    collector, remote = build_collector(), build_collector(ZONES[1], "c-2")
    collector.apply_zone(remote.build_zone(Millis(0), settled_instances=3), Millis(0))
    assert get_common(collector, 1_000).settled_instances == 5
    assert get_common(collector, 2_000).settled_instances == 2


def test_own_calls_count_before_a_sum_includes_them() -> None:
    collector, view = build_collector(), build_view("i-1")
    collector.apply_instance(build_usage(view, 10, 3), Millis(0))
    common, messages = collector.build_fleet(Millis(0), settled_instances=1)
    view.apply_fleet(messages[InstanceId("i-1")], Millis(0))
    usage = view.get_usage(SHARD, in_window=8, total=8, now=Millis(10))
    assert usage.extra_calls == 3 + 5
    # The message for others does not say which calls of this instance it includes.
    view.apply_fleet(common, Millis(0))
    usage = view.get_usage(SHARD, in_window=8, total=8, now=Millis(10))
    assert usage.extra_calls == 3 + 8


def test_old_sums_are_not_used() -> None:
    view = build_view("i-1")
    view.apply_fleet(get_common(build_collector(), 0), Millis(0))
    assert view.get_usage(SHARD, in_window=0, total=0, now=Millis(1_000)) is not None
    assert view.get_usage(SHARD, in_window=0, total=0, now=Millis(2_000)) is None
    view.remove_old(Millis(2_000))
    assert view.get_usage(SHARD, in_window=0, total=0, now=Millis(2_000)) is None


def test_idle_instance_says_once_that_it_has_nothing_left() -> None:
    view = build_view("i-1")
    assert build_usage(view, 0, 0) is None
    assert build_usage(view, 1, 0) is not None
    assert build_usage(view, 0, 0).services == ()
    assert build_usage(view, 0, 0) is None


def test_messages_are_decoded_as_they_were_encoded() -> None:
    usage = build_usage(build_view("i-1"), 10, 3)
    assert decode_usage(encode_usage(usage)) == usage
    zone = build_collector().build_zone(Millis(0), settled_instances=7)
    assert decode_usage(encode_usage(zone, compresses=True)) == zone


@pytest.mark.parametrize("extra_calls", [-1, 2**31, 2**63])
def test_hostile_numbers_are_not_accepted(extra_calls: int) -> None:
    usage = build_usage(build_view("i-1"), 10, extra_calls)
    with pytest.raises(InvalidValueError):
        decode_usage(encode_usage(usage))


def answer_searches(seed: int, *, is_shared: bool) -> tuple[int, int, float]:
    """Runs searches while the upstreams of half of the shards refuse 60% of calls.

    The load balancer brings each search to one of 195 instances, a third of which have
    callers; a caller whose search failed comes back at any instance. Sums are 0.6 s
    old. Returns the searches, those with enough parts, and the largest fraction of the
    limit that was used by one shard.
    """
    generator = random.Random(seed)
    fleet_size, ratio, slack, searches = 195, 0.2, 430.0, 400
    shards = [ServiceId(f"shard-{number}") for number in range(21)]
    callers = [generator.randrange(fleet_size) for _ in range(70)]
    budgets: dict[tuple[int, ServiceId], ExtraCallBudget] = {}
    calls: dict[ServiceId, list[float]] = {shard: [] for shard in shards}
    times: list[float] = []

    def get_budget(instance: int, shard: ServiceId) -> ExtraCallBudget:
        return budgets.setdefault(
            (instance, shard),
            ExtraCallBudget(
                ratio=ratio,
                slack=slack,
                window_ms=WINDOW_MS,
                min_fraction=1.0 - generator.random(),
                now=Millis(-2 * WINDOW_MS),
            ),
        )

    def try_call(
        instance: int, shard: ServiceId, now: float, claim: ExtraCallClaim
    ) -> bool:
        shared = SharedUsage(
            requests=len(times),
            extra_calls=sum(at <= now - 600.0 for at in calls[shard]),
            not_included=0,
            settled_instances=fleet_size,
        )
        traffic = callers.count(instance) / len(callers)
        return get_budget(instance, shard).try_spend(
            ExtraCallKind.RETRY,
            now=Millis(now),
            share=FleetShare(size=fleet_size, traffic=traffic),
            shared=shared if is_shared else None,
            claim=claim,
        )

    def answer(instance: int, now: float) -> bool:
        times.append(now)
        claim, missing = ExtraCallClaim(rank=generator.random()), 0
        for shard in shards:
            get_budget(instance, shard).record_request(Millis(now))
            while generator.random() < 0.6:
                if not try_call(instance, shard, now, claim):
                    missing += 1
                    break
                calls[shard].append(now)
            if missing > 2:
                return False
        return True

    answered = 0
    for number in range(searches):
        now = number * 20.0
        answered += answer(generator.choice(callers), now) or answer(
            generator.randrange(fleet_size), now + 60.0
        )
    limit = ratio * len(times) + slack
    return searches, answered, max(map(len, calls.values())) / limit


@pytest.mark.parametrize("seed", range(3))
def test_searches_get_all_their_extra_calls_while_most_upstreams_refuse(
    seed: int,
) -> None:
    """Most upstreams of half of the shards of a large fleet refuse calls for 8 s.

    With a share for each instance, the shares of those without callers were not used,
    and nearly every search lacked an extra call for one of its shards.
    """
    searches, with_shares, _ = answer_searches(seed, is_shared=False)
    _, with_one_budget, used = answer_searches(seed, is_shared=True)
    assert with_one_budget > max(0.5 * searches, 2 * with_shares)
    assert used <= 1.0


def test_hedges_leave_a_part_of_a_shared_budget_for_retries() -> None:
    budget = ExtraCallBudget(
        ratio=0.2, slack=100.0, window_ms=WINDOW_MS, min_fraction=1.0, now=Millis(0)
    )
    share = FleetShare(size=10, traffic=0.1)
    shared = SharedUsage(
        requests=0, extra_calls=75, not_included=0, settled_instances=10
    )
    spend = {
        kind: budget.try_spend(kind, now=Millis(1), share=share, shared=shared)
        for kind in ExtraCallKind
    }
    assert spend == {ExtraCallKind.HEDGE: False, ExtraCallKind.RETRY: True}
