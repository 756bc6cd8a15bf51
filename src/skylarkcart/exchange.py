"""Requests of callers and responses of upstreams, independent of header names."""

from __future__ import annotations

import msgspec


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a caller, with the complete request.

    ``time_left_ms`` is how long the caller will wait, or None if it is not stated.
    ``forwarded_headers`` holds the encoded headers that are sent to upstreams
    unchanged. They don't contain the key.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    request_id: bytes
    time_left_ms: float | None
    key: str | None
    forwarded_headers: bytes
    body: bytes

    def __repr__(self) -> str:
        return f"CallerRequest(request_id={self.request_id!r}, path={self.path!r})"


class ReportedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The load that an upstream reports about itself.

    ``work_factor`` is how long work takes on its machine relative to the usual time, or
    None if it is not stated.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None


class UpstreamResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response of an upstream.

    ``is_marked_not_run`` is true if the upstream states that it did not run the
    request.
    ``is_misdirected`` is true if another upstream now has the address.
    ``has_content_encoding`` is true if the body has a content encoding, such as gzip.
    ``idle_timeout_s`` is how long the upstream keeps an idle connection open, or None
    if it is not stated.
    ``is_leaving`` is true if the upstream's process states that it is leaving.
    ``pause_ms`` is the time for which an upstream that refused the request wants no
    further ones from this instance, or None. ``has_invalid_pause`` is true if it
    states one that can't be read.
    ``invalid_load`` is the start of a reported load that can't be read, or None.
    ``headers`` are unchanged.
    """

    status: int
    request_id: bytes | None
    signature: bytes | None
    is_marked_not_run: bool
    is_misdirected: bool
    has_content_encoding: bool
    load: ReportedLoad | None
    idle_timeout_s: float | None
    is_leaving: bool
    pause_ms: float | None
    has_invalid_pause: bool
    invalid_load: bytes | None
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def speaks_of_upstream(self) -> bool:
        """Whether it says more of the upstream than its load, or a load in error.

        The response of another upstream, which now has the address, does not.
        """
        if self.is_misdirected:
            return False
        return (
            self.is_leaving
            or self.pause_ms is not None
            or self.has_invalid_pause
            or self.invalid_load is not None
        )

    @property
    def is_success(self) -> bool:
        """Whether this is a signed, unencoded 2xx response, passed on unchanged."""
        return (
            200 <= self.status < 300
            and self.signature is not None
            and not self.has_content_encoding
        )
