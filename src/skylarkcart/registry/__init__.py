"""What the platform publishes, as last known by this instance."""

from __future__ import annotations

from skylarkcart.registry._registry import (
    Change,
    ClosedZone,
    Published,
    Registered,
    Registry,
    RegistryEvent,
)

__all__ = [
    "Change",
    "ClosedZone",
    "Published",
    "Registered",
    "Registry",
    "RegistryEvent",
]
