"""What upstream processes have said about themselves to this instance."""

from __future__ import annotations

import collections
from collections.abc import Collection

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.published import UpstreamEntry
from skylarkcart.types import UpstreamId

# A longer pause is shortened, so that an upstream can't take itself out of use by a
# mistaken value.
MAX_PAUSE_MS = 60_000.0

# Processes whose notices are kept, the most recent ones.
MAX_NOTICES = 4_096


class _Notice(msgspec.Struct, kw_only=True):
    """The notices of one process, which started at ``born_ms`` if that is known."""

    born_ms: int | None
    is_leaving: bool = False
    paused_until: Millis = Millis(float("-inf"))


class UpstreamNotices:
    """Upstream processes that are leaving, and those that asked for a pause.

    A notice concerns one process. It outlasts the process's absence from the upstreams
    in use, for example while its zone is closed, and ends only when another process is
    known to have its name: one that started at another time, or, if start times are
    unknown, one whose entry was gone in between.

    >>> notices = UpstreamNotices()
    >>> notices.record_leaving(entry)
    True
    >>> notices.is_leaving(entry)
    True
    """

    def __init__(self) -> None:
        self._notices: collections.OrderedDict[UpstreamId, _Notice] = (
            collections.OrderedDict()
        )

    def record_leaving(self, entry: UpstreamEntry) -> bool:
        """Records that a process is leaving and returns whether that is new."""
        notice = self._get_or_add(entry)
        is_new = not notice.is_leaving
        notice.is_leaving = True
        return is_new

    def record_pause(
        self, entry: UpstreamEntry, pause_ms: float, now: Millis
    ) -> Millis:
        """Records a pause from now on and returns its end.

        A pause is never shortened by a later response, which may be an older one.
        """
        notice = self._get_or_add(entry)
        end = Millis(now + min(pause_ms, MAX_PAUSE_MS))
        notice.paused_until = max(notice.paused_until, end)
        return notice.paused_until

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        notice = self._find(entry)
        return notice is not None and notice.is_leaving

    def get_pause_end(self, entry: UpstreamEntry) -> Millis:
        """Returns the end of the process's pause, which may be in the past."""
        notice = self._find(entry)
        return Millis(float("-inf")) if notice is None else notice.paused_until

    def forget_replaced(self, registered: Collection[UpstreamId]) -> None:
        """Forgets processes without a start time whose entry is gone."""
        gone = [
            upstream
            for upstream, notice in self._notices.items()
            if notice.born_ms is None and upstream not in registered
        ]
        for upstream in gone:
            del self._notices[upstream]

    def _find(self, entry: UpstreamEntry) -> _Notice | None:
        notice = self._notices.get(entry.upstream)
        if notice is None or notice.born_ms != entry.born_ms:
            return None
        return notice

    def _get_or_add(self, entry: UpstreamEntry) -> _Notice:
        notice = self._find(entry)
        if notice is None:
            notice = _Notice(born_ms=entry.born_ms)
            self._notices[entry.upstream] = notice
            if len(self._notices) > MAX_NOTICES:
                self._notices.popitem(last=False)
        self._notices.move_to_end(entry.upstream)
        return notice
