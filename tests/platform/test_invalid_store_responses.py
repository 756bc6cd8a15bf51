"""Guards against responses of the store that are no answer.

An informational response was taken for the answer, so that the read failed, and a copy
of a response for the answer to the next read.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from skylarkcart.platform._store import StoreClient, StoreError
from skylarkcart.published import Address
from tests.gateway.standins import HOST, HttpStandin, read_message

TIMEOUT_MS = 5_000.0


def build_response(revision: int, status: str = "200 OK") -> bytes:
    body = json.dumps({"items": [], "asOf": revision}).encode()
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class ScriptedStore(HttpStandin):
    """Answers each request on a connection with the next response of its script."""

    def __init__(self) -> None:
        super().__init__()
        self.scripts: list[list[bytes]] = []

    async def read(self, client: StoreClient) -> int:
        """Returns the revision of the first page."""
        async with contextlib.aclosing(
            client.read_pages("", timeout_ms=TIMEOUT_MS)
        ) as pages:
            return (await anext(pages)).revision

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            for response in self.scripts.pop(0):
                await read_message(reader)
                writer.write(response)
            await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            # The client closed its connection.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


@pytest_asyncio.fixture
async def store() -> AsyncIterator[ScriptedStore]:
    store = ScriptedStore()
    await store.start()
    yield store
    store.stop()


@pytest_asyncio.fixture
async def client(store) -> AsyncIterator[StoreClient]:
    client = StoreClient(address=Address(host=HOST, port=store.port))
    yield client
    client.close()


@pytest.mark.parametrize("status", ["000 Odd", "099 Odd", "600 Odd", "999 Odd"])
async def test_status_that_is_none_closes_the_connection(store, client, status):
    store.scripts = [[build_response(1, status)], [build_response(2)]]
    with pytest.raises(StoreError, match="no HTTP status"):
        await store.read(client)
    assert await store.read(client) == 2


async def test_interim_responses_are_skipped(store, client):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    store.scripts = [[interim * 2 + build_response(7)]]
    assert await store.read(client) == 7


async def test_upgrade_fails_the_read(store, client):
    store.scripts = [[b"HTTP/1.1 101 Switching Protocols\r\n\r\n"]]
    with pytest.raises(StoreError, match="malformed"):
        await store.read(client)


@pytest.mark.parametrize("size", [1, 20, 200])
async def test_copy_of_a_response_answers_no_later_read(store, client, size):
    """Part of the copy or all of it arrives with the response."""
    copy = build_response(1)
    first = [copy + copy[:size], copy[size:] + build_response(2)]
    store.scripts = [first, [build_response(2)]]
    assert await store.read(client) == 1
    assert await store.read(client) == 2
