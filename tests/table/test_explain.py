"""Guards against explanations that differ from what the fleet does."""

from __future__ import annotations

from skylarkcart.declarations import AccountRow, Configuration, ZoneRow
from skylarkcart.limits import compute_allocations
from skylarkcart.table._explain import explain
from skylarkcart.types import AccountId, ZoneId, ZoneState


def test_closed_zone_is_explained_with_the_allocation_that_limits_assign():
    zones = (
        ZoneRow(zone=ZoneId("north")),
        ZoneRow(zone=ZoneId("south"), state=ZoneState.CLOSED),
    )
    row = AccountRow(account=AccountId("museo"), rate_per_s=10, burst=20, share=1)
    configuration = Configuration(
        revision=1,
        max_instances=2,
        accounts=(row,),
        services=(),
        zones=zones,
        keys=(),
    )
    lines = "\n".join(explain(configuration))
    assert "zone north: open; 1 of each rate" in lines
    assert "south 0" not in lines and "zone south" in lines
    assert "0 of each rate" in lines
    assert ZoneId("south") not in {
        zone
        for zone, allocations in compute_allocations(configuration).items()
        if allocations
    }
