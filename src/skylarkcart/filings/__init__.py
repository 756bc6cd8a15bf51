"""Filings: non-idempotent requests that run at most once."""

from __future__ import annotations

from skylarkcart.filings._execution import FilingExecution, UpstreamChooser
from skylarkcart.filings._messages import (
    AttemptAnswered,
    AttemptFailed,
    AttemptRefused,
    AttemptSending,
    CancelAttempt,
    FilingAction,
    FilingCallerGone,
    FilingDeadlineReached,
    FilingEvent,
    FilingResult,
    FinishFiling,
    RoomAwaited,
    StartAttempt,
    WaitForRoom,
)
from skylarkcart.filings._routing import rank_upstreams

__all__ = [
    "AttemptAnswered",
    "AttemptFailed",
    "AttemptRefused",
    "AttemptSending",
    "CancelAttempt",
    "FilingAction",
    "FilingCallerGone",
    "FilingDeadlineReached",
    "FilingEvent",
    "FilingExecution",
    "FilingResult",
    "FinishFiling",
    "RoomAwaited",
    "StartAttempt",
    "WaitForRoom",
    "UpstreamChooser",
    "rank_upstreams",
]
