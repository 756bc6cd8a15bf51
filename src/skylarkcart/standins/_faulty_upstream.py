"""A stand-in upstream whose exchanges fail at a chosen point."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket

import h11
import msgspec

from skylarkcart.declarations import ListedProcess
from skylarkcart.entry import http_server
from skylarkcart.standins._fault_points import FaultPoint
from skylarkcart.types import ListState, Role, ServiceId, UpstreamId, ZoneId

READ_BYTES = 65_536
LATE_ANSWER_DELAY_S = 0.6  # Exceeds the filing bench's deadline.
BACKLOG_CONNECTIONS = 4
OTHER_REQUEST_ID = "other-request"


class FaultyUpstream:
    """Serves filings over real sockets and fails each exchange at the point ``fault``.

    ``runs`` counts the runs of each document by its number, ``requests`` the requests
    whose headers arrived by their ID, and ``connections`` the accepted connections.
    """

    def __init__(
        self, *, upstream: UpstreamId, service: ServiceId, zone: ZoneId
    ) -> None:
        self.upstream = upstream
        self.fault = FaultPoint.NONE
        self.runs: collections.Counter[int] = collections.Counter()
        self.requests: collections.Counter[str] = collections.Counter()
        self.connections = 0
        self._service = service
        self._zone = zone
        self._listener = http_server.bind_address("127.0.0.1:0")
        self.address = http_server.format_address(self._listener)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._backlog_connections: list[socket.socket] = []

    async def start(self) -> None:
        """Accepts connections, unless the fault is that connecting fails."""
        if self.fault is FaultPoint.CONNECT_REFUSED:
            return
        if self.fault is FaultPoint.CONNECT_TIMEOUT:
            await self._fill_backlog()
            return
        self._server = await asyncio.start_server(self._serve, sock=self._listener)

    async def stop(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for connection in self._backlog_connections:
            connection.close()
        self._listener.close()

    def build_list_entry(self) -> ListedProcess:
        """Returns the upstream's entry in the instance list."""
        return ListedProcess(
            id=self.upstream,
            role=Role.UPSTREAM,
            zone=self._zone,
            address=self.address,
            state=ListState.LIVE,
            incarnation="1",
            service=self._service,
        )

    async def _fill_backlog(self) -> None:
        # No connection is accepted, so once the backlog is full, further attempts to
        # connect time out.
        self._listener.listen(0)
        loop = asyncio.get_running_loop()
        for _ in range(BACKLOG_CONNECTIONS):
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.setblocking(False)
            self._backlog_connections.append(connection)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await loop.sock_connect(connection, self._listener.getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        handler = _ConnectionHandler(upstream=self, reader=reader, writer=writer)
        try:
            while await handler.handle_request():
                pass
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class _FilingBody(msgspec.Struct, kw_only=True):
    request_id: str
    document: dict[str, msgspec.Raw]

    @property
    def number(self) -> int:
        return msgspec.json.decode(self.document["number"], type=int)


class _ConnectionHandler:
    """Handles the requests of one connection, one after another."""

    def __init__(
        self,
        *,
        upstream: FaultyUpstream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._upstream = upstream
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.SERVER)

    async def handle_request(self) -> bool:
        """Handles one request and returns whether the connection stays open."""
        data = await self._reader.read(READ_BYTES)
        fault = self._upstream.fault
        if not data or fault is FaultPoint.BEFORE_HEADERS:
            return self._abort()
        self._http.receive_data(data)
        body = await self._read_body(fault)
        if body is None:
            return self._abort()
        filing = msgspec.json.decode(body, type=_FilingBody)
        if fault is not FaultPoint.REFUSED_BEFORE_RUNNING:
            self._upstream.runs[filing.number] += 1
        return await self._respond(fault, filing)

    async def _read_body(self, fault: FaultPoint) -> bytes | None:
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                headers = dict(event.headers)
                self._upstream.requests[headers[b"x-request-id"].decode()] += 1
            elif isinstance(event, h11.Data):
                body += event.data
                if fault is FaultPoint.IN_BODY:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                return None

    async def _respond(self, fault: FaultPoint, filing: _FilingBody) -> bool:
        match fault:
            case FaultPoint.AFTER_BODY:
                return self._abort()
            case FaultPoint.IN_ANSWER_HEADERS:
                return await self._send_partial_response(
                    b"HTTP/1.1 200 OK\r\nContent-Ty"
                )
            case FaultPoint.IN_ANSWER_BODY:
                head = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
                return await self._send_partial_response(head + b'{"request_id":')
            case FaultPoint.REFUSED_BEFORE_RUNNING:
                return await self._send_refusal(filing.request_id)
            case FaultPoint.REFUSAL_FOR_OTHER_REQUEST:
                return await self._send_refusal(OTHER_REQUEST_ID)
            case FaultPoint.REFUSED_AFTER_RUNNING:
                return await self._send_response(500, {"reason": "failed"})
            case FaultPoint.LATE_ANSWER:
                await asyncio.sleep(LATE_ANSWER_DELAY_S)
        names_other_request = fault is FaultPoint.ANSWER_FOR_OTHER_REQUEST
        answered_id = OTHER_REQUEST_ID if names_other_request else filing.request_id
        is_open = await self._send_response(
            200, {"request_id": answered_id, "receipt": f"receipt of {answered_id}"}
        )
        return is_open and fault is not FaultPoint.AFTER_ANSWER

    async def _send_refusal(self, request_id: str) -> bool:
        body = {"reason": "shedding", "request_id": request_id}
        return await self._send_response(503, body, [("X-Not-Run", "true")])

    async def _send_response(
        self, status: int, body: dict[str, str], headers: list[tuple[str, str]] = []
    ) -> bool:
        data = msgspec.json.encode(body)
        length = ("Content-Length", str(len(data)))
        response = h11.Response(status_code=status, headers=[length, *headers])
        for event in (response, h11.Data(data=data), h11.EndOfMessage()):
            self._writer.write(self._http.send(event) or b"")
        await self._writer.drain()
        self._http.start_next_cycle()
        return True

    async def _send_partial_response(self, data: bytes) -> bool:
        self._writer.write(data)
        await self._writer.drain()
        return False

    def _abort(self) -> bool:
        self._writer.transport.abort()
        return False
