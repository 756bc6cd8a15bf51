"""Guards against a withdrawn key that works again after a restart and a restore.

Most instances were ended just after the store had come back from a copy that still had
the key. They read the copy before they heard of the instance that went on running, and
served the key until the operators had withdrawn it again.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import time

import msgspec

from tests.incidents.scenario import FleetScenario, send_request

# The instance that goes on running is not a seed.
ZONES = {"chipre": 3, "la-enea": 2}
SURVIVOR = 4
RESTARTED = range(SURVIVOR)

AWAY_S = 0.3
DOWN_S = 0.5
WATCHED_S = 4.0
CALLER_INTERVAL_S = 0.05
TIMEOUT_S = 10.0


class KeyUser:
    """A caller that goes on using the withdrawn key at some instances."""

    def __init__(self, scenario: FleetScenario) -> None:
        self._placements = scenario.gateways.placements
        self._count = 0

    async def ask(self, number: int) -> int:
        """Returns the status of a request, or 0 if the instance does not answer."""
        self._count += 1
        host = self._placements[number].host
        try:
            return await send_request(host, "/read/x", f"r-{self._count}")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def wait_until_refused(self) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            for number in range(len(self._placements)):
                while await self.ask(number) != 401:
                    await asyncio.sleep(CALLER_INTERVAL_S)

    async def count_statuses(self, numbers: range) -> collections.Counter[int]:
        statuses: collections.Counter[int] = collections.Counter()
        end = time.monotonic() + WATCHED_S
        while time.monotonic() < end:
            statuses.update(await asyncio.gather(*map(self.ask, numbers)))
            await asyncio.sleep(CALLER_INTERVAL_S)
        return statuses


async def test_restarted_instances_refuse_a_key_that_the_copy_still_has(
    tmp_path: pathlib.Path,
) -> None:
    scenario = FleetScenario(folder=tmp_path, zones=ZONES)
    store, gateways = scenario.store, scenario.gateways
    store.era = 1
    try:
        await scenario.start()
        copy, caller = store.take_copy(), KeyUser(scenario)
        await withdraw_key(scenario)
        await caller.wait_until_refused()
        store.is_unavailable = True
        await asyncio.sleep(AWAY_S)
        await store.restore(copy)
        store.is_unavailable = False
        await wait_for_era(scenario, era=2)
        for number in RESTARTED:
            gateways.kill(number)
        await asyncio.sleep(DOWN_S)
        for number in RESTARTED:
            gateways.start(number, store_port=store.port)
        statuses = await caller.count_statuses(RESTARTED)
    finally:
        await scenario.stop()
    # Refused with 401 once an instance knows, with 503 or without an answer before.
    assert statuses[401] > 0
    assert set(statuses) <= {0, 401, 503}


async def withdraw_key(scenario: FleetScenario) -> None:
    _, data = scenario.store.items["op/config"]
    document = msgspec.json.decode(data)
    document["version"] += 1
    document["tenants"][0]["apiKeys"] = ["another key"]
    await scenario.store.put("op/config", document)


async def wait_for_era(scenario: FleetScenario, *, era: int) -> None:
    """Waits until the instance that goes on running has read the restored store."""
    async with asyncio.timeout(TIMEOUT_S):
        while not any(
            line["event"] == "store_era_began" and line["subject"] == str(era)
            for line in scenario.gateways.read_log(SURVIVOR)
        ):
            await asyncio.sleep(CALLER_INTERVAL_S)
