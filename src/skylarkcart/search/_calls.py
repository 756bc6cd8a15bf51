"""The calls in flight of a search."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from skylarkcart.clock import Millis
from skylarkcart.search._messages import CancelCall, StartCall
from skylarkcart.types import CallId, ShardId


class CallInFlight:
    """A call in flight; ``hedge_at`` is None if no hedge is scheduled."""

    def __init__(
        self, *, start: StartCall, started_at: Millis, hedge_after_ms: float | None
    ) -> None:
        self.start = start
        self.started_at = started_at
        self.hedge_at: Millis | None = None
        if hedge_after_ms is not None:
            self.hedge_at = Millis(started_at + hedge_after_ms)

    def cancel(self) -> CancelCall:
        return CancelCall(
            call=self.start.call,
            request_id=self.start.request_id,
            upstream=self.start.upstream,
        )


class CallsInFlight:
    """The calls in flight of one search."""

    def __init__(self) -> None:
        self._calls: dict[CallId, CallInFlight] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[CallInFlight]:
        return iter(tuple(self._calls.values()))

    def add(self, call: CallInFlight) -> None:
        self._calls[call.start.call] = call

    def pop(self, call: CallId) -> CallInFlight | None:
        return self._calls.pop(call, None)

    def clear(self) -> None:
        self._calls.clear()

    def list_not_in_flight(self, shards: Iterable[ShardId]) -> list[ShardId]:
        """Returns the shards that no call in flight requests."""
        in_flight = {shard for call in self for shard in call.start.shards}
        return [shard for shard in shards if shard not in in_flight]

    def list_due_hedges(self, now: Millis) -> list[CallInFlight]:
        return [
            call for call in self if call.hedge_at is not None and call.hedge_at <= now
        ]

    def find_next_hedge(self) -> Millis | None:
        due = [call.hedge_at for call in self if call.hedge_at is not None]
        return min(due, default=None)
