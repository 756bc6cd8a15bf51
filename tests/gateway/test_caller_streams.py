"""Guards against byte streams of callers that raise errors or outlive their connection.

Each seed plays several connections with valid, cut, repeated and altered messages, in
pieces of any size, beside slow responses and callers that don't read.
``CALLER_STREAMS`` sets the number of seeds, ``CALLER_SEED`` the first one; a failed
seed is in the test's message.
"""

from __future__ import annotations

import asyncio
import os
import random

import pytest

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.gateway._caller_connection import CallerConnection
from skylarkcart.gateway._caller_limits import compute_largest_share
from skylarkcart.published import CallerLimits
from skylarkcart.receive import Account

STREAMS = int(os.environ.get("CALLER_STREAMS", "60"))
FIRST_SEED = int(os.environ.get("CALLER_SEED", "1"))
STEPS = 60
CONNECTIONS = 6

LIMITS = CallerLimits(
    max_header_bytes=2_000,
    max_body_bytes=40_000,
    header_timeout_ms=3_000.0,
    idle_timeout_ms=15_000.0,
)
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class FakeTransport:
    """Records what is sent; the caller may stop reading."""

    def __init__(self, *, protocol: CallerConnection, address: str) -> None:
        self._protocol = protocol
        self._address = address
        self.sent = b""
        self.is_closed = False
        self.is_paused = False
        self.reads = True
        self.unsent = 0

    def write(self, data: bytes) -> None:
        assert not self.is_closed
        self.sent += data
        if not self.reads:
            self.unsent += len(data)
            self._protocol.pause_writing()

    def read_on(self) -> None:
        self.reads = True
        if self.unsent:
            self.unsent = 0
            self._protocol.resume_writing()

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def pause_reading(self) -> None:
        assert not self.is_paused
        self.is_paused = True

    def resume_reading(self) -> None:
        assert self.is_paused
        self.is_paused = False

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close

    def write_eof(self) -> None:
        """The caller may still send."""

    def set_write_buffer_limits(self, *, high: int) -> None:
        assert high == 0

    def get_extra_info(self, name: str) -> object:
        return (self._address, 1)


class FakeService:
    """Responds when it is told to."""

    def __init__(self, *, size: int = 1) -> None:
        self.clock = ManualClock(start=Millis(1_000))
        self.account = Account(size=size, max_connections=CONNECTIONS - 1)
        self.account.fit_largest_request(compute_largest_share(LIMITS))
        self.pending: list[CallerConnection] = []
        self.handled: list[CallerRequest] = []
        self.rejections: list[tuple[str, int]] = []

    def get_caller_limits(self) -> CallerLimits:
        return LIMITS

    def closes_connections(self) -> bool:
        return False

    def handle(
        self, connection: CallerConnection, request: CallerRequest, arrived_at: Millis
    ) -> None:
        assert connection not in self.pending
        self.pending.append(connection)
        self.handled.append(request)

    def record_rejection(self, reason: str, status: int) -> None:
        self.rejections.append((reason, status))

    def record_closing(self, reason: str) -> None:
        self.rejections.append((reason, 0))


class Stream:
    """One connection and the bytes that its caller is still to send."""

    def __init__(self, *, service: FakeService, address: str = "10.0.0.1") -> None:
        self.service = service
        self.is_lost = False
        self.connection = CallerConnection(
            service=service, on_connection_lost=lambda connection: None
        )
        self.transport = FakeTransport(protocol=self.connection, address=address)
        self.connection.connection_made(self.transport)

    def send(self, data: bytes) -> None:
        if not self.transport.is_closed and not self.transport.is_paused:
            self.connection.data_received(data)

    def lose(self) -> None:
        if not self.is_lost:
            self.is_lost = True
            self.transport.is_closed = True
            self.connection.connection_lost(None)
            if self.connection in self.service.pending:
                self.service.pending.remove(self.connection)


def build_message(rng: random.Random) -> bytes:
    """Returns a valid message, or one of a caller outside the limits."""
    body = bytes(rng.choices(b"xyz\r\n:0", k=rng.choice((0, 1, 50, 9_000, 40_000))))
    sized = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunk = rng.choice((1, 100, 8_000))
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(part), part)
        for part in (body[at : at + chunk] for at in range(0, len(body[:9_000]), chunk))
    )
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n"
    return rng.choice(
        (
            b"GET /x HTTP/1.1\r\nRequest-Id: r\r\n\r\n" * rng.randint(1, 60),
            sized,
            chunked + b"\r\n",
            chunked + b"T: x\r\n" * rng.choice((1, 2_000)) + b"\r\n",
            HEAD + b"a:b\r\n" * 3_000,
            HEAD + b"X: " + b"x" * 9_000,
            b"\r\n" * rng.choice((1, 4_000)),
            HEAD + b"Content-Length: 40001\r\n\r\n" + body,
            HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
            HEAD + b"Connection: close\r\n\r\n" + sized,
            b"CONNECT h:1 HTTP/1.1\r\nRequest-Id: r\r\n\r\n",
            HEAD + b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\nPRI",
            rng.randbytes(rng.randint(1, 300)),
        )
    )


def alter(rng: random.Random, data: bytes) -> bytes:
    """Cuts, repeats or changes a part of a message now and then."""
    at = rng.randrange(len(data) + 1)
    match rng.randrange(8):
        case 0:
            return data[:at]
        case 1:
            return data[at:] + data[:at]
        case 2:
            return data[:at] + rng.randbytes(3) + data[at:]
    return data


def play(seed: int) -> FakeService:
    rng = random.Random(seed)
    service = FakeService()
    streams: list[Stream] = []
    for _ in range(STEPS):
        if len(streams) < CONNECTIONS:
            streams.append(
                Stream(service=service, address=f"10.0.0.{rng.randint(1, 2)}")
            )
        stream = rng.choice(streams)
        action = rng.randrange(12)
        if action < 7:
            data = alter(rng, build_message(rng))
            while data:
                at = rng.choice((1, 700, 20_000, len(data)))
                stream.send(data[:at])
                data = data[at:]
                if len(data) < 300 or rng.random() < 0.02:
                    break
        elif action == 7:
            stream.transport.reads = False
        elif action == 8:
            stream.transport.read_on()
        elif action == 9:
            service.clock.advance(rng.choice((1.0, 600.0, 4_000.0, 20_000.0)))
            for other in streams:
                other.connection.check_timeouts(service.clock.now())
        elif action == 10:
            stream.lose()
        for connection in rng.sample(service.pending, len(service.pending) // 2):
            service.pending.remove(connection)
            connection.respond(RESPONSE, closes=rng.random() < 0.1)
        for other in [other for other in streams if other.transport.is_closed]:
            other.lose()
            streams.remove(other)
        assert service.account.held <= service.account.size, f"seed {seed}"
    for stream in streams:
        stream.lose()
    assert service.account.held == 0, f"seed {seed}"
    assert not service.account.shares, f"seed {seed}"
    return service


def test_streams_of_any_kind_leave_nothing_behind() -> None:
    async def run() -> int:
        handled = 0
        for seed in range(FIRST_SEED, FIRST_SEED + STREAMS):
            handled += len(play(seed).handled)
            # Lets connections go on that had their turn.
            await asyncio.sleep(0)
        return handled

    # Valid messages between the others are read.
    assert asyncio.run(run()) >= STREAMS


def read_statuses(stream: Stream) -> list[int]:
    lines = stream.transport.sent.split(b"\r\n")
    return [int(line.split()[1]) for line in lines if line.startswith(b"HTTP/1.1 ")]


LARGEST = HEAD + b"Content-Length: 40000\r\n"


def fill(service: FakeService) -> list[Stream]:
    """Opens connections until a largest body does not fit any more."""
    streams = []
    while not service.rejections:
        streams.append(Stream(service=service))
        streams[-1].send(LARGEST + b"\r\n" + b"x" * 100)
    return streams


def test_body_that_does_not_fit_is_refused_before_it_is_read() -> None:
    service = FakeService()
    *_, refused = fill(service)
    assert service.rejections == [("memory_exhausted", 503)]
    assert read_statuses(refused) == [503]
    assert b"Retry-After: 0.200" in refused.transport.sent
    # The caller can still read the response while it sends the body.
    assert not refused.transport.is_closed
    service.clock.advance(600.0)
    refused.connection.check_timeouts(service.clock.now())
    assert refused.transport.is_closed


def test_refused_body_gets_no_continue() -> None:
    service = FakeService()
    fill(service)
    stream = Stream(service=service)
    stream.send(LARGEST + b"Expect: 100-continue\r\n\r\n")
    assert read_statuses(stream) == [503]


def test_stalled_body_gives_way_with_a_response() -> None:
    service = FakeService()
    stalled, *_ = fill(service)
    service.clock.advance(600.0)
    stream = Stream(service=service)
    stream.send(LARGEST + b"\r\n" + b"x" * 40_000)
    assert len(service.handled) == 1
    assert read_statuses(stalled) == [503]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (LARGEST.replace(b"40000", b"40001") + b"\r\n", 413),
        (HEAD + b"X: " + b"x" * 20_000, 431),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"a:b\r\n" * 9_000, 431),
        (b"\r\n" * 20_000, 400),
    ],
)
def test_what_exceeds_a_limit_is_refused_without_its_rest(
    data: bytes, status: int
) -> None:
    service = FakeService()
    stream = Stream(service=service)
    stream.send(data)
    assert read_statuses(stream) == [status]
    assert service.account.held < 20_000


def test_pipelined_requests_pause_reading_until_they_are_answered() -> None:
    service = FakeService()
    stream = Stream(service=service)
    stream.send((LARGEST + b"\r\n" + b"x" * 40_000) * 3)
    assert stream.transport.is_paused
    assert len(service.handled) == 1
    for _ in range(3):
        service.pending.pop().respond(RESPONSE, closes=False)
    assert len(service.handled) == 3
    assert not stream.transport.is_paused


def test_unread_response_keeps_the_next_request_waiting() -> None:
    service = FakeService()
    stream = Stream(service=service)
    stream.transport.reads = False
    stream.send(b"GET /x HTTP/1.1\r\nRequest-Id: r\r\n\r\n" * 2)
    service.pending.pop().respond(RESPONSE, closes=False)
    assert len(service.handled) == 1
    stream.transport.read_on()
    assert len(service.handled) == 2


def test_response_that_is_never_read_closes_the_connection() -> None:
    service = FakeService()
    stream = Stream(service=service)
    stream.transport.reads = False
    stream.send(b"GET /x HTTP/1.1\r\nRequest-Id: r\r\n\r\n")
    service.pending.pop().respond(RESPONSE, closes=True)
    service.clock.advance(LIMITS.idle_timeout_ms + 1.0)
    stream.connection.check_timeouts(service.clock.now())
    assert ("response_not_read", 0) in service.rejections
