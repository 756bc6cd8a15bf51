"""Independent record of a simulated run, used to check calls and search answers.

It relies on what the simulated upstreams did, and not on the state of the decision
logic under test.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from skylarkcart.declarations import IndexSnapshot
from skylarkcart.invariants import Invariant
from skylarkcart.proof._search_fakes import (
    COLD_SLOTS,
    DOCUMENTS_PER_PARTIAL_SHARD,
    DOCUMENTS_PER_SHARD,
    FakeAnswer,
    FakeCall,
    FakeUpstream,
    build_hits,
)
from skylarkcart.search import CallKind, SearchAnswer, SearchRequest, ShardStatus
from skylarkcart.types import ShardId, SnapshotId, ZoneId

CLOSED_ZONE_GRACE_MS = 3_000.0
LEAVING_GRACE_MS = 1_500.0
COLD_REFUSAL_GRACE_MS = 600.0
MAX_DETAILS = 5


class SearchLedger:
    """Records the events of a run and the invariants that they violate."""

    def __init__(self) -> None:
        self.violations: Counter[str] = Counter()
        self.details: list[str] = []
        self.calls_by_kind: Counter[CallKind] = Counter()
        self.latencies_ms: list[float] = []
        self.covered_shards = 0
        self.requested_shards = 0
        self.answers = 0
        self.incomplete_answers = 0
        self.missing_shard_reasons: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.snapshots: dict[SnapshotId, IndexSnapshot] = {}
        self._delivered_shards: defaultdict[tuple[str, SnapshotId], set[ShardId]]
        self._delivered_shards = defaultdict(set)
        self._zone_closed_at: dict[ZoneId, float] = {}
        self._cold_refused_since: dict[str, float | None] = {}

    def record_violation(self, name: str, detail: str) -> None:
        """Counts a violation by the name of the invariant, or else by a short name."""
        self.violations[name] += 1
        if len(self.details) < MAX_DETAILS:
            self.details.append(f"{name}: {detail}")

    def record_zone_closed(self, zone: ZoneId, now: float) -> None:
        self._zone_closed_at[zone] = now

    def record_zone_opened(self, zone: ZoneId) -> None:
        del self._zone_closed_at[zone]

    def record_cold_without_restart(self, upstream: FakeUpstream) -> None:
        """Records that a process turned cold without a restart.

        Instances cannot detect this before its first refusal.
        """
        self._cold_refused_since[upstream.process] = None

    def check_arrival(self, upstream: FakeUpstream, now: float) -> None:
        """Checks that a call may reach the upstream's zone and process."""
        closed_at = self._zone_closed_at.get(upstream.zone)
        if closed_at is not None and now - closed_at > CLOSED_ZONE_GRACE_MS:
            self.record_violation(Invariant.CLOSED_ZONE.value, f"call to {upstream.id}")
        draining_since = upstream.draining_since
        if draining_since is not None and now - draining_since > LEAVING_GRACE_MS:
            self.record_violation(
                Invariant.LEAVING_UPSTREAM.value, f"call to {upstream.id}"
            )

    def check_load(self, upstream: FakeUpstream, now: float) -> None:
        """Checks that a cold process has no more calls than its cold slots.

        A process that turned cold without a restart refuses further calls, so it is
        exempt.
        """
        if not upstream.is_cold or upstream.load <= COLD_SLOTS:
            return
        if upstream.process in self._cold_refused_since:
            return
        self.record_violation(
            Invariant.COLD_START.value,
            f"{upstream.load} calls on cold {upstream.process} at {now:.0f}",
        )

    def record_refusal(self, upstream: FakeUpstream, reason: str, now: float) -> None:
        self.refusals[reason] += 1
        if reason != "cold":
            return
        refused_since = self._cold_refused_since.get(upstream.process)
        if refused_since is None:
            self._cold_refused_since[upstream.process] = now
        elif now - refused_since > COLD_REFUSAL_GRACE_MS:
            self.record_violation(
                Invariant.COLD_START.value,
                f"{upstream.process} refuses as cold at {now:.0f}",
            )

    def record_delivery(self, call: FakeCall, answer: FakeAnswer) -> None:
        """Records the complete shards of a call's own answer on its arrival."""
        shards = {p.shard for p in answer.shards if p.status is ShardStatus.OK}
        self._delivered_shards[call.query, answer.snapshot] |= shards

    def record_answer(
        self,
        request: SearchRequest,
        answer: SearchAnswer,
        *,
        latency_ms: float,
        allowed_ms: float,
    ) -> None:
        """Checks a search's answer against the delivered shards and expected hits."""
        self.answers += 1
        self.latencies_ms.append(latency_ms)
        self.covered_shards += answer.coverage.covered
        self.requested_shards += answer.coverage.total
        self.incomplete_answers += not answer.coverage.complete
        self.missing_shard_reasons.update(
            entry.reason for entry in answer.coverage.missing
        )
        if latency_ms > allowed_ms + 0.01:
            self.record_violation("late_answer", f"answered after {latency_ms} ms")
        self._check_coverage(request, answer)
        self._check_hits(request, answer)

    def _check_coverage(self, request: SearchRequest, answer: SearchAnswer) -> None:
        placed = {p.shard for p in self.snapshots[answer.snapshot].shards}
        missing = {entry.shard for entry in answer.coverage.missing}
        delivered = self._delivered_shards.pop((request.query, answer.snapshot), set())
        undelivered = placed - missing - delivered
        coverage = answer.coverage
        if undelivered or coverage.covered + len(missing) != len(placed):
            self.record_violation(
                Invariant.TRUE_COVERAGE.value,
                f"{request.query}: {sorted(undelivered)} not delivered, {coverage}",
            )
        partial = sum(entry.reason == "upstream_partial" for entry in coverage.missing)
        expected = (
            DOCUMENTS_PER_SHARD * coverage.covered
            + DOCUMENTS_PER_PARTIAL_SHARD * partial
        )
        if answer.total_hits != expected:
            self.record_violation(
                Invariant.TRUE_COVERAGE.value,
                f"{request.query}: {answer.total_hits} hits, expected {expected}",
            )

    def _check_hits(self, request: SearchRequest, answer: SearchAnswer) -> None:
        for hit in answer.hits:
            query, snapshot, _, _ = hit.document.split("|")
            if query != request.query:
                self.record_violation(
                    Invariant.OWN_ANSWER.value, f"{request.query} got {hit.document}"
                )
            elif snapshot != answer.snapshot:
                self.record_violation(
                    Invariant.ONE_SNAPSHOT.value,
                    f"{answer.snapshot} got {hit.document}",
                )
        if not answer.coverage.complete:
            return
        ranked = sorted(
            (-hit.score, placement.shard, hit.document)
            for placement in self.snapshots[answer.snapshot].shards
            for hit in build_hits(
                request.query, answer.snapshot, placement.shard, DOCUMENTS_PER_SHARD
            )
        )
        expected = [document for _, _, document in ranked[: request.limit]]
        if expected != [hit.document for hit in answer.hits]:
            self.record_violation(
                Invariant.OWN_ANSWER.value,
                f"{request.query}: hits differ from the expected ranking",
            )
