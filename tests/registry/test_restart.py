"""Guards against removed upstreams and old configurations that a restart brings back.

A process that starts knows nothing and takes its state from whichever instance answers
first, which may have been suspended for long.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies

from skylarkcart.clock import Millis
from skylarkcart.registry import CONFIGURATION_KEY, Change, Registry
from skylarkcart.types import UpstreamId
from tests.registry.test_registry import (
    FIRST,
    SECOND,
    build_configuration,
    build_registry,
    delete,
    put,
    transfer_state,
)

INSTANCES = 3
UPSTREAMS = tuple(UpstreamId(f"i-{number}") for number in range(4))

instances = strategies.integers(0, INSTANCES - 1)
upstreams = strategies.sampled_from(UPSTREAMS)
steps = strategies.one_of(
    strategies.tuples(strategies.just("put"), upstreams),
    strategies.tuples(strategies.just("delete"), upstreams),
    strategies.tuples(strategies.just("configure"), strategies.none()),
    strategies.tuples(strategies.just("snapshot"), instances),
    strategies.tuples(strategies.just("watch"), instances),
    strategies.tuples(strategies.just("restart"), instances),
    strategies.tuples(strategies.just("transfer"), instances, instances),
)


class StoreModel:
    """The changes of the store, and the state that they make at each revision."""

    def __init__(self) -> None:
        self.changes: list[Change] = []
        self._present: frozenset[UpstreamId] = frozenset()
        self._version = 0
        self.states: dict[int, tuple[frozenset[UpstreamId], int]] = {
            0: (frozenset(), 0)
        }

    @property
    def revision(self) -> int:
        return len(self.changes)

    def apply(self, kind: str, upstream: UpstreamId | None) -> None:
        revision = self.revision + 1
        if kind == "put":
            self.changes.append(put(upstream, revision))
            self._present |= {upstream}
        elif kind == "delete":
            if upstream not in self._present:
                return
            self.changes.append(delete(upstream, revision))
            self._present -= {upstream}
        else:
            self._version += 1
            value = build_configuration(self._version)
            self.changes.append(
                Change(key=CONFIGURATION_KEY, revision=revision, value=value)
            )
        self.states[revision] = (self._present, self._version)

    def list_items(self) -> list[Change]:
        """Returns the current items, as a full read does."""
        latest = {change.key: change for change in self.changes}
        return [change for change in latest.values() if change.value is not None]


def read_state(registry: Registry) -> tuple[frozenset[UpstreamId], int]:
    configuration = registry.configuration
    version = 0 if configuration is None else configuration.version
    return frozenset(registry.upstreams), version


def apply_step(store: StoreModel, fleet: list[Registry], step: tuple) -> None:
    kind, first, *others = step
    match kind:
        case "snapshot":
            fleet[first].apply_snapshot(
                store.list_items(), revision=store.revision, now=Millis(0)
            )
        case "watch":
            # A watch continues from a state that the instance has.
            if fleet[first].revision:
                changes = store.changes[fleet[first].revision :]
                fleet[first].apply_changes(
                    changes, revision=store.revision, now=Millis(0)
                )
        case "restart":
            fleet[first] = build_registry()
        case "transfer":
            transfer_state(fleet[first], fleet[others[0]], 0.0)
        case _:
            store.apply(kind, first)


@settings(max_examples=300, deadline=None)
@given(strategies.lists(steps, max_size=60))
def test_state_is_what_the_store_held_at_its_revision(history) -> None:
    """However states travel, none mixes two revisions or goes back."""
    store = StoreModel()
    fleet = [build_registry() for _ in range(INSTANCES)]
    for step in history:
        revisions = [registry.revision for registry in fleet]
        apply_step(store, fleet, step)
        for number, registry in enumerate(fleet):
            assert read_state(registry) == store.states[registry.revision]
            if step[:2] != ("restart", number):
                assert registry.revision >= revisions[number]


def test_peer_that_was_suspended_brings_nothing_back() -> None:
    """It resumes first and offers its state, which names a removed upstream."""
    suspended, reader, started = build_registry(), build_registry(), build_registry()
    changes = [put(FIRST, 1), put(SECOND, 2)]
    suspended.apply_changes(changes, revision=2, now=Millis(0))
    reader.apply_changes([*changes, delete(FIRST, 3)], revision=3, now=Millis(0))
    assert transfer_state(suspended, started, 40_000.0)
    # It is adopted as the best that is known, and counts as never confirmed.
    assert started.get_age_ms(Millis(40_000.0)) == float("inf")
    assert transfer_state(reader, started, 40_001.0)
    assert set(started.upstreams) == {SECOND}
    assert not transfer_state(suspended, started, 40_002.0)
    assert set(started.upstreams) == {SECOND}


@pytest.mark.parametrize("left_ms", [0.0, -5_000.0, float("nan"), 1e12])
def test_lapsed_entry_of_a_peer_is_not_kept_beyond_the_grace(left_ms: float) -> None:
    source, started = build_registry(), build_registry()
    source.apply_changes([put(FIRST, 1), put(SECOND, 2)], revision=2, now=Millis(0))
    source.record_store_outage(Millis(0))
    source.apply_changes([delete(FIRST, 3)], revision=3, now=Millis(0))
    registered, _ = source._upstreams.lapsed[FIRST]
    source._upstreams.lapsed[FIRST] = (registered, Millis(left_ms))
    assert transfer_state(source, started, 0.0)
    started.remove_expired(Millis(2_000.0))
    assert set(started.upstreams) == {SECOND}
