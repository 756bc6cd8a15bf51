"""Encodes and decodes HTTP/1.1 requests and responses of callers and upstreams."""

from __future__ import annotations

import functools
from collections.abc import Sequence, Set

import msgspec

from skylarkcart.errors import InvalidValueError
from skylarkcart.exchange import CallerRequest, UpstreamResponse
from skylarkcart.platform import _names as names
from skylarkcart.platform._load import parse_load
from skylarkcart.types import AccountId, UpstreamId

Headers = Sequence[tuple[bytes, bytes]]

CRLF = b"\r\n"
MILLISECONDS_PER_SECOND = 1000.0
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# Value of the header by which an upstream says that it is leaving.
IS_LEAVING = b"1"
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the gateway replaces
# when it frames the message again.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_GATEWAY_HEADERS = frozenset(
    (names.TIME_LEFT, names.API_KEY, names.ACCOUNT, names.EXPECTED_UPSTREAM)
)
_INTERNAL_RESPONSE_HEADERS = frozenset(
    (names.LOAD, names.NOT_RUN, names.RESPONDING_UPSTREAM, names.LEAVING)
)


def decode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> CallerRequest:
    """Decodes a caller's request.

    Raises:
        InvalidValueError: the request id is missing, or the host, the request id, the
            key or the remaining time is repeated or invalid.
    """
    fields: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        fields.setdefault(name.lower(), []).append(value)
    dropped = _HOP_BY_HOP_HEADERS | _GATEWAY_HEADERS
    dropped |= _list_connection_options(fields.get(b"connection", ()))
    forwarded_headers = _encode_headers(headers, dropped)
    request_id = _get_single_value(fields, names.REQUEST_ID)
    if not request_id:
        raise InvalidValueError(
            where="request", value=target[:80], expected="a header with the request id"
        )
    host = _get_single_value(fields, b"host") or b""
    key = _get_single_value(fields, names.API_KEY)
    return CallerRequest(
        method=method,
        target=target,
        path=target.partition(b"?")[0].decode("latin-1"),
        host=host.partition(b":")[0].decode("latin-1").lower(),
        request_id=request_id,
        time_left_ms=_parse_time_left_ms(_get_single_value(fields, names.TIME_LEFT)),
        key=None if key is None else key.decode("latin-1"),
        forwarded_headers=forwarded_headers,
        body=body,
    )


def encode_upstream_request(
    request: CallerRequest,
    *,
    upstream: UpstreamId,
    time_left_ms: float,
    account: AccountId | None,
) -> bytes:
    """Encodes a request to an upstream with the caller's method, target and body."""
    lines = [
        request.method + b" " + request.target + b" HTTP/1.1" + CRLF,
        request.forwarded_headers,
        b"%b: %d\r\n" % (names.TIME_LEFT, max(1, int(time_left_ms))),
        names.EXPECTED_UPSTREAM + b": " + upstream.encode() + CRLF,
    ]
    if account is not None:
        lines.append(names.ACCOUNT + b": " + account.encode() + CRLF)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(CRLF)
    lines.append(request.body)
    return b"".join(lines)


def decode_response(status: int, headers: Headers, body: bytes) -> UpstreamResponse:
    """Decodes a complete response; the first value of a repeated header applies."""
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        fields.setdefault(name.lower(), value)
    retry_after = (
        fields.get(names.RETRY_AFTER) if status == STATUS_UNAVAILABLE else None
    )
    pause_ms = _parse_pause_ms(retry_after)
    load, invalid_load = parse_load(fields.get(names.LOAD))
    return UpstreamResponse(
        status=status,
        request_id=fields.get(names.REQUEST_ID),
        signature=fields.get(names.SIGNATURE),
        is_marked_not_run=names.NOT_RUN in fields or status == STATUS_MISDIRECTED,
        is_misdirected=status == STATUS_MISDIRECTED,
        has_content_encoding=b"content-encoding" in fields,
        load=load,
        idle_timeout_s=_parse_idle_timeout(fields.get(b"keep-alive")),
        is_leaving=fields.get(names.LEAVING) == IS_LEAVING,
        pause_ms=pause_ms,
        has_invalid_pause=retry_after is not None and pause_ms is None,
        invalid_load=invalid_load,
        headers=tuple(headers),
        body=body,
    )


def encode_relayed_response(
    response: UpstreamResponse, *, close_connection: bool
) -> bytes:
    """Encodes an upstream's response without hop-by-hop and internal headers."""
    dropped = _HOP_BY_HOP_HEADERS | _INTERNAL_RESPONSE_HEADERS
    dropped |= _list_connection_options(
        [value for name, value in response.headers if name.lower() == b"connection"]
    )
    forwarded_headers = _encode_headers(response.headers, dropped)
    return _encode(
        response.status,
        forwarded_headers,
        response.body,
        close_connection=close_connection,
    )


def encode_merged_response(
    request: CallerRequest,
    *,
    signatures: Sequence[bytes],
    missing_shards: int,
    body: bytes,
    close_connection: bool,
) -> bytes:
    """Encodes the merged response to a scatter-gather request."""
    headers = b"Request-Id: %b\r\n%b: %b\r\n%b: %d\r\n" % (
        request.request_id,
        names.PART_SIGNATURES.title(),
        b", ".join(signatures),
        names.MISSING_PARTS.title(),
        missing_shards,
    )
    return _encode(200, headers, body, close_connection=close_connection)


def encode_error_response(
    status: int,
    *,
    reason: str,
    request_id: bytes | None = None,
    retry_after_ms: float | None = None,
    close_connection: bool = False,
) -> bytes:
    """Encodes a response that the gateway itself generates.

    >>> response = encode_error_response(404, reason="no_route")
    >>> response.startswith(b"HTTP/1.1 404 Not Found")
    True
    """
    headers = b"Content-Type: application/json\r\n"
    if request_id is not None:
        headers += b"Request-Id: " + request_id + CRLF
    if retry_after_ms is not None:
        headers += b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0)
    body = msgspec.json.encode({"error": reason})
    return _encode(status, headers, body, close_connection=close_connection)


def _encode(
    status: int, headers: bytes, body: bytes, *, close_connection: bool
) -> bytes:
    connection = b"Connection: close\r\n" if close_connection else b""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES.get(status, b"Status"),
        headers,
        len(body),
        connection,
        body,
    )


def _encode_headers(headers: Headers, dropped: Set[bytes]) -> bytes:
    return b"".join(
        name + b": " + value + CRLF
        for name, value in headers
        if name.lower() not in dropped
    )


def _list_connection_options(values: Sequence[bytes]) -> set[bytes]:
    """Returns the names of the headers that ``Connection`` headers list."""
    options = b",".join(values).split(b",")
    return {option.strip().lower() for option in options} - {b""}


def _get_single_value(fields: dict[bytes, list[bytes]], name: bytes) -> bytes | None:
    values = fields.get(name)
    if not values:
        return None
    if len(values) > 1:
        raise InvalidValueError(
            where=f"header {name.decode()}",
            value=f"{len(values)} values",
            expected="at most one",
        )
    return values[0]


def _parse_time_left_ms(value: bytes | None) -> float | None:
    try:
        return None if value is None else max(0.0, float(value))
    except ValueError as error:
        raise InvalidValueError(
            where=f"header {names.TIME_LEFT.decode()}",
            value=value,
            expected="a number of milliseconds",
        ) from error


def _parse_pause_ms(value: bytes | None) -> float | None:
    """Returns the time in milliseconds, or None without a valid one.

    >>> _parse_pause_ms(b"1.5")
    1500.0
    """
    try:
        pause_ms = float(value or b"") * MILLISECONDS_PER_SECOND
    except ValueError:
        return None
    # Also False for NaN.
    return pause_ms if 0 <= pause_ms < float("inf") else None


@functools.lru_cache(maxsize=64)
def _parse_idle_timeout(value: bytes | None) -> float | None:
    for option in (value or b"").split(b","):
        name, _, number = option.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
