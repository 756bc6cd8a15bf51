"""I/O layer of an entry instance: HTTP servers and client, metrics and tracing."""

from __future__ import annotations

from skylarkcart.entry._instance import EntryInstance
from skylarkcart.entry._settings import Settings, check_settings, read_settings

__all__ = ["EntryInstance", "Settings", "check_settings", "read_settings"]
