"""Fixtures of the walks through logs."""

from __future__ import annotations

from tests.gateway.conftest import deployment

__all__ = ["deployment"]
