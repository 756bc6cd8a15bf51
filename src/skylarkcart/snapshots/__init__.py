"""Tracks the newest index snapshot of each service and shares it between instances."""

from __future__ import annotations

from skylarkcart.snapshots._agent import SnapshotAgent, SnapshotOutcome
from skylarkcart.snapshots._messages import (
    OutgoingMessage,
    SnapshotHeartbeat,
    SnapshotMessage,
    SnapshotRequest,
    SnapshotValue,
)

__all__ = [
    "OutgoingMessage",
    "SnapshotAgent",
    "SnapshotHeartbeat",
    "SnapshotMessage",
    "SnapshotOutcome",
    "SnapshotRequest",
    "SnapshotValue",
]
