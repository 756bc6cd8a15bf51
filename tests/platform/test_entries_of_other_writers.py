"""Guards against an entry that stops the decoding of all other entries.

Any process may write to the store. An entry that raised another error than a malformed
document usually does ended the reading of the store at every instance, for as long as
the entry existed: no later configuration, removal or evacuation took effect.
"""

from __future__ import annotations

import json

import msgspec
import pytest

from skylarkcart.clock import Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.platform._documents import decode_configuration
from skylarkcart.platform._machine import read_machine_settings
from skylarkcart.platform._store_items import decode_items
from skylarkcart.published import StoredItem
from skylarkcart.registry import build_upstream_key, build_zone_key
from skylarkcart.types import UpstreamId, ZoneId
from tests.gateway.standins import build_configuration
from tests.platform.test_documents import ENTRY
from tests.registry.test_registry import build_registry, transfer_state

NESTING = 1_500
NESTED = "[" * NESTING + "]" * NESTING

# More digits than Python converts to an integer.
DIGITS = "9" * 5_000


def encode_entry(**fields: object) -> bytes:
    return json.dumps(ENTRY | fields).encode()


def add_field(name: str, text: str) -> bytes:
    return encode_entry()[:-1] + f', "{name}": {text}}}'.encode()


HARMFUL_ENTRIES = {
    "nested in an unknown field": add_field("labels", NESTED),
    "nested in a known field": add_field("zone", NESTED),
    "nested document": NESTED.encode(),
    "nested objects": b'{"a":' * NESTING + b"1" + b"}" * NESTING,
    "port with thousands of digits": encode_entry(address=f"10.0.0.9:{DIGITS}"),
    "port of another script": encode_entry(address="10.0.0.9:٨٠x"),
    "no port": encode_entry(address="10.0.0.9:"),
    "name as host": encode_entry(address="a..b:80"),
    "NUL in host": encode_entry(address="10.0.0.9\0:80"),
    "short host": encode_entry(address="127.1:80"),
    "slots with thousands of digits": add_field("slots", DIGITS),
    "slots beyond 64 bits": encode_entry(slots=2**64),
    "slots beyond a float": encode_entry(slots=10**400),
    "start time beyond 64 bits": encode_entry(born=2**64),
    "unpaired surrogate": add_field("zone", r'"\ud800"'),
    "no UTF-8": encode_entry().replace(b"desk", b"\xff\xfe"),
    "zone that exceeds a datagram": encode_entry(zone="z" * 70_000),
    "service that exceeds a key": encode_entry(service="s" * 70_000),
    "empty": b"",
}


@pytest.mark.parametrize("value", HARMFUL_ENTRIES.values(), ids=HARMFUL_ENTRIES)
def test_entry_harms_only_itself(value: bytes) -> None:
    """Later changes must be applied and reach other instances."""
    errors: list[InvalidValueError] = []
    document = json.dumps(build_configuration(7)).encode()
    items = [
        StoredItem(key="servers/i-odd", revision=1, value=value),
        StoredItem(key="servers/i-1", revision=2, value=encode_entry()),
        StoredItem(key="op/config", revision=3, value=document),
    ]
    registry, other = build_registry(), build_registry()
    registry.apply_changes(
        decode_items(items, on_error=errors.append), revision=3, now=Millis(0)
    )
    assert transfer_state(registry, other, 0)
    for each in (registry, other):
        assert set(each.upstreams) == {"i-1"}
        assert each.configuration.version == 7
    assert [error.where.split(":")[0] for error in errors] == ["servers/i-odd"]
    assert len(str(errors[0])) < 1_000


def test_unforeseen_error_concerns_one_entry(monkeypatch) -> None:
    """A decoder that fails in a new way must not end the reading of the store."""

    def fail(key: str, data: bytes) -> None:
        raise ZeroDivisionError("a fault of the decoder")

    monkeypatch.setattr("skylarkcart.platform._store_items.decode_upstream", fail)
    errors: list[InvalidValueError] = []
    items = [
        StoredItem(key="servers/i-1", revision=1, value=encode_entry()),
        StoredItem(key="op/evacuate/zone-a", revision=2, value=b"{}"),
    ]
    changes = decode_items(items, on_error=errors.append)
    assert [change.key for change in changes] == [
        build_upstream_key(UpstreamId("i-1")),
        build_zone_key(ZoneId("zone-a")),
    ]
    assert changes[0].value is None
    assert "servers/i-1" in str(errors[0]) and "ZeroDivisionError" in str(errors[0])


@pytest.mark.parametrize(
    "value",
    [
        json.dumps(build_configuration(8))[:-1].encode()
        + b',"x":%b}' % NESTED.encode(),
        json.dumps(build_configuration(2**64)).encode(),
        json.dumps(build_configuration(-1)).encode(),
    ],
    ids=["nested", "version beyond 64 bits", "negative version"],
)
def test_harmful_configuration_leaves_the_current_one_in_force(value: bytes) -> None:
    errors: list[InvalidValueError] = []
    document = json.dumps(build_configuration(7)).encode()
    items = [
        StoredItem(key="op/config", revision=1, value=document),
        StoredItem(key="op/config", revision=2, value=value),
    ]
    registry = build_registry()
    registry.apply_changes(
        decode_items(items, on_error=errors.append), revision=2, now=Millis(0)
    )
    assert registry.configuration == decode_configuration(document)
    assert len(errors) == 1
    msgspec.msgpack.encode(registry.build_published(since=0, now=Millis(0)))


def test_nested_settings_are_rejected(tmp_path) -> None:
    """Settings change while the process runs; any other error would end the reload."""
    path = tmp_path / "settings.toml"
    path.write_text(f"labels = {NESTED}")
    with pytest.raises(InvalidValueError):
        read_machine_settings(path)
