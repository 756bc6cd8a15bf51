"""Measures the CPU time of a search: ``python -m tests.gateway.measure_cost``.

The gateway runs in this process; callers, upstreams and the store run in another, so
that only the gateway's CPU time is measured. ``--profile`` prints the functions that
take most of it. Results go to standard error, the gateway's log to standard output.
"""

from __future__ import annotations

import asyncio
import cProfile
import multiprocessing
import pstats
import sys
import time
from multiprocessing.connection import Connection

from absl import flags

from skylarkcart.gateway._event_loop import run_event_loop
from skylarkcart.gateway._instance import GatewayInstance
from tests.gateway.deployment import build_settings
from tests.gateway.standins import (
    Caller,
    StoreStandin,
    UpstreamStandin,
    build_configuration,
)

UPSTREAMS_PER_SHARD = 3
WARM_UP_SEARCHES = 40

_SHARDS = flags.DEFINE_integer("shards", 36, "Shards of a search.", lower_bound=1)
_SEARCHES = flags.DEFINE_integer("searches", 300, "Measured searches.", lower_bound=1)
_CALLERS = flags.DEFINE_integer("callers", 1, "Callers at a time.", lower_bound=1)
_PROFILE = flags.DEFINE_bool("profile", False, "Print where the time goes.")


async def serve_standins(pipe: Connection, shards: int, callers: int) -> None:
    """Starts the stand-ins and sends as many searches as the pipe requests."""
    store = StoreStandin()
    await store.start()
    names = [f"shard-{number}" for number in range(shards)]
    document = build_configuration(
        services=[{"name": name, "maxConns": 900} for name in names]
    )
    document["routes"][0]["gather"] = names
    await store.put("op/config", document)
    for name in names:
        for number in range(UPSTREAMS_PER_SHARD):
            upstream = UpstreamStandin(upstream=f"{name}-{number}", service=name)
            await upstream.start()
            await store.put(f"servers/{upstream.upstream}", upstream.describe())
    pipe.send(store.port)
    loop = asyncio.get_running_loop()
    port = await loop.run_in_executor(None, pipe.recv)
    while searches := await loop.run_in_executor(None, pipe.recv):
        parts = [send_searches(port, searches // callers) for _ in range(callers)]
        pipe.send(sum(await asyncio.gather(*parts)))


async def send_searches(port: int, searches: int) -> int:
    """Returns how many of the searches succeeded."""
    async with Caller(port=port) as caller:
        succeeded = 0
        for number in range(searches):
            status, _, _ = await caller.send("/search/x", f"s{number}")
            succeeded += status == 200
        return succeeded


def run_standins(pipe: Connection, shards: int, callers: int) -> None:
    asyncio.run(serve_standins(pipe, shards, callers))


async def measure(pipe: Connection, profile: cProfile.Profile | None) -> None:
    loop = asyncio.get_running_loop()
    store_port = await loop.run_in_executor(None, pipe.recv)
    store = StoreStandin()
    store.port = store_port
    settings = build_settings(store, is_first_start=False)
    instance = GatewayInstance(settings=settings)
    await instance.start()
    while instance._core.table is None:
        await asyncio.sleep(0.05)
    pipe.send(settings.caller_address.port)
    pipe.send(WARM_UP_SEARCHES * _CALLERS.value)
    await loop.run_in_executor(None, pipe.recv)
    if profile is not None:
        profile.enable()
    started_s = time.process_time()
    pipe.send(_SEARCHES.value)
    succeeded = await loop.run_in_executor(None, pipe.recv)
    elapsed_us = (time.process_time() - started_s) * 1e6
    if profile is not None:
        profile.disable()
    pipe.send(0)
    instance.stop_immediately()
    calls = succeeded * _SHARDS.value
    print(
        f"{succeeded} of {_SEARCHES.value} searches served over "
        f"{_SHARDS.value} shards: {elapsed_us / succeeded:,.0f} µs a search, "
        f"{elapsed_us / calls:.1f} µs a call",
        file=sys.stderr,
    )


def main() -> None:
    flags.FLAGS(sys.argv)
    context = multiprocessing.get_context("spawn")
    pipe, child_pipe = context.Pipe()
    standins = context.Process(
        target=run_standins, args=(child_pipe, _SHARDS.value, _CALLERS.value)
    )
    standins.start()
    profile = cProfile.Profile() if _PROFILE.value else None
    run_event_loop(measure(pipe, profile))
    standins.join()
    if profile is not None:
        pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime").print_stats(45)


if __name__ == "__main__":
    main()
