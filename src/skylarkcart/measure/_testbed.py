"""The deployment under test, with its load balancer and traffic."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
import random
import time
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping

import aiohttp
import msgspec

from skylarkcart.declarations import Configuration
from skylarkcart.measure._baseline import BaselineInstance
from skylarkcart.standins import (
    Arrival,
    DeploymentSpec,
    OpenLoopTraffic,
    Outcome,
    ServiceSpec,
    StandinDeployment,
    UpstreamProfile,
)
from skylarkcart.types import AccountId, LateShardPreference, ServiceId, ZoneId

SERVICE = ServiceId("catalogue")
ZONES = tuple(ZoneId(f"zone-{letter}") for letter in "abcd")
ENTRIES = 4
MAX_INSTANCES = 6
# Ten times the service time in production, because one event loop runs everything.
SERVICE_MS = 40.0
ANSWER_BY_MS = 4_000.0
DEADLINE_MS = 6_000.0
BALANCER_POLL_INTERVAL_S = 0.1
LOOP_LAG_INTERVAL_S = 0.01
WARM_UP_RATE_PER_S = 15.0
WARM_UP_STEP_S = 1.0
WARM_UP_LIMIT_S = 15.0
WARM_UP_FIRST_NUMBER = 100_000_000
# Arrival numbers reserved for each unbounded stream.
NUMBERS_PER_STREAM = 100_000
MILLISECONDS_PER_SECOND = 1000.0

ConfigurationChange = Callable[[Configuration], Configuration]


class Variant(enum.Enum):
    """The implementation that serves the callers."""

    SYSTEM = "system"
    BASELINE = "plain"


class RunContext(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a run. ``report_progress`` takes one line of text."""

    seed: int
    duration_factor: float
    report_progress: Callable[[str], None]

    def scale_s(self, seconds: float) -> float:
        return seconds * self.duration_factor


class Counters(msgspec.Struct, frozen=True, kw_only=True):
    """Counters summed over all upstreams at one moment."""

    calls: int
    shards_asked: int
    refused: int
    cold_excess_calls: int
    connections_refused: int

    def since(self, earlier: Counters) -> Counters:
        names = self.__struct_fields__
        return Counters(
            **{name: getattr(self, name) - getattr(earlier, name) for name in names}
        )


def build_spec(
    *,
    upstreams: int = 12,
    slots: int = 3,
    entries: int = ENTRIES,
    zones: tuple[ZoneId, ...] = ZONES,
) -> DeploymentSpec:
    """Returns the spec of a small deployment with one service.

    By default, it has one entry instance per zone.
    """
    service = ServiceSpec(
        service=SERVICE,
        upstreams=upstreams,
        slots=slots,
        connections=30,
        connect_cost_ms=6.0,
        prefer=LateShardPreference.COMPLETE,
    )
    return DeploymentSpec(
        name="measure",
        zones=zones,
        entries=entries,
        max_instances=max(MAX_INSTANCES, entries + 2),
        services=(service,),
    )


def build_profile(*, service_ms: float = SERVICE_MS) -> UpstreamProfile:
    return UpstreamProfile(
        service_ms=service_ms,
        jitter_ms=service_ms / 10,
        connections=30,
        connect_cost_ms=6.0,
    )


def compute_capacity(spec: DeploymentSpec, profile: UpstreamProfile) -> float:
    """Returns the searches per second that use all slots at one call per shard."""
    service = spec.services[0]
    call_s = (profile.service_ms + profile.jitter_ms) / MILLISECONDS_PER_SECOND
    return service.upstreams * service.slots / call_s / service.upstreams


def scale_deadlines(configuration: Configuration) -> Configuration:
    """Sets deadlines that match the longer service time of the upstreams."""
    services = tuple(
        msgspec.structs.replace(row, answer_by_ms=ANSWER_BY_MS, deadline_ms=DEADLINE_MS)
        for row in configuration.services
    )
    return msgspec.structs.replace(configuration, services=services)


def generate_arrivals(
    *,
    generator: random.Random,
    rates: Mapping[AccountId, float],
    seconds: float,
    first_number: int = 0,
) -> Iterator[Arrival]:
    """Yields Poisson arrivals of all accounts in order of their due times."""
    total = sum(rates.values())
    accounts = list(rates)
    weights = list(rates.values())
    due_s = generator.expovariate(total)
    number = first_number
    while due_s < seconds:
        account = generator.choices(accounts, weights)[0]
        yield Arrival(due_s=due_s, service=SERVICE, account=account, number=number)
        number += 1
        due_s += generator.expovariate(total)


class Testbed:
    """A running deployment with a load balancer and callers."""

    def __init__(
        self,
        *,
        context: RunContext,
        variant: Variant,
        deployment: StandinDeployment,
        baseline_instances: list[BaselineInstance],
    ) -> None:
        self.context = context
        self.variant = variant
        self.deployment = deployment
        self.baseline_instances = baseline_instances
        self.random = random.Random(f"{context.seed}/callers")
        self.ready_addresses: list[str] = []
        self._busy_ratio = 0.0
        self._lags_ms: list[float] = []
        self._next_number = 0

    @property
    def upstream_server(self):
        return self.deployment.upstream_server

    def read_counters(self) -> Counters:
        upstreams = self.upstream_server.upstreams.values()
        return Counters(
            **{
                name: sum(getattr(upstream, name) for upstream in upstreams)
                for name in Counters.__struct_fields__
            }
        )

    def list_addresses(self) -> dict[str, ZoneId]:
        """Returns the address and zone of each instance."""
        if self.variant is Variant.BASELINE:
            return {entry.address: entry.zone for entry in self.baseline_instances}
        return {entry.address: entry.settings.zone for entry in self.deployment.entries}

    def choose_address(self, arrival: Arrival) -> str:
        return self.random.choice(self.ready_addresses)

    async def poll_readiness(self) -> None:
        """Updates ``ready_addresses`` as a load balancer with health checks does."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                addresses = list(self.list_addresses())
                if self.variant is Variant.SYSTEM:
                    checks = (_is_ready(session, address) for address in addresses)
                    are_ready = await asyncio.gather(*checks)
                    addresses = [
                        address
                        for address, is_ready in zip(addresses, are_ready)
                        if is_ready
                    ]
                self.ready_addresses = addresses or self.ready_addresses
                await asyncio.sleep(BALANCER_POLL_INTERVAL_S)

    async def record_loop_lag(self) -> None:
        """Records by how much the event loop delays a timer."""
        while True:
            due_at = time.monotonic() + LOOP_LAG_INTERVAL_S
            await asyncio.sleep(LOOP_LAG_INTERVAL_S)
            lag_ms = (time.monotonic() - due_at) * MILLISECONDS_PER_SECOND
            self._lags_ms.append(lag_ms)

    def summarize_event_loop(self) -> dict[str, float]:
        """Returns the load and the lag of the event loop.

        A busy ratio near 1, or a lag near the service time, means that the figures are
        limited by the machine rather than by the system.
        """
        lags_ms = sorted(self._lags_ms) or [0.0]
        return {
            "loop_busy_ratio": self._busy_ratio,
            "loop_lag_max_ms": lags_ms[-1],
            "loop_lag_p99_ms": lags_ms[min(len(lags_ms) - 1, int(len(lags_ms) * 0.99))],
        }

    def draw_even_arrivals(
        self, *, rate_per_s: float, seconds: float, accounts: int = 8
    ) -> list[Arrival]:
        """Draws arrivals with equal rates for the first accounts."""
        names = list(self.deployment.keys)[:accounts]
        rates = {name: rate_per_s / len(names) for name in names}
        return self.draw_arrivals(rates, seconds=seconds)

    def draw_arrivals(
        self, rates: Mapping[AccountId, float], *, seconds: float
    ) -> list[Arrival]:
        first_number = self._next_number
        generator = random.Random(f"{self.context.seed}/arrivals/{first_number}")
        arrivals = list(
            generate_arrivals(
                generator=generator,
                rates=rates,
                seconds=seconds,
                first_number=first_number,
            )
        )
        self._next_number += len(arrivals)
        return arrivals

    def stream_arrivals(self, rates: Mapping[AccountId, float]) -> Iterator[Arrival]:
        """Yields arrivals without end."""
        self._next_number += NUMBERS_PER_STREAM
        first_number = self._next_number
        generator = random.Random(f"{self.context.seed}/arrivals/{first_number}")
        return generate_arrivals(
            generator=generator,
            rates=rates,
            seconds=math.inf,
            first_number=first_number,
        )

    async def send(
        self,
        arrivals: Iterable[Arrival],
        *,
        stage: str,
        choose_address: Callable[[Arrival], str] | None = None,
    ) -> list[Outcome]:
        """Sends arrivals at their due times and returns the outcomes."""
        self.context.report_progress(f"{self.variant.value}: {stage}")
        traffic = OpenLoopTraffic(
            keys=self.deployment.keys,
            choose_address=choose_address or self.choose_address,
        )
        started_at = time.monotonic()
        cpu_s = time.process_time()
        outcomes = await traffic.run(arrivals)
        elapsed_s = max(0.001, time.monotonic() - started_at)
        cpu_s = time.process_time() - cpu_s
        self._busy_ratio = max(self._busy_ratio, cpu_s / elapsed_s)
        return outcomes

    async def warm_up(self) -> None:
        """Sends searches until all upstreams are warm or the time limit is reached."""
        self.context.report_progress(f"{self.variant.value}: warming up")
        limit_s = self.context.scale_s(WARM_UP_LIMIT_S)
        deadline = time.monotonic() + min(limit_s, WARM_UP_LIMIT_S)
        upstreams = self.upstream_server.upstreams.values()
        step_s = min(WARM_UP_STEP_S, self.context.scale_s(WARM_UP_STEP_S) * 2)
        generator = random.Random(f"{self.context.seed}/warm-up")
        rates = {next(iter(self.deployment.keys)): WARM_UP_RATE_PER_S}
        while time.monotonic() < deadline:
            arrivals = generate_arrivals(
                generator=generator,
                rates=rates,
                seconds=step_s,
                first_number=WARM_UP_FIRST_NUMBER,
            )
            traffic = OpenLoopTraffic(
                keys=self.deployment.keys, choose_address=self.choose_address
            )
            await traffic.run(arrivals)
            if not any(upstream.is_cold for upstream in upstreams):
                return

    def update_profiles(self, **changes: float) -> None:
        for upstream in self.upstream_server.upstreams.values():
            upstream.profile = msgspec.structs.replace(upstream.profile, **changes)


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/readyz") as response:
            return response.status == 200
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return False


@contextlib.asynccontextmanager
async def open_testbed(
    context: RunContext,
    variant: Variant,
    *,
    spec: DeploymentSpec,
    profile: UpstreamProfile,
    adjust_configuration: ConfigurationChange = scale_deadlines,
    baseline_concurrency: int = 1_000,
    linger_ms: float = 200.0,
) -> AsyncIterator[Testbed]:
    """Starts a deployment with system or baseline instances and stops it on exit."""
    system_entries = 0 if variant is Variant.BASELINE else spec.entries
    deployment = StandinDeployment(
        spec=msgspec.structs.replace(spec, entries=system_entries),
        seed=context.seed,
        profile=profile,
        linger_ms=linger_ms,
        adjust_configuration=adjust_configuration,
    )
    await deployment.start()
    baseline_instances = []
    for number in range(spec.entries - system_entries):
        zone = spec.zones[number % len(spec.zones)]
        entry = BaselineInstance(
            deployment=deployment,
            zone=zone,
            concurrency=baseline_concurrency,
            seed=context.seed + number,
        )
        await entry.start()
        baseline_instances.append(entry)
    testbed = Testbed(
        context=context,
        variant=variant,
        deployment=deployment,
        baseline_instances=baseline_instances,
    )
    testbed.ready_addresses = list(testbed.list_addresses())
    background_tasks = [
        asyncio.create_task(testbed.poll_readiness()),
        asyncio.create_task(testbed.record_loop_lag()),
    ]
    try:
        yield testbed
    finally:
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)
        for entry in testbed.baseline_instances:
            await entry.stop()
        await deployment.stop()
