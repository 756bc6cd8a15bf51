"""Restarts of background tasks after unexpected errors."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from skylarkcart.backoff import compute_backoff_ms
from skylarkcart.clock import Millis

# Delay before a restart. It doubles with each further failure.
INITIAL_RESTART_DELAY_MS = 100.0
MAX_RESTART_DELAY_MS = 3_000.0

# A task that has run for this time since its last failure counts as healthy again.
HEALTHY_AFTER_MS = 6_000.0

# Failures without a healthy time between them after which the instance is unready.
MAX_FAILURES = 5


class Restart(msgspec.Struct, frozen=True, kw_only=True):
    """What follows from a failure: its number in a row, and the delay in ms."""

    failures: int
    delay_ms: float


class RestartPolicy:
    """The failures of one background task, and what follows from them."""

    def __init__(self) -> None:
        self._failures = 0
        self._failed_at = Millis(float("-inf"))

    def record_failure(self, now: Millis) -> Restart:
        """Records a failure and returns when the task is started again.

        >>> policy = RestartPolicy()
        >>> policy.record_failure(Millis(0))
        Restart(failures=1, delay_ms=100.0)
        """
        if now - self._failed_at > HEALTHY_AFTER_MS:
            self._failures = 0
        self._failures += 1
        self._failed_at = now
        delay_ms = compute_backoff_ms(
            self._failures,
            initial_ms=INITIAL_RESTART_DELAY_MS,
            max_ms=MAX_RESTART_DELAY_MS,
        )
        return Restart(failures=self._failures, delay_ms=delay_ms)

    def is_failing(self, now: Millis) -> bool:
        """Whether the task has failed in each of its latest rounds."""
        return (
            self._failures >= MAX_FAILURES and now - self._failed_at <= HEALTHY_AFTER_MS
        )


async def supervise(
    run: Callable[[], Awaitable[None]], *, on_error: Callable[[Exception], float]
) -> None:
    """Runs a task and restarts it after errors, until cancelled.

    ``on_error`` records an error and returns the delay before the restart in
    milliseconds.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            await asyncio.sleep(on_error(error) / 1000.0)
