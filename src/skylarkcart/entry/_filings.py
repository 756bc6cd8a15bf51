"""Runs the actions of a filing execution."""

from __future__ import annotations

import asyncio

import msgspec
from opentelemetry.context import Context

from skylarkcart.entry._client import (
    MILLISECONDS_PER_SECOND,
    SendAbortedError,
    UpstreamClient,
    UpstreamReply,
    build_outcome,
)
from skylarkcart.entry._state import InstanceState
from skylarkcart.entry._tracing import Tracing, inject_context
from skylarkcart.entry._wire import (
    CallerFilingRequest,
    UpstreamFilingRequest,
    UpstreamFilingResponse,
)
from skylarkcart.errors import DECODING_ERRORS
from skylarkcart.filings import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    AttemptSending,
    CapacityWaitElapsed,
    FilingEvent,
    FilingExecution,
    FilingResult,
    FinishFiling,
    StartAttempt,
    WaitForCapacity,
)
from skylarkcart.types import AccountId, RequestId, ServiceId

# A failed connection attempt must leave time to try another upstream.
CONNECT_TIMEOUT_RATIO = 1 / 3


class FilingRunner:
    """Runs one ``FilingExecution``, with at most one attempt at a time."""

    def __init__(
        self,
        *,
        state: InstanceState,
        client: UpstreamClient,
        tracing: Tracing,
        service: ServiceId,
        account: AccountId,
        request_id: RequestId,
        filing: CallerFilingRequest,
        idempotency_key: str,
        execution: FilingExecution,
        span_context: Context,
    ) -> None:
        self._state = state
        self._client = client
        self._tracing = tracing
        self._service = service
        self._account = account
        self._request_id = request_id
        self._execution = execution
        self._span_context = span_context
        self._body = msgspec.json.encode(
            UpstreamFilingRequest(
                request_id=request_id,
                idempotency_key=idempotency_key,
                document=filing.document,
            )
        )

    async def run(self) -> FilingResult:
        """Runs the filing and returns its result, which states the verdict."""
        actions = self._execution.start(self._state.now)
        while True:
            action = actions[-1]
            if isinstance(action, FinishFiling):
                return action.result
            event: FilingEvent = CapacityWaitElapsed()
            if isinstance(action, WaitForCapacity):
                await asyncio.sleep(action.delay_ms / MILLISECONDS_PER_SECOND)
            else:
                event = await self._run_attempt(action)
            actions = self._execution.handle(event, self._state.now)

    async def _run_attempt(self, action: StartAttempt) -> FilingEvent:
        directory = self._state.upstream_directory
        address = directory.find_address(action.upstream)
        if address is None:
            return AttemptFailed(attempt=action.attempt, reason="upstream_not_listed")
        span, span_context = self._tracing.start_span("filing_call", self._span_context)
        headers: dict[str, str] = {}
        inject_context(span_context, headers)
        directory.begin_call(action.upstream)
        started_at = self._state.now
        reply = None
        try:
            reply = await self._send(action, address, headers)
        finally:
            outcome = build_outcome(reply, self._state.now - started_at)
            directory.end_call(action.upstream, outcome, self._state.now)
            span.end()
        result = reply.reason or "ok"
        self._state.metrics.upstream_calls.labels(self._service, result).inc()
        return _build_event(action.attempt, reply)

    async def _send(
        self, action: StartAttempt, address: str, headers: dict[str, str]
    ) -> UpstreamReply:
        def before_send() -> None:
            event = AttemptSending(attempt=action.attempt)
            if self._execution.handle(event, self._state.now):
                raise SendAbortedError(self._request_id)

        timeout_ms = action.deadline - self._state.now
        return await self._client.post(
            address=address,
            path="/filings",
            body=self._body,
            request_id=self._request_id,
            account=self._account,
            timeout_ms=timeout_ms,
            headers=headers,
            max_connections=self._state.upstream_directory.get_max_connections(
                action.upstream
            ),
            before_send=before_send,
            connect_timeout_ms=timeout_ms * CONNECT_TIMEOUT_RATIO,
        )


def _build_event(attempt: int, reply: UpstreamReply) -> FilingEvent:
    if reply.is_refused:
        return AttemptRefused(
            attempt=attempt, reason=reply.reason, request_id=reply.request_id
        )
    if reply.body is None:
        return AttemptFailed(attempt=attempt, reason=reply.reason)
    try:
        receipt = msgspec.json.decode(reply.body, type=UpstreamFilingResponse)
    except DECODING_ERRORS:
        return AttemptFailed(attempt=attempt, reason="malformed_answer")
    return AttemptAnswered(
        attempt=attempt, request_id=receipt.request_id, receipt=receipt.receipt
    )
