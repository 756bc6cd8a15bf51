"""A stand-in for one upstream: slots, cold start, snapshots, filings and faults."""

from __future__ import annotations

import asyncio
import collections
import enum
import random
import uuid
from collections.abc import Sequence

import msgspec

from skylarkcart.declarations import IndexSnapshot
from skylarkcart.search import Hit, ShardResult, ShardStatus
from skylarkcart.types import (
    ServiceId,
    ShardId,
    SnapshotId,
    UpstreamId,
    ZoneId,
)

MILLISECONDS_PER_SECOND = 1000.0
HITS_PER_SHARD = 3
MAX_IN_FLIGHT_PER_SLOT = 8


class LoadReport(enum.Enum):
    """Whether an upstream reports its true load, a frozen or an inverted one."""

    TRUE = "true"
    FROZEN = "frozen"
    INVERTED = "inverted"


class UpstreamProfile(msgspec.Struct, frozen=True, kw_only=True):
    """The behaviour of a stand-in upstream; times in milliseconds.

    A cold upstream runs ``cold_slots`` calls at once and takes ``cold_factor`` times as
    long for each. ``connections`` limits the open connections; 0 means no limit. The
    first request on a connection takes ``connect_cost_ms`` longer.
    """

    slots: int = 3
    cold_slots: int = 1
    warm_after_calls: int = 20
    service_ms: float = 4.0
    jitter_ms: float = 1.0
    straggler_ratio: float = 0.0
    straggler_factor: float = 20.0
    cold_factor: float = 1.0
    connections: int = 0
    connect_cost_ms: float = 0.0


class StandinUpstream:
    """One upstream with slots, a bounded queue, cold start, snapshots and filings.

    With ``fails_searches``, each search runs and then gets a 500. With
    ``is_unreachable``, each request has its connection aborted. The counters are for
    measurements: ``shards_asked`` and ``refused`` count before a call runs, and
    ``cold_excess_calls`` counts the calls that arrived at a cold upstream with all cold
    slots in use.
    """

    def __init__(
        self,
        *,
        upstream: UpstreamId,
        service: ServiceId,
        zone: ZoneId,
        profile: UpstreamProfile,
        random: random.Random,
    ) -> None:
        self.upstream = upstream
        self.service = service
        self.zone = zone
        self.profile = profile
        self.is_draining = False
        self.fails_searches = False
        self.is_unreachable = False
        self.load_report = LoadReport.TRUE
        self.in_flight = 0
        self.most_in_flight_cold = 0
        self.cold_excess_calls = 0
        self.calls = 0
        self.shards_asked = 0
        self.refused = 0
        self.cancelled = 0
        self.open_connections = 0
        self.peak_connections = 0
        self.connections_opened = 0
        self.connections_refused = 0
        self.filings: dict[str, int] = {}
        self.process = uuid.UUID(int=random.getrandbits(128)).hex
        self._random = random
        self._calls_since_start = 0
        self._shards: dict[SnapshotId, frozenset[ShardId]] = {}
        self._last_load = 0.0
        self._running_calls = 0
        self._slot_waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._cancellations: dict[str, list[asyncio.Future[None]]] = {}

    @property
    def capacity(self) -> int:
        """The number of calls that run at once."""
        return self.profile.cold_slots if self.is_cold else self.profile.slots

    @property
    def is_cold(self) -> bool:
        return self._calls_since_start < self.profile.warm_after_calls

    @property
    def connection_limit(self) -> int:
        return self.profile.connections

    def load_snapshot(self, snapshot: IndexSnapshot) -> None:
        """Holds the shards that a snapshot places on this upstream."""
        self._shards[snapshot.snapshot] = frozenset(
            placement.shard
            for placement in snapshot.shards
            if self.upstream in placement.upstreams
        )

    def drop_snapshot(self, snapshot: SnapshotId) -> None:
        self._shards.pop(snapshot, None)

    def restart(self) -> None:
        """Simulates a restart: a new process ID and a cold start."""
        self.process = uuid.UUID(int=self._random.getrandbits(128)).hex
        self._calls_since_start = 0

    def find_refusal_reason(self) -> str | None:
        """Returns the reason to refuse a new call, or None if it may run."""
        if self.is_draining:
            return "draining"
        limit = self.profile.cold_slots if self.is_cold else self.profile.slots
        if self.in_flight >= limit * MAX_IN_FLIGHT_PER_SLOT:
            return "shedding"
        return None

    async def run_call(self, request_id: str) -> bool:
        """Occupies a slot for the duration of a call; returns False if cancelled."""
        cancelled: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._cancellations.setdefault(request_id, []).append(cancelled)
        self._count_call()
        try:
            await self._acquire_slot()
            try:
                return await self._sleep_unless_cancelled(cancelled)
            finally:
                self._release_slot()
        finally:
            self.in_flight -= 1
            self._calls_since_start += 1
            self._remove_cancellation(request_id, cancelled)

    def cancel(self, request_id: str) -> None:
        """Cancels the calls of a request, whether they run or wait for a slot."""
        for cancelled in self._cancellations.get(request_id, ()):
            if not cancelled.done():
                cancelled.set_result(None)
                self.cancelled += 1

    def report_load(self) -> float:
        """Returns calls in flight divided by slots, changed as ``load_report`` says."""
        load = self.in_flight / self.profile.slots
        if self.load_report is LoadReport.FROZEN:
            return self._last_load
        self._last_load = load
        return max(0.0, 1.0 - load) if self.load_report is LoadReport.INVERTED else load

    def _count_call(self) -> None:
        self.calls += 1
        self.in_flight += 1
        if self.is_cold:
            self.most_in_flight_cold = max(self.most_in_flight_cold, self.in_flight)
            self.cold_excess_calls += self.in_flight > self.profile.cold_slots

    async def _acquire_slot(self) -> None:
        while self._running_calls >= self.capacity:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._slot_waiters.append(waiter)
            await waiter
        self._running_calls += 1

    def _release_slot(self) -> None:
        self._running_calls -= 1
        # Several slots can be free, because the capacity grows when the upstream turns
        # warm.
        free_slots = max(0, self.capacity - self._running_calls)
        while free_slots > 0 and self._slot_waiters:
            waiter = self._slot_waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                free_slots -= 1

    async def _sleep_unless_cancelled(self, cancelled: asyncio.Future[None]) -> bool:
        duration_s = self._draw_duration_ms() / MILLISECONDS_PER_SECOND
        done, _ = await asyncio.wait((cancelled,), timeout=duration_s)
        return not done

    def _remove_cancellation(
        self, request_id: str, cancelled: asyncio.Future[None]
    ) -> None:
        running = self._cancellations[request_id]
        running.remove(cancelled)
        if not running:
            del self._cancellations[request_id]

    def search(
        self, snapshot: SnapshotId, shards: Sequence[ShardId], query: str, limit: int
    ) -> tuple[ShardResult, ...] | None:
        """Returns the result of each shard, or None if the snapshot is not loaded."""
        held_shards = self._shards.get(snapshot)
        if held_shards is None:
            return None
        return tuple(
            (
                _search_shard(snapshot, shard, query, limit)
                if shard in held_shards
                else ShardResult(shard=shard, status=ShardStatus.MISSING)
            )
            for shard in shards
        )

    def run_filing(self, request_id: str) -> str:
        self.filings[request_id] = self.filings.get(request_id, 0) + 1
        return f"{self.upstream}-{len(self.filings)}"

    def _draw_duration_ms(self) -> float:
        profile = self.profile
        duration = profile.service_ms + self._random.expovariate(1 / profile.jitter_ms)
        if self._random.random() < profile.straggler_ratio:
            duration *= profile.straggler_factor
        return duration * profile.cold_factor if self.is_cold else duration


def _search_shard(
    snapshot: SnapshotId, shard: ShardId, query: str, limit: int
) -> ShardResult:
    # Hits are deterministic, so that the expected result of a search can be computed.
    shard_random = random.Random(f"{snapshot}/{shard}/{query}")
    hits = tuple(
        Hit(document=f"{shard}-{number}", score=round(shard_random.random(), 6))
        for number in range(min(limit, HITS_PER_SHARD))
    )
    return ShardResult(
        shard=shard, status=ShardStatus.OK, hits=hits, total=HITS_PER_SHARD
    )
