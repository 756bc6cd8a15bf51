"""A stand-in for the platform: published values and an instance list that may lag."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Callable

import msgspec
from blacksheep import Application, Content, Request, Response, Router

from skylarkcart.declarations import InstanceList, ListedProcess
from skylarkcart.entry import http_server
from skylarkcart.platform import PublishedValue
from skylarkcart.types import ZoneId

MILLISECONDS_PER_SECOND = 1000.0
UNREACHABLE_ZONE_POLL_INTERVAL_S = 0.05


class StandinPlatform:
    """Serves published values and the instance list over HTTP.

    While ``is_down`` is set, every read gets a 503. ``reads`` counts all reads and
    ``list_reads`` those of the instance list, which is served as it was ``list_lag_s``
    ago. Each of ``zones`` has its own URL, so that the zones in ``unreachable_zones``
    get no response, and ``rewrite_entry`` can give each zone different list entries,
    for example with other addresses.
    """

    def __init__(
        self, *, address: str = "127.0.0.1:0", zones: tuple[ZoneId, ...] = ()
    ) -> None:
        self.is_down = False
        self.reads = 0
        self.list_reads = 0
        self.list_lag_s = 0.0
        self.unreachable_zones: set[ZoneId] = set()
        self.rewrite_entry: Callable[[ZoneId, ListedProcess], ListedProcess] | None = (
            None
        )
        self._replaced_lists: collections.deque[tuple[float, InstanceList]] = (
            collections.deque()
        )
        self._values: dict[str, PublishedValue] = {}
        self._list = InstanceList(version=1, instances=())
        self._changed = asyncio.Condition()
        self._listener = http_server.bind_address(address)
        self.url = f"http://{http_server.format_address(self._listener)}"
        self._zones_by_port: dict[int, ZoneId] = {}
        self._urls_by_zone: dict[ZoneId, str] = {}
        listeners = [self._listener]
        for zone in zones:
            listener = http_server.bind_address("127.0.0.1:0")
            listeners.append(listener)
            self._zones_by_port[listener.getsockname()[1]] = zone
            self._urls_by_zone[zone] = f"http://{http_server.format_address(listener)}"
        self._server = http_server.HttpServer(
            application=self._build_application(), sockets=listeners
        )

    def find_url(self, zone: ZoneId) -> str:
        """Returns the URL for the processes of a zone."""
        return self._urls_by_zone.get(zone, self.url)

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        self.is_down = True
        self.unreachable_zones.clear()
        async with self._changed:
            self._changed.notify_all()
        await self._server.stop()

    async def publish(self, key: str, value: bytes) -> None:
        """Publishes a value under the next version."""
        previous = self._values.get(key)
        version = previous.version + 1 if previous else 1
        async with self._changed:
            self._values[key] = PublishedValue(version=version, value=value)
            self._changed.notify_all()

    def publish_list(self, instances: tuple[ListedProcess, ...]) -> None:
        now = time.monotonic()
        self._replaced_lists.append((now, self._list))
        self._list = InstanceList(version=self._list.version + 1, instances=instances)

    @property
    def listed_processes(self) -> tuple[ListedProcess, ...]:
        return self._list.instances

    def _build_application(self) -> Application:
        router = Router()
        http_server.add_route(router, "GET", "/v1/values/*", self._handle_value)
        http_server.add_route(router, "GET", "/v1/instances", self._handle_list)
        return Application(router=router)

    async def _wait_while_zone_is_unreachable(self, request: Request) -> None:
        zone = self._zones_by_port.get(request.scope["server"][1])
        while zone in self.unreachable_zones:
            await asyncio.sleep(UNREACHABLE_ZONE_POLL_INTERVAL_S)

    def _get_lagged_list(self) -> InstanceList:
        """Returns the instance list as it was ``list_lag_s`` ago."""
        as_of = time.monotonic() - self.list_lag_s
        while self._replaced_lists and self._replaced_lists[0][0] <= as_of:
            self._replaced_lists.popleft()
        return self._replaced_lists[0][1] if self._replaced_lists else self._list

    async def _handle_value(self, request: Request) -> Response:
        self.reads += 1
        await self._wait_while_zone_is_unreachable(request)
        key = request.route_values["tail"]
        after = int(_get_query(request, "after") or 0)
        wait_ms = float(_get_query(request, "wait_ms") or 0.0)
        if wait_ms > 0:
            await self._wait_for_version(key, after, wait_ms)
        if self.is_down:
            return Response(503)
        published = self._values.get(key)
        if published is None:
            return Response(404)
        if published.version <= after:
            return Response(204)
        headers = [(b"X-Version", str(published.version).encode())]
        content = Content(b"application/json", published.value)
        return Response(200, headers, content)

    async def _wait_for_version(self, key: str, after: int, wait_ms: float) -> None:
        def is_newer() -> bool:
            published = self._values.get(key)
            return self.is_down or (published is not None and published.version > after)

        try:
            async with asyncio.timeout(wait_ms / MILLISECONDS_PER_SECOND):
                async with self._changed:
                    await self._changed.wait_for(is_newer)
        except TimeoutError:
            return

    async def _handle_list(self, request: Request) -> Response:
        self.reads += 1
        self.list_reads += 1
        await self._wait_while_zone_is_unreachable(request)
        if self.is_down:
            return Response(503)
        listed = self._get_lagged_list()
        zone = self._zones_by_port.get(request.scope["server"][1])
        if zone is not None and self.rewrite_entry is not None:
            entries = tuple(
                self.rewrite_entry(zone, entry) for entry in listed.instances
            )
            listed = msgspec.structs.replace(listed, instances=entries)
        body = msgspec.json.encode(listed)
        return Response(200, content=Content(b"application/json", body))


def _get_query(request: Request, name: str) -> str | None:
    values = request.query.get(name)
    return values[0] if values else None
