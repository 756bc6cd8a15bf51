"""Fixtures of the log walkthroughs."""

from __future__ import annotations

from tests.gateway.conftest import deployment

__all__ = ["deployment"]
