"""Reconstructs what happened to a request from structured logs."""

from __future__ import annotations

from skylarkcart.explain._timeline import (
    LogLine,
    RequestTimeline,
    build_timeline,
    read_lines,
)

__all__ = ["LogLine", "RequestTimeline", "build_timeline", "read_lines"]
