"""Stand-ins for the platform's store and upstreams, and a simple HTTP client."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

Headers = dict[str, str]
Response = tuple[int, Headers, bytes]
Handler = Callable[[str, str, Headers, bytes], Awaitable[Response | None]]

HOST = "127.0.0.1"
API_KEY = "key-of-museum"
ROUTE_HOST = "search.example"

# A page of a range read holds so many items or bytes, but one item at least.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Reads a start line, headers with lower-case names, and a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start, headers, body


def encode(start: str, headers: Headers, body: bytes) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpStandin:
    """An HTTP server that passes each request to ``handle``.

    ``None`` closes the connection, ``bytes`` are sent as they are before it closes.
    """

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.AbstractServer | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.resets_new_connections = False

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response | bytes | None:
        raise AssertionError("subclasses override handle()")

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        """Sends a response and returns whether the connection stays open."""
        writer.write(data)
        await writer.drain()
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.resets_new_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ")
                response = await self.handle(method, target, headers, body)
                if response is None:
                    break
                if isinstance(response, bytes):
                    writer.write(response)
                    break
                status, fields, content = response
                data = encode(f"HTTP/1.1 {status} x", fields, content)
                if not await self.send(writer, data):
                    break
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The client closed its connection, or the event loop is stopping.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class StoreCopy(NamedTuple):
    """A copy of the store's content, from which it can be restored."""

    revision: int
    items: dict[str, tuple[int, bytes]]
    events: list[dict]


class StoreStandin(HttpStandin):
    """A store of items with revisions that supports range reads and watches.

    All responses state the ``era`` unless it is None.
    """

    def __init__(self) -> None:
        super().__init__()
        self.era: object | None = None
        self.revision = 0
        self.items: dict[str, tuple[int, bytes]] = {}
        self.events: list[dict] = []
        self.is_unavailable = False
        self.calls = 0
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: object) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (self.revision, data)
        await self._add(self._describe(key))

    async def delete(self, key: str) -> None:
        self.revision += 1
        # A restore may have lost the item.
        self.items.pop(key, None)
        await self._add({"key": key, "revision": self.revision, "tombstone": True})

    def take_copy(self) -> StoreCopy:
        return StoreCopy(self.revision, dict(self.items), list(self.events))

    async def restore(self, copy: StoreCopy) -> None:
        """Replaces the content by a copy and starts the next era.

        Later changes get revisions that have been given out before.
        """
        for writer in list(self._writers):
            writer.transport.abort()
        self.era = 1 + (self.era or 0)
        self.revision = copy.revision
        self.items, self.events = dict(copy.items), list(copy.events)
        async with self._changed:
            self._changed.notify_all()

    async def handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response | None:
        response = await self._answer(target)
        if self.era is not None:
            response[1]["Store-Era"] = str(self.era)
        return response

    async def _answer(self, target: str) -> Response:
        self.calls += 1
        if self.is_unavailable:
            return 503, {}, b""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-range":
            return self._respond(self._build_page(query.get("after", "")))
        after = int(query["after"])
        if after > self.revision:
            return 410, {}, b""
        wait_s = int(query["waitMs"]) / 1_000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self.revision > after)
        except TimeoutError:
            # No change within the requested wait.
            return self._respond({"events": []})
        events = [event for event in self.events if event["revision"] > after]
        return self._respond({"events": events})

    def _build_page(self, after: str) -> dict:
        """Returns the items behind a key, as many as one page may hold."""
        keys = [key for key in sorted(self.items) if key > after]
        items: list[dict] = []
        size = 0
        for key in keys:
            size += len(self.items[key][1])
            if items and (size > PAGE_BYTES or len(items) == PAGE_ITEMS):
                break
            items.append(self._describe(key))
        return {"items": items, "hasMore": len(items) < len(keys)}

    def _respond(self, document: dict) -> Response:
        body = json.dumps(document | {"asOf": self.revision}).encode()
        return 200, {"Content-Type": "application/json"}, body

    def _describe(self, key: str) -> dict:
        revision, data = self.items[key]
        value = base64.b64encode(data).decode()
        return {"key": key, "revision": revision, "value": value}

    async def _add(self, event: dict) -> None:
        async with self._changed:
            self.events.append(event)
            self._changed.notify_all()


class UpstreamStandin(HttpStandin):
    """An upstream that signs its responses and records the requests that it ran."""

    def __init__(self, *, upstream: str, service: str, zone: str = "zone-a") -> None:
        super().__init__()
        self.upstream = upstream
        self.service = service
        self.zone = zone
        self.runs: list[tuple[str, Headers]] = []
        self.delay_s = 0.0
        self.handler: Handler | None = None
        self.is_leaving = False
        # With a time, the upstream refuses all requests and wants none for so long.
        self.retry_after: str | None = None
        self.refused: list[str] = []
        self.load = "1,0,4"

    def describe(self, state: str = "ready") -> dict:
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
        }

    async def handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response | bytes | None:
        if headers.get("target-instance") not in (None, self.upstream):
            return 421, {"Instance-Id": self.upstream}, b""
        if self.handler is not None:
            response = await self.handler(method, target, headers, body)
            if response is not None:
                return response
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        request = headers["request-id"]
        leaving = {"Server-Leaving": "1"} if self.is_leaving else {}
        if self.retry_after is not None:
            self.refused.append(request)
            fields = {"Not-Executed": "1", "Retry-After": self.retry_after}
            return 503, leaving | {"Request-Id": request} | fields, b""
        self.runs.append((request, headers))
        fields = leaving | {
            "Request-Id": request,
            "Server-Stamp": f"{self.upstream}.{request}.{len(self.runs)}",
            "Server-Load": self.load,
        }
        return 200, fields, self.upstream.encode().ljust(16, b".")


class Caller:
    """A caller with one connection."""

    def __init__(self, *, port: int, host: str = HOST) -> None:
        self._port = port
        self.host = host

    async def __aenter__(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection(self.host, self._port)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.writer.close()

    async def send(self, target: str, request: str, **fields: str) -> Response:
        """Sends a GET; ``fields`` are headers with underscores instead of dashes."""
        self.write(target, request, **fields)
        return await self.read()

    def write(
        self, target: str, request: str, method: str = "GET", **fields: str
    ) -> None:
        headers = {"Host": ROUTE_HOST, "Request-Id": request, "X-Api-Key": API_KEY}
        headers |= {name.replace("_", "-"): value for name, value in fields.items()}
        self.writer.write(encode(f"{method} {target} HTTP/1.1", headers, b""))

    async def read(self) -> Response:
        start, headers, body = await asyncio.wait_for(read_message(self.reader), 10)
        return int(start.split(" ")[1]), headers, body


def build_configuration(version: int = 1, **fields: object) -> dict:
    """Returns a configuration with a search over two shards and two plain routes."""
    common = {
        "host": ROUTE_HOST,
        "timeoutMs": 2_000,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
    }
    routes = [
        common
        | {
            "name": "search",
            "prefix": "/search/",
            "kind": "safe",
            "gather": ["shard-1", "shard-2"],
            "topK": 2,
            "minCoverage": 0.5,
        },
        common
        | {"name": "read", "prefix": "/read/", "kind": "safe", "service": "desk"},
        common
        | {"name": "file", "prefix": "/file/", "kind": "unsafe", "service": "desk"},
    ]
    services = [
        {"name": name, "healthPath": "/healthz", "maxConns": 40}
        for name in ("shard-1", "shard-2", "desk")
    ]
    account = {"name": "museum", "apiKeys": [API_KEY], "ratePerS": 1_000, "burst": 500}
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"maxHeaderBytes": 4_000, "maxBodyBytes": 1_000},
        "tenants": [account],
    }
    return document | fields
