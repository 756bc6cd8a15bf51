"""Exchange of the usage of extra calls in a fleet that is too large for a full mesh."""

from __future__ import annotations

import random

import msgspec
from hypothesis import given, strategies

from skylarkcart.budgets import (
    USAGE_PREFIX,
    ExtraCallClaim,
    ExtraCallKind,
    FleetUsage,
    InstanceUsage,
    ServiceUsage,
    ZoneUsage,
    encode_usage,
)
from skylarkcart.budgets._extra_calls import SHARED_USABLE_RATIO
from skylarkcart.clock import ManualClock, Millis
from skylarkcart.fleet import encode_report
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._peers import PeerLink
from skylarkcart.types import InstanceId, ZoneId
from tests.gateway.deployment import build_settings
from tests.gateway.standins import StoreStandin
from tests.gateway.test_hostile_messages import (
    build_core,
    build_report,
    count_internal_errors,
    many_messages,
)

FLEET_SIZE = 24
ROUND_MS = 200
SETTLED_AT = Millis(16_000)


class Network:
    """Delivers datagrams between the instances of a fleet at once."""

    def __init__(self) -> None:
        self.links: dict[str, PeerLink] = {}
        self.unreachable: set[str] = set()
        self.bytes_sent = 0

    def deliver(self, data: bytes, *, to_host: str, from_host: str) -> None:
        self.bytes_sent += len(data)
        if to_host in self.links and not {to_host, from_host} & self.unreachable:
            self.links[to_host].datagram_received(data, (from_host, 1))


class HostTransport:
    """The socket of one instance."""

    def __init__(self, *, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._network.deliver(data, to_host=address[0], from_host=self._host)


class SimulatedFleet:
    """Instances of two zones that share a clock."""

    def __init__(self, *, extra_calls_slack: float = 50.0) -> None:
        self.clock = ManualClock(start=Millis(0))
        self.network = Network()
        self._extra_calls_slack = extra_calls_slack
        self.cores = [self._start_instance(number) for number in range(FLEET_SIZE)]

    def run_until(self, end: float) -> None:
        while self.clock.now() < end:
            self.clock.advance(ROUND_MS)
            for host, link in self.network.links.items():
                if host not in self.network.unreachable:
                    link.send_reports()
                    link._update_peers()
                    link._usage.run_round()

    def spend(self, core: Core, calls: int) -> int:
        """Tries extra calls of one instance and returns how many were allowed."""
        return sum(
            core.try_extra_call("search", ExtraCallKind.RETRY) for _ in range(calls)
        )

    def _start_instance(self, number: int) -> Core:
        host = f"10.0.0.{number}"
        settings = build_settings(StoreStandin())
        settings = msgspec.structs.replace(
            settings,
            bounds=msgspec.structs.replace(
                settings.bounds, extra_calls_slack=self._extra_calls_slack
            ),
            instance=InstanceId(f"gateway-{number}"),
            zone=ZoneId(f"zone-{'ab'[number % 2]}"),
            zones=(ZoneId("zone-a"), ZoneId("zone-b")),
            peer_host=host,
            seed_hosts=("10.0.0.0", "10.0.0.1"),
        )
        core = Core(
            settings=settings,
            clock=self.clock,
            random=random.Random(number),
            incarnation=1,
        )
        link = PeerLink(core=core, incarnation=1)
        link.connection_made(HostTransport(network=self.network, host=host))
        self.network.links[host] = link
        return core


def get_limit(core: Core) -> int:
    return int(core.settings.bounds.extra_calls_slack)


def test_few_instances_may_use_what_the_others_leave() -> None:
    """The load balancer may bring the requests of a large fleet to a few instances."""
    fleet = SimulatedFleet()
    fleet.run_until(SETTLED_AT)
    busy, idle = fleet.cores[:4], fleet.cores[7]
    for core in busy:
        core.get_extra_calls("search").record_request(core.now)
    fleet.run_until(fleet.clock.now() + 1_000)
    limit = get_limit(idle)
    used = granted = sum(fleet.spend(core, limit // 40) for core in busy)
    while granted:
        fleet.run_until(fleet.clock.now() + 800)
        granted = sum(fleet.spend(core, limit // 40) for core in busy)
        used += granted
    assert SHARED_USABLE_RATIO * limit - 1 <= used <= limit
    # Instances of both zones know it.
    assert fleet.spend(idle, 5) == 0


def test_fleet_stays_within_its_limit_while_upstreams_refuse_every_call() -> None:
    """All upstreams of a shard are full, and each search calls them again and again.

    Before the instances heard of each other's calls, they had used one and a half times
    the limit of the fleet.
    """
    generator = random.Random(3)
    slack, searches_per_round, calls_at_once, rounds_of_a_search = 200.0, 5, 2, 6
    fleet = SimulatedFleet(extra_calls_slack=slack)
    fleet.run_until(SETTLED_AT)
    searches: list[tuple[Core, ExtraCallClaim, int]] = []
    granted_at: list[float] = []
    for round_number in range(60):
        now = fleet.clock.now()
        for core in generator.choices(fleet.cores, k=searches_per_round):
            core.get_extra_calls("search").record_request(now)
            claim = ExtraCallClaim(rank=generator.random())
            searches.append((core, claim, round_number))
        for core, claim, started in list(searches):
            calls = calls_at_once if started == round_number else 1
            if round_number - started > rounds_of_a_search:
                searches.remove((core, claim, started))
                continue
            granted_at += [now] * sum(
                core.try_extra_call("search", ExtraCallKind.RETRY, claim=claim)
                for _ in range(calls)
            )
        fleet.run_until(now + ROUND_MS)
    bounds = fleet.cores[0].settings.bounds
    for end in granted_at:
        start = end - bounds.extra_calls_window_ms
        in_window = sum(start < at <= end for at in granted_at)
        rounds = min(60, bounds.extra_calls_window_ms / ROUND_MS)
        requests = searches_per_round * min(rounds, (end - granted_at[0]) / ROUND_MS)
        assert in_window <= slack + bounds.extra_calls_ratio * requests
    assert len(granted_at) > 0.5 * slack


def test_lost_collectors_are_replaced() -> None:
    fleet = SimulatedFleet()
    fleet.run_until(SETTLED_AT)
    now = fleet.clock.now()
    core = fleet.cores[0]
    collectors = core.fleet.list_collectors(now)
    fleet.network.unreachable |= {
        host for hosts in collectors.values() for host in hosts
    } - {core.settings.peer_host}
    fleet.run_until(now + 8_000)
    core.get_extra_calls("search").record_request(core.now)
    fleet.run_until(fleet.clock.now() + 1_200)
    replaced = core.fleet.list_collectors(core.now)
    assert not fleet.network.unreachable & {
        host for hosts in replaced.values() for host in hosts
    }
    usage = core.usage_view.get_usage("search", in_window=0, total=0, now=core.now)
    assert usage.requests == 1
    assert usage.settled_instances >= FLEET_SIZE - len(fleet.network.unreachable)


def test_process_that_has_just_started_uses_its_own_share() -> None:
    """It does not know what the fleet had used before it was killed."""
    fleet = SimulatedFleet()
    fleet.run_until(8_000)
    core = fleet.cores[0]
    core.get_extra_calls("search").record_request(core.now)
    fleet.run_until(9_000)
    assert fleet.spend(core, 50) <= 0.2 * get_limit(core)


counts = strategies.one_of(
    strategies.integers(min_value=-(2**63), max_value=2**64 - 1),
    strategies.integers(min_value=0, max_value=100),
)
services = strategies.lists(
    strategies.builds(
        ServiceUsage, service_hash=counts, requests=counts, extra_calls=counts
    ),
    max_size=4,
).map(tuple)
names = strategies.text(max_size=8)
usage_messages = strategies.one_of(
    strategies.builds(
        InstanceUsage,
        instance=names,
        incarnation=counts,
        sequence=counts,
        services=services,
    ),
    strategies.builds(
        ZoneUsage,
        collector=names,
        zone=names,
        settled_instances=counts,
        services=services,
    ),
    strategies.builds(
        FleetUsage,
        collector=names,
        included_sequence=counts,
        settled_instances=counts,
        services=services,
    ),
)


def run_with_datagrams(datagrams: list[bytes]) -> None:
    core = build_core(ManualClock(start=Millis(30_000)))
    network = Network()
    link = PeerLink(core=core, incarnation=1)
    link.connection_made(HostTransport(network=network, host="10.0.0.99"))
    for number in range(20):
        report = build_report(instance=f"gateway-{number}", host=f"10.0.1.{number}")
        link.datagram_received(encode_report(report), ("10.0.1.1", 1))
    assert core.fleet.uses_gossip()
    for data in datagrams:
        link.datagram_received(data, ("10.0.1.1", 1))
    for _ in range(4):
        link._usage.run_round()
    core.try_extra_call("search", ExtraCallKind.RETRY)
    assert count_internal_errors(core) == 0


@many_messages
@given(strategies.lists(usage_messages, max_size=4))
def test_usage_with_hostile_values(messages: list) -> None:
    """Hostile values neither end the task that sends reports nor cause an error."""
    run_with_datagrams([encode_usage(message) for message in messages])


@many_messages
@given(strategies.binary(max_size=100))
def test_usage_of_any_bytes(data: bytes) -> None:
    run_with_datagrams([USAGE_PREFIX + data])


def test_error_of_the_exchange_does_not_stop_reports() -> None:
    core = build_core(ManualClock(start=Millis(30_000)))
    link = PeerLink(core=core, incarnation=1)
    link.connection_made(HostTransport(network=Network(), host="10.0.0.99"))
    core.usage_view = None
    link._exchange_usage()
    assert count_internal_errors(core) == 1
