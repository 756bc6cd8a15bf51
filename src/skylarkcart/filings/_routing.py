"""Routes repeats of a filing to the same upstream."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from skylarkcart.types import UpstreamId


def rank_upstreams(
    key: str, upstreams: Collection[UpstreamId]
) -> tuple[UpstreamId, ...]:
    """Orders upstreams by rendezvous hashing of an idempotency key.

    Every instance computes the same order. If an upstream leaves, only the keys
    assigned to it are reassigned.
    """

    def hash_pair(upstream: UpstreamId) -> bytes:
        data = f"{len(key)}:{key}:{upstream}".encode("utf-8", "surrogatepass")
        return hashlib.sha256(data).digest()

    return tuple(sorted(upstreams, key=hash_pair, reverse=True))
