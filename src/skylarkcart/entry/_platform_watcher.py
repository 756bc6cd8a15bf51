"""Reads the configuration, index snapshots and instance list from the platform."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import TypeVar

from skylarkcart.entry._background_tasks import BackgroundTasks
from skylarkcart.entry._logging import log_warning
from skylarkcart.entry._state import InstanceState
from skylarkcart.lifecycle import LifecycleState
from skylarkcart.platform import (
    CONFIGURATION_KEY,
    Platform,
    PlatformError,
    build_index_key,
)
from skylarkcart.types import ServiceId

_Value = TypeVar("_Value")

WATCH_WAIT_MS = 10_000.0
LIST_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.5
UPDATE_INTERVAL_S = 0.05

# Upper bound for all instances together. Each instance's interval grows with the number
# of known instances, because the platform's capacity does not grow with the fleet.
MAX_LIST_READS_PER_S = 200.0


class PlatformWatcher:
    """Watches the configuration and index snapshots, and polls the instance list.

    Every starting instance watches the platform. After that, only the readers of each
    zone do, and the other instances receive changes from them.
    """

    def __init__(self, *, state: InstanceState, platform: Platform) -> None:
        self._state = state
        self._platform = platform
        self._tasks = BackgroundTasks(clock=state.clock, metrics=state.metrics)
        # The latest version of each key that was passed on. A value that ends its task
        # must not be read again when the task is restarted.
        self._versions: dict[str, int] = {}

    def start(self) -> None:
        self._tasks.start("list", self._poll_list)
        self._tasks.start("update", self._apply_updates)
        self._start_watch(CONFIGURATION_KEY, self._state.offer_configuration)

    async def stop(self) -> None:
        await self._tasks.stop()

    async def _apply_updates(self) -> None:
        while True:
            self._state.apply_configuration()
            peer_list = self._state.fleet.members.take_peer_list()
            if peer_list is not None:
                self._state.offer_list(peer_list)
            self._state.update_readiness()
            for service in self._state.list_services():
                self._ensure_index_watch(service)
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _ensure_index_watch(self, service: ServiceId) -> None:
        key = build_index_key(service)
        if key not in self._tasks:
            self._start_watch(key, self._state.offer_snapshot)

    def _start_watch(self, key: str, on_value: Callable[[bytes], None]) -> None:
        self._tasks.start(key, functools.partial(self._watch, key, on_value))

    def _should_watch(self, key: str) -> bool:
        if self._state.lifecycle.state is LifecycleState.STARTING:
            return True
        return self._state.fleet.is_reader(self._state.now)

    async def _watch(self, key: str, on_value: Callable[[bytes], None]) -> None:
        while True:
            if not self._should_watch(key):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            published = await self._read(
                "watch",
                self._platform.watch(
                    key,
                    after_version=self._versions.get(key, 0),
                    wait_ms=WATCH_WAIT_MS,
                ),
            )
            if published is not None:
                self._versions[key] = published.version
                on_value(published.value)
                self._state.update_readiness()

    async def _poll_list(self) -> None:
        while True:
            instances = await self._read("list", self._platform.list_instances())
            if instances is not None:
                self._state.offer_list(instances)
                self._state.update_readiness()
            count = self._state.fleet.count_instances(self._state.now)
            await asyncio.sleep(max(LIST_INTERVAL_S, count / MAX_LIST_READS_PER_S))

    async def _read(
        self, operation: str, pending_read: Coroutine[None, None, _Value | None]
    ) -> _Value | None:
        asked_at = self._state.now
        reads = self._state.metrics.platform_reads
        try:
            value = await pending_read
        except PlatformError as error:
            reads.labels(operation, "failed").inc()
            log_warning("platform_read_failed", operation=operation, reason=str(error))
            await asyncio.sleep(RETRY_INTERVAL_S)
            return None
        reads.labels(operation, "ok").inc()
        self._state.fleet.platform_contact.observe_read(asked_at=asked_at)
        return value
