"""Guards against an outage of the store that is remembered after it has ended.

An instance that fails to read the store leaves reading to others and doesn't call it
again. While it took the outage for present, it went on using each upstream that left.
"""

from __future__ import annotations

import pytest

from skylarkcart.clock import Millis
from skylarkcart.registry import Registry
from tests.registry.test_registry import (
    FIRST,
    SECOND,
    build_registry,
    delete,
    put,
    transfer_state,
)


def build_instance_after_a_cut() -> Registry:
    """Returns an instance whose call failed at 3 s, during a cut that ended at 8 s."""
    registry = build_registry()
    registry.apply_changes([put(FIRST, 1), put(SECOND, 2)], revision=2, now=Millis(0))
    registry.record_store_outage(Millis(3_000))
    registry.confirm(Millis(8_500))
    return registry


def test_removal_read_long_after_a_cut_takes_effect_at_once() -> None:
    """It has become a reader, as the other readers have failed."""
    registry = build_instance_after_a_cut()
    registry.record_store_response(Millis(19_000))
    registry.apply_changes([delete(FIRST, 3)], revision=3, now=Millis(19_000))
    assert set(registry.upstreams) == {SECOND}


def test_removal_that_a_peer_passes_on_takes_effect_at_once() -> None:
    reader, registry = build_registry(), build_instance_after_a_cut()
    assert transfer_state(registry, reader, 10_000)
    reader.apply_changes([delete(FIRST, 3)], revision=3, now=Millis(19_000))
    assert transfer_state(reader, registry, 19_000)
    assert set(registry.upstreams) == {SECOND}


def test_own_failed_calls_do_not_delay_removals_that_a_peer_passes_on() -> None:
    """The store turns this instance away and serves the others."""
    reader, registry = build_registry(), build_instance_after_a_cut()
    assert transfer_state(registry, reader, 10_000)
    registry.record_store_outage(Millis(18_900))
    reader.apply_changes([delete(FIRST, 3)], revision=3, now=Millis(19_000))
    assert transfer_state(reader, registry, 19_000)
    assert set(registry.upstreams) == {SECOND}


@pytest.mark.parametrize("removed_at", [9_000, 10_400])
def test_entry_removed_soon_after_an_outage_is_kept_only_to_the_end_of_the_grace(
    removed_at: float,
) -> None:
    registry = build_instance_after_a_cut()
    registry.record_store_response(Millis(removed_at))
    registry.apply_changes([delete(FIRST, 3)], revision=3, now=Millis(removed_at))
    assert FIRST in registry.upstreams
    assert registry.remove_expired(Millis(10_500))
    assert set(registry.upstreams) == {SECOND}


def test_older_confirmation_does_not_end_an_outage() -> None:
    """It tells of a response before the failed call; upstreams are still cut off."""
    registry = build_instance_after_a_cut()
    registry.record_store_outage(Millis(20_000))
    registry.confirm(Millis(19_900))
    registry.record_store_response(Millis(25_000))
    registry.apply_changes([delete(FIRST, 3)], revision=3, now=Millis(25_000))
    assert FIRST in registry.upstreams
    assert registry.remove_expired(Millis(27_000))
