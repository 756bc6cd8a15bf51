"""Guards against allocations whose sum exceeds an account's burst or rate."""

from __future__ import annotations

import pytest

from skylarkcart.clock import Millis
from skylarkcart.declarations import AccountRow, Configuration, ZoneRow
from skylarkcart.limits import AllocationTracker, MemberView, compute_allocations
from skylarkcart.types import AccountId, InstanceId, ZoneId, ZoneState

ACCOUNT = AccountId("museo-oro")
NORTH, EAST, SOUTH, WEST = ZONES = tuple(
    ZoneId(name) for name in ("north", "east", "south", "west")
)


def build_configuration(revision=1, *, burst=20, rate=10.0, weights=None, states=None):
    return Configuration(
        revision=revision,
        max_instances=12,
        accounts=(
            AccountRow(account=ACCOUNT, rate_per_s=rate, burst=burst, share=1.0),
        ),
        services=(),
        zones=tuple(
            ZoneRow(
                zone=zone,
                weight=(weights or {}).get(zone, 1.0),
                state=(states or {}).get(zone, ZoneState.OPEN),
            )
            for zone in ZONES
        ),
        keys=(),
    )


def build_member_views(**revisions):
    return [
        MemberView(
            instance=InstanceId(f"{zone}-0"), zone=ZoneId(zone), revision=revision
        )
        for zone, revision in revisions.items()
    ]


@pytest.mark.parametrize("burst", [1, 2, 3, 7, 20, 201])
@pytest.mark.parametrize("weights", [None, {NORTH: 0.1, EAST: 7.3}, {WEST: 0}])
def test_allocations_add_up_to_burst_and_rate(burst, weights):
    allocations = compute_allocations(build_configuration(burst=burst, weights=weights))
    held = [zone[ACCOUNT] for zone in allocations.values() if ACCOUNT in zone]
    assert sum(allocation.burst for allocation in held) == burst
    assert sum(allocation.rate_per_ms for allocation in held) == pytest.approx(0.01)


def test_small_account_is_not_split_into_allocations_without_a_token():
    allocations = compute_allocations(build_configuration(burst=1, rate=0.5))
    assert sum(ACCOUNT in zone for zone in allocations.values()) == 1


def test_closed_and_removed_zones_get_no_allocation():
    states = {NORTH: ZoneState.CLOSED, EAST: ZoneState.REMOVED}
    assert set(compute_allocations(build_configuration(states=states))) == {SOUTH, WEST}


def test_allocation_grows_one_lease_after_reduced_zones_report():
    tracker = AllocationTracker(zone=NORTH)
    tracker.adopt(build_configuration(1))
    tracker.record_settled(1)
    tracker.adopt(build_configuration(2, weights={NORTH: 3.0}))
    tracker.observe(build_member_views(east=2, south=2, west=1), Millis(0))
    tracker.observe(build_member_views(east=2, south=2, west=1), Millis(9_000))
    assert tracker.current[ACCOUNT].burst == 5
    tracker.observe(build_member_views(east=2, south=2, west=2), Millis(9_500))
    tracker.observe(build_member_views(east=2, south=2, west=2), Millis(11_499))
    assert tracker.current[ACCOUNT].burst == 5
    tracker.observe(build_member_views(east=2, south=2, west=2), Millis(11_500))
    assert tracker.current[ACCOUNT].burst == 10


def test_allocation_shrinks_at_once_and_stays_small_over_unsettled_revisions():
    tracker = AllocationTracker(zone=NORTH)
    tracker.adopt(build_configuration(1))
    tracker.record_settled(1)
    tracker.adopt(build_configuration(2, weights={NORTH: 0.1}))
    small = tracker.current[ACCOUNT].burst
    tracker.adopt(build_configuration(3))
    assert small < 5
    assert tracker.current[ACCOUNT].burst == small


def test_silent_zone_blocks_growth_until_it_is_declared_removed():
    tracker = AllocationTracker(zone=NORTH)
    tracker.adopt(build_configuration(1))
    tracker.record_settled(1)
    tracker.adopt(build_configuration(2, states={WEST: ZoneState.CLOSED}))
    for now in (0, 9_000):
        tracker.observe(build_member_views(east=2, south=2), Millis(now))
    assert tracker.current[ACCOUNT].burst == 5
    tracker.adopt(build_configuration(3, states={WEST: ZoneState.REMOVED}))
    tracker.observe(build_member_views(east=3, south=3), Millis(9_000))
    assert (
        tracker.current[ACCOUNT].burst == 5
    )  # Grants of the removed zone may still be valid.
    tracker.observe(build_member_views(east=3, south=3), Millis(11_000))
    assert tracker.current[ACCOUNT].burst in (6, 7)


def test_new_instance_has_no_allocation_until_its_revision_is_settled():
    tracker = AllocationTracker(zone=NORTH)
    tracker.adopt(build_configuration(2))
    for now in (0, 9_000):
        tracker.observe(build_member_views(east=2, south=2, west=3), Millis(now))
    assert tracker.current[ACCOUNT].burst == 0
    tracker.record_settled(1)
    assert tracker.current[ACCOUNT].burst == 0
    tracker.record_settled(2)
    assert tracker.current[ACCOUNT].burst == 5
