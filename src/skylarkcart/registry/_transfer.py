"""Changes that bring an instance to the state that another one passed on."""

from __future__ import annotations

from skylarkcart.registry._messages import (
    CONFIGURATION_KEY,
    Change,
    ClosedZone,
    Published,
    build_upstream_key,
    build_zone_key,
)


def list_changes(published: Published) -> list[Change]:
    """Returns the items and removals that a state lists."""
    changes = [
        Change(
            key=build_upstream_key(known.entry.upstream),
            revision=known.revision,
            value=known.entry,
        )
        for known in published.upstreams
    ]
    changes += [
        Change(
            key=build_zone_key(zone),
            revision=published.revision,
            value=ClosedZone(zone=zone),
        )
        for zone in published.closed_zones
    ]
    changes += [
        Change(key=removal.key, revision=removal.revision, value=None)
        for removal in published.removals
    ]
    if published.configuration is not None:
        configuration = Change(
            key=CONFIGURATION_KEY,
            revision=published.configuration_revision,
            value=published.configuration,
        )
        changes.append(configuration)
    return changes
