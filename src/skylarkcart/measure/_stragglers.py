"""Scenario ``stragglers``: 1 in 50 shard calls takes 20 times as long."""

from __future__ import annotations

from skylarkcart.measure._results import (
    Plot,
    ScenarioResult,
    Series,
    Target,
    at_least,
    at_most,
)
from skylarkcart.measure._statistics import list_percentiles, summarize
from skylarkcart.measure._testbed import (
    RunContext,
    Variant,
    build_profile,
    build_spec,
    open_testbed,
)

RATE_PER_S = 25.0
STAGE_S = 8.0
STRAGGLER_RATIO = 0.02
STRAGGLER_FACTOR = 20.0
MAX_P99_RATIO = 1.3
MAX_EXTRA_CALLS_RATIO = 0.05
MIN_COVERAGE = 0.999


async def run(context: RunContext) -> ScenarioResult:
    system, series = await _measure(context, Variant.SYSTEM)
    baseline, baseline_series = await _measure(context, Variant.BASELINE)
    targets: tuple[Target, ...] = (
        at_most("p99_ratio", MAX_P99_RATIO, system["p99_ratio"]),
        at_most(
            "extra_calls_ratio", MAX_EXTRA_CALLS_RATIO, system["extra_calls_ratio"]
        ),
        at_least("coverage_mean", MIN_COVERAGE, system["coverage_mean"]),
    )
    return ScenarioResult(
        scenario="stragglers",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=targets,
        conditions=(
            "12 upstreams with 3 slots of 40 ms, 4 entries, 25 searches/s (Poisson)",
            "extra_calls_ratio is shards asked / (searches * shards) - 1",
        ),
        plots=(
            Plot(
                title="Latency of searches with 1 in 50 calls 20 times slower",
                x_label="percentile",
                y_label="ms",
                series=series + baseline_series,
            ),
        ),
    )


async def _measure(
    context: RunContext, variant: Variant
) -> tuple[dict[str, float], tuple[Series, ...]]:
    spec = build_spec()
    async with open_testbed(
        context, variant, spec=spec, profile=build_profile()
    ) as testbed:
        await testbed.warm_up()
        seconds = context.scale_s(STAGE_S)
        arrivals = testbed.draw_even_arrivals(rate_per_s=RATE_PER_S, seconds=seconds)
        without_stragglers = await testbed.send(arrivals, stage="without stragglers")
        testbed.update_profiles(
            straggler_ratio=STRAGGLER_RATIO, straggler_factor=STRAGGLER_FACTOR
        )
        counters_before = testbed.read_counters()
        arrivals = testbed.draw_even_arrivals(rate_per_s=RATE_PER_S, seconds=seconds)
        with_stragglers = await testbed.send(arrivals, stage="with stragglers")
        counters = testbed.read_counters().since(counters_before)
    figures = summarize(with_stragglers)
    needed = len(with_stragglers) * spec.services[0].upstreams
    figures |= testbed.summarize_event_loop()
    figures["quiet_p99_ms"] = summarize(without_stragglers)["p99_ms"]
    figures["p99_ratio"] = figures["p99_ms"] / max(0.001, figures["quiet_p99_ms"])
    figures["extra_calls_ratio"] = counters.shards_asked / max(1, needed) - 1
    figures["calls_per_search"] = counters.calls / max(1, len(with_stragglers))
    return figures, (
        _build_percentile_series(f"{variant.value}, without", without_stragglers),
        _build_percentile_series(f"{variant.value}, with stragglers", with_stragglers),
    )


def _build_percentile_series(label: str, outcomes: list) -> Series:
    points = list_percentiles(outcomes)
    return Series(
        label=label,
        x=tuple(str(percentile) for percentile, _ in points),
        y=tuple(value for _, value in points),
    )
