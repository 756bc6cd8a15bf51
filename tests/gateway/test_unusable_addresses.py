"""Guards against an address at which connecting fails in an unforeseen way.

The state of a peer may hold an address that no entry of the store can have. Connecting
then raised another error than a failed connection does: the attempt counted as running
for ever, and the calls that waited for it were never answered.
"""

from __future__ import annotations

import asyncio

import pytest

from skylarkcart.gateway._pool import CallResult
from skylarkcart.published import Address
from skylarkcart.replicas import CallEnd
from skylarkcart.verdict import RunVerdict
from tests.gateway.test_abandoned_calls import TYPICAL_MS, build_pool, build_replica


@pytest.mark.parametrize(
    ("host", "port"),
    [("x" * 300, 80), ("a..b", 80), ("\x00", 80), ("127.0.0.1", 2**40)],
)
async def test_calls_end_at_an_unusable_address(host: str, port: int) -> None:
    errors: list[Exception] = []
    pool = build_pool(on_error=lambda upstream, error: errors.append(error))
    replica = build_replica(Address(host=host, port=port), latency_ms=10.0)
    ended: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
    pool.call(
        replica,
        b"GET / HTTP/1.1\r\n\r\n",
        request_id=b"1",
        is_idempotent=True,
        typical_ms=TYPICAL_MS,
        on_end=lambda call, result: ended.set_result(result),
    )
    async with asyncio.timeout(5):
        result = await ended
    assert result.end is CallEnd.REFUSED_CONNECTION
    assert result.verdict is RunVerdict.NOT_RUN
    assert not pool.has_connection(replica)
    assert len(errors) == 1
