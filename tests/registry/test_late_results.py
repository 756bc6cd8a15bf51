"""Guards against published state that a result which arrives late takes back.

Full reads, watches and transfers between instances overlap. Each is applied when it
arrives, and describes the store as it was when it was answered.
"""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from skylarkcart.clock import Millis
from skylarkcart.platform._store_items import decode_items
from skylarkcart.published import StoredItem, UpstreamState
from skylarkcart.registry import (
    CONFIGURATION_KEY,
    Change,
    ClosedZone,
    Published,
    Registry,
    build_upstream_key,
    build_zone_key,
)
from skylarkcart.types import UpstreamId, ZoneId
from tests.registry.test_registry import (
    FIRST,
    SECOND,
    build_configuration,
    build_entry,
    build_registry,
    delete,
    put,
    transfer_state,
)

NOW = Millis(0)
ZONE = ZoneId("zone-a")
INSTANCES = 3

# A zone and an upstream have the same name, which must not matter.
UPSTREAMS = (UpstreamId("i-0"), UpstreamId("i-1"), UpstreamId("zone-a"))
ZONES = (ZONE, ZoneId("i-0"))


def close_zone(revision: int, zone: ZoneId = ZONE) -> Change:
    return Change(
        key=build_zone_key(zone), revision=revision, value=ClosedZone(zone=zone)
    )


def reopen_zone(revision: int, zone: ZoneId = ZONE) -> Change:
    return Change(key=build_zone_key(zone), revision=revision, value=None)


def configure(revision: int) -> Change:
    return Change(
        key=CONFIGURATION_KEY, revision=revision, value=build_configuration(revision)
    )


def copy_state(source: Registry, *, since: int) -> Published:
    """Returns a state as it is received by another instance."""
    data = msgspec.msgpack.encode(source.build_published(since=since, now=NOW))
    return msgspec.msgpack.decode(data, type=Published)


def test_full_read_does_not_undo_an_evacuation_that_a_peer_passed_on() -> None:
    """A restarted instance reads a slow store while a peer passes on later state.

    The watch continues behind the evacuation, so that nothing would repeat it: the
    instance went on sending calls to the closed zone.
    """
    reader, started = build_registry(), build_registry()
    full_read = [put(FIRST, 1), put(SECOND, 2)]
    reader.apply_snapshot(full_read, revision=2, now=NOW)
    reader.apply_changes([close_zone(3), delete(FIRST, 4)], revision=4, now=NOW)
    assert transfer_state(reader, started, 0)
    started.apply_snapshot(full_read, revision=2, now=NOW)
    assert started.closed_zones == {ZONE}
    assert set(started.upstreams) == {SECOND}
    assert started.revision == 4


def test_late_watch_does_not_undo_a_reopening_that_a_peer_passed_on() -> None:
    registry, peer = build_registry(), build_registry()
    for each in (registry, peer):
        each.apply_snapshot([put(FIRST, 1)], revision=1, now=NOW)
    late_watch = [close_zone(2), put(SECOND, 3)]
    peer.apply_changes(
        [*late_watch, delete(SECOND, 4), reopen_zone(5)], revision=5, now=NOW
    )
    assert transfer_state(peer, registry, 0)
    registry.apply_changes(late_watch, revision=3, now=NOW)
    assert not registry.closed_zones
    assert set(registry.upstreams) == {FIRST}


def test_late_watch_restores_nothing_after_a_transfer_of_the_whole_state() -> None:
    """The whole state lists no removals, so that only its revision tells of them."""
    registry, peer = build_registry(), build_registry()
    registry.apply_snapshot([put(FIRST, 1)], revision=1, now=NOW)
    peer.apply_snapshot([put(FIRST, 1)], revision=5, now=NOW)
    assert copy_state(peer, since=1).since == 0
    assert transfer_state(peer, registry, 0)
    late_watch = [put(SECOND, 2), close_zone(3)]
    registry.apply_changes(late_watch, revision=3, now=NOW)
    assert set(registry.upstreams) == {FIRST}
    assert not registry.closed_zones


def test_transfer_of_a_zone_that_was_closed_twice_leaves_it_closed() -> None:
    """The removal between the two was applied last, and reopened the zone."""
    source, target = build_registry(), build_registry()
    source.apply_changes([close_zone(1)], revision=1, now=NOW)
    assert transfer_state(source, target, 0)
    source.apply_changes([reopen_zone(2), close_zone(3)], revision=3, now=NOW)
    assert transfer_state(source, target, 0)
    assert target.closed_zones == {ZONE}


def test_zone_seen_on_a_later_page_is_not_reopened_by_an_older_transfer() -> None:
    """The watch does not repeat the evacuation, as the instance knows it already."""
    registry, peer = build_registry(), build_registry()
    # The zone was closed at revision 4, after the first page was read.
    registry.apply_snapshot([put(FIRST, 1), close_zone(4)], revision=2, now=NOW)
    peer.apply_changes([put(FIRST, 1), put(SECOND, 3)], revision=3, now=NOW)
    assert transfer_state(peer, registry, 0)
    registry.apply_changes([close_zone(4)], revision=4, now=NOW)
    assert registry.closed_zones == {ZONE}


@pytest.mark.parametrize("key", ["servers/zone-a", "servers/config", "servers/a/i-1"])
def test_entries_are_told_apart_by_their_whole_key(key: str) -> None:
    """An entry of an upstream hid another item whose key ended in the same name."""
    registry, other = build_registry(), build_registry()
    registry.apply_snapshot(
        [put(FIRST, 1), close_zone(2), configure(3)], revision=3, now=NOW
    )
    assert transfer_state(registry, other, 0)
    items = [StoredItem(key=key, revision=4, value=b"\xff")]
    changes = decode_items(items, on_error=lambda error: None)
    registry.apply_changes(changes, revision=4, now=NOW)
    assert transfer_state(registry, other, 0)
    for each in (registry, other):
        assert each.closed_zones == {ZONE}
        assert each.configuration.version == 3
        assert set(each.upstreams) == {FIRST}


class LateResults(RuleBasedStateMachine):
    """One store and several instances, whose reads are answered and applied later."""

    @initialize()
    def start(self) -> None:
        self.changes: list[Change] = []
        self.fleet = [build_registry() for _ in range(INSTANCES)]
        self.seen = [(0, 0)] * INSTANCES
        # Answers on their way, as instance, kind, revision and content.
        self.answers: list[tuple[int, str, int, object]] = []

    @property
    def revision(self) -> int:
        return len(self.changes)

    def list_items(self, revision: int) -> list[Change]:
        latest = {change.key: change for change in self.changes[:revision]}
        return [change for change in latest.values() if change.value is not None]

    @rule(upstream=strategies.sampled_from(UPSTREAMS), is_ready=strategies.booleans())
    def put_upstream(self, upstream: UpstreamId, is_ready: bool) -> None:
        state = UpstreamState.READY if is_ready else UpstreamState.DRAINING
        self.changes.append(
            Change(
                key=build_upstream_key(upstream),
                revision=self.revision + 1,
                value=build_entry(upstream, state),
            )
        )

    @rule(upstream=strategies.sampled_from(UPSTREAMS))
    def delete_upstream(self, upstream: UpstreamId) -> None:
        self.changes.append(delete(upstream, self.revision + 1))

    @rule(zone=strategies.sampled_from(ZONES))
    def close_zone(self, zone: ZoneId) -> None:
        self.changes.append(close_zone(self.revision + 1, zone))

    @rule(zone=strategies.sampled_from(ZONES))
    def reopen_zone(self, zone: ZoneId) -> None:
        self.changes.append(reopen_zone(self.revision + 1, zone))

    @rule()
    def configure(self) -> None:
        self.changes.append(configure(self.revision + 1))

    @rule(instance=strategies.integers(0, INSTANCES - 1))
    def answer_full_read(self, instance: int) -> None:
        items = self.list_items(self.revision)
        self.answers.append((instance, "full read", self.revision, items))

    @rule(instance=strategies.integers(0, INSTANCES - 1))
    def answer_watch(self, instance: int) -> None:
        known = self.fleet[instance].revision
        if known:
            events = self.changes[known:]
            self.answers.append((instance, "watch", self.revision, events))

    @rule(
        source=strategies.integers(0, INSTANCES - 1),
        instance=strategies.integers(0, INSTANCES - 1),
    )
    def answer_transfer(self, source: int, instance: int) -> None:
        known = self.fleet[instance].revision
        state = copy_state(self.fleet[source], since=known)
        self.answers.append((instance, "transfer", state.revision, state))

    @rule(choice=strategies.integers(0, 20))
    def apply_answer(self, choice: int) -> None:
        if not self.answers:
            return
        answer = self.answers.pop(choice % len(self.answers))
        instance, kind, revision, content = answer
        registry = self.fleet[instance]
        match kind:
            case "full read":
                registry.apply_snapshot(content, revision=revision, now=NOW)
            case "watch":
                registry.apply_changes(content, revision=revision, now=NOW)
            case "transfer":
                registry.adopt(content, NOW)

    @rule(instance=strategies.integers(0, INSTANCES - 1))
    def restart(self, instance: int) -> None:
        self.fleet[instance] = build_registry()
        self.seen[instance] = (0, 0)
        self.answers = [answer for answer in self.answers if answer[0] != instance]

    @invariant()
    def check_states(self) -> None:
        for instance, registry in enumerate(self.fleet):
            items = self.list_items(registry.revision)
            values = [item.value for item in items]
            assert registry.closed_zones == {
                value.zone for value in values if isinstance(value, ClosedZone)
            }
            assert {
                upstream: known.entry for upstream, known in registry.upstreams.items()
            } == {
                value.upstream: value
                for item, value in zip(items, values)
                if item.key == build_upstream_key(getattr(value, "upstream", ""))
            }
            versions = [c.revision for c in items if c.key == CONFIGURATION_KEY]
            configuration = registry.configuration
            version = 0 if configuration is None else configuration.version
            assert version == (versions[0] if versions else 0)
            assert registry.revision >= self.seen[instance][0]
            assert version >= self.seen[instance][1]
            self.seen[instance] = (registry.revision, version)


TestLateResults = LateResults.TestCase
TestLateResults.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
