"""Requests through a gateway instance, with stand-ins for everything around it."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway.standins import API_KEY


async def test_search_merges_one_part_of_each_shard(deployment) -> None:
    async with deployment.call() as caller:
        status, headers, body = await caller.send("/search/x?q=1", "r1")
    assert status == 200
    assert len(headers["part-stamps"].split(", ")) == 2
    assert headers["missing-parts"] == "0"
    assert len(body) == 32 and body == b"".join(sorted((body[:16], body[16:]))[::-1])
    assert len(deployment.list_runs("r1")) == 2


async def test_upstream_gets_the_account_and_never_the_key(deployment) -> None:
    """A key that reaches an upstream could be used there."""
    async with deployment.call() as caller:
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
async def test_request_that_may_not_run_reaches_no_upstream(
    deployment, target: str, fields: dict[str, str], status: int
) -> None:
    async with deployment.call() as caller:
        answer = await caller.send(target, "r1", **fields)
    assert answer[0] == status
    assert deployment.list_runs("r1") == []


async def test_header_and_body_limits_are_kept(deployment) -> None:
    async with deployment.call() as caller:
        assert (await caller.send("/read/x", "r1", X_Long="x" * 5_000))[0] == 431
    async with deployment.call() as caller:
        caller.writer.write(
            b"POST /file/x HTTP/1.1\r\nHost: search.example\r\nRequest-Id: r2\r\n"
            b"Content-Length: 2000\r\n\r\n" + b"x" * 2_000
        )
        assert (await caller.read())[0] == 413


async def test_request_within_another_request_is_rejected(deployment) -> None:
    """Two lengths of one body would let a second request slip in."""
    async with deployment.call() as caller:
        caller.writer.write(
            b"POST /file/x HTTP/1.1\r\nHost: search.example\r\nRequest-Id: r1\r\n"
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert (await caller.read())[0] == 400
    assert deployment.list_runs("r1") == []


async def test_shed_filing_goes_to_another_upstream(deployment) -> None:
    """A refusal that states that nothing was run permits another upstream."""

    async def shed(*_):
        return 503, {"Not-Executed": "1"}, b""

    deployment.upstreams["d1"].behaviour = shed
    async with deployment.call() as caller:
        for number in range(4):
            caller.write("/file/x", f"r{number}", method="POST")
            assert (await caller.read())[0] == 200
            assert deployment.list_runs(f"r{number}") == ["d2"]


async def test_filing_whose_answer_is_lost_is_not_repeated(deployment) -> None:
    """The upstream may have run it, so that 502 is the only true answer."""
    ran = []

    async def lose(method, target, headers, body):
        ran.append(headers["request-id"])
        return b""

    for name in ("d1", "d2"):
        deployment.upstreams[name].behaviour = lose
    async with deployment.call() as caller:
        caller.write("/file/x", "r1", method="POST")
        assert (await caller.read())[0] == 502
    assert ran == ["r1"]


async def test_read_whose_answer_is_lost_is_repeated_elsewhere(deployment) -> None:
    async def lose(*_):
        return b""

    deployment.upstreams["d1"].behaviour = lose
    async with deployment.call() as caller:
        for number in range(4):
            assert (await caller.send("/read/x", f"r{number}"))[0] == 200


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
        b"Content-Length: 99\r\n\r\nshort",
        b"not an answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
        b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    ],
)
async def test_spoilt_answer_never_reaches_a_caller(deployment, answer: bytes) -> None:
    """Cut, unreadable, unsigned and encoded answers are not the upstream's result."""

    async def spoil(*_):
        return answer

    for name in ("d1", "d2"):
        deployment.upstreams[name].behaviour = spoil
    async with deployment.call() as caller:
        status, headers, _ = await caller.send("/read/x", "r1")
    assert status == 502
    assert "server-stamp" not in headers


async def test_answer_to_another_request_is_skipped(deployment) -> None:
    """An extra answer arrives where the next one is expected."""

    async def answer_twice(method, target, headers, body):
        stale = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n"
        own = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: own\r\n"
        return (
            stale
            + b"Content-Length: 3\r\n\r\nbad"
            + own
            + (b"Content-Length: 4\r\n\r\ngood")
        )

    for name in ("d1", "d2"):
        deployment.upstreams[name].behaviour = answer_twice
    async with deployment.call() as caller:
        status, headers, body = await caller.send("/read/x", "r1")
    assert (status, headers["server-stamp"], body) == (200, "own", b"good")


async def test_failure_of_an_upstream_keeps_its_status_and_signature(
    deployment,
) -> None:
    async def fail(method, target, headers, body):
        fields = {"Request-Id": headers["request-id"], "Server-Stamp": "failed"}
        return 500, fields, b"broken"

    for name in ("d1", "d2"):
        deployment.upstreams[name].behaviour = fail
    async with deployment.call() as caller:
        caller.write("/file/x", "r1", method="POST")
        status, headers, body = await caller.read()
    assert (status, headers["server-stamp"], body) == (500, "failed", b"broken")


async def test_misdirected_call_goes_elsewhere_and_drops_the_upstream(
    deployment,
) -> None:
    """Addresses of ended upstreams are used again by other services."""
    replicas = deployment.instance._core.replicas
    await deployment.store.delete("servers/d2")
    await deployment.wait_for(lambda: "d2" not in replicas.replicas)
    deployment.upstreams["d1"].upstream = "another"
    async with deployment.call() as caller:
        caller.write("/file/x", "r1", method="POST")
        assert (await caller.read())[0] == 503
        assert "d1" not in replicas.replicas
        await deployment.store.put("servers/d2", deployment.upstreams["d2"].describe())
        await deployment.wait_for(lambda: "d2" in replicas.replicas)
        caller.write("/file/x", "r2", method="POST")
        assert (await caller.read())[0] == 200


async def test_straggler_is_hedged(deployment) -> None:
    """Half of a shard's upstreams are slow; the other half answers in time."""
    for name in ("a1", "b1"):
        deployment.upstreams[name].delay_s = 0.25
    async with deployment.call() as caller:
        for number in range(6):
            status, headers, _ = await caller.send("/search/x", f"r{number}")
            assert (status, headers["missing-parts"]) == (200, "0")
    for name in ("a2", "b2"):
        assert deployment.upstreams[name].runs


async def test_answer_goes_out_without_a_shard_that_is_down(deployment) -> None:
    for name in ("b1", "b2"):
        deployment.upstreams[name].stop()
    async with deployment.call() as caller:
        status, headers, _ = await caller.send("/search/x", "r1")
    assert (status, headers["missing-parts"]) == (200, "1")


async def test_failed_search_does_not_promise_that_nothing_ran(deployment) -> None:
    for name in ("a1", "a2", "b1", "b2"):
        deployment.upstreams[name].stop()
    async with deployment.call() as caller:
        assert (await caller.send("/search/x", "r1"))[0] in (502, 504)


async def test_caller_that_leaves_ends_the_calls(deployment) -> None:
    for upstream in deployment.upstreams.values():
        upstream.delay_s = 1.0
    caller = deployment.call()
    await caller.__aenter__()
    caller.write("/read/x", "r1")
    await deployment.wait_for(lambda: deployment.instance._core.lifecycle.running)
    caller.writer.close()
    await deployment.wait_for(lambda: not deployment.instance._core.lifecycle.running)
    await asyncio.sleep(1.2)
    assert deployment.list_runs("r1") in ([], ["d1"], ["d2"])


async def test_pipelined_requests_are_answered_in_order(deployment) -> None:
    async with deployment.call() as caller:
        for number in range(5):
            caller.write("/read/x", f"r{number}")
        answers = [await caller.read() for _ in range(5)]
    assert [headers["request-id"] for _, headers, _ in answers] == [
        f"r{number}" for number in range(5)
    ]


async def test_unreadable_request_does_not_answer_the_one_before(deployment) -> None:
    """Its refusal once overtook the answer that the caller was waiting for."""
    for upstream in deployment.upstreams.values():
        upstream.delay_s = 0.2
    async with deployment.call() as caller:
        caller.write("/read/x", "r1")
        await deployment.wait_for(lambda: deployment.instance._core.lifecycle.running)
        caller.writer.write(b"not a request\r\n\r\n")
        status, headers, _ = await caller.read()
        assert (status, headers["request-id"]) == (200, "r1")
        assert await caller.reader.read() == b""
