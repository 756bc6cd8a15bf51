"""Gauges that are computed from the instance's state on each scrape."""

from __future__ import annotations

import collections
import itertools
import math

from skylarkcart.entry._state import InstanceState
from skylarkcart.lifecycle import LifecycleState
from skylarkcart.membership import MemberState
from skylarkcart.types import ZoneId, ZoneState

MILLISECONDS_PER_SECOND = 1000.0


def update_gauges(state: InstanceState) -> None:
    """Updates the gauges of ``state.metrics``; called on each scrape."""
    metrics, now = state.metrics, state.now
    for lifecycle_state in LifecycleState:
        is_current = lifecycle_state is state.lifecycle.state
        metrics.lifecycle_state.labels(lifecycle_state.value).set(is_current)
    limits = state.fleet.limits
    metrics.rights_held.set(len(limits.list_held(now)))
    metrics.issuers_reachable.set(limits.has_issuers(now))
    metrics.config_conflicts.set(len(state.fleet.config.conflicts))
    age_ms = state.fleet.platform_contact.get_age_ms(now)
    age_s = math.inf if age_ms is None else age_ms / MILLISECONDS_PER_SECOND
    metrics.platform_contact_age.set(age_s)
    _update_member_gauge(state)


def _update_member_gauge(state: InstanceState) -> None:
    members = state.fleet.members
    counts = collections.Counter(
        (member.zone, member.state)
        for member in (
            *members.zone_members(state.now),
            *members.other_members(state.now),
        )
    )
    own_state = MemberState.ALIVE
    if state.lifecycle.state in (LifecycleState.DRAINING, LifecycleState.STOPPED):
        own_state = MemberState.LEAVING
    counts[state.settings.zone, own_state] += 1
    zones = {zone for zone, _ in counts} | _list_required_zones(state)
    gauge = state.metrics.members
    # Drops the series of zones that are no longer in the configuration.
    gauge.clear()
    for zone, member_state in itertools.product(sorted(zones), MemberState):
        gauge.labels(zone, member_state.value).set(counts[zone, member_state])


def _list_required_zones(state: InstanceState) -> set[ZoneId]:
    """Returns the zones whose members must confirm a configuration revision.

    A zone without members can't confirm a revision, which blocks the other zones'
    parts of each rate. Such a zone is therefore exposed with a count of 0.
    """
    configuration = state.configuration
    rows = configuration.zones if configuration else ()
    return {row.zone for row in rows if row.state is not ZoneState.REMOVED}
