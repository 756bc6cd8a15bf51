"""Writes a Markdown page with tables and plots of scenario results."""

from __future__ import annotations

import pathlib

import matplotlib

from skylarkcart.measure._results import Plot, ScenarioResult, Target, write_results

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

FIGURE_SIZE_INCHES = (9.0, 5.0)
DOTS_PER_INCH = 110
BAR_GROUP_WIDTH = 0.8
MAX_HORIZONTAL_LABELS = 8


def write_report(directory: pathlib.Path, results: tuple[ScenarioResult, ...]) -> None:
    """Writes ``index.md``, ``results.json`` and one PNG file per plot."""
    directory.mkdir(parents=True, exist_ok=True)
    write_results(directory / "results.json", results)
    lines = ["# Measurements", ""]
    for result in results:
        lines.extend(_render_result(directory, result))
    (directory / "index.md").write_text("\n".join(lines) + "\n")


def _render_result(directory: pathlib.Path, result: ScenarioResult) -> list[str]:
    """Saves the plots of a result and returns its section of the page."""
    command = f"skylarkcart-measure {result.scenario} --seed {result.seed}"
    if result.duration_factor != 1.0:
        command += f" --duration_factor {result.duration_factor:g}"
    lines = [f"## {result.scenario}", "", f"    {command}", ""]
    lines.extend(f"- {condition}" for condition in result.conditions)
    lines.extend(
        ("", "| target | bound | measured | met |", "| --- | --- | --- | --- |")
    )
    lines.extend(_format_target(target) for target in result.targets)
    lines.extend(("", "| figure | system | baseline |", "| --- | --- | --- |"))
    names = dict.fromkeys((*result.figures, *result.baseline))
    for name in names:
        system = _format_value(result.figures.get(name))
        baseline = _format_value(result.baseline.get(name))
        lines.append(f"| {name} | {system} | {baseline} |")
    lines.append("")
    for number, plot in enumerate(result.plots, start=1):
        name = f"{result.scenario}-{number}.png"
        _save_plot(directory / name, plot)
        lines.extend((f"![{plot.title}]({name})", ""))
    return lines


def _format_target(target: Target) -> str:
    sign = "≤" if target.comparison.value == "at_most" else "≥"
    met = "yes" if target.met else "**no**"
    return (
        f"| {target.name} | {sign} {target.bound:g} | {_format_value(target.measured)} "
        f"| {met} |"
    )


def _format_value(value: float | None) -> str:
    return "–" if value is None else f"{value:.5g}"


def _save_plot(path: pathlib.Path, plot: Plot) -> None:
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES, dpi=DOTS_PER_INCH)
    if plot.style == "bar":
        _draw_bars(axes, plot)
    else:
        for series in plot.series:
            axes.plot(series.x, series.y, marker=".", label=series.label)
    axes.set_title(plot.title)
    axes.set_xlabel(plot.x_label)
    axes.set_ylabel(plot.y_label)
    axes.set_ylim(bottom=0)
    axes.grid(True, axis="y", alpha=0.3)
    if len(plot.series) > 1:
        axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _draw_bars(axes: pyplot.Axes, plot: Plot) -> None:
    labels = list(dict.fromkeys(x for series in plot.series for x in series.x))
    width = BAR_GROUP_WIDTH / max(1, len(plot.series))
    for number, series in enumerate(plot.series):
        offset = (number - (len(plot.series) - 1) / 2) * width
        positions = [labels.index(x) + offset for x in series.x]
        axes.bar(positions, series.y, width=width, label=series.label)
    axes.set_xticks(
        range(len(labels)),
        labels,
        rotation=45 if len(labels) > MAX_HORIZONTAL_LABELS else 0,
        ha="right" if len(labels) > MAX_HORIZONTAL_LABELS else "center",
    )
