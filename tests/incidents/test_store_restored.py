"""Guards against a store that comes back from a copy and is not read any more.

Each full read was ignored, as its revision was below the known one, and each watch got
410. Both were repeated without end, and no later configuration was put in force.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
from collections.abc import AsyncIterator

import pytest_asyncio

from tests.gateway.standins import StoreCopy
from tests.incidents.scenario import FleetScenario, send_request

ZONES = {"chipre": 2, "la-enea": 2}
AWAY_S = 0.6
BETWEEN_RESTORES_S = 1.0
CALLER_INTERVAL_S = 0.1
SERVED_TIMEOUT_S = 10.0

# At most, each instance finds at each restore that the history is lost.
RESTORES = 2

RESTARTED = 3


class Callers:
    """Callers of an unchanged and of an added route, who ask each instance."""

    def __init__(self, scenario: FleetScenario) -> None:
        self._scenario = scenario
        self._count = 0
        # Statuses by instance and route.
        self.statuses: dict[tuple[int, str], collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )

    async def ask(self, number: int, route: str) -> int:
        self._count += 1
        placement = self._scenario.gateways.placements[number]
        return await send_request(placement.host, f"/{route}/x", f"r-{self._count}")

    async def run(self, number: int, route: str) -> None:
        """Asks an instance again and again until cancelled."""
        while True:
            self.statuses[number, route][await self.ask(number, route)] += 1
            await asyncio.sleep(CALLER_INTERVAL_S)

    async def wait_until_served(self, route: str) -> None:
        """Waits until each instance serves a route."""
        async with asyncio.timeout(SERVED_TIMEOUT_S):
            for number in range(len(self._scenario.gateways.placements)):
                while await self.ask(number, route) != 200:
                    await asyncio.sleep(0.05)


@pytest_asyncio.fixture
async def scenario(tmp_path: pathlib.Path) -> AsyncIterator[FleetScenario]:
    scenario = FleetScenario(folder=tmp_path, zones=ZONES)
    scenario.store.era = 1
    await scenario.start()
    yield scenario
    await scenario.stop()


async def test_fleet_follows_the_store_after_two_restores(
    scenario: FleetScenario,
) -> None:
    """An instance is killed and started again between the two restores."""
    store, callers = scenario.store, Callers(scenario)
    copy = store.take_copy()
    await scenario.add_route("lost")
    _, lost_configuration = store.items["op/config"]
    await callers.wait_until_served("lost")
    tasks = [
        asyncio.get_running_loop().create_task(callers.run(number, route))
        for number in range(RESTARTED)
        for route in ("read", "lost")
    ]
    await restore(scenario, copy)
    scenario.gateways.kill(RESTARTED)
    scenario.gateways.start(RESTARTED, store_port=store.port)
    await asyncio.sleep(BETWEEN_RESTORES_S)
    await restore(scenario, copy)
    await scenario.wait_until_ready(scenario.gateways.placements[RESTARTED])
    assert await callers.ask(RESTARTED, "read") == 200
    # The operators write again what was lost, and then a further version.
    await store.put("op/config", lost_configuration)
    changed_at = await scenario.add_route("added")
    await scenario.request_route("added", changed_at=changed_at)
    for task in tasks:
        task.cancel()
    outcome = scenario.finish(changed_at=changed_at)
    assert outcome.list_late_refusals() == []
    # Neither an unchanged route nor one that callers have seen fails meanwhile.
    assert {key: set(counts) for key, counts in callers.statuses.items()} == {
        (number, route): {200}
        for number in range(RESTARTED)
        for route in ("read", "lost")
    }
    events = [line["event"] for lines in outcome.logs.values() for line in lines]
    assert events.count("store_history_lost") <= RESTORES * len(outcome.logs)
    assert "internal_error" not in events


async def restore(scenario: FleetScenario, copy: StoreCopy) -> None:
    """Makes the store unavailable for a moment and restores it from a copy."""
    scenario.store.is_unavailable = True
    await asyncio.sleep(AWAY_S)
    await scenario.store.restore(copy)
    scenario.store.is_unavailable = False
