"""This instance's share of an upstream's connections."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from skylarkcart.types import InstanceId, UpstreamId


def compute_connection_share(
    *,
    connections: int,
    max_instances: int,
    upstream: UpstreamId,
    instance: InstanceId,
    instances: Collection[InstanceId],
) -> int:
    """Returns how many connections an instance may have to an upstream.

    If there is less than one connection per instance, the first ``connections`` listed
    instances in rendezvous order get one each.

    >>> compute_connection_share(connections=30, max_instances=12, upstream="u",
    ...                          instance="a", instances=())
    2
    """
    share = connections // max_instances
    if share >= 1:
        return share
    return int(instance in choose_senders(upstream, instances, count=connections))


def choose_senders(
    upstream: UpstreamId, instances: Collection[InstanceId], *, count: int
) -> tuple[InstanceId, ...]:
    """Returns the first ``count`` instances in rendezvous order of an upstream."""
    ranked = sorted(
        instances, key=lambda instance: _hash_rendezvous(upstream, instance)
    )
    return tuple(ranked[:count])


def _hash_rendezvous(upstream: UpstreamId, instance: InstanceId) -> bytes:
    digest = hashlib.blake2b(f"{instance}/{upstream}".encode(), digest_size=8)
    return digest.digest()


class ConnectionCount:
    """Counts the connections of this instance to one upstream."""

    def __init__(self) -> None:
        self.open = 0
        self.is_opening = False

    def wants_another(self, *, in_flight: int, share: int) -> bool:
        """Whether to open a connection: one stays idle, and one opens at a time."""
        return not self.is_opening and self.open < min(share, in_flight + 1)

    def record_opened(self) -> None:
        self.is_opening = False
        self.open += 1

    def record_failed(self) -> None:
        self.is_opening = False

    def record_closed(self) -> bool:
        """Returns whether the last connection was closed."""
        if self.open == 0:
            return False
        self.open -= 1
        return self.open == 0
