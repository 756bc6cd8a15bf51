"""Structured, rate-limited, non-blocking logging to standard output."""

from __future__ import annotations

import asyncio
import collections
import enum
import os
import select

import msgspec

from skylarkcart.clock import Clock, Millis

FLUSH_INTERVAL_S = 0.1
STDOUT_FD = 1

# PIPE_BUF: a pipe that is ready for writing accepts this many bytes without blocking
# (POSIX).
PIPE_WRITE_BYTES = 4_096

# Lines buffered while standard output is read slowly; further lines are counted and
# dropped.
MAX_BUFFERED_LINES = 2_000

# Lines per event name and second. Failures have their own event names, so that frequent
# successes can't exhaust their limit.
MAX_LINES_PER_SECOND = 100
MAX_DETAIL_LINES_PER_SECOND = 20


class Level(enum.Enum):
    """Severity of a log event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventLog:
    """Writes one JSON object per line.

    >>> log.write("request_refused", request="9c41", reason="rate_exceeded")
    """

    def __init__(self, *, clock: Clock, instance: str, output: int = STDOUT_FD):
        self._clock = clock
        self._instance = instance
        self._output = output
        self._lines: collections.deque[bytes] = collections.deque()
        self._pending = b""
        self._counts: dict[str, int] = {}
        self._omitted_counts: dict[str, int] = {}
        self._window_second = -1
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
        self._start_window(now)
        count = self._counts.get(event, 0)
        if count >= limit or len(self._lines) >= MAX_BUFFERED_LINES:
            self._omitted_counts[event] = self._omitted_counts.get(event, 0) + 1
            return
        self._counts[event] = count + 1
        self._append(event, level, now, fields)

    def flush(self) -> None:
        """Writes as much as standard output accepts without blocking."""
        while self._lines or self._pending:
            if not self._pending:
                self._pending = self._take_chunk()
            try:
                if not select.select((), (self._output,), (), 0)[1]:
                    return
                written = os.write(self._output, self._pending[:PIPE_WRITE_BYTES])
            except OSError:
                # The pipe is closed, and there is nowhere else to report it.
                self._lines.clear()
                self._pending = b""
                return
            self._pending = self._pending[written:]

    def start(self) -> None:
        """Starts periodic flushing."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self.start)
        self.flush()

    def stop(self) -> None:
        """Stops periodic flushing."""
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

    def _start_window(self, now: Millis) -> None:
        second = int(now // 1000)
        if second == self._window_second:
            return
        self._window_second = second
        self._counts.clear()
        if self._omitted_counts and len(self._lines) < MAX_BUFFERED_LINES:
            omitted_counts, self._omitted_counts = self._omitted_counts, {}
            self._append(
                "lines_omitted", Level.WARNING, now, {"counts": omitted_counts}
            )

    def _take_chunk(self) -> bytes:
        chunk = [self._lines.popleft()]
        size = len(chunk[0])
        while self._lines and size + len(self._lines[0]) <= PIPE_WRITE_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        return b"".join(chunk)
