"""Step definitions for shutdown.feature."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, scenarios, then, when

from skylarkcart.standins import ReplacementBench, StandinDeployment
from skylarkcart.standins._replacement import IDLE_CALLERS, SERVICE, build_spec
from skylarkcart.types import AccountId, ZoneState

scenarios("shutdown.feature")

ROUNDS = 5
TIMEOUT_S = 20.0


@pytest.fixture
def runner():
    with asyncio.Runner() as runner:
        yield runner


@given("three entry instances and callers that keep their connections open")
def bench():
    # ReplacementBench starts its instances when it runs.
    return None


@when(
    "the instances are replaced one after another, five times",
    target_fixture="report",
)
def replace(runner):
    async def run():
        return await ReplacementBench(seed=11, linger_ms=300).run(rounds=ROUNDS)

    return runner.run(run())


@then("no request was interrupted")
def check_no_interruption(report):
    assert report.broken_requests == ()
    assert report.connect_failures == 0


@then("every draining instance answered requests on connections that were idle")
def check_idle(report):
    assert report.idle_connection_requests == ROUNDS * IDLE_CALLERS


@then("callers were told to close their connections")
def check_closes(report):
    assert report.closing_responses >= report.idle_connection_requests


@given("three entry instances in two zones", target_fixture="deployment")
def start(runner):
    async def build():
        deployment = StandinDeployment(spec=build_spec(), seed=11, linger_ms=10)
        await deployment.start()
        return deployment

    deployment = runner.run(build())
    yield deployment
    runner.run(deployment.stop())


@when("the operators close the zone of the first instance")
def close_zone(runner, deployment):
    runner.run(set_zone(deployment, ZoneState.CLOSED))


@when("the operators open the zone again")
def open_zone(runner, deployment):
    runner.run(set_zone(deployment, ZoneState.OPEN))


@then("the first instance is not ready")
def check_not_ready(runner, deployment):
    assert runner.run(wait_for_status(deployment, 0, 503)) == 503


@then("the first instance is ready")
def check_ready(runner, deployment):
    assert runner.run(wait_for_status(deployment, 0, 200)) == 200


@then("an instance of the other zone is ready")
def check_other_ready(runner, deployment):
    assert runner.run(wait_for_status(deployment, 1, 200)) == 200


@then("it answers a request that still reaches it and asks to close the connection")
def check_answer(runner, deployment):
    status, connection = runner.run(search(deployment, 0))
    assert status == 200
    assert connection.lower() == "close"


async def set_zone(deployment, state):
    zone = deployment.entries[0].settings.zone
    current = deployment.configuration
    zones = tuple(
        msgspec.structs.replace(row, state=state) if row.zone == zone else row
        for row in current.zones
    )
    await deployment.publish_configuration(
        msgspec.structs.replace(current, revision=current.revision + 1, zones=zones)
    )


async def wait_for_status(deployment, number, expected):
    """Polls ``/readyz`` for the expected status and returns the last status."""
    url = f"http://{deployment.entries[number].address}/readyz"
    status = None
    async with aiohttp.ClientSession() as session:
        for _ in range(int(TIMEOUT_S / 0.05)):
            async with session.get(url) as response:
                status = response.status
            if status == expected:
                break
            await asyncio.sleep(0.05)
    return status


async def search(deployment, number):
    url = f"http://{deployment.entries[number].address}/v1/services/{SERVICE}/search"
    key = deployment.keys[AccountId("account-0")]
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession() as session:
        async with session.post(
            url, json={"query": "ceiba"}, headers=headers
        ) as answer:
            return answer.status, answer.headers.get("Connection", "")
