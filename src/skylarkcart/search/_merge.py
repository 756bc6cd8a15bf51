"""Merges the parts of one snapshot into a ranked answer."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

import msgspec

from skylarkcart.search._messages import (
    CallAnswered,
    Coverage,
    Hit,
    MissingShard,
    SearchAnswer,
    SearchRequest,
    ShardResult,
    ShardStatus,
    StartCall,
)
from skylarkcart.types import ShardId, SnapshotId

REASON_NO_UPSTREAM = "no_upstream"
REASON_UPSTREAM_HAS_NO_SHARD = "upstream_has_no_shard"
REASON_UPSTREAM_PARTIAL = "upstream_partial"


class ShardPart(msgspec.Struct, frozen=True, kw_only=True):
    """A shard's result with its call and the answer that contained it."""

    result: ShardResult
    call: StartCall
    answer: CallAnswered


class ShardPartCollection:
    """The parts received for a pinned snapshot, at most one per shard."""

    def __init__(self, *, snapshot: SnapshotId, shards: Iterable[ShardId]) -> None:
        self.snapshot = snapshot
        self.shards = tuple(shards)
        self._parts: dict[ShardId, ShardPart] = {}
        self._reasons: dict[ShardId, str] = {}

    @property
    def parts(self) -> tuple[ShardPart, ...]:
        return tuple(self._parts.values())

    def add(self, part: ShardPart) -> None:
        """Keeps the first complete part of a shard, else the largest partial one.

        Partial parts are not combined: their documents may overlap and would be
        counted twice.
        """
        shard = part.result.shard
        if self.is_covered(shard):
            return
        if part.result.status is ShardStatus.MISSING:
            self.record_missing(shard, REASON_UPSTREAM_HAS_NO_SHARD)
            return
        if part.result.status is ShardStatus.PARTIAL:
            self.record_missing(shard, REASON_UPSTREAM_PARTIAL)
            known = self._parts.get(shard)
            if known is not None and known.result.total >= part.result.total:
                return
        self._parts[shard] = part

    def record_missing(self, shard: ShardId, reason: str) -> None:
        """Records why a shard is not covered; a partial part takes precedence."""
        if shard in self._parts:
            reason = REASON_UPSTREAM_PARTIAL
        self._reasons[shard] = reason

    def is_covered(self, shard: ShardId) -> bool:
        part = self._parts.get(shard)
        return part is not None and part.result.status is ShardStatus.OK

    def list_uncovered(self) -> tuple[ShardId, ...]:
        return tuple(shard for shard in self.shards if not self.is_covered(shard))

    def build_answer(self, request: SearchRequest) -> SearchAnswer:
        """Merges all parts into an answer with its coverage."""
        uncovered = self.list_uncovered()
        missing = tuple(
            MissingShard(
                shard=shard, reason=self._reasons.get(shard, REASON_NO_UPSTREAM)
            )
            for shard in uncovered
        )
        best = heapq.nsmallest(request.limit, self._iterate_hits(), key=_rank_key)
        return SearchAnswer(
            request_id=request.request_id,
            snapshot=self.snapshot,
            coverage=Coverage(
                covered=len(self.shards) - len(uncovered),
                total=len(self.shards),
                complete=not uncovered,
                missing=missing,
            ),
            hits=tuple(hit for _, hit in best),
            total_hits=sum(part.result.total for part in self._parts.values()),
        )

    def _iterate_hits(self) -> Iterator[tuple[ShardId, Hit]]:
        for shard, part in self._parts.items():
            for hit in part.result.hits:
                yield shard, hit


def _rank_key(ranked: tuple[ShardId, Hit]) -> tuple[float, ShardId, str]:
    shard, hit = ranked
    return (-hit.score, shard, hit.document)
