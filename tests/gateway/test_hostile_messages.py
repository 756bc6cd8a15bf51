"""Malformed and hostile messages from callers, the store and peers.

Each message costs at most itself: no error leaves its handler, and no value in it
stays in force longer than the values of a peer that became silent. ``HOSTILE_MESSAGES``
sets the number of messages of each test.
"""

from __future__ import annotations

import asyncio
import json
import os
import random

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings, strategies

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.fleet import Member, Report, decode_report, encode_report
from skylarkcart.gateway._caller_connection import CallerConnection
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._peers import PeerLink, decode_state
from skylarkcart.gateway._requests import RequestService
from skylarkcart.platform._store_items import decode_items
from skylarkcart.published import StoredItem
from skylarkcart.registry import Published
from skylarkcart.types import SlowCall, Spending
from tests.gateway.deployment import build_settings
from tests.gateway.standins import API_KEY, StoreStandin, build_configuration

MESSAGES = int(os.environ.get("HOSTILE_MESSAGES", "200"))
SILENCE_MS = 30_000.0

many_messages = settings(
    max_examples=MESSAGES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)

numbers = strategies.one_of(
    strategies.sampled_from(
        [0.0, -1.0, 1.0, 1e18, -1e18, float("nan"), float("inf"), float("-inf")]
    ),
    strategies.floats(),
)
counts = strategies.one_of(
    strategies.sampled_from([0, -1, 1, 2**31, 2**63 - 1, 2**63, 2**64 - 1]),
    strategies.integers(-(2**63), 2**64 - 1),
)
eras = strategies.sampled_from([-1, 0, 1, 2, 2**63 - 1])
names = strategies.sampled_from(
    ["", "gateway-1", "gateway-2", "gateway-3", "zone-a", "zone-z", "x" * 300, "\x00"]
)
slow_calls = strategies.builds(
    SlowCall,
    upstream=names,
    ended_ago_ms=numbers,
    duration_ms=numbers,
    ratio=numbers,
)
members = strategies.builds(
    Member,
    instance=names,
    zone=names,
    incarnation=counts,
    host=names,
    sequence=counts,
    age_ms=numbers,
    revision=counts,
    is_leaving=strategies.booleans(),
    reaches_store=strategies.booleans(),
    spending=strategies.dictionaries(
        strategies.sampled_from(["museum", "other"]),
        strategies.builds(Spending, total=counts, earlier=counts),
        max_size=2,
    ),
    slow_calls=strategies.lists(slow_calls, max_size=2).map(tuple),
    lost_zones=strategies.lists(names, max_size=2).map(tuple),
    era=eras,
    kept_digest=eras,
    has_surveyed=strategies.booleans(),
)
reports = strategies.builds(
    Report,
    sender=members,
    sent_at_ms=numbers,
    echo_ms=numbers,
    confirmed_age_ms=numbers,
    wants_reply=strategies.booleans(),
    others=strategies.lists(members, max_size=3).map(tuple),
)
json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


class FakeTransport:
    """Collects what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.is_closed = False

    def sendto(self, data: bytes, address: object) -> None:
        self.sent.append(data)

    def write(self, data: bytes) -> None:
        self.sent.append(data)

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def write_eof(self) -> None:
        """The caller may still send."""

    def set_write_buffer_limits(self, *, high: int) -> None:
        """Everything is sent at once."""

    def pause_reading(self) -> None:
        """The data of a test arrives in any case."""

    def resume_reading(self) -> None:
        """See ``pause_reading``."""

    def get_extra_info(self, name: str) -> object:
        return ("127.0.0.1", 1)


def build_core(clock: ManualClock) -> Core:
    core = Core(
        settings=build_settings(StoreStandin()),
        clock=clock,
        random=random.Random(1),
        incarnation=1,
    )
    configuration = json.dumps(build_configuration()).encode()
    apply_items(core, [StoredItem(key="op/config", revision=1, value=configuration)])
    return core


def apply_items(core: Core, items: list[StoredItem]) -> None:
    changes = decode_items(items, on_error=lambda error: None)
    revision = max((item.revision for item in items), default=0)
    core.registry.apply_changes(changes, revision=revision, now=core.now)
    core.registry.confirm(core.now)
    core.apply_published_state()


def count_internal_errors(core: Core) -> float:
    (family,) = core.metrics.internal_errors.collect()
    return sum(s.value for s in family.samples if s.name.endswith("_total"))


def receive_report(core: Core, data: bytes) -> PeerLink:
    link = PeerLink(core=core, incarnation=1)
    link.connection_made(FakeTransport())
    link.datagram_received(data, ("127.0.0.1", 1))
    link.send_reports()
    link._update_peers()
    return link


def check_peers_are_forgotten(core: Core, clock: ManualClock, link: PeerLink) -> None:
    """A peer that became silent is removed, whatever its last report said."""
    assert count_internal_errors(core) == 0
    clock.advance(SILENCE_MS)
    link._update_peers()
    assert core.fleet.peers == {}
    assert core.registry.confirmed_at is None or core.registry.confirmed_at <= core.now


@many_messages
@given(reports)
def test_report_with_hostile_values(report: Report) -> None:
    clock = ManualClock(start=Millis(5_000))
    core = build_core(clock)
    link = receive_report(core, encode_report(report))
    check_peers_are_forgotten(core, clock, link)


@many_messages
@given(strategies.binary(max_size=200))
def test_datagram_of_any_bytes(data: bytes) -> None:
    clock = ManualClock(start=Millis(5_000))
    core = build_core(clock)
    check_peers_are_forgotten(core, clock, receive_report(core, data))


@many_messages
@given(json_values)
def test_datagram_of_other_messagepack(value: object) -> None:
    clock = ManualClock(start=Millis(5_000))
    core = build_core(clock)
    try:
        data = msgspec.msgpack.encode(value)
    except (OverflowError, UnicodeEncodeError):
        # MessagePack has no integers above 64 bits and no lone surrogates.
        return
    check_peers_are_forgotten(core, clock, receive_report(core, data))


def build_report(**fields: object) -> Report:
    member = {
        "instance": "gateway-2",
        "zone": "zone-a",
        "incarnation": 1,
        "host": "10.0.0.2",
        "sequence": 1,
        "age_ms": 0.0,
        "revision": 0,
        "is_leaving": False,
        "reaches_store": True,
        "spending": {},
    }
    sender = Member(**member | fields)
    return Report(
        sender=sender,
        sent_at_ms=1.0,
        echo_ms=-1.0,
        confirmed_age_ms=-1.0,
        wants_reply=False,
    )


@pytest.mark.parametrize("age_ms", [-1.0, -1e18, float("nan"), float("-inf"), 1e12])
def test_impossible_age_is_rejected(age_ms: float) -> None:
    """Such a member would never be removed and would count in the fleet's size."""
    with pytest.raises(InvalidValueError, match="age"):
        decode_report(encode_report(build_report(age_ms=age_ms)))


@pytest.mark.parametrize("rate", [-2.0, float("nan"), float("inf"), 1e300])
def test_impossible_request_rate_is_rejected(rate: float) -> None:
    """The others would take their part of the budgets for nothing."""
    with pytest.raises(InvalidValueError):
        decode_report(encode_report(build_report(requests_per_s=rate)))


def test_peer_that_lacks_the_state_that_it_states_is_not_asked_in_a_loop() -> None:
    clock = ManualClock(start=Millis(5_000))
    core = build_core(clock)
    data = encode_report(build_report(revision=2**62))
    link = receive_report(core, data)
    assert link.peer_has_state.is_set()
    core.fleet.record_missing_state("gateway-2", core.now)
    link.peer_has_state.clear()
    for sequence in range(2, 12):
        clock.advance(150)
        report = build_report(revision=2**62, sequence=sequence)
        link.datagram_received(encode_report(report), ("10.0.0.2", 1))
    assert not link.peer_has_state.is_set()
    clock.advance(1_000)
    report = build_report(revision=2**62, sequence=20)
    link.datagram_received(encode_report(report), ("10.0.0.2", 1))
    assert link.peer_has_state.is_set()


@many_messages
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["op/config", "op/evacuate/zone-a", "servers/i-1", "servers/", "x", ""]
            ),
            strategies.integers(-5, 2**62),
            strategies.none()
            | strategies.binary(max_size=40)
            | json_values.map(lambda v: json.dumps(v).encode()),
        ),
        max_size=4,
    )
)
def test_store_items_with_hostile_values(items) -> None:
    core = build_core(ManualClock(start=Millis(5_000)))
    apply_items(
        core,
        [StoredItem(key=key, revision=rev, value=value) for key, rev, value in items],
    )
    exercise(core)


HOSTILE_ENTRY = {
    "service": strategies.sampled_from(["desk", "shard-1", "", "none"]),
    "address": strategies.sampled_from(["10.0.0.1:80", "10.0.0.1:0", "x", ":1", ""]),
    "zone": strategies.sampled_from(["zone-a", "zone-z", ""]),
    "slots": strategies.integers(-(2**70), 2**70),
    "state": strategies.sampled_from(["ready", "draining", "gone", ""]),
    "coldLeftMs": strategies.floats(allow_nan=False, allow_infinity=False),
    "born": strategies.none() | strategies.integers(-(2**70), 2**70),
}


@many_messages
@given(strategies.fixed_dictionaries(HOSTILE_ENTRY))
def test_upstream_entry_with_hostile_values(entry) -> None:
    core = build_core(ManualClock(start=Millis(5_000)))
    value = json.dumps(entry).encode()
    apply_items(core, [StoredItem(key="servers/i-1", revision=5, value=value)])
    exercise(core)


@many_messages
@given(
    strategies.sampled_from(["timeoutMs", "targetLatencyMs", "maxAttempts", "topK"])
    | strategies.sampled_from(["minCoverage", "priority", "gather", "split", "kind"]),
    json_values,
)
def test_configuration_with_a_hostile_field(field: str, value: object) -> None:
    core = build_core(ManualClock(start=Millis(5_000)))
    document = build_configuration(version=2)
    document["routes"][0][field] = value
    data = json.dumps(document).encode()
    apply_items(core, [StoredItem(key="op/config", revision=5, value=data)])
    exercise(core)


@many_messages
@given(strategies.binary(max_size=60), json_values, counts, numbers)
def test_transferred_state_with_hostile_values(data, value, count, number) -> None:
    core = build_core(ManualClock(start=Millis(5_000)))
    whole = msgspec.to_builtins(core.registry.build_published(since=0, now=core.now))
    for field in whole:
        try:
            hostile = msgspec.msgpack.encode(whole | {"revision": 9, field: value})
            published = msgspec.msgpack.decode(hostile, type=Published)
        except (msgspec.DecodeError, OverflowError, UnicodeEncodeError):
            continue
        core.registry.adopt(published, core.now)
        core.registry.confirm_adopted(published, requested_at=core.now)
        assert 0 <= core.registry.get_age_ms(core.now)
        core.apply_published_state()
        exercise(core)


def test_nested_state_is_rejected_like_any_malformed_one() -> None:
    """Any other error would end the task that fetches state from peers."""
    nested = b"\x81\xa6labels" + b"\x91" * 3_000 + b"\xc0"
    with pytest.raises(InvalidValueError):
        decode_state(nested)


def exercise(core: Core) -> None:
    """Runs what the maintenance and reports do with the published state."""
    now = core.now
    core.registry.remove_expired(now)
    core.probe_unreachable()
    core.log_zone_reachability()
    core.update_cold_call_rates()
    core.find_unready_reason(now)
    core.registry.build_published(since=1, now=now)
    for service in ("desk", "shard-1", "shard-2"):
        core.choose_replica(service, typical_ms=10.0, tried=[])


def receive_from_caller(pieces: list[bytes]) -> tuple[Core, FakeTransport]:
    async def run() -> tuple[Core, FakeTransport]:
        core = build_core(ManualClock(start=Millis(5_000)))
        connection = CallerConnection(
            service=RequestService(core=core), on_connection_lost=lambda c: None
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        for piece in pieces:
            connection.data_received(piece)
        connection.connection_lost(None)
        return core, transport

    return asyncio.run(run())


@many_messages
@given(strategies.lists(strategies.binary(max_size=120), max_size=4))
def test_caller_sends_any_bytes(pieces: list[bytes]) -> None:
    core, _ = receive_from_caller(pieces)
    assert count_internal_errors(core) == 0
    assert core.lifecycle.running == 0


@many_messages
@given(
    strategies.sampled_from(["GET", "POST", "HEAD", "OPTIONS", "CONNECT"]),
    strategies.sampled_from(
        ["/read/x", "/search/x", "*", "//", "/read/%00", "/" + "x" * 3_000]
    ),
    strategies.sampled_from(["inf", "nan", "-1", "1e400", "", "0", "9" * 400, "x"]),
    strategies.sampled_from(["r1", "\xff\xfe", "x" * 2_000, ""]),
    strategies.sampled_from(["search.example", ":", "[::1]:80", ""]),
    strategies.sampled_from(["keep-alive", "close", "upgrade\r\nUpgrade: h2c"]),
)
def test_caller_sends_hostile_headers(
    method, target, time_left, request, host, connection
) -> None:
    """Each complete request gets exactly one response."""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request}\r\n"
        f"X-Api-Key: {API_KEY}\r\nDeadline-Ms: {time_left}\r\n"
        f"Connection: {connection}\r\n\r\n"
    )
    core, transport = receive_from_caller([head.encode("latin-1")])
    assert count_internal_errors(core) == 0
    assert core.lifecycle.running == 0
    assert b"".join(transport.sent).count(b"HTTP/1.1 ") == 1
