"""Guards against a log that grows while nobody reads standard output."""

from __future__ import annotations

import asyncio
import os

from skylarkcart.clock import ManualClock
from skylarkcart.gateway._event_log import (
    FLUSH_INTERVAL_S,
    MAX_BUFFERED_LINES,
    EventLog,
)


def test_buffer_stays_bounded_over_many_seconds() -> None:
    """The count of omitted lines must not exceed the bound of the buffer either."""
    clock = ManualClock()
    reader, writer = os.pipe()
    log = EventLog(clock=clock, instance="a", output=writer)
    for second in range(5):
        for number in range(3_000):
            log.write(f"event_{number}", second=second)
        assert len(log._lines) <= MAX_BUFFERED_LINES
        clock.advance(1_000)
    while log._lines:
        log.flush()
        os.read(reader, 1_000_000)
    clock.advance(1_000)
    log.write("event")
    omitted = [line for line in log._lines if b"lines_omitted" in line]
    os.close(reader)
    os.close(writer)
    # Nothing that was omitted is forgotten: it is counted once there is room.
    assert len(omitted) == 1


async def test_log_goes_on_after_an_error_of_standard_output() -> None:
    """One failed write must not end the flushing of all later lines."""
    reader, writer = os.pipe()
    log = EventLog(clock=ManualClock(), instance="a", output=writer)
    os.close(writer)
    log.write("lost")
    log.start()
    os.dup2(os.open(os.devnull, os.O_WRONLY), writer)
    log.write("later")
    await asyncio.sleep(3 * FLUSH_INTERVAL_S)
    log.stop()
    os.close(reader)
    os.close(writer)
    assert not log._lines
