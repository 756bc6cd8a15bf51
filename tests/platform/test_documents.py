"""Decoding of the platform's documents and settings, and rejection of invalid ones."""

from __future__ import annotations

import json
import pathlib

import pytest

from skylarkcart.errors import InvalidValueError
from skylarkcart.platform._documents import decode_configuration, decode_upstream
from skylarkcart.platform._machine import read_machine_settings
from skylarkcart.platform._store_items import decode_items
from skylarkcart.published import StoredItem, UpstreamState
from skylarkcart.registry import (
    build_retention_bounds,
    build_upstream_key,
    build_zone_key,
)
from skylarkcart.types import UpstreamId, ZoneId
from tests.gateway.standins import build_configuration

ENTRY = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 4,
}

SETTINGS = """
nodeName = "front-1"
ip = "10.1.0.17"
zone = "zone-a"
internalPorts = [7740, 7755]
seeds = ["10.1.0.17:8360", "10.2.0.28:8360"]
heartbeatMs = 1200
somethingNew = 5
[zones]
zone-a = "region"
[listenAddrs]
front = "10.1.0.17:8363"
ready = "10.1.0.17:8364"
control = "10.1.0.17:8360"
[bounds]
revokeMs = 4000
revokeStrict = true
retryBudgetSlack = 56
[platform]
address = "10.200.1.7:8361"
"""


def test_configuration_is_decoded() -> None:
    document = build_configuration(7)
    document["routes"][1]["split"] = [
        {"service": "a", "weight": 3},
        {"service": "b", "weight": 1},
    ]
    del document["routes"][1]["service"]
    configuration = decode_configuration(json.dumps(document).encode())
    search, split, filing = configuration.routes
    assert configuration.version == 7
    assert search.gathering.shards == ("shard-1", "shard-2")
    assert [share.weight for share in split.shares] == [3, 1]
    assert split.is_idempotent and not filing.is_idempotent
    assert configuration.accounts[0].rate_per_s == 1_000


@pytest.mark.parametrize(
    ("change", "requires_keys"), [({}, True), ({"tenants": []}, True), (None, False)]
)
def test_keys_are_required_wherever_accounts_are_stated(
    change: dict | None, requires_keys: bool
) -> None:
    """An empty list of accounts was taken for a configuration without the field."""
    document = build_configuration(7)
    if change is None:
        del document["tenants"]
    configuration = decode_configuration(json.dumps(document | (change or {})).encode())
    assert configuration.requires_keys is requires_keys


def test_accounts_that_are_null_are_no_configuration() -> None:
    document = build_configuration(7) | {"tenants": None}
    with pytest.raises(InvalidValueError):
        decode_configuration(json.dumps(document).encode())


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"service": ""},
        {"service": 5},
        {"address": "10.0.0.9"},
        {"slots": "4"},
        {"born": 1.5},
        {"zone": None},
    ],
)
def test_entry_with_invalid_field_is_rejected(change: dict) -> None:
    data = json.dumps(ENTRY | change).encode()
    with pytest.raises(InvalidValueError):
        decode_upstream("servers/i-1", data)


def test_entry_with_missing_field_is_rejected() -> None:
    for field in set(ENTRY) - {"version", "sequence"}:
        data = json.dumps({k: v for k, v in ENTRY.items() if k != field}).encode()
        with pytest.raises(InvalidValueError):
            decode_upstream("servers/i-1", data)


def test_entry_is_decoded() -> None:
    data = json.dumps(ENTRY | {"state": "draining", "born": 17}).encode()
    entry = decode_upstream("servers/i-1", data)
    assert (entry.upstream, entry.address.port, entry.born_ms) == ("i-1", 8080, 17)
    assert entry.state is UpstreamState.DRAINING


def test_malformed_items_remove_entries_but_not_the_configuration() -> None:
    """A malformed write must neither keep a stale entry nor remove all routes."""
    errors: list[InvalidValueError] = []
    items = [
        StoredItem(key="op/config", revision=1, value=b"{"),
        StoredItem(key="servers/i-1", revision=2, value=b"\xff"),
        StoredItem(key="servers/i-2", revision=3, value=json.dumps(ENTRY).encode()),
        StoredItem(key="op/evacuate/zone-a", revision=4, value=b"{}"),
        StoredItem(key="op/evacuate/zone-b", revision=5, value=None),
        StoredItem(key="elsewhere/x", revision=6, value=b"{}"),
    ]
    changes = decode_items(items, on_error=errors.append)
    assert [change.key for change in changes] == [
        build_upstream_key(UpstreamId("i-1")),
        build_upstream_key(UpstreamId("i-2")),
        build_zone_key(ZoneId("zone-a")),
        build_zone_key(ZoneId("zone-b")),
    ]
    assert changes[0].value is None and changes[3].value is None
    assert len(errors) == 2


def test_machine_settings_are_read_and_unknown_fields_are_ignored(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = read_machine_settings(path)
    assert settings.seed_hosts == ("10.1.0.17", "10.2.0.28")
    assert settings.bounds.key_revocation_ms == 4_000
    assert not settings.is_first_start


def test_bounds_of_what_is_kept_come_from_the_settings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.toml"
    bounds = {"catchUpS": 6, "configApplyMs": 5_000, "evacuateMs": 4_000}
    bounds |= {"drainMs": 2_000, "maxStretchMs": 15_000}
    lines = "".join(f"{name} = {value}\n" for name, value in bounds.items())
    path.write_text(SETTINGS.replace("[bounds]\n", f"[bounds]\n{lines}"))
    kept = build_retention_bounds(read_machine_settings(path).bounds)
    assert kept.configuration_ms == 26_000
    assert kept.closed_zone_ms == 25_000
    assert kept.departure_ms == 8_000


def test_all_invalid_addresses_are_reported_together(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace(":8363", "").replace(":8361", ":x"))
    with pytest.raises(ExceptionGroup) as caught:
        read_machine_settings(path)
    text = " ".join(str(error) for error in caught.value.exceptions)
    assert "listenAddrs.front" in text and "platform.address" in text


@pytest.mark.parametrize("data", ["nodeName = 5", "[", ""])
def test_malformed_settings_are_rejected(tmp_path: pathlib.Path, data: str) -> None:
    path = tmp_path / "node.toml"
    path.write_text(data)
    with pytest.raises(InvalidValueError, match="valid settings"):
        read_machine_settings(path)
