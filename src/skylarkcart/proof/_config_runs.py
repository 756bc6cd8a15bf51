"""Randomised runs of the configuration relay."""

from __future__ import annotations

import statistics
from functools import partial

from skylarkcart import invariants
from skylarkcart.invariants import Invariant, InvariantError
from skylarkcart.proof._config_simulation import FaultInjection, Scenario, Simulation
from skylarkcart.proof._config_types import Run, RunReport

RUN_DURATION_MS = 60_000.0

RELAY = Scenario(
    name="config-relay",
    crash_interval_range_ms=(2_000.0, 10_000.0),
    downtime_range_ms=(100.0, 3_000.0),
)
FREQUENT_RESTARTS = Scenario(
    name="config-restarts",
    crash_interval_range_ms=(300.0, 3_000.0),
    downtime_range_ms=(100.0, 6_000.0),
)
SLOW_PEERS = Scenario(
    name="config-slow-peers",
    crash_interval_range_ms=(300.0, 3_000.0),
    downtime_range_ms=(100.0, 6_000.0),
    response_delay_range_ms=(20.0, 6_000.0),
    checks_in_force=False,
)


def execute_run(
    seed: int,
    *,
    scenario: Scenario = RELAY,
    name: str = "",
    duration_ms: float = RUN_DURATION_MS,
    inject_fault: FaultInjection | None = None,
) -> RunReport:
    """Runs the relay for ``duration_ms`` of simulated time.

    In strict mode the first invariant violation in the program ends the run.
    """
    simulation = Simulation(seed=seed, scenario=scenario, inject_fault=inject_fault)
    violations_before = invariants.get_violation_counts().get(
        Invariant.CONFIG_ADVANCES, 0
    )
    strict_violation = ""
    try:
        simulation.run(duration_ms)
    except InvariantError as error:
        strict_violation = str(error)
    violations_after = invariants.get_violation_counts().get(
        Invariant.CONFIG_ADVANCES, 0
    )
    monitor = simulation.monitor
    violations = [
        *monitor.violations,
        *([strict_violation] if strict_violation else []),
    ]
    if violations_after > violations_before:
        violations.append(
            f"{violations_after - violations_before} violations in the program"
        )
    adoption_latencies = sorted(monitor.adoption_latencies_ms) or [0.0]
    ready_delays = sorted(monitor.ready_delays_ms) or [0.0]
    return RunReport(
        name=name or scenario.name,
        seed=seed,
        violations=tuple(violations),
        measurements={
            "in_force_checked": monitor.in_force_checks,
            "in_force_p50_ms": statistics.median(adoption_latencies),
            "in_force_p99_ms": adoption_latencies[int(len(adoption_latencies) * 0.99)],
            "in_force_max_ms": adoption_latencies[-1],
            "started": simulation.started_processes,
            "became_ready": len(monitor.ready_delays_ms),
            "ready_p50_ms": statistics.median(ready_delays),
            "ready_p99_ms": ready_delays[int(len(ready_delays) * 0.99)],
            "restarts_served": monitor.restarts_served,
            "unreachable_reverts": monitor.unreachable_reverts,
        },
    )


RUNS = tuple(
    Run(
        name=scenario.name,
        invariant=Invariant.CONFIG_ADVANCES,
        execute=partial(execute_run, scenario=scenario),
    )
    for scenario in (RELAY, FREQUENT_RESTARTS, SLOW_PEERS)
)
