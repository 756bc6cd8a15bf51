"""HTTP headers and message bodies exchanged with callers and upstreams."""

from __future__ import annotations

import msgspec

from skylarkcart.search import Hit, ShardResult
from skylarkcart.types import RequestId, ShardId, SnapshotId

DEADLINE_HEADER = "X-Deadline-Ms"
REQUEST_ID_HEADER = "X-Request-Id"
ACCOUNT_HEADER = "X-Account"
NOT_RUN_HEADER = "X-Not-Run"
PROCESS_HEADER = "X-Process"
IDEMPOTENCY_HEADER = "Idempotency-Key"

MAX_QUERY_CHARACTERS = 4_096
MAX_LIMIT = 1_000
DEFAULT_LIMIT = 10


class CallerSearchRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a caller's search request."""

    query: str
    limit: int = DEFAULT_LIMIT


class CallerFilingRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a caller's filing request.

    The document is passed on to the upstream unchanged.
    """

    document: dict[str, msgspec.Raw]


class CallerErrorResponse(msgspec.Struct, kw_only=True):
    """The body of every error response to a caller."""

    error: str
    detail: str
    verdict: str
    retry_after_ms: int | None = None


class CallerFilingResponse(msgspec.Struct, kw_only=True):
    """The body of the response to a successful filing."""

    request_id: RequestId
    receipt: str
    verdict: str


class UpstreamSearchRequest(msgspec.Struct, kw_only=True):
    """The body of a search call, which queries shards of one index snapshot."""

    request_id: RequestId
    snapshot: SnapshotId
    shards: tuple[ShardId, ...]
    query: str
    limit: int


class UpstreamSearchResponse(msgspec.Struct, kw_only=True):
    """The body of an upstream's response to a search call."""

    request_id: RequestId
    snapshot: SnapshotId
    shards: tuple[ShardResult, ...]


class UpstreamFilingRequest(msgspec.Struct, kw_only=True):
    """The body of a filing call."""

    request_id: RequestId
    idempotency_key: str
    document: dict[str, msgspec.Raw]


class UpstreamFilingResponse(msgspec.Struct, kw_only=True):
    """The body of an upstream's response to a filing call."""

    request_id: RequestId
    receipt: str


class UpstreamRefusalResponse(msgspec.Struct, kw_only=True):
    """The body of a refusal by an upstream, sent before it runs a request.

    ``request_id`` is the refused request, if the upstream states it.
    """

    reason: str
    request_id: RequestId | None = None


__all__ = [
    "CallerErrorResponse",
    "CallerFilingRequest",
    "CallerFilingResponse",
    "CallerSearchRequest",
    "Hit",
    "UpstreamFilingRequest",
    "UpstreamSearchResponse",
    "UpstreamFilingResponse",
    "UpstreamRefusalResponse",
    "UpstreamSearchRequest",
]
