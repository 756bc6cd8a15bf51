"""``skylarkcart-demo`` shows the whole path in one process.

It starts a stand-in platform, stand-in upstreams and entry instances for the shape of
each deployment, sends searches and filings, and prints a summary. The exit code is 0,
or 1 when a promise was broken.
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
from skylarkcart.demo._traffic import Tally, Traffic
from skylarkcart.standins import (
    DeploymentShape,
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
    broken = []
    for shape in (build_association(), build_empresa()):
        tallies = asyncio.run(_run_deployment(shape, console))
        _print_summary(shape, tallies, console)
        for tally in tallies.values():
            broken.extend(tally.broken)
    violations = invariants.read_violations()
    for invariant, count in violations.items():
        broken.append(f"{invariant.value} violated {count} times")
    for line in broken:
        console.print(f"broken promise: {line}", style="red", markup=False)
    console.print("every promise held" if not broken else "promises were broken")
    sys.exit(1 if broken else 0)


async def _run_deployment(
    shape: DeploymentShape, console: Console
) -> dict[ServiceId, Tally]:
    deployment = StandinDeployment(shape=shape, seed=_SEED.value)
    await deployment.start()
    await deployment.wait_for_coverage()
    traffic = Traffic(deployment=deployment, seed=_SEED.value)
    sending = asyncio.create_task(
        traffic.run(
            services=tuple(service.service for service in shape.services),
            requests=_REQUESTS.value,
            rate_per_s=_RATE.value,
        )
    )
    with Progress(console=console, transient=True) as progress:
        bar = progress.add_task(shape.name, total=_REQUESTS.value)
        while not sending.done():
            progress.update(bar, completed=traffic.sent)
            await asyncio.sleep(PROGRESS_INTERVAL_S)
    await sending
    await deployment.stop()
    return traffic.tallies


def _print_summary(
    shape: DeploymentShape, tallies: dict[ServiceId, Tally], console: Console
) -> None:
    table = Table(title=f"{shape.name}: {shape.entries} entry instances")
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
    for service, tally in tallies.items():
        refusals = ", ".join(f"{code} {n}" for code, n in tally.refusals.items())
        table.add_row(
            service,
            str(tally.sent),
            str(tally.answered),
            f"{tally.coverage:.4f}",
            f"{tally.read_latency_ms(50):.1f}",
            f"{tally.read_latency_ms(99):.1f}",
            refusals or "none",
        )
    console.print(table)


if __name__ == "__main__":
    run()
