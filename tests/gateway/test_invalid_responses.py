"""Guards against responses that are no answer.

An upstream in trouble sent a response with status 000, which a caller got as an answer;
here, such a call waited until its time was over, and a status of 600 was passed on.
"""

from __future__ import annotations

import pytest

from skylarkcart.gateway._receive_limits import MAX_INTERIM_RESPONSES
from skylarkcart.platform._messages import decode_response, encode_relayed_response
from tests.gateway.test_upstream_connection import Receiver

SIGNED = b"Request-Id: r1\r\nServer-Stamp: s\r\n"
BODY = b"Content-Length: 2\r\n\r\nok"
ANSWER = b"HTTP/1.1 200 OK\r\n" + SIGNED + BODY


def build_status(status: bytes, request: bytes = b"r1") -> bytes:
    signed = SIGNED.replace(b"r1", request)
    return b"HTTP/1.1 " + status + b" Odd\r\n" + signed + BODY


def build_head(status: bytes, fields: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b" Odd\r\n" + SIGNED + fields + b"\r\n"


def receive(data: bytes, *, piece: int) -> Receiver:
    """Returns a receiver whose call got the data in pieces of a size."""
    receiver = Receiver()
    receiver.send(b"r1")
    for start in range(0, len(data), piece):
        receiver.receive(data[start : start + piece])
    return receiver


def check_rejected(data: bytes, reason: str) -> None:
    """Checks that a response fails its call at once, however it is split."""
    for piece in (len(data), 1):
        receiver = receive(data, piece=piece)
        assert receiver.responses == []
        assert receiver.rejections == [reason]
        assert receiver.transport.is_aborted
        receiver.end()
        assert receiver.responses == [] and receiver.is_lost
        assert receiver.memory.held == 0


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"700", b"999"])
def test_status_that_is_none_is_no_answer(status):
    check_rejected(build_status(status), "invalid_status")
    # The call ends with the head; the rest of such a response may never arrive.
    check_rejected(build_status(status).removesuffix(b"ok"), "invalid_status")


@pytest.mark.parametrize("status", [b"200", b"299", b"304", b"404", b"500", b"599"])
def test_status_of_an_answer_is_passed_on(status):
    receiver = receive(build_status(status), piece=1)
    assert len(receiver.responses) == 1 and receiver.rejections == []


CHUNKED = b"Transfer-Encoding: chunked\r\n"
MALFORMED = {
    "bytes that are no response": b"garbage" * 9,
    "status with two digits": build_status(b"20"),
    "status with four digits": build_status(b"2000"),
    "status that is no number": build_status(b"2x0"),
    "unknown minor version": ANSWER.replace(b"HTTP/1.1", b"HTTP/1.9"),
    "status line that ends with a line feed": ANSWER.replace(b"OK\r\n", b"OK\n"),
    "two lengths": ANSWER.replace(BODY, b"Content-Length: 3\r\n" + BODY),
    "list of lengths": ANSWER.replace(b"Length: 2", b"Length: 2, 2"),
    "negative length": ANSWER.replace(b"Length: 2", b"Length: -2"),
    "chunks beside a length": ANSWER.replace(BODY, CHUNKED + BODY),
    "folded line": ANSWER.replace(SIGNED, SIGNED + b"X-Note: a\r\n b\r\n"),
    "folded first line": ANSWER.replace(SIGNED, b" X-Note: a\r\n" + SIGNED),
    "header without a colon": ANSWER.replace(SIGNED, SIGNED + b"X-Note\r\n"),
    "body of an interim response": b"HTTP/1.1 100 Odd\r\n" + BODY + ANSWER,
    "invalid length of a chunk": ANSWER.replace(BODY, CHUNKED + b"\r\n-2\r\nok\r\n"),
}


@pytest.mark.parametrize("kind", MALFORMED)
def test_malformed_response_is_counted(kind):
    """An operator sees why an upstream gets no more calls."""
    check_rejected(MALFORMED[kind], "malformed")


@pytest.mark.parametrize(
    "fields", [b"", b"Upgrade: x\r\n", b"Connection: upgrade\r\nUpgrade: x\r\n"]
)
def test_upgrade_that_was_not_requested_is_no_answer(fields):
    upgrade = b"HTTP/1.1 101 Switching Protocols\r\n" + fields + b"\r\n"
    check_rejected(upgrade, "unrequested_upgrade")
    check_rejected(upgrade + ANSWER, "unrequested_upgrade")


def test_interim_responses_are_bounded_however_they_are_split():
    """In one piece with the answer, any number of them was accepted."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    for piece in (1, 10_000):
        receiver = receive(interim * MAX_INTERIM_RESPONSES + ANSWER, piece=piece)
        assert receiver.responses == [(b"r1", b"ok")]
    too_many = interim * (MAX_INTERIM_RESPONSES + 1) + ANSWER
    check_rejected(too_many, "too_many_interim_responses")


@pytest.mark.parametrize("fields", [b"Content-Length: 2\r\n", CHUNKED])
def test_body_where_none_is_allowed_is_no_answer(fields):
    """Its bytes would be taken for the response to the next call."""
    check_rejected(build_head(b"204", fields), "unexpected_body")


def test_empty_response_is_an_answer():
    for fields in (b"", b"Content-Length: 0\r\n"):
        receiver = receive(build_head(b"204", fields), piece=1)
        assert receiver.responses == [(b"r1", b"")] and not receiver.rejections


def test_connection_is_not_used_again_after_304_with_a_length():
    """The length describes another response, but an upstream may send that body."""
    body = b"Content-Length: 2\r\n"
    receiver = receive(build_head(b"304", body), piece=1)
    assert receiver.responses == [(b"r1", b"")]
    assert not receiver.connection.is_reusable and receiver.transport.is_aborted


@pytest.mark.parametrize(
    "coding", [b"gzip, chunked", b"chunked, gzip", b"gzip", b"identity", b"xchunked"]
)
def test_unknown_transfer_coding_is_no_answer(coding):
    """The body was passed on encoded, or its end was waited for."""
    head = build_head(b"200", b"Transfer-Encoding: " + coding + b"\r\n")
    check_rejected(head, "unknown_transfer_coding")
    check_rejected(head + b"2\r\nok\r\n0\r\n\r\n", "unknown_transfer_coding")


def test_chunked_response_is_an_answer():
    for coding in (b"chunked", b"Chunked"):
        head = build_head(b"200", b"Transfer-Encoding: " + coding + b"\r\n")
        receiver = receive(head + b"2\r\nok\r\n0\r\n\r\n", piece=1)
        assert receiver.responses == [(b"r1", b"ok")]


@pytest.mark.parametrize(
    "protocol", [b"RTSP/1.0", b"RTSP/1.1", b"ICE/1.0", b"HTTP/0.9", b"HTTP/2.0"]
)
def test_response_of_another_protocol_is_no_answer(protocol):
    """The parser accepts these protocols, too."""
    check_rejected(ANSWER.replace(b"HTTP/1.1", protocol), "unsupported_protocol")


@pytest.mark.parametrize("start", [b"HTTP/1.0", b"HTTP/1.1", b"\r\n\r\nHTTP/1.1"])
def test_response_of_http_1_is_an_answer(start):
    for piece in (1, 200):
        receiver = receive(ANSWER.replace(b"HTTP/1.1", start), piece=piece)
        assert receiver.responses == [(b"r1", b"ok")]
        assert receiver.rejections == []


def test_bytes_behind_an_answer_leave_it_valid():
    """Such bytes belong to no request; the answer is not made worse by them."""
    receiver = receive(ANSWER + b"garbage", piece=200)
    assert receiver.responses == [(b"r1", b"ok")]
    assert receiver.rejections == [] and receiver.transport.is_aborted


def test_relayed_204_states_no_length():
    """The gateway's own responses keep to the same rules."""
    answer = decode_response(204, [(b"Server-Stamp", b"s")], b"")
    relayed = encode_relayed_response(answer, close_connection=False)
    assert relayed.startswith(b"HTTP/1.1 204 ")
    assert b"content-length" not in relayed.lower()


class InvalidResponses:
    """Makes upstreams run the first requests and respond with an odd status."""

    def __init__(self, deployment, *upstreams: str, status: bytes, limit: int) -> None:
        self.requests: list[str] = []
        self._status = status
        self._limit = limit
        self._counter = deployment.instance._core.metrics.rejected_responses
        for name in upstreams:
            deployment.upstreams[name].handler = self._handle

    async def _handle(self, method, target, headers, body) -> bytes | None:
        if len(self.requests) == self._limit:
            return None
        self.requests.append(headers["request-id"])
        return build_status(self._status, headers["request-id"].encode())

    @property
    def rejected(self) -> int:
        return int(self._counter.labels("invalid_status")._value.get())


@pytest.mark.parametrize("status", [b"000", b"600"])
async def test_call_without_an_answer_moves_or_fails(deployment, status):
    """An idempotent request moves to another upstream; others end with 502."""
    invalid = InvalidResponses(deployment, "d1", "d2", status=status, limit=1)
    async with deployment.open_caller() as caller:
        answer_status, _, _ = await caller.send("/read/x", "q1")
    assert answer_status == 200
    assert len(deployment.list_runs("q1")) == 1 and invalid.rejected == 1
    invalid = InvalidResponses(deployment, "d1", "d2", status=status, limit=2)
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "q2", method="POST")
        answer_status, _, _ = await caller.read()
    assert answer_status == 502
    assert invalid.requests == ["q2"] and invalid.rejected == 2
    assert deployment.list_runs("q2") == []


@pytest.mark.parametrize("status", [b"000", b"600"])
async def test_part_without_an_answer_is_left_out(deployment, status):
    invalid = InvalidResponses(deployment, "b1", "b2", status=status, limit=9)
    async with deployment.open_caller() as caller:
        answer_status, headers, body = await caller.send("/search/x", "q1")
    assert answer_status == 200 and headers["missing-parts"] == "1"
    assert b"ok" not in body
    assert invalid.rejected == len(invalid.requests) > 0
