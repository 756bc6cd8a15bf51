"""Membership, selection of readers, and the fleet size that divides budgets."""

from __future__ import annotations

import random
import zlib

import pytest

from skylarkcart.clock import Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.fleet import (
    UNKNOWN_RATE,
    Fleet,
    OwnState,
    Report,
    decode_report,
    encode_report,
)
from skylarkcart.fleet._fleet import GOSSIP_UNRESPONSIVE_AFTER_MS
from skylarkcart.types import AccountId, InstanceId, Spending, ZoneId

ZONES = tuple(ZoneId(f"zone-{letter}") for letter in "abcd")


def build_fleet(index: int = 0, *, incarnation: int = 1) -> Fleet:
    return Fleet(
        instance=InstanceId(f"instance-{index}"),
        zone=ZONES[index % 4],
        zones=ZONES,
        host=f"10.0.0.{index}",
        incarnation=incarnation,
        seed_hosts=("10.0.0.0", "10.0.0.1"),
        random=random.Random(index),
    )


def build_report(
    fleet: Fleet, now: float, to: int = 0, *, wants_reply: bool = True, **fields: object
) -> Report:
    values = {
        "revision": 1,
        "confirmed_age_ms": 0.0,
        "is_leaving": False,
        "reaches_store": True,
        "spending": {},
    } | fields
    return fleet.build_report(
        OwnState(**values),
        to_host=f"10.0.0.{to}",
        now=Millis(now),
        wants_reply=wants_reply,
    )


def run_round(instances: list[Fleet], now: float) -> int:
    """Runs one round of reports and replies and returns the number of datagrams."""
    instances_by_host = {fleet._host: fleet for fleet in instances}
    datagrams = 0
    for fleet in instances:
        for host in fleet.choose_report_targets(Millis(now)):
            if host not in instances_by_host:
                continue
            other = instances_by_host[host]
            report = build_report(fleet, now, int(host.rpartition(".")[2]))
            other.apply_report(decode_report(encode_report(report)), Millis(now))
            datagrams += 1
            if report.wants_reply:
                to = int(fleet._host.rpartition(".")[2])
                reply = build_report(other, now, to, wants_reply=False)
                fleet.apply_report(decode_report(encode_report(reply)), Millis(now))
                datagrams += 1
    return datagrams


def test_instances_discover_each_other_through_two_seeds() -> None:
    instances = [build_fleet(index) for index in range(9)]
    for now in range(0, 3_000, 200):
        run_round(instances, now)
    assert all(len(fleet.peers) == 8 for fleet in instances)


def test_instances_discover_each_other_though_one_seed_is_down() -> None:
    """Seeds may be stale or down."""
    instances = [build_fleet(index) for index in range(1, 9)]
    for now in range(0, 4_000, 200):
        run_round(instances, now)
    assert all(len(fleet.peers) == 7 for fleet in instances)


def test_large_fleet_discovers_all_members_with_few_datagrams() -> None:
    """In a full mesh, reports would grow with the square of the fleet size."""
    instances = [build_fleet(index) for index in range(80)]
    for now in range(0, 10_000, 200):
        datagrams = run_round(instances, now)
    assert all(len(fleet.peers) == 79 for fleet in instances)
    assert datagrams <= 80 * 8
    reachable = [fleet.get_reach(Millis(10_000)).fraction for fleet in instances]
    assert min(reachable) >= 0.95


def test_exactly_two_instances_read_in_different_zones() -> None:
    """Calls to the store are billed, but a single reader could fail undetected."""
    instances = [build_fleet(index) for index in range(9)]
    for now in range(0, 3_000, 200):
        run_round(instances, now)
    readers = [
        fleet
        for fleet in instances
        if fleet.is_reader(Millis(2_900), state_age_ms=0, reaches_store=True)
    ]
    assert len(readers) == 2
    assert len({fleet._zone for fleet in readers}) == 2


def test_reader_that_does_not_reach_the_store_is_replaced() -> None:
    """The store may reject some instances and serve the others."""
    instances = [build_fleet(index) for index in range(4)]
    for now in range(0, 3_000, 200):
        run_round(instances, now)
    failed_reader = next(
        fleet
        for fleet in instances
        if fleet.is_reader(Millis(2_900), state_age_ms=0, reaches_store=True)
    )
    failed_reader.choose_report_targets(Millis(3_000))
    for index, fleet in enumerate(instances):
        if fleet is not failed_reader:
            fleet.apply_report(
                build_report(failed_reader, 3_000, index, reaches_store=False),
                Millis(3_000),
            )
    new_readers = [
        fleet
        for fleet in instances
        if fleet is not failed_reader
        and fleet.is_reader(Millis(3_000), state_age_ms=0, reaches_store=True)
    ]
    assert len(new_readers) == 2
    assert not failed_reader.is_reader(
        Millis(3_000), state_age_ms=0, reaches_store=False
    )


def test_every_instance_reads_when_the_state_is_too_old() -> None:
    """All readers may be partitioned before the others detect it."""
    instances = [build_fleet(index) for index in range(9)]
    for now in range(0, 3_000, 200):
        run_round(instances, now)
    assert all(
        fleet.is_reader(Millis(2_900), state_age_ms=2_500, reaches_store=False)
        for fleet in instances
    )


def test_unresponsive_instance_still_counts_for_budgets() -> None:
    """A partitioned peer continues to use its share of the budgets."""
    instances = [build_fleet(index) for index in range(4)]
    for now in range(0, 1_200, 200):
        run_round(instances, now)
    assert instances[0].estimated_size == 4
    assert instances[0].get_reach(Millis(1_100)).fraction == 1.0
    assert instances[0].get_reach(Millis(5_000)).fraction == 0.25
    instances[0].remove_lost_peers(Millis(5_000))
    assert instances[0].estimated_size == 4


def test_new_instance_in_a_partitioned_zone_counts_the_other_zones() -> None:
    """Otherwise its zone would take the whole of each budget."""
    first, second = build_fleet(0), build_fleet(4)
    second.choose_report_targets(Millis(0))
    first.apply_report(build_report(second, 0), Millis(0))
    assert first.estimated_size == 8


def test_restarted_instance_replaces_its_predecessor() -> None:
    fleet, old, new = build_fleet(0), build_fleet(1), build_fleet(1, incarnation=2)
    for _ in range(9):
        old.choose_report_targets(Millis(0))
    assert fleet.apply_report(build_report(old, 0), Millis(0))
    new.choose_report_targets(Millis(10))
    assert fleet.apply_report(build_report(new, 10), Millis(10))
    assert not fleet.apply_report(build_report(old, 20), Millis(20))
    assert len(fleet.peers) == 1


def test_leaving_instance_is_removed_soon() -> None:
    fleet, peer = build_fleet(0), build_fleet(1)
    peer.choose_report_targets(Millis(0))
    fleet.apply_report(build_report(peer, 0, is_leaving=True), Millis(0))
    assert [lost.instance for lost in fleet.remove_lost_peers(Millis(1_600))] == [
        "instance-1"
    ]


def test_echo_is_a_time_of_the_receivers_clock() -> None:
    """The age of a peer's confirmation is counted in the receiver's clock."""
    first, second = build_fleet(0), build_fleet(1)
    first.choose_report_targets(Millis(70))
    second.choose_report_targets(Millis(5_000))
    second.apply_report(build_report(first, 70, to=1), Millis(5_000))
    assert build_report(second, 5_100, to=0).echo_ms == 70


def test_datagram_of_another_program_is_rejected() -> None:
    with pytest.raises(InvalidValueError, match="expected a report"):
        decode_report(b"\x93\x01\x02\x03")


def build_large_zone_report() -> Report:
    """A report from one zone of a large fleet to another, with busy accounts."""
    instances = [build_fleet(index) for index in range(60)]
    receiver = build_fleet(61)
    for now in range(0, 4_000, 200):
        for fleet in instances[1:]:
            spending = {
                AccountId(f"account-{number}"): Spending(total=now + number, earlier=7)
                for number in range(3)
            }
            report = build_report(fleet, now, 0, spending=spending)
            instances[0].apply_report(report, Millis(now))
    instances[0].apply_report(build_report(receiver, 4_000, 0), Millis(4_000))
    return build_report(instances[0], 4_100, 61)


def test_reports_between_zones_take_at_most_half_of_their_bytes() -> None:
    """Reports were a third of the bytes between the zones of 195 instances."""
    report = build_large_zone_report()
    compressed = encode_report(report, compresses=True)
    assert decode_report(compressed) == report
    assert len(compressed) <= len(encode_report(report)) / 2


def test_report_that_decompresses_to_too_much_is_rejected() -> None:
    data = zlib.compress(b"\x91" * 50_000_000)
    assert len(data) < 65_536
    with pytest.raises(InvalidValueError):
        decode_report(data)


def test_traffic_fraction_follows_the_reported_rates() -> None:
    fleet, busy, idle = build_fleet(0), build_fleet(1), build_fleet(2)
    exchange(fleet, busy, requests_per_s=6.0)
    exchange(fleet, idle, requests_per_s=0.0)
    known = fleet.estimated_size - 3
    assert fleet.get_traffic_fraction(0.0) == 0.0
    # Instances that are assumed but not known count as being as busy as this one.
    assert fleet.get_traffic_fraction(2.0) == 2.0 / (2.0 + 6.0 + 0.0 + 2.0 * known)


def test_instances_that_start_together_take_equal_shares() -> None:
    """After a restart of all, each knows only its own requests."""
    fleet = build_fleet(0)
    for index in range(1, 8):
        exchange(fleet, build_fleet(index), requests_per_s=UNKNOWN_RATE)
    size = fleet.estimated_size
    assert fleet.get_traffic_fraction(UNKNOWN_RATE) == 1.0 / size
    assert fleet.get_traffic_fraction(5.0) == pytest.approx(1.0 / size)


def exchange(receiver: Fleet, sender: Fleet, **fields: object) -> None:
    receiver.apply_report(build_report(sender, 1_000, 0, **fields), Millis(1_000))


def measure_description_ages(fleet_size: int, zone_count: int) -> list[float]:
    """Runs rounds of reports and returns the age of each description of a peer."""
    zones = tuple(ZoneId(f"zone-{number}") for number in range(zone_count))
    instances = {
        f"10.0.0.{index}": Fleet(
            instance=InstanceId(f"instance-{index}"),
            zone=zones[index % zone_count],
            zones=zones,
            host=f"10.0.0.{index}",
            incarnation=1,
            seed_hosts=("10.0.0.0", "10.0.0.1"),
            random=random.Random(index),
        )
        for index in range(fleet_size)
    }
    now = Millis(0)
    for now in map(Millis, range(0, 8_000, 200)):
        for host, fleet in instances.items():
            for target in fleet.choose_report_targets(now):
                report = build_report(fleet, now, to=int(target.rpartition(".")[2]))
                instances[target].apply_report(report, now)
                if report.wants_reply:
                    reply = build_report(
                        instances[target],
                        now,
                        to=int(host.rpartition(".")[2]),
                        wants_reply=False,
                    )
                    fleet.apply_report(reply, now)
    return [
        now - peer.reported_at
        for fleet in instances.values()
        for peer in fleet.peers.values()
    ]


def test_instances_of_a_large_fleet_hear_of_each_other_in_time() -> None:
    """An instance that is not heard of for 4 s counts as silent.

    When reports in a zone mostly described instances of the same zone, which hear each
    other anyway, a quarter of a fleet of 195 counted as silent, and the tokens of
    accounts were refilled at three quarters of their rates.
    """
    ages = measure_description_ages(fleet_size=120, zone_count=6)
    silent = sum(age > GOSSIP_UNRESPONSIVE_AFTER_MS for age in ages)
    assert silent <= 0.01 * len(ages)
    assert sum(ages) / len(ages) < 1_500.0
