"""Warm-up calls to cold upstreams."""

from __future__ import annotations

import asyncio
import itertools

from opentelemetry.context import Context

from skylarkcart.clock import Millis
from skylarkcart.entry._background_tasks import BackgroundTasks
from skylarkcart.entry._client import UpstreamClient, UpstreamReply
from skylarkcart.entry._state import InstanceState
from skylarkcart.entry._tracing import Tracing
from skylarkcart.entry._upstream_calls import UpstreamCalls
from skylarkcart.search import SearchRequest, StartCall
from skylarkcart.types import AccountId, CallId, RequestId
from skylarkcart.upstreams import WarmUp

TICK_INTERVAL_S = 0.02
CALL_TIMEOUT_MS = 1_000.0

# Warm-up calls are made for no client account and have an empty query.
WARM_UP_ACCOUNT = AccountId("warm-up")


class WarmUpRunner:
    """Calls the directory's timer and sends the warm-up calls that it plans."""

    def __init__(
        self, *, state: InstanceState, client: UpstreamClient, tracing: Tracing
    ) -> None:
        self._state = state
        self._client = client
        self._tracing = tracing
        self._call_numbers = itertools.count(1)
        self._calls: set[asyncio.Task[UpstreamReply]] = set()
        self._background = BackgroundTasks(clock=state.clock, metrics=state.metrics)

    def start(self) -> None:
        self._background.start("warm_up", self._tick)

    async def stop(self) -> None:
        await self._background.stop()
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def _tick(self) -> None:
        while True:
            directory = self._state.upstream_directory
            directory.tick(self._state.now)
            for action in directory.plan_warm_ups():
                self._warm_up(action)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _warm_up(self, action: WarmUp) -> None:
        call = self._build_call(action)
        # The right to call a cold upstream may have expired since the call was planned,
        # for example after the event loop stalled.
        if call is None or not self._state.upstream_directory.may_begin(
            action.upstream
        ):
            return
        self._state.upstream_directory.begin_call(action.upstream)
        task = self._send(action, call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _build_call(self, action: WarmUp) -> StartCall | None:
        snapshot = self._state.find_snapshot(action.service)
        if snapshot is None:
            return None
        shards = tuple(
            placement.shard
            for placement in snapshot.shards
            if action.upstream in placement.upstreams
        )
        if not shards:
            return None
        number = next(self._call_numbers)
        instance = self._state.settings.instance
        return StartCall(
            call=CallId(number),
            request_id=RequestId(f"warm-up-{instance}-{number}"),
            upstream=action.upstream,
            snapshot=snapshot.snapshot,
            shards=shards,
            deadline=Millis(self._state.now + CALL_TIMEOUT_MS),
        )

    def _send(self, action: WarmUp, call: StartCall) -> asyncio.Task[UpstreamReply]:
        calls = UpstreamCalls(
            state=self._state,
            client=self._client,
            tracing=self._tracing,
            service=action.service,
            account=WARM_UP_ACCOUNT,
            request=SearchRequest(request_id=call.request_id, query="", limit=1),
            span_context=Context(),
        )
        return calls.start(call)
