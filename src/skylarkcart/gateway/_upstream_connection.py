"""The client side of an HTTP connection to an upstream, one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from skylarkcart.exchange import UpstreamResponse
from skylarkcart.platform._messages import decode_response
from skylarkcart.types import UpstreamId

STATUS_CONTINUE = 100

ResponseHandler = Callable[["UpstreamConnection", UpstreamResponse], None]
ConnectionLostHandler = Callable[["UpstreamConnection"], None]


class UpstreamConnection(asyncio.Protocol):
    """Sends calls and passes on complete responses that belong to them.

    A response with another request's id is dropped. Data that arrives without a pending
    call belongs to no request and makes the connection unusable.
    """

    def __init__(
        self, *, on_response: ResponseHandler, on_connection_lost: ConnectionLostHandler
    ) -> None:
        self._on_response = on_response
        self._on_connection_lost = on_connection_lost
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._is_reading_message = False
        self._has_body_length = False
        self._request_id: bytes | None = None
        self.is_open = False
        self.is_reusable = True
        self.has_sent_call = False
        self.idle_timeout_s: float | None = None
        self.upstream = UpstreamId("")

    @property
    def is_busy(self) -> bool:
        return self._request_id is not None

    def send(self, data: bytes, *, request_id: bytes) -> None:
        self.has_sent_call = True
        self._request_id = request_id
        self._transport.write(data)

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
            and self._is_reading_message
            and not self._has_body_length
        )
        self.is_open = False
        self.is_reusable = False
        if ends_response:
            # The end of the connection delimits a response without a length, unless the
            # connection was reset.
            self.on_message_complete()
        self._request_id = None
        self._on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        if not self.is_busy:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.is_reusable = False
            self.close()
        if not self.is_reusable and not self.is_busy:
            self.close()

    def on_message_begin(self) -> None:
        self._headers = []
        self._body = []
        self._is_reading_message = True
        self._has_body_length = False
        if not self.is_busy:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_body_length = True

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._is_reading_message = False
        status = self._parser.get_status_code()
        if status == STATUS_CONTINUE or not self.is_busy:
            return
        response = decode_response(status, self._headers, b"".join(self._body))
        if response.request_id is not None and response.request_id != self._request_id:
            return
        if response.idle_timeout_s is not None:
            self.idle_timeout_s = response.idle_timeout_s
        if not self._has_body_length or not self._parser.should_keep_alive():
            self.is_reusable = False
        self._request_id = None
        self._on_response(self, response)
