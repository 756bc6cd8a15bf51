"""Actions, outcomes and peer messages about upstreams."""

from __future__ import annotations

import enum

import msgspec

from skylarkcart.types import ProcessId, ServiceId, UpstreamId


class OutcomeKind(enum.Enum):
    """How a call to an upstream ended."""

    SUCCESS = "success"
    SHED = "shed"
    COLD = "cold"
    DRAINING = "draining"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call; ``process`` is empty if the upstream did not state it."""

    kind: OutcomeKind
    latency_ms: float
    process: ProcessId = ProcessId("")


class OpenConnection(msgspec.Struct, frozen=True, kw_only=True):
    """Open one connection to an upstream and call ``note_connection_*``."""

    upstream: UpstreamId
    address: str


class WarmUp(msgspec.Struct, frozen=True, kw_only=True):
    """Send a call without a caller, so that a cold upstream fills its caches."""

    upstream: UpstreamId
    service: ServiceId


class WarmDeclaration(msgspec.Struct, frozen=True, kw_only=True):
    """States that a process is warm and can take its full load.

    ``age_ms`` is the time since its last success. ``usual_ms`` is the baseline latency
    of its service, for instances that have not called a warm upstream yet.
    """

    upstream: UpstreamId
    process: ProcessId
    age_ms: float
    usual_ms: float | None = None


class ColdNotice(msgspec.Struct, frozen=True, kw_only=True):
    """States that a process refused as cold, has just started or may have ended.

    If ``is_certain`` is unset, only its connections were closed, and instances that
    still have an open connection ignore the notice.
    """

    upstream: UpstreamId
    process: ProcessId
    age_ms: float
    is_certain: bool = True


class WarmReport(msgspec.Struct, frozen=True, kw_only=True, tag="upstreams.warm"):
    """Warm declarations of one instance."""

    declarations: tuple[WarmDeclaration, ...]


class ColdReport(msgspec.Struct, frozen=True, kw_only=True, tag="upstreams.cold"):
    """Cold notices of one instance."""

    notices: tuple[ColdNotice, ...]


class WarmRequest(msgspec.Struct, frozen=True, kw_only=True, tag="upstreams.ask"):
    """Requests all warm declarations, for an instance that has just started."""


UpstreamMessage = WarmReport | ColdReport | WarmRequest
