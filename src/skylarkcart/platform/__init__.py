"""The platform's interface and its HTTP adapter.

Names are imported lazily, because gateway instances, which must stay small, need
neither the HTTP client nor the formats that the stand-ins use.
"""

from __future__ import annotations

import importlib
from typing import Any

_LAZY_IMPORTS = {
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
    if name not in _LAZY_IMPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_LAZY_IMPORTS[name]}")
    return getattr(module, name)
