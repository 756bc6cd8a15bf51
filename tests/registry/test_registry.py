"""Published state: order of revisions, lapsed entries, and transfer."""

from __future__ import annotations

import msgspec
import pytest

from skylarkcart.clock import Millis
from skylarkcart.published import (
    Address,
    CallerLimits,
    Configuration,
    UpstreamEntry,
    UpstreamState,
)
from skylarkcart.registry import (
    CONFIGURATION_KEY,
    Change,
    ClosedZone,
    Published,
    Registry,
    RetentionBounds,
    build_upstream_key,
    build_zone_key,
)
from skylarkcart.types import ServiceId, UpstreamId, ZoneId

RETENTION = RetentionBounds(
    configuration_ms=19_000.0, closed_zone_ms=21_000.0, departure_ms=7_000.0
)
FIRST = UpstreamId("i-1")
SECOND = UpstreamId("i-2")


def build_entry(
    upstream: UpstreamId, state: UpstreamState = UpstreamState.READY
) -> UpstreamEntry:
    return UpstreamEntry(
        upstream=upstream,
        service=ServiceId("search"),
        address=Address(host="10.0.0.1", port=80),
        zone=ZoneId("zone-a"),
        slots=3,
        state=state,
    )


def build_configuration(version: int) -> Configuration:
    limits = CallerLimits(
        max_header_bytes=100,
        max_body_bytes=100,
        header_timeout_ms=1.0,
        idle_timeout_ms=1.0,
    )
    return Configuration(
        version=version,
        routes=(),
        services=(),
        limits=limits,
        accounts=(),
        requires_keys=False,
    )


def put(upstream: UpstreamId, revision: int) -> Change:
    return Change(
        key=build_upstream_key(upstream), revision=revision, value=build_entry(upstream)
    )


def delete(upstream: UpstreamId, revision: int) -> Change:
    return Change(key=build_upstream_key(upstream), revision=revision, value=None)


def build_registry() -> Registry:
    return Registry(on_event=lambda event: None, retention=RETENTION)


def transfer_state(source: Registry, target: Registry, now: float) -> bool:
    published = source.build_published(since=target.revision, now=Millis(now))
    data = msgspec.msgpack.encode(published)
    return target.adopt(msgspec.msgpack.decode(data, type=Published), Millis(now))


def test_configuration_version_never_decreases() -> None:
    """A result that is read late must not restore an older configuration."""
    registry = build_registry()
    newer = Change(key=CONFIGURATION_KEY, revision=5, value=build_configuration(9))
    older = Change(key=CONFIGURATION_KEY, revision=6, value=build_configuration(7))
    registry.apply_changes([newer], revision=5, now=Millis(0))
    registry.apply_changes([older], revision=6, now=Millis(1))
    assert registry.configuration.version == 9


def test_repeated_changes_do_not_restore_a_removed_upstream() -> None:
    """Changes that a watch repeats after a range read must not undo a removal."""
    registry = build_registry()
    registry.apply_changes(
        [put(FIRST, 4), delete(FIRST, 7), put(SECOND, 5)], revision=7, now=Millis(0)
    )
    assert set(registry.upstreams) == {SECOND}


def test_removal_takes_effect_at_once_while_the_store_is_available() -> None:
    registry = build_registry()
    registry.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    registry.apply_changes([delete(FIRST, 2)], revision=2, now=Millis(10))
    assert not registry.upstreams


def test_entry_that_lapsed_in_a_store_outage_is_kept_for_two_seconds() -> None:
    """Dropping entries that lapse in an outage would lose upstreams that return."""
    registry = build_registry()
    registry.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    registry.record_store_outage(Millis(0))
    registry.record_store_response(Millis(5_000))
    registry.apply_snapshot([], revision=9, now=Millis(5_000))
    assert FIRST in registry.upstreams
    assert not registry.remove_expired(Millis(6_900))
    assert registry.remove_expired(Millis(7_000))
    assert not registry.upstreams


def test_restored_entry_is_not_removed() -> None:
    registry = build_registry()
    registry.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    registry.record_store_outage(Millis(0))
    registry.record_store_response(Millis(100))
    registry.apply_changes([delete(FIRST, 2)], revision=2, now=Millis(100))
    registry.apply_changes([put(FIRST, 3)], revision=3, now=Millis(900))
    assert not registry.remove_expired(Millis(9_000))
    assert FIRST in registry.upstreams


def test_lapsed_entry_expires_in_every_instance_that_received_it() -> None:
    """An expiry has no revision, so a transfer does not carry it to other instances."""
    reader, other = build_registry(), build_registry()
    reader.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    assert transfer_state(reader, other, 0)
    reader.record_store_outage(Millis(0))
    reader.record_store_response(Millis(1_000))
    reader.apply_changes([delete(FIRST, 2)], revision=2, now=Millis(1_000))
    assert transfer_state(reader, other, 1_200)
    assert FIRST in other.upstreams
    assert other.remove_expired(Millis(3_000))
    assert not other.upstreams


def test_a_single_failed_read_does_not_delay_removals_forever() -> None:
    """An instance that no longer reads must not assume that the outage continues."""
    reader, other = build_registry(), build_registry()
    reader.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    other.record_store_outage(Millis(0))
    transfer_state(reader, other, 0)
    reader.apply_changes([delete(FIRST, 2)], revision=2, now=Millis(100))
    transfer_state(reader, other, 200)
    assert not other.upstreams


@pytest.mark.parametrize("known_revision", [0, 2, 3])
def test_transfer_brings_an_instance_to_the_same_state(known_revision: int) -> None:
    """Changes since a revision must add up to the whole state, including removals."""
    source, target = build_registry(), build_registry()
    source.apply_snapshot([put(FIRST, 1)], revision=2, now=Millis(0))
    if known_revision >= 2:
        transfer_state(source, target, 0)
    source.apply_changes([put(SECOND, 3)], revision=3, now=Millis(0))
    if known_revision >= 3:
        transfer_state(source, target, 0)
    zone = Change(
        key=build_zone_key(ZoneId("zone-a")),
        revision=4,
        value=ClosedZone(zone=ZoneId("zone-a")),
    )
    source.apply_changes([zone, delete(FIRST, 5)], revision=5, now=Millis(0))
    assert transfer_state(source, target, 0)
    assert set(target.upstreams) == set(source.upstreams) == {SECOND}
    assert target.closed_zones == {"zone-a"}


def test_transfer_omits_an_unchanged_configuration() -> None:
    """The configuration is the largest part of the state and rarely changes."""
    source, target = build_registry(), build_registry()
    change = Change(key=CONFIGURATION_KEY, revision=1, value=build_configuration(7))
    source.apply_changes([change], revision=1, now=Millis(0))
    transfer_state(source, target, 0)
    source.apply_changes([put(FIRST, 2)], revision=2, now=Millis(0))
    published = source.build_published(since=1, now=Millis(0))
    assert published.configuration is None
    assert target.adopt(published, Millis(0))
    assert target.configuration.version == 7
    assert target.build_published(since=0, now=Millis(0)).configuration is not None


def test_older_state_of_a_peer_is_not_adopted() -> None:
    source, target = build_registry(), build_registry()
    source.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    target.apply_changes([put(SECOND, 2)], revision=2, now=Millis(0))
    assert not transfer_state(source, target, 0)


def test_zone_that_is_missing_from_a_snapshot_is_reopened() -> None:
    """A zone must get calls again even if no watch saw that it was reopened."""
    registry = build_registry()
    closed = Change(
        key=build_zone_key(ZoneId("zone-a")),
        revision=1,
        value=ClosedZone(zone=ZoneId("zone-a")),
    )
    registry.apply_changes([closed], revision=1, now=Millis(0))
    registry.apply_snapshot([], revision=3, now=Millis(1))
    assert not registry.closed_zones


def test_age_counts_from_the_newest_confirmation() -> None:
    registry = build_registry()
    assert registry.get_age_ms(Millis(5)) == float("inf")
    registry.confirm(Millis(10))
    registry.confirm(Millis(4))
    assert registry.get_age_ms(Millis(15)) == 5
