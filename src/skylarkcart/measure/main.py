"""``skylarkcart-measure`` runs benchmark scenarios on the system and a baseline.

Usage::

    skylarkcart-measure list
    skylarkcart-measure SCENARIO [--seed N] [--json FILE]
    skylarkcart-measure all --report DIR [--seed N]
    skylarkcart-measure capacity [--json FILE]

Entry instances, stand-ins and callers run in one process and communicate over loopback.
Each target is printed with its bound, the measured value and whether it is met. The
exit code is 0 after a run, even if targets are missed, 1 if a target is missed and
``--fail_on_miss`` is set, and 2 for bad input.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
from collections.abc import Sequence

from absl import flags, logging
from rich.console import Console
from rich.table import Table

from skylarkcart.measure._capacity import measure_capacity
from skylarkcart.measure._report import write_report
from skylarkcart.measure._results import ScenarioResult, write_results
from skylarkcart.measure._scenarios import SCENARIOS, Scenario, find_scenario
from skylarkcart.measure._testbed import RunContext

EXIT_TARGET_MISSED = 1
EXIT_BAD_INPUT = 2
HELP_FLAGS = frozenset(("-h", "-help", "--help"))
CAPACITY = Scenario(
    name="capacity",
    description="resource use by size, for capacity planning",
    run=measure_capacity,
)
COMMANDS = ("list", "all", CAPACITY.name)

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the callers and the stand-ins.")
_JSON = flags.DEFINE_string("json", None, "File for the results as JSON.")
_REPORT = flags.DEFINE_string("report", None, "Directory for the report.")
_DURATION_FACTOR = flags.DEFINE_float(
    "duration_factor",
    1.0,
    "Multiplies the duration of every stage.",
    lower_bound=0.01,
    upper_bound=1000.0,
)
_FAIL_ON_MISS = flags.DEFINE_bool(
    "fail_on_miss", False, "Exit with 1 when a target is missed."
)


def run() -> None:
    """Entry point of the console script."""
    # app.run would exit with 1 for --help and for an invalid flag.
    if HELP_FLAGS.intersection(sys.argv[1:]):
        module = flags.FLAGS.find_module_defining_flag(_SEED.name)
        print(f"{__doc__}\nFlags:{flags.FLAGS.module_help(module)}")
        return
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        _exit_bad_input(str(error))
    logging.use_absl_handler()
    main(arguments)


def main(arguments: Sequence[str]) -> None:
    command = _read_command(arguments)
    logging.set_verbosity(logging.FATAL)
    console = Console(stderr=True)
    if command == "list":
        for scenario in SCENARIOS:
            print(f"{scenario.name:20} {scenario.description}")
        return
    results: tuple[ScenarioResult, ...] = ()
    for scenario in _select_scenarios(command):
        results += (_run_one(scenario, console),)
        # Written after each scenario, so that a later failure keeps these results.
        _write(results)
    if _FAIL_ON_MISS.value and any(result.missed_targets for result in results):
        sys.exit(EXIT_TARGET_MISSED)


def _read_command(arguments: Sequence[str]) -> str:
    expected = ", ".join((*COMMANDS, *(scenario.name for scenario in SCENARIOS)))
    if len(arguments) < 2:
        _exit_bad_input(f"the scenario is missing, expected one of: {expected}")
    if len(arguments) > 2:
        _exit_bad_input(f"unexpected argument {arguments[2]!r}, expected only flags")
    command = arguments[1]
    if command not in COMMANDS and find_scenario(command) is None:
        _exit_bad_input(f"scenario {command!r} is unknown, expected one of: {expected}")
    if command == "all" and _REPORT.value is None:
        _exit_bad_input("flag --report is missing, expected a directory")
    return command


def _exit_bad_input(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)


def _select_scenarios(command: str) -> tuple[Scenario, ...]:
    if command == "capacity":
        return (CAPACITY,)
    found = find_scenario(command)
    return SCENARIOS if found is None else (found,)


def _write(results: tuple[ScenarioResult, ...]) -> None:
    try:
        if _JSON.value is not None:
            write_results(pathlib.Path(_JSON.value), results)
        if _REPORT.value is not None:
            write_report(pathlib.Path(_REPORT.value), results)
    except OSError as error:
        path = error.filename or _JSON.value or _REPORT.value
        _exit_bad_input(f"{path!r} can't be written: {error.strerror}")


def _run_one(scenario: Scenario, console: Console) -> ScenarioResult:
    name = scenario.name
    with console.status(name) as status:

        def report_progress(line: str) -> None:
            status.update(f"{name}: {line}")
            if not console.is_terminal:
                print(f"{name}: {line}", file=sys.stderr)

        context = RunContext(
            seed=_SEED.value,
            duration_factor=_DURATION_FACTOR.value,
            report_progress=report_progress,
        )
        result = asyncio.run(scenario.run(context))
    _print_result(result)
    return result


def _print_result(result: ScenarioResult) -> None:
    console = Console()
    table = Table(title=f"{result.scenario}, seed {result.seed}")
    for heading in ("figure", "system", "baseline"):
        table.add_column(heading, justify="left" if heading == "figure" else "right")
    names = [*result.figures, *(n for n in result.baseline if n not in result.figures)]
    for name in names:
        table.add_row(
            name,
            _format_value(result.figures.get(name)),
            _format_value(result.baseline.get(name)),
        )
    console.print(table)
    for target in result.targets:
        sign = "<=" if target.comparison.value == "at_most" else ">="
        console.print(
            f"{'met   ' if target.met else 'MISSED'} {target.name} "
            f"{_format_value(target.measured)} (target {sign} {target.bound:g})",
            style="green" if target.met else "red",
            highlight=False,
        )


def _format_value(value: float | None) -> str:
    return "-" if value is None else f"{value:.5g}"


if __name__ == "__main__":
    run()
