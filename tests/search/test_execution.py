from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.declarations import IndexSnapshot, ShardPlacement
from skylarkcart.search import (
    CallAnswered,
    CallFailed,
    CallKind,
    CancelCall,
    FinishSearch,
    Hit,
    SearchExecution,
    SearchRequest,
    ServiceCallState,
    ShardResult,
    ShardStatus,
    StartCall,
    TimerFired,
)
from skylarkcart.types import (
    LateShardPreference,
    RequestId,
    ServiceId,
    ShardId,
    SnapshotId,
)


class FirstAvailableChooser:
    """Chooses the first replica that is not excluded and not full."""

    def __init__(self):
        self.full = set()
        self.begun_calls = []

    def choose(self, candidates, *, excluded):
        usable = [u for u in candidates if u not in excluded and u not in self.full]
        return usable[0] if usable else None

    def begin_call(self, upstream):
        self.begun_calls.append(upstream)

    def may_get_capacity(self, candidates, *, excluded):
        return any(u in self.full and u not in excluded for u in candidates)


class FakeSnapshotSource:
    newest = None

    def find_newest_snapshot(self, service):
        return self.newest


def build_snapshot(shards, sequence=1):
    placements = tuple(
        ShardPlacement(shard=ShardId(shard), upstreams=tuple(upstreams.split()))
        for shard, upstreams in shards.items()
    )
    return IndexSnapshot(
        service=ServiceId("s"),
        snapshot=SnapshotId(f"v{sequence}"),
        sequence=sequence,
        shards=placements,
    )


def build_execution(shards, **options):
    options.setdefault("chooser", FirstAvailableChooser())
    return SearchExecution(
        request=SearchRequest(request_id=RequestId("r"), query="q", limit=3),
        snapshot=build_snapshot(shards),
        deadline=Millis(100),
        **options,
    )


def filter_actions(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def answer_call(call, status=ShardStatus.OK, *, document="d", total=1, **changes):
    results = tuple(
        ShardResult(
            shard=shard,
            status=status,
            hits=(Hit(document=document, score=1.0),),
            total=total,
        )
        for shard in call.shards
    )
    fields = {"request_id": call.request_id, "snapshot": call.snapshot} | changes
    return CallAnswered(call=call.call, shards=results, **fields)


def test_ties_are_ordered_by_shard_before_document():
    # Guards against a ranking that depends on the order in which upstreams answer.
    execution = build_execution({"a": "u1", "b": "u2"})
    first, second = filter_actions(execution.start(Millis(0)), StartCall)
    execution.handle(answer_call(second, document="d1"), Millis(1))
    actions = execution.handle(answer_call(first, document="d9"), Millis(2))
    (finish,) = filter_actions(actions, FinishSearch)
    assert [hit.document for hit in finish.answer.hits] == ["d9", "d1"]


def test_late_call_is_hedged_once_and_the_slower_call_is_cancelled():
    # Guards against a late call that delays the whole search, and against calls left
    # running after the hedge has answered.
    calls = ServiceCallState()
    calls.record_first_calls(100)
    for _ in range(200):
        calls.record_latency(10.0)
    execution = build_execution({"a": "u1 u2"}, service_calls=calls)
    (first,) = filter_actions(execution.start(Millis(0)), StartCall)
    (hedge,) = filter_actions(execution.handle(TimerFired(), Millis(10)), StartCall)
    assert hedge.kind is CallKind.HEDGE and hedge.upstream == "u2"
    assert hedge.request_id != first.request_id
    actions = execution.handle(answer_call(hedge), Millis(12))
    assert [cancel.call for cancel in filter_actions(actions, CancelCall)] == [
        first.call
    ]
    assert execution.is_finished


def test_hedges_stay_within_the_extra_calls_ratio():
    # Guards against hedges that double the load when every call is late.
    calls = ServiceCallState(extra_calls_ratio=0.05)
    for _ in range(200):
        calls.record_latency(10.0)
    for _ in range(400):
        execution = build_execution({"a": "u1 u2"}, service_calls=calls)
        execution.start(Millis(0))
        execution.handle(TimerFired(), Millis(20))
        execution.handle(TimerFired(), Millis(100))
    assert 0 < calls.hedge_calls <= 0.05 * calls.first_calls


def test_snapshot_gone_restarts_once_without_old_parts():
    # Guards against an answer that mixes two snapshots.
    source = FakeSnapshotSource()
    execution = build_execution({"a": "u1", "b": "u2"}, snapshots=source)
    first, second = filter_actions(execution.start(Millis(0)), StartCall)
    execution.handle(answer_call(first), Millis(1))
    source.newest = build_snapshot({"a": "u1", "c": "u2"}, sequence=2)
    gone = CallFailed(call=second.call, reason="snapshot_gone", not_run=True)
    restarted = filter_actions(execution.handle(gone, Millis(2)), StartCall)
    assert {call.snapshot for call in restarted} == {"v2"}
    execution.handle(answer_call(restarted[0]), Millis(3))
    (finish,) = filter_actions(
        execution.handle(answer_call(restarted[1]), Millis(4)), FinishSearch
    )
    assert finish.answer.snapshot == "v2" and finish.answer.coverage.complete


def test_partial_parts_are_neither_combined_nor_covered():
    # Guards against documents counted twice and a partial shard reported as covered.
    execution = build_execution({"a": "u1 u2"})
    (first,) = filter_actions(execution.start(Millis(0)), StartCall)
    partial = ShardStatus.PARTIAL
    (second,) = filter_actions(
        execution.handle(answer_call(first, partial), Millis(1)), StartCall
    )
    actions = execution.handle(answer_call(second, partial, total=5), Millis(2))
    (finish,) = filter_actions(actions, FinishSearch)
    assert finish.answer.total_hits == 5 and finish.answer.coverage.covered == 0
    assert finish.answer.coverage.missing[0].reason == "upstream_partial"


def test_answer_of_another_request_is_discarded_and_retried_elsewhere():
    # Guards against an answer that contains the hits of another request.
    execution = build_execution({"a": "u1 u2"})
    (first,) = filter_actions(execution.start(Millis(0)), StartCall)
    misrouted = answer_call(first, request_id=RequestId("other.1"))
    (second,) = filter_actions(execution.handle(misrouted, Millis(1)), StartCall)
    (finish,) = filter_actions(
        execution.handle(answer_call(second), Millis(2)), FinishSearch
    )
    assert finish.answer.coverage.complete


def test_timely_answers_at_answer_by_and_complete_waits():
    # Guards against a timely search that answers late, and against a complete
    # search that ends before all shards have answered.
    for prefer, finished in (
        (LateShardPreference.TIMELY, True),
        (LateShardPreference.COMPLETE, False),
    ):
        execution = build_execution({"a": "u1"}, answer_by=Millis(50), prefer=prefer)
        (call,) = filter_actions(execution.start(Millis(0)), StartCall)
        assert call.deadline == (48 if finished else 98)
        execution.handle(TimerFired(), Millis(50))
        assert execution.is_finished is finished


def test_shard_without_spare_capacity_is_retried():
    # Guards against lost coverage while all replicas are briefly at capacity.
    chooser = FirstAvailableChooser()
    chooser.full = {"u1"}
    execution = build_execution({"a": "u1"}, chooser=chooser)
    assert not filter_actions(execution.start(Millis(0)), StartCall)
    chooser.full = set()
    (call,) = filter_actions(execution.handle(TimerFired(), Millis(4)), StartCall)
    assert call.kind is CallKind.FIRST
