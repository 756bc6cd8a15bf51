"""Guards against eras of the store, usable or not, that end its reading."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.fleet import Member, decode_report, encode_report
from skylarkcart.gateway import _reader
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._reader import CHANGE_BATCH_MS, StoreReader
from skylarkcart.gateway._state_request import (
    StateRequest,
    encode_request,
    read_request,
)
from skylarkcart.registry import NO_ERA, Era, StatePosition
from tests.fleet.test_fleet import build_fleet, build_report
from tests.gateway.deployment import build_settings
from tests.gateway.standins import StoreStandin, build_configuration
from tests.gateway.test_task_errors import read_lines


async def build_reader(store: StoreStandin) -> StoreReader:
    """Returns a reader of a store that has a configuration of version 1."""
    if not store.port:
        await store.start()
        await store.put("op/config", build_configuration(1))
    core = Core(
        settings=build_settings(store),
        clock=ManualClock(),
        random=random.Random(1),
        incarnation=1,
    )
    reader = StoreReader(core=core)
    await reader._run_step()
    return reader


async def run_steps(reader: StoreReader) -> None:
    """Lets a reader fail, read the whole state and watch."""
    for _ in range(3):
        await reader._run_step()


@pytest.fixture(autouse=True)
def delays_s(monkeypatch) -> list[float]:
    """Returns the delays of the reader, which don't pass."""
    delays_s: list[float] = []

    async def record_sleep(delay_s: float) -> None:
        delays_s.append(delay_s)

    monkeypatch.setattr(_reader.asyncio, "sleep", record_sleep)
    monkeypatch.setattr(_reader, "WATCH_WAIT_MS", 1.0)
    return delays_s


ODD_ERAS = {
    "no header": (None, "store_era_unreadable", ""),
    "not a number": ("two", "store_era_unreadable", "two"),
    "negative": ("-3", "store_era_unreadable", "-3"),
    "thousands of digits": ("9" * 5_000, "store_era_unreadable", "9" * 80),
    "two values": ("2, 3", "store_era_unreadable", "2, 3"),
    "falls": (1, "store_era_earlier", 1),
    "jumps": (12, "store_era_skipped", 12),
}


@pytest.mark.parametrize("odd", ODD_ERAS.values(), ids=ODD_ERAS)
async def test_odd_era_is_logged_and_ends_no_reader(odd: tuple) -> None:
    era, event, stated = odd
    store = StoreStandin()
    store.era = 2
    reader = await build_reader(store)
    registry = reader._core.registry
    assert registry.position == StatePosition(Era(2), 1)
    store.era = era
    await store.put("op/config", build_configuration(9))
    await run_steps(reader)
    first_read, *_ = read_lines(reader._core, "store_read")
    assert (first_read["era"], first_read["known_era"]) == (2, -1)
    line = read_lines(reader._core, event)[0]
    assert (line["stated"], line["known"]) == (stated, 2)
    # Only state of an earlier era is not applied.
    assert registry.configuration.version == (1 if era == 1 else 9)
    store.era = 12
    await store.put("op/config", build_configuration(10))
    await run_steps(reader)
    assert registry.configuration.version == 10
    assert registry.position == StatePosition(Era(12), 3)
    store.stop()


async def test_restore_is_followed_although_the_revision_is_given_out_again() -> None:
    """The store has the watched revision again, so that it doesn't answer 410."""
    store = StoreStandin()
    store.era = 1
    reader = await build_reader(store)
    copy = store.take_copy()
    await store.put("op/evacuate/zone-a", {})
    await run_steps(reader)
    await store.restore(copy)
    await store.put("op/evacuate/zone-b", {})
    await store.put("op/evacuate/zone-c", {})
    await run_steps(reader)
    registry = reader._core.registry
    assert registry.position == StatePosition(Era(2), 3)
    assert registry.closed_zones == {"zone-a", "zone-b", "zone-c"}
    store.stop()


async def test_readers_at_two_fronts_agree_on_the_later_era() -> None:
    """A part of the store's front is restored later."""
    restored, late = StoreStandin(), StoreStandin()
    restored.era = late.era = 1
    readers = [await build_reader(store) for store in (restored, late)]
    await restored.restore(restored.take_copy())
    await late.put("op/config", build_configuration(5))
    await late.put("op/evacuate/zone-a", {})
    for reader in readers:
        await run_steps(reader)
    first, second = (reader._core.registry for reader in readers)
    assert second.position > StatePosition(Era(1), 1)
    assert second.adopt(first.build_published(since=0, now=Millis(0)), Millis(0))
    for _ in range(20):
        await readers[1]._run_step()
    assert second.position == first.position == StatePosition(Era(2), 1)
    assert second.configuration.version == 5
    lines = read_lines(readers[1]._core, "store_era_earlier")
    assert 1 <= len(lines) <= 2
    for store in (restored, late):
        store.stop()


async def test_pages_of_two_eras_are_no_read() -> None:
    class RestoredWithinRead(StoreStandin):
        """Has one item a page, and is restored after the first page of a read."""

        def _build_page(self, after: str) -> dict:
            keys = [key for key in sorted(self.items) if key > after]
            if after and self.era == 1:
                self.era = 2
            items = [self._describe(key) for key in keys[:1]]
            return {"items": items, "hasMore": len(keys) > 1}

    store = RestoredWithinRead()
    await store.start()
    store.era = 1
    await store.put("op/config", build_configuration(1))
    await store.put("op/evacuate/zone-a", {})
    reader = await build_reader(store)
    registry = reader._core.registry
    assert registry.revision == 0
    await reader._run_step()
    assert registry.position == StatePosition(Era(2), 2)
    assert registry.closed_zones == {"zone-a"}
    store.stop()


async def test_full_reads_that_bring_nothing_are_delayed(delays_s) -> None:
    """A store that states no era and loses history was read without a pause."""
    store = StoreStandin()
    reader = await build_reader(store)
    for _ in range(5):
        await store.put("op/config", build_configuration(2))
    await run_steps(reader)
    store.revision = 2
    delays_s.clear()
    for _ in range(10):
        await reader._run_step()
    assert len(read_lines(reader._core, "store_history_lost")) >= 4
    backoffs_s = [delay for delay in delays_s if delay != CHANGE_BATCH_MS / 1000.0]
    assert len(backoffs_s) >= 3 and backoffs_s == sorted(backoffs_s)
    store.stop()


def feed(data: bytes) -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    return reader


@pytest.mark.parametrize("era", [NO_ERA, Era(0), Era(2**63 - 1)])
async def test_position_is_read_as_it_was_sent(era: Era) -> None:
    request = StateRequest(position=StatePosition(era, 2**63 - 1))
    data = encode_request(request, receiver_era=Era(3))
    assert await read_request(feed(data), default_era=Era(3)) == request


@pytest.mark.parametrize("era", [Era(0), Era(1), Era(2**63 - 2)])
async def test_request_for_what_is_kept_is_read_as_it_was_sent(era: Era) -> None:
    position = StatePosition(era, 2**63 - 1)
    request = StateRequest(position=position, wants_kept=True)
    data = encode_request(request, receiver_era=Era(3))
    assert await read_request(feed(data), default_era=Era(3)) == request


async def test_position_is_understood_by_a_build_without_eras() -> None:
    """It reads and sends 8 bytes, and doesn't end its request."""
    request = StateRequest(position=StatePosition(Era(2), 7))
    data = encode_request(request, receiver_era=NO_ERA)
    assert data == (7).to_bytes(8)
    read = await read_request(feed(data), default_era=Era(5))
    assert read == StateRequest(position=StatePosition(Era(5), 7))


def test_report_is_understood_by_a_build_without_eras_and_the_other_way() -> None:
    report = build_report(build_fleet(1), 0.0, era=Era(4))
    assert decode_report(encode_report(report)).sender.position == (
        StatePosition(Era(4), 1)
    )
    sender, *others = msgspec.msgpack.decode(encode_report(report))
    # A build without eras ignores the fields behind those that it knows.
    del sender[Member.__struct_fields__.index("era") :]
    old = decode_report(msgspec.msgpack.encode([sender, *others]))
    assert old.sender.position == StatePosition(NO_ERA, 1)


def test_peers_without_eras_do_not_read_for_this_instance() -> None:
    """Their reading brings no state that this instance may adopt."""
    fleet = build_fleet(0)
    for number in range(1, 12):
        fleet.apply_report(build_report(build_fleet(number), 0.0), Millis(0))
    options = {"state_age_ms": 0.0, "reaches_store": True}
    assert not fleet.is_reader(Millis(0), **options)
    assert fleet.is_reader(Millis(0), era=Era(1), **options)
