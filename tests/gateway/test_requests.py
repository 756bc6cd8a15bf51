"""Requests through a gateway instance with stand-ins for its dependencies."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway.standins import API_KEY


async def test_search_merges_one_part_of_each_shard(deployment) -> None:
    async with deployment.open_caller() as caller:
        status, headers, body = await caller.send("/search/x?q=1", "r1")
    assert status == 200
    assert len(headers["part-stamps"].split(", ")) == 2
    assert headers["missing-parts"] == "0"
    assert len(body) == 32 and body == b"".join(sorted((body[:16], body[16:]))[::-1])
    assert len(deployment.list_runs("r1")) == 2


async def test_upstream_gets_the_account_and_never_the_key(deployment) -> None:
    """An upstream that receives an API key could misuse it."""
    async with deployment.open_caller() as caller:
        await caller.send("/read/x", "r1", Tenant="forged", Target_Instance="forged")
    (upstream,) = deployment.list_runs("r1")
    ((_, headers),) = deployment.upstreams[upstream].runs
    assert headers["tenant"] == "museum"
    assert headers["target-instance"] == upstream
    assert API_KEY not in headers.values()


@pytest.mark.parametrize(
    ("target", "fields", "status"),
    [
        ("/none/", {}, 404),
        ("/read/x", {"X_Api_Key": "other"}, 401),
        ("/read/x", {"Deadline_Ms": "soon"}, 400),
    ],
)
async def test_refused_request_reaches_no_upstream(
    deployment, target: str, fields: dict[str, str], status: int
) -> None:
    async with deployment.open_caller() as caller:
        response = await caller.send(target, "r1", **fields)
    assert response[0] == status
    assert deployment.list_runs("r1") == []


async def test_header_and_body_limits_are_enforced(deployment) -> None:
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1", X_Long="x" * 5_000))[0] == 431
    async with deployment.open_caller() as caller:
        caller.writer.write(
            b"POST /file/x HTTP/1.1\r\nHost: search.example\r\nRequest-Id: r2\r\n"
            b"Content-Length: 2000\r\n\r\n" + b"x" * 2_000
        )
        assert (await caller.read())[0] == 413


async def test_request_smuggling_is_rejected(deployment) -> None:
    """Content-Length and Transfer-Encoding together allow request smuggling."""
    async with deployment.open_caller() as caller:
        caller.writer.write(
            b"POST /file/x HTTP/1.1\r\nHost: search.example\r\nRequest-Id: r1\r\n"
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert (await caller.read())[0] == 400
    assert deployment.list_runs("r1") == []


async def test_shed_filing_is_retried_on_another_upstream(deployment) -> None:
    """A refusal that states that nothing was run permits a retry."""

    async def refuse_unexecuted(*_):
        return 503, {"Not-Executed": "1"}, b""

    deployment.upstreams["d1"].handler = refuse_unexecuted
    async with deployment.open_caller() as caller:
        for number in range(4):
            caller.write("/file/x", f"r{number}", method="POST")
            assert (await caller.read())[0] == 200
            assert deployment.list_runs(f"r{number}") == ["d2"]


async def test_filing_with_a_lost_response_is_not_retried(deployment) -> None:
    """The upstream may have run the filing, so only 502 is correct."""
    received = []

    async def close_without_response(method, target, headers, body):
        received.append(headers["request-id"])
        return b""

    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = close_without_response
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST")
        assert (await caller.read())[0] == 502
    assert received == ["r1"]


async def test_read_with_a_lost_response_is_retried_on_another_upstream(
    deployment,
) -> None:
    async def close_without_response(*_):
        return b""

    deployment.upstreams["d1"].handler = close_without_response
    async with deployment.open_caller() as caller:
        for number in range(4):
            assert (await caller.send("/read/x", f"r{number}"))[0] == 200


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
        b"Content-Length: 99\r\n\r\nshort",
        b"not an answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
        b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    ],
)
async def test_invalid_response_is_never_relayed(deployment, response: bytes) -> None:
    """Truncated, malformed, unsigned and encoded responses are invalid."""

    async def send_invalid_response(*_):
        return response

    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = send_invalid_response
    async with deployment.open_caller() as caller:
        status, headers, _ = await caller.send("/read/x", "r1")
    assert status == 502
    assert "server-stamp" not in headers


async def test_response_to_another_request_is_skipped(deployment) -> None:
    """A surplus response on a connection precedes the expected one."""

    async def send_stale_response_first(method, target, headers, body):
        stale = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n"
        own = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: own\r\n"
        return (
            stale
            + b"Content-Length: 3\r\n\r\nbad"
            + own
            + (b"Content-Length: 4\r\n\r\ngood")
        )

    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = send_stale_response_first
    async with deployment.open_caller() as caller:
        status, headers, body = await caller.send("/read/x", "r1")
    assert (status, headers["server-stamp"], body) == (200, "own", b"good")


async def test_failure_of_an_upstream_keeps_its_status_and_signature(
    deployment,
) -> None:
    async def fail(method, target, headers, body):
        fields = {"Request-Id": headers["request-id"], "Server-Stamp": "failed"}
        return 500, fields, b"broken"

    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = fail
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST")
        status, headers, body = await caller.read()
    assert (status, headers["server-stamp"], body) == (500, "failed", b"broken")


async def test_misdirected_call_removes_the_upstream(
    deployment,
) -> None:
    """Addresses of stopped upstreams are reused by other services."""
    replicas = deployment.instance._core.replicas
    await deployment.store.delete("servers/d2")
    await deployment.wait_for(lambda: "d2" not in replicas.replicas)
    deployment.upstreams["d1"].upstream = "another"
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST")
        assert (await caller.read())[0] == 503
        assert "d1" not in replicas.replicas
        await deployment.store.put("servers/d2", deployment.upstreams["d2"].describe())
        await deployment.wait_for(lambda: "d2" in replicas.replicas)
        caller.write("/file/x", "r2", method="POST")
        assert (await caller.read())[0] == 200


async def test_slow_replica_is_hedged(deployment) -> None:
    """Half of each shard's upstreams are slow, the other half respond in time."""
    for name in ("a1", "b1"):
        deployment.upstreams[name].delay_s = 0.25
    async with deployment.open_caller() as caller:
        for number in range(6):
            status, headers, _ = await caller.send("/search/x", f"r{number}")
            assert (status, headers["missing-parts"]) == (200, "0")
    for name in ("a2", "b2"):
        assert deployment.upstreams[name].runs


async def test_search_succeeds_partially_while_a_shard_is_down(deployment) -> None:
    for name in ("b1", "b2"):
        deployment.upstreams[name].stop()
    async with deployment.open_caller() as caller:
        status, headers, _ = await caller.send("/search/x", "r1")
    assert (status, headers["missing-parts"]) == (200, "1")


async def test_failed_search_does_not_claim_that_nothing_ran(deployment) -> None:
    for name in ("a1", "a2", "b1", "b2"):
        deployment.upstreams[name].stop()
    async with deployment.open_caller() as caller:
        assert (await caller.send("/search/x", "r1"))[0] in (502, 504)


async def test_calls_end_when_the_caller_disconnects(deployment) -> None:
    for upstream in deployment.upstreams.values():
        upstream.delay_s = 1.0
    caller = deployment.open_caller()
    await caller.__aenter__()
    caller.write("/read/x", "r1")
    await deployment.wait_for(lambda: deployment.instance._core.lifecycle.running)
    caller.writer.close()
    await deployment.wait_for(lambda: not deployment.instance._core.lifecycle.running)
    await asyncio.sleep(1.2)
    assert deployment.list_runs("r1") in ([], ["d1"], ["d2"])


async def test_pipelined_requests_receive_responses_in_order(deployment) -> None:
    async with deployment.open_caller() as caller:
        for number in range(5):
            caller.write("/read/x", f"r{number}")
        responses = [await caller.read() for _ in range(5)]
    assert [headers["request-id"] for _, headers, _ in responses] == [
        f"r{number}" for number in range(5)
    ]


async def test_malformed_request_does_not_preempt_the_pending_response(
    deployment,
) -> None:
    """The error response must not overtake the response to an earlier request."""
    for upstream in deployment.upstreams.values():
        upstream.delay_s = 0.2
    async with deployment.open_caller() as caller:
        caller.write("/read/x", "r1")
        await deployment.wait_for(lambda: deployment.instance._core.lifecycle.running)
        caller.writer.write(b"not a request\r\n\r\n")
        status, headers, _ = await caller.read()
        assert (status, headers["request-id"]) == (200, "r1")
        assert await caller.reader.read() == b""


async def test_search_waits_for_shards_that_are_full_for_a_moment(deployment) -> None:
    """Both upstreams of a shard refuse at first, and the search is not given up."""
    refusals = []

    async def refuse_first(*_):
        if len(refusals) < 3:
            refusals.append(1)
            return 503, {"Not-Executed": "1"}, b""
        return None

    for upstream in ("a1", "a2"):
        deployment.upstreams[upstream].handler = refuse_first
    async with deployment.open_caller() as caller:
        status, headers, _ = await caller.send("/search/x", "r1")
    assert (status, headers["missing-parts"]) == (200, "0")
    assert len(refusals) == 3
    assert len(deployment.list_runs("r1")) == 2
