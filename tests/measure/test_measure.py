"""Guards against a measurement tool that reports wrong results or hides a miss."""

from __future__ import annotations

import msgspec
import pytest
from absl import flags as absl_flags
from absl.testing import flagsaver

from skylarkcart.measure import main as command
from skylarkcart.measure._capacity import fit_line
from skylarkcart.measure._rate_limit import IdealTokenBucket, compute_excess_tokens
from skylarkcart.measure._results import (
    ScenarioResult,
    at_least,
    at_most,
    write_results,
)
from skylarkcart.measure._scenarios import SCENARIOS, find_scenario

SHORT = ("stragglers", "filing_faults")


@pytest.fixture
def flags(tmp_path):
    absl_flags.FLAGS.mark_as_parsed()
    with flagsaver.flagsaver(seed=3, duration_factor=0.05):
        yield


@pytest.mark.parametrize("name", SHORT)
def test_json_holds_figures_baseline_and_targets(flags, tmp_path, name):
    path = tmp_path / "out.json"
    with flagsaver.flagsaver(json=str(path)):
        command.main(["skylarkcart-measure", name])
    result = msgspec.json.decode(path.read_bytes(), type=ScenarioResult)
    assert (result.scenario, result.seed) == (name, 3)
    assert result.figures.keys() == result.baseline.keys()
    assert result.targets and result.conditions
    for target in result.targets:
        assert target.measured == result.figures[target.name]
        is_met = (
            target.measured <= target.bound
            if target.comparison.value == "at_most"
            else target.measured >= target.bound
        )
        assert target.met == is_met
    if name == "filing_faults":
        # The baseline duplicates filings; a tool that misses it would pass any system.
        assert result.baseline["doubled_filings"] > 0
        assert result.baseline["false_not_run"] > 0


def test_missed_target_is_reported_and_fails_on_request(
    flags, tmp_path, monkeypatch, capsys
):
    async def run_with_missed_targets(context):
        targets = (at_most("p99_ratio", 1.3, 9.0), at_least("coverage_mean", 0.9, None))
        return ScenarioResult(
            scenario="stragglers",
            seed=context.seed,
            duration_factor=1.0,
            figures={"p99_ratio": 9.0},
            baseline={},
            targets=targets,
        )

    scenario_with_misses = msgspec.structs.replace(
        find_scenario("stragglers"), run=run_with_missed_targets
    )
    monkeypatch.setattr(command, "find_scenario", lambda name: scenario_with_misses)
    with flagsaver.flagsaver(report=str(tmp_path), fail_on_miss=True):
        with pytest.raises(SystemExit) as caught:
            command.main(["skylarkcart-measure", "stragglers"])
    assert caught.value.code == 1
    assert "MISSED p99_ratio 9 (target <= 1.3)" in capsys.readouterr().out
    assert "| p99_ratio | ≤ 1.3 | 9 | **no** |" in (tmp_path / "index.md").read_text()


@pytest.mark.parametrize(
    ("arguments", "quoted"),
    [
        (["nonsense"], "'nonsense'"),
        ([], "missing"),
        (["stragglers", "extra"], "'extra'"),
        (["all"], "--report"),
    ],
)
def test_bad_input_exits_with_2_and_names_the_scenarios(
    flags, capsys, arguments, quoted
):
    with pytest.raises(SystemExit) as caught:
        command.main(["skylarkcart-measure", *arguments])
    message = capsys.readouterr().err
    assert caught.value.code == 2 and quoted in message
    if quoted in ("'nonsense'", "missing"):
        assert all(scenario.name in message for scenario in SCENARIOS)


def test_flag_of_wrong_type_exits_with_2_and_quotes_it(monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["skylarkcart-measure", "list", "--seed=many"])
    with pytest.raises(SystemExit) as caught:
        command.run()
    assert caught.value.code == 2 and "many" in capsys.readouterr().err


def test_slopes_can_be_written_as_json():
    # msgspec can't encode numpy's float types.
    line = fit_line((1, 2, 4), (3.0, 5.0, 9.0))
    assert msgspec.json.decode(msgspec.json.encode(line), type=type(line)) == line
    assert (round(line.slope, 9), round(line.residual_ratio, 9)) == (2.0, 0.0)


def test_unwritable_file_is_bad_input(flags, tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(OSError):
        write_results(tmp_path / "file" / "out.json", ())


def test_excess_tokens_are_found_over_any_interval():
    # A check of whole seconds would miss a burst across the boundary between two.
    within = [number * 0.1 for number in range(50)]
    assert compute_excess_tokens(within, rate_per_s=10, burst=5) == 0
    assert compute_excess_tokens([0.95] * 4 + [1.05] * 4, rate_per_s=10, burst=5) == 2


def test_ideal_bucket_refuses_above_rate_and_burst():
    bucket = IdealTokenBucket(rate_per_s=2, burst=2)
    assert [bucket.try_spend(0.0) for _ in range(3)] == [True, True, False]
    assert bucket.try_spend(0.5)
