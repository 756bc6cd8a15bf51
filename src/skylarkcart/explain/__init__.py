"""Tells from structured logs what happened to a request."""

from __future__ import annotations

from skylarkcart.explain._story import LogLine, Story, find_story, read_lines

__all__ = ["LogLine", "Story", "find_story", "read_lines"]
