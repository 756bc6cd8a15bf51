"""Describes in plain text what the declarations mean for the fleet."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from skylarkcart.declarations import (
    AccountRow,
    Configuration,
    ServiceRow,
    ZoneRow,
)
from skylarkcart.types import LateShardPreference, PlatformLossPolicy, ZoneState

_STATE_DESCRIPTIONS = {
    ZoneState.OPEN: "open",
    ZoneState.CLOSED: "closed: no new requests, its entry instances report not ready",
    ZoneState.REMOVED: (
        "removed: nothing may run there, its allocations go to other zones"
    ),
}


def explain(configuration: Configuration) -> Iterator[str]:
    """Yields one line for each row, except for keys, which are counted by account."""
    yield (
        f"revision {configuration.revision} for at most "
        f"{configuration.max_instances} instances"
    )
    key_counts = collections.Counter(key.account for key in configuration.keys)
    fractions = _compute_zone_fractions(configuration.zones)
    for zone in configuration.zones:
        yield _explain_zone(zone, fractions)
    for service in configuration.services:
        yield _explain_service(service, configuration.max_instances)
    for account in configuration.accounts:
        yield _explain_account(account, key_counts[account.account], fractions)


def _compute_zone_fractions(zones: tuple[ZoneRow, ...]) -> dict[str, float]:
    # A closed zone has no allocation, because its instances get no requests.
    open_zones = [zone for zone in zones if zone.state is ZoneState.OPEN]
    total = sum(zone.weight for zone in open_zones)
    return {zone.zone: zone.weight / total for zone in open_zones if total > 0}


def _explain_zone(zone: ZoneRow, fractions: dict[str, float]) -> str:
    fraction = fractions.get(zone.zone, 0.0)
    return (
        f"zone {zone.zone}: {_STATE_DESCRIPTIONS[zone.state]}; "
        f"{fraction:.3g} of each rate"
    )


def _explain_service(service: ServiceRow, max_instances: int) -> str:
    per_instance = service.connections // max_instances
    connections = (
        f"{per_instance} connections from each instance"
        if per_instance
        else "connections from selected instances only"
    )
    late_policy = (
        "answers with less coverage"
        if service.prefer is LateShardPreference.TIMELY
        else "waits for missing shards until the deadline"
    )
    access = "open to all" if service.open_to_all else "needs a key"
    return (
        f"service {service.service}: {access}; {service.slots} calls to an upstream, "
        f"{service.cold_slots} while cold; {connections}; after "
        f"{service.answer_by_ms:g} of {service.deadline_ms:g} ms it {late_policy}"
    )


def _explain_account(
    account: AccountRow, key_count: int, fractions: dict[str, float]
) -> str:
    zone_rates = ", ".join(
        f"{zone} {account.rate_per_s * fraction:.4g}/s"
        for zone, fraction in fractions.items()
    )
    platform_loss = (
        "served"
        if account.on_platform_loss is PlatformLossPolicy.SERVE
        else f"refused after {account.refuse_after_s:g} s"
    )
    return (
        f"account {account.account}: {account.rate_per_s:g}/s ({zone_rates}), burst "
        f"{account.burst}, share {account.share:g}; {key_count} keys; {platform_loss} "
        "in a zone cut off from the platform"
    )
