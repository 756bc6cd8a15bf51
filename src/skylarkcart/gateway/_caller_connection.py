"""The server side of a caller's HTTP connection."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

import httptools

from skylarkcart.clock import Clock, Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.exchange import CallerRequest
from skylarkcart.platform._messages import decode_request, encode_error_response
from skylarkcart.published import CallerLimits

# A caller that opens a connection for a request sends the request immediately; after
# this age, the connection counts as reused.
NEW_CONNECTION_MAX_AGE_MS = 5.0

# Requests queued on one connection while an earlier one is being handled.
MAX_PIPELINED_REQUESTS = 16


class Exchange(Protocol):
    """A request in progress."""

    def abandon(self) -> None:
        """Stops processing after the caller has disconnected."""

    def expire(self) -> None:
        """Responds now with what there is, as the process is about to end."""


class CallerService(Protocol):
    """What a caller connection requires of its instance."""

    clock: Clock

    def get_caller_limits(self) -> CallerLimits: ...

    def closes_connections(self) -> bool: ...

    def handle(
        self, connection: CallerConnection, request: CallerRequest, arrived_at: Millis
    ) -> Exchange | None: ...

    def record_rejection(self, reason: str, status: int) -> None: ...


class CallerConnection(asyncio.Protocol):
    """Parses complete requests and writes responses in request order."""

    def __init__(
        self,
        *,
        service: CallerService,
        on_connection_lost: Callable[[CallerConnection], None],
    ) -> None:
        self._service = service
        self._on_connection_lost = on_connection_lost
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[tuple[CallerRequest, Millis]] = (
            collections.deque()
        )
        self._exchange: Exchange | None = None
        self._is_handling = False
        self._limits = service.get_caller_limits()
        self._is_closing = False
        self._closes_after_responses = False
        # Set after a malformed request behind pending ones, or one for another
        # protocol; no further data is read.
        self._is_rejecting = False
        self._last_active_at = service.clock.now()
        self._opened_at = self._last_active_at
        self._begin_message()

    @property
    def is_idle(self) -> bool:
        return (
            not self._is_handling and not self._is_reading_message and not self._queue
        )

    @property
    def peer_host(self) -> str:
        """The address that the caller connected from."""
        name = None
        if self._transport is not None:
            name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    @property
    def unsent_bytes(self) -> int:
        """The bytes of responses that the network has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def is_new(self, arrived_at: Millis) -> bool:
        """Whether the connection was opened for a request that just arrived."""
        return arrived_at - self._opened_at <= NEW_CONNECTION_MAX_AGE_MS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self._is_closing = True
        self._queue.clear()
        if self._exchange is not None:
            self._exchange.abandon()
            self._exchange = None
        self._on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._is_rejecting:
            return
        if not self._is_reading_message:
            self._last_active_at = self._service.clock.now()
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself was passed on; the parser reads nothing after it.
            self._is_rejecting = True
            if not self._is_handling and not self._queue and not self._is_closing:
                self._close()
        except httptools.HttpParserError:
            self._reject(400, "malformed_request")
        if (
            self._is_reading_headers
            and self._unparsed_bytes > self._limits.max_header_bytes
        ):
            self._reject(431, "header_too_large")

    def respond(self, data: bytes, *, closes: bool) -> None:
        """Sends the response to the current request."""
        self._exchange = None
        self._is_handling = False
        if self._transport is None or self._transport.is_closing():
            return
        self._last_active_at = self._service.clock.now()
        self._transport.write(data)
        if closes or (not self._queue and self._closes_when_drained()):
            self._close()
            return
        self._handle_next()

    def _closes_when_drained(self) -> bool:
        return self._closes_after_responses or self._is_rejecting

    def check_timeouts(self, now: Millis) -> None:
        """Enforces the timeouts for reading a request and for idle connections."""
        if self._is_closing or self._is_handling:
            return
        waited_ms = now - self._last_active_at
        if self._is_reading_message and waited_ms > self._limits.header_timeout_ms:
            self._reject(408, "request_too_slow")
        elif self.is_idle and waited_ms > self._limits.idle_timeout_ms:
            self._close()

    def expire(self) -> None:
        """Ends the request in progress with a final response."""
        if self._exchange is not None:
            self._exchange.expire()

    def close_if_idle(self, *, min_idle_ms: float = 0.0) -> None:
        """Closes the connection if no request is in progress or being read.

        A connection that was opened or used within ``min_idle_ms`` stays open, since
        its next request may be on the way.
        """
        idle_ms = self._service.clock.now() - self._last_active_at
        if self.is_idle and not self._is_closing and idle_ms >= min_idle_ms:
            self._close()

    def on_message_begin(self) -> None:
        self._begin_message()
        self._is_reading_message = True
        self._is_reading_headers = True
        self._arrived_at = self._service.clock.now()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._header_bytes += len(name) + len(value) + 4
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True

    def on_headers_complete(self) -> None:
        self._is_reading_headers = False
        self._limits = self._service.get_caller_limits()
        if self._header_bytes + len(self._target) > self._limits.max_header_bytes:
            self._reject(431, "header_too_large")
        elif self._expects_continue and not self._is_closing:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > self._limits.max_body_bytes:
            self._reject(413, "body_too_large")

    def on_message_complete(self) -> None:
        self._is_reading_message = False
        self._unparsed_bytes = 0
        if self._is_closing:
            return
        if self._parser.get_method() == b"CONNECT":
            self._reject(400, "tunnels_not_supported")
            return
        if not self._parser.should_keep_alive() or self._parser.should_upgrade():
            self._closes_after_responses = True
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
        if len(self._queue) >= MAX_PIPELINED_REQUESTS:
            self._reject(400, "too_many_pipelined_requests")
            return
        self._queue.append((request, self._arrived_at))
        self._handle_next()

    def _begin_message(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._expects_continue = False
        self._is_reading_message = False
        self._is_reading_headers = False
        self._unparsed_bytes = 0
        self._arrived_at = self._last_active_at

    def _handle_next(self) -> None:
        if self._is_handling or not self._queue or self._is_closing:
            return
        request, arrived_at = self._queue.popleft()
        self._is_handling = True
        exchange = self._service.handle(self, request, arrived_at)
        if self._is_handling:
            self._exchange = exchange

    def _reject(self, status: int, reason: str) -> None:
        if self._is_closing or self._is_rejecting:
            return
        self._service.record_rejection(reason, status)
        if self._is_handling or self._queue:
            # Earlier requests receive their responses before the connection is closed.
            self._is_rejecting = True
            return
        self._transport.write(
            encode_error_response(status, reason=reason, close_connection=True)
        )
        self._close()

    def _close(self) -> None:
        self._is_closing = True
        self._transport.close()
