"""Events, actions and results of a search."""

from __future__ import annotations

import enum

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.types import CallId, RequestId, ShardId, SnapshotId, UpstreamId

REASON_SNAPSHOT_GONE = "snapshot_gone"


class Hit(msgspec.Struct, frozen=True, kw_only=True):
    """A ranked document."""

    document: str
    score: float


class ShardStatus(enum.Enum):
    """The state of one shard in an upstream's answer."""

    OK = "ok"
    PARTIAL = "partial"
    MISSING = "missing"


class ShardResult(msgspec.Struct, frozen=True, kw_only=True):
    """One shard's part of an upstream's answer."""

    shard: ShardId
    status: ShardStatus
    hits: tuple[Hit, ...] = ()
    total: int = 0


class SearchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's search; ``limit`` is the maximum number of hits."""

    request_id: RequestId
    query: str
    limit: int


class CallAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream answered a call; all fields except ``call`` come from its answer."""

    call: CallId
    request_id: RequestId
    snapshot: SnapshotId
    shards: tuple[ShardResult, ...]


class CallFailed(msgspec.Struct, frozen=True, kw_only=True):
    """A call got no usable answer; ``reason`` appears in the coverage.

    ``not_run`` is set if the upstream refused the call before running it; the call may
    then be retried on the same upstream.
    """

    call: CallId
    reason: str
    not_run: bool = False


class TimerFired(msgspec.Struct, frozen=True, kw_only=True):
    """The timer fired; events that are early or repeated are harmless."""


class CallerDisconnected(msgspec.Struct, frozen=True, kw_only=True):
    """The caller closed its connection."""


class CallKind(enum.Enum):
    """Why a call is made."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class StartCall(msgspec.Struct, frozen=True, kw_only=True):
    """Send a call to an upstream for some shards of the pinned snapshot.

    ``begin_call`` has already counted the call; the driver reports its end.

    ``request_id`` is unique to the call, so that a late cancellation or a misrouted
    answer cannot be matched to another call.
    """

    call: CallId
    request_id: RequestId
    upstream: UpstreamId
    snapshot: SnapshotId
    shards: tuple[ShardId, ...]
    deadline: Millis
    kind: CallKind = CallKind.FIRST


class CancelCall(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel a call and notify its upstream; its answer is no longer needed."""

    call: CallId
    request_id: RequestId
    upstream: UpstreamId


class SetTimer(msgspec.Struct, frozen=True, kw_only=True):
    """Send ``TimerFired`` at the given time; this replaces the previous timer."""

    at: Millis


class MissingShard(msgspec.Struct, frozen=True, kw_only=True):
    """A shard that the answer does not cover, with the reason."""

    shard: ShardId
    reason: str


class Coverage(msgspec.Struct, frozen=True, kw_only=True):
    """The number of shards of the snapshot that an answer covers."""

    covered: int
    total: int
    complete: bool
    missing: tuple[MissingShard, ...]


class SearchAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The merged answer from one snapshot."""

    request_id: RequestId
    snapshot: SnapshotId
    coverage: Coverage
    hits: tuple[Hit, ...]
    total_hits: int


class FinishSearch(msgspec.Struct, frozen=True, kw_only=True):
    """Return the answer to the caller; the search has ended."""

    answer: SearchAnswer


SearchEvent = CallAnswered | CallFailed | TimerFired | CallerDisconnected
SearchAction = StartCall | CancelCall | SetTimer | FinishSearch
