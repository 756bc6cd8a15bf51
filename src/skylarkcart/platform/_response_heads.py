"""Finds responses of upstreams that are no answer, by their heads."""

from __future__ import annotations

import enum
from collections.abc import Sequence

Headers = Sequence[tuple[bytes, bytes]]

PROTOCOL = b"HTTP/"
SUPPORTED_VERSIONS = ("1.0", "1.1")
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
    PROTOCOL = "unsupported_protocol"
    UPGRADE = "unrequested_upgrade"
    BODY = "unexpected_body"
    TRANSFER_CODING = "unknown_transfer_coding"


def is_interim(status: int) -> bool:
    """Whether a response with this status precedes the answer."""
    return status in INTERIM_STATUSES


def is_final(status: int) -> bool:
    """Whether a response with this status can be an answer."""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


def find_invalidity(
    *, protocol: bytes, version: str, status: int, framing_headers: Headers
) -> InvalidResponse | None:
    """Returns why a response with this head is no answer, or None.

    ``protocol`` holds the first bytes of the response, and ``framing_headers`` its
    Content-Length and Transfer-Encoding headers.

    >>> find_invalidity(protocol=b"HTTP/", version="1.1", status=0, framing_headers=[])
    <InvalidResponse.STATUS: 'invalid_status'>
    """
    if protocol != PROTOCOL or version not in SUPPORTED_VERSIONS:
        return InvalidResponse.PROTOCOL
    if status == STATUS_SWITCHING_PROTOCOLS:
        return InvalidResponse.UPGRADE
    if not is_interim(status) and not is_final(status):
        return InvalidResponse.STATUS
    lengths = _list_values(framing_headers, b"content-length")
    codings = _list_values(framing_headers, b"transfer-encoding")
    has_body = bool(codings) or any(length.strip(b"0") for length in lengths)
    if status == STATUS_NO_CONTENT and has_body:
        return InvalidResponse.BODY
    if codings and codings != [b"chunked"]:
        return InvalidResponse.TRANSFER_CODING
    return None


def _list_values(headers: Headers, wanted: bytes) -> list[bytes]:
    return [value.strip().lower() for name, value in headers if name.lower() == wanted]
