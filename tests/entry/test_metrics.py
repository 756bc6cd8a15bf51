"""Guards against misleading metric values and unbounded label sets."""

from __future__ import annotations

import random

import msgspec

from skylarkcart.clock import ManualClock
from skylarkcart.config import encode_rows
from skylarkcart.declarations import Configuration, ZoneRow
from skylarkcart.entry import Settings
from skylarkcart.entry._gauges import update_gauges
from skylarkcart.entry._metrics import MAX_ACCOUNT_LABELS, OTHER_ACCOUNTS, Metrics
from skylarkcart.entry._state import InstanceState
from skylarkcart.types import AccountId, ZoneId, ZoneState

SETTINGS = Settings(
    instance="entry-1",
    zone="zone-a",
    address="127.0.0.1:0",
    peer_address="127.0.0.1:0",
    platform_url="http://127.0.0.1:1",
    fleet_secret="s" * 32,
)


def build_state(*zones):
    state = InstanceState(
        settings=SETTINGS,
        incarnation="entry-1-1",
        peer_address="127.0.0.1:1",
        clock=ManualClock(),
        random=random.Random(1),
    )
    table = Configuration(
        revision=1, max_instances=1, accounts=(), services=(), zones=zones, keys=()
    )
    state.offer_configuration(encode_rows(table))
    return state


def read_sample(state, name, /, **labels):
    update_gauges(state)
    return state.metrics.registry.get_sample_value(f"skylarkcart_{name}", labels)


def count_members(state, zone, member_state="alive"):
    return read_sample(state, "members", member_zone=zone, state=member_state)


def test_zone_without_a_member_is_shown_unless_it_is_removed():
    row = ZoneRow(zone=ZoneId("zone-b"), state=ZoneState.CLOSED)
    removed = msgspec.structs.replace(row, zone="zone-c", state=ZoneState.REMOVED)
    state = build_state(ZoneRow(zone=ZoneId("zone-a")), row, removed)
    assert count_members(state, "zone-a") == 1
    assert count_members(state, "zone-b") == 0
    assert count_members(state, "zone-c") is None


def test_draining_instance_shows_itself_as_leaving():
    state = build_state(ZoneRow(zone=ZoneId("zone-a")))
    state.lifecycle.begin_drain(state.now)
    assert read_sample(state, "lifecycle_state", state="draining") == 1
    assert read_sample(state, "lifecycle_state", state="ready") == 0
    assert count_members(state, "zone-a", "leaving") == 1


def test_platform_never_reached_is_not_shown_as_a_recent_contact():
    state = build_state()
    assert read_sample(state, "platform_contact_age_seconds") == float("inf")
    state.fleet.platform_contact.observe_read(asked_at=state.now - 1500)
    assert read_sample(state, "platform_contact_age_seconds") == 1.5


def test_many_accounts_do_not_grow_the_label_set():
    metrics = Metrics()
    for number in range(MAX_ACCOUNT_LABELS + 5):
        metrics.count_account(AccountId(f"account-{number}"), "ok")
    labels = {"account": OTHER_ACCOUNTS, "code": "ok"}
    name = "skylarkcart_account_requests_total"
    assert metrics.registry.get_sample_value(name, labels) == 5
