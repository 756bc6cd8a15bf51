"""Replaces entry instances one after another under load and counts failed requests."""

from __future__ import annotations

import asyncio
import collections
import random

import aiohttp
import msgspec

from skylarkcart.entry import EntryInstance
from skylarkcart.standins._deployment import (
    DeploymentSpec,
    ServiceSpec,
    StandinDeployment,
)
from skylarkcart.types import AccountId, LateShardPreference, ServiceId, ZoneId

SERVICE = ServiceId("inspection")
ENTRY_COUNT = 3
BATCH_SIZE = 5
BALANCER_POLL_INTERVAL_S = 0.02
CALLER_PAUSE_S = 0.004
IDLE_CALLERS = 6
OK_STATUS = 200
MILLISECONDS_PER_SECOND = 1000.0
REQUESTS_PER_FILING = 5


class ReplacementReport(msgspec.Struct, frozen=True, kw_only=True):
    """What the callers observed during all rounds.

    ``idle_connection_requests`` counts requests that were sent on idle keep-alive
    connections after the drain had begun, and ``closing_responses`` the responses with
    ``Connection: close``. ``broken_requests`` describes the requests whose connection
    broke. ``connect_failures`` counts those that could not connect because the instance
    no longer listened: the load balancer noticed the drain too late.
    """

    rounds: int
    requests: int
    idle_connection_requests: int
    closing_responses: int
    broken_requests: tuple[str, ...]
    connect_failures: int
    refusals: dict[str, int]


class ReplacementBench:
    """Replaces instances that serve callers with keep-alive connections.

    A simulated load balancer polls ``/readyz`` of each instance, and callers use those
    that returned 200 at the last poll. So they notice a drain late, as they do behind a
    real load balancer. Requests on idle connections are spread over ``idle_spread_ms``
    from the start of each drain; the default is the linger time. Example::

        report = await ReplacementBench(seed=1, linger_ms=100).run(rounds=20)
    """

    def __init__(
        self,
        *,
        seed: int,
        linger_ms: float,
        callers: int = 6,
        idle_spread_ms: float | None = None,
    ) -> None:
        self._random = random.Random(seed)
        spread_ms = linger_ms if idle_spread_ms is None else idle_spread_ms
        self._idle_spread_s = spread_ms / MILLISECONDS_PER_SECOND
        self._callers = callers
        self._deployment = StandinDeployment(
            spec=build_spec(), seed=seed, linger_ms=linger_ms
        )
        self._ready: list[str] = []
        self._is_finished = False
        self._requests = 0
        self._idle_connection_requests = 0
        self._closing_responses = 0
        self._last_number = 0
        self._broken_requests: list[str] = []
        self._connect_failures = 0
        self._refusals: collections.Counter[str] = collections.Counter()

    async def run(self, *, rounds: int) -> ReplacementReport:
        """Runs the load and replaces the oldest instance in each round."""
        await self._deployment.start()
        async with aiohttp.ClientSession() as probe_session:
            balancer = asyncio.create_task(self._poll_readiness(probe_session))
            callers = [
                asyncio.create_task(self._run_caller()) for _ in range(self._callers)
            ]
            await self._replace_all(rounds)
            self._is_finished = True
            await asyncio.gather(*callers)
            balancer.cancel()
            await asyncio.gather(balancer, return_exceptions=True)
        await self._deployment.stop()
        return ReplacementReport(
            rounds=rounds,
            requests=self._requests,
            idle_connection_requests=self._idle_connection_requests,
            closing_responses=self._closing_responses,
            broken_requests=tuple(self._broken_requests),
            connect_failures=self._connect_failures,
            refusals=dict(self._refusals),
        )

    async def _replace_all(self, rounds: int) -> None:
        # A new instance takes several seconds to become ready, so that the instances of
        # a batch are started together.
        for first_round in range(0, rounds, BATCH_SIZE):
            batch = min(BATCH_SIZE, rounds - first_round)
            new_entries = [
                await self._deployment.start_entry(ENTRY_COUNT + first_round + number)
                for number in range(batch)
            ]
            await asyncio.gather(*(entry.wait_ready() for entry in new_entries))
            for _ in range(batch):
                await self._replace_oldest()

    async def _replace_oldest(self) -> None:
        draining_entry = self._deployment.entries[0]
        sessions = [aiohttp.ClientSession() for _ in range(IDLE_CALLERS)]
        await asyncio.gather(
            *(
                self._send_request(session, draining_entry.address)
                for session in sessions
            )
        )
        drain_task = asyncio.create_task(draining_entry.drain_and_stop())
        await asyncio.sleep(0)
        self._deployment.publish_list()
        await asyncio.gather(
            *(
                self._send_on_idle_connection(
                    session, draining_entry, delay_fraction=index / IDLE_CALLERS
                )
                for index, session in enumerate(sessions)
            )
        )
        await drain_task
        self._deployment.entries.remove(draining_entry)
        for session in sessions:
            await session.close()

    async def _send_on_idle_connection(
        self,
        session: aiohttp.ClientSession,
        draining_entry: EntryInstance,
        *,
        delay_fraction: float,
    ) -> None:
        """Sends a request on an idle connection after a fraction of the idle spread.

        With a fraction of 0, it is sent as soon as the drain begins.
        """
        await asyncio.sleep(delay_fraction * self._idle_spread_s)
        self._idle_connection_requests += 1
        await self._send_request(session, draining_entry.address)

    async def _poll_readiness(self, session: aiohttp.ClientSession) -> None:
        while True:
            addresses = [entry.address for entry in self._deployment.entries]
            readiness = await asyncio.gather(
                *(_is_ready(session, address) for address in addresses)
            )
            self._ready = [
                address for address, is_ready in zip(addresses, readiness) if is_ready
            ]
            await asyncio.sleep(BALANCER_POLL_INTERVAL_S)

    async def _run_caller(self) -> None:
        connector = aiohttp.TCPConnector(limit_per_host=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self._is_finished:
                if self._ready:
                    await self._send_request(session, self._random.choice(self._ready))
                await asyncio.sleep(CALLER_PAUSE_S * self._random.uniform(0.5, 1.5))

    async def _send_request(self, session: aiohttp.ClientSession, address: str) -> None:
        self._last_number += 1
        self._requests += 1
        is_filing = self._last_number % REQUESTS_PER_FILING == 0
        path = "filings" if is_filing else "search"
        body = {"document": {}} if is_filing else {"query": "ceiba"}
        url = f"http://{address}/v1/services/{SERVICE}/{path}"
        key = self._deployment.keys[AccountId("account-0")]
        headers = {"Authorization": f"Bearer {key}"}
        try:
            async with session.post(url, json=body, headers=headers) as response:
                data = await response.json()
        except aiohttp.ClientConnectorError:
            self._connect_failures += 1
            return
        except aiohttp.ClientError as error:
            self._broken_requests.append(f"{path} to {address}: {error!r}")
            return
        self._closing_responses += (
            response.headers.get("Connection", "").lower() == "close"
        )
        if response.status != OK_STATUS:
            self._refusals[data["error"]] += 1


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/readyz") as response:
            return response.status == OK_STATUS
    except aiohttp.ClientError:
        return False


def build_spec() -> DeploymentSpec:
    """Returns a small deployment of three instances in two zones."""
    return DeploymentSpec(
        name="replacement",
        zones=(ZoneId("zone-a"), ZoneId("zone-b")),
        entries=ENTRY_COUNT,
        max_instances=ENTRY_COUNT + BATCH_SIZE,
        services=(
            ServiceSpec(
                service=SERVICE,
                upstreams=4,
                slots=8,
                connections=60,
                connect_cost_ms=1.0,
                prefer=LateShardPreference.COMPLETE,
            ),
        ),
    )
