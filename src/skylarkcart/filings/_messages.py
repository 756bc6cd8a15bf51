"""Events, actions and results of a filing.

The attempt number matches events to their ``StartAttempt``, so that a late event of an
earlier attempt is not applied to the current one.
"""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.types import RequestId, UpstreamId
from skylarkcart.verdict import RunVerdict


class AttemptSending(msgspec.Struct, frozen=True, kw_only=True):
    """A connection is open and the driver is about to send the filing.

    The driver reports this before it sends the first byte, and sends nothing if the
    execution returns ``CancelAttempt``. An attempt that fails without this event
    certainly did not run.
    """

    attempt: int


class AttemptAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """The upstream returned a receipt; ``request_id`` is as stated in its answer."""

    attempt: int
    request_id: RequestId
    receipt: str


class AttemptRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The upstream refused before running; ``request_id`` is set if stated."""

    attempt: int
    reason: str
    request_id: RequestId | None = None


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt ended without a receipt and without a refusal before running."""

    attempt: int
    reason: str


class CapacityWaitElapsed(msgspec.Struct, frozen=True, kw_only=True):
    """The delay of a ``WaitForCapacity`` has elapsed."""


class FilingDeadlineReached(msgspec.Struct, frozen=True, kw_only=True):
    """The filing's deadline has passed."""


class FilingCallerDisconnected(msgspec.Struct, frozen=True, kw_only=True):
    """The caller closed its connection."""


class StartAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Send the filing to an upstream."""

    attempt: int
    upstream: UpstreamId
    deadline: Millis


class WaitForCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Send ``CapacityWaitElapsed`` after a delay.

    An upstream may have capacity by then.
    """

    delay_ms: float


class CancelAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel an attempt; its connection must not be reused."""

    attempt: int


class FilingResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a filing; ``receipt`` is set if the verdict is ``RAN``."""

    request_id: RequestId
    verdict: RunVerdict
    receipt: str = ""
    reason: str = ""


class FinishFiling(msgspec.Struct, frozen=True, kw_only=True):
    """Return the result to the caller; the filing has ended."""

    result: FilingResult


FilingEvent = (
    AttemptSending
    | AttemptAnswered
    | AttemptRefused
    | AttemptFailed
    | CapacityWaitElapsed
    | FilingDeadlineReached
    | FilingCallerDisconnected
)
FilingAction = StartAttempt | WaitForCapacity | CancelAttempt | FinishFiling
