"""Events and actions of the fair queue."""

from __future__ import annotations

import enum

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.types import AccountId, RequestId
from skylarkcart.verdict import RunVerdict


class Outcome(enum.Enum):
    """How an admitted request ended, with respect to capacity.

    ``UNUSED`` means that the request started no call, for example because its key was
    revoked while it waited; its latency is not recorded.
    """

    DONE = "done"
    SHED = "shed"
    UNUSED = "unused"


class RefusalReason(enum.Enum):
    """Why the queue refused a request."""

    QUEUE_FULL = "queue_full"
    WAIT_EXCEEDS_DEADLINE = "wait_exceeds_deadline"
    DEADLINE_IN_QUEUE = "deadline_in_queue"


class Enqueue(msgspec.Struct, frozen=True, kw_only=True):
    """A request arrived; ``cost`` is the number of shards that it queries."""

    request_id: RequestId
    account: AccountId
    cost: int
    deadline: Millis


class Complete(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted request ended."""

    request_id: RequestId
    outcome: Outcome = Outcome.DONE


class Abandon(msgspec.Struct, frozen=True, kw_only=True):
    """The caller of a queued request disconnected; no further action names it."""

    request_id: RequestId


class Expire(msgspec.Struct, frozen=True, kw_only=True):
    """The time given by ``FairQueue.next_expiry`` has been reached."""


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request may start its calls; ``Complete`` must follow."""

    request_id: RequestId
    waited_ms: float


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """The request waits; ``Admitted`` or ``Refused`` follows."""

    request_id: RequestId
    expected_wait_ms: float


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The request ends before any call, so its verdict is always ``NOT_RUN``."""

    request_id: RequestId
    reason: RefusalReason
    retry_after_ms: int

    @property
    def verdict(self) -> RunVerdict:
        return RunVerdict.NOT_RUN


FairEvent = Enqueue | Complete | Abandon | Expire
FairAction = Admitted | Queued | Refused
