"""Guards against a log that grows while nobody reads standard output."""

from __future__ import annotations

import os

from skylarkcart.clock import ManualClock
from skylarkcart.gateway._event_log import MAX_BUFFERED_LINES, EventLog


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
