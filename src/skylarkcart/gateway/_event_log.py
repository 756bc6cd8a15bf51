"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import asyncio
import collections
import enum
import os
import select

import msgspec

from skylarkcart.clock import Clock, Millis

FLUSH_INTERVAL_S = 0.1
STANDARD_OUTPUT = 1

# A pipe that is ready for writing takes so many bytes without blocking (POSIX).
PIPE_ATOMIC_BYTES = 4_096

# Lines that wait for a slow reader of standard output; more are counted and left out.
MAX_BUFFERED_LINES = 2_000

# Lines of one event in a second. Failures have their own events, so that successes
# can't crowd them out.
MAX_LINES_PER_SECOND = 100
MAX_DETAIL_LINES_PER_SECOND = 20


class Level(enum.Enum):
    """How much an event matters."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventLog:
    """Writes one JSON object a line.

    >>> log.write("request_refused", request="9c41", reason="rate_exceeded")
    """

    def __init__(self, *, clock: Clock, instance: str, output: int = STANDARD_OUTPUT):
        self._clock = clock
        self._instance = instance
        self._output = output
        self._lines: collections.deque[bytes] = collections.deque()
        self._pending = b""
        self._counts: dict[str, int] = {}
        self._omitted: dict[str, int] = {}
        self._second = -1
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._timer: asyncio.TimerHandle | None = None

    def write(
        self,
        event: str,
        *,
        level: Level = Level.INFO,
        limit: int = MAX_LINES_PER_SECOND,
        **fields: object,
    ) -> None:
        now = self._clock.now()
        self._start_second(now)
        count = self._counts.get(event, 0)
        if count >= limit or len(self._lines) >= MAX_BUFFERED_LINES:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._counts[event] = count + 1
        self._append(event, level, now, fields)

    def flush(self) -> None:
        """Writes what standard output takes now."""
        while self._lines or self._pending:
            if not self._pending:
                self._pending = self._take_block()
            if not select.select((), (self._output,), (), 0)[1]:
                return
            try:
                written = os.write(self._output, self._pending[:PIPE_ATOMIC_BYTES])
            except OSError:
                # Nobody reads the log any more; there is nowhere to report it.
                self._lines.clear()
                self._pending = b""
                return
            self._pending = self._pending[written:]

    def start(self) -> None:
        """Flushes regularly from now on."""
        self.flush()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Ends regular flushing."""
        if self._timer is not None:
            self._timer.cancel()

    def _append(
        self, event: str, level: Level, now: Millis, fields: dict[str, object]
    ) -> None:
        line = {
            "at_ms": round(now, 1),
            "event": event,
            "level": level.value,
            "instance": self._instance,
            **fields,
        }
        self._lines.append(self._encoder.encode(line) + b"\n")

    def _start_second(self, now: Millis) -> None:
        second = int(now // 1000)
        if second == self._second:
            return
        self._second = second
        self._counts.clear()
        if self._omitted:
            omitted, self._omitted = self._omitted, {}
            self._append("lines_omitted", Level.WARNING, now, {"counts": omitted})

    def _take_block(self) -> bytes:
        block = [self._lines.popleft()]
        size = len(block[0])
        while self._lines and size + len(self._lines[0]) <= PIPE_ATOMIC_BYTES:
            block.append(self._lines.popleft())
            size += len(block[-1])
        return b"".join(block)
