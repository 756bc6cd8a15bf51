"""Guards against background tasks that end unseen after an unforeseen error.

An entry instance whose reader has ended goes on serving with what it knew: it learns of
no later configuration, key or list, and nothing says so.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
import pytest

from skylarkcart.clock import SystemClock
from skylarkcart.declarations import InstanceList
from skylarkcart.entry import Settings
from skylarkcart.entry._platform_watcher import PlatformWatcher
from skylarkcart.entry._state import InstanceState
from skylarkcart.entry._warm_up_runner import WarmUpRunner
from skylarkcart.platform import CONFIGURATION_KEY, PlatformError, PublishedValue
from skylarkcart.types import InstanceId, ZoneId
from tests.entry.test_peers import build_exchange

TIMEOUT_S = 5.0


class ScriptedPlatform:
    """Publishes values under the configuration's key, and an empty list."""

    def __init__(self) -> None:
        self.values: list[bytes] = []
        self.versions_asked: list[int] = []
        self.list_reads = 0

    async def watch(
        self, key: str, *, after_version: int, wait_ms: float
    ) -> PublishedValue | None:
        await asyncio.sleep(0.005)
        if key != CONFIGURATION_KEY:
            return None
        self.versions_asked.append(after_version)
        if len(self.values) <= after_version:
            return None
        return PublishedValue(version=len(self.values), value=self.values[-1])

    async def list_instances(self) -> InstanceList:
        self.list_reads += 1
        return InstanceList(version=self.list_reads, instances=())


@pytest.fixture
def state() -> InstanceState:
    settings = Settings(
        instance=InstanceId("entry-1"),
        zone=ZoneId("zone-a"),
        address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        platform_url="http://127.0.0.1:1",
        fleet_secret="a-fleet-secret-only-for-these-tests",
    )
    return InstanceState(
        settings=settings,
        incarnation="entry-1-1",
        peer_address="127.0.0.1:1",
        clock=SystemClock(),
        random=random.Random(1),
    )


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class FailingOnce:
    """Fails at the first call and records the arguments of the others."""

    def __init__(self, result: object = None) -> None:
        self.calls: list[tuple] = []
        self._result = result
        self._has_failed = False

    def __call__(self, *arguments: object) -> object:
        if not self._has_failed:
            self._has_failed = True
            raise ZeroDivisionError("a fault of the program")
        self.calls.append(arguments)
        return self._result


async def test_value_that_ends_its_watch_is_not_read_again(state, monkeypatch) -> None:
    """Reading it again would keep all later values from being read."""
    platform = ScriptedPlatform()
    offer = FailingOnce()
    monkeypatch.setattr(state, "offer_configuration", offer)
    watcher = PlatformWatcher(state=state, platform=platform)
    watcher.start()
    platform.values.append(b"harmful")
    await wait_for(lambda: 1 in platform.versions_asked)
    platform.values.append(b"later")
    await wait_for(lambda: offer.calls == [(b"later",)])
    await watcher.stop()
    assert b'task_failures_total{task="config"} 1.0' in state.metrics.render()


async def test_list_is_polled_after_an_error(state, monkeypatch) -> None:
    platform = ScriptedPlatform()
    offer = FailingOnce()
    monkeypatch.setattr(state, "offer_list", offer)
    watcher = PlatformWatcher(state=state, platform=platform)
    watcher.start()
    await wait_for(lambda: bool(offer.calls))
    await watcher.stop()


async def test_updates_are_applied_after_an_error(state, monkeypatch) -> None:
    apply = FailingOnce()
    monkeypatch.setattr(state, "apply_configuration", apply)
    watcher = PlatformWatcher(state=state, platform=ScriptedPlatform())
    watcher.start()
    await wait_for(lambda: bool(apply.calls))
    await watcher.stop()


async def test_exchange_goes_on_after_an_error(monkeypatch) -> None:
    exchange = build_exchange("entry-1")
    tick = FailingOnce(result=[])
    monkeypatch.setattr(exchange._fleet, "tick", tick)
    await exchange.start()
    await wait_for(lambda: bool(tick.calls))
    await exchange.stop()


async def test_warm_up_goes_on_after_an_error(state, monkeypatch) -> None:
    tick = FailingOnce()
    monkeypatch.setattr(state.upstream_directory, "tick", tick)
    runner = WarmUpRunner(state=state, client=None, tracing=None)
    runner.start()
    await wait_for(lambda: bool(tick.calls))
    await runner.stop()


def test_message_that_fails_keeps_no_other_message_back(monkeypatch) -> None:
    class Batch(msgspec.Struct):
        sender: InstanceId
        messages: tuple

    exchange = build_exchange("entry-1")
    handled: list[object] = []

    def handle(sender, message, now, *, asked_at):
        if message == 1:
            raise ZeroDivisionError("a fault of the program")
        handled.append(message)
        return []

    monkeypatch.setattr(exchange._fleet, "handle", handle)
    batch = Batch(sender=InstanceId("entry-2"), messages=(1, 2))
    assert exchange._handle_batch(batch, None) == []
    assert handled == [2]


async def test_platform_error_is_no_failure_of_the_task(state) -> None:
    class Unreachable(ScriptedPlatform):
        async def watch(self, key, *, after_version, wait_ms):
            self.versions_asked.append(after_version)
            raise PlatformError("unreachable")

    platform = Unreachable()
    watcher = PlatformWatcher(state=state, platform=platform)
    watcher.start()
    await wait_for(lambda: len(platform.versions_asked) >= 2)
    await watcher.stop()
    assert b"task_failures_total{" not in state.metrics.render()
