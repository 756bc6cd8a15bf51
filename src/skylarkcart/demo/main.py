"""``skylarkcart-demo`` runs complete deployments in one process.

For each deployment it starts a stand-in platform, stand-in upstreams and entry
instances, sends searches and filings, and prints a summary. The exit code is 0, or 1
if a check failed or an invariant was violated.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

from absl import app, flags, logging
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from skylarkcart import invariants
from skylarkcart.demo._traffic import DemoTraffic, ServiceStatistics
from skylarkcart.standins import (
    DeploymentSpec,
    StandinDeployment,
    build_association,
    build_empresa,
)
from skylarkcart.types import ServiceId

PROGRESS_INTERVAL_S = 0.1

_REQUESTS = flags.DEFINE_integer(
    "requests", 200, "Requests for each deployment.", lower_bound=1
)
_RATE = flags.DEFINE_float("rate", 20.0, "Requests per second.", lower_bound=1.0)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the traffic and the stand-ins.")


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


def main(arguments: Sequence[str]) -> None:
    if len(arguments) > 1:
        print(f"unexpected argument {arguments[1]!r}", file=sys.stderr)
        sys.exit(2)
    logging.set_verbosity(logging.WARNING)
    console = Console()
    failures = []
    for spec in (build_association(), build_empresa()):
        statistics_by_service = asyncio.run(_run_deployment(spec, console))
        _print_summary(spec, statistics_by_service, console)
        for statistics in statistics_by_service.values():
            failures.extend(statistics.failures)
    violations = invariants.get_violation_counts()
    for invariant, count in violations.items():
        failures.append(f"invariant {invariant.value} violated {count} times")
    for failure in failures:
        console.print(f"failed check: {failure}", style="red", markup=False)
    console.print("all checks passed" if not failures else "some checks failed")
    sys.exit(1 if failures else 0)


async def _run_deployment(
    spec: DeploymentSpec, console: Console
) -> dict[ServiceId, ServiceStatistics]:
    deployment = StandinDeployment(spec=spec, seed=_SEED.value)
    await deployment.start()
    await deployment.wait_for_coverage()
    traffic = DemoTraffic(deployment=deployment, seed=_SEED.value)
    send_task = asyncio.create_task(
        traffic.run(
            services=tuple(service.service for service in spec.services),
            requests=_REQUESTS.value,
            rate_per_s=_RATE.value,
        )
    )
    with Progress(console=console, transient=True) as progress:
        progress_task = progress.add_task(spec.name, total=_REQUESTS.value)
        while not send_task.done():
            progress.update(progress_task, completed=traffic.sent)
            await asyncio.sleep(PROGRESS_INTERVAL_S)
    await send_task
    await deployment.stop()
    return traffic.statistics_by_service


def _print_summary(
    spec: DeploymentSpec,
    statistics_by_service: dict[ServiceId, ServiceStatistics],
    console: Console,
) -> None:
    table = Table(title=f"{spec.name}: {spec.entries} entry instances")
    for heading in (
        "service",
        "sent",
        "answered",
        "coverage",
        "p50 ms",
        "p99 ms",
        "refused",
    ):
        table.add_column(heading, justify="left" if heading == "service" else "right")
    for service, statistics in statistics_by_service.items():
        refusals = ", ".join(
            f"{code} {count}" for code, count in statistics.refusals.items()
        )
        table.add_row(
            service,
            str(statistics.sent),
            str(statistics.answered),
            f"{statistics.coverage:.4f}",
            f"{statistics.get_latency_ms(50):.1f}",
            f"{statistics.get_latency_ms(99):.1f}",
            refusals or "none",
        )
    console.print(table)


if __name__ == "__main__":
    run()
