"""Scatter-gather requests: time of the answer, hedges and merging."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.scatter import GatherDecision, GatherExecution, merge_records
from skylarkcart.types import ServiceId, UpstreamId

SHARDS = tuple(ServiceId(f"shard-{number}") for number in range(10))


def build_execution(min_coverage: float = 0.75) -> GatherExecution:
    execution = GatherExecution(
        shards=SHARDS,
        min_coverage=min_coverage,
        max_calls=2,
        soft_deadline=Millis(100),
        hard_deadline=Millis(1_000),
    )
    for part in execution.parts.values():
        part.begin_call(UpstreamId(f"{part.shard}-a"), Millis(0))
    return execution


def answer_parts(execution: GatherExecution, count: int) -> None:
    for part in list(execution.parts.values())[:count]:
        execution.record_response(part, part.tried[0], signature=b"s", body=b"")


def test_complete_answer_is_sent_at_once() -> None:
    execution = build_execution()
    answer_parts(execution, 9)
    assert execution.decide(Millis(10)) is GatherDecision.WAIT
    answer_parts(execution, 10)
    assert execution.decide(Millis(11)) is GatherDecision.ANSWER


def test_answer_with_missing_parts_is_sent_in_time() -> None:
    """A single slow shard must not delay the whole answer."""
    execution = build_execution()
    answer_parts(execution, 8)
    assert execution.decide(Millis(99)) is GatherDecision.WAIT
    assert execution.decide(Millis(100)) is GatherDecision.ANSWER


def test_answer_below_its_coverage_waits_for_more_parts() -> None:
    execution = build_execution(min_coverage=0.89)
    answer_parts(execution, 8)
    assert execution.decide(Millis(100)) is GatherDecision.WAIT
    answer_parts(execution, 9)
    assert execution.decide(Millis(300)) is GatherDecision.ANSWER


def test_request_fails_at_once_when_too_many_shards_have_failed() -> None:
    """The minimum coverage can no longer be reached before the deadline."""
    execution = build_execution()
    for part in list(execution.parts.values())[:3]:
        part.end_failed(part.tried[0])
        execution.record_failure(part)
    assert execution.decide(Millis(5)) is GatherDecision.FAIL


def test_failed_shard_does_not_delay_the_others_answer() -> None:
    execution = build_execution()
    parts = list(execution.parts.values())
    parts[9].end_failed(parts[9].tried[0])
    execution.record_failure(parts[9])
    answer_parts(execution, 9)
    assert execution.decide(Millis(5)) is GatherDecision.ANSWER
    assert execution.missing_count == 1


def test_hedges_go_to_the_parts_that_wait_longest() -> None:
    execution = build_execution()
    answer_parts(execution, 8)
    overdue = list(execution.parts.values())[8:]
    overdue[1].pending_calls[overdue[1].tried[0]] = Millis(-5)
    hedges = execution.list_hedges(Millis(20), delay_ms=20)
    assert [part.shard for part in hedges] == ["shard-9", "shard-8"]


def test_no_more_upstreams_run_a_part_than_the_route_allows() -> None:
    execution = build_execution()
    part = execution.parts[SHARDS[0]]
    part.begin_call(UpstreamId("b"), Millis(5))
    assert not execution.may_call(part)
    part.end_not_run(UpstreamId("b"))
    assert execution.may_call(part)


def test_request_without_answers_fails_when_the_caller_gives_up() -> None:
    execution = build_execution()
    assert execution.decide(Millis(1_000)) is GatherDecision.FAIL


def test_greatest_records_come_first_and_duplicates_are_kept() -> None:
    low, high = b"a" * 16, b"z" * 16
    merged = merge_records([low + high, high + b"rest"], top=3)
    assert merged == high + high + low


def test_records_compare_as_unsigned_bytes() -> None:
    assert merge_records([b"\x7f" * 16 + b"\x80" * 16], top=1) == b"\x80" * 16
