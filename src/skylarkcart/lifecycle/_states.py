"""The states of an instance from start to stop."""

from __future__ import annotations

import enum

from skylarkcart.clock import Millis
from skylarkcart.invariants import Invariant, check

# After the second failed probe, a whole probe interval has passed since the load
# balancer learned that the instance is draining.
REQUIRED_FAILED_PROBES = 2

# Limits the wait for failed probes to this many linger times, in case the load balancer
# has stopped probing.
MAX_PROBE_WAIT_LINGERS = 10


class LifecycleState(enum.Enum):
    """The state of an instance between start and stop."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Lifecycle:
    """Decides readiness, when responses close connections, and when to stop.

    A drain begins with failing readiness, so that the load balancer opens no new
    connections. Responses then carry ``Connection: close`` for at least ``linger_ms``.
    Listening stops only when no request is running and none has arrived for
    ``quiet_ms``.

    While the instance's zone is closed, readiness also fails and responses close their
    connections, but the instance continues to listen.
    """

    def __init__(self, *, linger_ms: float, quiet_ms: float) -> None:
        self.state = LifecycleState.STARTING
        self._linger_ms = linger_ms
        self._quiet_ms = quiet_ms
        self._is_zone_open = True
        self._draining_since: Millis | None = None
        self._last_arrival_at: Millis | None = None
        self._running_requests = 0
        self._arrived_requests = 0
        self._was_probed = False
        self._failed_probes = 0

    @property
    def is_ready(self) -> bool:
        return self.state is LifecycleState.READY and self._is_zone_open

    @property
    def is_draining(self) -> bool:
        return self.state is LifecycleState.DRAINING

    @property
    def closes_connections(self) -> bool:
        """Whether responses tell callers to close their connection."""
        return self.is_draining or not self._is_zone_open

    @property
    def running(self) -> int:
        """The number of requests that have arrived and are not yet answered."""
        return self._running_requests

    @property
    def arrivals(self) -> int:
        """The number of requests that have arrived since the start."""
        return self._arrived_requests

    def mark_ready(self) -> None:
        """Records that the instance has everything it needs to serve requests."""
        if self.state is LifecycleState.STARTING:
            self.state = LifecycleState.READY

    def observe_zone(self, *, is_open: bool) -> None:
        """Records the configured state of the instance's zone."""
        self._is_zone_open = is_open

    def begin_drain(self, now: Millis) -> None:
        """Starts the drain; further calls have no effect."""
        if self._draining_since is not None:
            return
        self.state = LifecycleState.DRAINING
        self._draining_since = now

    def record_probe(self) -> None:
        """Records that a readiness probe of the load balancer is answered."""
        self._was_probed = True
        if self.is_draining:
            self._failed_probes += 1

    def begin_request(self, now: Millis) -> None:
        check(
            self.state is not LifecycleState.STOPPED,
            Invariant.GRACEFUL_SHUTDOWN,
            "a request arrived after the instance had stopped",
        )
        self._running_requests += 1
        self._arrived_requests += 1
        self._last_arrival_at = now

    def end_request(self) -> None:
        if self._running_requests < 1:
            raise ValueError(
                f"{self._running_requests} requests are running, expected at least one"
            )
        self._running_requests -= 1

    def may_stop(self, now: Millis) -> bool:
        """Returns whether listening may stop without interrupting a request."""
        if self._draining_since is None or self._running_requests > 0:
            return False
        lingered_ms = now - self._draining_since
        if lingered_ms < self._linger_ms:
            return False
        if self._was_probed and self._failed_probes < REQUIRED_FAILED_PROBES:
            # The load balancer may still send requests until its probes have failed.
            return lingered_ms >= MAX_PROBE_WAIT_LINGERS * self._linger_ms
        return (
            self._last_arrival_at is None
            or now - self._last_arrival_at >= self._quiet_ms
        )

    def stop_listening(self, now: Millis) -> None:
        """Records that listening stops now."""
        check(
            self.may_stop(now),
            Invariant.GRACEFUL_SHUTDOWN,
            f"listening stops with {self._running_requests} requests running, before "
            "the linger time has passed, or too soon after an arrival",
        )

    def stop(self) -> None:
        """Records that the instance has stopped; all requests must be answered."""
        check(
            self._running_requests == 0,
            Invariant.GRACEFUL_SHUTDOWN,
            f"{self._running_requests} requests are running while the instance stops",
        )
        self.state = LifecycleState.STOPPED
