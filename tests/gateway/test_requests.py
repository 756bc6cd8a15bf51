"""Requests through a gateway instance, with stand-ins for everything around it."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.gateway.standins import API_KEY, Caller, build_configuration


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


async def ask_readiness(deployment) -> int:
    address = deployment.settings.readiness_address
    async with Caller(port=address.port) as prober:
        return (await prober.send("/ready", "probe"))[0]


async def test_connections_are_open_before_the_first_request(deployment) -> None:
    """After a repartition the first search opened a connection to each shard."""
    core = deployment.instance._core
    for service in ("shard-1", "shard-2", "desk"):
        replicas = core.replicas.list_service(service)
        await deployment.wait_for(
            lambda replicas=replicas: any(map(core.pool.has_connection, replicas))
        )
        assert sum(map(core.pool.has_connection, replicas)) == 1


async def test_cold_upstreams_with_a_bound_do_not_end_the_process(deployment) -> None:
    """While no cold upstream may be called, there is none to connect to ahead."""
    services = [
        {"name": name, "maxConns": 40, "coldStartS": 3, "coldPerS": 0.01}
        for name in ("shard-1", "shard-2", "desk")
    ]
    for name, upstream in deployment.upstreams.items():
        entry = upstream.describe() | {"coldLeftMs": 60_000, "born": 5}
        await deployment.store.put(f"servers/{name}", entry)
    await deployment.store.put("op/config", build_configuration(2, services=services))
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.table.configuration.version == 2)
    for upstream in core.replicas.replicas:
        core.pool.drop(upstream)
    core.open_ahead()
    async with deployment.call() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 503


async def test_nothing_is_kept_of_upstreams_that_are_gone(deployment) -> None:
    """Upstreams are replaced thousands of times a day."""
    core = deployment.instance._core
    async with deployment.call() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200
    for name in ("d1", "d2"):
        await deployment.store.delete(f"servers/{name}")
    await deployment.wait_for(
        lambda: not {"d1", "d2"} & set(core.pool._sockets)
        and not {"d1", "d2"} & set(core.replicas.replicas)
    )


async def test_cut_off_instance_refuses_at_once_and_turns_callers_away(
    deployment,
) -> None:
    """Behind a partition it failed each request in turn and went on being ready."""
    ports = {name: u.port for name, u in deployment.upstreams.items()}
    for upstream in deployment.upstreams.values():
        upstream.stop()
    async with deployment.call() as caller:
        for number in range(8):
            await caller.send("/search/x", f"s{number}")
            await caller.send("/read/x", f"r{number}")
            await asyncio.sleep(0.05)
        answers = [
            await caller.send("/search/x", "last-1"),
            await caller.send("/read/x", "last-2"),
        ]
    assert [status for status, _, _ in answers] == [503, 503]
    assert all("retry-after" in headers for _, headers, _ in answers)
    assert await ask_readiness(deployment) == 503
    for name, upstream in deployment.upstreams.items():
        await upstream.start(ports[name])
    async with asyncio.timeout(5):
        while await ask_readiness(deployment) != 200:
            await asyncio.sleep(0.05)
    async with deployment.call() as caller:
        assert (await caller.send("/search/x", "again"))[0] == 200


async def test_routes_without_upstreams_do_not_turn_callers_away(deployment) -> None:
    """Operators add routes before their upstreams; instances once were not ready."""
    document = build_configuration(2)
    for number in range(20):
        route = document["routes"][1] | {
            "name": f"idle-{number}",
            "prefix": f"/idle-{number}/",
            "service": f"later-{number}",
        }
        document["routes"].append(route)
    await deployment.store.put("op/config", document)
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.table.configuration.version == 2)
    assert await ask_readiness(deployment) == 200


async def test_failed_search_does_not_promise_that_nothing_ran(deployment) -> None:
    for name in ("a1", "a2", "b1", "b2"):
        deployment.upstreams[name].stop()
    async with deployment.call() as caller:
        assert (await caller.send("/search/x", "r1"))[0] in (502, 504)


async def test_account_over_its_rate_is_refused_with_a_time_to_return(
    deployment,
) -> None:
    tenants = [
        {"name": "museum", "apiKeys": [API_KEY], "ratePerS": 1, "burst": 2},
    ]
    await deployment.store.put("op/config", build_configuration(2, tenants=tenants))
    await deployment.wait_for(
        lambda: deployment.instance._core.table.configuration.version == 2
    )
    async with deployment.call() as caller:
        answers = [await caller.send("/read/x", f"r{i}") for i in range(6)]
    statuses = [status for status, _, _ in answers]
    assert statuses.count(200) <= 3 and statuses[-1] == 429
    assert 0 < float(answers[-1][1]["retry-after"]) <= 1.01
    assert deployment.list_runs("r5") == []


async def test_withdrawn_key_stops_working_on_an_open_connection(deployment) -> None:
    async with deployment.call() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200
        tenants = [{"name": "museum", "apiKeys": ["new"], "ratePerS": 9, "burst": 9}]
        await deployment.store.put("op/config", build_configuration(2, tenants=tenants))
        await deployment.wait_for(
            lambda: deployment.instance._core.table.configuration.version == 2
        )
        assert (await caller.send("/read/x", "r2"))[0] == 401


async def test_keys_are_not_trusted_when_the_store_is_silent_for_long(
    deployment,
) -> None:
    """A key withdrawn behind a partition must stop working there too."""
    core = deployment.instance._core
    deployment.store.is_away = True
    core.registry.confirmed_at = core.now - 3_800
    async with deployment.call() as caller:
        status, headers, _ = await caller.send("/read/x", "r1")
        assert status == 503 and float(headers["retry-after"]) > 0
    assert deployment.list_runs("r1") == []


async def test_draining_and_removed_upstreams_get_no_more_work(deployment) -> None:
    store, upstreams = deployment.store, deployment.upstreams
    await store.put("servers/d1", upstreams["d1"].describe("draining"))
    await deployment.wait_for(
        lambda: "d1" not in deployment.instance._core.replicas.replicas
    )
    await store.delete("servers/d2")
    await deployment.wait_for(
        lambda: "d2" not in deployment.instance._core.replicas.replicas
    )
    async with deployment.call() as caller:
        status, headers, body = await caller.send("/read/x", "r1")
    assert (status, json.loads(body)["error"]) == (503, "no_upstream")
    assert "retry-after" in headers


async def test_unreadable_entry_names_no_upstream_and_stops_nothing(
    deployment,
) -> None:
    await deployment.store.put("servers/broken", b"\xff\x00")
    await deployment.store.put("servers/odd", {"service": 5})
    await deployment.store.delete("servers/d1")
    await deployment.wait_for(
        lambda: "d1" not in deployment.instance._core.replicas.replicas
    )
    async with deployment.call() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200


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


async def test_drain_answers_what_was_read_and_closes_idle_connections(
    deployment,
) -> None:
    """A rolling stop must not cut a request."""
    for upstream in deployment.upstreams.values():
        upstream.delay_s = 0.3
    async with deployment.call() as idle, deployment.call() as busy:
        assert (await idle.send("/read/x", "r0"))[0] == 200
        busy.write("/read/x", "r1")
        await deployment.wait_for(lambda: deployment.instance._core.lifecycle.running)
        drain = asyncio.create_task(deployment.instance.drain_and_stop())
        status, headers, _ = await busy.read()
        assert (status, headers["connection"]) == (200, "close")
        status, _, _ = await idle.send("/read/x", "r2")
        assert status == 200
        await drain
        assert await idle.reader.read() == b""
