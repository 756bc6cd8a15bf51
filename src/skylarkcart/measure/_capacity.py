"""Resource use by size, with linear fits for planning the capacity of larger fleets."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec
import numpy

from skylarkcart.config import decode_configuration
from skylarkcart.declarations import (
    AccountRow,
    Configuration,
    InstanceList,
    KeyRow,
    ListedProcess,
    ServiceRow,
    ZoneRow,
)
from skylarkcart.entry import EntryInstance
from skylarkcart.keys import hash_secret
from skylarkcart.measure._entry_cost import measure_cost
from skylarkcart.measure._results import ScenarioResult
from skylarkcart.measure._testbed import (
    ZONES,
    RunContext,
    Variant,
    build_profile,
    build_spec,
    open_testbed,
)
from skylarkcart.types import AccountId, KeyId, ListState, Role, ServiceId

UPSTREAM_COUNTS = (8, 24, 45)
ACCOUNT_COUNTS = (500, 2_000, 5_000)
LIST_ENTRY_COUNTS = (500, 4_000, 25_000)
CONNECTION_COUNTS = (100, 300, 600)
SERVICE_COUNTS = (4, 16, 64)
TIMING_REPEATS = 5
CONFIGURED_SERVICES = 8


class LinearFit(msgspec.Struct, frozen=True, kw_only=True):
    """A linear fit.

    ``residual_ratio`` is the largest absolute error divided by the largest value.
    """

    slope: float
    intercept: float
    residual_ratio: float


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
    """Fits a line to the values by least squares."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    errors = [
        abs(slope * size + intercept - value) for size, value in zip(sizes, values)
    ]
    largest = max(abs(value) for value in values) or 1.0
    return LinearFit(
        slope=float(slope),
        intercept=float(intercept),
        residual_ratio=float(max(errors) / largest),
    )


async def measure_capacity(context: RunContext) -> ScenarioResult:
    figures: dict[str, float] = {}
    await _measure_queries(context, figures)
    _measure_configuration(context, figures)
    _measure_list(context, figures)
    await _measure_connections(context, figures)
    await _measure_metrics(context, figures)
    return ScenarioResult(
        scenario="capacity",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=figures,
        baseline={},
        targets=(),
        conditions=(
            "NAME_SIZE is the value at one size; NAME_slope, NAME_intercept and "
            "NAME_residual_ratio describe a linear fit over all sizes",
            f"times are the shortest of {TIMING_REPEATS} runs; memory is measured with "
            "tracemalloc",
        ),
    )


def _add_figures(
    figures: dict[str, float],
    name: str,
    sizes: Sequence[int],
    values: Sequence[float],
) -> None:
    for size, value in zip(sizes, values):
        figures[f"{name}_{size}"] = value
    line = fit_line(sizes, values)
    figures[f"{name}_slope"] = line.slope
    figures[f"{name}_intercept"] = line.intercept
    figures[f"{name}_residual_ratio"] = line.residual_ratio


async def _measure_queries(context: RunContext, figures: dict[str, float]) -> None:
    query_us, call_us, calls_per_query = [], [], []
    for upstreams in UPSTREAM_COUNTS:
        context.report_progress(f"processor time over {upstreams} upstreams")
        cost = await measure_cost(context, upstreams=upstreams)
        query_us.append(cost.query_us)
        call_us.append(cost.query_us / max(1.0, cost.calls_per_query))
        calls_per_query.append(cost.calls_per_query)
        figures[f"answered_ratio_{upstreams}"] = cost.answered_ratio
    _add_figures(figures, "query_us_by_upstreams", UPSTREAM_COUNTS, query_us)
    _add_figures(figures, "call_us_by_upstreams", UPSTREAM_COUNTS, call_us)
    for upstreams, count in zip(UPSTREAM_COUNTS, calls_per_query):
        figures[f"calls_per_query_{upstreams}"] = count
    line = fit_line(calls_per_query, query_us)
    figures["query_us_by_calls_slope"] = line.slope
    figures["query_us_by_calls_intercept"] = line.intercept
    figures["query_us_by_calls_residual_ratio"] = line.residual_ratio


def build_configuration(accounts: int) -> Configuration:
    """Returns a configuration with the given number of accounts, each with one key."""
    rows = tuple(
        AccountRow(
            account=AccountId(f"account-{number}"),
            rate_per_s=100.0,
            burst=200,
            share=1.0,
        )
        for number in range(accounts)
    )
    keys = tuple(
        KeyRow(
            key_id=KeyId(f"key-{number}"),
            account=row.account,
            salt=f"{number:032x}",
            secret_sha256=hash_secret(f"{number:032x}", "secret"),
        )
        for number, row in enumerate(rows)
    )
    services = tuple(
        ServiceRow(
            service=ServiceId(f"service-{number}"),
            slots=3,
            connections=30,
            connect_cost_ms=6.0,
            answer_by_ms=62.0,
            deadline_ms=500.0,
        )
        for number in range(CONFIGURED_SERVICES)
    )
    return Configuration(
        revision=1,
        max_instances=12,
        accounts=rows,
        services=services,
        zones=tuple(ZoneRow(zone=zone) for zone in ZONES),
        keys=keys,
    )


def build_instance_list(entries: int) -> InstanceList:
    """Returns an instance list in which every seventh process is an entry instance."""
    return InstanceList(
        version=1,
        instances=tuple(_build_listed_process(number) for number in range(entries)),
    )


def _build_listed_process(number: int) -> ListedProcess:
    is_entry = number % 7 == 0
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return ListedProcess(
        id=f"process-{number}",
        role=Role.ENTRY if is_entry else Role.UPSTREAM,
        zone=ZONES[number % len(ZONES)],
        address=f"{address}:8080",
        state=ListState.LIVE,
        incarnation=f"{number:032x}",
        peer_address=f"{address}:8081" if is_entry else "",
        service=ServiceId(
            "" if is_entry else f"service-{number % CONFIGURED_SERVICES}"
        ),
    )


def _measure_configuration(context: RunContext, figures: dict[str, float]) -> None:
    context.report_progress("configuration by accounts")
    times, sizes, memory = [], [], []
    for accounts in ACCOUNT_COUNTS:
        value = msgspec.json.encode(build_configuration(accounts))
        sizes.append(float(len(value)))
        times.append(_time_ms(lambda: msgspec.json.decode(value, type=Configuration)))
        memory.append(
            _measure_memory(lambda: msgspec.json.decode(value, type=Configuration))
        )
        figures[f"config_accepted_{accounts}"] = float(_is_accepted(value))
    _add_figures(figures, "config_bytes", ACCOUNT_COUNTS, sizes)
    _add_figures(figures, "config_decode_ms", ACCOUNT_COUNTS, times)
    _add_figures(figures, "config_memory_bytes", ACCOUNT_COUNTS, memory)


def _is_accepted(value: bytes) -> bool:
    """Returns whether an instance accepts the value, whose size is limited."""
    try:
        decode_configuration(value)
    except Exception:
        return False
    return True


def _measure_list(context: RunContext, figures: dict[str, float]) -> None:
    context.report_progress("instance list by entries")
    times, sizes, memory = [], [], []
    for entries in LIST_ENTRY_COUNTS:
        value = msgspec.json.encode(build_instance_list(entries))
        sizes.append(float(len(value)))
        times.append(_time_ms(lambda: msgspec.json.decode(value, type=InstanceList)))
        memory.append(
            _measure_memory(lambda: msgspec.json.decode(value, type=InstanceList))
        )
    _add_figures(figures, "list_bytes", LIST_ENTRY_COUNTS, sizes)
    _add_figures(figures, "list_decode_ms", LIST_ENTRY_COUNTS, times)
    _add_figures(figures, "list_memory_bytes", LIST_ENTRY_COUNTS, memory)


def _time_ms(operation: Callable[[], object]) -> float:
    """Returns the shortest processor time of several runs of an operation."""
    times = []
    for _ in range(TIMING_REPEATS):
        started_s = time.process_time()
        operation()
        times.append(time.process_time() - started_s)
    return min(times) * 1_000.0


def _measure_memory(operation: Callable[[], object]) -> float:
    """Returns the bytes that are allocated for the result of an operation."""
    gc.collect()
    tracemalloc.start()
    result = operation()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(allocated_bytes)


async def _measure_connections(context: RunContext, figures: dict[str, float]) -> None:
    context.report_progress("memory of idle connections")
    spec = build_spec(upstreams=2, entries=1, zones=ZONES[:1])
    values = []
    async with open_testbed(
        context, Variant.SYSTEM, spec=spec, profile=build_profile()
    ) as testbed:
        address = next(iter(testbed.list_addresses()))
        for count in CONNECTION_COUNTS:
            values.append(await _measure_idle_connections(address, count))
    _add_figures(figures, "idle_connection_bytes", CONNECTION_COUNTS, values)


async def _measure_idle_connections(address: str, count: int) -> float:
    """Returns the bytes that idle connections use, counting both of their ends."""
    host, _, port = address.rpartition(":")
    gc.collect()
    tracemalloc.start()
    writers = []
    for _ in range(count):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
        await reader.readuntil(b"}")
        writers.append(writer)
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for writer in writers:
        writer.close()
    await asyncio.sleep(0.1)
    return float(allocated_bytes)


async def _measure_metrics(context: RunContext, figures: dict[str, float]) -> None:
    context.report_progress("rendering of metrics")
    spec = build_spec(upstreams=2, entries=1, zones=ZONES[:1])
    times, sizes = [], []
    async with open_testbed(
        context, Variant.SYSTEM, spec=spec, profile=build_profile()
    ) as testbed:
        entry = testbed.deployment.entries[0]
        for services in SERVICE_COUNTS:
            _add_service_metrics(entry, services)
            times.append(_time_ms(entry.state.metrics.render))
            sizes.append(float(len(entry.state.metrics.render())))
    _add_figures(figures, "metrics_render_ms_by_services", SERVICE_COUNTS, times)
    _add_figures(figures, "metrics_bytes_by_services", SERVICE_COUNTS, sizes)


def _add_service_metrics(entry: EntryInstance, services: int) -> None:
    metrics = entry.state.metrics
    for number in range(services):
        service = f"service-{number}"
        metrics.requests.labels(service, "search", "ok").inc()
        metrics.request_duration.labels(service, "search").observe(0.01)
        metrics.coverage_ratio.labels(service).observe(1.0)
        metrics.upstream_calls.labels(service, "ok").inc()
