"""Fair sharing of search capacity between client accounts."""

from __future__ import annotations

from skylarkcart.fairness._capacity import AdaptiveCapacity, CapacityPolicy
from skylarkcart.fairness._messages import (
    Abandon,
    Admitted,
    Complete,
    Enqueue,
    Expire,
    FairAction,
    FairEvent,
    Outcome,
    Queued,
    RefusalReason,
    Refused,
)
from skylarkcart.fairness._queue import FairnessPolicy, FairQueue

__all__ = [
    "Abandon",
    "AdaptiveCapacity",
    "Admitted",
    "CapacityPolicy",
    "Complete",
    "Enqueue",
    "Expire",
    "FairAction",
    "FairEvent",
    "FairQueue",
    "FairnessPolicy",
    "Outcome",
    "Queued",
    "RefusalReason",
    "Refused",
]
