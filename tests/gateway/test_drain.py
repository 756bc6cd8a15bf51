"""Guards against requests cut off in a planned stop while callers keep sending."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tests.gateway.deployment import Deployment
from tests.gateway.standins import Caller

# The time that the stand-in upstreams work on a request.
WORK_S = 0.12
CALLERS = 24


class PersistentCaller:
    """Sends on an open connection until the instance accepts no connection."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self._deployment = deployment
        self._number = number
        self.statuses: list[int] = []
        self.retry_after_missing = 0

    async def run(self) -> None:
        for attempt in range(10_000):
            try:
                async with self._deployment.open_caller() as caller:
                    await self._send_until_closed(caller, attempt)
            except ConnectionRefusedError:
                return
            except (OSError, asyncio.IncompleteReadError):
                # The instance closed the connection before it read the request.
                continue

    async def _send_until_closed(self, caller: Caller, attempt: int) -> None:
        for number in range(10_000):
            method, target = (
                ("POST", "/file/x") if number % 3 == 2 else ("GET", "/search/x")
            )
            request = f"r{self._number}-{attempt}-{number}"
            caller.write(target, request, method=method, Deadline_Ms="1000")
            status, headers, _ = await caller.read()
            self.statuses.append(status)
            if status == 503 and "retry-after" not in headers:
                self.retry_after_missing += 1
            if headers.get("connection") == "close":
                return
            await asyncio.sleep(0.03)


async def stop_process(deployment: Deployment) -> None:
    """Stops the instance; connections that are still open end with the process."""
    await deployment.instance.drain_and_stop()
    for connection in list(deployment.instance._connections):
        connection._transport.abort()


async def _stop_under_load(grace_ms: float) -> None:
    deployment = Deployment()
    await deployment.start()
    core = deployment.instance._core
    core.settings = msgspec.structs.replace(
        core.settings,
        bounds=msgspec.structs.replace(
            core.settings.bounds, shutdown_grace_ms=grace_ms
        ),
    )
    for upstream in deployment.upstreams.values():
        upstream.delay_s = WORK_S
    callers = [PersistentCaller(deployment, number) for number in range(CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(0.3)
    started_at = core.now
    await stop_process(deployment)
    assert core.now - started_at < grace_ms
    await asyncio.wait_for(asyncio.gather(*tasks), 10)
    statuses = [status for caller in callers for status in caller.statuses]
    # Every request that the instance read was answered.
    assert core.lifecycle.running == 0
    assert len(statuses) == core.lifecycle.arrivals
    assert set(statuses) <= {200, 503, 504}
    assert statuses.count(200) > CALLERS
    assert sum(caller.retry_after_missing for caller in callers) == 0
    deployment.stop()


@pytest.mark.parametrize("grace_ms", [3_000.0, 6_000.0])
async def test_everything_read_is_answered_until_the_end(grace_ms: float) -> None:
    """Callers use open connections until the process is gone."""
    await _stop_under_load(grace_ms)


async def test_everything_read_is_answered_with_a_long_grace() -> None:
    await _stop_under_load(20_000.0)


async def test_slow_request_gets_its_response_at_the_end(deployment) -> None:
    """A request that outlasts the drain gets a response, not a closed connection."""
    core = deployment.instance._core
    core.settings = msgspec.structs.replace(
        core.settings,
        bounds=msgspec.structs.replace(core.settings.bounds, shutdown_grace_ms=2_000.0),
    )
    for name in ("d1", "d2"):
        deployment.upstreams[name].delay_s = 8.0
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST")
        await asyncio.sleep(0.2)
        await stop_process(deployment)
        status, headers, _ = await caller.read()
    # The upstream may still run it, so the status must not promise otherwise.
    assert status == 504
    assert headers["connection"] == "close"


async def test_request_on_a_connection_that_was_just_accepted_is_answered(
    deployment,
) -> None:
    """The listener closes while the first request of a connection is on its way."""
    drain = asyncio.create_task(stop_process(deployment))
    listener = deployment.instance._servers[0]
    caller = None
    while listener.is_serving():
        if caller is not None:
            caller.writer.close()
        caller = await deployment.open_caller().__aenter__()
        await asyncio.sleep(0.01)
    caller.write("/search/x", "late")
    status, _, _ = await caller.read()
    assert status in (200, 503)
    await drain
