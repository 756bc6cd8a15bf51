"""Stand-ins of the platform's store, of servers and of clients, for cases 6 to 10.

They use the standard library only. All addresses are loopback addresses, and all ports
are free ones. ``Case`` starts the gateways with the command of the deploy file and ends
everything that it started.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from urllib.parse import parse_qs, urlsplit

REPOSITORY = pathlib.Path(__file__).parents[1]
ZONES = ("zone-a", "zone-b")
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Descriptors of a machine, and those of the stand-ins.
MAX_FDS = 4_100
WANTED_FDS = 8_192

Headers = dict[str, str]
Answer = tuple[int, Headers, bytes]


class CaseError(Exception):
    """The case could not run, which says nothing about the rule."""


def now() -> float:
    return time.monotonic()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Reads a start line, headers with names in lower case, and a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start, headers, body


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    fields = headers | {"Content-Length": str(len(body))}
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Record:
    """What was sent, answered and run, written to ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._start = now()
        self._lines: list[str] = []

    def write(self, text: str) -> None:
        self._lines.append(f"{now() - self._start:9.3f} s  {text}")

    def save(self) -> None:
        self._path.write_text("\n".join(self._lines) + "\n")


class Server:
    """An HTTP/1.1 server on a free port of a loopback address."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.AbstractServer | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        """Listens, after a crash on the same port as before."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer | None:
        """Returns the answer, or None to reset the connection."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ")
                answer = await self.answer(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, fields, content = answer
                writer.write(encode(f"HTTP/1.1 {status} x", fields, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: range reads, watches, and writes of operator and servers."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.revision = 10
        self.items: dict[str, tuple[int, int, bytes]] = {}
        self.events: list[dict] = []
        self._changed = asyncio.Event()
        self.era = 1
        self.is_up = True

    def go_down(self) -> None:
        self.is_up = False
        self.crash()

    async def come_back(self) -> None:
        await self.open()
        self.is_up = True

    def take_copy(self) -> tuple[int, dict, list]:
        return self.revision, dict(self.items), list(self.events)

    def restore(self, copy: tuple[int, dict, list]) -> None:
        """Comes back from a copy: the next era begins, and revisions go back."""
        self.era += 1
        self.revision, self.items, self.events = copy[0], dict(copy[1]), list(copy[2])

    def put(self, key: str, document: object) -> None:
        """Writes an item; the return is the acknowledgement."""
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        value = json.dumps(document).encode()
        self.items[key] = (self.revision, created, value)
        self._add(self._describe(key))

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self._add({"key": key, "revision": self.revision, "tombstone": True})

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer | None:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            items = [self._describe(key) for key in keys]
            return self._respond({"items": items, "hasMore": False})
        if parts.path != "/kv-watch":
            return 404, {}, b""
        after = int(query["after"])
        if after > self.revision:
            return 410, {}, b""
        deadline = now() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or now() >= deadline:
                return self._respond({"events": events})
            try:
                await asyncio.wait_for(self._changed.wait(), deadline - now())
            except TimeoutError:
                continue

    def _respond(self, document: dict) -> Answer:
        body = json.dumps(document | {"asOf": self.revision}).encode()
        return 200, {"Content-Type": "application/json", "Store-Era": str(self.era)}, body

    def _describe(self, key: str) -> dict:
        revision, created, value = self.items[key]
        return {
            "key": key,
            "revision": revision,
            "createRevision": created,
            "lease": 0,
            "value": base64.b64encode(value).decode(),
        }

    def _add(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()


class Searcher(Server):
    """A server of one service, which registers itself in the store."""

    def __init__(
        self,
        host: str,
        *,
        name: str,
        service: str,
        store: Store,
        record: Record,
        zone: str = ZONES[0],
        slots: int = 8,
    ) -> None:
        super().__init__(host)
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self._store = store
        self._sequence = 0
        self.born_ms = 0
        self.work_s = 0.005
        self.body = b"r" * 64
        # Times and request ids of arrivals, and those that were run.
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str, str]] = []
        self.cold_until = 0.0
        self.health_questions = 0

    async def start(self, *, cold_s: float = 0.0) -> None:
        """Starts as a new process under its name, and then registers if it can."""
        self.born_ms = time.time_ns() // 1_000_000
        self.cold_until = now() + cold_s
        await self.open()
        self.record.write(f"server {self.name} started at {self.address}")

    def register(self, state: str = "ready") -> None:
        """Writes the entry, as a heartbeat does."""
        self._sequence += 1
        cold_ms = max(0, int((self.cold_until - now()) * 1000))
        self._store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldLeftMs": cold_ms,
                "sequence": self._sequence,
                "born": self.born_ms,
            },
        )

    def is_written(self) -> bool:
        """Whether the store holds what was registered last."""
        item = self._store.items.get(f"servers/{self.name}")
        return item is not None and json.loads(item[2])["sequence"] == self._sequence

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer | None:
        if target == "/healthz":
            self.health_questions += 1
            cold_ms = max(0, int((self.cold_until - now()) * 1000))
            fields = {"Instance-Id": self.name}
            return 200, fields | ({"Cold-Ms": str(cold_ms)} if cold_ms else {}), b""
        request = headers.get("request-id", "")
        if headers.get("target-instance", self.name) != self.name:
            return 421, {"Request-Id": request, "Instance-Id": self.name}, b""
        self.arrivals.append((now(), request))
        refusal = self.refuse(request)
        if refusal is not None:
            return refusal
        self.runs.append((now(), request, headers.get("tenant", "")))
        await asyncio.sleep(self.work_s)
        stamp = f"{self.name}.{request}.{len(self.runs)}"
        fields = {"Request-Id": request, "Server-Stamp": stamp}
        return 200, fields, self.body

    def refuse(self, request: str) -> Answer | None:
        """Returns the answer to a request that is not run, or None."""
        return None


class Client:
    """A client with one kept connection."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, *, receive_bytes: int | None = None) -> None:
        connection = socket.socket()
        if receive_bytes is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(
            loop.sock_connect(connection, (self._host, self._port)), 2
        )
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=16_384
        )

    def send(
        self,
        target: str,
        request: str,
        *,
        host: str,
        method: str = "GET",
        key: str | None = None,
        deadline_ms: int = 2_000,
        body: bytes = b"",
        fields: Headers | None = None,
    ) -> None:
        headers = {
            "Host": host,
            "Request-Id": request,
            "Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["X-Api-Key"] = key
        headers |= fields or {}
        self.writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))

    async def read(self, timeout_s: float) -> Answer:
        start, headers, body = await asyncio.wait_for(
            read_message(self.reader), timeout_s
        )
        return int(start.split(" ")[1]), headers, body

    async def ask(self, target: str, request: str, **options: object) -> Answer:
        """Sends a request on the kept connection, or on a new one after a close."""
        if self.writer is None:
            await self.connect()
        self.send(target, request, **options)
        try:
            answer = await self.read(5)
        except BaseException:
            self.close()
            raise
        if answer[1].get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, *, name: str, host: str, zone: str) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.process: subprocess.Popen[bytes] | None = None
        self.port = 0

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)


class Case:
    """One deployment: a store, servers, gateways and a record."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        gateways: int,
        bounds: dict[str, object],
        memory_mb: int = 300,
        zones: Sequence[str] = (),
    ) -> None:
        _raise_descriptor_limit()
        self._memory_mb = memory_mb
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.record.write(f"trouble: {self.has_trouble}")
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="skylarkcart-case-"))
        self._bounds = bounds
        net = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        self.platform_host = f"{net}.200"
        self.store = Store(self.platform_host)
        self.servers: list[Searcher] = []
        self.gateways = [
            Gateway(
                name=f"front-{number}",
                host=f"{net}.{number}",
                zone=zones[number - 1] if zones else ZONES[number % len(ZONES)],
            )
            for number in range(1, gateways + 1)
        ]
        self._zones = sorted({*ZONES, *zones})
        self._ports = _find_ports([gateway.host for gateway in self.gateways], 5)

    def add_server(self, name: str, service: str, kind: type = Searcher) -> Searcher:
        server = kind(
            self.platform_host,
            name=name,
            service=service,
            store=self.store,
            record=self.record,
        )
        self.servers.append(server)
        return server

    def start_gateway(self, gateway: Gateway, *, is_first: bool) -> None:
        peer, metrics, front, ready, control = self._ports
        gateway.port = front
        seeds = [f"{other.host}:{control}" for other in self.gateways[:3]]
        settings = {
            "nodeName": gateway.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": gateway.host,
            "zone": gateway.zone,
            "region": "region-1",
            "internalPorts": [peer, metrics],
            "seeds": seeds,
            "bootstrap": is_first,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "zones": dict.fromkeys(self._zones, "region-1"),
            "listenAddrs": {
                "front": f"{gateway.host}:{front}",
                "ready": f"{gateway.host}:{ready}",
                "control": f"{gateway.host}:{control}",
            },
            "limits": {
                "memoryMb": self._memory_mb,
                "maxFds": MAX_FDS,
                "linkMbps": 1000.0,
            },
            "bounds": self._bounds,
            "platform": {"address": self.store.address, "readsPerS": 2000},
        }
        path = self._folder / f"{gateway.name}.toml"
        path.write_text(_encode_toml(settings))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["gateway"]["run"].split()
        dependencies = REPOSITORY / "target/deps"
        if not (dependencies / "skylarkcart").is_dir():
            raise CaseError("target/deps is missing: run the build of the deploy file")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(dependencies),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SKYLARKCART_SETTINGS": str(path),
        }
        log = open(self._folder / f"{gateway.name}.log", "ab")
        gateway.process = subprocess.Popen(
            [shutil.which(program) or sys.executable, *arguments],
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=log,
            preexec_fn=_limit_descriptors,
        )
        log.close()
        self.record.write(f"gateway {gateway.name} started")

    async def start(self, configuration: dict) -> None:
        """Starts everything and waits until all gateways are ready."""
        await self.store.open()
        self.store.put("op/config", configuration)
        for server in self.servers:
            await server.start()
            server.register()
        for gateway in self.gateways:
            self.start_gateway(gateway, is_first=True)
        for gateway in self.gateways:
            await self.wait_until_ready(gateway)
        self.record.write("all gateways are ready")
        self._prober = asyncio.create_task(self._probe())

    async def wait_until_ready(self, gateway: Gateway) -> None:
        deadline = now() + 20
        while not await self.is_ready(gateway):
            if now() > deadline or not gateway.is_running():
                raise CaseError(f"{gateway.name} did not become ready")
            await asyncio.sleep(0.1)

    async def _probe(self) -> None:
        """Asks each gateway once a second whether it is ready, as the platform does."""
        while True:
            for gateway in self.gateways:
                await self.is_ready(gateway)
            await asyncio.sleep(1)

    async def is_ready(self, gateway: Gateway) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                gateway.host, self._ports[3]
            )
        except OSError:
            return False
        try:
            writer.write(encode("GET /ready HTTP/1.1", {"Host": "ready"}))
            start, _, _ = await asyncio.wait_for(read_message(reader), 1)
            return start.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def read_log(self, gateway: Gateway) -> str:
        return (self._folder / f"{gateway.name}.log").read_text(errors="replace")

    def end(self) -> None:
        """Ends all processes that were started, and removes the settings and logs."""
        for gateway in self.gateways:
            if gateway.process is not None:
                if gateway.process.poll() is None:
                    gateway.process.kill()
                gateway.process.wait()
        for server in (*self.servers, self.store):
            server.crash()
        shutil.rmtree(self._folder, ignore_errors=True)
        self.record.save()


def run_case(case: Case, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Plays a case and exits: 1 with violations of the rule, 0 without, 2 on errors."""

    async def run() -> list[str]:
        async with asyncio.timeout(115):
            return await play(case)

    status = NOT_RUN
    try:
        violations = asyncio.run(run())
        for violation in violations:
            case.record.write(f"VIOLATION {violation}")
            print(violation)
        status = BROKEN if violations else HELD
        case.record.write("the rule was broken" if violations else "the rule held")
    except (CaseError, OSError, TimeoutError) as error:
        case.record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        case.end()
    sys.exit(status)


async def send_load(
    case: Case,
    *,
    started: float,
    end_s: float,
    per_s: float,
    clients: int,
    target: str,
    host: str,
    key: str,
    prefix: str = "r",
) -> dict[str, float]:
    """Sends requests at an even rate to all gateways; returns when each was sent."""
    numbers = itertools.count()
    sent: dict[str, float] = {}

    async def run_client(index: int) -> None:
        gateway = case.gateways[index % len(case.gateways)]
        client = Client(gateway.host, gateway.port)
        due = started + index / per_s
        while due < started + end_s:
            await asyncio.sleep(max(0.0, due - now()))
            due += clients / per_s
            request = f"{prefix}{next(numbers):06d}"
            sent[request] = now()
            try:
                status, _, _ = await client.ask(target, request, host=host, key=key)
                result = str(status)
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                result = type(error).__name__
            case.record.write(f"{request} at {gateway.name}: {result}")
        client.close()

    async with asyncio.TaskGroup() as group:
        for index in range(clients):
            group.create_task(run_client(index))
    return sent


def find_most(
    requests: Sequence[tuple[float, float]], window_s: float
) -> tuple[int, float]:
    """Returns the most requests sent and arrived in one window, and its start.

    ``requests`` holds the times at which each was sent and has arrived.
    """
    most = (0, 0.0)
    for start, _ in requests:
        count = sum(
            sent >= start and arrived <= start + window_s for sent, arrived in requests
        )
        most = max(most, (count, start))
    return most


def build_route(name: str, prefix: str, host: str, **fields: object) -> dict:
    route = {
        "name": name,
        "host": host,
        "prefix": prefix,
        "kind": "safe",
        "timeoutMs": 5_000,
        "targetLatencyMs": 500,
        "maxAttempts": 2,
        "priority": 1,
        "public": False,
    }
    return route | fields


def build_service(name: str, **fields: object) -> dict:
    service = {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 0.0,
    }
    return service | fields


def build_configuration(
    version: int,
    *,
    routes: Sequence[dict],
    services: Sequence[dict],
    tenants: Sequence[dict],
) -> dict:
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": list(tenants),
    }


def _raise_descriptor_limit() -> None:
    """Allows this process the descriptors that the system grants it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < MAX_FDS:
        print(f"{hard} descriptors are too few for this case")
        sys.exit(NOT_RUN)
    wanted = WANTED_FDS if hard == resource.RLIM_INFINITY else min(hard, WANTED_FDS)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def _limit_descriptors() -> None:
    """Gives a gateway the descriptors of its machine."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


def _find_ports(hosts: Sequence[str], count: int) -> list[int]:
    """Returns ports that are free at all hosts, as gateways share one peer port."""
    while True:
        first = random.randrange(20_000, 30_000)
        ports = list(range(first, first + count))
        try:
            for host in hosts:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
            return ports
        except OSError:
            continue


def _encode_toml(settings: dict[str, object]) -> str:
    plain = [
        f"{name} = {json.dumps(value)}"
        for name, value in settings.items()
        if not isinstance(value, dict)
    ]
    tables = [
        "\n".join([f"[{name}]", *(f"{key} = {json.dumps(item)}" for key, item in value.items())])
        for name, value in settings.items()
        if isinstance(value, dict)
    ]
    return "\n".join([*plain, *tables]) + "\n"
