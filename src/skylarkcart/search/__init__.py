"""Searches over the shards of one index snapshot."""

from __future__ import annotations

from skylarkcart.search._budget import CallBudget, ServiceCallState
from skylarkcart.search._execution import SearchExecution
from skylarkcart.search._messages import (
    CallAnswered,
    CallerDisconnected,
    CallFailed,
    CallKind,
    CancelCall,
    Coverage,
    FinishSearch,
    Hit,
    MissingShard,
    SearchAction,
    SearchAnswer,
    SearchEvent,
    SearchRequest,
    SetTimer,
    ShardResult,
    ShardStatus,
    StartCall,
    TimerFired,
)
from skylarkcart.search._plan import ReplicaChooser, SnapshotSource

__all__ = [
    "CallBudget",
    "CallAnswered",
    "CallFailed",
    "CallKind",
    "CallerDisconnected",
    "CancelCall",
    "Coverage",
    "FinishSearch",
    "Hit",
    "MissingShard",
    "ReplicaChooser",
    "SearchAction",
    "SearchAnswer",
    "SearchEvent",
    "SearchExecution",
    "SearchRequest",
    "ServiceCallState",
    "SetTimer",
    "ShardResult",
    "ShardStatus",
    "SnapshotSource",
    "StartCall",
    "TimerFired",
]
