"""The client side of an HTTP connection to an upstream, one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from skylarkcart.exchange import UpstreamResponse
from skylarkcart.gateway._receive_limits import ReceiveMemory, ResponseMeter
from skylarkcart.platform._messages import decode_response
from skylarkcart.platform._response_heads import (
    PROTOCOL,
    STATUS_NOT_MODIFIED,
    InvalidResponse,
    find_invalidity,
    is_interim,
)
from skylarkcart.types import UpstreamId

ResponseHandler = Callable[["UpstreamConnection", UpstreamResponse], None]
ConnectionLostHandler = Callable[["UpstreamConnection"], None]
RejectionHandler = Callable[["UpstreamConnection", str], None]
NoticeHandler = Callable[[UpstreamResponse], None]


class UpstreamConnection(asyncio.Protocol):
    """Sends calls and passes on complete responses that belong to them.

    A response with another request's id is dropped; so is one without an id if the
    upstream has sent ids before, since it may be a late copy of an earlier response.
    Data that arrives without a pending call, or behind the response to one, belongs to
    no request and makes the connection unusable. ``on_rejected`` gets the reason when
    data exceeds a limit or is no answer; the connection is then closed. ``on_notice``
    gets each complete response in which the upstream speaks of itself, also one that is
    dropped.
    """

    def __init__(
        self,
        *,
        memory: ReceiveMemory,
        on_response: ResponseHandler,
        on_connection_lost: ConnectionLostHandler,
        on_rejected: RejectionHandler,
        on_notice: NoticeHandler,
    ) -> None:
        self._on_response = on_response
        self._on_connection_lost = on_connection_lost
        self._on_rejected = on_rejected
        self._on_notice = on_notice
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._meter = ResponseMeter(memory=memory)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._framing_headers: list[tuple[bytes, bytes]] = []
        self._is_reading_body = False
        self._has_body_length = False
        self._request_id: bytes | None = None
        self._response: UpstreamResponse | None = None
        self._rejection: str | None = None
        self._has_sent_ids = False
        self._protocol = b""
        self.is_open = False
        self.is_reusable = True
        self.has_sent_call = False
        self.idle_timeout_s: float | None = None
        self.upstream = UpstreamId("")

    @property
    def is_busy(self) -> bool:
        return self._request_id is not None

    def send(self, head: bytes, *, body: bytes = b"", request_id: bytes) -> None:
        self.has_sent_call = True
        self._request_id = request_id
        self._protocol = b""
        self._meter.begin_call()
        if body:
            # Calls of one request share the body; joining would copy it.
            self._transport.writelines((head, body))
        else:
            self._transport.write(head)

    def close(self) -> None:
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.is_open = True

    def connection_lost(self, error: Exception | None) -> None:
        ends_response = (
            error is None
            and self.is_open
            and self._is_reading_body
            and not self._has_body_length
        )
        self.is_open = False
        self.is_reusable = False
        if ends_response:
            # The end of the connection delimits a response with a complete head and
            # without a length, unless the connection was reset.
            self.on_message_complete()
            self._deliver()
        self._meter.release()
        self._request_id = None
        self._on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        if not self.is_busy:
            self.close()
            return
        if len(self._protocol) < len(PROTOCOL):
            # The parser accepts other protocols and doesn't tell which one it read.
            self._protocol = (self._protocol + data.lstrip(b"\r\n"))[: len(PROTOCOL)]
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_reusable = False
            if self._response is None and self._rejection is None:
                self._rejection = InvalidResponse.MALFORMED.value
        rejection = self._meter.add_data(len(data)) or self._rejection
        # The response is passed on only now: data behind it must not be taken for the
        # response to the next call.
        self._deliver()
        if rejection is not None and self.is_open:
            self.is_reusable = False
            self._on_rejected(self, rejection)
        if not self.is_reusable:
            self.close()

    def on_message_begin(self) -> None:
        self._headers = []
        self._body = []
        self._framing_headers = []
        self._is_reading_body = False
        self._has_body_length = False
        self._meter.begin_message()
        if self._response is not None:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_body_length = True
            self._framing_headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._is_reading_body = True
        self._meter.end_head()
        invalidity = find_invalidity(
            protocol=self._protocol,
            version=self._parser.get_http_version(),
            status=self._parser.get_status_code(),
            framing_headers=self._framing_headers,
        )
        if invalidity is not None:
            self._rejection = invalidity.value

    def on_body(self, body: bytes) -> None:
        if self._rejection is not None:
            return
        self._rejection = self._meter.add_body(len(body))
        if self._rejection is None:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._is_reading_body = False
        if self._rejection is not None:
            return
        status = self._parser.get_status_code()
        if is_interim(status):
            self._rejection = self._meter.add_interim_response()
            return
        if self._response is not None:
            return
        response = decode_response(status, self._headers, b"".join(self._body))
        # An idle connection would keep it until the next response.
        self._body = []
        self._meter.release()
        if response.speaks_of_upstream:
            self._on_notice(response)
        if response.request_id is None and self._has_sent_ids:
            self.is_reusable = False
            return
        if response.request_id is not None:
            self._has_sent_ids = True
            if response.request_id != self._request_id:
                return
        if response.idle_timeout_s is not None:
            self.idle_timeout_s = response.idle_timeout_s
        if (
            not self._has_body_length
            or status == STATUS_NOT_MODIFIED
            or not self._parser.should_keep_alive()
        ):
            self.is_reusable = False
        self._response = response

    def _deliver(self) -> None:
        response, self._response = self._response, None
        if response is not None:
            self._request_id = None
            self._on_response(self, response)
