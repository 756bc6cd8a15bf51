"""Guards against encoding a wrong value and against hiding a failure."""

from __future__ import annotations

import pytest

from skylarkcart.config import MAX_VALUE_BYTES, decode_configuration, read_declarations
from skylarkcart.keys import KeyDirectory
from skylarkcart.table.main import main


@pytest.fixture
def declarations(tmp_path):
    return write_declarations(tmp_path / "v7", revision=7, accounts=2)


def write_declarations(directory, *, revision, accounts, rate=10):
    directory.mkdir()
    (directory / "fleet.toml").write_text(f"revision = {revision}\nmax_instances = 9\n")
    names = [f"member-{index:04}" for index in range(accounts)]
    lines = [f"{name},{rate},20,1\n" for name in names]
    (directory / "accounts.csv").write_text(
        "account,rate_per_s,burst,share\n" + "".join(lines)
    )
    lines = [f"{name}-k,{name},{'0' * 32},{'a' * 64}\n" for name in names]
    (directory / "keys.csv").write_text(
        "key_id,account,salt,secret_sha256\n" + "".join(lines)
    )
    (directory / "zones.csv").write_text("zone\nzone-a\nzone-b\n")
    (directory / "services.csv").write_text(
        "service,slots,connections,connect_cost_ms,answer_by_ms,deadline_ms\n"
        "night-search,3,30,6,60,80\n"
    )
    return directory


def run_table(*arguments):
    return main(["skylarkcart-table", *map(str, arguments)])


def test_check_explain_and_help_succeed(declarations, capsys):
    assert run_table("check", declarations) == 0
    assert run_table("explain", declarations) == 0
    assert run_table("--help") == 0
    output = capsys.readouterr().out
    assert "2 accounts" in output
    assert "zone-a 5/s, zone-b 5/s" in output
    assert "encode DIR --output FILE" in output


def test_errors_and_invalid_usage_have_distinct_exit_codes(declarations, capsys):
    (declarations / "zones.csv").write_text("zone,weight\nzone-a,-1\n")
    assert run_table("check", declarations) == 1
    assert "zones.csv, row 2, column weight" in capsys.readouterr().err
    assert run_table() == run_table("publish", declarations) == 2
    assert run_table("check") == run_table("check", declarations, "--colour") == 2
    assert run_table("encode", declarations) == 2
    assert run_table("diff", declarations / "none", declarations / "none") == 1


def test_diff_fails_when_no_instance_would_adopt_the_change(declarations, tmp_path):
    newer = write_declarations(tmp_path / "v8", revision=8, accounts=2, rate=20)
    same = write_declarations(tmp_path / "same", revision=7, accounts=2, rate=20)
    assert run_table("diff", declarations, newer) == 0
    assert run_table("diff", declarations, same) == 1


@pytest.mark.parametrize(("accounts", "form"), [(2, "JSON rows"), (5000, "compact")])
def test_encoded_value_is_within_the_platforms_limit(tmp_path, capsys, accounts, form):
    directory = write_declarations(tmp_path / "v7", revision=7, accounts=accounts)
    output = tmp_path / "value"
    assert run_table("encode", directory, "--output", output) == 0
    assert form in capsys.readouterr().out
    assert output.stat().st_size <= MAX_VALUE_BYTES
    configuration = read_declarations(directory)
    assert decode_configuration(output.read_bytes()) == configuration
    assert run_table("diff", output, directory) == 0


def test_new_key_is_accepted_once_its_row_is_published(declarations, capsys):
    assert run_table("new-key", "member-0001") == 0
    shown, row = capsys.readouterr().out.splitlines()
    token, row = shown.split(": ")[1], row.split(": ")[1]
    with (declarations / "keys.csv").open("a") as file:
        file.write(row + "\n")
    directory = KeyDirectory(keys=read_declarations(declarations).keys)
    assert directory.authenticate(f"Bearer {token}").account == "member-0001"
    assert token.split(".")[1] not in row
    assert run_table("new-key", "Not A Name") == 1
