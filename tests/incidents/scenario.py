"""A fleet of gateway processes at a store that other writers use, too.

The fleet has as many instances and zones as the deployment of the incident. Upstreams
renew their entries all the time. The operators add a route; each instance is then asked
for it in bursts, as the operators' own probes do, and its log is read at the end.
"""

from __future__ import annotations

import asyncio
import pathlib
import time
from collections.abc import Mapping, Sequence

import msgspec

from tests.gateway.standins import (
    Caller,
    Headers,
    Response,
    StoreStandin,
    UpstreamStandin,
    build_configuration,
)
from tests.soak.processes import SOURCE, GatewayProcesses, Placement

ZONES = {"chipre": 3, "la-enea": 2, "palermo": 2, "villamaria": 2}
SERVICES = ("shard-1", "shard-2", "desk")
REPLICAS_PER_SERVICE = 3
FRONT_PORT = 8363
READY_PORT = 8364
READY_TIMEOUT_S = 30.0

# Each of so many entries is renewed once in the interval.
RENEWED_ENTRIES = 60
RENEWAL_INTERVAL_S = 1.2

# The operators' bound for a change to be in force, and how long after it a burst of
# requests is sent.
CONFIG_APPLY_S = 3.0
BURST_DELAYS_S = (0.05, 0.5, CONFIG_APPLY_S + 0.2, CONFIG_APPLY_S + 1.2)
REQUESTS_PER_BURST = 4

# The largest value that the store holds.
VALUE_BYTES = 1_048_576

DIGITS = b"9" * 5_000
NESTING = 1_500

# Entries with the two errors of the operators' record.
PORT_WITH_THOUSANDS_OF_DIGITS = (
    b'{"service": "desk", "address": "10.0.0.9:%b", "zone": "chipre", "slots": 1, '
    b'"state": "ready", "coldLeftMs": 0}' % DIGITS
)
NESTED_FIELD = b'{"labels": ' + b"[" * NESTING + b"]" * NESTING + b"}"


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of an instance to a request for the added route.

    ``sent_after_s`` counts from the store's acknowledgement of the change. Without an
    answer, the status is 0.
    """

    instance: str
    sent_after_s: float
    status: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What callers and logs show; ``changed_at_ms`` is the instances' clock."""

    changed_at_ms: float
    answers: tuple[Answer, ...]
    logs: dict[str, list[dict]]

    def list_late_refusals(self) -> list[Answer]:
        """Returns the requests that were not served although the change was due."""
        return [
            answer
            for answer in self.answers
            if answer.sent_after_s > CONFIG_APPLY_S and answer.status != 200
        ]


class SlowStore(StoreStandin):
    """A store whose responses take longer."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0

    async def handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response | None:
        response = await super().handle(method, target, headers, body)
        await asyncio.sleep(self.delay_s)
        return response


class FleetScenario:
    """Runs the fleet, the store, its writers and the operators' requests."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        source: pathlib.Path = SOURCE,
        zones: Mapping[str, int] = ZONES,
    ) -> None:
        placements = [
            Placement(
                name=f"front-{zone}-{number}",
                host=f"127.240.{block}.{number}",
                zone=zone,
            )
            for block, (zone, count) in enumerate(zones.items(), start=1)
            for number in range(1, count + 1)
        ]
        self.gateways = GatewayProcesses(
            placements=placements,
            seeds=[placement for placement in placements if placement.host[-1] == "1"],
            folder=folder,
            source=source,
        )
        self.store = SlowStore()
        self._upstreams = [
            UpstreamStandin(
                upstream=f"{service}-{number}",
                service=service,
                zone=list(zones)[number % len(zones)],
            )
            for service in SERVICES
            for number in range(REPLICAS_PER_SERVICE)
        ]
        self._answers: list[Answer] = []
        self._renewal: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.store.start()
        await self.store.put("op/config", build_configuration(7))
        for upstream in self._upstreams:
            await upstream.start()
            await self.store.put(f"servers/{upstream.upstream}", upstream.describe())
        for number in range(len(self.gateways.placements)):
            self.gateways.start(number, store_port=self.store.port, is_first=True)
        self._renewal = asyncio.get_running_loop().create_task(self._renew_entries())
        for placement in self.gateways.placements:
            await self.wait_until_ready(placement)

    async def wait_until_ready(self, placement: Placement) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ready(placement.host):
                await asyncio.sleep(0.2)

    async def add_route(self, prefix: str) -> float:
        """Publishes a configuration with an added route; returns when it was stored."""
        _, data = self.store.items["op/config"]
        document = msgspec.json.decode(data)
        added = document["routes"][1] | {"name": prefix, "prefix": f"/{prefix}/"}
        document["routes"].append(added)
        document["version"] += 3
        await self.store.put("op/config", document)
        return time.monotonic()

    async def request_route(self, prefix: str, *, changed_at: float) -> None:
        """Asks each instance for the route in bursts."""
        for delay_s in BURST_DELAYS_S:
            await asyncio.sleep(max(0.0, changed_at + delay_s - time.monotonic()))
            for placement in self.gateways.placements:
                await self._send_burst(placement, prefix, changed_at)

    def finish(self, *, changed_at: float) -> Outcome:
        return Outcome(
            changed_at_ms=changed_at * 1_000.0,
            answers=tuple(self._answers),
            logs={
                placement.name: self.gateways.read_log(number)
                for number, placement in enumerate(self.gateways.placements)
            },
        )

    async def stop(self) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
        self.gateways.kill_all()
        for standin in (self.store, *self._upstreams):
            standin.stop()
        # Lets the connections of the stand-ins close before the event loop does.
        await asyncio.sleep(0.2)

    async def _renew_entries(self) -> None:
        """Writes entries of upstreams again, with a greater sequence."""
        sequence = 1
        while True:
            sequence += 1
            for number in range(RENEWED_ENTRIES):
                upstream = self._upstreams[number % len(self._upstreams)]
                entry = upstream.describe() | {"sequence": sequence}
                await self.store.put(f"servers/{upstream.upstream}", entry)
                await asyncio.sleep(RENEWAL_INTERVAL_S / RENEWED_ENTRIES)

    async def _send_burst(
        self, placement: Placement, prefix: str, changed_at: float
    ) -> None:
        for _ in range(REQUESTS_PER_BURST):
            sent_after_s = time.monotonic() - changed_at
            request = f"{placement.name}-{len(self._answers)}"
            status = await send_request(placement.host, f"/{prefix}/x", request)
            self._answers.append(
                Answer(
                    instance=placement.name, sent_after_s=sent_after_s, status=status
                )
            )


async def play(
    entries: Sequence[bytes],
    *,
    folder: pathlib.Path,
    source: pathlib.Path = SOURCE,
    lead_s: float = 0.0,
    store_delay_s: float = 0.0,
) -> Outcome:
    """Runs a fleet, writes entries of another writer, and then adds a route.

    ``lead_s`` is the time between the entries and the change of the configuration.
    From the entries on, the store's responses take ``store_delay_s`` longer.
    """
    scenario = FleetScenario(folder=folder, source=source)
    await scenario.start()
    try:
        scenario.store.delay_s = store_delay_s
        for number, value in enumerate(entries):
            await scenario.store.put(f"servers/odd-{number}", value)
        await asyncio.sleep(lead_s)
        changed_at = await scenario.add_route("added")
        await scenario.request_route("added", changed_at=changed_at)
        return scenario.finish(changed_at=changed_at)
    finally:
        await scenario.stop()


async def send_request(host: str, target: str, request: str) -> int:
    """Sends a request on a connection of its own and returns the status."""
    try:
        async with Caller(host=host, port=FRONT_PORT) as caller:
            status, _, _ = await caller.send(target, request, Deadline_Ms="1200")
    except (OSError, asyncio.IncompleteReadError):
        return 0
    return status


async def _is_ready(host: str) -> bool:
    try:
        async with Caller(host=host, port=READY_PORT) as caller:
            status, _, _ = await caller.send("/ready", "ready")
    except (OSError, asyncio.IncompleteReadError):
        return False
    return status == 200
