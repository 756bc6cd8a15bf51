"""Filings: non-idempotent requests that run at most once."""

from __future__ import annotations

from skylarkcart.filings._execution import FilingExecution, UpstreamChooser
from skylarkcart.filings._messages import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    AttemptSending,
    CancelAttempt,
    CapacityWaitElapsed,
    FilingAction,
    FilingCallerDisconnected,
    FilingDeadlineReached,
    FilingEvent,
    FilingResult,
    FinishFiling,
    StartAttempt,
    WaitForCapacity,
)
from skylarkcart.filings._routing import rank_upstreams

__all__ = [
    "AttemptAnswered",
    "AttemptFailed",
    "AttemptRefused",
    "AttemptSending",
    "CancelAttempt",
    "FilingAction",
    "FilingCallerDisconnected",
    "FilingDeadlineReached",
    "FilingEvent",
    "FilingExecution",
    "FilingResult",
    "FinishFiling",
    "CapacityWaitElapsed",
    "StartAttempt",
    "WaitForCapacity",
    "UpstreamChooser",
    "rank_upstreams",
]
