"""The latest state published by the platform that this instance knows."""

from __future__ import annotations

from skylarkcart.registry._registry import (
    Change,
    ClosedZone,
    LapsedEntry,
    Published,
    PublishedEntry,
    Registry,
    RegistryEvent,
    Removal,
)

__all__ = [
    "Change",
    "ClosedZone",
    "LapsedEntry",
    "Published",
    "PublishedEntry",
    "Registry",
    "RegistryEvent",
    "Removal",
]
