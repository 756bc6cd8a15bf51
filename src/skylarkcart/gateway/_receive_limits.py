"""Bounds on the bytes that upstreams may send."""

from __future__ import annotations

import msgspec

from skylarkcart.receive import Memory, derive_upstream_bytes

# Largest body of one response, as a fraction of the memory for all of them, so that a
# few upstreams that send without end leave room for other large responses.
MAX_BODY_FRACTION = 0.25

MAX_HEAD_BYTES = 65_536

# Every call may hold this much, also while the shared memory is used up, so that faulty
# upstreams don't affect small responses of other upstreams.
UNSHARED_BODY_BYTES = 65_536

# Informational (1xx) responses before the final one.
MAX_INTERIM_RESPONSES = 8

# Chunked encoding adds framing to a body.
MAX_FRAMING_FACTOR = 2


class ReceiveLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one response, in bytes.

    ``max_call_bytes`` covers everything that arrives for a call, including discarded
    and informational responses.
    """

    max_head_bytes: int
    max_body_bytes: int

    @property
    def max_call_bytes(self) -> int:
        return self.max_head_bytes + MAX_FRAMING_FACTOR * self.max_body_bytes


class ReceiveMemory(Memory):
    """Memory that all responses being received share.

    >>> memory = ReceiveMemory(memory_mb=200)
    >>> memory.limits.max_body_bytes
    6250000
    """

    def __init__(self, *, memory_mb: float) -> None:
        super().__init__(size=derive_upstream_bytes(memory_mb))
        self.limits = ReceiveLimits(
            max_head_bytes=MAX_HEAD_BYTES,
            max_body_bytes=int(MAX_BODY_FRACTION * self.size),
        )


class ResponseMeter:
    """Counts the bytes that arrive for one call and finds the limit that they exceed.

    The methods return the name of the exceeded limit, or None.
    """

    def __init__(self, *, memory: ReceiveMemory) -> None:
        self._memory = memory
        self._limits = memory.limits
        self._held = 0
        self._call_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._interim_responses = 0
        self._is_reading_head = False

    def begin_call(self) -> None:
        self.release()
        self._call_bytes = 0
        self._head_bytes = 0
        self._interim_responses = 0
        self._is_reading_head = False

    def begin_message(self) -> None:
        self.release()
        self._head_bytes = 0
        self._is_reading_head = True

    def end_head(self) -> None:
        self._is_reading_head = False

    def add_interim_response(self) -> str | None:
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            return "too_many_interim_responses"
        return None

    def add_body(self, size: int) -> str | None:
        """Counts a piece of a body before it is kept."""
        self._body_bytes += size
        if self._body_bytes > self._limits.max_body_bytes:
            return "body_too_large"
        shared = max(0, self._body_bytes - UNSHARED_BODY_BYTES)
        if shared > self._held:
            if not self._memory.try_hold(shared - self._held):
                return "receive_memory_exhausted"
            self._held = shared
        return None

    def add_data(self, size: int) -> str | None:
        """Counts data that the parser has processed."""
        self._call_bytes += size
        if self._is_reading_head:
            self._head_bytes += size
            if self._head_bytes > self._limits.max_head_bytes:
                return "head_too_large"
        if self._call_bytes > self._limits.max_call_bytes:
            return "response_too_large"
        return None

    def release(self) -> None:
        """Returns the memory of a body that is no longer kept here."""
        self._memory.release(self._held)
        self._held = 0
        self._body_bytes = 0
