"""Guards what requests do when upstreams say that they leave or want no calls."""

from __future__ import annotations

import asyncio

import pytest

from skylarkcart.clock import Millis
from skylarkcart.gateway._pool import Call
from skylarkcart.platform._messages import decode_response
from skylarkcart.replicas import CallEnd
from skylarkcart.verdict import RunVerdict
from tests.gateway.test_abandoned_calls import (
    SilentUpstream,
    build_pool,
    build_replica,
)
from tests.gateway.test_upstream_connection import Receiver


def read_retry_after(status: int, value: bytes) -> tuple[float | None, bool]:
    response = decode_response(status, [(b"Retry-After", value)], b"")
    return response.pause_ms, response.has_invalid_pause


@pytest.mark.parametrize(
    ("value", "pause_ms"),
    [(b"2", 2_000), (b"0.25", 250), (b"0", 0), (b"1e300", 1e303)],
)
def test_pause_is_read_in_seconds(value: bytes, pause_ms: float) -> None:
    assert read_retry_after(503, value) == (pytest.approx(pause_ms), False)
    # Only a refusal asks this instance to wait.
    assert read_retry_after(200, value) == (None, False)


@pytest.mark.parametrize(
    "value", [b"", b"soon", b"-1", b"nan", b"inf", b"Sat, 05 Dec 2026 20:00:00 GMT"]
)
def test_pause_that_is_no_number_is_counted_only(value: bytes) -> None:
    assert read_retry_after(503, value) == (None, True)


def test_other_process_at_the_address_does_not_speak_for_the_upstream() -> None:
    response = decode_response(421, [(b"Server-Leaving", b"1")], b"")
    assert not response.speaks_of_upstream


def test_late_copy_still_says_that_its_upstream_leaves() -> None:
    """The response belongs to no request any more, but its process is leaving."""
    receiver = Receiver()
    receiver.send(b"r2")
    receiver.receive(
        b"HTTP/1.1 200 x\r\nRequest-Id: r1\r\nServer-Leaving: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert receiver.responses == []
    assert [notice.is_leaving for notice in receiver.notices] == [True]


async def send_many(deployment, count: int, target: str = "/read/x") -> list[int]:
    statuses = []
    async with deployment.open_caller() as caller:
        for number in range(count):
            status, _, _ = await caller.send(target, f"r{number}{target}")
            statuses.append(status)
    return statuses


async def test_rolling_release_is_noticed_before_the_store_says_so(deployment) -> None:
    """Each upstream says that it leaves while its entry still says ready."""
    deployment.store.is_unavailable = True
    replicas = deployment.instance._core.replicas
    leaving = [deployment.upstreams[name] for name in ("a1", "b2", "d1")]
    for upstream in leaving:
        upstream.is_leaving = True
    for target in ("/read/x", "/search/x"):
        # Callers at the same time make use of all upstreams.
        rounds = [send_many(deployment, 10, target) for _ in range(6)]
        statuses = await asyncio.gather(*rounds)
        assert {status for each in statuses for status in each} == {200}
    assert all(upstream.runs for upstream in leaving)
    assert set(replicas.replicas) == {"a2", "b1", "d2"}
    calls_before = [len(upstream.runs) for upstream in leaving]
    for target in ("/read/x", "/search/x"):
        assert set(await send_many(deployment, 20, target)) == {200}
    assert [len(upstream.runs) for upstream in leaving] == calls_before


@pytest.mark.parametrize("is_leaving", [True, False])
async def test_call_that_waits_for_a_connection_moves(is_leaving: bool) -> None:
    """It was not sent, so that another upstream may run it, also if it is a filing."""
    upstream = SilentUpstream()
    replica = build_replica(await upstream.start(), latency_ms=10.0)
    pool = build_pool()
    pool._get_limit = lambda replica: 1
    ends: list[tuple[bytes, CallEnd, RunVerdict]] = []

    def call(request_id: bytes) -> Call:
        return pool.call(
            replica,
            b"POST / HTTP/1.1\r\n\r\n",
            request_id=request_id,
            is_idempotent=False,
            typical_ms=10.0,
            on_end=lambda call, result: ends.append(
                (call.request_id, result.end, result.verdict)
            ),
        )

    sent, _ = call(b"1"), call(b"2")
    await upstream.received.wait()
    if is_leaving:
        replica.is_retired = True
        pool.drop(replica.entry.upstream)
    else:
        replica.paused_until = Millis(float("inf"))
        pool.release_waiting(replica.entry.upstream)
    assert ends == [(b"2", CallEnd.REFUSED_CONNECTION, RunVerdict.NOT_RUN)]
    assert sent.connection.is_open
    sent.connection.close()
    await upstream.closed.wait()
    upstream.stop()


async def test_upstream_that_asks_for_time_gets_no_further_request(deployment) -> None:
    d1, d2 = deployment.upstreams["d1"], deployment.upstreams["d2"]
    d1.retry_after = "30"
    d2.delay_s = 0.02
    refused = []
    for _ in range(2):
        # Under load, the failures of one upstream would not keep requests from it.
        rounds = [send_many(deployment, 10) for _ in range(12)]
        await asyncio.gather(*rounds)
        refused.append(len(d1.refused))
    assert refused[0] > 0
    assert refused[1] == refused[0]


@pytest.mark.parametrize("target", ["/read/x", "/search/x"])
async def test_requests_are_refused_at_once_until_the_first_pause_ends(
    deployment, target: str
) -> None:
    """All upstreams of the service, or of all shards, have asked for time."""
    for upstream in deployment.upstreams.values():
        upstream.retry_after = "20"
    for name in ("a1", "b1", "d1"):
        deployment.upstreams[name].retry_after = "10"
    await send_many(deployment, 3, target)
    refused = {name: len(u.refused) for name, u in deployment.upstreams.items()}
    async with deployment.open_caller() as caller:
        status, headers, _ = await caller.send(target, "r-late")
    assert status == 503
    assert 9.0 < float(headers["retry-after"]) <= 10.0
    assert refused == {name: len(u.refused) for name, u in deployment.upstreams.items()}
    assert max(refused.values()) <= 2


async def test_shard_whose_upstreams_asked_for_time_is_left_out(deployment) -> None:
    for name in ("a1", "a2"):
        deployment.upstreams[name].retry_after = "30"
    async with deployment.open_caller() as caller:
        await caller.send("/search/x", "r1")
        status, headers, _ = await caller.send("/search/x", "r2")
    assert status == 200
    assert headers["missing-parts"] == "1"
