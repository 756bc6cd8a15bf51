"""Selects the instances that watch the platform for changes."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from skylarkcart.types import InstanceId

READERS_PER_ZONE = 2


def select_readers(zone_members: Iterable[InstanceId]) -> tuple[InstanceId, ...]:
    """Returns the members of one zone that watch the platform.

    With rendezvous hashing, the selection changes only when a selected member leaves or
    a member with a lower hash joins. Members that briefly disagree about who is in the
    zone cause a few extra readers, but never leave the zone without one.
    """
    ranked = sorted(set(zone_members), key=_rank_key)
    return tuple(ranked[:READERS_PER_ZONE])


def _rank_key(instance: InstanceId) -> tuple[bytes, InstanceId]:
    return hashlib.sha256(f"config-reader:{instance}".encode()).digest(), instance
