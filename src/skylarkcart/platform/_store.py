"""Client of the platform's key-value store over HTTP."""

from __future__ import annotations

import asyncio
import base64
import binascii
from collections.abc import AsyncIterator, Callable
from typing import Any
from urllib.parse import urlencode

import httptools
import msgspec

from skylarkcart.errors import DECODING_ERRORS, SkylarkcartError
from skylarkcart.platform._names import ERA, RANGE_PATH, WATCH_PATH
from skylarkcart.platform._response_heads import is_final, is_interim
from skylarkcart.platform._store_era import NOT_STATED, StatedEra, decode_era
from skylarkcart.published import Address, StoredItem

# A response holds about 1 MB of items; changes of several seconds may take more.
MAX_RESPONSE_BYTES = 16 * 1_048_576

# A response whose bytes keep arriving may take this time on a slow link.
MAX_RESPONSE_MS = 10_000.0


class StoreError(SkylarkcartError):
    """The store is unreachable, refused the request or sent a malformed response."""


class ResponseTooLargeError(StoreError):
    """A response exceeds ``MAX_RESPONSE_BYTES``."""


class HistoryLostError(StoreError):
    """The changes since the requested revision can't be had from a watch.

    The store no longer has them, or they exceed what a response may take. They would
    only grow until the next watch, while the pages of a full read are bounded.
    """


class EraChangedError(HistoryLostError):
    """The pages of a full read are of different eras of the store."""


class StorePage(msgspec.Struct, frozen=True, kw_only=True):
    """Items and the store's revision and era at the time of the response."""

    items: tuple[StoredItem, ...]
    revision: int
    era: StatedEra = NOT_STATED


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class _Range(msgspec.Struct, frozen=True, rename="camel"):
    items: tuple[_Item, ...]
    # The store's revision at the time of the response.
    as_of: int
    has_more: bool = False


class _Watch(msgspec.Struct, frozen=True, rename="camel"):
    events: tuple[_Item, ...]
    as_of: int


class StoreClient:
    """A client with one connection, opened on demand and closed after an error."""

    def __init__(self, *, address: Address) -> None:
        self._address = address
        self._protocol: _StoreProtocol | None = None
        self.request_count = 0

    async def read_pages(
        self, prefix: str, *, timeout_ms: float
    ) -> AsyncIterator[StorePage]:
        """Reads all items whose key starts with a prefix, a page at a time.

        Each page is requested when the one before has been used, so that the items of
        one page are held at most. All have the revision of the first one: a watch from
        there also returns the changes made while later pages were read.

        Raises:
            EraChangedError: a page states another era than one before.
        """
        first_revision: int | None = None
        stated = NOT_STATED
        query: dict[str, Any] = {"prefix": prefix}
        while True:
            page, era = await self._get(RANGE_PATH, query, timeout_ms, _Range)
            if era.era is not None:
                if stated.era not in (None, era.era):
                    raise EraChangedError(
                        f"pages of a full read are of the eras {stated.era}, {era.era}"
                    )
                stated = era
            if first_revision is None:
                first_revision = page.as_of
            last_key = page.items[-1].key if page.items else ""
            items = tuple(_convert_item(item) for item in page.items)
            yield StorePage(items=items, revision=first_revision, era=era)
            if not page.has_more or not page.items:
                return
            if last_key <= query.get("after", ""):
                raise StoreError(
                    f"the page after {query['after']!r} ends with {last_key!r}, "
                    "expected a later key"
                )
            query["after"] = last_key

    async def watch(
        self, prefix: str, *, after_revision: int, wait_ms: float, timeout_ms: float
    ) -> StorePage:
        """Waits up to ``wait_ms`` for changes after a revision.

        Raises:
            HistoryLostError: the store no longer has all changes since
                ``after_revision``, or they exceed what a response may take.
        """
        query = {"prefix": prefix, "after": after_revision, "waitMs": int(wait_ms)}
        try:
            page, era = await self._get(WATCH_PATH, query, timeout_ms + wait_ms, _Watch)
        except ResponseTooLargeError as error:
            raise HistoryLostError(
                f"changes after revision {after_revision}: {error}"
            ) from error
        items = tuple(_convert_item(item) for item in page.events)
        return StorePage(items=items, revision=page.as_of, era=era)

    def close(self) -> None:
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def _get(
        self, path: str, query: dict[str, Any], timeout_ms: float, response_type: type
    ) -> tuple[Any, StatedEra]:
        """Sends a request; ``timeout_ms`` is the longest time without a byte."""
        self.request_count += 1
        loop = asyncio.get_running_loop()
        latest = loop.time() + max(timeout_ms, MAX_RESPONSE_MS) / 1000.0
        try:
            async with asyncio.timeout(timeout_ms / 1000.0) as timeout:

                def extend_timeout() -> None:
                    timeout.reschedule(min(latest, loop.time() + timeout_ms / 1000.0))

                status, body, era = await self._exchange(
                    f"{path}?{urlencode(query)}", on_data=extend_timeout
                )
        except (OSError, TimeoutError) as error:
            self.close()
            raise StoreError(f"request for {path} failed: {error!r}") from error
        if status == 410:
            raise HistoryLostError(
                f"{path} has no history after revision {query.get('after')}"
            )
        if status != 200:
            raise StoreError(f"{path} returned status {status}, expected 200")
        try:
            return msgspec.json.decode(body, type=response_type), era
        except DECODING_ERRORS as error:
            self.close()
            raise StoreError(f"{path} returned a malformed body: {error}") from error

    async def _exchange(
        self, target: str, *, on_data: Callable[[], None]
    ) -> tuple[int, bytes, StatedEra]:
        if self._protocol is None or self._protocol.is_closed:
            loop = asyncio.get_running_loop()
            _, self._protocol = await loop.create_connection(
                _StoreProtocol, self._address.host, self._address.port
            )
        return await self._protocol.get(
            target, host=str(self._address), on_data=on_data
        )


class _StoreProtocol(asyncio.Protocol):
    """A client connection that sends one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[tuple[int, bytes, StatedEra]] | None = None
        self._on_data: Callable[[], None] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._eras: list[bytes] = []
        self._received_bytes = 0
        self.is_closed = False

    @property
    def _is_waiting(self) -> bool:
        return self._response is not None and not self._response.done()

    async def get(
        self, target: str, *, host: str, on_data: Callable[[], None]
    ) -> tuple[int, bytes, StatedEra]:
        """Sends a request; ``on_data`` is called while its response arrives."""
        self._response = asyncio.get_running_loop().create_future()
        self._on_data = on_data
        self._body.clear()
        self._eras.clear()
        self._received_bytes = 0
        head = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        self._transport.write(head.encode())
        return await self._response

    def abort(self) -> None:
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True
        if self._is_waiting:
            cause = error or ConnectionResetError("the store closed the connection")
            self._response.set_exception(cause)

    def data_received(self, data: bytes) -> None:
        if not self._is_waiting:
            self.abort()
            return
        self._received_bytes += len(data)
        self._on_data()
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self._fail(
                ResponseTooLargeError(
                    f"response of more than {MAX_RESPONSE_BYTES} bytes"
                )
            )
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ConnectionError(f"malformed HTTP response: {error}"))

    def _fail(self, error: Exception) -> None:
        self.abort()
        self.connection_lost(error)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == ERA:
            self._eras.append(value)

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_begin(self) -> None:
        # Bytes that belong to no request must not answer the next one.
        if not self._is_waiting:
            self.abort()
        # Those of an informational response are not the answer's.
        self._eras.clear()

    def on_message_complete(self) -> None:
        if not self._is_waiting:
            return
        status = self._parser.get_status_code()
        if is_interim(status):
            return
        if not is_final(status):
            self._fail(ConnectionError(f"status {status} is no HTTP status"))
            return
        if not self._parser.should_keep_alive():
            self.is_closed = True
            self._transport.close()
        self._response.set_result((status, bytes(self._body), decode_era(self._eras)))


def _convert_item(item: _Item) -> StoredItem:
    value = None
    if not item.tombstone and item.value is not None:
        try:
            value = base64.b64decode(item.value, validate=True)
        except (binascii.Error, ValueError):
            # A value that isn't base64 is passed on unchanged, so that it is decoded or
            # reported as malformed like any other document.
            value = item.value.encode()
    return StoredItem(key=item.key, revision=item.revision, value=value)
