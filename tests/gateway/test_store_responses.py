"""Guards against responses of the store that are asked for again and again.

What a watch returns grows with each change until it has been read. A response that was
too large, or that took too long on a slow link, was asked for again at once, so that no
instance learned of any later change.
"""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from skylarkcart.clock import ManualClock
from skylarkcart.gateway._reader import ALL_KEYS_PREFIX, StoreReader
from skylarkcart.platform._store import (
    MAX_RESPONSE_BYTES,
    HistoryLostError,
    StoreClient,
    StoreError,
)
from skylarkcart.published import Address
from tests.gateway.deployment import build_settings
from tests.gateway.standins import HOST, StoreStandin, build_configuration
from tests.gateway.test_hostile_messages import build_core

# The largest value that the store holds, and more of them than a response may hold.
VALUE_BYTES = 1_048_576
LARGE_ENTRIES = 13


async def test_entries_larger_than_a_response_delay_no_change(deployment) -> None:
    """Other writers may store several large values at once."""
    core = deployment.instance._core
    for number in range(LARGE_ENTRIES):
        await deployment.store.put(f"servers/odd-{number}", b"x" * VALUE_BYTES)
    await deployment.store.put("op/config", build_configuration(9))
    await deployment.wait_for(lambda: core.configuration_version == 9)


async def test_too_large_watch_asks_for_the_whole_state() -> None:
    store = StoreStandin()
    await store.start()
    client = StoreClient(address=Address(host=HOST, port=store.port))
    for number in range(LARGE_ENTRIES):
        await store.put(f"servers/odd-{number}", b"x" * VALUE_BYTES)
    with pytest.raises(HistoryLostError, match="after revision 0"):
        await client.watch(
            ALL_KEYS_PREFIX, after_revision=0, wait_ms=100, timeout_ms=5_000
        )
    client.close()
    store.stop()


class SlowLinkStore(StoreStandin):
    """Sends each response in parts with a pause between them."""

    PARTS = 6
    PAUSE_S = 0.06

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        size = len(data) // self.PARTS + 1
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(self.PAUSE_S)
        return True


async def test_response_may_take_long_while_its_bytes_arrive() -> None:
    """On a slow link, a large response would be broken off and asked for again."""
    store = SlowLinkStore()
    await store.start()
    await store.put("op/config", build_configuration(9))
    client = StoreClient(address=Address(host=HOST, port=store.port))
    pages = [page async for page in client.read_pages(ALL_KEYS_PREFIX, timeout_ms=150)]
    assert [item.key for item in pages[0].items] == ["op/config"]
    store.PARTS = 1_000
    with pytest.raises(StoreError, match="failed"):
        await anext(client.read_pages(ALL_KEYS_PREFIX, timeout_ms=20))
    client.close()
    store.stop()


async def test_full_read_holds_one_page_at_a_time() -> None:
    """Values of other writers must not exceed the memory of an instance that starts."""
    store = StoreStandin()
    await store.start()
    for number in range(40):
        await store.put(f"servers/odd-{number}", b"x" * VALUE_BYTES)
    store.events.clear()
    core = build_core(ManualClock())
    core.settings = build_settings(store)
    reader = StoreReader(core=core)
    tracemalloc.start()
    await reader._read()
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert core.registry.revision == store.revision
    assert peak_bytes < MAX_RESPONSE_BYTES
    reader._store.close()
    store.stop()


async def test_range_that_never_ends_is_broken_off() -> None:
    class EndlessStore(StoreStandin):
        def _build_page(self, after: str) -> dict:
            return {"items": [self._describe("op/config")], "hasMore": True}

    store = EndlessStore()
    await store.start()
    await store.put("op/config", build_configuration(9))
    client = StoreClient(address=Address(host=HOST, port=store.port))
    with pytest.raises(StoreError, match="after 'op/config' ends"):
        async for _ in client.read_pages(ALL_KEYS_PREFIX, timeout_ms=500):
            pass
    client.close()
    store.stop()
