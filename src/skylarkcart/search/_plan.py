"""Assigns shards to upstreams, with one call per upstream."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

import msgspec

from skylarkcart.declarations import IndexSnapshot
from skylarkcart.types import ServiceId, ShardId, UpstreamId


class ReplicaChooser(Protocol):
    """Picks one of a shard's replicas by their current state."""

    def choose(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        """Returns a replica with spare capacity, or None."""

    def begin_call(self, upstream: UpstreamId) -> None:
        """Counts a call immediately, so that the next choice takes it into account."""

    def may_get_capacity(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> bool:
        """Whether a replica may get spare capacity after ``choose`` returned None."""


class SnapshotSource(Protocol):
    """Provides the newest snapshot known to this instance."""

    def find_newest_snapshot(self, service: ServiceId) -> IndexSnapshot | None: ...


class PlannedCall(msgspec.Struct, frozen=True, kw_only=True):
    """The shards to request from one upstream."""

    upstream: UpstreamId
    shards: tuple[ShardId, ...]


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The planned calls, and the shards that no upstream can currently serve."""

    calls: tuple[PlannedCall, ...]
    unassigned: tuple[ShardId, ...]


def plan_calls(
    snapshot: IndexSnapshot,
    *,
    shards: Collection[ShardId],
    chooser: ReplicaChooser,
    excluded: Mapping[ShardId, Collection[UpstreamId]],
) -> Plan:
    """Groups shards by upstream, preferring upstreams already in the plan."""
    groups: dict[UpstreamId, list[ShardId]] = {}
    unassigned = []
    requested = set(shards)
    for placement in snapshot.shards:
        if placement.shard not in requested:
            continue
        shard_excluded = excluded.get(placement.shard, ())
        planned = [
            u for u in placement.upstreams if u in groups and u not in shard_excluded
        ]
        upstream = (
            planned[0]
            if planned
            else chooser.choose(placement.upstreams, excluded=shard_excluded)
        )
        if upstream is None:
            unassigned.append(placement.shard)
            continue
        groups.setdefault(upstream, []).append(placement.shard)
    calls = tuple(
        PlannedCall(upstream=upstream, shards=tuple(group))
        for upstream, group in groups.items()
    )
    return Plan(calls=calls, unassigned=tuple(unassigned))
