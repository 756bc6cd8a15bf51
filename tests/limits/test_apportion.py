"""Guards against parts whose sum exceeds an account's burst or rate."""

from __future__ import annotations

import pytest

from skylarkcart.clock import Millis
from skylarkcart.declarations import AccountRow, Configuration, ZoneRow
from skylarkcart.limits import MemberView, PartsKeeper, compute_parts
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
def test_parts_add_up_to_burst_and_rate(burst, weights):
    parts = compute_parts(build_configuration(burst=burst, weights=weights))
    held = [zone[ACCOUNT] for zone in parts.values() if ACCOUNT in zone]
    assert sum(part.burst for part in held) == burst
    assert sum(part.rate_per_ms for part in held) == pytest.approx(0.01)


def test_small_account_is_not_split_into_parts_without_a_token():
    parts = compute_parts(build_configuration(burst=1, rate=0.5))
    assert sum(ACCOUNT in zone for zone in parts.values()) == 1


def test_closed_and_removed_zones_get_no_part():
    states = {NORTH: ZoneState.CLOSED, EAST: ZoneState.REMOVED}
    assert set(compute_parts(build_configuration(states=states))) == {SOUTH, WEST}


def test_part_grows_one_lease_after_reduced_zones_report():
    keeper = PartsKeeper(zone=NORTH)
    keeper.adopt(build_configuration(1))
    keeper.note_settled(1)
    keeper.adopt(build_configuration(2, weights={NORTH: 3.0}))
    keeper.observe(build_member_views(east=2, south=2, west=1), Millis(0))
    keeper.observe(build_member_views(east=2, south=2, west=1), Millis(9_000))
    assert keeper.effective[ACCOUNT].burst == 5
    keeper.observe(build_member_views(east=2, south=2, west=2), Millis(9_500))
    keeper.observe(build_member_views(east=2, south=2, west=2), Millis(11_499))
    assert keeper.effective[ACCOUNT].burst == 5
    keeper.observe(build_member_views(east=2, south=2, west=2), Millis(11_500))
    assert keeper.effective[ACCOUNT].burst == 10


def test_part_shrinks_at_once_and_stays_small_over_unsettled_revisions():
    keeper = PartsKeeper(zone=NORTH)
    keeper.adopt(build_configuration(1))
    keeper.note_settled(1)
    keeper.adopt(build_configuration(2, weights={NORTH: 0.1}))
    small = keeper.effective[ACCOUNT].burst
    keeper.adopt(build_configuration(3))
    assert small < 5
    assert keeper.effective[ACCOUNT].burst == small


def test_silent_zone_blocks_growth_until_it_is_declared_removed():
    keeper = PartsKeeper(zone=NORTH)
    keeper.adopt(build_configuration(1))
    keeper.note_settled(1)
    keeper.adopt(build_configuration(2, states={WEST: ZoneState.CLOSED}))
    for now in (0, 9_000):
        keeper.observe(build_member_views(east=2, south=2), Millis(now))
    assert keeper.effective[ACCOUNT].burst == 5
    keeper.adopt(build_configuration(3, states={WEST: ZoneState.REMOVED}))
    keeper.observe(build_member_views(east=3, south=3), Millis(9_000))
    assert (
        keeper.effective[ACCOUNT].burst == 5
    )  # Grants of the removed zone may still be valid.
    keeper.observe(build_member_views(east=3, south=3), Millis(11_000))
    assert keeper.effective[ACCOUNT].burst in (6, 7)


def test_new_instance_has_no_part_until_its_revision_is_settled():
    keeper = PartsKeeper(zone=NORTH)
    keeper.adopt(build_configuration(2))
    for now in (0, 9_000):
        keeper.observe(build_member_views(east=2, south=2, west=3), Millis(now))
    assert keeper.effective[ACCOUNT].burst == 0
    keeper.note_settled(1)
    assert keeper.effective[ACCOUNT].burst == 0
    keeper.note_settled(2)
    assert keeper.effective[ACCOUNT].burst == 5
