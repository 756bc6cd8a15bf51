"""Guards against an instance that starts, or an older build, undoing what is kept."""

from __future__ import annotations

import msgspec
import pytest

from skylarkcart.clock import Millis
from skylarkcart.published import Account, UpstreamState
from skylarkcart.registry import (
    CONFIGURATION_KEY,
    NO_ERA,
    Change,
    Era,
    Published,
    Registry,
    build_upstream_key,
    build_zone_key,
)
from tests.registry.test_late_results import ZONE, close_zone
from tests.registry.test_registry import (
    FIRST,
    RETENTION,
    SECOND,
    build_configuration,
    build_entry,
    build_registry,
    delete,
    put,
)

OLD, NEW = Era(1), Era(2)


def configure(version: int, revision: int) -> Change:
    value = build_configuration(version)
    return Change(key=CONFIGURATION_KEY, revision=revision, value=value)


def send_state(source: Registry, target: Registry, now: float) -> bool:
    state = source.build_published(
        since=target.revision, era=target.era, now=Millis(now)
    )
    return target.adopt(copy(state, Published), Millis(now))


def copy(message, message_type):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=message_type)


def build_restored_registry() -> Registry:
    """Returns a registry that knew more than the copy holds.

    Lost are version 8, an evacuation, the departure of the first upstream and the start
    of the second one.
    """
    registry = build_registry()
    old_copy = [configure(7, 1), put(FIRST, 2)]
    registry.apply_snapshot(old_copy, revision=2, era=OLD, now=Millis(0))
    lost = [configure(8, 3), close_zone(4), delete(FIRST, 5), put(SECOND, 6)]
    registry.apply_changes(lost, revision=6, era=OLD, now=Millis(0))
    registry.apply_snapshot(old_copy, revision=2, era=NEW, now=Millis(0))
    return registry


def list_ready(registry: Registry) -> set[str]:
    return {
        upstream
        for upstream, known in registry.upstreams.items()
        if known.entry.state is UpstreamState.READY
    }


@pytest.mark.parametrize("is_new", [False, True])
def test_what_callers_have_seen_is_kept_and_passed_on(is_new: bool) -> None:
    """An instance that starts in the middle would accept a withdrawn key."""
    registry = build_restored_registry()
    if is_new:
        started = build_registry()
        assert send_state(registry, started, 100)
        registry = started
    assert registry.position == build_restored_registry().position
    assert registry.configuration.version == 8
    assert registry.closed_zones == {ZONE}
    assert list_ready(registry) == {SECOND}
    assert registry.build_published(since=0, now=Millis(0)).configuration.version == 7


@pytest.mark.parametrize(
    ("bound_ms", "is_kept"),
    [
        (RETENTION.configuration_ms, lambda r: r.configuration.version == 8),
        (RETENTION.closed_zone_ms, lambda r: r.closed_zones == {ZONE}),
        (RETENTION.departure_ms, lambda r: FIRST not in list_ready(r)),
    ],
)
def test_the_word_of_the_store_counts_after_the_bound(bound_ms, is_kept) -> None:
    """One lost write would otherwise part the fleet from its operators for good."""
    registry = build_restored_registry()
    registry.remove_expired(Millis(bound_ms - 1))
    assert is_kept(registry)
    assert registry.remove_expired(Millis(bound_ms))
    assert not is_kept(registry)


def test_configuration_that_is_written_again_ends_what_is_kept() -> None:
    registry = build_restored_registry()
    in_force = registry.configuration
    registry.apply_changes([configure(8, 3)], revision=3, era=NEW, now=Millis(10))
    # Unchanged, so that it is not put in force once more.
    assert registry.configuration is in_force
    registry.remove_expired(Millis(RETENTION.configuration_ms))
    assert registry.configuration.version == 8


def test_process_that_started_later_is_used_at_once() -> None:
    registry = build_registry()
    left, started = (
        Change(
            key=build_upstream_key(FIRST),
            revision=1,
            value=msgspec.structs.replace(build_entry(FIRST), born_ms=born_ms),
        )
        for born_ms in (5, 6)
    )
    registry.apply_changes([left, delete(FIRST, 2)], revision=2, now=Millis(0))
    registry.apply_snapshot([left], revision=1, era=OLD, now=Millis(0))
    assert not list_ready(registry)
    registry.apply_snapshot([started], revision=1, era=NEW, now=Millis(0))
    assert list_ready(registry) == {FIRST}


def test_peer_that_learned_of_the_era_later_renews_nothing() -> None:
    """Its bound ends later; the version in force would go back and forth."""
    first, late = build_restored_registry(), build_restored_registry()
    later = RETENTION.configuration_ms
    assert first.remove_expired(Millis(later))
    late.apply_changes([put(SECOND, 3)], revision=3, era=NEW, now=Millis(10))
    state = copy(late.build_published(since=0, now=Millis(10)), Published)
    assert first.adopt(state, Millis(later))
    assert first.configuration.version == 7


class OldPublished(msgspec.Struct, frozen=True, kw_only=True):
    """A state as a build that knows no eras decodes it and passes it on."""

    since: int
    revision: int
    configuration_revision: int
    configuration: msgspec.Raw
    closed_zones: msgspec.Raw
    upstreams: msgspec.Raw
    removals: msgspec.Raw
    lapsed: msgspec.Raw
    confirmed_age_ms: float = -1.0


def test_state_of_a_build_without_eras_precedes_all_others() -> None:
    registry, started = build_restored_registry(), build_registry()
    peer = build_registry()
    peer.apply_changes([configure(7, 1), put(FIRST, 90)], revision=90, now=Millis(0))
    old = copy(peer.build_published(since=0, now=Millis(0)), OldPublished)
    assert not registry.adopt(copy(old, Published), Millis(0))
    assert started.adopt(copy(old, Published), Millis(0))
    assert started.era == NO_ERA
    assert send_state(registry, started, 0)
    assert started.position == registry.position
    # The other way round, an old build ignores what it doesn't know.
    state = registry.build_published(since=0, now=Millis(0))
    assert copy(state, OldPublished).revision == registry.revision


def test_zone_that_is_taken_back_is_open_also_where_only_that_is_heard() -> None:
    """Closed and opened again between two reads, only the deletion arrives."""
    registry = build_restored_registry()
    assert registry.closed_zones == {ZONE}
    revision = registry.revision + 2
    taken_back = Change(key=build_zone_key(ZONE), revision=revision, value=None)
    registry.apply_changes([taken_back], revision=revision, era=NEW, now=Millis(0))
    assert registry.closed_zones == set()


def test_account_without_a_priority_is_understood_by_older_builds() -> None:
    """They know no account without a priority, and got no state with one."""

    class OldAccount(msgspec.Struct, frozen=True, kw_only=True):
        account: str
        keys: tuple[str, ...]
        priority: int
        rate_per_s: float
        burst: float

    account = Account(account="museum", keys=(), priority=0, rate_per_s=1, burst=1)
    old = copy(account, OldAccount)
    assert old.priority == 0
    assert not copy(old, Account).has_priority


def read_copy() -> Registry:
    """Returns a registry that learned of the new era from the store itself."""
    registry = build_registry()
    old_copy = [configure(7, 1), put(FIRST, 2)]
    registry.apply_snapshot(old_copy, revision=2, era=NEW, now=Millis(0))
    return registry


def pass_kept_state(source: Registry, target: Registry, now: float) -> None:
    """Passes on what is kept, as to an instance that may be at the same position."""
    state = source.build_published(
        since=target.revision, era=target.era, now=Millis(now), includes_kept=True
    )
    target.adopt(copy(state, Published), Millis(now))


def test_instance_that_read_the_copy_itself_takes_over_what_a_peer_keeps() -> None:
    """It served a withdrawn key until the operators wrote the version again.

    Both are at the same position, so that neither has newer state for the other.
    """
    peer, started = build_restored_registry(), read_copy()
    assert started.position == peer.position
    assert started.configuration.version == 7
    assert started.lacks_kept(peer.compute_kept_digest(Millis(0)), Millis(0))
    pass_kept_state(peer, started, 100)
    assert started.configuration.version == 8
    assert started.closed_zones == {ZONE}
    assert list_ready(started) == set()
    digest = started.compute_kept_digest(Millis(100))
    assert digest == peer.compute_kept_digest(Millis(100))
    assert not started.lacks_kept(digest, Millis(100))
    started.remove_expired(Millis(RETENTION.configuration_ms))
    assert started.configuration.version == 7


def test_peers_without_a_restart_take_over_what_only_one_of_them_had_seen() -> None:
    """The store went away before all of them had the version that takes a key."""
    first, second = read_copy(), read_copy()
    for registry, version in ((first, 8), (second, 9)):
        change = configure(version, 3)
        registry.apply_changes([change], revision=3, era=NEW, now=Millis(0))
        old_copy = [configure(7, 1), put(FIRST, 2)]
        registry.apply_snapshot(old_copy, revision=2, era=Era(3), now=Millis(1))
    pass_kept_state(second, first, 2)
    pass_kept_state(first, second, 3)
    assert first.configuration.version == second.configuration.version == 9


def test_word_of_the_store_in_the_new_era_outweighs_what_a_peer_keeps() -> None:
    """The operators wrote a higher version and took the evacuation back."""
    peer, started = build_restored_registry(), read_copy()
    taken_back = Change(key=build_zone_key(ZONE), revision=4, value=None)
    changes = [configure(9, 3), taken_back]
    started.apply_changes(changes, revision=4, era=NEW, now=Millis(10))
    pass_kept_state(peer, started, 20)
    assert started.configuration.version == 9
    assert started.closed_zones == set()


@pytest.mark.parametrize("learned_at", [0.0, 5_000.0])
def test_what_has_expired_is_not_taken_over_from_a_peer(learned_at: float) -> None:
    """The peer learned of the era later, or is about to drop it, too."""
    peer, started = build_restored_registry(), read_copy()
    started.apply_snapshot([], revision=9, era=Era(3), now=Millis(0))
    peer.apply_snapshot([], revision=9, era=Era(3), now=Millis(learned_at))
    digest = peer.compute_kept_digest(Millis(learned_at))
    later = max(
        RETENTION.configuration_ms, RETENTION.closed_zone_ms, RETENTION.departure_ms
    )
    started.remove_expired(Millis(later))
    assert not started.lacks_kept(digest, Millis(later))
    pass_kept_state(peer, started, later)
    assert started.configuration.version == 7
    assert started.closed_zones == set()


def test_kept_state_of_another_era_is_not_taken_over() -> None:
    peer, started = build_restored_registry(), read_copy()
    started.apply_snapshot([configure(7, 1)], revision=9, era=Era(3), now=Millis(0))
    pass_kept_state(peer, started, 1)
    assert started.configuration.version == 7
    assert started.closed_zones == set()


def test_nothing_is_stated_by_an_instance_that_keeps_nothing() -> None:
    registry = read_copy()
    assert registry.compute_kept_digest(Millis(0)) == 0
    assert not registry.lacks_kept(0, Millis(0))
