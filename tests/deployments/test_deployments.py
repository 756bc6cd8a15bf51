"""Checks that the example deployments match the program's formats and limits."""

from __future__ import annotations

import ipaddress
import re
import tomllib
from pathlib import Path

import msgspec
import pytest

from skylarkcart.config import MAX_VALUE_BYTES, encode_rows, read_declarations
from skylarkcart.entry import Settings, read_settings
from skylarkcart.keys import KeyDirectory

DEPLOYMENTS = Path(__file__).parents[2] / "deployments"
# Slots, connections and time per new connection in ms of each service, as the design
# specifies.
SERVICE_SIZES = {
    "association": {
        "night-search": (3, 30, 6),
        "newsletter": (3, 30, 6),
        "host-rosters": (2, 110, 1),
        "dues-billing": (2, 110, 1),
    },
    "empresa": {
        "inspection": (2, 25, 6),
        "notarial": (2, 25, 6),
        "licences": (4, 45, 1),
        "sanctions": (4, 45, 1),
    },
}


@pytest.mark.parametrize("name", SERVICE_SIZES)
def test_declarations_are_valid_and_have_the_specified_sizes(name):
    table = read_declarations(DEPLOYMENTS / name)
    sizes = {
        row.service: (row.slots, row.connections, row.connect_cost_ms)
        for row in table.services
    }
    assert sizes == SERVICE_SIZES[name]
    assert len(table.accounts) == 8 and len(table.zones) == 4
    assert all(row.connections >= table.max_instances for row in table.services)
    assert len(encode_rows(table)) <= MAX_VALUE_BYTES


@pytest.mark.parametrize("name", SERVICE_SIZES)
def test_every_account_has_a_key_that_is_marked_as_test_only(name):
    table = read_declarations(DEPLOYMENTS / name)
    directory = KeyDirectory(keys=table.keys)
    owners = set()
    for row in table.keys:
        assert row.key_id.startswith("test-")
        header = f"Bearer {row.key_id}.for-tests-only-{row.key_id}"
        owners.add(directory.authenticate(header).account)
    assert owners == {row.account for row in table.accounts}


@pytest.mark.parametrize("name", SERVICE_SIZES)
def test_instance_settings_match_the_declarations(name):
    settings = tomllib.loads((DEPLOYMENTS / name / "entry.toml").read_text())
    assert settings.keys() == {
        "instance",
        "zone",
        "address",
        "peer_address",
        "platform_url",
        "fleet_secret",
        "seeds",
        "log_level",
    }
    zones = {row.zone for row in read_declarations(DEPLOYMENTS / name).zones}
    assert settings["zone"] in zones
    assert settings["fleet_secret"].startswith("for-tests-only-")
    for address in (settings["address"], settings["peer_address"], *settings["seeds"]):
        host, _, port = address.partition(":")
        assert ipaddress.ip_address(host) and 0 < int(port) < 65536


@pytest.mark.parametrize("name", SERVICE_SIZES)
def test_instance_settings_are_read_by_the_program(name):
    settings = read_settings(DEPLOYMENTS / name / "entry.toml")
    assert settings.instance and settings.seeds


def test_every_setting_is_documented_with_its_default(tmp_path):
    text = (DEPLOYMENTS / "empresa" / "entry.toml").read_text()
    paragraphs = [paragraph.splitlines() for paragraph in text.split("\n\n")[1:]]
    documented_settings = {
        lines[-1].lstrip("#").split(" = ")[0]
        for lines in paragraphs
        if all(line.startswith("# ") for line in lines[:-1]) and len(lines) > 1
    }
    assert documented_settings == {
        field.name for field in msgspec.structs.fields(Settings)
    }
    path = tmp_path / "entry.toml"
    path.write_text(re.sub(r"^#(?! )", "", text, flags=re.MULTILINE))
    assert read_settings(path) == read_settings(DEPLOYMENTS / "empresa" / "entry.toml")
