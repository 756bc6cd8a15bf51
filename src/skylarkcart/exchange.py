"""A caller's request and an upstream's answer, independent of header names."""

from __future__ import annotations

import msgspec


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a caller, read whole.

    ``time_left_ms`` is how long the caller will wait, or None if it did not say.
    ``forwarded`` holds the encoded headers that upstreams get unchanged; the key is not
    among them.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    request_id: bytes
    time_left_ms: float | None
    key: str | None
    forwarded: bytes
    body: bytes

    def __repr__(self) -> str:
        return f"CallerRequest(request_id={self.request_id!r}, path={self.path!r})"


class ReportedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of its own load."""

    running: int
    waiting: int
    slots: int


class UpstreamAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer of an upstream.

    ``is_not_run`` holds if the upstream states that it did not run the request.
    ``is_misdirected`` holds if another upstream has the address now.
    ``idle_timeout_s`` is how long the upstream keeps an idle connection.
    ``headers`` are as the upstream sent them.
    """

    status: int
    request_id: bytes | None
    signature: bytes | None
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    load: ReportedLoad | None
    idle_timeout_s: float | None
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether this is a signed success that is passed on as it is."""
        return (
            200 <= self.status < 300
            and self.signature is not None
            and not self.is_encoded
        )
