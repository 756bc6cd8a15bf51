"""Crowds of callers outside the limits, or of many callers inside them at once."""

from __future__ import annotations

import asyncio
import socket

import msgspec

from tests.gateway.standins import ROUTE_HOST

CROWD_KEY = "key-of-crowd"
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144
PIECE_BYTES = 16_384

# A crowd that the process stops reading ends its attempts after this time.
PLAY_TIMEOUT_S = 20.0
CLOSED_TIMEOUT_S = 20.0

DEFAULT_MAX_FDS = 4_100


class Crowd(msgspec.Struct, frozen=True, kw_only=True):
    """What each of ``connections`` sends: ``start``, the repeated part, and ``end``.

    ``must_be_closed`` is true where what is sent has no end: the process must then
    close every connection. A crowd that ``stays`` waits for responses before it leaves.
    """

    connections: int
    start: bytes = b""
    repeated: bytes = b""
    repeats: int = 0
    end: bytes = b""
    must_be_closed: bool = False
    stays: bool = False
    max_fds: int = DEFAULT_MAX_FDS


def build_head(method: str, *fields: str) -> bytes:
    lines = [
        f"{method} /read/x HTTP/1.1",
        f"Host: {ROUTE_HOST}",
        "Request-Id: crowd",
        f"X-Api-Key: {CROWD_KEY}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


def build_post(*fields: str) -> bytes:
    return build_head("POST", *fields) + b"\r\n"


GET = build_head("GET") + b"\r\n"
SIZED = build_post(f"Content-Length: {MAX_BODY_BYTES}")
CHUNKED = build_post("Transfer-Encoding: chunked")
BODY = b"x" * MAX_BODY_BYTES
PIECE = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n" % PIECE_BYTES + PIECE + b"\r\n"
PIECES_BEFORE_LAST = MAX_BODY_BYTES // PIECE_BYTES - 1

# Each of the callers without end sends so much, far above every limit.
ENDLESS_BYTES = 8_000_000
ENDLESS_PIECE = 65_536


def build_endless(connections: int, start: bytes, part: bytes) -> Crowd:
    repeated = part * (ENDLESS_PIECE // len(part))
    return Crowd(
        connections=connections,
        start=start,
        repeated=repeated,
        repeats=ENDLESS_BYTES // len(repeated),
        must_be_closed=True,
    )


CROWDS = {
    "head without end": build_endless(60, build_head("GET") + b"X-Pad: ", b"x"),
    "headers without end": build_endless(60, build_head("GET"), b"a:b\r\n"),
    "heads just short of their end": Crowd(
        connections=600, start=build_head("GET") + b"a:\r\n" * 4_000
    ),
    "empty lines without end": build_endless(30, b"", b"\r\n"),
    "trailers without end": build_endless(30, CHUNKED + b"0\r\n", b"a:b\r\n"),
    "trailer without end": build_endless(60, CHUNKED + b"0\r\nX-Pad: ", b"x"),
    "chunk extension without end": build_endless(30, CHUNKED + b"1;x=", b"x"),
    "bodies at once": Crowd(connections=700, start=SIZED + BODY[:-1]),
    "bodies in pieces": Crowd(
        connections=700,
        start=SIZED,
        repeated=PIECE,
        repeats=PIECES_BEFORE_LAST,
        end=PIECE[:-1],
    ),
    "chunked bodies": Crowd(
        connections=700,
        start=CHUNKED,
        repeated=CHUNK,
        repeats=PIECES_BEFORE_LAST,
        end=CHUNK[:-3],
    ),
    "complete bodies": Crowd(connections=600, start=SIZED + BODY, stays=True),
    "pipelined bodies": Crowd(
        connections=60, repeated=SIZED + BODY, repeats=14, stays=True
    ),
    "large responses unread": Crowd(
        connections=40, repeated=GET, repeats=15, stays=True
    ),
    "small responses unread": Crowd(
        connections=300, repeated=GET * 10, repeats=50, stays=True
    ),
    "idle connections": Crowd(connections=500, max_fds=500),
}


class CrowdMember:
    """One connection of a crowd; it reads nothing until the crowd is played."""

    def __init__(self, *, crowd: Crowd, host: str, port: int) -> None:
        self._crowd = crowd
        self._address = (host, port)
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._socket.setblocking(False)
        self.is_closed = False

    async def play(self) -> None:
        loop = asyncio.get_running_loop()
        crowd = self._crowd
        try:
            await loop.sock_connect(self._socket, self._address)
            await loop.sock_sendall(self._socket, crowd.start)
            for _ in range(crowd.repeats):
                await loop.sock_sendall(self._socket, crowd.repeated)
                await asyncio.sleep(0)
            await loop.sock_sendall(self._socket, crowd.end)
        except OSError:
            # The process has closed the connection.
            self.is_closed = True

    async def wait_until_closed(self) -> None:
        """Reads until the process has closed the connection."""
        loop = asyncio.get_running_loop()
        try:
            while not self.is_closed:
                self.is_closed = not await loop.sock_recv(self._socket, 65_536)
        except OSError:
            self.is_closed = True

    def leave(self) -> None:
        self._socket.close()


async def play_crowd(
    crowd: Crowd, *, host: str, port: int, timeout_s: float = PLAY_TIMEOUT_S
) -> list[CrowdMember]:
    """Opens all connections at once; they stay open until their members leave."""
    members = [
        CrowdMember(crowd=crowd, host=host, port=port) for _ in range(crowd.connections)
    ]
    await _run_all([member.play() for member in members], timeout_s)
    return members


async def count_open(members: list[CrowdMember]) -> int:
    """Returns how many connections the process leaves open."""
    await _run_all([member.wait_until_closed() for member in members], CLOSED_TIMEOUT_S)
    return sum(not member.is_closed for member in members)


async def _run_all(coroutines: list, timeout_s: float) -> None:
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    _, pending = await asyncio.wait(tasks, timeout=timeout_s)
    for task in pending:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
