"""Tracks the newest index snapshot of each service and shares it between instances."""

from __future__ import annotations

from skylarkcart.snapshots._agent import SnapshotAgent, SnapshotOutcome
from skylarkcart.snapshots._messages import (
    Send,
    SnapshotHeartbeat,
    SnapshotMessage,
    SnapshotRequest,
    SnapshotValue,
)

__all__ = [
    "Send",
    "SnapshotAgent",
    "SnapshotHeartbeat",
    "SnapshotMessage",
    "SnapshotOutcome",
    "SnapshotRequest",
    "SnapshotValue",
]
