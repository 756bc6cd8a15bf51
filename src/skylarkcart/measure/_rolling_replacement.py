"""Scenario ``rolling_replacement``: all entry instances are replaced under load."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from skylarkcart.measure._baseline import BaselineInstance
from skylarkcart.measure._results import ScenarioResult, at_most
from skylarkcart.measure._statistics import summarize
from skylarkcart.measure._testbed import (
    BALANCER_POLL_INTERVAL_S,
    SERVICE,
    RunContext,
    Testbed,
    Variant,
    build_profile,
    build_spec,
    open_testbed,
)

RATE_PER_S = 15.0
REPLACEMENT_ROUNDS = 3
STICKY_CALLERS = 12
LINGER_MS = 1_500.0
# Idle times stay below the linger time, as they do in production.
MIN_IDLE_S = 0.05
MAX_IDLE_S = 1.2


class StickyCaller:
    """Keeps a connection to one entry instance until a response closes it.

    It keeps using an instance that the load balancer no longer selects, so that a
    request may be in flight while the instance closes its connections.
    """

    def __init__(self, *, testbed: Testbed, number: int) -> None:
        self.sent_requests = 0
        self.cut_requests = 0
        self._testbed = testbed
        self._random = random.Random(f"{testbed.context.seed}/sticky/{number}")
        self._address = ""

    async def run(self) -> None:
        deployment = self._testbed.deployment
        account, key = list(deployment.keys.items())[0]
        headers = {"Authorization": f"Bearer {key}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            while True:
                await self._send(session)
                idle_s = self._random.uniform(MIN_IDLE_S, MAX_IDLE_S)
                await asyncio.sleep(idle_s)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        if not self._address:
            self._address = self._random.choice(self._testbed.ready_addresses)
        url = f"http://{self._address}/v1/services/{SERVICE}/search"
        self.sent_requests += 1
        try:
            async with session.post(url, json={"query": "sticky"}) as response:
                await response.read()
                if response.headers.get("Connection", "").lower() == "close":
                    self._address = ""
        except (aiohttp.ClientError, OSError):
            self.cut_requests += 1
            self._address = ""


async def run(context: RunContext) -> ScenarioResult:
    system = await _measure(context, Variant.SYSTEM)
    baseline = await _measure(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="rolling_replacement",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_most("cut_requests", 0, system["cut_requests"]),
            at_most("errors", 0, system["errors"]),
        ),
        conditions=(
            f"{system['rounds']:g} rounds in which each of 4 entries is replaced, "
            f"{RATE_PER_S:g} searches/s and {STICKY_CALLERS} callers on persistent "
            f"connections, idle for {MIN_IDLE_S:g} to {MAX_IDLE_S:g} s; "
            "linger 1.5 s",
            "the design page asks for 100 rounds: use --duration_factor 34",
            "the baseline's instances are removed from the load balancer and stopped "
            "without draining",
        ),
    )


async def _measure(context: RunContext, variant: Variant) -> dict[str, float]:
    spec = build_spec(upstreams=4)
    async with open_testbed(
        context,
        variant,
        spec=spec,
        profile=build_profile(),
        linger_ms=LINGER_MS,
    ) as testbed:
        await testbed.warm_up()
        callers = [
            StickyCaller(testbed=testbed, number=number)
            for number in range(STICKY_CALLERS)
        ]
        caller_tasks = [asyncio.create_task(caller.run()) for caller in callers]
        rounds = max(1, round(context.scale_s(REPLACEMENT_ROUNDS)))
        replacement_task = asyncio.create_task(replace_all_instances(testbed, rounds))
        outcomes = []
        while not replacement_task.done():
            arrivals = testbed.draw_even_arrivals(rate_per_s=RATE_PER_S, seconds=1.0)
            outcomes += await testbed.send(arrivals, stage="replacing")
        elapsed_s = await replacement_task
        for task in caller_tasks:
            task.cancel()
        await asyncio.gather(*caller_tasks, return_exceptions=True)
    figures = summarize(outcomes)
    figures["cut_open_loop"] = figures["cut_requests"]
    figures["cut_sticky"] = sum(caller.cut_requests for caller in callers)
    figures["cut_requests"] = figures["cut_open_loop"] + figures["cut_sticky"]
    figures["sticky_requests"] = sum(caller.sent_requests for caller in callers)
    figures |= testbed.summarize_event_loop()
    figures["rounds"] = rounds
    figures["replacement_s"] = elapsed_s / (rounds * spec.entries)
    return figures


async def replace_all_instances(testbed: Testbed, rounds: int) -> float:
    """Replaces each instance ``rounds`` times, one by one, and returns the seconds."""
    started_at = time.monotonic()
    number = 100
    for _ in range(rounds):
        for old in list(testbed.baseline_instances or testbed.deployment.entries):
            if isinstance(old, BaselineInstance):
                await _replace_baseline_instance(testbed, old, number)
            else:
                first_zone_number = number * len(testbed.deployment.spec.zones)
                zone_index = testbed.deployment.spec.zones.index(old.settings.zone)
                await testbed.deployment.replace_entry(
                    old, first_zone_number + zone_index
                )
            number += 1
    return time.monotonic() - started_at


async def _replace_baseline_instance(
    testbed: Testbed, old: BaselineInstance, number: int
) -> None:
    replacement = BaselineInstance(
        deployment=testbed.deployment, zone=old.zone, concurrency=1_000, seed=number
    )
    await replacement.start()
    testbed.baseline_instances.append(replacement)
    testbed.baseline_instances.remove(old)
    await asyncio.sleep(2 * BALANCER_POLL_INTERVAL_S)
    await old.stop()
