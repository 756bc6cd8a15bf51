"""Exchange of warm declarations and cold notices between instances."""

from __future__ import annotations

import functools
from collections.abc import Iterable, Mapping

from skylarkcart.clock import Millis
from skylarkcart.types import UpstreamId
from skylarkcart.upstreams._messages import (
    ColdNotice,
    ColdReport,
    UpstreamMessage,
    WarmDeclaration,
    WarmReport,
    WarmRequest,
)
from skylarkcart.upstreams._ramp import Temperature
from skylarkcart.upstreams._upstream import Upstream

# An upstream without a success for longer may have become cold unnoticed.
MAX_EVIDENCE_AGE_MS = 3_000.0

# Instances in different zones exchange messages once a second; repeating a notice for
# this time tolerates the loss of one exchange.
NOTICE_REPEAT_MS = 2_500.0

# A declaration takes about 100 bytes in JSON, so the periodic declarations add about
# 3 KB to a heartbeat.
DECLARATIONS_PER_MESSAGE = 32


class TemperatureExchange:
    """Builds and applies the peer messages about upstreams."""

    def __init__(self, *, upstreams: Mapping[UpstreamId, Upstream]) -> None:
        self._upstreams = upstreams
        self._notices: dict[UpstreamId, tuple[Millis, bool]] = {}
        self._previously_declared: set[UpstreamId] = set()
        self._rotation_start = 0

    def record_cold(
        self, upstream: UpstreamId, now: Millis, *, is_certain: bool = True
    ) -> None:
        """Schedules a cold notice to the other instances."""
        self._notices[upstream] = (now, is_certain)

    def build_messages(self, now: Millis) -> list[UpstreamMessage]:
        """Returns cold notices, then new and periodically repeated declarations."""
        messages: list[UpstreamMessage] = []
        notices = self._build_notices(now)
        if notices:
            messages.append(ColdReport(notices=notices))
        declarations = self._build_periodic_declarations(now)
        if declarations:
            messages.append(WarmReport(declarations=declarations))
        return messages

    @functools.singledispatchmethod
    def handle(self, message: UpstreamMessage, now: Millis) -> list[UpstreamMessage]:
        """Applies a peer's message and returns the replies."""
        raise TypeError(
            f"message is {type(message).__name__}, expected an UpstreamMessage"
        )

    @handle.register
    def _(self, message: WarmReport, now: Millis) -> list[UpstreamMessage]:
        for declaration in message.declarations:
            upstream = self._upstreams.get(declaration.upstream)
            if upstream is not None and 0 <= declaration.age_ms <= MAX_EVIDENCE_AGE_MS:
                evidence_at = Millis(now - declaration.age_ms)
                if declaration.usual_ms is not None:
                    upstream.service_latency.record_reported(declaration.usual_ms)
                upstream.apply_warm_declaration(declaration.process, evidence_at, now)
        return []

    @handle.register
    def _(self, message: ColdReport, now: Millis) -> list[UpstreamMessage]:
        for notice in message.notices:
            upstream = self._upstreams.get(notice.upstream)
            if upstream is not None and notice.age_ms <= NOTICE_REPEAT_MS:
                cold_at = Millis(now - notice.age_ms)
                upstream.apply_cold_notice(
                    notice.process, cold_at, now, is_certain=notice.is_certain
                )
        return []

    @handle.register
    def _(self, message: WarmRequest, now: Millis) -> list[UpstreamMessage]:
        declarations = self._build_declarations(self._list_warm(now), now)
        return [WarmReport(declarations=declarations)] if declarations else []

    def _build_notices(self, now: Millis) -> tuple[ColdNotice, ...]:
        self._notices = {
            upstream: (at, is_certain)
            for upstream, (at, is_certain) in self._notices.items()
            if now - at <= NOTICE_REPEAT_MS and upstream in self._upstreams
        }
        return tuple(
            ColdNotice(
                upstream=upstream,
                process=self._upstreams[upstream].process,
                age_ms=now - at,
                is_certain=is_certain,
            )
            for upstream, (at, is_certain) in self._notices.items()
        )

    def _build_periodic_declarations(self, now: Millis) -> tuple[WarmDeclaration, ...]:
        warm = self._list_warm(now)
        undeclared = [
            upstream
            for upstream in warm
            if upstream.id not in self._previously_declared
        ]
        self._previously_declared = {upstream.id for upstream in warm}
        start = self._rotation_start % len(warm) if warm else 0
        rotated = warm[start : start + DECLARATIONS_PER_MESSAGE]
        self._rotation_start = start + len(rotated)
        chosen = {upstream.id: upstream for upstream in (*undeclared, *rotated)}
        return self._build_declarations(chosen.values(), now)

    def _list_warm(self, now: Millis) -> list[Upstream]:
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.temperature is Temperature.WARM
            and upstream.process
            and upstream.last_success_at is not None
            and now - upstream.last_success_at <= MAX_EVIDENCE_AGE_MS
        ]

    def _build_declarations(
        self, upstreams: Iterable[Upstream], now: Millis
    ) -> tuple[WarmDeclaration, ...]:
        return tuple(
            WarmDeclaration(
                upstream=upstream.id,
                process=upstream.process,
                age_ms=now - upstream.last_success_at,
                usual_ms=upstream.service_latency.recent_ms,
            )
            for upstream in upstreams
        )
