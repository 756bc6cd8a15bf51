"""Guards against callers that make a process run out of memory or descriptors.

In a trial of the operators, such callers ended a process. Each test plays one crowd
against one gateway process with lowered limits. Crowds and bounds were fixed before the
process bounded what callers make it hold; both come from the targets, and neither
depends on the machine's speed.
"""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from tests.callers.crowds import CROWDS, count_open
from tests.callers.environment import (
    FILE_DESCRIPTORS,
    MAX_MEMORY_BYTES,
    Environment,
    wait_for,
)

SLOW_RESPONSE_S = 1.0

# A crowd stays for this time where the process responds to it.
STAY_S = 4.0

# Connections to upstreams that the ordinary requests may leave open.
UPSTREAM_CONNECTIONS = 8


@pytest.mark.parametrize("name", CROWDS)
async def test_process_outlives_a_crowd(name: str, tmp_path: pathlib.Path) -> None:
    crowd = CROWDS[name]
    environment = Environment(folder=tmp_path, max_fds=crowd.max_fds)
    await environment.start()
    try:
        assert await environment.search() == 200
        descriptors = environment.count_descriptors()
        if name in ("complete bodies", "pipelined bodies"):
            environment.answer_slowly(SLOW_RESPONSE_S)
        if name == "large responses unread":
            environment.answer_at_length()
        members = await environment.play(crowd)
        if crowd.stays:
            await asyncio.sleep(STAY_S)
        left_open = await count_open(members) if crowd.must_be_closed else 0
        assert environment.is_running()
        # The crowd's connections are still open.
        ordinary_status = await environment.search()
        for member in members:
            member.leave()

        async def has_closed_all() -> bool:
            limit = descriptors + UPSTREAM_CONNECTIONS
            return environment.count_descriptors() <= limit

        await wait_for(has_closed_all)
        environment.answer_slowly(0.0)

        async def serves_largest_body() -> bool:
            # The upstreams may still be at work for the crowd.
            return await environment.send_largest_body() == 200

        await wait_for(serves_largest_body)
        peak = environment.get_peak_memory()
        print(
            f"{name}: peak {peak / 1e6:.0f} MB of {MAX_MEMORY_BYTES / 1e6:.0f}, "
            f"{environment.max_descriptors} descriptors, {left_open} left open, "
            f"ordinary {ordinary_status}"
        )
        assert environment.is_running()
        assert ordinary_status == 200
        assert left_open == 0
        assert peak <= MAX_MEMORY_BYTES
        assert environment.max_descriptors <= crowd.max_fds - FILE_DESCRIPTORS
        assert environment.count_events("internal_error") == 0
    finally:
        await environment.stop()
