"""Simulated upstreams with slots, cold start, load shedding and stragglers."""

from __future__ import annotations

import random
import zlib
from collections import deque
from collections.abc import Callable

import msgspec

from skylarkcart.declarations import IndexSnapshot, ShardPlacement
from skylarkcart.search import Hit, ShardResult, ShardStatus, StartCall
from skylarkcart.types import (
    InstanceId,
    ProcessId,
    ServiceId,
    ShardId,
    SnapshotId,
    UpstreamId,
    ZoneId,
)

SERVICE = ServiceId("search")
SLOTS = 3
COLD_SLOTS = 1
MEDIAN_LATENCY_MS = 5.0
LATENCY_SIGMA = 0.25
COLD_LATENCY_FACTOR = 5.0
STRAGGLER_LATENCY_FACTOR = 20.0
MAX_QUEUED_PER_SLOT = 3

# A new process is warm after serving this many calls, whatever the code under test
# assumes about it.
WARM_AFTER_CALLS = 12

# A process that turned cold without a restart needs more calls to become warm again, so
# that it stays cold for longer than the instances may take to detect it.
REWARM_AFTER_CALLS = 40

DOCUMENTS_PER_SHARD = 6
DOCUMENTS_PER_PARTIAL_SHARD = 2
DISTINCT_SCORES = 10


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's response that it did not run the call."""

    reason: str


class FakeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's answer as it is sent over the network."""

    request_id: str
    snapshot: SnapshotId
    shards: tuple[ShardResult, ...]


class FakeCall(msgspec.Struct, kw_only=True, eq=False):
    """A call to a simulated upstream, from sending until its response arrives."""

    start: StartCall
    query: str
    instance: InstanceId
    started_at: float
    process: ProcessId
    deliver: Callable[[FakeCall, FakeAnswer | Refusal | None], None]
    is_ended: bool = False
    is_discarded: bool = False


def build_hits(
    query: str, snapshot: SnapshotId, shard: ShardId, count: int
) -> tuple[Hit, ...]:
    """Returns hits whose document names contain the query, snapshot and shard.

    Few distinct scores are used, so that many hits have equal scores.
    """
    names = (f"{query}|{snapshot}|{shard}|{number}" for number in range(count))
    return tuple(
        Hit(document=name, score=float(zlib.crc32(name.encode()) % DISTINCT_SCORES))
        for name in names
    )


def build_snapshot(
    sequence: int,
    *,
    zones: tuple[ZoneId, ...],
    upstreams_per_zone: int,
    random: random.Random,
) -> IndexSnapshot:
    """Places a random number of shards on the upstreams of each zone."""
    shard_count = random.choice((2, 3, 4)) * upstreams_per_zone - random.choice((0, 1))
    offset = random.randrange(upstreams_per_zone)
    placements = tuple(
        ShardPlacement(
            shard=ShardId(f"s{number}"),
            upstreams=tuple(
                UpstreamId(f"{zone}{(number + offset) % upstreams_per_zone}")
                for zone in zones
            ),
        )
        for number in range(shard_count)
    )
    return IndexSnapshot(
        service=SERVICE,
        snapshot=SnapshotId(f"v{sequence}"),
        sequence=sequence,
        shards=placements,
    )


class FakeUpstream:
    """An upstream address and the successive processes that serve it.

    ``schedule(delay, function, *arguments)`` runs a function after ``delay`` ms of
    simulated time.
    """

    def __init__(
        self,
        *,
        upstream: UpstreamId,
        zone: ZoneId,
        random: random.Random,
        schedule: Callable[..., None],
        respond: Callable[[FakeCall, FakeAnswer | Refusal], None],
        clock: Callable[[], float],
        straggler_ratio: float,
        partial_ratio: float,
    ) -> None:
        self.id = upstream
        self.zone = zone
        self._random = random
        self._schedule = schedule
        self._respond = respond
        self._clock = clock
        self._straggler_ratio = straggler_ratio
        self._partial_ratio = partial_ratio
        self.incarnation = 0
        self.is_up = True
        self.is_leaving = False
        self.draining_since: float | None = None
        self.refuses_when_cold = False
        self.latency_factor = 1.0
        self.shards_by_snapshot: dict[SnapshotId, frozenset[ShardId]] = {}
        self.running: set[FakeCall] = set()
        self._queue: deque[FakeCall] = deque()
        self.served_calls = 0

    @property
    def process(self) -> ProcessId:
        return ProcessId(f"{self.id}#{self.incarnation}")

    @property
    def is_cold(self) -> bool:
        return self.served_calls < WARM_AFTER_CALLS

    @property
    def load(self) -> int:
        return len(self.running) + len(self._queue)

    def add_snapshot(self, snapshot: IndexSnapshot) -> None:
        self.shards_by_snapshot[snapshot.snapshot] = frozenset(
            placement.shard
            for placement in snapshot.shards
            if self.id in placement.upstreams
        )

    def restart(self) -> list[FakeCall]:
        """Starts a new, cold process and returns the interrupted calls."""
        interrupted = [*self.running, *self._queue]
        self.running.clear()
        self._queue.clear()
        for call in interrupted:
            call.is_discarded = True
        self.incarnation += 1
        self.served_calls = 0
        self.refuses_when_cold = False
        self.draining_since = None
        self.is_leaving = False
        return interrupted

    def turn_cold(self, *, refuses: bool) -> None:
        """Makes the upstream cold without restarting its process."""
        self.served_calls = WARM_AFTER_CALLS - REWARM_AFTER_CALLS
        self.refuses_when_cold = refuses

    def receive(self, call: FakeCall) -> None:
        refusal = self._find_refusal(call)
        if refusal:
            self._respond(call, Refusal(reason=refusal))
        elif len(self.running) < SLOTS:
            self._start_call(call)
        else:
            self._queue.append(call)

    def cancel(self, call: FakeCall) -> None:
        call.is_discarded = True
        if call in self.running:
            self.running.discard(call)
            self._start_queued_calls()

    def _find_refusal(self, call: FakeCall) -> str:
        if self.draining_since is not None:
            return "draining"
        if call.start.snapshot not in self.shards_by_snapshot:
            return "snapshot_gone"
        if self.is_cold and self.refuses_when_cold and len(self.running) >= COLD_SLOTS:
            return "cold"
        if len(self._queue) >= MAX_QUEUED_PER_SLOT * SLOTS:
            return "shedding"
        return ""

    def _start_call(self, call: FakeCall) -> None:
        self.running.add(call)
        duration_ms = MEDIAN_LATENCY_MS * self._random.lognormvariate(
            0.0, LATENCY_SIGMA
        )
        duration_ms *= self.latency_factor
        if self._random.random() < self._straggler_ratio:
            duration_ms *= STRAGGLER_LATENCY_FACTOR
        if self.is_cold:
            duration_ms *= COLD_LATENCY_FACTOR
        remaining_ms = call.start.deadline - self._clock()
        if duration_ms > remaining_ms:
            self._schedule(remaining_ms, self._time_out, call)
        else:
            self._schedule(duration_ms, self._complete, call)

    def _time_out(self, call: FakeCall) -> None:
        """Refuses a call at its deadline, as no caller waits for its answer then."""
        if call in self.running:
            self.running.discard(call)
            self._respond(call, Refusal(reason="deadline"))
            self._start_queued_calls()

    def _complete(self, call: FakeCall) -> None:
        if call not in self.running:
            return
        self.running.discard(call)
        self.served_calls += 1
        self._respond(call, self._build_answer(call))
        self._start_queued_calls()

    def _start_queued_calls(self) -> None:
        while self._queue and len(self.running) < SLOTS:
            call = self._queue.popleft()
            if not call.is_discarded:
                self._start_call(call)

    def _build_answer(self, call: FakeCall) -> FakeAnswer:
        held_shards = self.shards_by_snapshot.get(call.start.snapshot, frozenset())
        return FakeAnswer(
            request_id=call.start.request_id,
            snapshot=call.start.snapshot,
            shards=tuple(
                self._build_shard_result(call, shard, held_shards)
                for shard in call.start.shards
            ),
        )

    def _build_shard_result(
        self, call: FakeCall, shard: ShardId, held_shards: frozenset[ShardId]
    ) -> ShardResult:
        if shard not in held_shards:
            return ShardResult(shard=shard, status=ShardStatus.MISSING)
        status, count = ShardStatus.OK, DOCUMENTS_PER_SHARD
        if self._random.random() < self._partial_ratio:
            status, count = ShardStatus.PARTIAL, DOCUMENTS_PER_PARTIAL_SHARD
        hits = build_hits(call.query, call.start.snapshot, shard, count)
        return ShardResult(shard=shard, status=status, hits=hits, total=count)
