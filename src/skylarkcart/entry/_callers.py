"""HTTP routes for callers, the load balancer and operators."""

from __future__ import annotations

import functools
import uuid
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from blacksheep import Application, Content, Request, Response, Router
from blacksheep.exceptions import MessageAborted

from skylarkcart.clock import Millis
from skylarkcart.declarations import IndexSnapshot, ServiceRow
from skylarkcart.entry import http_server
from skylarkcart.entry._admission import Admission
from skylarkcart.entry._client import UpstreamClient
from skylarkcart.entry._filings import FilingRunner
from skylarkcart.entry._gauges import update_gauges
from skylarkcart.entry._peers import PeerExchange
from skylarkcart.entry._queues import QueuedSearch, SearchQueues
from skylarkcart.entry._searches import SearchRunner
from skylarkcart.entry._state import InstanceState
from skylarkcart.entry._tracing import Tracing, extract_context
from skylarkcart.entry._wire import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    MAX_LIMIT,
    MAX_QUERY_CHARACTERS,
    CallerErrorResponse,
    CallerFilingRequest,
    CallerFilingResponse,
    CallerSearchRequest,
)
from skylarkcart.errors import DECODING_ERRORS, RequestRefusedError
from skylarkcart.filings import FilingExecution
from skylarkcart.keys import Authenticated
from skylarkcart.search import SearchAnswer, SearchExecution, SearchRequest
from skylarkcart.types import AccountId, RequestId, ServiceId
from skylarkcart.verdict import RunVerdict

MAX_BODY_BYTES = 1_000_000
MAX_IDEMPOTENCY_KEY_CHARACTERS = 256
MILLISECONDS_PER_SECOND = 1000.0
ANONYMOUS_ACCOUNT = AccountId("open")

MAX_DEADLINE_DIGITS = 9

_Body = TypeVar("_Body")


class _Caller(msgspec.Struct, frozen=True, kw_only=True):
    """The service and account of a request.

    ``authenticated`` is None for a request without a valid key to a service that is
    open to all.
    """

    row: ServiceRow
    account: AccountId
    authenticated: Authenticated | None = None


RequestHandler = Callable[[Request, _Caller], Awaitable[bytes]]


class CallerRoutes:
    """Authenticates, admits and runs requests.

    Every error response states the verdict, so that the caller knows whether a retry
    is safe.
    """

    def __init__(
        self,
        *,
        state: InstanceState,
        client: UpstreamClient,
        tracing: Tracing,
        peers: PeerExchange,
    ) -> None:
        self._state = state
        self._admission = Admission(state=state, peers=peers)
        self._queues = SearchQueues(state=state)
        self._client = client
        self._tracing = tracing

    def build_application(self) -> Application:
        router = Router()
        http_server.add_route(
            router, "POST", "/v1/services/{service}/search", self.search
        )
        http_server.add_route(
            router, "POST", "/v1/services/{service}/filings", self.submit_filing
        )
        http_server.add_route(router, "GET", "/healthz", self.report_health)
        http_server.add_route(router, "GET", "/readyz", self.report_readiness)
        http_server.add_route(router, "GET", "/metrics", self.report_metrics)
        return Application(router=router)

    async def search(self, request: Request) -> Response:
        """Runs a search against a single index snapshot."""
        return await self._handle_request(request, "search", self._handle_search)

    async def submit_filing(self, request: Request) -> Response:
        """Executes a filing at most once."""
        return await self._handle_request(request, "filing", self._handle_filing)

    async def report_health(self, request: Request) -> Response:
        return _build_response(200, b'{"status":"alive"}')

    async def report_readiness(self, request: Request) -> Response:
        lifecycle = self._state.lifecycle
        lifecycle.record_probe()
        status = 200 if lifecycle.is_ready else 503
        body = msgspec.json.encode({"state": lifecycle.state.value})
        return self._set_connection_close(_build_response(status, body))

    async def report_metrics(self, request: Request) -> Response:
        update_gauges(self._state)
        content = Content(b"text/plain; version=0.0.4", self._state.metrics.render())
        return Response(200, content=content)

    async def _handle_request(
        self, request: Request, kind: str, handler: RequestHandler
    ) -> Response:
        state = self._state
        started_at = state.now
        state.lifecycle.begin_request(started_at)
        service = ServiceId(request.route_values["service"])
        code, account = "ok", None
        try:
            caller = self._authenticate_caller(request, service)
            account = caller.account
            if caller.authenticated is not None:
                await self._admission.admit(account)
            response = _build_response(200, await handler(request, caller))
        except RequestRefusedError as error:
            code = error.code
            response = _build_error_response(error)
        finally:
            state.lifecycle.end_request()
        label = service if state.find_service(service) else "unknown"
        elapsed_s = (state.now - started_at) / MILLISECONDS_PER_SECOND
        state.metrics.requests.labels(label, kind, code).inc()
        if account is not None:
            state.metrics.count_account(account, code)
        state.metrics.request_duration.labels(label, kind).observe(elapsed_s)
        return self._set_connection_close(response)

    def _set_connection_close(self, response: Response) -> Response:
        if self._state.lifecycle.closes_connections:
            response.headers.set(b"Connection", b"close")
        return response

    def _authenticate_caller(self, request: Request, service: ServiceId) -> _Caller:
        state = self._state
        if state.configuration is None:
            raise _build_refusal("not_ready", "no configuration yet", 503)
        row = state.find_service(service)
        if row is None:
            raise _build_refusal(
                "unknown_service", f"service {service!r} is unknown", 404
            )
        authenticated = state.keys.authenticate(_get_header(request, "authorization"))
        if authenticated is None:
            if row.open_to_all:
                return _Caller(row=row, account=ANONYMOUS_ACCOUNT)
            raise _build_refusal(
                "unauthenticated", "the key is missing or not valid", 401
            )
        return _Caller(
            row=row, account=authenticated.account, authenticated=authenticated
        )

    async def _handle_search(self, request: Request, caller: _Caller) -> bytes:
        search = _decode(await _read_body(request), CallerSearchRequest)
        _check_range("limit", search.limit, MAX_LIMIT)
        _check_range("query length", len(search.query), MAX_QUERY_CHARACTERS)
        search_request = SearchRequest(
            request_id=RequestId(uuid.uuid4().hex),
            query=search.query,
            limit=search.limit,
        )
        queued_search = QueuedSearch(
            request_id=search_request.request_id,
            service=caller.row,
            account=caller.account,
            authenticated=caller.authenticated,
            cost=max(1, len(self._require_snapshot(caller.row).shards)),
            deadline=Millis(self._state.now + _read_deadline_ms(request, caller.row)),
        )
        async with self._queues.admit(queued_search):
            answer = await self._run_search(request, search_request, queued_search)
        ratio = answer.coverage.covered / max(1, answer.coverage.total)
        self._state.metrics.coverage_ratio.labels(caller.row.service).observe(ratio)
        return msgspec.json.encode(answer)

    async def _run_search(
        self,
        request: Request,
        search_request: SearchRequest,
        queued_search: QueuedSearch,
    ) -> SearchAnswer:
        execution = SearchExecution(
            request=search_request,
            snapshot=self._require_snapshot(queued_search.service),
            chooser=self._state.upstream_directory,
            deadline=queued_search.deadline,
            answer_by=Millis(self._state.now + queued_search.service.answer_by_ms),
            prefer=queued_search.service.prefer,
            service_calls=self._state.get_service_calls(queued_search.service),
            snapshots=self._state,
        )
        parent = extract_context(_get_header(request, "traceparent"))
        span, span_context = self._tracing.start_span("search", parent)
        runner = SearchRunner(
            state=self._state,
            client=self._client,
            tracing=self._tracing,
            service=queued_search.service.service,
            account=queued_search.account,
            request=search_request,
            execution=execution,
            span_context=span_context,
            queued_search=queued_search,
            wait_for_disconnect=functools.partial(_wait_for_disconnect, request),
        )
        try:
            return await runner.run()
        finally:
            span.end()

    def _require_snapshot(self, row: ServiceRow) -> IndexSnapshot:
        snapshot = self._state.find_snapshot(row.service)
        if snapshot is None:
            raise _build_refusal(
                "no_snapshot", f"{row.service} has no index snapshot", 503
            )
        return snapshot

    async def _handle_filing(self, request: Request, caller: _Caller) -> bytes:
        row = caller.row
        filing = _decode(await _read_body(request), CallerFilingRequest)
        key = _get_header(request, IDEMPOTENCY_HEADER) or ""
        _check_range("idempotency key", len(key), MAX_IDEMPOTENCY_KEY_CHARACTERS)
        request_id = RequestId(uuid.uuid4().hex)
        execution = FilingExecution(
            request_id=request_id,
            candidates=self._state.upstream_directory.list_service(row.service),
            chooser=self._state.upstream_directory,
            deadline=self._state.now + _read_deadline_ms(request, row),
            idempotency_key=key,
        )
        parent = extract_context(_get_header(request, "traceparent"))
        span, span_context = self._tracing.start_span("filing", parent)
        runner = FilingRunner(
            state=self._state,
            client=self._client,
            tracing=self._tracing,
            service=row.service,
            account=caller.account,
            request_id=request_id,
            filing=filing,
            idempotency_key=key,
            execution=execution,
            span_context=span_context,
        )
        try:
            result = await runner.run()
        finally:
            span.end()
        if result.verdict is not RunVerdict.RAN:
            raise RequestRefusedError(
                code="filing_failed",
                detail=result.reason,
                status=503 if result.verdict is RunVerdict.NOT_RUN else 504,
                verdict=result.verdict,
            )
        receipt = CallerFilingResponse(
            request_id=request_id, receipt=result.receipt, verdict=result.verdict.value
        )
        return msgspec.json.encode(receipt)


def _get_header(request: Request, name: str) -> str | None:
    value = request.get_first_header(name.lower().encode())
    return value.decode("latin-1") if value is not None else None


async def _read_body(request: Request) -> bytes:
    declared = request.get_first_header(b"content-length")
    if declared is not None and declared.isdigit():
        _check_range("body bytes", int(declared), MAX_BODY_BYTES, status=413)
    body = bytearray()
    try:
        async for chunk in request.stream():
            body += chunk
            _check_range("body bytes", len(body), MAX_BODY_BYTES, status=413)
    except MessageAborted as error:
        raise _build_refusal("caller_gone", "the body was cut off", 400) from error
    return bytes(body)


async def _wait_for_disconnect(request: Request) -> None:
    """Returns when the caller closes its connection.

    The request body must have been read before.
    """
    while True:
        message = await request.content.receive()
        if message["type"] == "http.disconnect":
            return


def _decode(body: bytes, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODING_ERRORS as error:
        raise _build_refusal("bad_request", str(error), 400) from error


def _check_range(name: str, value: int, maximum: int, *, status: int = 400) -> None:
    if not 0 <= value <= maximum:
        detail = f"{name} is {value}, expected 0 to {maximum}"
        raise _build_refusal("bad_request", detail, status)


def _read_deadline_ms(request: Request, row: ServiceRow) -> float:
    header_value = _get_header(request, DEADLINE_HEADER)
    if header_value is None:
        return row.deadline_ms
    if not header_value.isdecimal() or len(header_value) > MAX_DEADLINE_DIGITS:
        detail = (
            f"{DEADLINE_HEADER} is {header_value[:20]!r}, expected whole milliseconds"
        )
        raise _build_refusal("bad_request", detail, 400)
    return min(float(header_value), row.deadline_ms)


def _build_refusal(code: str, detail: str, status: int) -> RequestRefusedError:
    return RequestRefusedError(
        code=code, detail=detail, status=status, verdict=RunVerdict.NOT_RUN
    )


def _build_response(status: int, body: bytes) -> Response:
    return Response(status, content=Content(b"application/json", body))


def _build_error_response(error: RequestRefusedError) -> Response:
    body = CallerErrorResponse(
        error=error.code,
        detail=error.detail,
        verdict=error.verdict.value,
        retry_after_ms=error.retry_after_ms,
    )
    return _build_response(error.status, msgspec.json.encode(body))
