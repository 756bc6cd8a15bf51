"""One connection of a caller."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

import httptools

from skylarkcart.clock import Clock, Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.exchange import CallerRequest
from skylarkcart.platform._messages import decode_request, encode_refusal
from skylarkcart.published import CallerLimits

# A caller that opens a connection for a request sends it as soon as it is open.
NEW_CONNECTION_MS = 5.0

# Requests that a caller sends before earlier ones are answered.
MAX_PIPELINED = 16


class Exchange(Protocol):
    """A request that is being handled."""

    def abandon(self) -> None:
        """Ends the work, as the caller has gone."""


class CallerService(Protocol):
    """What a connection needs of the instance."""

    clock: Clock

    def get_caller_limits(self) -> CallerLimits: ...

    def closes_connections(self) -> bool: ...

    def handle(
        self, connection: CallerConnection, request: CallerRequest, arrived_at: Millis
    ) -> Exchange | None: ...

    def note_rejected(self, reason: str, status: int) -> None: ...


class CallerConnection(asyncio.Protocol):
    """Reads requests whole and answers them in order."""

    def __init__(
        self,
        *,
        service: CallerService,
        on_loss: Callable[[CallerConnection], None],
    ) -> None:
        self._service = service
        self._on_loss = on_loss
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[tuple[CallerRequest, Millis]] = (
            collections.deque()
        )
        self._exchange: Exchange | None = None
        self._is_handling = False
        self._limits = service.get_caller_limits()
        self._is_closing = False
        self._closes_after = False
        # An unreadable request came after others; nothing more is read.
        self._is_rejecting = False
        self._active_at = service.clock.now()
        self._opened_at = self._active_at
        self._begin_message()

    @property
    def is_idle(self) -> bool:
        return not self._is_handling and not self._is_reading and not self._queue

    def is_new(self, arrived_at: Millis) -> bool:
        """Whether the connection was opened for a request that arrived at a moment."""
        return arrived_at - self._opened_at <= NEW_CONNECTION_MS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self._is_closing = True
        self._queue.clear()
        if self._exchange is not None:
            self._exchange.abandon()
            self._exchange = None
        self._on_loss(self)

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._is_rejecting:
            return
        if not self._is_reading:
            self._active_at = self._service.clock.now()
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade_not_supported")
        except httptools.HttpParserError:
            self._reject(400, "malformed_request")
        if self._is_in_head and self._unparsed_bytes > self._limits.max_header_bytes:
            self._reject(431, "header_too_large")

    def respond(self, data: bytes, *, closes: bool) -> None:
        """Sends the answer to the request that is being handled."""
        self._exchange = None
        self._is_handling = False
        if self._transport is None or self._transport.is_closing():
            return
        self._active_at = self._service.clock.now()
        self._transport.write(data)
        if closes or (not self._queue and self._ends_after_answers()):
            self._close()
            return
        self._handle_next()

    def _ends_after_answers(self) -> bool:
        return self._closes_after or self._is_rejecting

    def check_timeouts(self, now: Millis) -> None:
        """Closes the connection if the caller takes or stays idle for too long."""
        if self._is_closing or self._is_handling:
            return
        waited_ms = now - self._active_at
        if self._is_reading and waited_ms > self._limits.header_timeout_ms:
            self._reject(408, "request_too_slow")
        elif self.is_idle and waited_ms > self._limits.idle_timeout_ms:
            self._close()

    def close_if_idle(self) -> None:
        if self.is_idle:
            self._close()

    def on_message_begin(self) -> None:
        self._begin_message()
        self._is_reading = True
        self._is_in_head = True
        self._arrived_at = self._service.clock.now()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._header_bytes += len(name) + len(value) + 4
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True

    def on_headers_complete(self) -> None:
        self._is_in_head = False
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
        self._is_reading = False
        self._unparsed_bytes = 0
        if self._is_closing:
            return
        if not self._parser.should_keep_alive():
            self._closes_after = True
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
        if len(self._queue) >= MAX_PIPELINED:
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
        self._is_reading = False
        self._is_in_head = False
        self._unparsed_bytes = 0
        self._arrived_at = self._active_at

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
        self._service.note_rejected(reason, status)
        if self._is_handling or self._queue:
            # The answers to earlier requests come first, and then the connection ends.
            self._is_rejecting = True
            return
        self._transport.write(encode_refusal(status, reason=reason, closes=True))
        self._close()

    def _close(self) -> None:
        self._is_closing = True
        self._transport.close()
