"""Confirmation of the published state while it travels between instances."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings, strategies

from skylarkcart.clock import Millis
from skylarkcart.registry import Published
from tests.registry.test_registry import FIRST, build_registry, put

INSTANCES = 4

# Each instance has its own clock, which starts at another time.
CLOCK_OFFSETS_MS = (0.0, 70_000.0, 1_000.0, 400.0)

instances = strategies.integers(0, INSTANCES - 1)
steps = strategies.one_of(
    strategies.tuples(strategies.just("change")),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 900)),
    strategies.tuples(strategies.just("read"), instances),
    strategies.tuples(
        strategies.just("transfer"), instances, instances, strategies.integers(0, 300)
    ),
)


class ConfirmedFleet:
    """Instances that read a store and pass its state on, in true time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.changed_at: list[float] = []
        self.registries = [build_registry() for _ in range(INSTANCES)]

    def apply(self, step: tuple) -> None:
        match step:
            case ("change",):
                self.now += 1
                self.changed_at.append(self.now)
            case ("wait", duration_ms):
                self.now += duration_ms
            case ("read", instance):
                self._read(instance)
            case ("transfer", source, target, duration_ms):
                self._transfer(source, target, duration_ms)

    def get_confirmed_at(self, instance: int) -> float | None:
        """Returns the confirmed time of an instance in true time."""
        confirmed_at = self.registries[instance].confirmed_at
        if confirmed_at is None:
            return None
        return confirmed_at - CLOCK_OFFSETS_MS[instance]

    def get_age_ms(self, instance: int) -> float:
        return self.registries[instance].get_age_ms(self._get_clock(instance))

    def _get_clock(self, instance: int) -> Millis:
        return Millis(self.now + CLOCK_OFFSETS_MS[instance])

    def _read(self, instance: int) -> None:
        now = self._get_clock(instance)
        revision = len(self.changed_at)
        self.registries[instance].apply_snapshot(
            [put(FIRST, revision)] if revision else [], revision=revision, now=now
        )
        self.registries[instance].confirm(now)

    def _transfer(self, source: int, target: int, duration_ms: float) -> None:
        requested_at = self._get_clock(target)
        self.now += duration_ms
        registry = self.registries[target]
        published = self.registries[source].build_published(
            since=registry.revision, now=self._get_clock(source)
        )
        self.now += duration_ms
        if registry.adopt(published, self._get_clock(target)):
            registry.confirm_adopted(published, requested_at=requested_at)


@settings(max_examples=300, deadline=None)
@given(strategies.lists(steps, max_size=60))
def test_no_change_was_missed_at_the_confirmed_time(history) -> None:
    """Otherwise, a key that was revoked before that time would still be trusted."""
    fleet = ConfirmedFleet()
    for step in history:
        fleet.apply(step)
        for instance, registry in enumerate(fleet.registries):
            confirmed_at = fleet.get_confirmed_at(instance)
            if confirmed_at is not None:
                missed = fleet.changed_at[registry.revision :]
                assert not missed or confirmed_at <= missed[0]


def test_changes_in_quick_succession_keep_the_state_confirmed() -> None:
    """A configuration change a second, in a fleet that is always a change behind.

    Peers that are ahead confirm nothing, so that each of 195 instances took its state
    for older than 2.2 s after the second change, and called the store.
    """
    fleet = ConfirmedFleet()
    reader, follower = 0, 1
    oldest_ms = 0.0
    for _ in range(20):
        fleet.apply(("change",))
        fleet.apply(("wait", 100))
        fleet.apply(("read", reader))
        fleet.apply(("wait", 600))
        fleet.apply(("transfer", reader, follower, 20))
        fleet.apply(("wait", 300))
        oldest_ms = max(oldest_ms, fleet.get_age_ms(follower))
    assert oldest_ms < 1_100


@pytest.mark.parametrize("age_ms", [-1.0, float("nan"), float("inf"), -1e300])
def test_impossible_age_confirms_nothing(age_ms: float) -> None:
    source, target = build_registry(), build_registry()
    source.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    published = source.build_published(since=0, now=Millis(0))
    published = msgspec.structs.replace(published, confirmed_age_ms=age_ms)
    assert target.adopt(published, Millis(100))
    target.confirm_adopted(published, requested_at=Millis(50))
    assert target.confirmed_at is None


def test_state_that_was_not_adopted_is_not_confirmed() -> None:
    """Another transfer may have brought a newer state meanwhile."""
    source, target = build_registry(), build_registry()
    source.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    source.confirm(Millis(0))
    published = source.build_published(since=0, now=Millis(0))
    target.apply_changes([put(FIRST, 3)], revision=3, now=Millis(0))
    assert not target.adopt(published, Millis(100))
    target.confirm_adopted(published, requested_at=Millis(50))
    assert target.confirmed_at is None


def test_state_of_an_older_build_is_adopted_without_confirmation() -> None:
    """During a replacement, some instances do not state the age yet."""
    source, target = build_registry(), build_registry()
    source.apply_changes([put(FIRST, 1)], revision=1, now=Millis(0))
    fields = msgspec.to_builtins(source.build_published(since=0, now=Millis(0)))
    del fields["confirmed_age_ms"]
    published = msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=Published)
    assert target.adopt(published, Millis(100))
    target.confirm_adopted(published, requested_at=Millis(50))
    assert target.confirmed_at is None
