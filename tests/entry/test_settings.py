"""Guards against instances that start with invalid settings."""

from __future__ import annotations

import pytest

from skylarkcart.entry import read_settings
from skylarkcart.entry.main import main
from skylarkcart.errors import InvalidValueError

VALID = {
    "instance": '"entry-1"',
    "zone": '"zone-a"',
    "address": '"127.0.0.1:0"',
    "peer_address": '"127.0.0.1:0"',
    "platform_url": '"http://127.0.0.1:8500"',
    "fleet_secret": f'"{"s" * 32}"',
}

INVALID = [
    ("instance", '"a b"', "'a b'"),
    ("instance", "7", "str"),
    ("zone", '""', "zone"),
    ("address", '"localhost:80"', "localhost:80"),
    ("address", '"10.0.0.1:70000"', "10.0.0.1:70000"),
    ("peer_address", '"10.0.0.300:80"', "10.0.0.300:80"),
    ("platform_url", '"ftp://x"', "ftp://x"),
    ("fleet_secret", '"short"', "5 characters"),
    ("linger_ms", "-1.0", "-1.0"),
    ("log_level", '"loud"', "loud"),
    ("colour", '"blue"', "colour"),
    ("instance", None, "instance"),
    ("instance", '"unterminated', "settings"),
]


def write_settings(tmp_path, **changes):
    lines = []
    for name, value in (VALID | changes).items():
        if value is not None:
            lines.append(f"{name} = {value}")
    path = tmp_path / "entry.toml"
    path.write_text("\n".join(lines))
    return path


def test_valid_settings_are_read(tmp_path):
    assert read_settings(write_settings(tmp_path)).zone == "zone-a"


@pytest.mark.parametrize(("name", "value", "quoted"), INVALID)
def test_broken_settings_quote_the_value(tmp_path, name, value, quoted):
    path = write_settings(tmp_path, **{name: value})
    with pytest.raises((InvalidValueError, ExceptionGroup)) as caught:
        read_settings(path)
    assert quoted in str(caught.value)


def test_all_errors_are_reported_together(tmp_path):
    path = write_settings(tmp_path, instance='"a b"', zone='"c d"')
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(path)
    assert len(caught.value.exceptions) == 2


def test_secret_is_not_in_errors(tmp_path):
    path = write_settings(tmp_path, zone='"z"\nbroken')
    with pytest.raises(InvalidValueError) as caught:
        read_settings(path)
    assert "s" * 32 not in str(caught.value)


def test_unexpected_argument_exits_with_2(capsys):
    with pytest.raises(SystemExit) as caught:
        main(["skylarkcart-entry", "extra"])
    assert caught.value.code == 2
    assert "'extra'" in capsys.readouterr().err
