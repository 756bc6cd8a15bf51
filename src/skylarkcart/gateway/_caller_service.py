"""What connections of callers and the rest of an instance require of each other."""

from __future__ import annotations

from typing import Protocol

from skylarkcart.clock import Clock, Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.published import CallerLimits
from skylarkcart.receive import Account


class ResponseWriter(Protocol):
    """The connection that a request came from, and its caller's address."""

    peer_host: str

    def is_new(self, arrived_at: Millis) -> bool: ...

    def respond(self, data: bytes, *, closes: bool) -> None: ...


class Exchange(Protocol):
    """A request in progress."""

    def abandon(self) -> None:
        """Stops processing after the caller has disconnected."""

    def expire(self) -> None:
        """Responds now with what there is, as the process is about to end."""


class CallerService(Protocol):
    """What a caller connection requires of its instance."""

    clock: Clock
    account: Account

    def get_caller_limits(self) -> CallerLimits: ...

    def closes_connections(self) -> bool: ...

    def handle(
        self, connection: ResponseWriter, request: CallerRequest, arrived_at: Millis
    ) -> Exchange | None: ...

    def record_rejection(self, reason: str, status: int) -> None: ...

    def record_closing(self, reason: str) -> None: ...
