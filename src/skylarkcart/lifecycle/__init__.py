"""Readiness, draining and graceful shutdown of an instance."""

from __future__ import annotations

from skylarkcart.lifecycle._drain import DrainSchedule
from skylarkcart.lifecycle._states import Lifecycle, LifecycleState

__all__ = ["DrainSchedule", "Lifecycle", "LifecycleState"]
