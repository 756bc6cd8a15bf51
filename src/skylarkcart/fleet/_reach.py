"""Which other instances are heard, so that a partition is noticed soon."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.fleet._peer import Peer
from skylarkcart.types import InstanceId, ZoneId

# Instances that can't hear each other spend the same tokens of an account, so that a
# partition has to be noticed before its instances count as unresponsive. Without news
# of any instance of a zone for this time, the zone is taken for cut off; in a full
# mesh, each instance is. With gossip, news of other zones arrive less often.
SILENT_AFTER_MS = 500.0
GOSSIP_OTHER_ZONE_SILENT_AFTER_MS = 1_500.0


class Reach(msgspec.Struct, frozen=True, kw_only=True):
    """The part of the fleet that an instance hears.

    ``fraction`` counts the instance itself and is relative to the estimated size.
    ``silent`` are the known instances that are not heard, at least one of which was
    heard until ``silent_since``.
    """

    fraction: float
    silent: frozenset[InstanceId]
    silent_since: Millis


def compute_reach(
    peers: Collection[Peer],
    *,
    unresponsive: Collection[Peer],
    zone: ZoneId,
    estimated_size: int,
    uses_gossip: bool,
    now: Millis,
) -> Reach:
    """Returns which part of the fleet an instance of a zone hears.

    A peer is silent if it is unresponsive, or earlier if it may be cut off: in a full
    mesh without a report of its own, with gossip without news of any peer of its zone.
    """
    heard_at = {peer.member.instance: peer.reported_at for peer in peers}
    if uses_gossip:
        newest: dict[ZoneId, Millis] = {}
        for peer in peers:
            known = newest.get(peer.member.zone, peer.reported_at)
            newest[peer.member.zone] = max(known, peer.reported_at)
        heard_at = {peer.member.instance: newest[peer.member.zone] for peer in peers}
    silent = {peer.member.instance: peer for peer in unresponsive}
    for peer in peers:
        limit_ms = SILENT_AFTER_MS
        if uses_gossip and peer.member.zone != zone:
            limit_ms = GOSSIP_OTHER_ZONE_SILENT_AFTER_MS
        if now - heard_at[peer.member.instance] > limit_ms:
            silent[peer.member.instance] = peer
    heard = 1 + len(peers) - len(silent)
    return Reach(
        fraction=heard / max(heard, estimated_size),
        silent=frozenset(silent),
        silent_since=max((peer.reported_at for peer in silent.values()), default=now),
    )
