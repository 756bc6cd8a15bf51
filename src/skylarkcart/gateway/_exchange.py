"""What requests to one and to many upstreams have in common."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Collection

from skylarkcart.clock import Millis
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._ending import MILLISECONDS_PER_SECOND, Ending
from skylarkcart.gateway._pool import Call
from skylarkcart.gateway._timing import RequestTimes
from skylarkcart.published import Route
from skylarkcart.types import AccountId

# The usual latency of a route's calls: half of them take no longer.
USUAL_QUANTILE = 0.5


class UpstreamExchange(abc.ABC):
    """A request whose calls to upstreams are under way."""

    def __init__(
        self,
        *,
        core: Core,
        ending: Ending,
        route: Route,
        account: AccountId | None,
        times: RequestTimes,
    ) -> None:
        self._core = core
        self._ending = ending
        self._route = route
        self._account = account
        self._times = times
        self._latency = core.get_latency(route)
        self._timer: asyncio.TimerHandle | None = None
        self._due = times.give_up_at

    def _start_timer(self, due: Millis, now: Millis) -> None:
        self._due = due
        delay_s = max(0.0, due - now) / MILLISECONDS_PER_SECOND
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._handle_timer)

    @abc.abstractmethod
    def _handle_timer(self) -> None:
        """Does what is due."""

    def _end_calls(self, calls: Collection[Call]) -> None:
        """Stops the timer and abandons the calls that are still under way."""
        if self._timer is not None:
            self._timer.cancel()
        for call in calls:
            self._core.pool.abandon(call)
