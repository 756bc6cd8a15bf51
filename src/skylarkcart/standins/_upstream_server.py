"""An HTTP server for many stand-in upstreams, each on its own listening socket."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import AsyncIterator, Sequence

import msgspec
from blacksheep import (
    Application,
    Content,
    Request,
    Response,
    Router,
    StreamedContent,
)

from skylarkcart.declarations import ListedProcess
from skylarkcart.entry import http_server
from skylarkcart.search import ShardResult
from skylarkcart.standins._connections import ConnectionTracker, build_protocol
from skylarkcart.standins._filing_faults import FilingFault, FilingFaults
from skylarkcart.standins._upstream import MILLISECONDS_PER_SECOND, StandinUpstream
from skylarkcart.types import ListState, Role, ShardId, SnapshotId, UpstreamId


class SearchBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /search``."""

    request_id: str
    snapshot: SnapshotId
    shards: tuple[ShardId, ...]
    query: str
    limit: int


class FilingBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /filings``."""

    request_id: str
    idempotency_key: str
    document: dict[str, msgspec.Raw]


class SearchReply(msgspec.Struct, kw_only=True):
    """The response to ``POST /search``."""

    request_id: str
    snapshot: SnapshotId
    shards: tuple[ShardResult, ...]


class FilingReply(msgspec.Struct, kw_only=True):
    """The response to ``POST /filings``."""

    request_id: str
    receipt: str


class RefusalReply(msgspec.Struct, kw_only=True):
    """The response to a request that was refused and did not run."""

    reason: str


class LoadReply(msgspec.Struct, kw_only=True):
    """The response to ``GET /load``: calls in flight divided by slots."""

    load: float


class UpstreamServer:
    """Serves many stand-in upstreams, each on its own listening socket.

    ``filing_runs`` counts runs by idempotency key over all upstreams. ``filing_faults``
    holds the faults injected into the next attempts of filings. ``query_call_times``
    maps a query text to the first and last ``time.monotonic`` at which it reached an
    upstream.
    """

    def __init__(self, *, upstreams: Sequence[StandinUpstream]) -> None:
        self.upstreams = {upstream.upstream: upstream for upstream in upstreams}
        self.filing_faults = FilingFaults()
        self.filing_runs: collections.Counter[str] = collections.Counter()
        self.query_call_times: dict[str, tuple[float, float]] = {}
        self._upstreams_by_port: dict[int, StandinUpstream] = {}
        self._addresses: dict[UpstreamId, str] = {}
        sockets = []
        for upstream in upstreams:
            listener = http_server.bind_address("127.0.0.1:0")
            sockets.append(listener)
            self._upstreams_by_port[listener.getsockname()[1]] = upstream
            self._addresses[upstream.upstream] = http_server.format_address(listener)
        self._connections = ConnectionTracker(
            find_counters=self._upstreams_by_port.__getitem__
        )
        self._server = http_server.HttpServer(
            application=self._build_application(),
            sockets=sockets,
            protocol=build_protocol(self._connections),
        )

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop()

    def make_unreachable(self, upstream: UpstreamId) -> None:
        """Aborts an upstream's connections and those of later requests."""
        self.upstreams[upstream].is_unreachable = True
        self.abort_connections(upstream)

    def abort_connections(self, upstream: UpstreamId) -> None:
        """Aborts an upstream's connections without a response, as a crash does."""
        port = int(self._addresses[upstream].rpartition(":")[2])
        self._connections.abort_port(port)

    def override_address(self, upstream: UpstreamId, address: str) -> None:
        """Lists an upstream at another address, such as one that refuses to connect."""
        self._addresses[upstream] = address

    def list_processes(self) -> tuple[ListedProcess, ...]:
        """Returns the correct instance list entries of these upstreams."""
        return tuple(
            ListedProcess(
                id=upstream.upstream,
                role=Role.UPSTREAM,
                zone=upstream.zone,
                address=self._addresses[upstream.upstream],
                state=ListState.LEAVING if upstream.is_draining else ListState.LIVE,
                incarnation=upstream.process,
                service=upstream.service,
            )
            for upstream in self.upstreams.values()
        )

    def _build_application(self) -> Application:
        router = Router()
        http_server.add_route(router, "POST", "/search", self._handle_search)
        http_server.add_route(router, "POST", "/filings", self._handle_filing)
        http_server.add_route(
            router, "POST", "/cancel/{request_id}", self._handle_cancel
        )
        http_server.add_route(router, "GET", "/load", self._handle_load)
        return Application(router=router)

    def _find_upstream(self, request: Request) -> StandinUpstream:
        return self._upstreams_by_port[request.scope["server"][1]]

    async def _check_admission(
        self, request: Request, upstream: StandinUpstream
    ) -> Response | None:
        """Returns the response to a request that is not run, or None to run it."""
        key = _get_connection_key(request)
        if upstream.is_unreachable:
            self._connections.abort(key)
            return Response(500)
        if (
            self._connections.claim_first_request(key)
            and upstream.profile.connect_cost_ms
        ):
            cost_ms = upstream.profile.connect_cost_ms
            await asyncio.sleep(cost_ms / MILLISECONDS_PER_SECOND)
        reason = upstream.find_refusal_reason()
        if reason is None:
            return None
        upstream.refused += 1
        return _build_refusal(upstream, reason)

    async def _handle_search(self, request: Request) -> Response:
        upstream = self._find_upstream(request)
        body = msgspec.json.decode(await request.read(), type=SearchBody)
        upstream.shards_asked += len(body.shards)
        now = time.monotonic()
        first, _ = self.query_call_times.get(body.query, (now, now))
        self.query_call_times[body.query] = (first, now)
        refusal = await self._check_admission(request, upstream)
        if refusal is not None:
            return refusal
        shards = upstream.search(body.snapshot, body.shards, body.query, body.limit)
        if shards is None:
            return _build_refusal(upstream, "snapshot_gone")
        if not await upstream.run_call(body.request_id):
            return Response(499)
        if upstream.is_unreachable:
            self._connections.abort(_get_connection_key(request))
        if upstream.fails_searches:
            return Response(500)
        reply = SearchReply(
            request_id=body.request_id, snapshot=body.snapshot, shards=shards
        )
        return _build_response(upstream, reply)

    async def _handle_filing(self, request: Request) -> Response:
        upstream = self._find_upstream(request)
        body = msgspec.json.decode(await request.read(), type=FilingBody)
        refusal = await self._check_admission(request, upstream)
        if refusal is not None:
            return refusal
        fault = self.filing_faults.pop_next()
        if fault is FilingFault.REFUSED_NOT_RUN:
            return _build_refusal(upstream, "shedding")
        if fault is FilingFault.RESET_BEFORE_RUN:
            self._connections.abort(_get_connection_key(request))
            return Response(500)
        await upstream.run_call(body.request_id)
        receipt = upstream.run_filing(body.request_id)
        self.filing_runs[body.idempotency_key or body.request_id] += 1
        if upstream.is_unreachable:
            self._connections.abort(_get_connection_key(request))
        reply = FilingReply(request_id=body.request_id, receipt=receipt)
        return await self._respond_to_filing(request, upstream, fault, reply)

    async def _respond_to_filing(
        self,
        request: Request,
        upstream: StandinUpstream,
        fault: FilingFault,
        reply: FilingReply,
    ) -> Response:
        """Responds to a filing that ran, applying the fault to the response."""
        if fault is FilingFault.RUN_THEN_RESET:
            self._connections.abort(_get_connection_key(request))
        if fault is FilingFault.RUN_THEN_TRUNCATED:
            return self._build_truncated_response(request, reply)
        if fault is FilingFault.RUN_THEN_LATE:
            await asyncio.sleep(self.filing_faults.late_ms / MILLISECONDS_PER_SECOND)
        if fault is FilingFault.RUN_THEN_ERROR:
            return Response(500)
        if fault is FilingFault.RUN_THEN_UNMARKED_REFUSAL:
            return Response(503)
        if fault is FilingFault.RUN_THEN_MALFORMED:
            return Response(200, content=Content(b"application/json", b'{"receipt":'))
        if fault is FilingFault.RUN_THEN_OTHER_REQUEST:
            reply.request_id = "another-request"
        return _build_response(upstream, reply)

    def _build_truncated_response(
        self, request: Request, reply: msgspec.Struct
    ) -> Response:
        """Returns a response that aborts the connection after half of its body."""
        body = msgspec.json.encode(reply)

        async def send_half() -> AsyncIterator[bytes]:
            yield body[: len(body) // 2]
            self._connections.abort(_get_connection_key(request))

        return Response(200, content=StreamedContent(b"application/json", send_half))

    async def _handle_cancel(self, request: Request) -> Response:
        upstream = self._find_upstream(request)
        upstream.cancel(request.route_values["request_id"])
        return Response(204)

    async def _handle_load(self, request: Request) -> Response:
        upstream = self._find_upstream(request)
        return _build_response(upstream, LoadReply(load=upstream.report_load()))


def _get_connection_key(request: Request) -> tuple[int, int]:
    return request.scope["server"][1], request.scope["client"][1]


def _build_response(upstream: StandinUpstream, reply: msgspec.Struct) -> Response:
    headers = [
        (b"X-Process", upstream.process.encode()),
        (b"X-Load", f"{upstream.report_load():.3f}".encode()),
    ]
    content = Content(b"application/json", msgspec.json.encode(reply))
    return Response(200, headers, content)


def _build_refusal(upstream: StandinUpstream, reason: str) -> Response:
    headers = [(b"X-Process", upstream.process.encode()), (b"X-Not-Run", b"true")]
    body = msgspec.json.encode(RefusalReply(reason=reason))
    return Response(503, headers, Content(b"application/json", body))
