"""Gateways as real processes between stand-ins, proxies and callers."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from tests.gateway.standins import (
    Caller,
    Headers,
    StoreStandin,
    UpstreamStandin,
    build_configuration,
)
from tests.soak.ledger import Ledger, Run, Sent
from tests.soak.proxy import Proxy

SOURCE = pathlib.Path(__file__).parents[2] / "src"
GATEWAYS = 4
CALLERS = 10
KEYS = {"key-a": "museum", "key-b": "host", "key-c": "host"}
RATES = {"museum": (40.0, 40.0), "host": (400.0, 400.0)}
SERVICES = ("shard-1", "shard-2", "desk")
REPLICAS = 3
CALLER_TIMEOUT_S = 4.0
STOP_GRACE_S = 6.0

SETTINGS = """
nodeName = "{name}"
ip = "{host}"
zone = "zone-{zone}"
internalPorts = [7740, 7755]
seeds = ["{seed}:8360"]
bootstrap = {bootstrap}
[zones]
zone-a = "region"
zone-b = "region"
[listenAddrs]
front = "{host}:8363"
ready = "{host}:8364"
control = "{host}:8360"
[platform]
address = "127.0.0.1:{store}"
"""


class SignedUpstream(UpstreamStandin):
    """Writes what it runs into the ledger, and sometimes loses its answer."""

    def __init__(self, *, ledger: Ledger, random: random.Random, **names: str) -> None:
        super().__init__(**names)
        self._ledger = ledger
        self._random = random
        self.lost_part = 0.0

    async def handle(self, method: str, target: str, headers: Headers, body: bytes):
        answer = await super().handle(method, target, headers, body)
        if answer is None or isinstance(answer, bytes) or answer[0] != 200:
            return answer
        status, fields, _ = answer
        content = self._random.randbytes(32)
        self._ledger.runs[headers["request-id"]].append(
            Run(
                at=time.monotonic(),
                upstream=self.upstream,
                signature=fields["Server-Stamp"],
                body=content,
                account=headers.get("tenant"),
                carried_key=any(value in KEYS for value in headers.values()),
            )
        )
        if self._random.random() < self.lost_part:
            return None
        return status, fields, content


class World:
    """Everything around the gateways, and the gateways by number."""

    def __init__(self, *, seed: int, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self.store = StoreStandin()
        self.store_proxy: Proxy | None = None
        self.upstreams: dict[str, SignedUpstream] = {}
        self.proxies: dict[str, Proxy] = {}
        self.version = 1
        self.keys = dict(KEYS)
        self._folder = folder
        self._hosts = [
            f"127.{1 + seed // 200 % 200}.{1 + seed % 200}.{number + 1}"
            for number in range(GATEWAYS)
        ]
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._replacing = [asyncio.Lock() for _ in range(GATEWAYS)]
        self._numbers = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.is_sending = True

    async def start(self) -> None:
        await self.store.start()
        self.store_proxy = Proxy(host="127.0.0.1", target=self.store.port)
        await self.store_proxy.start()
        await self.publish()
        for service in SERVICES:
            for number in range(REPLICAS):
                await self.add_upstream(service, f"{service}-{number}")
        self.ledger.accounts = dict(KEYS)
        self.ledger.limits = dict(RATES)
        for number in range(GATEWAYS):
            self.start_gateway(number, is_first=True)

    async def add_upstream(self, service: str, name: str) -> None:
        upstream = SignedUpstream(
            ledger=self.ledger, random=self.random, upstream=name, service=service
        )
        upstream.zone = self.random.choice(("zone-a", "zone-b"))
        await upstream.start()
        proxy = Proxy(host="127.0.0.1", target=upstream.port)
        await proxy.start()
        upstream.delay_s = 0.005
        self.upstreams[name], self.proxies[name] = upstream, proxy
        await self.describe(name, "ready")

    async def describe(self, name: str, state: str) -> None:
        entry = self.upstreams[name].describe(state)
        entry["address"] = f"127.0.0.1:{self.proxies[name].port}"
        await self.store.put(f"servers/{name}", entry)

    async def publish(self) -> None:
        """Writes a new version of the configuration with the keys of now."""
        tenants = [
            {
                "name": account,
                "apiKeys": [
                    key for key, owner in self.keys.items() if owner == account
                ],
                "ratePerS": rate,
                "burst": burst,
            }
            for account, (rate, burst) in RATES.items()
        ]
        self.version += self.random.randint(1, 5)
        document = build_configuration(self.version, tenants=tenants)
        await self.store.put("op/config", document)

    def start_gateway(self, number: int, *, is_first: bool = False) -> None:
        host = self._hosts[number]
        settings = self._folder / f"gateway-{number}.toml"
        settings.write_text(
            SETTINGS.format(
                name=f"gateway-{number}",
                host=host,
                zone="ab"[number % 2],
                seed=self._hosts[0],
                bootstrap=str(is_first).lower(),
                store=self.store_proxy.port,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(SOURCE),
            "SKYLARKCART_SETTINGS": str(settings),
        }
        with open(self._folder / f"gateway-{number}.log", "ab") as log:
            self._processes[number] = subprocess.Popen(
                [sys.executable, "-m", "skylarkcart.gateway.main"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal_gateway(self, number: int, name: signal.Signals) -> None:
        process = self._processes[number]
        if process.poll() is None:
            process.send_signal(name)

    async def replace_gateway(
        self, number: int, name: signal.Signals, *, pause_s: float = 0.0
    ) -> None:
        """Ends a process by a signal and starts the next one.

        A process that has not ended after the platform's grace is killed. Overlapping
        steps replace one after the other.
        """
        async with self._replacing[number]:
            process = self._processes[number]
            self.signal_gateway(number, name)
            until = time.monotonic() + STOP_GRACE_S
            while process.poll() is None:
                if time.monotonic() > until:
                    process.kill()
                await asyncio.sleep(0.02)
            await asyncio.sleep(pause_s)
            self.start_gateway(number)

    def start_callers(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._call()) for _ in range(CALLERS)]

    async def stop(self) -> None:
        self.is_sending = False
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for proxy in (self.store_proxy, *self.proxies.values()):
            await proxy.stop()
        for standin in (self.store, *self.upstreams.values()):
            standin.stop()
        # Lets the stand-ins' connections end before the loop does.
        await asyncio.sleep(0.2)

    async def _call(self) -> None:
        """Uses a connection until it ends, then opens one to any gateway."""
        while self.is_sending:
            host = self.random.choice(self._hosts)
            try:
                async with Caller(host=host, port=8363) as caller:
                    while await self._send(caller):
                        await asyncio.sleep(self.random.expovariate(12))
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                # The gateway is gone or frozen; the request stays unanswered.
                await asyncio.sleep(0.05)

    async def _send(self, caller: Caller) -> bool:
        kind = self.random.choice(("search", "search", "read", "file"))
        key = self.random.choice(("key-a", "key-b", "key-c"))
        self._numbers += 1
        sent = Sent(
            request=f"r{self._numbers}", kind=kind, key=key, sent_at=time.monotonic()
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
        stamps = headers.get("part-stamps") or headers.get("server-stamp") or ""
        sent.signatures = tuple(part for part in stamps.split(", ") if part)
        if "retry-after" in headers:
            await asyncio.sleep(min(0.5, float(headers["retry-after"])))
        return headers.get("connection") != "close" and self.is_sending
