"""Searches while two shards have one slow upstream left each, with a queue of calls."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.replicas import CallEnd, Replica
from tests.replicas.test_replicas import build_entry

TYPICAL_MS = 15.0
SLOWNESS = 7.0
SLOTS = 4
TARGET_MS = 140.0
LINGER_MS = 300.0
# Just below what one of the slow upstreams carries.
SEARCHES_PER_S = 37.0
DURATION_MS = 6_000.0


class SlowUpstream:
    """An upstream with a queue; a call whose connection is closed leaves it."""

    def __init__(self, *, number: int, random: random.Random) -> None:
        self.replica = Replica(entry=build_entry(number), seen_at=Millis(0))
        self._random = random
        self._queue: list[int] = []
        self._running: set[int] = set()

    def add(self, call: int) -> None:
        self._queue.append(call)

    def remove(self, call: int) -> None:
        if call in self._queue:
            self._queue.remove(call)
        self._running.discard(call)

    def start_next(self) -> list[tuple[int, float]]:
        """Starts calls in free slots and returns them with their durations."""
        started = []
        while self._queue and len(self._running) < SLOTS:
            call = self._queue.pop(0)
            self._running.add(call)
            duration_ms = SLOWNESS * TYPICAL_MS * self._random.uniform(0.6, 1.4)
            started.append((call, duration_ms))
        return started

    def is_running(self, call: int) -> bool:
        return call in self._running


def count_answers_in_time(seed: int, *, always_lingers: bool) -> tuple[int, int]:
    """Runs searches that may leave out one of the two shards.

    Returns the number of searches, and of those answered within the target.
    """
    generator = random.Random(seed)
    upstreams = [SlowUpstream(number=i, random=generator) for i in range(2)]
    events: list[tuple[float, int, str, int]] = []
    order = itertools.count()

    def schedule(at: float, kind: str, search: int) -> None:
        heapq.heappush(events, (at, next(order), kind, search))

    at = 0.0
    started_at = []
    while at < DURATION_MS:
        schedule(at, "begin", len(started_at))
        started_at.append(at)
        at += generator.expovariate(SEARCHES_PER_S / 1_000.0)
    answered_at: dict[int, float] = {}
    while events:
        now, _, kind, search = heapq.heappop(events)
        for shard, upstream in enumerate(upstreams):
            replica = upstream.replica
            if kind == "begin":
                upstream.add(search)
                replica.begin_call(search, now=Millis(now), typical_ms=TYPICAL_MS)
            elif kind == f"end-{shard}" and upstream.is_running(search):
                upstream.remove(search)
                replica.end_call(search, CallEnd.ANSWERED, now=Millis(now))
                if search in answered_at:
                    continue
                answered_at[search] = now
                other = upstreams[1 - shard].replica
                is_closed = other.is_slow(Millis(now)) and not always_lingers
                delay_ms = 0.0 if is_closed else LINGER_MS
                schedule(now + delay_ms, f"close-{1 - shard}", search)
            elif kind == f"close-{shard}":
                upstream.remove(search)
                replica.end_call(search, CallEnd.ABANDONED, now=Millis(now))
            for call, duration_ms in upstream.start_next():
                schedule(now + duration_ms, f"end-{shard}", call)
    in_time = sum(
        answered_at[search] - start <= TARGET_MS
        for search, start in enumerate(started_at)
        if search in answered_at
    )
    return len(started_at), in_time


@pytest.mark.parametrize("seed", range(3))
def test_calls_that_nobody_needs_do_not_hold_up_a_slow_upstream(seed: int) -> None:
    """Two of the three upstreams of two shards are lost, the third is 7 times slower.

    A search is answered when one of the two shards has answered. Its call to the other
    one stayed in the queue for 300 ms more, and the queues were full of such calls.
    """
    searches, with_linger = count_answers_in_time(seed, always_lingers=True)
    _, in_time = count_answers_in_time(seed, always_lingers=False)
    assert in_time > 0.5 * searches
    assert in_time > 1.4 * with_linger


def test_upstream_with_one_pause_is_not_slow() -> None:
    """Its answer will come soon, and its connection stays in use."""
    replica = Replica(entry=build_entry(1), seen_at=Millis(0))
    for number, duration_ms in enumerate((15, 15, 150)):
        start = 100.0 * number
        replica.begin_call(number, now=Millis(start), typical_ms=TYPICAL_MS)
        replica.end_call(number, CallEnd.ANSWERED, now=Millis(start + duration_ms))
    assert not replica.is_slow(Millis(400))
