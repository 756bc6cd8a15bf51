"""Searches while the upstreams of many shards refuse part of their calls."""

from __future__ import annotations

import random

from skylarkcart.clock import Millis
from skylarkcart.scatter import GatherDecision, GatherExecution
from skylarkcart.types import ServiceId, UpstreamId


def run_refused_search(*, repeats: bool, seed: int) -> bool:
    """Runs a search of 42 shards, 12 of which refuse 60% of the calls.

    Returns whether enough of its parts are answered.
    """
    generator = random.Random(seed)
    execution = GatherExecution(
        shards=[ServiceId(f"shard-{number}") for number in range(42)],
        min_coverage=0.95,
        max_calls=2,
        soft_deadline=Millis(120),
        hard_deadline=Millis(1_200),
    )
    for number, part in enumerate(execution.parts.values()):
        now = Millis(0)
        for upstream in ("a", "b", "c", "a", "b", "c"):
            if upstream in part.tried and not repeats:
                break
            assert execution.may_call(part)
            part.begin_call(UpstreamId(upstream), now)
            if number >= 12 or generator.random() >= 0.6:
                execution.record_response(part, upstream, signature=b"s", body=b"")
                break
            part.end_refused(UpstreamId(upstream))
            execution.schedule_retry(part, now)
            now = execution.get_next_retry_at()
            assert execution.list_due_retries(now) == [part]
        if not part.is_answered:
            execution.record_failure(part)
    return execution.decide(Millis(100)) is GatherDecision.ANSWER


def test_upstreams_that_refuse_part_of_their_calls_are_asked_again() -> None:
    """All upstreams of many shards refuse some calls and take others.

    A search that asked each upstream once found too few parts in most cases.
    """
    once = sum(run_refused_search(repeats=False, seed=seed) for seed in range(200))
    again = sum(run_refused_search(repeats=True, seed=seed) for seed in range(200))
    assert once < 120
    assert again > 180
