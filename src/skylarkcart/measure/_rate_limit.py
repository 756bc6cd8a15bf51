"""Scenario ``rate_limit``: refusals within the rate, and tokens spent above it."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable

import msgspec

from skylarkcart.declarations import AccountRow, Configuration
from skylarkcart.measure._results import Plot, ScenarioResult, Series, at_most
from skylarkcart.measure._rolling_replacement import replace_all_instances
from skylarkcart.measure._testbed import (
    MILLISECONDS_PER_SECOND,
    ZONES,
    RunContext,
    Testbed,
    Variant,
    build_profile,
    build_spec,
    open_testbed,
    scale_deadlines,
)
from skylarkcart.standins import Arrival, Outcome
from skylarkcart.types import AccountId

LARGE_ACCOUNT = AccountId("account-0")
SMALL_ACCOUNT = AccountId("account-2")
RATES_PER_S = {LARGE_ACCOUNT: 32.0, SMALL_ACCOUNT: 4.0}
BURSTS = {LARGE_ACCOUNT: 64, SMALL_ACCOUNT: 8}
ENTRIES = 8
PARTITION_ENTRIES = 4
SERVICE_MS = 10.0
# Offered load as a ratio of the rate: within the limit and far above it.
WITHIN_RATE_RATIO = 0.9
FLOOD_RATIO = 3.0
# Fraction of the requests that go to the first entry instance; the others share the
# rest.
FIRST_ENTRY_SHARE = 0.4
# Lets the instances acquire rights and the buckets fill.
BUCKET_FILL_S = 7.0
STEADY_STAGE_S = 10.0
FLOOD_STAGE_S = 5.0
PARTITION_STAGE_S = 10.0
LINGER_MS = 400.0
PARTITIONED_ZONE = ZONES[0]
RATE_REFUSAL = "rate_exceeded"
ROUNDING_TOLERANCE_TOKENS = 1e-6
MAX_STEADY_REFUSED_RATIO = 0.005
MAX_ROLLING_REFUSED_RATIO = 0.02
MAX_PARTITION_REFUSED_RATIO = 0.05


class IdealTokenBucket:
    """One token bucket shared by all instances without delay. It starts full."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._at_s = 0.0
        self.balance = burst

    def refill(self, at_s: float) -> None:
        accrued = max(0.0, at_s - self._at_s) * self._rate_per_s
        self.balance = min(self._burst, self.balance + accrued)
        self._at_s = max(self._at_s, at_s)

    def try_spend(self, at_s: float) -> bool:
        self.refill(at_s)
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def compute_excess_tokens(
    spent_at: Iterable[float], *, rate_per_s: float, burst: float
) -> int:
    """Returns the most whole tokens spent above burst + rate * d in any interval d."""
    bucket = IdealTokenBucket(rate_per_s=rate_per_s, burst=burst)
    lowest_balance = 0.0
    times = sorted(spent_at)
    for at_s in times:
        bucket.refill(at_s - times[0])
        bucket.balance -= 1.0
        lowest_balance = min(lowest_balance, bucket.balance)
    # Without the tolerance, a rounding error could hide one whole token.
    return math.floor(-lowest_balance + ROUNDING_TOLERANCE_TOKENS)


def count_refused_within_rate(
    outcomes: Iterable[Outcome], *, rate_per_s: float, burst: float
) -> tuple[int, int]:
    """Returns refused and all requests among those that an ideal bucket admits."""
    bucket = IdealTokenBucket(rate_per_s=rate_per_s, burst=burst)
    refused = admitted = 0
    for outcome in sorted(outcomes, key=lambda outcome: outcome.arrival.due_s):
        if bucket.try_spend(outcome.arrival.due_s):
            admitted += 1
            refused += outcome.error == RATE_REFUSAL
    return refused, admitted


async def run(context: RunContext) -> ScenarioResult:
    system = await _measure(context, Variant.SYSTEM)
    baseline = await _measure(context, Variant.BASELINE)
    stages = ("steady", "rolling", "partition")
    bounds = (
        MAX_STEADY_REFUSED_RATIO,
        MAX_ROLLING_REFUSED_RATIO,
        MAX_PARTITION_REFUSED_RATIO,
    )
    return ScenarioResult(
        scenario="rate_limit",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=system,
        baseline=baseline,
        targets=(
            at_most("excess_tokens", 0, system["excess_tokens"]),
            *(
                at_most(f"{stage}_refused_within_rate_ratio", bound, system[name])
                for stage, bound in zip(stages, bounds)
                for name in [f"{stage}_refused_within_rate_ratio"]
            ),
        ),
        conditions=(
            "accounts of 32/s (burst 64) and 4/s (burst 8) at "
            f"{WITHIN_RATE_RATIO:.0%} of their rates; one of {ENTRIES} entry instances "
            f"in 4 zones gets {FIRST_ENTRY_SHARE:.0%} of the requests",
            "a refusal counts when one ideal bucket for all instances would admit",
            "excess_tokens are whole tokens above burst + rate * d in any interval d, "
            "by the time of the first upstream call; loads of 3 times the rate are "
            "included",
            "partition: 4 entry instances; one zone is cut off from peers and the "
            "platform, and its callers send 90% of a quarter of the rate",
        ),
        plots=(
            Plot(
                title="Refused within the rate",
                x_label="stage",
                y_label="fraction of admissible requests",
                style="bar",
                series=tuple(
                    Series(
                        label=label,
                        x=stages,
                        y=tuple(
                            figures[f"{stage}_refused_within_rate_ratio"]
                            for stage in stages
                        ),
                    )
                    for label, figures in (("system", system), ("plain", baseline))
                ),
            ),
        ),
    )


async def _measure(context: RunContext, variant: Variant) -> dict[str, float]:
    figures = await _measure_connected(context, variant)
    partition = await _measure_partition(context, variant)
    excess = max(figures["excess_tokens"], partition["excess_tokens"])
    return figures | partition | {"excess_tokens": excess}


def _limit_accounts(configuration: Configuration) -> Configuration:
    def limit(row: AccountRow) -> AccountRow:
        if row.account not in RATES_PER_S:
            return row
        return msgspec.structs.replace(
            row, rate_per_s=RATES_PER_S[row.account], burst=BURSTS[row.account]
        )

    accounts = tuple(limit(row) for row in configuration.accounts)
    return msgspec.structs.replace(scale_deadlines(configuration), accounts=accounts)


async def _measure_connected(context: RunContext, variant: Variant) -> dict[str, float]:
    async with open_testbed(
        context,
        variant,
        spec=build_spec(upstreams=2, slots=8, entries=ENTRIES),
        profile=msgspec.structs.replace(
            build_profile(service_ms=SERVICE_MS), warm_after_calls=0, connections=0
        ),
        adjust_configuration=_limit_accounts,
        linger_ms=LINGER_MS,
    ) as testbed:
        await _wait_for_full_buckets(testbed)
        steady = await _send_stage(testbed, "steady", WITHIN_RATE_RATIO, STEADY_STAGE_S)
        steady_excess = _compute_worst_excess(testbed, steady)
        flood = await _send_stage(testbed, "flood", FLOOD_RATIO, FLOOD_STAGE_S)
        flood_excess = _compute_worst_excess(testbed, steady + flood)
        await _wait_for_full_buckets(testbed)
        replacement_task = asyncio.create_task(replace_all_instances(testbed, 1))
        rolling = await _send_stage(
            testbed,
            "rolling replacement",
            WITHIN_RATE_RATIO,
            math.inf,
            should_continue=lambda: not replacement_task.done(),
        )
        await replacement_task
        rolling_excess = _compute_worst_excess(testbed, rolling)
    return {
        **_summarize("steady", steady),
        **_summarize("rolling", rolling),
        **testbed.summarize_event_loop(),
        "flood_admitted": sum(outcome.error != RATE_REFUSAL for outcome in flood),
        "excess_tokens": max(steady_excess, flood_excess, rolling_excess),
    }


async def _measure_partition(context: RunContext, variant: Variant) -> dict[str, float]:
    async with open_testbed(
        context,
        variant,
        spec=build_spec(upstreams=2, slots=8, entries=PARTITION_ENTRIES),
        profile=msgspec.structs.replace(
            build_profile(service_ms=SERVICE_MS), warm_after_calls=0, connections=0
        ),
        adjust_configuration=_limit_accounts,
    ) as testbed:
        await _wait_for_full_buckets(testbed)
        set_partition(testbed, is_partitioned=True)
        addresses = testbed.list_addresses()
        partitioned_addresses = [
            address for address, zone in addresses.items() if zone == PARTITIONED_ZONE
        ]
        connected_addresses = [
            address for address, zone in addresses.items() if zone != PARTITIONED_ZONE
        ]
        zone_share = len(partitioned_addresses) / len(addresses)

        def choose(arrival: Arrival) -> str:
            candidates = (
                partitioned_addresses
                if testbed.random.random() < zone_share
                else connected_addresses
            )
            return testbed.random.choice(candidates)

        rates = {LARGE_ACCOUNT: RATES_PER_S[LARGE_ACCOUNT] * WITHIN_RATE_RATIO}
        arrivals = testbed.draw_arrivals(
            rates, seconds=context.scale_s(PARTITION_STAGE_S)
        )
        outcomes = await testbed.send(
            arrivals, stage="partition", choose_address=choose
        )
        excess = _compute_worst_excess(testbed, outcomes)
        set_partition(testbed, is_partitioned=False)
    partitioned = [
        outcome for outcome in outcomes if outcome.address in partitioned_addresses
    ]
    refused, admitted = count_refused_within_rate(
        partitioned,
        rate_per_s=RATES_PER_S[LARGE_ACCOUNT] * zone_share,
        burst=BURSTS[LARGE_ACCOUNT] * zone_share,
    )
    return {
        "partition_requests": len(partitioned),
        "partition_refused_within_rate_ratio": refused / max(1, admitted),
        "excess_tokens": excess,
    }


def set_partition(testbed: Testbed, *, is_partitioned: bool) -> None:
    """Partitions the instances of one zone from the platform and from all peers."""
    unreachable_zones = testbed.deployment.platform.unreachable_zones
    (
        unreachable_zones.add(PARTITIONED_ZONE)
        if is_partitioned
        else unreachable_zones.discard(PARTITIONED_ZONE)
    )
    for entry in testbed.deployment.entries:
        if entry.settings.zone == PARTITIONED_ZONE:
            entry.peers.is_isolated = is_partitioned


async def _wait_for_full_buckets(testbed: Testbed) -> None:
    testbed.context.report_progress(
        f"{testbed.variant.value}: waiting for full buckets"
    )
    await asyncio.sleep(testbed.context.scale_s(BUCKET_FILL_S))


async def _send_stage(
    testbed: Testbed,
    stage: str,
    rate_ratio: float,
    seconds: float,
    *,
    should_continue: Callable[[], bool] = lambda: True,
) -> list[Outcome]:
    rates = {account: rate * rate_ratio for account, rate in RATES_PER_S.items()}
    limit_s = testbed.context.scale_s(seconds) if seconds < math.inf else math.inf
    arrivals = testbed.stream_arrivals(rates)
    limited_arrivals = itertools.takewhile(
        lambda arrival: arrival.due_s < limit_s and should_continue(), arrivals
    )
    return await testbed.send(
        limited_arrivals, stage=stage, choose_address=_choose_unevenly(testbed)
    )


def _choose_unevenly(testbed: Testbed) -> Callable[[Arrival], str]:
    def choose(arrival: Arrival) -> str:
        if (
            len(testbed.ready_addresses) == 1
            or testbed.random.random() < FIRST_ENTRY_SHARE
        ):
            return testbed.ready_addresses[0]
        return testbed.random.choice(testbed.ready_addresses[1:])

    return choose


def _compute_worst_excess(testbed: Testbed, outcomes: list[Outcome]) -> int:
    """Returns the largest excess of an account, by the time of first upstream calls."""
    calls = testbed.upstream_server.query_call_times
    worst = 0
    for account, rate_per_s in RATES_PER_S.items():
        spent_at = [
            calls[query][0]
            for outcome in outcomes
            for query in [f"q{outcome.arrival.number}"]
            if outcome.arrival.account == account and query in calls
        ]
        excess = compute_excess_tokens(
            spent_at, rate_per_s=rate_per_s, burst=BURSTS[account]
        )
        worst = max(worst, excess)
    return worst


def _summarize(stage: str, outcomes: list[Outcome]) -> dict[str, float]:
    refused = admitted = 0
    figures: dict[str, float] = {f"{stage}_requests": len(outcomes)}
    for account, rate_per_s in RATES_PER_S.items():
        own = [outcome for outcome in outcomes if outcome.arrival.account == account]
        own_refused, own_admitted = count_refused_within_rate(
            own, rate_per_s=rate_per_s, burst=BURSTS[account]
        )
        label = "large" if account == LARGE_ACCOUNT else "small"
        ratio = own_refused / max(1, own_admitted)
        figures[f"{stage}_{label}_refused_within_rate_ratio"] = ratio
        refused += own_refused
        admitted += own_admitted
    figures[f"{stage}_refused_within_rate_ratio"] = refused / max(1, admitted)
    latencies_s = sorted(
        outcome.latency_ms / MILLISECONDS_PER_SECOND for outcome in outcomes
    )
    figures[f"{stage}_slowest_s"] = latencies_s[-1] if latencies_s else 0.0
    return figures
