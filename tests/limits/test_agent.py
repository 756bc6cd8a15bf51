"""Guards against refusals within the limits, and against excess in a fleet."""

from __future__ import annotations

import random

import msgspec
import pytest

from skylarkcart.clock import Millis
from skylarkcart.limits import LimitsAgent
from skylarkcart.limits._messages import RenewalRequest
from skylarkcart.proof._fake_network import NO_FAULTS
from skylarkcart.proof._limits_setup import ACCOUNTS, ZONES, build_fleet
from skylarkcart.types import AccountId, InstanceId, ZoneId

SMALL = ACCOUNTS[-1]


@pytest.fixture
def fleet():
    fleet, demand = build_fleet(5, NO_FAULTS)
    demand.target_instances.clear()
    fleet.schedule.run_until(8_000)
    return fleet


def count_admitted(fleet, process, account=SMALL, *, count=1):
    """Returns how many of ``count`` simultaneous requests are admitted."""
    ledger = fleet.ledger.accounts[account]
    before = ledger.spent
    for _ in range(count):
        process.request(account)
    fleet.schedule.run_until(fleet.schedule.now + 40)
    return ledger.spent - before


def test_small_account_is_served_at_every_instance_in_turn(fleet):
    for process in list(fleet.processes.values()):
        assert count_admitted(fleet, process) == 1
        assert count_admitted(fleet, process) == 0
        fleet.schedule.run_until(fleet.schedule.now + 2_010)


def test_whole_burst_may_arrive_at_one_instance(fleet):
    process = next(iter(fleet.processes.values()))
    assert count_admitted(fleet, process, ACCOUNTS[2], count=20) >= 19


def test_partitioned_zone_uses_only_its_own_allocation(fleet):
    fleet.isolate_zone(ZONES[0])
    process = next(each for each in fleet.processes.values() if each.zone == ZONES[0])
    count_admitted(fleet, process, ACCOUNTS[2])
    fleet.schedule.run_until(fleet.schedule.now + 1_000)
    assert count_admitted(fleet, process, ACCOUNTS[2], count=20) == 5


def test_leaving_holder_transfers_its_balance(fleet):
    leaving = [each for each in fleet.processes.values() if each.zone == ZONES[1]][0]
    leaving.begin_leave()
    fleet.schedule.run_until(fleet.schedule.now + 100)
    assert leaving.agent.has_released(leaving.now)
    others = [each for each in fleet.processes.values() if each is not leaving]
    assert count_admitted(fleet, others[0], ACCOUNTS[2], count=20) >= 19


def test_restarted_fleet_starts_without_tokens(fleet):
    names = {each.instance: each.zone for each in fleet.processes.values()}
    for process in list(fleet.processes.values()):
        assert count_admitted(fleet, process, ACCOUNTS[2], count=20) <= 20
        fleet.stop(process, removes_from_list=False)
    started = [fleet.start(name, zone) for name, zone in names.items()]
    assert count_admitted(fleet, started[0], ACCOUNTS[2], count=20) == 0


def test_unknown_account_is_refused_without_waiting(fleet):
    agent = next(iter(fleet.processes.values())).agent
    unknown = AccountId("unknown")
    assert not agent.try_take_token(unknown, Millis(0))
    assert not agent.expects_grant(unknown, Millis(0))
    assert agent.take_outgoing(Millis(0)) == []


def test_account_removed_from_the_configuration_is_refused(fleet):
    fewer = msgspec.structs.replace(
        fleet.newest_configuration,
        revision=2,
        accounts=fleet.newest_configuration.accounts[:2],
    )
    fleet.publish(fewer)
    fleet.schedule.run_until(fleet.schedule.now + 8_000)
    for process in list(fleet.processes.values()):
        assert count_admitted(fleet, process, ACCOUNTS[2]) == 0
        assert count_admitted(fleet, process, ACCOUNTS[0]) == 1


def test_only_one_instance_per_zone_may_send_to_a_cold_upstream(fleet):
    for zone in ZONES:
        processes = [each for each in fleet.processes.values() if each.zone == zone]
        for key in ("upstream-1", "upstream-2"):
            holders = [each.agent.holds_group(key, each.now) for each in processes]
            assert sum(holders) == 1


def test_leaving_instance_sends_to_no_cold_upstream():
    agent = LimitsAgent(
        instance=InstanceId("north-0"),
        incarnation="1",
        zone=ZoneId("north"),
        random=random.Random(1),
        now=Millis(0),
    )
    agent.observe_listed(Millis(0))
    for now in range(0, 3_000, 50):
        agent.tick(Millis(now))
    assert agent.holds_group("upstream-1", Millis(2_950))
    agent.begin_leave(Millis(2_950))
    assert not agent.holds_group("upstream-1", Millis(2_950))


def test_member_of_another_zone_gets_no_consent(fleet):
    north = next(each for each in fleet.processes.values() if each.zone == ZONES[0])
    east = next(each for each in fleet.processes.values() if each.zone == ZONES[1])
    renewal = RenewalRequest(
        space="accounts", incarnation="x", attempt=1, holding=(0, 99)
    )
    assert north.agent.handle(east.instance, renewal, north.now) == []


def test_unknown_group_and_space_are_ignored(fleet):
    north, peer = [each for each in fleet.processes.values() if each.zone == ZONES[0]]
    renewal = RenewalRequest(
        space="accounts", incarnation="x", attempt=1, holding=(-1, 99)
    )
    outgoing_messages = north.agent.handle(peer.instance, renewal, north.now)
    assert [message.message.granted for message in outgoing_messages] == [()]
    renewal = RenewalRequest(space="unknown", incarnation="x", attempt=1, holding=(0,))
    assert north.agent.handle(peer.instance, renewal, north.now) == []
