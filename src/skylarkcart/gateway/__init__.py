"""The gateway process: sockets, timers and signals around the slices' decisions."""

from __future__ import annotations
