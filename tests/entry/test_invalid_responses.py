"""Guards against responses of upstreams whose status is none.

Such a response was no answer here, but its connection was used for the next call.
"""

from __future__ import annotations

import asyncio

import pytest

from skylarkcart.entry._client import UpstreamClient, UpstreamReply
from skylarkcart.types import AccountId, RequestId
from skylarkcart.verdict import RunVerdict
from tests.gateway.standins import HOST, HttpStandin, encode, read_message


class OddUpstream(HttpStandin):
    """Responds with a status, and keeps its connections open."""

    def __init__(self, status: str) -> None:
        super().__init__()
        self.connections = 0
        self._status = status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                await read_message(reader)
                writer.write(encode(f"HTTP/1.1 {self._status} x", {}, b"{}"))
        except (asyncio.IncompleteReadError, OSError):
            # The client closed its connection.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call_twice(status: str) -> tuple[list[UpstreamReply], int]:
    """Returns two replies of an upstream and the connections that they took."""
    upstream = OddUpstream(status)
    await upstream.start()
    client = UpstreamClient(
        on_opened=lambda address: None, on_closed=lambda address, by_peer: None
    )
    replies = [
        await client.post(
            address=f"{HOST}:{upstream.port}",
            path="/search",
            body=b"{}",
            request_id=RequestId("r1"),
            account=AccountId("museum"),
            timeout_ms=5_000,
            headers={},
            max_connections=4,
        )
        for _ in range(2)
    ]
    await client.close()
    upstream.stop()
    return replies, upstream.connections


@pytest.mark.parametrize("status", ["000", "099", "101", "600", "999"])
async def test_status_that_is_none_closes_the_connection(status):
    replies, connections = await call_twice(status)
    for reply in replies:
        assert reply.body is None and reply.reason == "invalid_status"
        assert reply.verdict is RunVerdict.MAY_HAVE_RUN
    assert connections == 2


@pytest.mark.parametrize("status", ["200", "404", "599"])
async def test_status_of_an_answer_keeps_the_connection(status):
    replies, connections = await call_twice(status)
    assert [reply.reason for reply in replies] == (
        ["", ""] if status == "200" else [f"status_{status}"] * 2
    )
    assert connections == 1
