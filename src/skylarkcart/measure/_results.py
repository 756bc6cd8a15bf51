"""Results of scenarios and their JSON file."""

from __future__ import annotations

import enum
import pathlib

import msgspec


class Comparison(enum.Enum):
    """Whether the bound of a target is an upper or a lower limit."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A bound from the design page and the measured value.

    ``measured`` is None if the run produced no value; such a target is not met.
    """

    name: str
    comparison: Comparison
    bound: float
    measured: float | None
    met: bool


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """Points of a plot. ``x`` holds seconds or categories."""

    label: str
    x: tuple[float | str, ...]
    y: tuple[float, ...]


class Plot(msgspec.Struct, frozen=True, kw_only=True):
    """One plot of the report. ``style`` is ``line`` or ``bar``."""

    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]
    style: str = "line"


class ScenarioResult(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements of one run of a scenario.

    ``figures`` are those of the system, ``baseline`` those of the baseline in the same
    run. ``conditions`` describe the setup and how it was scaled down.
    """

    scenario: str
    seed: int
    duration_factor: float
    figures: dict[str, float]
    baseline: dict[str, float]
    targets: tuple[Target, ...]
    conditions: tuple[str, ...] = ()
    plots: tuple[Plot, ...] = ()

    @property
    def missed_targets(self) -> tuple[Target, ...]:
        return tuple(target for target in self.targets if not target.met)


def at_most(name: str, bound: float, measured: float | None) -> Target:
    """Returns a target with an upper limit."""
    met = measured is not None and measured <= bound
    return _build_target(name, Comparison.AT_MOST, bound, measured, met)


def at_least(name: str, bound: float, measured: float | None) -> Target:
    """Returns a target with a lower limit."""
    met = measured is not None and measured >= bound
    return _build_target(name, Comparison.AT_LEAST, bound, measured, met)


def _build_target(
    name: str, comparison: Comparison, bound: float, measured: float | None, met: bool
) -> Target:
    return Target(
        name=name, comparison=comparison, bound=bound, measured=measured, met=met
    )


def write_results(path: pathlib.Path, results: tuple[ScenarioResult, ...]) -> None:
    """Writes a single result as a JSON object and several results as an array."""
    value = results[0] if len(results) == 1 else results
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=2))
