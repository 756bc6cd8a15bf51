"""Seeded randomised runs of searches over several instances and simulated upstreams."""

from __future__ import annotations

from collections import Counter

import msgspec

from skylarkcart import invariants
from skylarkcart.proof._search_simulation import SearchSimulation, SimulationSettings
from skylarkcart.search import CallKind
from skylarkcart.upstreams import ChoicePolicy


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a run, which passed if ``violations`` is empty.

    ``violations`` counts what the checks in the decision logic and the run's ledger
    found, by the name of the invariant. ``extra_calls``, ``late_answer`` and
    ``answered_twice`` are not invariants; only the ledger finds them. Latencies are in
    milliseconds of simulated time.
    """

    name: str
    seed: int
    violations: dict[str, int]
    details: tuple[str, ...] = ()
    figures: dict[str, float] = {}

    @property
    def passed(self) -> bool:
        return not self.violations


class ProofRun(msgspec.Struct, frozen=True, kw_only=True):
    """A named randomised run with its settings."""

    name: str
    settings: SimulationSettings

    def run(self, seed: int, *, duration_ms: float | None = None) -> RunReport:
        """Runs with a seed; ``duration_ms`` overrides the duration in the settings."""
        settings = self.settings
        if duration_ms is not None:
            settings = msgspec.structs.replace(settings, duration_ms=duration_ms)
        return run_simulation(self.name, settings, seed)


def run_simulation(
    name: str, settings: SimulationSettings, seed: int, *, stops_early: bool = False
) -> RunReport:
    """Runs a simulation and reports the violations of this run only.

    With ``stops_early`` the run ends soon after the first violation.
    """
    before = Counter(invariants.get_violation_counts())
    simulation = SearchSimulation(settings=settings, seed=seed)

    def has_violation() -> bool:
        return bool(
            simulation.ledger.violations
            or Counter(invariants.get_violation_counts()) - before
        )

    try:
        simulation.run(has_violation=has_violation if stops_early else None)
    except invariants.InvariantError as error:
        # In strict mode the first violation ends the run.
        simulation.ledger.details.append(str(error))
    found = Counter(invariants.get_violation_counts()) - before
    violations = Counter({key.value: count for key, count in found.items()})
    violations += simulation.ledger.violations
    return RunReport(
        name=name,
        seed=seed,
        violations=dict(violations),
        details=tuple(simulation.ledger.details),
        figures=_build_figures(simulation),
    )


def _build_figures(simulation: SearchSimulation) -> dict[str, float]:
    ledger = simulation.ledger
    first_calls = max(1, ledger.calls_by_kind[CallKind.FIRST])
    latencies_ms = sorted(ledger.latencies_ms) or [0.0]
    return {
        "answers": ledger.answers,
        "p50_ms": round(_find_quantile(latencies_ms, 0.5), 2),
        "p99_ms": round(_find_quantile(latencies_ms, 0.99), 2),
        "coverage": round(ledger.covered_shards / max(1, ledger.requested_shards), 5),
        "incomplete": ledger.incomplete_answers,
        "hedges": round(ledger.calls_by_kind[CallKind.HEDGE] / first_calls, 4),
        "retries": round(ledger.calls_by_kind[CallKind.RETRY] / first_calls, 4),
        **{
            f"missing_{reason}": count
            for reason, count in ledger.missing_shard_reasons.items()
        },
        "shed": ledger.refusals["shedding"],
    }


def _find_quantile(ordered: list[float], quantile: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


_WRONG_ANSWER_RATIOS = {
    "crossed_ratio": 0.005,
    "other_snapshot_ratio": 0.003,
    "repeated_ratio": 0.005,
    "partial_ratio": 0.002,
}

RUNS = (
    ProofRun(name="quiet", settings=SimulationSettings(straggler_ratio=0.0)),
    ProofRun(name="stragglers", settings=SimulationSettings()),
    ProofRun(name="wrong_answers", settings=SimulationSettings(**_WRONG_ANSWER_RATIOS)),
    ProofRun(
        name="restarts",
        settings=SimulationSettings(
            restart_interval_ms=500.0, right_interval_ms=1_500.0
        ),
    ),
    ProofRun(name="slowdown", settings=SimulationSettings(slowdown_at=2_500.0)),
    ProofRun(name="silent_cold", settings=SimulationSettings(cold_interval_ms=1_000.0)),
    ProofRun(name="draining", settings=SimulationSettings(drain_interval_ms=1_500.0)),
    ProofRun(
        name="snapshots",
        settings=SimulationSettings(snapshot_interval_ms=800.0, **_WRONG_ANSWER_RATIOS),
    ),
    ProofRun(
        name="closed_zone",
        settings=SimulationSettings(
            duration_ms=7_000.0, zone_closed_at=1_000.0, zone_opened_at=5_000.0
        ),
    ),
    ProofRun(
        name="all_faults",
        settings=SimulationSettings(
            duration_ms=7_000.0,
            zone_closed_at=1_500.0,
            zone_opened_at=5_500.0,
            restart_interval_ms=900.0,
            drain_interval_ms=3_000.0,
            snapshot_interval_ms=1_200.0,
            right_interval_ms=1_500.0,
            instance_interval_ms=1_500.0,
            lost_message_ratio=0.1,
            **_WRONG_ANSWER_RATIOS,
        ),
    ),
)

# Runs that measure the effect of each mechanism, by comparison with a run without it.
# Searches that begin in the first seconds, the warm-up, are not counted.
_MEASUREMENT_SETTINGS = {
    "duration_ms": 8_000.0,
    "warm_up_ms": 4_000.0,
    "searches_per_s": 600.0,
}
_RANDOM_CHOICE = ChoicePolicy(two_choices=False)
_FIXED_CONCURRENCY = ChoicePolicy(adaptive_concurrency=False)


def _report_constant(load: float) -> float:
    return 1.0


def _report_inverted(load: float) -> float:
    return -load


def _report_unchanged(load: float) -> float:
    return load


def _build_measurement(name: str, **changes: object) -> ProofRun:
    return ProofRun(
        name=name, settings=SimulationSettings(**(_MEASUREMENT_SETTINGS | changes))
    )


ABLATION = (
    _build_measurement("no_stragglers", straggler_ratio=0.0),
    _build_measurement("all_parts"),
    _build_measurement("no_hedging", extra_calls_ratio=0.0),
    _build_measurement("slow_replica", slow_upstream_factor=4.0),
    _build_measurement(
        "slow_replica_random", slow_upstream_factor=4.0, policy=_RANDOM_CHOICE
    ),
    _build_measurement("random_choice", policy=_RANDOM_CHOICE),
    _build_measurement("overload", searches_per_s=2_400.0),
    _build_measurement(
        "overload_fixed", searches_per_s=2_400.0, policy=_FIXED_CONCURRENCY
    ),
    _build_measurement("load_reported", reported_load=_report_unchanged),
    _build_measurement("load_frozen", reported_load=_report_constant),
    _build_measurement("load_inverted", reported_load=_report_inverted),
)
