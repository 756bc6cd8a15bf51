"""Background tasks of an instance, which are restarted after errors."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from skylarkcart.clock import Clock
from skylarkcart.entry._logging import log_warning
from skylarkcart.entry._metrics import Metrics
from skylarkcart.supervision import RestartPolicy, supervise


class BackgroundTasks:
    """The tasks of one component by name.

    A task that fails is logged and started again after a growing delay. State that must
    outlast a failure, such as the version of a value that was read, belongs to the
    component and not to the task.

    Example::

        tasks = BackgroundTasks(clock=clock, metrics=metrics)
        tasks.start("list", watcher.poll_list)
        ...
        await tasks.stop()
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._tasks

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Starts a task; ``run`` is called again after each error."""
        policy = RestartPolicy()

        def record_error(error: Exception) -> float:
            restart = policy.record_failure(self._clock.now())
            self._metrics.task_failures.labels(name).inc()
            log_warning(
                "task_failed",
                task=name,
                error=repr(error),
                failures=restart.failures,
                restart_in_ms=restart.delay_ms,
            )
            return restart.delay_ms

        self._tasks[name] = asyncio.create_task(supervise(run, on_error=record_error))

    async def stop(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
