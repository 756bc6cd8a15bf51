"""Guards against a store restored from a copy that takes back what callers have seen.

The highest revision was taken for the newest state. After a restore, revisions are
given out again, and what was written after the copy is missing until it is written
again.
"""

from __future__ import annotations

import enum

import msgspec
import pytest
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
UPSTREAM = UpstreamId("i-0")
ZONE = ZoneId("zone-a")
ZONE_KEY = build_zone_key(ZONE)

# Who reads at once what was written.
readers = strategies.sampled_from([0, 0, 1, None])
# Most answers are applied at once, some arrive later.
lateness = strategies.sampled_from([False, False, False, True])
instances = strategies.integers(0, INSTANCES - 1)


class Action(enum.Enum):
    """What the operators or the upstream write."""

    START_PROCESS = "start process"
    DRAIN = "drain"
    LEAVE = "leave"
    WRITE_AGAIN = "write again"
    CLOSE_ZONE = "close zone"
    REOPEN_ZONE = "reopen zone"
    CONFIGURE = "configure"
    CONFIGURE_AGAIN = "configure again"


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
        # What the upstream would write again: its entry, or None if it has left.
        self.entry: UpstreamEntry | None = None
        self.fleet = [build_registry() for _ in range(INSTANCES)]
        self.seen = [Seen() for _ in range(INSTANCES)]
        # Answers on their way, as instance, kind, position and content.
        self.answers: list[tuple[int, str, StatePosition, object]] = []
        self.write(Action.CONFIGURE)

    @rule(action=strategies.sampled_from(Action), reader=readers)
    def write(self, action: Action, reader: int | None = None) -> None:
        match action:
            case Action.START_PROCESS:
                self.born += 1
                self.entry = msgspec.structs.replace(
                    build_entry(UPSTREAM), born_ms=self.born
                )
            case Action.DRAIN if self.entry is not None:
                self.entry = msgspec.structs.replace(
                    self.entry, state=UpstreamState.DRAINING
                )
            case Action.LEAVE:
                self.entry = None
            case Action.CLOSE_ZONE:
                self.store.write(ZONE_KEY, ClosedZone(zone=ZONE))
            case Action.REOPEN_ZONE:
                self.store.write(ZONE_KEY, None)
            case Action.CONFIGURE:
                self.version += 1
        if action in (Action.CONFIGURE, Action.CONFIGURE_AGAIN):
            self.store.write(CONFIGURATION_KEY, build_configuration(self.version))
        elif action not in (Action.CLOSE_ZONE, Action.REOPEN_ZONE):
            self.store.write(build_upstream_key(UPSTREAM), self.entry)
        if reader is not None:
            self.read(reader, "full read", False)

    @rule(lost=strategies.integers(0, 6), reader=readers)
    def restore(self, lost: int, reader: int | None) -> None:
        self.store.restore(lost)
        if reader is not None:
            self.read(reader, "full read", False)

    @rule(elapsed_ms=strategies.sampled_from([100, 1_900, 6_000, 25_000]))
    def wait(self, elapsed_ms: int) -> None:
        self.now = Millis(self.now + elapsed_ms)
        for registry in self.fleet:
            registry.remove_expired(self.now)

    @rule(
        instance=instances,
        source=strategies.sampled_from(
            ["full read", "watch", "transfer", "transfer with kept state"]
        ),
        is_late=lateness,
    )
    def read(self, instance: int, source: str, is_late: bool) -> None:
        position = self.store.position
        known = self.fleet[instance].position
        content: object = list(self.store.list_items(position).values())
        if source == "watch":
            if not 0 < known.revision <= position.revision:
                return
            # The store answers whatever it has, of whichever era.
            content = self.store.eras[-1][known.revision :]
        elif source.startswith("transfer"):
            state = self.fleet[1 - instance].build_published(
                since=known.revision,
                era=known.era,
                now=self.now,
                includes_kept=source == "transfer with kept state",
            )
            data = msgspec.msgpack.encode(state)
            content = msgspec.msgpack.decode(data, type=Published)
        self.deliver((instance, source, position, content), is_late)

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
            case "transfer with kept state":
                registry.adopt(content, self.now)
                self.check_adopted(registry, self.seen[instance], content)

    def check_adopted(self, registry: Registry, seen: Seen, state: Published) -> None:
        """What the sender keeps is kept here, too, at whatever position."""
        is_new = registry.era != seen.position.era
        if registry.era != state.era or not (
            is_new or self.is_within(seen, RETENTION.configuration_ms)
        ):
            return
        kept = state.kept_configuration
        if kept is not None:
            assert registry.configuration.version >= kept.configuration.version

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
            assert reopened <= self.list_zones_decided_since(registry, seen.era_start)
        seen.closed = registry.closed_zones

    def list_zones_decided_since(
        self, registry: Registry, start: StatePosition
    ) -> set[ZoneId]:
        """Returns the zones that the store itself closed or reopened in the era."""
        changes = [
            *self.store.list_items(start).values(),
            *self.store.list_changes(registry.position)[start.revision :],
        ]
        return {ZONE for change in changes if change.key == ZONE_KEY}

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


@pytest.mark.parametrize("last", [Action.DRAIN, Action.LEAVE, Action.START_PROCESS])
def test_lost_change_of_an_upstream_is_not_undone(last: Action) -> None:
    """Random steps reach these sequences seldom."""
    machine = Restores()
    machine.start()
    for action in (Action.START_PROCESS, last):
        machine.write(action, 0)
        machine.check()
    machine.restore(1, 0)
    machine.check()
    machine.restore(1, 0)
    machine.check()


def test_zone_that_only_the_copy_lacks_is_reopened_by_the_store() -> None:
    """The model took the deletion for a zone that nobody had reopened."""
    machine = Restores()
    machine.start()
    machine.write(Action.CLOSE_ZONE, 0)
    machine.check()
    machine.restore(1, 0)
    machine.check()
    machine.write(Action.REOPEN_ZONE, 1)
    machine.read(0, "watch", False)
    machine.check()
    assert machine.fleet[0].closed_zones == set()
