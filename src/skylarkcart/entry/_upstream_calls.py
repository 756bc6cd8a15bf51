"""HTTP calls of searches to upstreams, and the recording of their outcomes."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import msgspec
from opentelemetry.context import Context

from skylarkcart.clock import Millis
from skylarkcart.entry._client import UpstreamClient, UpstreamReply, build_outcome
from skylarkcart.entry._logging import log_warning
from skylarkcart.entry._state import InstanceState
from skylarkcart.entry._tracing import Tracing, inject_context
from skylarkcart.entry._wire import UpstreamSearchRequest, UpstreamSearchResponse
from skylarkcart.errors import DECODING_ERRORS
from skylarkcart.search import (
    CallAnswered,
    CallFailed,
    CancelCall,
    SearchRequest,
    StartCall,
)
from skylarkcart.types import AccountId, CallId, ServiceId
from skylarkcart.verdict import RunVerdict

# Cancellations, and calls that continue after the end of their search. The references
# keep the tasks from being garbage-collected.
_detached_tasks: set[asyncio.Task[Any]] = set()


class UpstreamCalls:
    """Sends the calls of one search and records their outcomes."""

    def __init__(
        self,
        *,
        state: InstanceState,
        client: UpstreamClient,
        tracing: Tracing,
        service: ServiceId,
        account: AccountId,
        request: SearchRequest,
        span_context: Context,
    ) -> None:
        self._state = state
        self._client = client
        self._tracing = tracing
        self._service = service
        self._account = account
        self._request = request
        self._span_context = span_context

    def start(self, action: StartCall) -> asyncio.Task[UpstreamReply]:
        """Sends a call for which ``begin_call`` was called, and records its end.

        A callback records the end, because a task that is cancelled before its first
        step runs none of its own code.
        """
        task = asyncio.create_task(self._post(action))
        task.add_done_callback(
            functools.partial(self._record_call_end, action, self._state.now)
        )
        return task

    def parse_result(
        self, action: StartCall, task: asyncio.Task[UpstreamReply]
    ) -> CallAnswered | CallFailed:
        """Returns the event for a call that ended without being cancelled."""
        error = task.exception()
        if error is not None:
            log_warning("upstream_call_failed", reason=repr(error))
            return CallFailed(call=action.call, reason="internal_error")
        reply = task.result()
        if reply.body is None:
            not_run = reply.verdict is RunVerdict.NOT_RUN
            return CallFailed(call=action.call, reason=reply.reason, not_run=not_run)
        return _decode_hits(action.call, reply.body)

    def _record_call_end(
        self,
        action: StartCall,
        started_at: Millis,
        task: asyncio.Task[UpstreamReply],
    ) -> None:
        now = self._state.now
        reply, result = None, "cancelled"
        if not task.cancelled():
            failed = UpstreamReply(reason="internal_error")
            reply = failed if task.exception() else task.result()
            result = reply.reason or "ok"
        outcome = build_outcome(reply, now - started_at)
        self._state.upstream_directory.end_call(action.upstream, outcome, now)
        self._state.metrics.upstream_calls.labels(self._service, result).inc()

    def cancel(self, action: CancelCall) -> None:
        """Asks the upstream to cancel a call.

        The caller also cancels the call's task, which closes its connection.
        """
        directory = self._state.upstream_directory
        address = directory.find_address(action.upstream)
        if address is None:
            return
        task = asyncio.create_task(
            self._client.cancel(
                address=address,
                request_id=action.request_id,
                max_connections=directory.get_max_connections(action.upstream),
            )
        )
        self.detach(task)

    def detach(self, task: asyncio.Task[Any]) -> None:
        """Lets a task continue after the end of the search."""
        _detached_tasks.add(task)
        task.add_done_callback(_detached_tasks.discard)

    async def _post(self, action: StartCall) -> UpstreamReply:
        directory = self._state.upstream_directory
        address = directory.find_address(action.upstream)
        if address is None:
            return UpstreamReply(
                reason="upstream_not_listed", verdict=RunVerdict.NOT_RUN
            )
        span, span_context = self._tracing.start_span("shard_call", self._span_context)
        headers: dict[str, str] = {}
        inject_context(span_context, headers)
        try:
            return await self._client.post(
                address=address,
                path="/search",
                body=self._encode(action),
                request_id=action.request_id,
                account=self._account,
                timeout_ms=action.deadline - self._state.now,
                headers=headers,
                max_connections=directory.get_max_connections(action.upstream),
            )
        finally:
            span.end()

    def _encode(self, action: StartCall) -> bytes:
        return msgspec.json.encode(
            UpstreamSearchRequest(
                request_id=action.request_id,
                snapshot=action.snapshot,
                shards=action.shards,
                query=self._request.query,
                limit=self._request.limit,
            )
        )


def _decode_hits(call: CallId, body: bytes) -> CallAnswered | CallFailed:
    try:
        hits = msgspec.json.decode(body, type=UpstreamSearchResponse)
    except DECODING_ERRORS:
        return CallFailed(call=call, reason="malformed_answer")
    return CallAnswered(
        call=call,
        request_id=hits.request_id,
        snapshot=hits.snapshot,
        shards=hits.shards,
    )
