"""Scenarios ``zone_out_and_back`` and ``replica_lost``: a zone or upstream is lost."""

from __future__ import annotations

import asyncio

import msgspec

from skylarkcart.measure._results import (
    Plot,
    ScenarioResult,
    Series,
    at_least,
    at_most,
)
from skylarkcart.measure._statistics import count_per_second, summarize
from skylarkcart.measure._testbed import (
    ZONES,
    RunContext,
    Testbed,
    Variant,
    build_profile,
    build_spec,
    compute_capacity,
    open_testbed,
)
from skylarkcart.standins import Outcome
from skylarkcart.types import ZoneId, ZoneState

UPSTREAMS = 8
SLOTS = 2
LOAD_RATIO = 0.7
HEALTHY_STAGE_S = 6.0
FAULT_STAGE_S = 8.0
RETURN_STAGE_S = 6.0
# Time within which new calls to a closed zone must stop.
CLOSE_LIMIT_S = 3.0
CLOSED_ZONE = ZONES[0]
MAX_P99_RATIO = 1.5
MIN_COVERAGE = 0.999


async def run_zone_outage(context: RunContext) -> ScenarioResult:
    system, series = await _measure_zone_outage(context, Variant.SYSTEM)
    baseline, baseline_series = await _measure_zone_outage(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="zone_out_and_back",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_most("errors", 0, system["errors"]),
            at_least("coverage_mean", MIN_COVERAGE, system["coverage_mean"]),
            at_most("p99_ratio", MAX_P99_RATIO, system["p99_ratio"]),
            at_most(
                "closed_zone_calls_after_3s", 0, system["closed_zone_calls_after_3s"]
            ),
            at_most("cold_excess_calls", 0, system["cold_excess_calls"]),
        ),
        conditions=(
            "8 upstreams with 2 slots of 40 ms in 4 zones; the zone's upstreams "
            "restart while it is closed",
            "load is 70% of the capacity of the three open zones at one call per shard",
        ),
        plots=(
            Plot(
                title="Complete answers per second while one zone closes and reopens",
                x_label="s after the zone closes",
                y_label="answers/s",
                series=series + baseline_series,
            ),
        ),
    )


async def _measure_zone_outage(
    context: RunContext, variant: Variant
) -> tuple[dict[str, float], tuple[Series, ...]]:
    spec = build_spec(upstreams=UPSTREAMS, slots=SLOTS)
    profile = build_profile()
    remaining_ratio = 1.0 - 1.0 / len(spec.zones)
    rate_per_s = LOAD_RATIO * remaining_ratio * compute_capacity(spec, profile)
    async with open_testbed(context, variant, spec=spec, profile=profile) as testbed:
        await testbed.warm_up()
        healthy_outcomes = await testbed.send(
            testbed.draw_even_arrivals(
                rate_per_s=rate_per_s, seconds=context.scale_s(HEALTHY_STAGE_S)
            ),
            stage="quiet",
        )
        seconds = context.scale_s(FAULT_STAGE_S + RETURN_STAGE_S)
        operator_task = asyncio.create_task(_close_and_reopen(testbed))
        outage_outcomes = await testbed.send(
            testbed.draw_even_arrivals(rate_per_s=rate_per_s, seconds=seconds),
            stage="zone out",
        )
        figures = summarize(outage_outcomes) | await operator_task
    figures |= testbed.summarize_event_loop()
    figures["quiet_p99_ms"] = summarize(healthy_outcomes)["p99_ms"]
    figures["p99_ratio"] = figures["p99_ms"] / max(0.001, figures["quiet_p99_ms"])
    return figures, (_build_answer_series(variant, outage_outcomes),)


def _build_answer_series(variant: Variant, outcomes: list[Outcome]) -> Series:
    seconds, counts = count_per_second(
        outcomes, keep=lambda outcome: outcome.is_complete
    )
    return Series(label=variant.value, x=seconds, y=counts)


async def _close_and_reopen(testbed: Testbed) -> dict[str, float]:
    context = testbed.context
    cold_excess_before = testbed.read_counters().cold_excess_calls
    await set_zone_state(testbed, CLOSED_ZONE, ZoneState.CLOSED)
    await asyncio.sleep(min(CLOSE_LIMIT_S, context.scale_s(CLOSE_LIMIT_S)))
    zone_upstreams = [
        upstream
        for upstream in testbed.upstream_server.upstreams.values()
        if upstream.zone == CLOSED_ZONE
    ]
    calls_before = sum(upstream.calls for upstream in zone_upstreams)
    remaining_s = max(0.0, context.scale_s(FAULT_STAGE_S) - CLOSE_LIMIT_S)
    await asyncio.sleep(remaining_s)
    calls_after = sum(upstream.calls for upstream in zone_upstreams)
    for upstream in zone_upstreams:
        upstream.restart()
    testbed.deployment.publish_list()
    await set_zone_state(testbed, CLOSED_ZONE, ZoneState.OPEN)
    await asyncio.sleep(context.scale_s(RETURN_STAGE_S))
    return {
        "closed_zone_calls_after_3s": calls_after - calls_before,
        "cold_excess_calls": testbed.read_counters().cold_excess_calls
        - cold_excess_before,
        "calls_in_returned_zone": sum(upstream.calls for upstream in zone_upstreams)
        - calls_after,
    }


async def set_zone_state(testbed: Testbed, zone: ZoneId, state: ZoneState) -> None:
    """Publishes a configuration revision with a new state of one zone."""
    current = testbed.deployment.configuration
    zones = tuple(
        msgspec.structs.replace(row, state=state) if row.zone == zone else row
        for row in current.zones
    )
    changed = msgspec.structs.replace(
        current, revision=current.revision + 1, zones=zones
    )
    await testbed.deployment.publish_configuration(changed)


async def run_replica_loss(context: RunContext) -> ScenarioResult:
    system, series = await _measure_replica_loss(context, Variant.SYSTEM)
    baseline, baseline_series = await _measure_replica_loss(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="replica_lost",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_most("errors", 0, system["errors"]),
            at_least("coverage_mean", MIN_COVERAGE, system["coverage_mean"]),
            at_most("p99_ratio", MAX_P99_RATIO, system["p99_ratio"]),
        ),
        conditions=(
            "8 upstreams with 2 slots of 40 ms in 4 zones; one closes all present and "
            "later connections and stays in the instance list",
            "load is 70% of the capacity of the remaining upstreams at one call per "
            "shard",
        ),
        plots=(
            Plot(
                title="Complete answers per second after a replica is lost",
                x_label="s after the loss",
                y_label="answers/s",
                series=series + baseline_series,
            ),
        ),
    )


async def _measure_replica_loss(
    context: RunContext, variant: Variant
) -> tuple[dict[str, float], tuple[Series, ...]]:
    spec = build_spec(upstreams=UPSTREAMS, slots=SLOTS)
    profile = build_profile()
    remaining_ratio = 1.0 - 1.0 / UPSTREAMS
    rate_per_s = LOAD_RATIO * remaining_ratio * compute_capacity(spec, profile)
    async with open_testbed(context, variant, spec=spec, profile=profile) as testbed:
        await testbed.warm_up()
        healthy_outcomes = await testbed.send(
            testbed.draw_even_arrivals(
                rate_per_s=rate_per_s, seconds=context.scale_s(HEALTHY_STAGE_S)
            ),
            stage="quiet",
        )
        testbed.upstream_server.make_unreachable(
            next(iter(testbed.upstream_server.upstreams))
        )
        loss_outcomes = await testbed.send(
            testbed.draw_even_arrivals(
                rate_per_s=rate_per_s, seconds=context.scale_s(FAULT_STAGE_S)
            ),
            stage="replica lost",
        )
    figures = summarize(loss_outcomes)
    figures |= testbed.summarize_event_loop()
    figures["quiet_p99_ms"] = summarize(healthy_outcomes)["p99_ms"]
    figures["p99_ratio"] = figures["p99_ms"] / max(0.001, figures["quiet_p99_ms"])
    return figures, (_build_answer_series(variant, loss_outcomes),)
