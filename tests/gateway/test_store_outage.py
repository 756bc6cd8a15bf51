"""Guards against a reader of the store that fails in a long outage."""

from __future__ import annotations

import pytest

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.gateway import _reader
from skylarkcart.gateway._reader import MAX_BACKOFF_MS, StoreReader
from skylarkcart.platform._store import StoreError
from tests.gateway.test_hostile_messages import build_core


@pytest.mark.parametrize("failures", [1, 2, 1_024, 2_000, 100_000])
async def test_backoff_stays_bounded_however_many_calls_failed(
    monkeypatch, failures: int
) -> None:
    """After some 15 minutes without the store, the delay was beyond a float.

    The task that reads the store then ended at each failed call, and after five of
    those the instance reported itself as not ready.
    """
    delays_s = []

    async def record_sleep(delay_s: float) -> None:
        delays_s.append(delay_s)

    monkeypatch.setattr(_reader.asyncio, "sleep", record_sleep)
    reader = StoreReader(core=build_core(ManualClock(start=Millis(5_000))))
    reader._failures = failures - 1
    await reader._handle_failure(StoreError("the store is down"))
    assert 0 < delays_s[0] <= MAX_BACKOFF_MS / 1000.0
