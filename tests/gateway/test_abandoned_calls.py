"""Calls that are no longer needed, at upstreams that are slow and at others."""

from __future__ import annotations

import asyncio

import pytest

from skylarkcart.clock import Millis, SystemClock
from skylarkcart.gateway._pool import UpstreamPool
from skylarkcart.gateway._receive_limits import ReceiveMemory
from skylarkcart.published import Address, UpstreamEntry, UpstreamState
from skylarkcart.replicas import CallEnd, Replica
from skylarkcart.types import ServiceId, UpstreamId, ZoneId

TYPICAL_MS = 10.0


class SilentUpstream:
    """Accepts connections, never answers, and notes when they are closed."""

    def __init__(self) -> None:
        self.received = asyncio.Event()
        self.closed = asyncio.Event()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(host="127.0.0.1", port=self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(100)
        self.received.set()
        await reader.read()
        self.closed.set()
        writer.close()


def build_pool(on_error=lambda upstream, error: None) -> UpstreamPool:
    return UpstreamPool(
        clock=SystemClock(),
        get_limit=lambda replica: 4,
        on_open=lambda: None,
        on_connected=lambda replica, duration_ms: None,
        memory=ReceiveMemory(memory_mb=200.0),
        on_rejected=lambda upstream, reason: None,
        on_notice=lambda replica, response: None,
        on_error=on_error,
    )


def build_replica(address: Address, *, latency_ms: float) -> Replica:
    """Returns an upstream whose latest calls took this long."""
    entry = UpstreamEntry(
        upstream=UpstreamId("i-1"),
        service=ServiceId("shard-1"),
        address=address,
        zone=ZoneId("zone-a"),
        slots=3,
        state=UpstreamState.READY,
    )
    now = SystemClock().now()
    replica = Replica(entry=entry, seen_at=now)
    for number in range(3):
        start = now - 1_500.0 + 300.0 * number
        replica.begin_call(-number, now=Millis(start), typical_ms=TYPICAL_MS)
        replica.end_call(-number, CallEnd.ANSWERED, now=Millis(start + latency_ms))
    return replica


@pytest.mark.parametrize(
    ("latency_ms", "is_idempotent", "is_closed_at_once"),
    [(80.0, True, True), (10.0, True, False), (80.0, False, False)],
)
async def test_abandoned_call_leaves_the_queue_of_a_slow_upstream_at_once(
    latency_ms: float, is_idempotent: bool, is_closed_at_once: bool
) -> None:
    """A non-idempotent request is not interrupted between its effects."""
    upstream = SilentUpstream()
    replica = build_replica(await upstream.start(), latency_ms=latency_ms)
    pool = build_pool()
    call = pool.call(
        replica,
        b"GET / HTTP/1.1\r\n\r\n",
        request_id=b"1",
        is_idempotent=is_idempotent,
        typical_ms=TYPICAL_MS,
        on_end=lambda call, result: None,
    )
    await upstream.received.wait()
    pool.abandon(call)
    assert pool.has_connection(replica) is not is_closed_at_once
    assert bool(replica.in_flight) is not is_closed_at_once
    # The upstream has not failed: nothing is known of the call.
    assert not replica.is_backed_off(SystemClock().now())
    if not is_closed_at_once:
        call.connection.close()
    await upstream.closed.wait()
    upstream.stop()
