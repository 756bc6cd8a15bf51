"""Stand-ins of the platform, its searchers and its clients, and a fleet of gateways.

The gateways run as separate processes with the command of the deploy file. All
addresses are loopback addresses; each gateway has its own one.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
GATEWAY_COMMAND = ("python3", "-m", "skylarkcart.gateway.main")

FRONT_PORT = 8363
READY_PORT = 8364
CONTROL_PORT = 8360
PEER_PORT = 7740
METRICS_PORT = 7755

# Zones and machines of the small museum deployment.
MACHINES = {"san-jose": 2, "heredia": 3, "alajuela": 2, "cartago": 1}
RATES = {"san-jose": 0.20, "heredia": 0.30, "alajuela": 0.25, "cartago": 0.25}

PROBE_INTERVAL_S = 1.0
FAILED_PROBES = 2
GRACE_S = 6.0
KEEP_ALIVE_S = 20
PAGE_ITEMS = 500

Headers = dict[str, str]
Answer = tuple[int, Headers, bytes]


class CaseError(Exception):
    """The case can't run here."""


class Record:
    """The text file of a case, with times in seconds since its start."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start, headers, body


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body or not start.startswith("GET"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """Passes each request to ``handle``; ``None`` closes the connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.AbstractServer | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle(self, method: str, target: str, headers: Headers) -> Answer | None:
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                start, headers, _ = await read_message(reader)
                method, target, _ = start.split(" ")
                answer = await self.handle(method, target, headers)
                if answer is None:
                    break
                status, fields, body = answer
                writer.write(encode(f"HTTP/1.1 {status} x", fields, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's store: one revision counter, range reads and watches."""

    def __init__(self, *, record: Record) -> None:
        super().__init__()
        self.page_items = PAGE_ITEMS
        self._record = record
        self._revision = 10
        self._items: dict[str, tuple[int, int, bytes]] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: object) -> float:
        """Stores a value and returns the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        created = self._items.get(key, (0, self._revision))[1]
        self._items[key] = (self._revision, created, data)
        return await self._publish(self._describe(key), f"put {key}, {len(data)} bytes")

    async def delete(self, key: str) -> float:
        self._revision += 1
        del self._items[key]
        event = {"key": key, "revision": self._revision, "tombstone": True}
        return await self._publish(event, f"delete {key}")

    async def handle(self, method: str, target: str, headers: Headers) -> Answer | None:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            keys = [
                key
                for key in sorted(self._items)
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            page = [self._describe(key) for key in keys[: self.page_items]]
            return self._respond({"items": page, "hasMore": len(keys) > self.page_items})
        if parts.path == "/kv-watch":
            return await self._watch(prefix, query)
        if parts.path == "/kv-key" and query.get("key") in self._items:
            return self._respond(self._describe(query["key"]))
        return 404, {}, b""

    async def _watch(self, prefix: str, query: dict[str, str]) -> Answer:
        after = int(query["after"])

        def list_events() -> list[dict]:
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1_000), self._changed:
                await self._changed.wait_for(list_events)
        return self._respond({"events": list_events()})

    def _respond(self, document: dict) -> Answer:
        body = json.dumps(document | {"asOf": self._revision}).encode()
        return 200, {"Content-Type": "application/json"}, body

    def _describe(self, key: str) -> dict:
        revision, created, data = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "createRevision": created,
            "lease": 0,
        }

    async def _publish(self, event: dict, what: str) -> float:
        async with self._changed:
            self._events.append(event)
            self._changed.notify_all()
        self._record.write(f"store: {what}, revision {event['revision']}, acknowledged")
        return time.monotonic()


@dataclasses.dataclass
class Run:
    """A request that a searcher began to work on."""

    at: float
    searcher: str
    service: str
    tenant: str | None


class Searcher(HttpServer):
    """A sound searcher that signs its answers."""

    def __init__(
        self, *, name: str, service: str, zone: str, record: Record, runs: dict
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = 0.005
        self._record = record
        self._runs = runs
        self._born = time.time_ns() // 1_000_000
        self._sequence = itertools.count(1)

    def describe(self, state: str = "ready") -> dict:
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "sequence": next(self._sequence),
            "born": self._born,
        }

    async def handle(self, method: str, target: str, headers: Headers) -> Answer | None:
        if target == "/healthz":
            return 200, {"Instance-Id": self.name}, b""
        if headers.get("target-instance", self.name) != self.name:
            return 421, {"Not-Executed": "1", "Instance-Id": self.name}, b""
        request = headers["request-id"]
        self._runs.setdefault(request, []).append(
            Run(
                at=time.monotonic(),
                searcher=self.name,
                service=self.service,
                tenant=headers.get("tenant"),
            )
        )
        self._record.write(f"run: {request} at {self.name} of {self.service}")
        await asyncio.sleep(self.work_s)
        fields = {
            "Request-Id": request,
            "Server-Stamp": f"{self.name}.{request}",
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
        }
        return 200, fields, self.name.encode().ljust(16, b".")


SETTINGS = """nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{host}"
zone = "{zone}"
region = "valle-central"
internalPorts = [7740,7755]
seeds = [{seeds}]
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","tenants","quota","platform"]
[zones]
san-jose = "valle-central"
heredia = "valle-central"
alajuela = "valle-central"
cartago = "valle-central"
[listenAddrs]
front = "{host}:8363"
ready = "{host}:8364"
control = "{host}:8360"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 12000
revokeStrict = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 56
quotaWindowS = 5
quotaOvershoot = 0.25
quotaSlack = 20
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
[platform]
address = "127.0.0.1:{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


@dataclasses.dataclass
class Gateway:
    """One gateway process and what the load balancer knows of it."""

    name: str
    host: str
    zone: str
    process: subprocess.Popen | None = None
    failed_probes: int = FAILED_PROBES


class Fleet:
    """The gateway processes and the platform's load balancer."""

    def __init__(self, *, record: Record, store_port: int) -> None:
        self._record = record
        self._store_port = store_port
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._next = itertools.count()
        self._probes: list[asyncio.Task] = []
        net = _find_free_net()
        self.gateways = [
            Gateway(name=f"front-{zone}-{n + 1}", host=f"{net}.{z}.{n + 1}", zone=zone)
            for z, (zone, count) in enumerate(MACHINES.items(), start=1)
            for n in range(count)
        ]

    async def start(self) -> None:
        """Starts all gateways and waits until each of them is ready."""
        for gateway in self.gateways:
            self.start_gateway(gateway, is_first=True)
        loop = asyncio.get_running_loop()
        self._probes = [
            loop.create_task(self._probe(gateway)) for gateway in self.gateways
        ]
        deadline = time.monotonic() + 25.0
        while any(gateway.failed_probes for gateway in self.gateways):
            if time.monotonic() > deadline:
                raise CaseError("not all gateways became ready within 25 s")
            await asyncio.sleep(0.1)
        self._record.say(f"{len(self.gateways)} gateways are ready")

    def start_gateway(self, gateway: Gateway, *, is_first: bool = False) -> None:
        seeds = [g for g in self.gateways if g.name.endswith("-1")][:3]
        path = self._folder / f"{gateway.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=gateway.name,
                host=gateway.host,
                zone=gateway.zone,
                seeds=",".join(f'"{seed.host}:{CONTROL_PORT}"' for seed in seeds),
                bootstrap=str(is_first).lower(),
                store=self._store_port,
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["SKYLARKCART_SETTINGS"] = str(path)
        with open(self._folder / f"{gateway.name}.log", "ab") as log:
            gateway.process = subprocess.Popen(
                GATEWAY_COMMAND,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{gateway.name}: process {gateway.process.pid} started")

    def choose(self, zone: str) -> Gateway:
        """Selects the gateway of a new connection, as the platform does.

        A zone with fewer than half of its gateways in rotation uses all of them.
        """
        gateways = [g for g in self.gateways if g.zone == zone]
        ready = [g for g in gateways if g.failed_probes < FAILED_PROBES]
        chosen = ready if 2 * len(ready) >= len(gateways) and ready else gateways
        return chosen[next(self._next) % len(chosen)]

    def read_logs(self, gateway: Gateway) -> list[dict]:
        lines = (self._folder / f"{gateway.name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def stop(self) -> None:
        """Ends all gateway processes that this fleet started."""
        for task in self._probes:
            task.cancel()
        started = [g.process for g in self.gateways if g.process is not None]
        for process in started:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while any(process.poll() is None for process in started):
            if time.monotonic() > deadline:
                for process in started:
                    if process.poll() is None:
                        process.kill()
            await asyncio.sleep(0.05)
        for process in started:
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def _probe(self, gateway: Gateway) -> None:
        """Asks a gateway once per second whether it is ready."""
        data = encode("GET /ready HTTP/1.1", {"Host": "ready", "Connection": "close"})
        while True:
            is_ready = False
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    reader, writer = await asyncio.open_connection(
                        gateway.host, READY_PORT
                    )
                    writer.write(data)
                    start, _, _ = await read_message(reader)
                    writer.close()
                    is_ready = " 200 " in start
            failed = 0 if is_ready else gateway.failed_probes + 1
            if (failed >= FAILED_PROBES) != (gateway.failed_probes >= FAILED_PROBES):
                state = "out of" if failed >= FAILED_PROBES else "in"
                self._record.write(f"{gateway.name}: {state} rotation")
            gateway.failed_probes = failed
            await asyncio.sleep(PROBE_INTERVAL_S)


@dataclasses.dataclass
class Sent:
    """A request of a client and its answer; status 0 if there was none."""

    request: str
    kind: str
    gateway: str
    at: float
    status: int = 0


class Clients:
    """Open-loop clients; each request gets its own connection."""

    def __init__(
        self, *, fleet: Fleet, record: Record, rng: random.Random, host: str
    ) -> None:
        self._fleet = fleet
        self._record = record
        self._rng = rng
        self._host = host
        self._count = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self.sent: dict[str, Sent] = {}

    async def run(
        self,
        *,
        seconds: float,
        per_s: float,
        kind: str,
        headers: Callable[[], Headers] = dict,
        deadline_ms: int = 1_200,
    ) -> None:
        """Sends requests of one kind at a steady rate, by zone as in the deployment."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            zone = self._rng.choices(list(RATES), list(RATES.values()))[0]
            task = asyncio.create_task(self._send(zone, kind, headers(), deadline_ms))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += 1.0 / per_s

    async def finish(self) -> None:
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=6.0)

    async def _send(
        self, zone: str, kind: str, headers: Headers, deadline_ms: int
    ) -> None:
        gateway = self._fleet.choose(zone)
        request = f"{next(self._count):08x}{self._rng.randrange(16**8):08x}"
        fields = {
            "Host": self._host,
            "Request-Id": request,
            "Deadline-Ms": str(deadline_ms),
        }
        data = encode(f"GET /{kind}/2f HTTP/1.1", fields | headers)
        sent = Sent(request, kind, gateway.name, time.monotonic())
        self.sent[request] = sent
        self._record.write(f"sent: {request} {kind} to {gateway.name}")
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(deadline_ms / 1_000):
                reader, writer = await asyncio.open_connection(
                    gateway.host, FRONT_PORT
                )
                try:
                    sent.at = time.monotonic()
                    writer.write(data)
                    start, _, _ = await read_message(reader)
                    sent.status = int(start.split(" ")[1])
                finally:
                    writer.close()
        self._record.write(f"answered: {request} {sent.status or 'no answer'}")


def _find_free_net() -> str:
    """Returns the first two numbers of loopback addresses with free ports."""
    rng = random.Random()
    for _ in range(20):
        net = f"127.{rng.randrange(20, 250)}"
        if all(
            _is_free(f"{net}.{z}.{n + 1}", port)
            for z, count in enumerate(MACHINES.values(), start=1)
            for n in range(count)
            for port in (
                FRONT_PORT,
                READY_PORT,
                CONTROL_PORT,
                PEER_PORT,
                METRICS_PORT,
            )
        ):
            return net
    raise CaseError("no loopback addresses with free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def run_case(folder: pathlib.Path, case: Callable) -> int:
    """Runs a case; returns 0 if the rule held, 1 if not, 2 if it couldn't run."""
    record = Record(folder=folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'yes' if has_trouble else 'no'}")
    try:
        is_broken = asyncio.run(case(record, has_trouble))
    except Exception as error:
        # Also an error of a stand-in: it says nothing about the rule.
        record.say(f"the case couldn't run: {error!r}")
        return 2
    finally:
        record.close()
    return 1 if is_broken else 0
