"""Guards against searches that revert to an older snapshot or never get one."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import IndexSnapshot
from skylarkcart.snapshots import SnapshotAgent, SnapshotOutcome
from skylarkcart.types import InstanceId, ServiceId, SnapshotId

SERVICE = ServiceId("notarial")
PEER = InstanceId("entry-2")


def encode_snapshot(sequence):
    snapshot = IndexSnapshot(
        service=SERVICE,
        snapshot=SnapshotId(f"{SERVICE}@{sequence}"),
        sequence=sequence,
        shards=(),
    )
    return msgspec.json.encode(snapshot)


def exchange(older, newer, now):
    """Delivers the messages of one exchange that ``newer`` starts."""
    for request in older.handle(PEER, newer.heartbeat(), now):
        for answer in newer.handle(PEER, request.message, now):
            older.handle(PEER, answer.message, now)


def test_instance_without_platform_gets_the_snapshot_from_a_peer():
    newer, older = SnapshotAgent(), SnapshotAgent()
    newer.offer(encode_snapshot(4))
    exchange(older, newer, Millis(0))
    assert older.find(SERVICE).sequence == 4


def test_stale_value_does_not_replace_a_newer_snapshot():
    agent = SnapshotAgent()
    agent.offer(encode_snapshot(4))
    assert agent.offer(encode_snapshot(3)) is SnapshotOutcome.NOT_NEWER
    assert agent.find(SERVICE).sequence == 4


def test_malformed_value_is_rejected():
    assert SnapshotAgent().offer(b'{"service": 1}') is SnapshotOutcome.INVALID


def test_lost_answer_is_requested_again():
    newer, older = SnapshotAgent(), SnapshotAgent()
    newer.offer(encode_snapshot(4))
    assert older.handle(PEER, newer.heartbeat(), Millis(0))
    assert not older.handle(PEER, newer.heartbeat(), Millis(100))
    assert older.handle(PEER, newer.heartbeat(), Millis(600))
