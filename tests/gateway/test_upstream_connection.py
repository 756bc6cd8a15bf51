"""Responses of faulty upstreams: copies, truncated ones and bytes without end."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, strategies

from skylarkcart.exchange import UpstreamResponse
from skylarkcart.gateway._receive_limits import (
    MAX_HEAD_BYTES,
    UNSHARED_BODY_BYTES,
    ReceiveMemory,
)
from skylarkcart.gateway._upstream_connection import UpstreamConnection

CHUNK_BYTES = 65_536
MEMORY_MB = 200.0


class FakeTransport:
    """Records whether the connection was aborted."""

    def __init__(self) -> None:
        self.is_aborted = False

    def write(self, data: bytes) -> None:
        """Drops the request."""

    def abort(self) -> None:
        self.is_aborted = True


class Receiver:
    """A connection with the responses and rejections that it passed on.

    Like the pool, it sends the next waiting call as soon as a response is passed on.
    """

    def __init__(self, memory: ReceiveMemory | None = None) -> None:
        self.memory = memory or ReceiveMemory(memory_mb=MEMORY_MB)
        self.responses: list[tuple[bytes, bytes]] = []
        self.rejections: list[str] = []
        self.notices: list[UpstreamResponse] = []
        self.waiting: list[bytes] = []
        self.is_lost = False
        self.transport = FakeTransport()
        self._current = b""
        self.connection = UpstreamConnection(
            memory=self.memory,
            on_response=self._handle_response,
            on_connection_lost=self._handle_loss,
            on_rejected=lambda connection, reason: self.rejections.append(reason),
            on_notice=self.notices.append,
        )
        self.connection.connection_made(self.transport)

    def send(self, request: bytes) -> None:
        self._current = request
        self.connection.send(b"", request_id=request)

    def receive(self, data: bytes) -> None:
        if not self.transport.is_aborted:
            self.connection.data_received(data)

    def end(self, error: Exception | None = None) -> None:
        self.connection.connection_lost(error)

    def _handle_response(self, connection: UpstreamConnection, response) -> None:
        self.responses.append((self._current, response.body))
        if connection.is_reusable and self.waiting:
            self.send(self.waiting.pop(0))

    def _handle_loss(self, connection: UpstreamConnection) -> None:
        self.is_lost = True


def build_response(request: bytes | None, body: bytes, *, chunked: bool = False):
    lines = [b"HTTP/1.1 200 OK", b"Server-Stamp: s"]
    if request is not None:
        lines.append(b"Request-Id: " + request)
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@pytest.mark.parametrize("copy_id", [b"r1", None])
def test_late_copy_is_not_taken_for_the_next_response(copy_id):
    """An upstream sends a second copy once the next request is on its way."""
    receiver = Receiver()
    receiver.send(b"r1")
    receiver.receive(build_response(b"r1", b"first"))
    receiver.send(b"r2")
    receiver.receive(build_response(copy_id, b"first"))
    receiver.receive(build_response(b"r2", b"second"))
    assert (b"r2", b"first") not in receiver.responses
    if copy_id is None:
        assert receiver.transport.is_aborted
    else:
        assert receiver.responses[-1] == (b"r2", b"second")


@pytest.mark.parametrize("copy_id", [b"r1", b"r2", None])
def test_two_copies_in_one_piece_with_a_call_waiting(copy_id):
    """The copy must not reach the call that gets the connection next."""
    receiver = Receiver()
    receiver.waiting = [b"r2"]
    receiver.send(b"r1")
    receiver.receive(build_response(b"r1", b"first") + build_response(copy_id, b"copy"))
    assert receiver.responses == [(b"r1", b"first")]
    assert receiver.transport.is_aborted


@pytest.mark.parametrize("copy_id", [b"r1", b"r2", None])
def test_copy_in_two_halves_around_the_next_request(copy_id):
    receiver = Receiver()
    copy = build_response(copy_id, b"copy of the first")
    receiver.send(b"r1")
    receiver.receive(build_response(b"r1", b"first"))
    receiver.receive(copy[:30])
    assert receiver.transport.is_aborted and not receiver.connection.is_open
    assert receiver.responses == [(b"r1", b"first")]


def test_copy_that_begins_behind_the_response_closes_the_connection():
    receiver = Receiver()
    receiver.waiting = [b"r2"]
    receiver.send(b"r1")
    receiver.receive(build_response(b"r1", b"first") + b"HT")
    assert receiver.responses == [(b"r1", b"first")]
    assert receiver.transport.is_aborted


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("error", [None, ConnectionResetError()])
def test_response_cut_at_any_byte_is_never_complete(chunked, error):
    whole = build_response(b"r1", b"0123456789abcdef" * 4, chunked=chunked)
    for length in range(len(whole)):
        receiver = Receiver()
        receiver.send(b"r1")
        if length:
            receiver.receive(whole[:length])
        receiver.end(error)
        assert receiver.responses == [], length
        assert receiver.is_lost


def test_response_without_length_is_complete_only_if_the_connection_is_closed():
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\n"
    for error, expected in ((None, [(b"r1", b"body")]), (ConnectionResetError(), [])):
        receiver = Receiver()
        receiver.send(b"r1")
        receiver.receive(head + b"body")
        receiver.end(error)
        assert receiver.responses == expected


HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
ENDLESS = {
    "body without length": (HEAD + b"\r\n", b"x" * CHUNK_BYTES),
    "chunked body": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES),
    ),
    "body of another request": (
        HEAD.replace(b"r1", b"r0") + b"Content-Length: 99999999999\r\n\r\n",
        b"x" * CHUNK_BYTES,
    ),
    "headers": (HEAD, b"X-Filler: 0123456789\r\n" * 3_000),
    "header line": (HEAD + b"X-Filler: ", b"x" * CHUNK_BYTES),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Filler: 0123456789\r\n" * 3_000,
    ),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 2_000),
    "responses to others": (b"", build_response(b"r0", b"x" * 1_000) * 50),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_close_the_connection(kind):
    """A response that never ends would use up the memory of the process."""
    start, chunk = ENDLESS[kind]
    receiver = Receiver()
    receiver.send(b"r1")
    if start:
        receiver.receive(start)
    received = 0
    for _ in range(1_000):
        receiver.receive(chunk)
        received += len(chunk)
        if receiver.transport.is_aborted:
            break
    assert receiver.transport.is_aborted
    assert len(receiver.rejections) == 1
    assert receiver.responses == []
    limits = receiver.memory.limits
    assert received <= limits.max_call_bytes + len(chunk)
    receiver.end()
    assert receiver.memory.held == 0


def test_many_upstreams_without_end_share_a_bounded_memory():
    """40 upstreams send without end; small responses still pass."""
    memory = ReceiveMemory(memory_mb=MEMORY_MB)
    receivers = [Receiver(memory) for _ in range(40)]
    start, chunk = ENDLESS["body without length"]
    for receiver in receivers:
        receiver.send(b"r1")
        receiver.receive(start)
    for _, receiver in itertools.product(range(200), receivers):
        receiver.receive(chunk)
        assert memory.held <= MEMORY_MB * 1_000_000 / 8
    assert all(receiver.transport.is_aborted for receiver in receivers)
    healthy = Receiver(memory)
    healthy.send(b"r1")
    healthy.receive(build_response(b"r1", b"x" * UNSHARED_BODY_BYTES))
    assert len(healthy.responses) == 1
    for receiver in receivers:
        receiver.end()
    assert memory.held == 0


def test_large_response_within_the_limits_passes():
    receiver = Receiver()
    body = b"x" * (receiver.memory.limits.max_body_bytes - 1)
    response = build_response(b"r1", body)
    receiver.send(b"r1")
    for start in range(0, len(response), CHUNK_BYTES):
        receiver.receive(response[start : start + CHUNK_BYTES])
    assert receiver.responses == [(b"r1", body)]
    assert receiver.memory.held == 0
    assert MAX_HEAD_BYTES < receiver.memory.limits.max_call_bytes


@given(strategies.lists(strategies.binary(max_size=200), max_size=8))
def test_any_bytes_raise_nothing(pieces):
    receiver = Receiver()
    receiver.send(b"r1")
    for piece in pieces:
        receiver.receive(piece)
    receiver.end()
    assert receiver.responses == []
    assert receiver.memory.held == 0


@given(
    strategies.binary(max_size=64),
    strategies.lists(strategies.integers(1, 40), max_size=12),
)
def test_pieces_of_any_size_give_the_same_response(body, sizes):
    response = build_response(b"r1", body)
    receiver = Receiver()
    receiver.send(b"r1")
    position = 0
    for size in (*sizes, len(response)):
        if piece := response[position : position + size]:
            receiver.receive(piece)
        position += size
    assert receiver.responses == [(b"r1", body)]
