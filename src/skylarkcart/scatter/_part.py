"""The part of one shard in a scatter-gather request."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.types import ServiceId, UpstreamId


class Part:
    """Calls made for one shard, and its answer once there is one.

    ``runs`` counts the upstreams that may have run the request; those that refused it
    unrun leave room for another.
    """

    def __init__(self, *, shard: ServiceId) -> None:
        self.shard = shard
        self.tried: list[UpstreamId] = []
        self.waiting: dict[UpstreamId, Millis] = {}
        self.runs = 0
        self.is_lost = False
        self.signature: bytes | None = None
        self.body = b""

    @property
    def is_answered(self) -> bool:
        return self.signature is not None

    @property
    def is_settled(self) -> bool:
        return self.is_answered or self.is_lost

    def begin_call(self, upstream: UpstreamId, now: Millis) -> None:
        """Records a call to an upstream."""
        self.tried.append(upstream)
        self.waiting[upstream] = now
        self.runs += 1

    def end_unrun(self, upstream: UpstreamId) -> None:
        self.waiting.pop(upstream, None)
        self.runs -= 1

    def end_failed(self, upstream: UpstreamId) -> None:
        self.waiting.pop(upstream, None)

    def end_answered(
        self, upstream: UpstreamId, *, signature: bytes, body: bytes
    ) -> None:
        self.waiting.pop(upstream, None)
        self.signature = signature
        self.body = body

    def get_last_call(self) -> Millis:
        """Returns when the newest unanswered call was sent."""
        return max(self.waiting.values())
