"""A loopback proxy that injects faults into connections."""

from __future__ import annotations

import asyncio
import enum

CHUNK_BYTES = 65_536


class Fault(enum.Enum):
    """What the proxy does to connections.

    ``SILENCE`` stops the traffic in both directions, ``CUT_REQUESTS`` only towards the
    target and ``CUT_ANSWERS`` only towards the client. The connections stay open.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"


class Proxy:
    """Forwards connections to a port of the same host, with an optional fault."""

    def __init__(self, *, host: str, target_port: int) -> None:
        self._host = host
        self._target_port = target_port
        self._server: asyncio.AbstractServer | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Resets all connections and waits until they are closed."""
        self._server.close()
        self.fault = Fault.NONE
        self.reset()
        while self._tasks:
            await asyncio.sleep(0.01)

    def set_fault(self, fault: Fault, *, delay_s: float = 0.0) -> None:
        """Applies a fault to existing and new connections."""
        self.fault = fault
        self.delay_s = delay_s
        if fault is Fault.RESET:
            self.reset()

    def reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self.fault is Fault.RESET:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
            self._writers.add(target_writer)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._forward(reader, target_writer, Fault.CUT_REQUESTS)
                    )
                    group.create_task(
                        self._forward(target_reader, writer, Fault.CUT_ANSWERS)
                    )
            finally:
                self._writers.discard(target_writer)
                target_writer.transport.abort()
        except* OSError:
            # Either side may close the connection at any time; the other side is reset.
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_fault: Fault,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.fault in (Fault.SILENCE, cut_fault):
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("one side closed the connection")
