"""The server side of a caller's HTTP connection."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

from skylarkcart.clock import Millis
from skylarkcart.gateway._caller_limits import (
    CONNECTION_BYTES,
    DISCARD_MS,
    MAX_PIPELINED_BYTES,
    MAX_PIPELINED_REQUESTS,
    MAX_REQUESTS_PER_TURN,
    NEW_CONNECTION_MAX_AGE_MS,
    REQUEST_BYTES,
    RETRY_AFTER_MS,
    STATUS_UNAVAILABLE,
    encode_refusal,
)
from skylarkcart.gateway._caller_service import CallerService, Exchange
from skylarkcart.gateway._request_reader import PIECE_BYTES, ReadRequest, RequestReader
from skylarkcart.platform._messages import encode_error_response
from skylarkcart.published import CallerLimits
from skylarkcart.receive import Activity, Refusal, Share


class CallerConnection(asyncio.Protocol):
    """Reads requests, and writes responses in request order.

    What the connection holds counts in the service's account. The connection is not
    read while it holds enough of later requests, and starts no further request while
    the caller does not read a response.
    """

    def __init__(
        self,
        *,
        service: CallerService,
        on_connection_lost: Callable[[CallerConnection], None],
    ) -> None:
        self._service = service
        self._account = service.account
        self._on_connection_lost = on_connection_lost
        self._transport: asyncio.Transport | None = None
        self._share: Share | None = None
        self._reader = RequestReader(
            get_limits=service.get_caller_limits,
            admit_body=self._hold,
            on_continue=self._send_continue,
            on_request=self._enqueue,
        )
        self._queue: collections.deque[ReadRequest] = collections.deque()
        self._queued_bytes = 0
        self._handled_bytes = 0
        # Size of a response that the caller has not read completely, and its rest.
        self._unsent_bytes = 0
        self._unsent_rest = 0
        self._is_draining = False
        # Data that is not parsed yet, and when it arrived.
        self._backlog: bytes | memoryview = b""
        self._backlog_arrived_at = Millis(0.0)
        self._exchange: Exchange | None = None
        self._is_handling = False
        self._is_sending = False
        self._is_advancing = False
        self._is_paused = False
        self._is_closing = False
        # Set after a malformed request behind pending ones, or one for another
        # protocol; no further data is read.
        self._is_rejecting = False
        # Until when data is read and dropped after the last response.
        self._discards_until: Millis | None = None
        self._discardable_bytes = 0
        self._last_active_at = self._now = service.clock.now()
        self._opened_at = self._last_active_at
        # The address that the caller connected from, if it is known.
        self.peer_host = ""

    @property
    def is_idle(self) -> bool:
        return (
            not self._is_handling
            and not self._is_sending
            and not self._reader.is_reading
            and not self._queue
            and not self._backlog
        )

    @property
    def unsent_bytes(self) -> int:
        """The bytes of responses that the network has not taken yet.

        Those of a caller that has not read since the last check don't count: they wait
        for the caller, not for this instance's link.
        """
        if self._transport is None or not self._is_draining:
            return 0
        return self._transport.get_write_buffer_size()

    def is_new(self, arrived_at: Millis) -> bool:
        """Whether the connection was opened for a request that just arrived."""
        return arrived_at - self._opened_at <= NEW_CONNECTION_MAX_AGE_MS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        peer = transport.get_extra_info("peername")
        self.peer_host = str(peer[0]) if peer else ""
        self._share = self._account.open(
            self.peer_host, give_way=self._give_way, now=self._opened_at
        )
        if self._share is None:
            self._abort(Refusal.DESCRIPTORS.value)
        elif not self._hold():
            self._abort(Refusal.MEMORY.value)

    def connection_lost(self, error: Exception | None) -> None:
        self._is_closing = True
        self._drop_requests()
        if self._share is not None:
            self._account.close(self._share)
        if self._exchange is not None:
            self._exchange.abandon()
            self._exchange = None
        self._on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._is_rejecting:
            self._discard(len(data))
            return
        self._now = self._backlog_arrived_at = self._service.clock.now()
        if self._reader.is_reading:
            self._share.record_progress(len(data), self._now)
        self._backlog = bytes(self._backlog) + data if self._backlog else data
        self._advance()

    def pause_writing(self) -> None:
        self._is_sending = True

    def resume_writing(self) -> None:
        self._is_sending = False
        self._unsent_bytes = 0
        # The connection was not read meanwhile, so that its caller was not idle.
        self._last_active_at = self._service.clock.now()
        self._continue()

    def respond(self, data: bytes, *, closes: bool) -> None:
        """Sends the response to the current request."""
        self._exchange = None
        self._is_handling = False
        self._handled_bytes = 0
        if self._transport is None or self._transport.is_closing():
            return
        self._now = self._last_active_at = self._service.clock.now()
        self._transport.write(data)
        if self._is_sending:
            self._unsent_bytes = self._unsent_rest = len(data)
        if closes or (not self._queue and self._is_rejecting):
            self._close()
            return
        self._advance()

    def check_timeouts(self, now: Millis) -> None:
        """Enforces the timeouts for requests, responses and idle connections."""
        self._now = now
        limits = self._service.get_caller_limits()
        if self._is_sending and not self._is_handling:
            self._check_sending(now, limits)
        elif self._is_closing:
            if self._discards_until is not None and now >= self._discards_until:
                self._transport.abort()
        elif not self._is_handling:
            waited_ms = now - max(self._last_active_at, self._reader.arrived_at)
            if self._reader.is_reading and waited_ms > limits.header_timeout_ms:
                self._reject(408, "request_too_slow")
            elif self.is_idle and waited_ms > limits.idle_timeout_ms:
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

    def _continue(self) -> None:
        """Advances at a later time than that of the last data or response."""
        self._now = self._service.clock.now()
        self._advance()

    def _advance(self) -> None:
        """Parses data and starts requests as far as they can proceed now."""
        if self._is_advancing:
            return
        self._is_advancing = True
        started = 0
        try:
            while not self._is_closing and not self._transport.is_closing():
                if self._queue and not self._is_handling and not self._is_sending:
                    if started == MAX_REQUESTS_PER_TURN:
                        asyncio.get_running_loop().call_soon(self._continue)
                        break
                    started += 1
                    self._start_next()
                elif self._backlog and not self._is_rejecting and not self._is_full():
                    self._parse_piece()
                else:
                    break
        finally:
            self._is_advancing = False
        self._settle()

    def _is_full(self) -> bool:
        """Whether enough of later requests is held while others are in progress."""
        if not (self._is_handling or self._is_sending or self._queue):
            return False
        return (
            len(self._queue) >= MAX_PIPELINED_REQUESTS
            or self._queued_bytes + self._reader.get_held_bytes(with_expected=False)
            > MAX_PIPELINED_BYTES
        )

    def _parse_piece(self) -> None:
        piece = self._backlog
        if len(piece) > PIECE_BYTES:
            rest = memoryview(piece)
            piece, self._backlog = rest[:PIECE_BYTES], rest[PIECE_BYTES:]
        else:
            self._backlog = b""
        self._reader.feed(piece, self._backlog_arrived_at)
        rejection = self._reader.rejection
        if rejection is not None:
            self._reject(rejection.status, rejection.reason)
        elif self._reader.has_last_request:
            self._is_rejecting = True
            if not self._is_handling and not self._queue:
                self._close()

    def _enqueue(self, read: ReadRequest) -> None:
        self._queue.append(read)
        self._queued_bytes += read.size

    def _start_next(self) -> None:
        read = self._queue.popleft()
        self._queued_bytes -= read.size
        self._share.has_sent_request = True
        self._is_handling = True
        self._handled_bytes = read.size + REQUEST_BYTES
        if not self._hold():
            self._service.record_rejection(Refusal.MEMORY.value, STATUS_UNAVAILABLE)
            closes = self._service.closes_connections()
            self.respond(
                encode_refusal(
                    Refusal.MEMORY, request_id=read.request.request_id, closes=closes
                ),
                closes=closes,
            )
            return
        exchange = self._service.handle(self, read.request, read.arrived_at)
        if self._is_handling:
            self._exchange = exchange

    def _hold(self) -> bool:
        """Counts what the connection holds; returns whether there is room for it."""
        reader = self._reader
        size = (
            CONNECTION_BYTES
            + self._queued_bytes
            + self._handled_bytes
            + self._unsent_bytes
            + len(self._backlog)
        )
        if reader.is_reading:
            # A body behind other requests is not read as a whole yet.
            reserves = not self._is_handling and not self._queue
            size += reader.get_held_bytes(with_expected=reserves)
            if reserves and reader.expects_body:
                size += REQUEST_BYTES
        share = self._share
        if size == share.bytes_held:
            return True
        return self._account.try_set(share, size, now=self._now)

    def _settle(self) -> None:
        """Brings the account and the flow of data in line with the state."""
        share = self._share
        activity = self._get_activity()
        if activity is not share.activity:
            share.begin(activity, self._now)
        if self._is_simple():
            size = CONNECTION_BYTES + self._handled_bytes
            if share.bytes_held == size or self._account.try_set(
                share, size, now=self._now
            ):
                return
        if not self._hold() and not self._is_closing:
            if self._is_sending and not self._is_handling:
                self._abort(Refusal.MEMORY.value)
            else:
                self._reject(STATUS_UNAVAILABLE, Refusal.MEMORY.value)
        pauses = bool(self._backlog) or self._is_full()
        if pauses is not self._is_paused and not self._is_closing:
            self._is_paused = pauses
            if pauses:
                # A view would keep all data of its read in memory.
                self._backlog = bytes(self._backlog)
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _is_simple(self) -> bool:
        """Whether the connection holds nothing but a request in progress."""
        return not (
            self._backlog
            or self._queue
            or self._is_sending
            or self._is_paused
            or self._is_closing
            or self._reader.is_reading
        )

    def _get_activity(self) -> Activity:
        if self._is_handling:
            return Activity.HANDLING
        if self._is_sending:
            return Activity.SENDING
        if self._queue:
            return Activity.HANDLING
        if self._reader.is_reading or self._backlog:
            return Activity.RECEIVING
        return Activity.IDLE

    def _check_sending(self, now: Millis, limits: CallerLimits) -> None:
        rest = self._transport.get_write_buffer_size()
        self._is_draining = rest < self._unsent_rest
        self._share.record_progress(max(0, self._unsent_rest - rest), now)
        self._unsent_rest = rest
        if now - self._share.progressed_at > limits.idle_timeout_ms:
            self._abort("response_not_read")

    def _send_continue(self) -> None:
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: int, reason: str, *, lingers: bool = True) -> None:
        if self._is_closing or self._is_rejecting:
            return
        self._service.record_rejection(reason, status)
        has_more = self._reader.is_reading or bool(self._backlog)
        self._reader.discard()
        self._backlog = b""
        self._is_rejecting = True
        if self._is_handling or self._queue:
            # Earlier requests receive their responses before the connection is closed.
            return
        retry_after_ms = RETRY_AFTER_MS if status == STATUS_UNAVAILABLE else None
        self._transport.write(
            encode_error_response(
                status,
                reason=reason,
                retry_after_ms=retry_after_ms,
                close_connection=True,
            )
        )
        self._close(discards=has_more and lingers)

    def _give_way(self, reason: Refusal) -> None:
        """Closes the connection to make room for others."""
        if self._is_closing:
            self._transport.abort()
        elif self._is_sending:
            self._abort(reason.value)
        elif self.is_idle:
            self._service.record_closing(reason.value)
            self._close()
        else:
            self._reject(STATUS_UNAVAILABLE, reason.value, lingers=False)

    def _abort(self, reason: str) -> None:
        self._service.record_closing(reason)
        self._is_closing = True
        self._drop_requests()
        self._transport.abort()

    def _close(self, *, discards: bool = False) -> None:
        self._is_closing = True
        self._drop_requests()
        if discards and not self._is_sending:
            # Closing a connection with unread data resets it, and the response is lost.
            self._discardable_bytes = self._service.get_caller_limits().max_body_bytes
            self._discards_until = Millis(self._service.clock.now() + DISCARD_MS)
            if self._is_paused:
                self._is_paused = False
                self._transport.resume_reading()
            self._transport.write_eof()
        else:
            self._transport.close()
        if self._share is not None:
            self._share.begin(self._get_activity(), self._now)
            if not self._hold() and self._is_sending:
                # Its response is not read, and there is no room to keep it.
                self._abort(Refusal.MEMORY.value)

    def _discard(self, size: int) -> None:
        self._discardable_bytes -= size
        if self._discards_until is not None and self._discardable_bytes < 0:
            self._transport.abort()

    def _drop_requests(self) -> None:
        self._queue.clear()
        self._queued_bytes = 0
        self._backlog = b""
        self._reader.discard()
