"""HTTP client for calls to upstreams, based on aiohttp.

aiohttp retries a request on its own only if the method is idempotent and the
connection was reused. All calls here are POST requests, so they are never retried.
Cookies and redirects are disabled.

Filings use a separate session on the same connector. Its trace hooks run when a
connection is available and before the request is sent. Until then, the filing has
certainly not run.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import aiohttp
import msgspec

from skylarkcart.entry._connections import (
    CheckedResponse,
    ConnectionClosedCallback,
    ConnectionOpenedCallback,
    InvalidStatusError,
    build_connector,
)
from skylarkcart.entry._wire import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    PROCESS_HEADER,
    REQUEST_ID_HEADER,
    UpstreamRefusalResponse,
)
from skylarkcart.errors import DECODING_ERRORS
from skylarkcart.types import AccountId, ProcessId, RequestId
from skylarkcart.upstreams import CallOutcome, OutcomeKind
from skylarkcart.verdict import RunVerdict

MAX_ANSWER_BYTES = 8_000_000
MILLISECONDS_PER_SECOND = 1000.0
CANCEL_TIMEOUT_S = 0.5


class SendAbortedError(aiohttp.ClientError):
    """Raised by a ``before_send`` hook to abort the request before it is sent."""


class UpstreamReply(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a call to an upstream.

    ``body`` is set only on success. On failure, ``reason`` is the cause and ``verdict``
    states whether the request may have run. If ``is_refused`` is set, the upstream
    refused the request before running it, and ``request_id`` is the id that the refusal
    refers to, if it contains one.
    """

    body: bytes | None = None
    process: ProcessId = ProcessId("")
    reason: str = ""
    verdict: RunVerdict = RunVerdict.RAN
    is_refused: bool = False
    request_id: RequestId | None = None


class _SessionKey(msgspec.Struct, frozen=True, kw_only=True):
    max_connections: int
    has_send_hook: bool


class UpstreamClient:
    """Sends each request once, without retries.

    aiohttp configures the connection limit per host on the connector, so the client
    keeps one connector for each limit in use.
    """

    def __init__(
        self,
        *,
        on_opened: ConnectionOpenedCallback,
        on_closed: ConnectionClosedCallback,
    ) -> None:
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._connectors: dict[int, aiohttp.TCPConnector] = {}
        self._sessions: dict[_SessionKey, aiohttp.ClientSession] = {}

    async def close(self) -> None:
        for session in self._sessions.values():
            await session.close()
        for connector in self._connectors.values():
            await connector.close()

    async def cancel(
        self, *, address: str, request_id: RequestId, max_connections: int
    ) -> None:
        """Asks an upstream to cancel a request; failures are ignored."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self._get_session(max_connections).post(
                f"http://{address}/cancel/{request_id}",
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                await response.release()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return

    def _get_session(
        self, max_connections: int, *, has_send_hook: bool = False
    ) -> aiohttp.ClientSession:
        key = _SessionKey(max_connections=max_connections, has_send_hook=has_send_hook)
        session = self._sessions.get(key)
        if session is None:
            session = aiohttp.ClientSession(
                connector=self._get_connector(max_connections),
                connector_owner=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                response_class=CheckedResponse,
                auto_decompress=False,
                trace_configs=[_build_trace_config()] if has_send_hook else [],
            )
            self._sessions[key] = session
        return session

    def _get_connector(self, max_connections: int) -> aiohttp.TCPConnector:
        connector = self._connectors.get(max_connections)
        if connector is None:
            connector = build_connector(
                limit_per_host=max_connections,
                on_opened=self._on_opened,
                on_closed=self._on_closed,
            )
            self._connectors[max_connections] = connector
        return connector

    async def post(
        self,
        *,
        address: str,
        path: str,
        body: bytes,
        request_id: RequestId,
        account: AccountId,
        timeout_ms: float,
        headers: dict[str, str],
        before_send: Callable[[], None] | None = None,
        connect_timeout_ms: float | None = None,
        max_connections: int,
    ) -> UpstreamReply:
        """Posts a body to an upstream and returns its reply within ``timeout_ms``.

        Args:
            before_send: called when a connection is available and before the first
                byte is sent; may raise ``SendAbortedError``.
            connect_timeout_ms: maximum wait for a connection.
            max_connections: maximum number of connections to the upstream.
        """
        if timeout_ms <= 0:
            return UpstreamReply(reason="deadline", verdict=RunVerdict.NOT_RUN)
        headers[DEADLINE_HEADER] = str(int(timeout_ms))
        headers[REQUEST_ID_HEADER] = request_id
        headers[ACCOUNT_HEADER] = account
        headers["Content-Type"] = "application/json"
        try:
            async with self._get_session(
                max_connections, has_send_hook=before_send is not None
            ).post(
                f"http://{address}{path}",
                data=body,
                headers=headers,
                timeout=_build_timeout(timeout_ms, connect_timeout_ms),
                allow_redirects=False,
                trace_request_ctx=before_send,
            ) as response:
                return await _read_reply(response)
        except aiohttp.ClientConnectorError:
            return UpstreamReply(reason="connect_failed", verdict=RunVerdict.NOT_RUN)
        except InvalidStatusError:
            return UpstreamReply(
                reason="invalid_status", verdict=RunVerdict.MAY_HAVE_RUN
            )
        except asyncio.TimeoutError:
            return UpstreamReply(reason="timeout", verdict=RunVerdict.MAY_HAVE_RUN)
        except (aiohttp.ClientError, OSError):
            return UpstreamReply(
                reason="connection_lost", verdict=RunVerdict.MAY_HAVE_RUN
            )


def _build_timeout(
    timeout_ms: float, connect_timeout_ms: float | None
) -> aiohttp.ClientTimeout:
    connect_timeout_s = (
        None
        if connect_timeout_ms is None
        else connect_timeout_ms / MILLISECONDS_PER_SECOND
    )
    # By default, aiohttp rounds timeouts above 5 s up to the next whole second.
    return aiohttp.ClientTimeout(
        total=timeout_ms / MILLISECONDS_PER_SECOND,
        connect=connect_timeout_s,
        ceil_threshold=math.inf,
    )


def _build_trace_config() -> aiohttp.TraceConfig:
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_run_send_hook)
    config.on_connection_reuseconn.append(_run_send_hook)
    return config


async def _run_send_hook(
    session: aiohttp.ClientSession, context: object, params: object
) -> None:
    context.trace_request_ctx()


_OUTCOME_KINDS = {
    "shedding": OutcomeKind.SHED,
    "cold": OutcomeKind.COLD,
    "draining": OutcomeKind.DRAINING,
    "snapshot_gone": OutcomeKind.REFUSED,
    "connect_failed": OutcomeKind.UNREACHABLE,
    # The caller's deadline ended the call, which is no failure of the upstream. The
    # elapsed time is a lower bound of the upstream's latency.
    "deadline": OutcomeKind.CANCELLED,
    "timeout": OutcomeKind.CANCELLED,
}


def build_outcome(reply: UpstreamReply | None, latency_ms: float) -> CallOutcome:
    """Maps a reply to a call outcome; None stands for a call cancelled locally."""
    if reply is None:
        return CallOutcome(kind=OutcomeKind.CANCELLED, latency_ms=latency_ms)
    kind = OutcomeKind.SUCCESS
    if reply.body is None:
        kind = _OUTCOME_KINDS.get(reply.reason, OutcomeKind.FAILED)
    return CallOutcome(kind=kind, latency_ms=latency_ms, process=reply.process)


async def _read_reply(response: aiohttp.ClientResponse) -> UpstreamReply:
    body = await response.content.read(MAX_ANSWER_BYTES + 1)
    while not response.content.at_eof() and len(body) <= MAX_ANSWER_BYTES:
        body += await response.content.read(MAX_ANSWER_BYTES + 1 - len(body))
    process = ProcessId(response.headers.get(PROCESS_HEADER, ""))
    if len(body) > MAX_ANSWER_BYTES:
        response.close()
        return UpstreamReply(
            process=process, reason="too_large", verdict=RunVerdict.MAY_HAVE_RUN
        )
    if response.status == 200:
        return UpstreamReply(body=body, process=process)
    if response.status == 503 and response.headers.get(NOT_RUN_HEADER) == "true":
        refusal = _read_refusal(body)
        refused_id = refusal.request_id or response.headers.get(REQUEST_ID_HEADER)
        return UpstreamReply(
            process=process,
            reason=refusal.reason,
            verdict=RunVerdict.NOT_RUN,
            is_refused=True,
            request_id=RequestId(refused_id) if refused_id else None,
        )
    return UpstreamReply(
        process=process,
        reason=f"status_{response.status}",
        verdict=RunVerdict.MAY_HAVE_RUN,
    )


def _read_refusal(body: bytes) -> UpstreamRefusalResponse:
    try:
        return msgspec.json.decode(body, type=UpstreamRefusalResponse)
    except DECODING_ERRORS:
        return UpstreamRefusalResponse(reason="refused")
