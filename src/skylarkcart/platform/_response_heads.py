"""Finds responses of upstreams that are no answer, by their heads."""

from __future__ import annotations

import enum
from collections.abc import Sequence

Headers = Sequence[tuple[bytes, bytes]]

MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599
INTERIM_STATUSES = range(100, 200)
STATUS_SWITCHING_PROTOCOLS = 101
STATUS_NO_CONTENT = 204
# Its length is that of another response, but an upstream may send that body.
STATUS_NOT_MODIFIED = 304


class InvalidResponse(enum.Enum):
    """Why a response is no answer; the values appear in logs and metrics."""

    MALFORMED = "malformed"
    STATUS = "invalid_status"
    UPGRADE = "unrequested_upgrade"
    BODY = "unexpected_body"


def is_interim(status: int) -> bool:
    """Whether a response with this status precedes the answer."""
    return status in INTERIM_STATUSES


def find_invalidity(*, status: int, headers: Headers) -> InvalidResponse | None:
    """Returns why a response with this head is no answer, or None.

    >>> find_invalidity(status=0, headers=[])
    <InvalidResponse.STATUS: 'invalid_status'>
    """
    if status == STATUS_SWITCHING_PROTOCOLS:
        return InvalidResponse.UPGRADE
    if not is_interim(status) and not MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS:
        return InvalidResponse.STATUS
    if status == STATUS_NO_CONTENT and _states_body(headers):
        return InvalidResponse.BODY
    return None


def _states_body(headers: Headers) -> bool:
    """Whether the head gives a body a length above 0 or a transfer coding."""
    fields = {name.lower(): value for name, value in headers}
    return b"transfer-encoding" in fields or bool(
        fields.get(b"content-length", b"").strip(b" 0")
    )
