"""Scenario ``entry_cost``: processor time of an instance for one query, by part.

The stand-ins and the callers run on a separate thread, so that the processor time of
the instance's thread doesn't include theirs.
"""

from __future__ import annotations

import asyncio
import contextlib
import cProfile
import pstats
import threading
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, TypeVar

import msgspec

from skylarkcart.entry import EntryInstance
from skylarkcart.measure._results import Plot, ScenarioResult, Series
from skylarkcart.measure._testbed import (
    SERVICE,
    RunContext,
    Variant,
    build_profile,
    build_spec,
    scale_deadlines,
)
from skylarkcart.standins import Arrival, OpenLoopTraffic, StandinDeployment
from skylarkcart.types import ZoneId

UPSTREAMS = 45
SERVICE_MS = 5.0
QUERIES = 60
WARM_UP_QUERIES = 30
RATE_PER_S = 6.0
MICROSECONDS_PER_SECOND = 1_000_000.0
SETTLE_S = 4.0
ZONE = ZoneId("zone-a")

# A function belongs to the first part with a pattern that is in its module path. Time
# in a built-in function that matches no pattern belongs to the caller's part.
PART_PATTERNS = (
    ("encode_decode", ("msgspec", "/json/")),
    ("tracing", ("opentelemetry",)),
    ("metrics", ("prometheus_client",)),
    ("upstream_http_client", ("aiohttp", "yarl", "multidict", "frozenlist")),
    ("caller_http_server", ("uvicorn", "blacksheep", "httptools")),
    ("event_loop", ("asyncio", "selectors.py", "/socket.py")),
    ("search_decisions", ("skylarkcart/search", "skylarkcart/upstreams")),
    (
        "other_decisions",
        (
            "skylarkcart/config",
            "skylarkcart/fairness",
            "skylarkcart/filings",
            "skylarkcart/keys",
            "skylarkcart/lifecycle",
            "skylarkcart/limits",
            "skylarkcart/membership",
        ),
    ),
    ("driver", ("skylarkcart/entry",)),
)
OTHER_PART = "other"

_Result = TypeVar("_Result")


class EventLoopThread:
    """An event loop that runs on its own thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    async def call(self, coroutine: Coroutine[Any, Any, _Result]) -> _Result:
        """Runs a coroutine on the thread and waits for its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return await asyncio.wrap_future(future)

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class QueryCost(msgspec.Struct, kw_only=True):
    """Processor time and upstream calls per query."""

    query_us: float
    idle_us_per_s: float
    calls_per_query: float
    answered_ratio: float
    parts_us: dict[str, float]


async def run(context: RunContext) -> ScenarioResult:
    context.report_progress("instance with 45 upstreams")
    cost = await measure_cost(context, upstreams=UPSTREAMS, with_parts=True)
    figures = {
        "query_us": cost.query_us,
        "calls_per_query": cost.calls_per_query,
        "answered_ratio": cost.answered_ratio,
        "call_us": cost.query_us / max(1.0, cost.calls_per_query),
        "idle_us_per_s": cost.idle_us_per_s,
    }
    figures |= {f"{part}_us": value for part, value in cost.parts_us.items()}
    return ScenarioResult(
        scenario="entry_cost",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=figures,
        baseline={},
        targets=(),
        conditions=(
            "one instance on its own thread, 45 upstreams, 6 searches/s; query_us is "
            "the thread's processor time minus what it uses when idle, per search",
            "the parts are fractions of a second, profiled run, scaled to query_us",
            "the baseline has no thread of its own and no figures here; the design "
            "page sets no bound",
        ),
        plots=(
            Plot(
                title="Processor time of an instance for one query with 45 upstreams",
                x_label="part",
                y_label="µs",
                style="bar",
                series=(
                    Series(
                        label=Variant.SYSTEM.value,
                        x=tuple(cost.parts_us),
                        y=tuple(cost.parts_us.values()),
                    ),
                ),
            ),
        ),
    )


async def measure_cost(
    context: RunContext, *, upstreams: int, with_parts: bool = False
) -> QueryCost:
    """Measures one instance with ``upstreams`` upstreams of one service."""
    load_thread = EventLoopThread()
    deployment = await load_thread.call(_start_deployment(context, upstreams))
    settings = deployment.build_settings(0)
    instance = EntryInstance(settings=settings, seed=context.seed)
    await instance.start()
    deployment.publish_list(instance)
    await instance.wait_ready()
    try:
        await asyncio.sleep(context.scale_s(SETTLE_S))
        await load_thread.call(
            _send_searches(context, deployment, instance.address, WARM_UP_QUERIES)
        )
        idle_us_per_s = await _measure_idle(context)
        queries = max(5, round(context.scale_s(QUERIES)))
        calls_before = _count_calls(deployment)
        started_at, cpu_before_s = time.monotonic(), time.thread_time()
        answered = await load_thread.call(
            _send_searches(context, deployment, instance.address, queries)
        )
        cpu_us = (time.thread_time() - cpu_before_s) * MICROSECONDS_PER_SECOND
        cpu_us -= idle_us_per_s * (time.monotonic() - started_at)
        calls_per_query = (_count_calls(deployment) - calls_before) / queries
        parts = {}
        if with_parts:
            with _profile_thread() as read_shares:
                await load_thread.call(
                    _send_searches(context, deployment, instance.address, queries)
                )
            query_us = cpu_us / queries
            parts = {name: share * query_us for name, share in read_shares().items()}
    finally:
        await instance.drain_and_stop()
        await load_thread.call(deployment.stop())
        load_thread.stop()
    return QueryCost(
        query_us=cpu_us / queries,
        idle_us_per_s=idle_us_per_s,
        calls_per_query=calls_per_query,
        answered_ratio=answered / queries,
        parts_us=parts,
    )


async def _start_deployment(context: RunContext, upstreams: int) -> StandinDeployment:
    deployment = StandinDeployment(
        spec=msgspec.structs.replace(
            build_spec(upstreams=upstreams, zones=(ZONE,)), entries=0
        ),
        seed=context.seed,
        profile=build_profile(service_ms=SERVICE_MS),
        adjust_configuration=scale_deadlines,
    )
    await deployment.start()
    return deployment


async def _send_searches(
    context: RunContext, deployment: StandinDeployment, address: str, queries: int
) -> int:
    """Sends searches and returns the number with full coverage."""
    account = next(iter(deployment.keys))
    traffic = OpenLoopTraffic(
        keys=deployment.keys, choose_address=lambda arrival: address
    )
    arrivals = [
        Arrival(
            due_s=number / RATE_PER_S, service=SERVICE, account=account, number=number
        )
        for number in range(queries)
    ]
    outcomes = await traffic.run(arrivals)
    return sum(outcome.is_complete for outcome in outcomes)


async def _measure_idle(context: RunContext) -> float:
    seconds = context.scale_s(2.0)
    cpu_before_s = time.thread_time()
    await asyncio.sleep(seconds)
    return (time.thread_time() - cpu_before_s) * MICROSECONDS_PER_SECOND / seconds


def _count_calls(deployment: StandinDeployment) -> int:
    return sum(
        upstream.calls for upstream in deployment.upstream_server.upstreams.values()
    )


@contextlib.contextmanager
def _profile_thread() -> Iterator[Callable[[], dict[str, float]]]:
    """Profiles the current thread.

    Yields a function that returns each part's fraction of the profiled time.
    """
    profile = cProfile.Profile()
    profile.enable()
    try:
        yield lambda: _compute_part_shares(pstats.Stats(profile))
    finally:
        profile.disable()


def _compute_part_shares(stats: pstats.Stats) -> dict[str, float]:
    times = {name: 0.0 for name, _ in PART_PATTERNS} | {OTHER_PART: 0.0}
    for (path, _, function), (_, _, self_time_s, _, callers) in stats.stats.items():
        if "select.epoll" in function:
            # Time spent waiting for events isn't processor time.
            continue
        if path != "~" or not callers:
            times[_find_part(path, function)] += self_time_s
            continue
        for (caller_path, _, caller), caller_stats in callers.items():
            part = _find_part(path, function)
            if part == OTHER_PART:
                part = _find_part(caller_path, caller)
            times[part] += caller_stats[2]
    total = sum(times.values()) or 1.0
    return {name: value / total for name, value in times.items()}


def _find_part(path: str, function: str) -> str:
    location = f"{path}:{function}".replace("\\", "/")
    for name, patterns in PART_PATTERNS:
        if any(pattern in location for pattern in patterns):
            return name
    return OTHER_PART
