"""Runs the actions of a search execution."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine

from opentelemetry.context import Context

from skylarkcart.entry._client import (
    MILLISECONDS_PER_SECOND,
    UpstreamClient,
    UpstreamReply,
)
from skylarkcart.entry._queues import QueuedSearch
from skylarkcart.entry._state import InstanceState
from skylarkcart.entry._tracing import Tracing
from skylarkcart.entry._upstream_calls import UpstreamCalls
from skylarkcart.search import (
    CallerDisconnected,
    CallFailed,
    CancelCall,
    FinishSearch,
    SearchAction,
    SearchAnswer,
    SearchEvent,
    SearchExecution,
    SearchRequest,
    SetTimer,
    StartCall,
    TimerFired,
)
from skylarkcart.types import AccountId, CallId, ServiceId

REASON_SHEDDING = "shedding"


class SearchRunner:
    """Runs one ``SearchExecution`` with HTTP calls and timers.

    ``wait_for_disconnect`` returns when the caller closes its connection.
    """

    def __init__(
        self,
        *,
        state: InstanceState,
        client: UpstreamClient,
        tracing: Tracing,
        service: ServiceId,
        account: AccountId,
        request: SearchRequest,
        execution: SearchExecution,
        span_context: Context,
        queued_search: QueuedSearch,
        wait_for_disconnect: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        self._state = state
        self._queued_search = queued_search
        self._execution = execution
        self._wait_for_disconnect = wait_for_disconnect
        self._upstream_calls = UpstreamCalls(
            state=state,
            client=client,
            tracing=tracing,
            service=service,
            account=account,
            request=request,
            span_context=span_context,
        )
        self._calls: dict[CallId, asyncio.Task[UpstreamReply]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._answer: asyncio.Future[SearchAnswer] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> SearchAnswer:
        """Runs the search and returns its answer.

        If the caller disconnects, the calls still in progress are cancelled.
        """
        disconnect_task = asyncio.create_task(self._watch_disconnect())
        try:
            self._perform(self._execution.start(self._state.now))
            return await self._answer
        finally:
            disconnect_task.cancel()
            # No effect after an answer. Otherwise, it cancels the calls in progress.
            self._deliver(CallerDisconnected())
            if self._timer is not None:
                self._timer.cancel()

    async def _watch_disconnect(self) -> None:
        await self._wait_for_disconnect()
        self._deliver(CallerDisconnected())

    def _deliver(self, event: SearchEvent) -> None:
        self._perform(self._execution.handle(event, self._state.now))

    def _perform(self, actions: list[SearchAction]) -> None:
        for action in actions:
            self._perform_action(action)

    @functools.singledispatchmethod
    def _perform_action(self, action: SearchAction) -> None:
        raise TypeError(f"action is {type(action).__name__}, expected a SearchAction")

    @_perform_action.register
    def _(self, action: StartCall) -> None:
        self._queued_search.calls += 1
        task = self._upstream_calls.start(action)
        task.add_done_callback(functools.partial(self._handle_call_end, action))
        self._calls[action.call] = task

    @_perform_action.register
    def _(self, action: CancelCall) -> None:
        task = self._calls.pop(action.call, None)
        if task is None:
            return
        if self._state.upstream_directory.keeps_running(action.upstream):
            self._upstream_calls.detach(task)
            return
        task.cancel()
        self._upstream_calls.cancel(action)

    @_perform_action.register
    def _(self, action: SetTimer) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0.0, action.at - self._state.now) / MILLISECONDS_PER_SECOND
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._deliver, TimerFired())

    @_perform_action.register
    def _(self, action: FinishSearch) -> None:
        if not self._answer.done():
            self._answer.set_result(action.answer)

    def _handle_call_end(
        self, action: StartCall, task: asyncio.Task[UpstreamReply]
    ) -> None:
        self._calls.pop(action.call, None)
        if not task.cancelled():
            event = self._upstream_calls.parse_result(action, task)
            is_failed = isinstance(event, CallFailed)
            self._queued_search.calls_shed += (
                is_failed and event.reason == REASON_SHEDDING
            )
            self._deliver(event)
