"""Parses the requests of one caller connection within the limits."""

from __future__ import annotations

from collections.abc import Callable

import httptools
import msgspec

from skylarkcart.clock import Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.exchange import CallerRequest
from skylarkcart.platform._messages import decode_request
from skylarkcart.published import CallerLimits

# Data is parsed in pieces, so that what a caller sends beyond a limit is noticed.
PIECE_BYTES = 16_384

# Memory of one header beyond its bytes: two byte strings, a tuple and a list entry.
HEADER_FIELD_BYTES = 200

# A header with a name of one character and without a value, as it is counted.
MIN_HEADER_BYTES = 5

# Memory of a decoded request beyond its head and body.
DECODED_REQUEST_BYTES = 2_048

# A body that grows piece by piece reserves up to an eighth more.
BODY_GROWTH_FACTOR = 1.125

# Bytes of a chunked body in chunks of one byte, per byte of the body.
MAX_FRAMING_FACTOR = 8


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request is not read any further."""

    status: int
    reason: str


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A complete request and the memory that it holds."""

    request: CallerRequest
    arrived_at: Millis
    size: int


def compute_largest_request(limits: CallerLimits) -> int:
    """Returns the memory of the largest request that the limits allow."""
    max_headers = limits.max_header_bytes // MIN_HEADER_BYTES
    return int(
        DECODED_REQUEST_BYTES
        + PIECE_BYTES
        + 2 * limits.max_header_bytes
        + HEADER_FIELD_BYTES * max_headers
        + BODY_GROWTH_FACTOR * limits.max_body_bytes
    )


class RequestReader:
    """Reads requests and finds the limit that a caller exceeds.

    ``admit_body`` is asked before a body is read whether there is room for it. After a
    rejection, nothing is kept.
    """

    def __init__(
        self,
        *,
        get_limits: Callable[[], CallerLimits],
        admit_body: Callable[[], bool],
        on_continue: Callable[[], None],
        on_request: Callable[[ReadRequest], None],
    ) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._get_limits = get_limits
        self._admit_body = admit_body
        self._on_continue = on_continue
        self._on_request = on_request
        self._now = Millis(0.0)
        self._set_limits(get_limits())
        # Bytes since the last one of a body, or since a message or its body began.
        self._bytes_without_body = 0
        self._piece_bytes = 0
        self.rejection: Rejection | None = None
        # Whether the caller closes the connection, or changes its protocol, after the
        # last request.
        self.has_last_request = False
        self.arrived_at = self._now
        self._begin_message()

    @property
    def expects_body(self) -> bool:
        """Whether a request with a body of a known length is being read."""
        return self._expected_body_bytes > 0

    def get_held_bytes(self, *, with_expected: bool) -> int:
        """Returns the memory that an incomplete request holds.

        If ``with_expected`` is true, a body of a known length counts as a whole.
        """
        if not self.is_reading:
            return 0
        body_bytes = len(self._body)
        if with_expected:
            body_bytes = max(self._expected_body_bytes, body_bytes)
        # The parser keeps an incomplete header or trailer, from the last piece on.
        parser_bytes = self._bytes_without_body + self._piece_bytes
        return self._head_size + int(BODY_GROWTH_FACTOR * body_bytes) + parser_bytes

    @property
    def _head_size(self) -> int:
        return (
            self._header_bytes
            + len(self._target)
            + HEADER_FIELD_BYTES * len(self._headers)
        )

    def feed(self, data: bytes | memoryview, now: Millis) -> None:
        """Parses data that arrived at ``now``."""
        self._now = now
        self._piece_bytes = len(data)
        self._bytes_without_body += self._piece_bytes
        self._message_bytes += self._piece_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself was passed on; the parser reads nothing after it.
            self.has_last_request = True
        except httptools.HttpParserError:
            self._reject(400, "malformed_request")
        if self._bytes_without_body > self._limits.max_header_bytes:
            self._reject_endless_part()
        elif self._message_bytes > self._max_message_bytes:
            self._reject(413, "framing_too_large")

    def discard(self) -> None:
        """Drops an incomplete request."""
        self._begin_message()

    def on_message_begin(self) -> None:
        self._set_limits(self._get_limits())
        self.is_reading = True
        self._is_reading_head = True
        self._bytes_without_body = 0
        self._message_bytes = 0
        self.arrived_at = self._now

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        size = len(name) + len(value) + 4
        if not self._is_reading_head:
            self._trailer_bytes += size
            return
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes:
            self._reject(431, "header_too_large")
        if self.rejection is not None:
            return
        self._headers.append((name, value))
        if len(name) == len(b"expect") and name.lower() == b"expect":
            self._expects_continue = value.lower() == b"100-continue"
        elif len(name) == len(b"content-length") and name.lower() == b"content-length":
            self._expected_body_bytes = int(value)

    def on_headers_complete(self) -> None:
        self._is_reading_head = False
        self._bytes_without_body = 0
        self._set_limits(self._get_limits())
        if self.rejection is not None:
            return
        if self._header_bytes + len(self._target) > self._limits.max_header_bytes:
            self._reject(431, "header_too_large")
        elif self._expected_body_bytes > self._limits.max_body_bytes:
            self._reject(413, "body_too_large")
        elif self._expected_body_bytes and not self._admit_body():
            self._reject(503, "memory_exhausted")
        elif self._expects_continue:
            self._on_continue()

    def on_body(self, body: bytes) -> None:
        self._bytes_without_body = 0
        if self.rejection is not None:
            return
        if len(self._body) + len(body) > self._limits.max_body_bytes:
            self._reject(413, "body_too_large")
            return
        self._body += body

    def on_message_complete(self) -> None:
        if self.rejection is None:
            self._complete()
        self._begin_message()

    def _complete(self) -> None:
        if self._parser.get_method() == b"CONNECT":
            self._reject(400, "tunnels_not_supported")
            return
        if self._trailer_bytes > self._limits.max_header_bytes:
            self._reject(431, "trailers_too_large")
            return
        if not self._parser.should_keep_alive() or self._parser.should_upgrade():
            self.has_last_request = True
        try:
            request = decode_request(
                self._parser.get_method(),
                bytes(self._target),
                self._headers,
                bytes(self._body),
            )
        except InvalidValueError as error:
            self._reject(400, str(error.where))
            return
        self._on_request(
            ReadRequest(
                request=request,
                arrived_at=self.arrived_at,
                size=DECODED_REQUEST_BYTES + self._head_size + len(self._body),
            )
        )

    def _set_limits(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._max_message_bytes = (
            2 * limits.max_header_bytes + MAX_FRAMING_FACTOR * limits.max_body_bytes
        )

    def _reject_endless_part(self) -> None:
        if self._is_reading_head:
            self._reject(431, "header_too_large")
        elif self.is_reading:
            self._reject(431, "trailers_too_large")
        else:
            self._reject(400, "empty_lines")

    def _begin_message(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._trailer_bytes = 0
        self._body = bytearray()
        self._expected_body_bytes = 0
        self._expects_continue = False
        self._is_reading_head = False
        self.is_reading = False
        self._bytes_without_body = 0
        self._message_bytes = 0

    def _reject(self, status: int, reason: str) -> None:
        """Records the first limit that was exceeded, and drops the request."""
        if self.rejection is not None:
            return
        self.rejection = Rejection(status=status, reason=reason)
        self._headers = []
        self._body = bytearray()
        self._target = bytearray()
