"""Exchange of the usage of extra calls between the instances of a large fleet."""

from __future__ import annotations

from collections.abc import Callable

from skylarkcart.budgets import (
    ZONE_EXCHANGE_ROUNDS,
    FleetUsage,
    InstanceUsage,
    UsageCollector,
    ZoneUsage,
    decode_usage,
    encode_usage,
)
from skylarkcart.clock import Millis
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._event_log import MAX_DETAIL_LINES_PER_SECOND
from skylarkcart.types import ZoneId

# The collectors are chosen again once in this number of rounds.
CHOICE_ROUNDS = 5


class UsageExchange:
    """Sends this instance's usage, and sums where it is a collector of its zone.

    A fleet that is small enough for reports to every instance does not need it.
    ``send`` sends a datagram to a host.
    """

    def __init__(
        self,
        *,
        core: Core,
        send: Callable[[bytes, str], None],
    ) -> None:
        self._core = core
        self._send = send
        self._round = 0
        self._collectors: dict[ZoneId, tuple[str, ...]] = {}
        self._had_sums = False
        self._collector = UsageCollector(
            instance=core.settings.instance,
            zone=core.settings.zone,
            window_ms=core.settings.bounds.extra_calls_window_ms,
        )

    def run_round(self) -> None:
        """Sends what is due in this round of reports."""
        core, now = self._core, self._core.now
        core.usage_view.remove_old(now)
        self._collector.remove_old(now)
        self._log_change_of_budget()
        if not core.fleet.uses_gossip():
            return
        if self._round % CHOICE_ROUNDS == 0:
            self._collectors = core.fleet.list_collectors(now)
        self._round += 1
        own_collectors = self._collectors[core.settings.zone]
        self._send_own_usage(own_collectors, now)
        own_host = core.settings.peer_host
        if own_host in own_collectors:
            self._send_to_own_zone(now)
        if own_host == own_collectors[0] and self._round % ZONE_EXCHANGE_ROUNDS == 0:
            self._send_to_other_zones(now)

    def handle_datagram(self, data: bytes) -> None:
        """Records a usage message.

        Raises:
            InvalidValueError: it is not a usage message.
        """
        message = decode_usage(data)
        now = self._core.now
        match message:
            case InstanceUsage():
                self._collector.apply_instance(message, now)
            case ZoneUsage():
                self._collector.apply_zone(message, now)
            case FleetUsage():
                self._core.usage_view.apply_fleet(message, now)

    def _send_own_usage(self, collectors: tuple[str, ...], now: Millis) -> None:
        usage = self._core.build_usage(now)
        if usage is None:
            return
        data = encode_usage(usage)
        for host in collectors:
            if host == self._core.settings.peer_host:
                self._collector.apply_instance(usage, now)
            else:
                self._send(data, host)

    def _send_to_own_zone(self, now: Millis) -> None:
        core = self._core
        fleet_usage, messages = self._collector.build_fleet(
            now, settled_instances=self._count_settled(now)
        )
        if not fleet_usage.services:
            return
        own_message = messages.get(core.settings.instance, fleet_usage)
        core.usage_view.apply_fleet(own_message, now)
        common = encode_usage(fleet_usage)
        for member in core.fleet.list_own_zone(now):
            message = messages.get(member.instance)
            self._send(
                common if message is None else encode_usage(message), member.host
            )

    def _send_to_other_zones(self, now: Millis) -> None:
        usage = self._collector.build_zone(
            now, settled_instances=self._count_settled(now)
        )
        data = encode_usage(usage, compresses=True)
        for zone, hosts in self._collectors.items():
            if zone != self._core.settings.zone:
                for host in hosts:
                    self._send(data, host)

    def _log_change_of_budget(self) -> None:
        has_sums = self._core.usage_view.has_sums
        if has_sums != self._had_sums:
            self._had_sums = has_sums
            event = "usage_sums_received" if has_sums else "usage_sums_lost"
            self._core.log.write(event, limit=MAX_DETAIL_LINES_PER_SECOND)

    def _count_settled(self, now: Millis) -> int:
        core = self._core
        window_ms = core.settings.bounds.extra_calls_window_ms
        peers = core.fleet.count_settled(now, min_age_ms=window_ms)
        return peers + core.has_run_for(window_ms)
