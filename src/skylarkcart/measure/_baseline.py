"""The baseline: an entry instance without the mechanisms that the scenarios measure.

A search calls one replica of each shard, chosen round robin among the listed upstreams,
and waits for all calls. Each instance enforces an equal, static share of an account's
limit. Under overload, requests wait in one FIFO queue. A failed filing is retried on
the next upstream, and is reported as not run once all attempts have failed. Each
instance polls the configuration and the instance list from the platform at a fixed
interval.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import uuid
from collections.abc import Mapping

import aiohttp
import msgspec
from blacksheep import Application, Content, Request, Response, Router

from skylarkcart.declarations import AccountRow, Configuration, ServiceRow
from skylarkcart.entry import http_server
from skylarkcart.platform import CONFIGURATION_KEY, HttpPlatform, PlatformError
from skylarkcart.search import (
    Coverage,
    MissingShard,
    SearchAnswer,
    ShardResult,
    ShardStatus,
)
from skylarkcart.standins import StandinDeployment
from skylarkcart.types import (
    AccountId,
    ListState,
    RequestId,
    Role,
    ServiceId,
    ShardId,
    UpstreamId,
    ZoneId,
    ZoneState,
)

MAX_FILING_ATTEMPTS = 3
# The longest interval that still applies a configuration change within 3 s.
POLL_INTERVAL_S = 2.5
MILLISECONDS_PER_SECOND = 1000.0


class SearchRequest(msgspec.Struct, kw_only=True):
    """The fields of a caller's search request that the baseline reads."""

    query: str
    limit: int = 10


class UpstreamSearchResponse(msgspec.Struct, kw_only=True):
    """An upstream's response to a search call."""

    shards: tuple[ShardResult, ...]


class UpstreamFilingResponse(msgspec.Struct, kw_only=True):
    """An upstream's response to a filing."""

    receipt: str


class StaticTokenBucket:
    """One instance's equal share of an account's rate and burst. It starts empty."""

    def __init__(self, *, row: AccountRow, instances: int, started_at: float) -> None:
        self._rate_per_s = row.rate_per_s / instances
        self._capacity = max(1.0, row.burst / instances)
        self._balance = 0.0
        self._refilled_at = started_at

    def try_spend(self) -> bool:
        now = time.monotonic()
        accrued = (now - self._refilled_at) * self._rate_per_s
        self._balance = min(self._capacity, self._balance + accrued)
        self._refilled_at = now
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class BaselineInstance:
    """Serves the callers' routes.

    At most ``concurrency`` requests run at once. Further requests wait in FIFO order.
    """

    def __init__(
        self,
        *,
        deployment: StandinDeployment,
        zone: ZoneId,
        concurrency: int,
        seed: int,
    ) -> None:
        self.zone = zone
        self._deployment = deployment
        self._round_robin = itertools.count(random.Random(seed).randrange(1000))
        self._concurrency_limit = asyncio.Semaphore(concurrency)
        self._buckets: dict[AccountId, StaticTokenBucket] = {}
        # Buckets fill from the start of the instance, not from their first request.
        self._started_at = time.monotonic()
        self._configuration = deployment.configuration
        self._listed_processes = deployment.platform.listed_processes
        self._listener = http_server.bind_address("127.0.0.1:0")
        self.address = http_server.format_address(self._listener)
        router = Router()
        http_server.add_route(
            router, "POST", "/v1/services/{service}/search", self._handle_search
        )
        http_server.add_route(
            router, "POST", "/v1/services/{service}/filings", self._handle_filing
        )
        self._server = http_server.HttpServer(
            application=Application(router=router), sockets=[self._listener]
        )

    async def start(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        self._poll_task = asyncio.create_task(self._poll())
        await self._server.start()

    async def stop(self) -> None:
        """Stops without draining, as a server without graceful shutdown does."""
        self._poll_task.cancel()
        await asyncio.gather(self._poll_task, return_exceptions=True)
        await self._server.stop()
        await self._session.close()

    @property
    def revision(self) -> int:
        return self._configuration.revision

    async def _poll(self) -> None:
        url = self._deployment.platform.find_url(self.zone)
        platform = HttpPlatform(url=url, session=self._session)
        while True:
            try:
                published = await platform.read(CONFIGURATION_KEY)
                if published is not None:
                    self._configuration = msgspec.json.decode(
                        published.value, type=Configuration
                    )
                self._listed_processes = (await platform.list_instances()).instances
            except PlatformError:
                pass
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _handle_search(self, request: Request) -> Response:
        return await self._handle_request(request, is_filing=False)

    async def _handle_filing(self, request: Request) -> Response:
        return await self._handle_request(request, is_filing=True)

    async def _handle_request(self, request: Request, *, is_filing: bool) -> Response:
        account = self._authenticate(request)
        if account is None:
            return _build_error_response(401, "unauthenticated", "not_run")
        if not self._get_bucket(account).try_spend():
            return _build_error_response(429, "rate_exceeded", "not_run")
        row = self._find_service(ServiceId(request.route_values["service"]))
        body = await request.read() or b""
        try:
            async with asyncio.timeout(row.deadline_ms / MILLISECONDS_PER_SECOND):
                async with self._concurrency_limit:
                    if is_filing:
                        return await self._run_filing(row, request, body)
                    return await self._run_search(row, body)
        except TimeoutError:
            return _build_error_response(504, "deadline", "may_have_run")

    def _authenticate(self, request: Request) -> AccountId | None:
        header = request.get_first_header(b"authorization") or b""
        token = header.decode("latin-1").removeprefix("Bearer ")
        published = {row.key_id for row in self._configuration.keys}
        if token.partition(".")[0] not in published:
            return None
        for account, key in self._deployment.keys.items():
            if key == token:
                return account
        return None

    def _get_bucket(self, account: AccountId) -> StaticTokenBucket:
        if account not in self._buckets:
            accounts = self._configuration.accounts
            row = next(row for row in accounts if row.account == account)
            self._buckets[account] = StaticTokenBucket(
                row=row,
                instances=self._configuration.max_instances,
                started_at=self._started_at,
            )
        return self._buckets[account]

    def _find_service(self, service: ServiceId) -> ServiceRow:
        rows = self._configuration.services
        return next(row for row in rows if row.service == service)

    def _list_addresses(self, service: ServiceId) -> Mapping[UpstreamId, str]:
        closed = {
            row.zone
            for row in self._configuration.zones
            if row.state is not ZoneState.OPEN
        }
        return {
            entry.upstream: entry.address
            for entry in self._listed_processes
            if entry.role is Role.UPSTREAM
            and entry.service == service
            and entry.state is ListState.LIVE
            and entry.zone not in closed
        }

    async def _run_search(self, row: ServiceRow, body: bytes) -> Response:
        search = msgspec.json.decode(body, type=SearchRequest)
        snapshot = self._deployment.snapshots[row.service]
        addresses = self._list_addresses(row.service)
        request_id = uuid.uuid4().hex
        calls = []
        for placement in snapshot.shards:
            replicas = [
                upstream for upstream in placement.upstreams if upstream in addresses
            ]
            position = next(self._round_robin)
            address = (
                addresses[replicas[position % len(replicas)]] if replicas else None
            )
            payload = {
                "request_id": request_id,
                "snapshot": snapshot.snapshot,
                "shards": [placement.shard],
                "query": search.query,
                "limit": search.limit,
            }
            calls.append(self._call_replica(address, payload))
        results = await asyncio.gather(*calls)
        shards = [placement.shard for placement in snapshot.shards]
        answer = _merge_results(
            RequestId(request_id), snapshot.snapshot, shards, results
        )
        return _build_response(200, msgspec.json.encode(answer))

    async def _call_replica(
        self, address: str | None, payload: Mapping[str, object]
    ) -> ShardResult | None:
        if address is None:
            return None
        url = f"http://{address}/search"
        try:
            async with self._session.post(url, json=payload) as response:
                data = await response.read()
                if response.status != 200:
                    return None
        except (aiohttp.ClientError, OSError):
            return None
        return msgspec.json.decode(data, type=UpstreamSearchResponse).shards[0]

    async def _run_filing(
        self, row: ServiceRow, request: Request, body: bytes
    ) -> Response:
        request_id = uuid.uuid4().hex
        key = request.get_first_header(b"idempotency-key") or b""
        payload = msgspec.json.decode(body) | {
            "request_id": request_id,
            "idempotency_key": key.decode("latin-1"),
        }
        addresses = list(self._list_addresses(row.service).values())
        for _ in range(MAX_FILING_ATTEMPTS):
            address = addresses[next(self._round_robin) % len(addresses)]
            receipt = await self._send_filing(address, payload)
            if receipt is not None:
                answer = {
                    "request_id": request_id,
                    "receipt": receipt,
                    "verdict": "ran",
                }
                return _build_response(200, msgspec.json.encode(answer))
        return _build_error_response(503, "filing_failed", "not_run")

    async def _send_filing(self, address: str, payload: object) -> str | None:
        url = f"http://{address}/filings"
        try:
            async with self._session.post(url, json=payload) as response:
                data = await response.read()
                if response.status != 200:
                    return None
            return msgspec.json.decode(data, type=UpstreamFilingResponse).receipt
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            return None


def _merge_results(
    request_id: RequestId,
    snapshot: str,
    shards: list[ShardId],
    results: list[ShardResult | None],
) -> SearchAnswer:
    successful = [
        result for result in results if result and result.status is ShardStatus.OK
    ]
    covered = {result.shard for result in successful}
    missing = tuple(
        MissingShard(shard=shard, reason="failed")
        for shard in shards
        if shard not in covered
    )
    hits = sorted(
        (hit for result in successful for hit in result.hits),
        key=lambda hit: -hit.score,
    )
    return SearchAnswer(
        request_id=request_id,
        snapshot=snapshot,
        coverage=Coverage(
            covered=len(covered),
            total=len(shards),
            complete=not missing,
            missing=missing,
        ),
        hits=tuple(hits),
        total_hits=sum(result.total for result in successful),
    )


def _build_response(status: int, body: bytes) -> Response:
    return Response(status, content=Content(b"application/json", body))


def _build_error_response(status: int, code: str, verdict: str) -> Response:
    body = {"error": code, "detail": code, "verdict": verdict, "retry_after_ms": None}
    return _build_response(status, msgspec.json.encode(body))
