"""Guards against a store restored from a copy that takes back what callers have seen.

The highest revision was taken for the newest state. After a restore, revisions are
given out again, and what was written after the copy is missing until it is written
again.
"""

from __future__ import annotations

import msgspec
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from skylarkcart.clock import Millis
from skylarkcart.published import UpstreamEntry, UpstreamState
from skylarkcart.registry import (
    CONFIGURATION_KEY,
    NO_ERA,
    Change,
    ClosedZone,
    Era,
    Published,
    Registry,
    StatePosition,
    build_upstream_key,
    build_zone_key,
)
from skylarkcart.types import UpstreamId, ZoneId
from tests.registry.test_registry import (
    RETENTION,
    build_configuration,
    build_entry,
    build_registry,
)

INSTANCES = 2
UPSTREAMS = (UpstreamId("i-0"), UpstreamId("i-1"))
ZONES = (ZoneId("zone-a"), ZoneId("zone-b"))

# Most answers are applied at once, some arrive later.
lateness = strategies.sampled_from([False, False, False, True])
instances = strategies.integers(0, INSTANCES - 1)
upstreams = strategies.sampled_from(UPSTREAMS)
zones = strategies.sampled_from(ZONES)


class RestoredStore:
    """A store with its changes in each era; a restore keeps some of the last era."""

    def __init__(self) -> None:
        self.eras: list[list[Change]] = [[]]

    @property
    def position(self) -> StatePosition:
        return StatePosition(Era(len(self.eras) - 1), len(self.eras[-1]))

    def write(self, key, value) -> None:
        revision = self.position.revision + 1
        self.eras[-1].append(Change(key=key, revision=revision, value=value))

    def restore(self, lost: int) -> None:
        changes = self.eras[-1]
        # The store's revision starts above 0.
        self.eras.append(changes[: max(1, len(changes) - lost)])

    def list_changes(self, position: StatePosition) -> list[Change]:
        return self.eras[position.era][: position.revision]

    def list_items(self, position: StatePosition) -> dict:
        """Returns the items at a position, as a full read does."""
        latest = {change.key: change for change in self.list_changes(position)}
        return {key: c for key, c in latest.items() if c.value is not None}


class Seen:
    """What an instance has shown to callers since its start."""

    def __init__(self) -> None:
        self.position = StatePosition(NO_ERA, 0)
        self.era_start = self.position
        self.era_known_since = 0.0
        self.version = 0
        self.closed: set[ZoneId] = set()
        self.ready: dict[UpstreamId, int] = {}
        # The era in which a process left or was draining, and its start.
        self.ended: dict[UpstreamId, tuple[Era, int]] = {}


class Restores(RuleBasedStateMachine):
    """A store, its writers, and instances that read and pass state on."""

    @initialize()
    def start(self) -> None:
        self.now = Millis(0)
        self.store = RestoredStore()
        self.version = 0
        self.born = 0
        # What each upstream would write again: its entry, or None if it has left.
        self.entries: dict[UpstreamId, UpstreamEntry | None] = {}
        self.fleet = [build_registry() for _ in range(INSTANCES)]
        self.seen = [Seen() for _ in range(INSTANCES)]
        # Answers on their way, as instance, kind, position and content.
        self.answers: list[tuple[int, str, StatePosition, object]] = []
        self.configure()

    @rule(upstream=upstreams)
    def start_process(self, upstream: UpstreamId) -> None:
        self.born += 1
        self.entries[upstream] = msgspec.structs.replace(
            build_entry(upstream), born_ms=self.born
        )
        self.write_entry_again(upstream)

    @rule(upstream=upstreams)
    def drain(self, upstream: UpstreamId) -> None:
        entry = self.entries.get(upstream)
        if entry is not None:
            self.entries[upstream] = msgspec.structs.replace(
                entry, state=UpstreamState.DRAINING
            )
            self.write_entry_again(upstream)

    @rule(upstream=upstreams)
    def leave(self, upstream: UpstreamId) -> None:
        self.entries[upstream] = None
        self.store.write(build_upstream_key(upstream), None)

    @rule(upstream=upstreams)
    def write_entry_again(self, upstream: UpstreamId) -> None:
        if self.entries.get(upstream) is not None:
            self.store.write(build_upstream_key(upstream), self.entries[upstream])

    @rule(zone=zones, is_closed=strategies.booleans())
    def close_or_reopen(self, zone: ZoneId, is_closed: bool) -> None:
        value = ClosedZone(zone=zone) if is_closed else None
        self.store.write(build_zone_key(zone), value)

    @rule()
    def configure(self) -> None:
        self.version += 1
        self.write_configuration_again()

    @rule()
    def write_configuration_again(self) -> None:
        self.store.write(CONFIGURATION_KEY, build_configuration(self.version))

    @rule(lost=strategies.integers(0, 6))
    def restore(self, lost: int) -> None:
        self.store.restore(lost)

    @rule(elapsed_ms=strategies.sampled_from([100, 1_900, 6_000, 25_000]))
    def wait(self, elapsed_ms: int) -> None:
        self.now = Millis(self.now + elapsed_ms)
        for registry in self.fleet:
            registry.remove_expired(self.now)

    @rule(instance=instances, is_late=lateness)
    def answer_full_read(self, instance: int, is_late: bool) -> None:
        position = self.store.position
        items = list(self.store.list_items(position).values())
        self.deliver((instance, "full read", position, items), is_late)

    @rule(instance=instances, is_late=lateness)
    def answer_watch(self, instance: int, is_late: bool) -> None:
        """The store answers whatever it has after a revision, of whichever era."""
        known = self.fleet[instance].revision
        position = self.store.position
        if 0 < known <= position.revision:
            events = self.store.eras[-1][known:]
            self.deliver((instance, "watch", position, events), is_late)

    @rule(source=instances, instance=instances, is_late=lateness)
    def answer_transfer(self, source: int, instance: int, is_late: bool) -> None:
        known = self.fleet[instance].position
        state = self.fleet[source].build_published(
            since=known.revision, era=known.era, now=self.now
        )
        data = msgspec.msgpack.encode(state)
        content = msgspec.msgpack.decode(data, type=Published)
        self.deliver((instance, "transfer", content.position, content), is_late)

    @rule(choice=strategies.integers(0, 20))
    def apply_late_answer(self, choice: int) -> None:
        if self.answers:
            self.deliver(self.answers.pop(choice % len(self.answers)), False)

    def deliver(
        self, answer: tuple[int, str, StatePosition, object], is_late: bool
    ) -> None:
        if is_late:
            self.answers.append(answer)
            return
        instance, kind, position, content = answer
        registry = self.fleet[instance]
        where = {"revision": position.revision, "era": position.era, "now": self.now}
        match kind:
            case "full read":
                registry.apply_snapshot(content, **where)
            case "watch":
                registry.apply_changes(content, **where)
            case "transfer":
                registry.adopt(content, self.now)

    @rule(instance=instances)
    def restart(self, instance: int) -> None:
        self.fleet[instance] = build_registry()
        self.seen[instance] = Seen()
        self.answers = [answer for answer in self.answers if answer[0] != instance]

    @invariant()
    def check(self) -> None:
        for registry, seen in zip(self.fleet, self.seen):
            assert registry.position >= seen.position
            if registry.era != seen.position.era:
                seen.era_known_since = self.now
            self.check_state(registry)
            self.check_configuration(registry, seen)
            self.check_closed_zones(registry, seen)
            self.check_upstreams(registry, seen)
            seen.position = registry.position

    def check_state(self, registry: Registry) -> None:
        """What passes on is what the store held at the position."""
        if registry.era == NO_ERA:
            return
        items = self.store.list_items(registry.position)
        state = registry.build_published(since=0, now=self.now)
        held = {build_zone_key(zone) for zone in state.closed_zones}
        held |= {build_upstream_key(known.entry.upstream) for known in state.upstreams}
        assert held == items.keys() - {CONFIGURATION_KEY}
        for known in state.upstreams:
            assert known.entry == items[build_upstream_key(known.entry.upstream)].value
        assert (state.configuration is None) == (CONFIGURATION_KEY not in items)
        if state.configuration is not None:
            assert state.configuration == items[CONFIGURATION_KEY].value

    def is_within(self, seen: Seen, bound_ms: float) -> bool:
        return self.now < seen.era_known_since + bound_ms

    def check_configuration(self, registry: Registry, seen: Seen) -> None:
        configuration = registry.configuration
        version = 0 if configuration is None else configuration.version
        if version < seen.version:
            assert not self.is_within(seen, RETENTION.configuration_ms)
        seen.version = version

    def check_closed_zones(self, registry: Registry, seen: Seen) -> None:
        if registry.era != seen.position.era:
            seen.era_start = registry.position
        reopened = seen.closed - registry.closed_zones
        if reopened and self.is_within(seen, RETENTION.closed_zone_ms):
            assert reopened <= self.list_zones_closed_since(registry, seen.era_start)
        seen.closed = registry.closed_zones

    def list_zones_closed_since(
        self, registry: Registry, start: StatePosition
    ) -> set[ZoneId]:
        """Returns the zones that the store itself closed in the era."""
        changes = [
            *self.store.list_items(start).values(),
            *self.store.list_changes(registry.position)[start.revision :],
        ]
        return {
            change.value.zone
            for change in changes
            if isinstance(change.value, ClosedZone)
        }

    def check_upstreams(self, registry: Registry, seen: Seen) -> None:
        ready = {
            upstream: known.entry.born_ms
            for upstream, known in registry.upstreams.items()
            if known.entry.state is UpstreamState.READY
        }
        for upstream, born_ms in ready.items():
            era, ended_born_ms = seen.ended.get(upstream, (registry.era, 0))
            if era != registry.era and born_ms <= ended_born_ms:
                assert not self.is_within(seen, RETENTION.departure_ms)
            if seen.position.era != registry.era:
                assert born_ms >= seen.ready.get(upstream, 0)
            seen.ended.pop(upstream, None)
        for upstream in seen.ready.keys() - ready.keys():
            seen.ended[upstream] = (registry.era, seen.ready[upstream])
        seen.ready = ready


TestRestores = Restores.TestCase
TestRestores.settings = settings(
    max_examples=500, stateful_step_count=50, deadline=None
)
