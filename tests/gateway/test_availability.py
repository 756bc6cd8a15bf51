"""Behaviour while published state, upstreams and readiness change."""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from skylarkcart.clock import Millis
from skylarkcart.replicas import Access
from tests.gateway.standins import API_KEY, Caller, Response, build_configuration


async def get_readiness_status(deployment) -> int:
    address = deployment.settings.readiness_address
    async with Caller(port=address.port) as prober:
        return (await prober.send("/ready", "probe"))[0]


async def send_on_new_connection(deployment, target: str, request: str) -> Response:
    """Sends a request on its own connection, as after ``Connection: close``."""
    async with deployment.open_caller() as caller:
        return await caller.send(target, request)


def list_connected(core, service: str) -> list[str]:
    return [
        replica.entry.upstream
        for replica in core.replicas.list_replicas(service)
        if core.pool.has_connection(replica)
    ]


async def test_connections_to_new_shards_are_open_before_the_next_request(
    deployment,
) -> None:
    """After a repartition, the next search would otherwise connect to every shard."""
    core = deployment.instance._core
    async with deployment.open_caller() as caller:
        assert (await caller.send("/search/x", "r1"))[0] == 200
    configuration = build_configuration(2)
    configuration["routes"][0]["gather"] = ["shard-1", "desk"]
    await deployment.store.put("op/config", configuration)
    await deployment.wait_for(lambda: list_connected(core, "desk"))
    assert len(list_connected(core, "desk")) == 1


async def test_many_instances_without_callers_open_no_connections(deployment) -> None:
    """A large fleet of which the load balancer uses a part.

    195 instances that each connect to 63 new shards exceed the limit of 125 connections
    of an upstream, and most of them get no request.
    """
    core = deployment.instance._core
    core.preconnect()
    await deployment.store.put("op/config", build_configuration(2))
    await deployment.wait_for(lambda: core.table.configuration.version == 2)
    core.preconnect()
    assert not any(list_connected(core, s) for s in ("shard-1", "shard-2", "desk"))


async def test_rate_limited_cold_upstreams_do_not_crash_the_process(deployment) -> None:
    """A rate limit that rules out all cold upstreams leaves none to preconnect."""
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
    core.preconnect()
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 503


async def test_connections_of_removed_upstreams_are_released(deployment) -> None:
    """Upstreams are replaced thousands of times a day, so leaks would add up."""
    core = deployment.instance._core
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200
    for name in ("d1", "d2"):
        await deployment.store.delete(f"servers/{name}")
    await deployment.wait_for(
        lambda: not {"d1", "d2"} & set(core.pool._connections)
        and not {"d1", "d2"} & set(core.replicas.replicas)
    )


async def test_partitioned_instance_fails_fast_and_becomes_unready(
    deployment,
) -> None:
    """A partitioned instance must not stay ready and fail each request in turn."""
    ports = {name: u.port for name, u in deployment.upstreams.items()}
    for upstream in deployment.upstreams.values():
        upstream.stop()
    for number in range(8):
        await send_on_new_connection(deployment, "/search/x", f"s{number}")
        await send_on_new_connection(deployment, "/read/x", f"r{number}")
        await asyncio.sleep(0.05)
    responses = [
        await send_on_new_connection(deployment, "/search/x", "last-1"),
        await send_on_new_connection(deployment, "/read/x", "last-2"),
    ]
    assert [status for status, _, _ in responses] == [503, 503]
    assert all("retry-after" in headers for _, headers, _ in responses)
    assert await get_readiness_status(deployment) == 503
    for name, upstream in deployment.upstreams.items():
        await upstream.start(ports[name])
    async with asyncio.timeout(5):
        while await get_readiness_status(deployment) != 200:
            await asyncio.sleep(0.05)
    async with deployment.open_caller() as caller:
        assert (await caller.send("/search/x", "again"))[0] == 200


async def test_instance_is_ready_after_a_partition_once_all_routes_are_reachable(
    deployment,
) -> None:
    """An instance that is ready too early refuses the first searches."""
    core = deployment.instance._core
    now = core.now
    by_service = {
        service: core.replicas.list_replicas(service)
        for service in ("shard-1", "shard-2", "desk")
    }
    for replica in (*by_service["shard-1"], *by_service["shard-2"]):
        replica.record_connection_failure(now)
        replica.record_connection_failure(now)
    by_service["desk"][0].record_connection(now)
    assert core.can_serve_most_traffic(now)
    for replica in by_service["desk"]:
        replica.record_connection_failure(now)
        replica.record_connection_failure(now)
    assert not core.can_serve_most_traffic(now)
    by_service["desk"][0].record_connection(now)
    assert not core.can_serve_most_traffic(Millis(now + 100))
    by_service["shard-1"][0].record_connection(now)
    assert core.can_serve_most_traffic(Millis(now + 100))


async def test_routes_without_upstreams_do_not_make_the_instance_unready(
    deployment,
) -> None:
    """Operators add routes before the upstreams of these routes start."""
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
    assert await get_readiness_status(deployment) == 200


async def test_idle_routes_do_not_keep_an_instance_with_failing_searches_ready(
    deployment,
) -> None:
    """During a partition, idle routes within the zone must not keep it ready."""
    document = build_configuration(2)
    for number in range(20):
        route = document["routes"][1] | {
            "name": f"idle-{number}",
            "prefix": f"/idle-{number}/",
        }
        document["routes"].append(route)
    await deployment.store.put("op/config", document)
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.table.configuration.version == 2)
    async with deployment.open_caller() as caller:
        for number in range(8):
            assert (await caller.send("/search/x", f"s{number}"))[0] == 200
    now = core.now
    for shard in ("shard-1", "shard-2"):
        for replica in core.replicas.list_replicas(shard):
            replica.record_connection_failure(now)
            replica.record_connection_failure(now)
    core.replicas.list_replicas("desk")[0].record_connection(now)
    assert core.find_unready_reason(now) == "upstreams_unreachable"


async def test_account_over_its_rate_is_refused_with_retry_after(
    deployment,
) -> None:
    tenants = [
        {"name": "museum", "apiKeys": [API_KEY], "ratePerS": 1, "burst": 2},
    ]
    await deployment.store.put("op/config", build_configuration(2, tenants=tenants))
    await deployment.wait_for(
        lambda: deployment.instance._core.table.configuration.version == 2
    )
    async with deployment.open_caller() as caller:
        responses = [await caller.send("/read/x", f"r{i}") for i in range(6)]
    statuses = [status for status, _, _ in responses]
    assert statuses.count(200) <= 3 and statuses[-1] == 429
    # The wait covers one token and the reserve of 0.3 of the burst, at one token per
    # second.
    assert 0.6 < float(responses[-1][1]["retry-after"]) <= 1.61
    assert deployment.list_runs("r5") == []


async def test_revoked_key_stops_working_on_an_open_connection(deployment) -> None:
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200
        tenants = [{"name": "museum", "apiKeys": ["new"], "ratePerS": 9, "burst": 9}]
        await deployment.store.put("op/config", build_configuration(2, tenants=tenants))
        await deployment.wait_for(
            lambda: deployment.instance._core.table.configuration.version == 2
        )
        assert (await caller.send("/read/x", "r2"))[0] == 401


async def test_keys_are_not_trusted_while_published_state_is_stale(
    deployment,
) -> None:
    """A key that is revoked during a partition must stop working there too."""
    core = deployment.instance._core
    deployment.store.is_unavailable = True
    core.registry.confirmed_at = core.now - 3_800
    async with deployment.open_caller() as caller:
        status, headers, _ = await caller.send("/read/x", "r1")
        assert status == 503 and float(headers["retry-after"]) > 0
    assert deployment.list_runs("r1") == []


async def test_draining_and_removed_upstreams_receive_no_calls(deployment) -> None:
    store, upstreams = deployment.store, deployment.upstreams
    await store.put("servers/d1", upstreams["d1"].describe("draining"))
    await deployment.wait_for(
        lambda: "d1" not in deployment.instance._core.replicas.replicas
    )
    await store.delete("servers/d2")
    await deployment.wait_for(
        lambda: "d2" not in deployment.instance._core.replicas.replicas
    )
    async with deployment.open_caller() as caller:
        status, headers, body = await caller.send("/read/x", "r1")
    assert (status, json.loads(body)["error"]) == (503, "no_upstream")
    assert "retry-after" in headers


@pytest.mark.parametrize(
    "value",
    [
        b'{"labels": ' + b"[" * 1_500 + b"]" * 1_500 + b"}",
        b'{"service":"desk","address":"127.0.0.1:%b","zone":"zone-a","slots":1,'
        b'"state":"ready","coldLeftMs":0}' % (b"8" * 5_000),
    ],
    ids=["nested deep", "port with thousands of digits"],
)
async def test_added_route_is_served_beside_an_entry_that_fails_to_decode(
    deployment, value: bytes
) -> None:
    """Such an entry stopped the reading of the store; the route got 404 for good."""
    await deployment.store.put("servers/odd", value)
    document = build_configuration(2)
    added = document["routes"][1] | {"name": "added", "prefix": "/added/"}
    document["routes"] = [*document["routes"], added]
    await deployment.store.put("op/config", document)
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.table.configuration.version == 2)
    async with deployment.open_caller() as caller:
        assert (await caller.send("/added/x", "r1"))[0] == 200


async def test_unreadable_store_entries_are_skipped(
    deployment,
) -> None:
    await deployment.store.put("servers/broken", b"\xff\x00")
    await deployment.store.put("servers/odd", {"service": 5})
    await deployment.store.delete("servers/d1")
    await deployment.wait_for(
        lambda: "d1" not in deployment.instance._core.replicas.replicas
    )
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200


async def test_drain_completes_requests_and_closes_idle_connections(
    deployment,
) -> None:
    """A rolling restart must not interrupt requests."""
    for upstream in deployment.upstreams.values():
        upstream.delay_s = 0.3
    async with deployment.open_caller() as idle, deployment.open_caller() as busy:
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


async def test_call_waiting_for_a_connection_is_reassigned(
    deployment, monkeypatch
) -> None:
    """Replacing an unsent call must not use the extra-call budget.

    In a partition that drops packets, connects hang until they time out.
    """
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection
    unreachable_ports = {deployment.upstreams[name].port for name in ("a1", "b1", "d1")}

    async def connect(factory, host, port):
        if port in unreachable_ports:
            await asyncio.sleep(5)
        return await create_connection(factory, host, port)

    core = deployment.instance._core
    bounds = msgspec.structs.replace(
        core.settings.bounds, extra_calls_ratio=0.0, extra_calls_slack=0.0
    )
    core.settings = msgspec.structs.replace(core.settings, bounds=bounds)
    core._extra_calls.clear()
    monkeypatch.setattr(loop, "create_connection", connect)
    async with deployment.open_caller() as caller:
        for number in range(3):
            for upstream in core.replicas.replicas:
                core.pool.drop(upstream)
            for target in ("search", "read", "file"):
                request = f"{target}-{number}"
                async with asyncio.timeout(0.9):
                    response = await caller.send(f"/{target}/x", request)
                assert response[0] == 200
                assert response[1].get("missing-parts", "0") == "0"
                expected = ["a2", "b2"] if target == "search" else ["d2"]
                assert deployment.list_runs(request) == expected


async def test_call_is_reassigned_if_its_new_connection_is_reset(
    deployment, monkeypatch
) -> None:
    """An upstream at its connection limit resets new connections.

    A waiting call must fail over at once rather than wait for its deadline.
    """
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection
    limited_port = deployment.upstreams["d1"].port

    async def connect(factory, host, port):
        if port != limited_port:
            return await create_connection(factory, host, port)
        protocol = factory()
        protocol.connection_made(asyncio.Transport())
        protocol.connection_lost(ConnectionResetError())
        return None, protocol

    core = deployment.instance._core
    monkeypatch.setattr(loop, "create_connection", connect)
    for upstream in core.replicas.replicas:
        core.pool.drop(upstream)
    core.replicas.replicas["d2"].record_connection_failure(core.now)
    async with deployment.open_caller() as caller, asyncio.timeout(1):
        assert (await caller.send("/file/x", "r1"))[0] == 200
    assert deployment.list_runs("r1") == ["d2"]


async def test_connections_that_timed_out_are_not_reopened_ahead(deployment) -> None:
    """Callers whose requests are rarer than the idle timeout of upstreams.

    In a large fleet, each instance has few of them. A connection to each shard was
    opened after each timeout, and most of these timed out without a call.
    """
    core = deployment.instance._core
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200
    core.preconnect()
    for _ in range(2):
        for upstream in core.replicas.replicas:
            core.pool.drop(upstream)
        core.preconnect()
        assert not list_connected(core, "desk")
    assert not list_connected(core, "shard-1")


async def test_route_that_comes_into_use_again_is_connected_again(deployment) -> None:
    """Its services may have been replaced while it had no requests."""
    core = deployment.instance._core
    for requested_at in (core.now, Millis(core.now - 11_000), core.now):
        for upstream in core.replicas.replicas:
            core.pool.drop(upstream)
        core._last_requests_at["read"] = requested_at
        core.preconnect()
        desk = core.replicas.list_replicas("desk")
        if requested_at < core.now - 10_000:
            assert not list_connected(core, "desk")
        else:
            await deployment.wait_for(
                lambda: Access.CONNECTED in map(core.pool.get_access, desk)
            )


async def test_connection_is_opened_ahead_once_an_upstream_accepts_one(
    deployment,
) -> None:
    """A service that is not reachable at first must not be skipped for good."""
    core = deployment.instance._core
    core._last_requests_at["read"] = core.now
    desk = core.replicas.list_replicas("desk")
    for replica in desk:
        replica.record_connection_reset(core.now)
    core.preconnect()
    assert not list_connected(core, "desk")
    for replica in desk:
        replica._connect_backoff_until = core.now
    core.preconnect()
    assert len(list_connected(core, "desk")) == 1


async def test_responses_close_connections_while_the_instance_is_unready(
    deployment,
) -> None:
    """Callers with open connections would keep returning to an isolated zone."""
    core = deployment.instance._core
    async with deployment.open_caller() as caller:
        assert "connection" not in (await caller.send("/read/x", "r1"))[1]
        core.registry.confirmed_at = Millis(core.now - 3_800)
        deployment.store.is_unavailable = True
        reason = core.find_unready_reason(core.now)
        assert reason == "keys_not_confirmed"
        core.update_readiness(reason, core.now)
        status, headers, _ = await caller.send("/read/x", "r2")
    assert (status, headers["connection"]) == (503, "close")
    assert float(headers["retry-after"]) > 1.5
    since = core.unready_since
    assert core.get_retry_after_ms(Millis(since + 2_300)) < 50
