"""Scenarios ``config`` and ``key_withdrawn``: propagation of configuration changes."""

from __future__ import annotations

import asyncio
import time

import msgspec
import numpy

from skylarkcart.measure._results import ScenarioResult, at_most
from skylarkcart.measure._testbed import (
    RunContext,
    Testbed,
    Variant,
    build_profile,
    build_spec,
    compute_capacity,
    open_testbed,
)
from skylarkcart.platform import CONFIGURATION_KEY
from skylarkcart.standins import Arrival, Outcome
from skylarkcart.types import AccountId

MAX_CONFIGURATION_DELAY_S = 3.0
MAX_KEY_REVOCATION_S = 2.0
MAX_PLATFORM_READS_PER_S = 2_000.0
DESIGN_FLEET_SIZE = 3_900
FLEET_SIZES = (4, 8, 16)
IDLE_PERIOD_S = 6.0
CONFIGURATION_CHANGES = 5
CHANGE_TIMEOUT_S = 10.0
REVISION_POLL_INTERVAL_S = 0.005
REVISION_METRIC = "skylarkcart_config_revision"
REVOKED_KEY_ACCOUNT = AccountId("account-3")
BEFORE_REVOCATION_S = 3.0
AFTER_REVOCATION_S = 5.0
# Overload, so that requests of the account are queued when its key is revoked.
LOAD_RATIO = 2.5
KEY_SERVICE_MS = 100.0


async def run_config(context: RunContext) -> ScenarioResult:
    system = await _measure_config(context, Variant.SYSTEM)
    baseline = await _measure_config(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="config",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_most(
                "config_in_force_s",
                MAX_CONFIGURATION_DELAY_S,
                system["config_in_force_s"],
            ),
            at_most("reverted_instances", 0, system["reverted_instances"]),
            at_most(
                "platform_reads_per_s",
                MAX_PLATFORM_READS_PER_S,
                system["platform_reads_per_s"],
            ),
        ),
        conditions=(
            f"{CONFIGURATION_CHANGES} revisions, the last one after the platform was "
            "down for 1 s; then an older revision under a newer version",
            f"platform_reads_per_s is a linear fit over {FLEET_SIZES} idle instances "
            f"in 4 zones, extrapolated to {DESIGN_FLEET_SIZE}; a watch counts once; "
            "it overstates reads whose interval grows with the fleet",
            "the baseline polls the configuration and the instance list every 2.5 s",
        ),
    )


async def _measure_config(context: RunContext, variant: Variant) -> dict[str, float]:
    figures: dict[str, float] = {}
    rates = []
    for size in FLEET_SIZES:
        spec = build_spec(upstreams=4, entries=size)
        async with open_testbed(
            context, variant, spec=spec, profile=build_profile()
        ) as testbed:
            rate, list_rate = await _measure_read_rates(testbed, size)
            rates.append(rate)
            figures[f"platform_reads_per_s_{size}_instances"] = rate
            figures[f"list_reads_per_s_{size}_instances"] = list_rate
            if size == FLEET_SIZES[1]:
                figures |= await _measure_changes(testbed)
    slope, intercept = numpy.polyfit(FLEET_SIZES, rates, 1)
    figures["platform_reads_per_s_slope"] = float(slope)
    figures["platform_reads_per_s"] = float(slope * DESIGN_FLEET_SIZE + intercept)
    return figures


async def _measure_read_rates(testbed: Testbed, size: int) -> tuple[float, float]:
    """Returns all platform reads and the reads of the instance list, per second."""
    testbed.context.report_progress(
        f"{testbed.variant.value}: platform reads of {size} instances"
    )
    seconds = testbed.context.scale_s(IDLE_PERIOD_S)
    platform = testbed.deployment.platform
    reads_before, list_reads_before = platform.reads, platform.list_reads
    await asyncio.sleep(seconds)
    list_reads = platform.list_reads - list_reads_before
    return (platform.reads - reads_before) / seconds, list_reads / seconds


async def _measure_changes(testbed: Testbed) -> dict[str, float]:
    oldest_value = msgspec.json.encode(testbed.deployment.configuration)
    times = []
    for number in range(CONFIGURATION_CHANGES):
        testbed.context.report_progress(
            f"{testbed.variant.value}: revision {number + 1} of {CONFIGURATION_CHANGES}"
        )
        platform = testbed.deployment.platform
        if number == CONFIGURATION_CHANGES - 1:
            platform.is_down = True
            await asyncio.sleep(testbed.context.scale_s(1.0))
            platform.is_down = False
        times.append(await _publish_and_wait(testbed))
    newest = testbed.deployment.configuration.revision
    await testbed.deployment.platform.publish(CONFIGURATION_KEY, oldest_value)
    await asyncio.sleep(
        MAX_CONFIGURATION_DELAY_S * min(1.0, testbed.context.duration_factor)
    )
    reverted_instances = sum(revision < newest for revision in _list_revisions(testbed))
    return {
        "config_in_force_s": max(times),
        "config_in_force_mean_s": sum(times) / len(times),
        "reverted_instances": reverted_instances,
    }


async def _publish_and_wait(testbed: Testbed) -> float:
    """Publishes a new revision and returns the seconds until all instances apply it."""
    current = testbed.deployment.configuration
    changed = msgspec.structs.replace(current, revision=current.revision + 1)
    started_at = time.monotonic()
    await testbed.deployment.publish_configuration(changed)
    while time.monotonic() - started_at < CHANGE_TIMEOUT_S:
        if min(_list_revisions(testbed)) >= changed.revision:
            break
        await asyncio.sleep(REVISION_POLL_INTERVAL_S)
    return time.monotonic() - started_at


def _list_revisions(testbed: Testbed) -> list[int]:
    if testbed.variant is Variant.BASELINE:
        return [entry.revision for entry in testbed.baseline_instances]
    registries = [entry.state.metrics.registry for entry in testbed.deployment.entries]
    return [
        int(registry.get_sample_value(REVISION_METRIC) or 0) for registry in registries
    ]


async def run_key_revocation(context: RunContext) -> ScenarioResult:
    system = await _measure_key_revocation(context, Variant.SYSTEM)
    baseline = await _measure_key_revocation(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="key_withdrawn",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_most("key_withdrawn_s", MAX_KEY_REVOCATION_S, system["key_withdrawn_s"]),
            at_most(
                "queued_run_after_s", MAX_KEY_REVOCATION_S, system["queued_run_after_s"]
            ),
        ),
        conditions=(
            f"one account sends {LOAD_RATIO:.0%} of the capacity at one call per shard "
            "over persistent connections to 4 entry instances; its key is revoked "
            "after 3 s",
            "both are seconds after the publication: key_withdrawn_s is the latest due "
            "time of a request that was answered; queued_run_after_s is the latest "
            "time at which one of the account's searches reached an upstream",
            "the baseline polls the configuration every 2.5 s",
        ),
    )


async def _measure_key_revocation(
    context: RunContext, variant: Variant
) -> dict[str, float]:
    spec = build_spec(upstreams=8, slots=2)
    profile = build_profile(service_ms=KEY_SERVICE_MS)
    rate_per_s = LOAD_RATIO * compute_capacity(spec, profile)
    async with open_testbed(
        context, variant, spec=spec, profile=profile, baseline_concurrency=2
    ) as testbed:
        await testbed.warm_up()
        before_s = context.scale_s(BEFORE_REVOCATION_S)
        seconds = before_s + context.scale_s(AFTER_REVOCATION_S)
        arrivals = testbed.draw_arrivals(
            {REVOKED_KEY_ACCOUNT: rate_per_s}, seconds=seconds
        )
        started_at = time.monotonic()
        revocation_task = asyncio.create_task(_revoke_key(testbed, before_s))
        outcomes = await testbed.send(arrivals, stage="key withdrawn")
        published_at = await revocation_task
        calls = testbed.upstream_server.query_call_times
        last_call_at = max(
            (
                calls[query][1]
                for query in map(_format_query, arrivals)
                if query in calls
            ),
            default=published_at,
        )
    return _summarize_key_revocation(outcomes, published_at - started_at) | {
        "queued_run_after_s": max(0.0, last_call_at - published_at),
        **testbed.summarize_event_loop(),
    }


def _format_query(arrival: Arrival) -> str:
    return f"q{arrival.number}"


async def _revoke_key(testbed: Testbed, after_s: float) -> float:
    """Publishes a configuration without the key and returns the time of publication."""
    await asyncio.sleep(after_s)
    current = testbed.deployment.configuration
    keys = tuple(row for row in current.keys if row.account != REVOKED_KEY_ACCOUNT)
    changed = msgspec.structs.replace(current, revision=current.revision + 1, keys=keys)
    published_at = time.monotonic()
    await testbed.deployment.publish_configuration(changed)
    return published_at


def _summarize_key_revocation(
    outcomes: list[Outcome], published_s: float
) -> dict[str, float]:
    due_after_s = [o.arrival.due_s - published_s for o in outcomes if o.is_answered]
    refused = [o for o in outcomes if o.status == 401]
    ended_after_s = [
        o.ended_after_s - published_s
        for o in outcomes
        if o.is_answered and not o.connection_error
    ]
    return {
        "requests": len(outcomes),
        "refused_with_401": len(refused),
        "key_withdrawn_s": max(0.0, *due_after_s) if due_after_s else 0.0,
        "last_answer_after_s": max(0.0, *ended_after_s) if ended_after_s else 0.0,
    }
