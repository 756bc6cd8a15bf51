"""The part of one shard in a scatter-gather request."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.types import ServiceId, UpstreamId


class Part:
    """The calls for one shard, and its answer if there is one.

    ``possible_runs`` counts the upstreams that may have run the request. An upstream
    that refused the request without running it is not counted. ``refusing`` are those
    that were full; if no other upstream is left, they are called again at ``retry_at``,
    for the ``refused_retries``-th time.
    """

    def __init__(self, *, shard: ServiceId) -> None:
        self.shard = shard
        self.tried: list[UpstreamId] = []
        self.pending_calls: dict[UpstreamId, Millis] = {}
        self.possible_runs = 0
        self.refusing: list[UpstreamId] = []
        self.retry_at: Millis | None = None
        self.refused_retries = 0
        self.has_failed = False
        self.signature: bytes | None = None
        self.body = b""

    @property
    def is_answered(self) -> bool:
        return self.signature is not None

    @property
    def is_settled(self) -> bool:
        return self.is_answered or self.has_failed

    def begin_call(self, upstream: UpstreamId, now: Millis) -> None:
        """Records a call that is sent to an upstream."""
        self.tried.append(upstream)
        self.pending_calls[upstream] = now
        self.possible_runs += 1
        self.retry_at = None

    def end_not_run(self, upstream: UpstreamId) -> None:
        self.pending_calls.pop(upstream, None)
        self.possible_runs -= 1

    def end_refused(self, upstream: UpstreamId) -> None:
        """Records that an upstream that was full refused the call."""
        self.end_not_run(upstream)
        self.refusing.append(upstream)

    def end_failed(self, upstream: UpstreamId) -> None:
        self.pending_calls.pop(upstream, None)

    def end_answered(
        self, upstream: UpstreamId, *, signature: bytes, body: bytes
    ) -> None:
        self.pending_calls.pop(upstream, None)
        self.signature = signature
        self.body = body

    def list_unrepeatable(self) -> list[UpstreamId]:
        """Returns the upstreams that were called and may not be called again."""
        return [upstream for upstream in self.tried if upstream not in self.refusing]

    def get_last_call_at(self) -> Millis:
        """Returns when the latest unanswered call was sent."""
        return max(self.pending_calls.values())
