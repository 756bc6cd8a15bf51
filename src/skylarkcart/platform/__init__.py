"""The platform's interface and its HTTP adapter.

An import of one name does not load the others, as the small instances of the gateway
need neither the HTTP client nor the stand-ins' formats.
"""

from __future__ import annotations

import importlib
from typing import Any

_MODULES = {
    "CONFIGURATION_KEY": "_interface",
    "HttpPlatform": "_http",
    "Platform": "_interface",
    "PlatformError": "_interface",
    "PublishedValue": "_interface",
    "build_index_key": "_interface",
}

__all__ = [
    "CONFIGURATION_KEY",
    "HttpPlatform",
    "Platform",
    "PlatformError",
    "PublishedValue",
    "build_index_key",
]


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)
