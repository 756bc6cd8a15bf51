"""Guards what callers and upstreams see of admission, over real connections."""

from __future__ import annotations

import asyncio

import pytest

from skylarkcart.types import ServiceId
from tests.gateway.standins import build_configuration

FULL, FREE = "4,80,4,100", "1,0,4,100"


def build_routes() -> list[dict]:
    """Returns the usual routes with a quick one, which competes for the same desk."""
    routes = build_configuration()["routes"]
    read, search = routes[1], routes[0]
    quick = read | {"name": "quick", "prefix": "/quick/", "priority": 0}
    quick_search = search | {"name": "find", "prefix": "/find/", "priority": 0}
    return [*routes, quick, quick_search]


async def configure(deployment) -> None:
    configuration = build_configuration(2, routes=build_routes())
    await deployment.store.put("op/config", configuration)
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.table.configuration.version == 2)


def set_load(deployment, load: str) -> None:
    for upstream in deployment.upstreams.values():
        upstream.load = load


async def ask(deployment, target: str, count: int, **fields: str) -> list[tuple]:
    """Sends requests at the same time, each on its own connection."""

    async def send(number: int):
        async with deployment.open_caller() as caller:
            return await caller.send(
                target, f"{target}-{number}", Deadline_Ms="2000", **fields
            )

    return await asyncio.gather(*(send(number) for number in range(count)))


async def make_short(deployment) -> None:
    """Lets calls of both priorities see upstreams without room."""
    await configure(deployment)
    set_load(deployment, FREE)
    for _ in range(2):
        # The first reports show that admission takes effect.
        await ask(deployment, "/quick/a", 6)
        await ask(deployment, "/find/a", 6)
    set_load(deployment, FULL)
    for upstream in deployment.upstreams.values():
        # Answers that take their time confirm the load.
        upstream.delay_s = 0.2
    await ask(deployment, "/read/a", 6)
    await ask(deployment, "/search/a", 6)


@pytest.mark.parametrize(
    ("method", "target"),
    [("GET", "/read/x"), ("POST", "/file/x"), ("GET", "/search/x")],
)
async def test_refused_request_has_sent_no_call(deployment, method, target) -> None:
    await make_short(deployment)
    runs_before = sum(len(upstream.runs) for upstream in deployment.upstreams.values())
    refused = []
    async with deployment.open_caller() as caller:
        for number in range(5):
            caller.write(target, f"n{number}", method=method, Deadline_Ms="2000")
            status, headers, _ = await caller.read()
            if status == 503:
                refused.append(f"n{number}")
                assert 0 < float(headers["retry-after"]) < 2.0 / 3
    assert refused
    answered = 5 - len(refused)
    calls = sum(len(upstream.runs) for upstream in deployment.upstreams.values())
    calls_each = 2 if target.startswith("/search") else 1
    assert calls - runs_before <= answered * calls_each * 2
    for request in refused:
        assert deployment.list_runs(request) == []


async def test_refused_request_gets_its_token_back(deployment) -> None:
    await make_short(deployment)
    quotas = deployment.instance._core.quotas
    account = next(iter(quotas._quotas))
    quotas._quotas[account].rate_per_s = 0.001
    level = quotas.get_level(account)
    statuses = [status for status, _, _ in await ask(deployment, "/read/y", 5)]
    assert 503 in statuses
    assert quotas.get_level(account) == pytest.approx(
        level - statuses.count(200), abs=0.01
    )


async def test_upstreams_without_a_work_factor_change_nothing(deployment) -> None:
    await configure(deployment)
    set_load(deployment, "4,80,4")
    for target in ("/quick/a", "/read/a", "/search/a"):
        await ask(deployment, target, 6)
    statuses = [status for status, _, _ in await ask(deployment, "/read/x", 6)]
    assert statuses == [200] * 6
    assert not deployment.instance._core.admission.is_reporting(ServiceId("desk"))


async def test_held_request_ends_with_its_caller(deployment) -> None:
    """A caller that leaves while its request is held costs no call."""
    await make_short(deployment)
    core = deployment.instance._core
    core.admission._callers.weigh = lambda request, part: 1.0
    running = core.lifecycle.running
    async with deployment.open_caller() as caller:
        caller.write("/read/held", "held", Deadline_Ms="2000")
        await caller.writer.drain()
    await deployment.wait_for(lambda: core.lifecycle.running == running)
    assert len(deployment.list_runs("held")) <= 1
