"""Searches while some shards are overloaded.

The loads are simulated in fake time: shards are queues with few slots, and a search is
answered when enough of its parts are.
"""

from __future__ import annotations

import heapq
import random

import pytest

from skylarkcart.clock import Millis
from skylarkcart.scatter import (
    GatherDecision,
    GatherExecution,
    choose_left_out_shards,
    count_dispensable,
)
from skylarkcart.types import ServiceId, UpstreamId

SHARDS = tuple(ServiceId(f"shard-{number}") for number in range(10))
MIN_COVERAGE = 0.89
TIME_LEFT_MS = 240.0


class ShardQueue:
    """The last upstream of a shard: some slots and a first-in first-out queue."""

    def __init__(self, *, slots: int, service_ms: float) -> None:
        self._service_ms = service_ms
        self._free_at = [0.0] * slots
        heapq.heapify(self._free_at)

    def get_expected_ms(self, now: float) -> float:
        return max(0.0, self._free_at[0] - now) + self._service_ms

    def call(self, now: float) -> float:
        """Adds a call and returns when it is answered."""
        start = max(now, heapq.heappop(self._free_at))
        heapq.heappush(self._free_at, start + self._service_ms)
        return start + self._service_ms


def run_searches(slow_ms: float, *, leaves_out: bool, seed: int) -> float:
    """Returns the fraction of the searches that are answered in time.

    Two of the ten shards have one upstream left, which is slow.
    """
    generator = random.Random(seed)
    queues = {
        shard: ShardQueue(slots=6, service_ms=slow_ms if number < 2 else 42.0)
        for number, shard in enumerate(SHARDS)
    }
    dispensable = count_dispensable(len(SHARDS), min_coverage=MIN_COVERAGE)
    now, in_time, searches = 0.0, 0, 0
    while now < 8_000.0:
        now += generator.expovariate(0.07)
        left_out = choose_left_out_shards(
            {shard: queue.get_expected_ms(now) for shard, queue in queues.items()},
            time_left_ms=TIME_LEFT_MS,
            max_left_out=dispensable if leaves_out else 0,
            random=generator,
        )
        answers = sorted(
            queue.call(now) for shard, queue in queues.items() if shard not in left_out
        )
        needed_at = answers[len(SHARDS) - dispensable - 1]
        in_time += needed_at - now <= TIME_LEFT_MS
        searches += 1
    return in_time / searches


@pytest.mark.parametrize("seed", range(3))
def test_searches_share_two_shards_with_one_slow_upstream_each(seed: int) -> None:
    """Each of the two carries half of the searches, and an answer may miss one part.

    If every search called both, both queues grew until no search was in time.
    """
    assert run_searches(150.0, leaves_out=False, seed=seed) < 0.3
    assert run_searches(150.0, leaves_out=True, seed=seed) > 0.85


def test_no_shard_is_left_out_while_all_answer_in_time() -> None:
    expected = dict.fromkeys(SHARDS, 200.0)
    assert not choose_left_out_shards(
        expected, time_left_ms=240.0, max_left_out=1, random=random.Random(1)
    )


def test_unreachable_shard_is_left_out_first() -> None:
    expected = dict.fromkeys(SHARDS, 20.0) | {
        SHARDS[3]: 900.0,
        SHARDS[7]: float("inf"),
    }
    for seed in range(20):
        left_out = choose_left_out_shards(
            expected, time_left_ms=240.0, max_left_out=1, random=random.Random(seed)
        )
        assert left_out == [SHARDS[7]]


@pytest.mark.parametrize(
    ("shards", "min_coverage", "dispensable"),
    [(10, 0.89, 1), (42, 0.95, 2), (15, 0.75, 3), (3, 1.0, 0), (1, 0.0, 0)],
)
def test_answer_without_the_dispensable_parts_reaches_its_coverage(
    shards: int, min_coverage: float, dispensable: int
) -> None:
    assert count_dispensable(shards, min_coverage=min_coverage) == dispensable


def build_execution() -> GatherExecution:
    execution = GatherExecution(
        shards=SHARDS,
        min_coverage=MIN_COVERAGE,
        max_calls=2,
        soft_deadline=Millis(240),
        hard_deadline=Millis(2_000),
    )
    first, *others = execution.parts.values()
    execution.leave_out(first)
    for part in others:
        part.begin_call(UpstreamId(f"{part.shard}-a"), Millis(0))
    return execution


def answer(execution: GatherExecution, count: int) -> None:
    for part in list(execution.parts.values())[1 : 1 + count]:
        execution.record_response(part, part.tried[0], signature=b"s", body=b"")


def test_answer_does_not_wait_for_a_shard_that_was_left_out() -> None:
    execution = build_execution()
    answer(execution, 8)
    assert execution.decide(Millis(30)) is GatherDecision.WAIT
    answer(execution, 9)
    assert execution.decide(Millis(31)) is GatherDecision.ANSWER
    assert execution.missing_count == 1


def test_shard_that_was_left_out_replaces_one_that_failed() -> None:
    execution = build_execution()
    answer(execution, 8)
    last = list(execution.parts.values())[9]
    last.end_failed(last.tried[0])
    execution.record_failure(last)
    (recalled,) = execution.recall_left_out_parts(Millis(40))
    assert recalled.shard == SHARDS[0]
    assert execution.decide(Millis(40)) is GatherDecision.WAIT


def test_shard_that_was_left_out_is_called_if_another_stays_silent() -> None:
    execution = build_execution()
    answer(execution, 8)
    assert execution.recall_left_out_parts(Millis(1_000)) == []
    assert execution.get_recall_at() == 1_120
    assert len(execution.recall_left_out_parts(Millis(1_120))) == 1
    assert execution.recall_left_out_parts(Millis(1_130)) == []
