"""Scatter-gather: when an answer goes out, hedges, and the merge."""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.scatter import GatherExecution, GatherVerdict, merge_records
from skylarkcart.types import ServiceId, UpstreamId

SHARDS = tuple(ServiceId(f"shard-{number}") for number in range(10))


def build_execution(min_coverage: float = 0.75) -> GatherExecution:
    execution = GatherExecution(
        shards=SHARDS,
        min_coverage=min_coverage,
        max_calls=2,
        answer_by=Millis(100),
        give_up_at=Millis(1_000),
    )
    for part in execution.parts.values():
        part.begin_call(UpstreamId(f"{part.shard}-a"), Millis(0))
    return execution


def answer(execution: GatherExecution, count: int) -> None:
    for part in list(execution.parts.values())[:count]:
        execution.note_answer(part, part.tried[0], signature=b"s", body=b"")


def test_whole_answer_goes_out_at_once() -> None:
    execution = build_execution()
    answer(execution, 9)
    assert execution.decide(Millis(10)) is GatherVerdict.WAIT
    answer(execution, 10)
    assert execution.decide(Millis(11)) is GatherVerdict.ANSWER


def test_answer_with_missing_parts_goes_out_in_time() -> None:
    """A straggler must not make the whole answer late."""
    execution = build_execution()
    answer(execution, 8)
    assert execution.decide(Millis(99)) is GatherVerdict.WAIT
    assert execution.decide(Millis(100)) is GatherVerdict.ANSWER


def test_answer_below_its_coverage_is_late_rather_than_wrong() -> None:
    execution = build_execution(min_coverage=0.89)
    answer(execution, 8)
    assert execution.decide(Millis(100)) is GatherVerdict.WAIT
    answer(execution, 9)
    assert execution.decide(Millis(300)) is GatherVerdict.ANSWER


def test_request_fails_at_once_when_too_many_shards_are_lost() -> None:
    """Waiting for the deadline could not bring the coverage any more."""
    execution = build_execution()
    for part in list(execution.parts.values())[:3]:
        part.end_failed(part.tried[0])
        execution.note_lost(part)
    assert execution.decide(Millis(5)) is GatherVerdict.FAIL


def test_lost_shard_does_not_delay_the_others_answer() -> None:
    execution = build_execution()
    parts = list(execution.parts.values())
    parts[9].end_failed(parts[9].tried[0])
    execution.note_lost(parts[9])
    answer(execution, 9)
    assert execution.decide(Millis(5)) is GatherVerdict.ANSWER
    assert execution.missing == 1


def test_hedges_go_to_the_parts_that_wait_longest() -> None:
    execution = build_execution()
    answer(execution, 8)
    late = list(execution.parts.values())[8:]
    late[1].waiting[late[1].tried[0]] = Millis(-5)
    hedges = execution.list_hedges(Millis(20), after_ms=20)
    assert [part.shard for part in hedges] == ["shard-9", "shard-8"]


def test_no_more_upstreams_run_a_part_than_the_route_allows() -> None:
    execution = build_execution()
    part = execution.parts[SHARDS[0]]
    part.begin_call(UpstreamId("b"), Millis(5))
    assert not execution.may_call(part)
    part.end_unrun(UpstreamId("b"))
    assert execution.may_call(part)


def test_nothing_answers_before_the_caller_gives_up() -> None:
    execution = build_execution()
    assert execution.decide(Millis(1_000)) is GatherVerdict.FAIL


def test_greatest_records_come_first_and_equal_ones_all_count() -> None:
    low, high = b"a" * 16, b"z" * 16
    merged = merge_records([low + high, high + b"rest"], top=3)
    assert merged == high + high + low


def test_records_compare_as_unsigned_bytes() -> None:
    assert merge_records([b"\x7f" * 16 + b"\x80" * 16], top=1) == b"\x80" * 16
