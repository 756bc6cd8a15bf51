"""Limits of one caller connection, and what it counts for in the account."""

from __future__ import annotations

from skylarkcart.gateway._request_reader import compute_largest_request
from skylarkcart.platform._messages import encode_error_response
from skylarkcart.published import CallerLimits
from skylarkcart.receive import Refusal

# A caller that opens a connection for a request sends the request immediately; after
# this age, the connection counts as reused.
NEW_CONNECTION_MAX_AGE_MS = 5.0

# While a request is in progress, so much of later ones is read on the same connection.
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = 16_384

# Requests that may start one after the other before other connections have their turn.
MAX_REQUESTS_PER_TURN = 16

# Memory of a connection, and of a request in progress with its calls to upstreams.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 32_768

# A caller that sends while it is refused gets the response only if the connection is
# still read; so long and so many bytes of the largest body.
DISCARD_MS = 500.0

# Retry-After of a request that was refused for lack of memory.
RETRY_AFTER_MS = 200.0

STATUS_UNAVAILABLE = 503


def compute_largest_share(limits: CallerLimits) -> int:
    """Returns what a connection holds at most for one request in the limits."""
    return CONNECTION_BYTES + REQUEST_BYTES + compute_largest_request(limits)


def encode_refusal(reason: Refusal, *, request_id: bytes, closes: bool) -> bytes:
    """Encodes the response to a complete request that there is no room for."""
    return encode_error_response(
        STATUS_UNAVAILABLE,
        reason=reason.value,
        request_id=request_id,
        retry_after_ms=RETRY_AFTER_MS,
        close_connection=closes,
    )
