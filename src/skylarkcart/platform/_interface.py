"""Read-only interface to the platform.

To support the protocol of another platform, implement ``Platform``.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from skylarkcart.declarations import InstanceList
from skylarkcart.errors import SkylarkcartError
from skylarkcart.types import ServiceId

CONFIGURATION_KEY = "config"
INDEX_KEY_PREFIX = "index/"


class PublishedValue(msgspec.Struct, frozen=True, kw_only=True):
    """A published value and its version, which increases with each change."""

    version: int
    value: bytes


class PlatformError(SkylarkcartError):
    """The platform is unreachable or returned an unexpected response."""


class Platform(Protocol):
    """Read operations of the platform. Each may raise ``PlatformError``."""

    async def read(self, key: str) -> PublishedValue | None:
        """Returns the value of a key, or None if the key has no value."""

    async def watch(
        self, key: str, *, after_version: int, wait_ms: float
    ) -> PublishedValue | None:
        """Waits up to ``wait_ms`` for a version newer than ``after_version``.

        Returns None if there was none.
        """

    async def list_instances(self) -> InstanceList:
        """Returns the list of instances and upstreams, which may be out of date."""


def build_index_key(service: ServiceId) -> str:
    return f"{INDEX_KEY_PREFIX}{service}"
