"""One real gateway process with stand-ins, and what the kernel says of it."""

from __future__ import annotations

import asyncio
import os
import pathlib

from tests.callers.crowds import (
    CROWD_KEY,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    Crowd,
    CrowdMember,
    play_crowd,
)
from tests.gateway.standins import (
    API_KEY,
    ROUTE_HOST,
    Caller,
    Headers,
    Response,
    StoreStandin,
    UpstreamStandin,
    build_configuration,
    encode,
)
from tests.soak.processes import SOURCE, GatewayProcesses, Placement

FRONT_PORT = 8_363
READY_PORT = 8_364
WAIT_S = 40.0
SAMPLE_INTERVAL_S = 0.02

MEMORY_MB = 128
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_024

# The targets: nine tenths of the process's memory, and the descriptors less those that
# the platform keeps for files.
MAX_MEMORY_BYTES = 9 * MEMORY_MB * BYTES_PER_MB // 10
FILE_DESCRIPTORS = 200

LARGE_RESPONSE = b"y" * 1_000_000

# No crowd is cut off by time, so that the results don't depend on the machine's speed.
LIMITS = {
    "maxHeaderBytes": MAX_HEADER_BYTES,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 120_000,
    "idleTimeoutMs": 120_000,
}
TENANTS = [
    {"name": "museum", "apiKeys": [API_KEY], "ratePerS": 1_000, "burst": 500},
    {"name": "crowd", "apiKeys": [CROWD_KEY], "ratePerS": 1e6, "burst": 1e6},
]


class Environment:
    """A gateway process, its store and its upstreams."""

    def __init__(
        self, *, folder: pathlib.Path, max_fds: int, source: pathlib.Path = SOURCE
    ) -> None:
        # The tests of several clones may run at the same time.
        self.host = f"127.242.{os.getpid() % 250}.1"
        placement = Placement(name="gateway", host=self.host, zone="zone-a")
        self._gateways = GatewayProcesses(
            placements=[placement],
            seeds=[placement],
            folder=folder,
            source=source,
            memory_mb=MEMORY_MB,
            max_fds=max_fds,
        )
        self.store = StoreStandin()
        self.upstreams = [
            UpstreamStandin(upstream=f"{service}-{number}", service=service)
            for service in ("shard-1", "shard-2", "desk")
            for number in range(2)
        ]
        self.max_descriptors = 0
        self._sampler: asyncio.Future[None] | None = None

    async def start(self) -> None:
        await self.store.start()
        document = build_configuration(limits=LIMITS, tenants=TENANTS)
        await self.store.put("op/config", document)
        for upstream in self.upstreams:
            await upstream.start()
            await self.store.put(f"servers/{upstream.upstream}", upstream.describe())
        self._gateways.start(0, store_port=self.store.port, is_first=True)
        await wait_for(self._is_ready)

    async def stop(self) -> None:
        if self._sampler is not None:
            self._sampler.cancel()
        self._gateways.kill_all()
        for standin in (self.store, *self.upstreams):
            standin.stop()
        # Lets the connections of the stand-ins close before the event loop does.
        await asyncio.sleep(0.2)

    async def play(self, crowd: Crowd) -> list[CrowdMember]:
        """Plays a crowd; from then on, the most open descriptors are recorded."""
        self._sampler = asyncio.ensure_future(self._sample_descriptors())
        return await play_crowd(crowd, host=self.host, port=FRONT_PORT)

    async def search(self) -> int:
        """Sends an ordinary request and returns its status."""
        async with Caller(host=self.host, port=FRONT_PORT) as caller:
            status, _, _ = await caller.send("/search/x", "ordinary")
        return status

    async def send_largest_body(self) -> int:
        """Sends a request with the largest body that the limits allow."""
        fields = {"Host": ROUTE_HOST, "Request-Id": "large", "X-Api-Key": API_KEY}
        body = b"x" * MAX_BODY_BYTES
        async with Caller(host=self.host, port=FRONT_PORT) as caller:
            caller.writer.write(encode("POST /file/x HTTP/1.1", fields, body))
            status, _, _ = await caller.read()
        return status

    def answer_slowly(self, delay_s: float) -> None:
        """Lets the upstream that the crowds' requests are for answer later."""
        for upstream in self.upstreams[-2:]:
            upstream.delay_s = delay_s

    def answer_at_length(self) -> None:
        """Lets the upstream that the crowds' requests are for send large responses."""

        async def respond(
            method: str, target: str, headers: Headers, body: bytes
        ) -> Response:
            request = headers["request-id"]
            fields = {"Request-Id": request, "Server-Stamp": f"desk.{request}"}
            return 200, fields, LARGE_RESPONSE

        for upstream in self.upstreams[-2:]:
            upstream.handler = respond

    def is_running(self) -> bool:
        return self._gateways.is_running(0)

    def get_peak_memory(self) -> int:
        """Returns the largest resident memory so far, in bytes."""
        status = pathlib.Path(f"/proc/{self._gateways.get_pid(0)}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * BYTES_PER_KB

    def count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self._gateways.get_pid(0)}/fd"))

    def count_events(self, event: str) -> int:
        return sum(line["event"] == event for line in self._gateways.read_log(0))

    async def _sample_descriptors(self) -> None:
        while self.is_running():
            self.max_descriptors = max(self.max_descriptors, self.count_descriptors())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _is_ready(self) -> bool:
        try:
            async with Caller(host=self.host, port=READY_PORT) as caller:
                status, _, _ = await caller.send("/ready", "ready")
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200


async def wait_for(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not await condition():
            await asyncio.sleep(0.1)
