"""Health, cold start, connections and selection of upstreams."""

from __future__ import annotations

from skylarkcart.upstreams._choice import ChoicePolicy
from skylarkcart.upstreams._connections import choose_senders, compute_connection_share
from skylarkcart.upstreams._directory import UpstreamDirectory
from skylarkcart.upstreams._messages import (
    CallOutcome,
    ColdNotice,
    ColdReport,
    OpenConnection,
    OutcomeKind,
    UpstreamMessage,
    WarmDeclaration,
    WarmReport,
    WarmRequest,
    WarmUp,
)
from skylarkcart.upstreams._ramp import ColdCause, Temperature
from skylarkcart.upstreams._upstream import Upstream

__all__ = [
    "CallOutcome",
    "ChoicePolicy",
    "ColdCause",
    "ColdNotice",
    "ColdReport",
    "OpenConnection",
    "OutcomeKind",
    "Temperature",
    "Upstream",
    "UpstreamDirectory",
    "UpstreamMessage",
    "WarmDeclaration",
    "WarmReport",
    "WarmRequest",
    "WarmUp",
    "choose_senders",
    "compute_connection_share",
]
