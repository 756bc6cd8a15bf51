"""Scenarios ``overload`` and ``noisy_account``: goodput and isolation of accounts."""

from __future__ import annotations

import asyncio
import functools

import msgspec

from skylarkcart.declarations import Configuration
from skylarkcart.measure._results import (
    Plot,
    ScenarioResult,
    Series,
    at_least,
    at_most,
)
from skylarkcart.measure._statistics import (
    compute_answered_ratios,
    count_per_second,
    summarize,
)
from skylarkcart.measure._testbed import (
    RunContext,
    Testbed,
    Variant,
    build_profile,
    build_spec,
    compute_capacity,
    open_testbed,
    scale_deadlines,
)
from skylarkcart.standins import Outcome
from skylarkcart.types import AccountId

UPSTREAMS = 8
SLOTS = 2
SERVICE_MS = 120.0
DEADLINE_MS = 3_000.0
# Concurrent queries of one baseline instance: its share of the slots.
BASELINE_CONCURRENCY = 1
# Fractions of the capacity at one call per shard. Calls that group several shards can
# carry more.
PEAK_LOAD_RATIOS = (0.8, 1.2, 1.6, 2.0, 2.4)
OVERLOAD_RATIO = 1.5
PEAK_STAGE_S = 5.0
MIN_CARRIED_RATIO = 0.95
OVERLOAD_STAGE_S = 20.0
MIN_GOODPUT_RATIO = 0.9

NOISY_ACCOUNT = AccountId("account-2")
NOISY_RATE_FACTOR = 10.0
ACCOUNT_RATE_PER_S = 4.0
ACCOUNT_BURST = 24
OTHERS_RATE_PER_S = 2.0
# The seven other accounts use 62% of the slots, so that only the noisy account causes
# overload.
NOISY_SERVICE_MS = 80.0
NOISY_STAGE_S = 15.0
# Lets each instance's share of a bucket fill, so that both stages start full.
BUCKET_FILL_S = 6.0
MIN_OTHERS_RATIO = 0.99


def _set_deadline(configuration: Configuration) -> Configuration:
    scaled = scale_deadlines(configuration)
    services = tuple(
        msgspec.structs.replace(row, answer_by_ms=DEADLINE_MS, deadline_ms=DEADLINE_MS)
        for row in scaled.services
    )
    return msgspec.structs.replace(scaled, services=services)


async def run_overload(context: RunContext) -> ScenarioResult:
    system, series = await _measure_overload(context, Variant.SYSTEM)
    baseline, baseline_series = await _measure_overload(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="overload",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_least("goodput_ratio", MIN_GOODPUT_RATIO, system["goodput_ratio"]),
            at_most("late_refusals", 0, system["late_refusals"]),
            at_most("false_not_run", 0, system["false_not_run"]),
        ),
        conditions=(
            f"8 upstreams with 2 slots of {SERVICE_MS:g} ms, deadline 3 s; 150% of "
            f"the carried load for {OVERLOAD_STAGE_S * context.duration_factor:g} s",
            "goodput counts complete answers within the deadline; the carried load is "
            "the highest of five rising loads with goodput of 95% of the offered load",
            "late_refusals are refused searches that had reached an upstream; "
            "false_not_run are those of them that were reported as not run",
        ),
        plots=(
            Plot(
                title="Complete answers per second at 150% load",
                x_label="s",
                y_label="answers/s",
                series=series + baseline_series,
            ),
        ),
    )


async def _measure_overload(
    context: RunContext, variant: Variant
) -> tuple[dict[str, float], tuple[Series, ...]]:
    spec = build_spec(upstreams=UPSTREAMS, slots=SLOTS)
    profile = build_profile(service_ms=SERVICE_MS)
    capacity = compute_capacity(spec, profile)
    async with open_testbed(
        context,
        variant,
        spec=spec,
        profile=profile,
        adjust_configuration=_set_deadline,
        baseline_concurrency=BASELINE_CONCURRENCY,
    ) as testbed:
        await testbed.warm_up()
        peak, carried_load = await _find_peak(testbed, capacity)
        seconds = context.scale_s(OVERLOAD_STAGE_S)
        arrivals = testbed.draw_even_arrivals(
            rate_per_s=OVERLOAD_RATIO * carried_load, seconds=seconds
        )
        outcomes = await testbed.send(arrivals, stage="overload")
        late_refusals, false_not_run = _count_late_refusals(testbed, outcomes)
    goodput = _count_goodput(outcomes) / seconds
    figures = summarize(outcomes)
    shares = compute_answered_ratios(outcomes)
    figures |= {
        "carried_load_per_s": carried_load,
        "peak_goodput_per_s": peak,
        "goodput_per_s": goodput,
        "goodput_ratio": goodput / peak if peak else 0.0,
        "refused_ratio": sum(o.verdict == "not_run" for o in outcomes) / len(outcomes),
        "late_refusals": late_refusals,
        "false_not_run": false_not_run,
        "worst_account_ratio": min(shares.values()),
        **testbed.summarize_event_loop(),
    }
    times, counts = count_per_second(outcomes, keep=_is_timely_and_complete)
    return figures, (Series(label=variant.value, x=times, y=counts),)


async def _find_peak(testbed: Testbed, capacity: float) -> tuple[float, float]:
    """Returns the peak goodput and the highest load that meets MIN_CARRIED_RATIO."""
    seconds = testbed.context.scale_s(PEAK_STAGE_S)
    peak = 0.0
    carried_load = PEAK_LOAD_RATIOS[0] * capacity
    for load_ratio in PEAK_LOAD_RATIOS:
        arrivals = testbed.draw_even_arrivals(
            rate_per_s=load_ratio * capacity, seconds=seconds
        )
        outcomes = await testbed.send(arrivals, stage=f"load {load_ratio:.0%}")
        timely = _count_goodput(outcomes)
        peak = max(peak, timely / seconds)
        if timely < MIN_CARRIED_RATIO * len(arrivals):
            break
        carried_load = load_ratio * capacity
    return peak, carried_load


def _is_timely_and_complete(outcome: Outcome) -> bool:
    return outcome.is_complete and outcome.latency_ms <= DEADLINE_MS


def _count_goodput(outcomes: list[Outcome]) -> int:
    return sum(map(_is_timely_and_complete, outcomes))


def _count_late_refusals(testbed: Testbed, outcomes: list[Outcome]) -> tuple[int, int]:
    """Returns the refused searches that reached an upstream.

    The second number is of those that were reported as not run.
    """
    late_refusals = [
        outcome
        for outcome in outcomes
        if not outcome.is_answered
        and f"q{outcome.arrival.number}" in testbed.upstream_server.query_call_times
    ]
    return len(late_refusals), sum(
        outcome.verdict == "not_run" for outcome in late_refusals
    )


async def run_noisy_account(context: RunContext) -> ScenarioResult:
    system, series = await _measure_noisy(context, Variant.SYSTEM)
    baseline, baseline_series = await _measure_noisy(context, Variant.BASELINE)
    return ScenarioResult(
        scenario="noisy_account",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_least(
                "worst_account_ratio", MIN_OTHERS_RATIO, system["worst_account_ratio"]
            ),
        ),
        conditions=(
            f"8 upstreams with 2 slots of {NOISY_SERVICE_MS:g} ms, deadline 3 s",
            f"8 accounts of {ACCOUNT_RATE_PER_S:g}/s; seven send "
            f"{OTHERS_RATE_PER_S:g}/s each, one sends {NOISY_RATE_FACTOR:g} times "
            "its rate",
            "worst_account_ratio is the minimum, over the other accounts, of complete "
            "answers with the noisy account divided by those without it",
        ),
        plots=(
            Plot(
                title="Answered searches per second with one account at 10 times "
                "its rate",
                x_label="s",
                y_label="answers/s",
                series=series,
            ),
            Plot(
                title="The same with the baseline",
                x_label="s",
                y_label="answers/s",
                series=baseline_series,
            ),
        ),
    )


def _limit_accounts(configuration: Configuration) -> Configuration:
    accounts = tuple(
        msgspec.structs.replace(
            row, rate_per_s=ACCOUNT_RATE_PER_S, burst=ACCOUNT_BURST, share=1.0
        )
        for row in configuration.accounts
    )
    with_deadline = _set_deadline(configuration)
    return msgspec.structs.replace(with_deadline, accounts=accounts)


async def _measure_noisy(
    context: RunContext, variant: Variant
) -> tuple[dict[str, float], tuple[Series, ...]]:
    async with open_testbed(
        context,
        variant,
        spec=build_spec(upstreams=UPSTREAMS, slots=SLOTS),
        profile=build_profile(service_ms=NOISY_SERVICE_MS),
        adjust_configuration=_limit_accounts,
        baseline_concurrency=BASELINE_CONCURRENCY,
    ) as testbed:
        await testbed.warm_up()
        await asyncio.sleep(context.scale_s(BUCKET_FILL_S))
        rates = {name: OTHERS_RATE_PER_S for name in testbed.deployment.keys}
        seconds = context.scale_s(NOISY_STAGE_S)
        other_arrivals = testbed.draw_arrivals(
            {name: rate for name, rate in rates.items() if name != NOISY_ACCOUNT},
            seconds=seconds,
        )
        without_noise = await testbed.send(other_arrivals, stage="without noise")
        await asyncio.sleep(context.scale_s(BUCKET_FILL_S))
        noisy_arrivals = testbed.draw_arrivals(
            {NOISY_ACCOUNT: NOISY_RATE_FACTOR * ACCOUNT_RATE_PER_S}, seconds=seconds
        )
        all_arrivals = sorted(
            other_arrivals + noisy_arrivals, key=lambda arrival: arrival.due_s
        )
        with_noise = await testbed.send(all_arrivals, stage="with noise")
    figures = summarize([o for o in with_noise if o.arrival.account != NOISY_ACCOUNT])
    ratios = _compare_accounts(without_noise, with_noise)
    figures |= testbed.summarize_event_loop()
    figures["worst_account_ratio"] = min(ratios.values())
    figures["mean_account_ratio"] = sum(ratios.values()) / len(ratios)
    figures["noisy_answered"] = sum(
        o.is_complete for o in with_noise if o.arrival.account == NOISY_ACCOUNT
    )
    figures["others_answered_without_noise"] = sum(o.is_complete for o in without_noise)
    return figures, tuple(
        _build_account_series(with_noise, account)
        for account in testbed.deployment.keys
    )


def _compare_accounts(
    without_noise: list[Outcome], with_noise: list[Outcome]
) -> dict[AccountId, float]:
    def count(outcomes: list[Outcome], account: AccountId) -> int:
        return sum(o.is_complete for o in outcomes if o.arrival.account == account)

    accounts = {outcome.arrival.account for outcome in without_noise}
    return {
        account: count(with_noise, account) / max(1, count(without_noise, account))
        for account in sorted(accounts)
    }


def _build_account_series(outcomes: list[Outcome], account: AccountId) -> Series:
    is_answer = functools.partial(_is_complete_for, account)
    times, counts = count_per_second(outcomes, keep=is_answer)
    return Series(label=account, x=times, y=counts)


def _is_complete_for(account: AccountId, outcome: Outcome) -> bool:
    return outcome.arrival.account == account and outcome.is_complete
