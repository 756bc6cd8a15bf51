"""Test environment: gateway processes with callers, proxies and stand-ins."""

from __future__ import annotations

import asyncio
import enum
import pathlib
import random
import signal
import time

from tests.gateway.standins import (
    Caller,
    Headers,
    StoreStandin,
    UpstreamStandin,
    build_configuration,
)
from tests.soak.ledger import Ledger, Refusal, Run, SentRequest
from tests.soak.processes import GatewayProcesses, Placement
from tests.soak.proxy import Proxy

GATEWAY_COUNT = 4
CALLER_COUNT = 10
KEY_ACCOUNTS = {"key-a": "museum", "key-b": "host", "key-c": "host"}
ACCOUNT_LIMITS = {"museum": (40.0, 40.0), "host": (400.0, 400.0)}
SERVICES = ("shard-1", "shard-2", "desk")
REPLICAS_PER_SERVICE = 3
CALLER_TIMEOUT_S = 4.0
STOP_GRACE_S = 6.0

# Services whose upstreams state a work factor; the others state three figures.
REPORTING_SERVICES = ("shard-2", "desk")
LYING_RATIO = 0.3
FALSE_LOADS = ("0,0,4,10", "4,90,4,100", "0,0,99999,100", "4,4,4,9999", "busy", "")

ENDLESS_CHUNK = b"x" * 65_536
MAX_COPY_DELAY_S = 0.05


class ResponseFault(enum.Enum):
    """What an upstream does to a part of its responses."""

    LOST = "lost"
    CUT = "cut at any byte"
    SECOND_COPY = "second copy"
    ENDLESS_HEAD = "endless head"
    ENDLESS_BODY = "endless body"


class RecordingUpstream(UpstreamStandin):
    """Records the requests that it runs, and spoils a part of its responses."""

    def __init__(self, *, ledger: Ledger, rng: random.Random, **options: str) -> None:
        super().__init__(**options)
        self._ledger = ledger
        self._rng = rng
        self.fault_ratio = 0.0
        self.fault = ResponseFault.LOST
        # Apart from the faults' numbers, so that the faults of a seed stay the same.
        self._load_rng = random.Random(self.upstream)
        self._lies_about_load = self._load_rng.random() < LYING_RATIO
        self._running = 0

    async def handle(self, method: str, target: str, headers: Headers, body: bytes):
        request = headers["request-id"]
        self._ledger.arrivals.append((request, self.upstream, time.monotonic()))
        # It is leaving if it is when the request arrives: the answer says so, too.
        said_leaving = self.is_leaving
        self._running += 1
        try:
            answer = await super().handle(method, target, headers, body)
        finally:
            load = self._state_load()
            self._running -= 1
        if self.retry_after is not None:
            self._ledger.refusals.append(
                Refusal(
                    request=request,
                    upstream=self.upstream,
                    at=time.monotonic(),
                    pause_s=float(self.retry_after),
                )
            )
        if answer is None or isinstance(answer, bytes) or answer[0] != 200:
            return answer
        status, fields, _ = answer
        content = self._rng.randbytes(32)
        self._ledger.runs[request].append(
            Run(
                at=time.monotonic(),
                upstream=self.upstream,
                signature=fields["Server-Stamp"],
                body=content,
                account=headers.get("tenant"),
                said_leaving=said_leaving,
                carried_key=any(value in KEY_ACCOUNTS for value in headers.values()),
            )
        )
        return status, fields | load, content

    def _state_load(self) -> dict[str, str]:
        """States the load with a work factor; some upstreams state any."""
        if self.service not in REPORTING_SERVICES:
            return {}
        load = f"{self._running},0,4,{self._load_rng.randrange(60, 300)}"
        if self._lies_about_load:
            load = self._load_rng.choice(FALSE_LOADS)
        return {"Server-Load": load}

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        if self._rng.random() >= self.fault_ratio:
            return await super().send(writer, data)
        match self.fault:
            case ResponseFault.CUT:
                writer.write(data[: self._rng.randrange(len(data))])
            case ResponseFault.SECOND_COPY:
                writer.write(data)
                delay_s = self._rng.uniform(0.0, MAX_COPY_DELAY_S)
                asyncio.get_running_loop().call_later(delay_s, writer.write, data)
                return True
            case ResponseFault.ENDLESS_HEAD:
                await _send_without_end(writer, b"HTTP/1.1 200 OK\r\nX-Padding: ")
            case ResponseFault.ENDLESS_BODY:
                head, _, _ = data.partition(b"Content-Length")
                await _send_without_end(writer, head + b"\r\n")
        return False


async def _send_without_end(writer: asyncio.StreamWriter, start: bytes) -> None:
    """Sends until the connection is closed."""
    writer.write(start)
    while True:
        await writer.drain()
        writer.write(ENDLESS_CHUNK)


class SoakEnvironment:
    """The gateway processes, by number, and the services and callers around them."""

    def __init__(self, *, seed: int, folder: pathlib.Path) -> None:
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.store = StoreStandin()
        self.store.era = 1
        self.store_proxy: Proxy | None = None
        self.upstreams: dict[str, RecordingUpstream] = {}
        self.proxies: dict[str, Proxy] = {}
        self.version = 1
        self.keys = dict(KEY_ACCOUNTS)
        placements = [
            Placement(
                name=f"gateway-{number}",
                host=f"127.{1 + seed // 200 % 200}.{1 + seed % 200}.{number + 1}",
                zone=f"zone-{'ab'[number % 2]}",
            )
            for number in range(GATEWAY_COUNT)
        ]
        self._hosts = [placement.host for placement in placements]
        self._processes = GatewayProcesses(
            placements=placements, seeds=placements[:1], folder=folder
        )
        self._replacement_locks = [asyncio.Lock() for _ in range(GATEWAY_COUNT)]
        self.restore_lock = asyncio.Lock()
        self._request_count = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.is_sending = True

    async def start(self) -> None:
        await self.store.start()
        self.store_proxy = Proxy(host="127.0.0.1", target_port=self.store.port)
        await self.store_proxy.start()
        await self.publish_configuration()
        for service in SERVICES:
            for number in range(REPLICAS_PER_SERVICE):
                await self.add_upstream(service, f"{service}-{number}")
        self.ledger.key_accounts = dict(KEY_ACCOUNTS)
        self.ledger.account_limits = dict(ACCOUNT_LIMITS)
        for number in range(GATEWAY_COUNT):
            self.start_gateway(number, is_first=True)

    async def add_upstream(self, service: str, name: str) -> None:
        upstream = RecordingUpstream(
            ledger=self.ledger, rng=self.rng, upstream=name, service=service
        )
        upstream.zone = self.rng.choice(("zone-a", "zone-b"))
        self.ledger.upstream_zones[name] = upstream.zone
        await upstream.start()
        proxy = Proxy(host="127.0.0.1", target_port=upstream.port)
        await proxy.start()
        upstream.delay_s = 0.005
        self.upstreams[name], self.proxies[name] = upstream, proxy
        await self.write_entry(name, "ready")

    async def write_entry(self, name: str, state: str) -> None:
        entry = self.upstreams[name].describe(state)
        entry["address"] = f"127.0.0.1:{self.proxies[name].port}"
        await self.store.put(f"servers/{name}", entry)

    async def publish_configuration(self) -> None:
        """Publishes a new version of the configuration with the current keys."""
        tenants = [
            {
                "name": account,
                "apiKeys": [
                    key for key, owner in self.keys.items() if owner == account
                ],
                "ratePerS": rate,
                "burst": burst,
            }
            for account, (rate, burst) in ACCOUNT_LIMITS.items()
        ]
        self.version += self.rng.randint(1, 5)
        document = build_configuration(self.version, tenants=tenants)
        await self.store.put("op/config", document)

    def start_gateway(self, number: int, *, is_first: bool = False) -> None:
        host = self._processes.placements[number].host
        self.ledger.starts[host].append(time.monotonic())
        self._processes.start(
            number, store_port=self.store_proxy.port, is_first=is_first
        )

    def signal_gateway(self, number: int, signal_number: signal.Signals) -> None:
        self._processes.send_signal(number, signal_number)

    async def replace_gateway(
        self, number: int, signal_number: signal.Signals, *, pause_s: float = 0.0
    ) -> None:
        """Stops a gateway process with a signal and starts a new one.

        A process that is still running after the platform's grace period is killed.
        Overlapping replacements of the same gateway run one after the other.
        """
        async with self._replacement_locks[number]:
            self.signal_gateway(number, signal_number)
            deadline = time.monotonic() + STOP_GRACE_S
            while self._processes.is_running(number):
                if time.monotonic() > deadline:
                    self._processes.kill(number)
                await asyncio.sleep(0.02)
            await asyncio.sleep(pause_s)
            self.start_gateway(number)

    def choose_host(self) -> str:
        return self.rng.choice(self._hosts)

    def list_memory_violations(self) -> list[str]:
        return self._processes.list_memory_violations()

    def start_callers(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_caller()) for _ in range(CALLER_COUNT)
        ]

    async def stop(self) -> None:
        self.is_sending = False
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._processes.kill_all()
        for proxy in (self.store_proxy, *self.proxies.values()):
            await proxy.stop()
        for standin in (self.store, *self.upstreams.values()):
            standin.stop()
        # Lets the connections of the stand-ins close before the event loop does.
        await asyncio.sleep(0.2)

    async def _run_caller(self) -> None:
        """Sends requests on a connection until it ends, then connects to a gateway."""
        while self.is_sending:
            host = self.rng.choice(self._hosts)
            try:
                async with Caller(host=host, port=8363) as caller:
                    while await self._send_request(caller):
                        await asyncio.sleep(self.rng.expovariate(12))
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                # The gateway was stopped or is frozen; the request gets no response.
                await asyncio.sleep(0.05)

    async def _send_request(self, caller: Caller) -> bool:
        kind = self.rng.choice(("search", "search", "read", "file"))
        key = self.rng.choice(("key-a", "key-b", "key-c"))
        self._request_count += 1
        sent = SentRequest(
            request=f"r{self._request_count}",
            kind=kind,
            key=key,
            sent_at=time.monotonic(),
            instance=caller.host,
        )
        self.ledger.sent[sent.request] = sent
        method = "POST" if kind == "file" else "GET"
        caller.write(
            f"/{kind}/x", sent.request, method, X_Api_Key=key, Deadline_Ms="2000"
        )
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            status, headers, body = await caller.read()
        sent.status, sent.body, sent.is_answered = status, body, True
        sent.answered_at = time.monotonic()
        signatures = headers.get("part-stamps") or headers.get("server-stamp") or ""
        sent.signatures = tuple(part for part in signatures.split(", ") if part)
        if "retry-after" in headers:
            await asyncio.sleep(min(0.5, float(headers["retry-after"])))
        return headers.get("connection") != "close" and self.is_sending
