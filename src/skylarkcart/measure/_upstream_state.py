"""Scenarios ``misleading_load`` and ``cold_start``: selection of upstreams by state."""

from __future__ import annotations

import asyncio
import statistics

import msgspec

from skylarkcart.measure._results import (
    Plot,
    ScenarioResult,
    Series,
    at_least,
    at_most,
)
from skylarkcart.measure._statistics import list_percentiles, summarize
from skylarkcart.measure._testbed import (
    RunContext,
    Testbed,
    Variant,
    build_profile,
    build_spec,
    compute_capacity,
    open_testbed,
)
from skylarkcart.standins import LoadReport

UPSTREAMS = 8
SLOTS = 2
MISLEADING_LOAD_RATIO = 0.6
MISLEADING_STAGE_S = 8.0
# Half of the upstreams are slower, so that wrong load reports affect latency.
SLOW_UPSTREAM_FACTOR = 1.5
MAX_P99_RATIO = 1.5

COLD_LOAD_RATIO = 0.4
COLD_SERVICE_MS = 30.0
COLD_FACTOR = 2.0
COLD_STAGE_S = 8.0
RESTART_STAGE_S = 12.0
RESTARTED_UPSTREAMS = 3
MIN_COVERAGE = 0.999


async def run_misleading_load(context: RunContext) -> ScenarioResult:
    system, series = await _measure_misleading(context, Variant.SYSTEM)
    baseline, _ = await _measure_misleading(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="misleading_load",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=tuple(
            at_most(f"{report.value}_p99_ratio", MAX_P99_RATIO, system[name])
            for report in (LoadReport.FROZEN, LoadReport.INVERTED)
            for name in [f"{report.value}_p99_ratio"]
        ),
        conditions=(
            "8 upstreams with 2 slots, four of 40 ms and four of 60 ms, at 60% of the "
            "capacity at one call per shard",
            "load is reported in X-Load and at GET /load; the design page names no "
            "endpoint for it",
        ),
        plots=(
            Plot(
                title="Latency with true, frozen and inverted load reports",
                x_label="percentile",
                y_label="ms",
                series=series,
            ),
        ),
    )


async def _measure_misleading(
    context: RunContext, variant: Variant
) -> tuple[dict[str, float], tuple[Series, ...]]:
    spec = build_spec(upstreams=UPSTREAMS, slots=SLOTS)
    profile = build_profile()
    rate_per_s = MISLEADING_LOAD_RATIO * compute_capacity(spec, profile)
    figures: dict[str, float] = {}
    series = []
    async with open_testbed(context, variant, spec=spec, profile=profile) as testbed:
        _slow_down_half(testbed)
        await testbed.warm_up()
        for report in LoadReport:
            for upstream in testbed.upstream_server.upstreams.values():
                upstream.load_report = report
            arrivals = testbed.draw_even_arrivals(
                rate_per_s=rate_per_s, seconds=context.scale_s(MISLEADING_STAGE_S)
            )
            outcomes = await testbed.send(arrivals, stage=f"load {report.value}")
            figures[f"{report.value}_p99_ms"] = summarize(outcomes)["p99_ms"]
            points = list_percentiles(outcomes)
            series.append(
                Series(
                    label=report.value,
                    x=tuple(str(percentile) for percentile, _ in points),
                    y=tuple(value for _, value in points),
                )
            )
    true_p99_ms = max(0.001, figures["true_p99_ms"])
    for report in (LoadReport.FROZEN, LoadReport.INVERTED):
        name = f"{report.value}_p99"
        figures[f"{name}_ratio"] = figures[f"{name}_ms"] / true_p99_ms
    figures |= testbed.summarize_event_loop()
    return figures, tuple(series)


def _slow_down_half(testbed: Testbed) -> None:
    for upstream in list(testbed.upstream_server.upstreams.values())[::2]:
        profile = upstream.profile
        upstream.profile = msgspec.structs.replace(
            profile, service_ms=profile.service_ms * SLOW_UPSTREAM_FACTOR
        )


async def run_cold_start(context: RunContext) -> ScenarioResult:
    system, series = await _measure_cold(context, Variant.SYSTEM)
    baseline, baseline_series = await _measure_cold(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="cold_start",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_most("cold_excess_calls", 0, system["cold_excess_calls"]),
            at_most("connections_refused", 0, system["connections_refused"]),
            at_most("errors", 0, system["errors"]),
            at_least("coverage_mean", MIN_COVERAGE, system["coverage_mean"]),
        ),
        conditions=(
            "8 upstreams with 2 slots; a cold one runs 1 call at a time, in twice the "
            "time, for 20 calls; 40% of the capacity at one call per shard",
            "first all upstreams are cold, then three restart one after another",
            "cold_excess_calls started while a cold upstream already ran its one call, "
            "summed over all instances; coverage is that of the second stage",
        ),
        plots=(
            Plot(
                title="Calls per upstream during cold start",
                x_label="upstream",
                y_label="calls",
                style="bar",
                series=series + baseline_series,
            ),
        ),
    )


async def _measure_cold(
    context: RunContext, variant: Variant
) -> tuple[dict[str, float], tuple[Series, ...]]:
    spec = build_spec(upstreams=UPSTREAMS, slots=SLOTS)
    profile = msgspec.structs.replace(
        build_profile(service_ms=COLD_SERVICE_MS), cold_factor=COLD_FACTOR
    )
    rate_per_s = COLD_LOAD_RATIO * compute_capacity(spec, profile)
    async with open_testbed(context, variant, spec=spec, profile=profile) as testbed:
        arrivals = testbed.draw_even_arrivals(
            rate_per_s=rate_per_s, seconds=context.scale_s(COLD_STAGE_S)
        )
        cold_outcomes = await testbed.send(arrivals, stage="all upstreams cold")
        initial_counters = testbed.read_counters()
        seconds = context.scale_s(RESTART_STAGE_S)
        restart_task = asyncio.create_task(_restart_upstreams(testbed, seconds))
        arrivals = testbed.draw_even_arrivals(rate_per_s=rate_per_s, seconds=seconds)
        restart_outcomes = await testbed.send(arrivals, stage="upstreams restart")
        await restart_task
        final_counters = testbed.read_counters()
        upstreams = list(testbed.upstream_server.upstreams.values())
        series = Series(
            label=variant.value,
            x=tuple(upstream.upstream for upstream in upstreams),
            y=tuple(float(upstream.calls) for upstream in upstreams),
        )
    figures = summarize(restart_outcomes)
    figures |= {
        "start_errors": summarize(cold_outcomes)["errors"],
        "start_coverage_mean": summarize(cold_outcomes)["coverage_mean"],
        "start_p99_ms": summarize(cold_outcomes)["p99_ms"],
        "start_cold_excess_calls": initial_counters.cold_excess_calls,
        "cold_excess_calls": final_counters.cold_excess_calls,
        "most_in_flight_cold": max(
            upstream.most_in_flight_cold for upstream in upstreams
        ),
        "connections_refused": final_counters.connections_refused,
        "most_connections": max(upstream.peak_connections for upstream in upstreams),
        "load_by_upstream_max_by_mean": max(series.y)
        / max(1.0, statistics.fmean(series.y)),
        **testbed.summarize_event_loop(),
    }
    return figures, (series,)


async def _restart_upstreams(testbed: Testbed, seconds: float) -> None:
    """Restarts upstreams one by one, which closes their connections."""
    for upstream in list(testbed.upstream_server.upstreams.values())[
        :RESTARTED_UPSTREAMS
    ]:
        upstream.restart()
        testbed.upstream_server.abort_connections(upstream.upstream)
        await asyncio.sleep(seconds / (RESTARTED_UPSTREAMS + 1))
