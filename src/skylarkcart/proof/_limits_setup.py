"""The fleet of the limits runs: 8 instances in 4 zones, their limits and demand."""

from __future__ import annotations

import functools
import math
import random

import msgspec

from skylarkcart.declarations import AccountRow, Configuration, ZoneRow
from skylarkcart.proof._fake_network import NetworkFaults
from skylarkcart.proof._limits_fleet import Fleet, SimulatedProcess
from skylarkcart.types import AccountId, InstanceId, ZoneId, ZoneState

ZONES = tuple(ZoneId(name) for name in ("north", "east", "south", "west"))
INSTANCES_PER_ZONE = 2
MAX_INSTANCES = 12


class LimitTable(msgspec.Struct, frozen=True, kw_only=True):
    """The rates and bursts of the 8 accounts, in the order of ``ACCOUNTS``."""

    rates_per_s: tuple[float, ...]
    bursts: tuple[int, ...]


# Two large accounts, three of medium size and three small ones.
DEFAULT_LIMITS = LimitTable(
    rates_per_s=(200.0, 100.0, 20.0, 20.0, 10.0, 2.0, 0.5, 0.5),
    bursts=(200, 100, 20, 20, 10, 2, 1, 1),
)

# Bursts that take long to fill. With smaller bursts, the tokens that a crash loses
# during a lease would mask the tokens that a faulty restart creates.
LARGE_BURST_LIMITS = LimitTable(
    rates_per_s=(20.0, 10.0, 10.0, 5.0, 5.0, 2.0, 0.5, 0.5),
    bursts=(200, 100, 60, 60, 40, 20, 1, 1),
)

ACCOUNTS = tuple(AccountId(f"account-{number}") for number in range(8))

DEMAND_RATIO = 0.7
PREFERRED_INSTANCE_PROBABILITY = 0.8
PREFERENCE_INTERVAL_MS = 5_000.0
MAX_SPIKE_INTERVAL_MS = 4_000.0


def build_configuration(
    revision: int,
    *,
    limits: LimitTable = DEFAULT_LIMITS,
    zone_weights: dict[ZoneId, float] | None = None,
    zone_states: dict[ZoneId, ZoneState] | None = None,
    limit_factor: float = 1.0,
) -> Configuration:
    """Returns a configuration of 8 accounts with scaled rates and bursts."""
    accounts = tuple(
        AccountRow(
            account=account,
            rate_per_s=rate_per_s * limit_factor,
            burst=max(1, round(burst * limit_factor)),
            share=1.0,
        )
        for account, rate_per_s, burst in zip(
            ACCOUNTS, limits.rates_per_s, limits.bursts, strict=True
        )
    )
    zones = tuple(
        ZoneRow(
            zone=zone,
            weight=(zone_weights or {}).get(zone, 1.0),
            state=(zone_states or {}).get(zone, ZoneState.OPEN),
        )
        for zone in ZONES
    )
    return Configuration(
        revision=revision,
        max_instances=MAX_INSTANCES,
        accounts=accounts,
        services=(),
        zones=zones,
        keys=(),
    )


class DemandGenerator:
    """Generates Poisson arrivals, most of them at each account's preferred instance.

    The preferred instance of an account changes every ``PREFERENCE_INTERVAL_MS``.
    """

    def __init__(
        self, *, fleet: Fleet, demand_ratio: float, limits: LimitTable
    ) -> None:
        self._fleet = fleet
        self._limits = limits
        self._demand_ratio = demand_ratio
        self._preferred_instances: dict[AccountId, InstanceId] = {}
        self.target_instances: list[InstanceId] = []

    def start(self) -> None:
        for account in ACCOUNTS:
            self._change_preferred_instance(account)
            self._generate_request(account, is_first=True)

    def _change_preferred_instance(self, account: AccountId) -> None:
        if self.target_instances:
            self._preferred_instances[account] = self._fleet.random.choice(
                self.target_instances
            )
        self._fleet.schedule.run_after(
            PREFERENCE_INTERVAL_MS,
            functools.partial(self._change_preferred_instance, account),
        )

    def _generate_request(self, account: AccountId, *, is_first: bool = False) -> None:
        process = self._choose_process(account)
        if process is not None and not is_first:
            process.run_or_defer(functools.partial(process.request, account))
        rate_per_ms = (
            self._demand_ratio
            * self._limits.rates_per_s[ACCOUNTS.index(account)]
            / 1_000
        )
        self._fleet.schedule.run_after(
            self._fleet.random.expovariate(rate_per_ms),
            functools.partial(self._generate_request, account),
        )

    def start_spikes(self) -> None:
        """Sends half of each account's burst at once to one instance, repeatedly."""
        for account, burst in zip(ACCOUNTS, self._limits.bursts, strict=True):
            process = self._choose_process(account)
            for _ in range(math.ceil(burst / 2)):
                if process is not None:
                    process.run_or_defer(functools.partial(process.request, account))
        self._fleet.schedule.run_after(
            self._fleet.random.uniform(500, MAX_SPIKE_INTERVAL_MS), self.start_spikes
        )

    def _choose_process(self, account: AccountId) -> SimulatedProcess | None:
        instance = self._preferred_instances.get(account)
        uses_preferred_instance = (
            self._fleet.random.random() < PREFERRED_INSTANCE_PROBABILITY
        )
        if instance not in self.target_instances or not uses_preferred_instance:
            if not self.target_instances:
                return None
            instance = self._fleet.random.choice(self.target_instances)
        return self._fleet.processes.get(instance) if instance else None


def build_fleet(
    seed: int,
    faults: NetworkFaults,
    *,
    demand_ratio: float = DEMAND_RATIO,
    limits: LimitTable = DEFAULT_LIMITS,
) -> tuple[Fleet, DemandGenerator]:
    """Starts 8 instances in 4 zones with revision 1, and the demand on them."""
    fleet = Fleet(random=random.Random(seed), faults=faults, zones=ZONES)
    fleet.publish(build_configuration(1, limits=limits))
    demand = DemandGenerator(fleet=fleet, demand_ratio=demand_ratio, limits=limits)
    for zone in ZONES:
        for number in range(INSTANCES_PER_ZONE):
            process = fleet.start(InstanceId(f"{zone}-{number}"), zone)
            demand.target_instances.append(process.instance)
    demand.start()
    return fleet, demand
