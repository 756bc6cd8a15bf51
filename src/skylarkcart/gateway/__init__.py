"""The gateway process: runs the policy modules on sockets, timers and signals."""

from __future__ import annotations
