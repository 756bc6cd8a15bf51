"""Checks a finished answer against the calls sent and the answers received.

The audit uses its own record of calls and answers instead of the state of the
collection, so that it detects faults in selecting or merging the parts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from skylarkcart.declarations import IndexSnapshot
from skylarkcart.invariants import Invariant, check
from skylarkcart.search._merge import ShardPart
from skylarkcart.search._messages import (
    CallAnswered,
    SearchAnswer,
    SearchRequest,
    ShardStatus,
    StartCall,
)
from skylarkcart.types import CallId, ShardId


class SearchRecord:
    """The calls sent and the answers received for one search."""

    def __init__(self) -> None:
        self._sent: dict[CallId, StartCall] = {}
        self._answers: list[CallAnswered] = []

    def record_sent(self, call: StartCall) -> None:
        self._sent[call.call] = call

    def record_received(self, answer: CallAnswered) -> None:
        self._answers.append(answer)

    def audit(
        self,
        answer: SearchAnswer,
        *,
        request: SearchRequest,
        snapshot: IndexSnapshot,
        parts: Iterable[ShardPart],
    ) -> None:
        """Asserts ``ONE_SNAPSHOT``, ``OWN_ANSWER`` and ``TRUE_COVERAGE``."""
        parts = tuple(parts)
        for part in parts:
            self._audit_part(part, answer, request)
        self._audit_coverage(answer, snapshot)
        totals = {part.result.shard: part.result.total for part in parts}
        hits = sum(totals.values())
        check(
            len(totals) == len(parts)
            and answer.total_hits == hits
            and len(answer.hits) <= request.limit,
            Invariant.TRUE_COVERAGE,
            f"answer counts {answer.total_hits} hits from {len(parts)} parts, "
            f"but the parts of {len(totals)} shards count {hits}",
        )

    def _audit_part(
        self, part: ShardPart, answer: SearchAnswer, request: SearchRequest
    ) -> None:
        check(
            part.answer.snapshot == answer.snapshot,
            Invariant.ONE_SNAPSHOT,
            f"part of shard {part.result.shard} has snapshot {part.answer.snapshot}, "
            f"the answer has {answer.snapshot}",
        )
        sent = self._sent.get(part.answer.call)
        check(
            answer.request_id == request.request_id
            and sent is not None
            and sent.request_id == part.answer.request_id
            and part.result.shard in sent.shards,
            Invariant.OWN_ANSWER,
            f"part of shard {part.result.shard} answers {part.answer.request_id}, "
            f"which call {part.answer.call} of {request.request_id} did not request",
        )

    def _audit_coverage(self, answer: SearchAnswer, snapshot: IndexSnapshot) -> None:
        snapshot_shards = {placement.shard for placement in snapshot.shards}
        missing = Counter(entry.shard for entry in answer.coverage.missing)
        covered = snapshot_shards - set(missing)
        unproven = covered - self._find_complete_shards(answer, snapshot_shards)
        check(
            not unproven,
            Invariant.TRUE_COVERAGE,
            f"shards {sorted(unproven)} are stated as covered without a complete part",
        )
        check(
            answer.snapshot == snapshot.snapshot
            and set(missing) <= snapshot_shards
            and missing.total() == len(missing)
            and answer.coverage.covered == len(covered)
            and answer.coverage.total == len(snapshot_shards)
            and answer.coverage.complete == (not missing),
            Invariant.TRUE_COVERAGE,
            f"coverage {answer.coverage} does not match the "
            f"{len(snapshot_shards)} shards of the snapshot",
        )

    def _find_complete_shards(
        self, answer: SearchAnswer, snapshot_shards: set[ShardId]
    ) -> set[ShardId]:
        complete = set()
        for received in self._answers:
            sent = self._sent.get(received.call)
            if (
                sent is None
                or received.request_id != sent.request_id
                or received.snapshot != answer.snapshot
            ):
                continue
            complete.update(
                part.shard
                for part in received.shards
                if part.status is ShardStatus.OK and part.shard in sent.shards
            )
        return complete & snapshot_shards
