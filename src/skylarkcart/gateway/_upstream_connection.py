"""One connection to an upstream, with one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from skylarkcart.exchange import UpstreamAnswer
from skylarkcart.platform._messages import decode_answer
from skylarkcart.types import UpstreamId

STATUS_CONTINUE = 100

AnswerHandler = Callable[["UpstreamConnection", UpstreamAnswer], None]
LossHandler = Callable[["UpstreamConnection"], None]


class UpstreamConnection(asyncio.Protocol):
    """Sends calls and hands on whole answers that belong to them.

    An answer with another request's id is dropped. Bytes after an answer belong to no
    request, so that the connection is not used again.
    """

    def __init__(self, *, on_answer: AnswerHandler, on_loss: LossHandler) -> None:
        self._on_answer = on_answer
        self._on_loss = on_loss
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._has_message = False
        self._has_length = False
        self._request_id: bytes | None = None
        self.is_open = False
        self.is_reusable = True
        self.is_used = False
        self.idle_timeout_s: float | None = None
        self.upstream = UpstreamId("")

    @property
    def is_busy(self) -> bool:
        return self._request_id is not None

    def send(self, data: bytes, *, request_id: bytes) -> None:
        self.is_used = True
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
        ends_answer = (
            error is None
            and self.is_open
            and self._has_message
            and not self._has_length
        )
        self.is_open = False
        self.is_reusable = False
        if ends_answer:
            # An answer without a length ends with a connection that was not reset.
            self.on_message_complete()
        self._request_id = None
        self._on_loss(self)

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
        self._has_message = True
        self._has_length = False
        if not self.is_busy:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._has_message = False
        status = self._parser.get_status_code()
        if status == STATUS_CONTINUE or not self.is_busy:
            return
        answer = decode_answer(status, self._headers, b"".join(self._body))
        if answer.request_id is not None and answer.request_id != self._request_id:
            return
        if answer.idle_timeout_s is not None:
            self.idle_timeout_s = answer.idle_timeout_s
        if not self._has_length or not self._parser.should_keep_alive():
            self.is_reusable = False
        self._request_id = None
        self._on_answer(self, answer)
