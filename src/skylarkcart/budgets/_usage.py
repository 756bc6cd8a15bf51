"""Adds up the extra calls of all instances, so that they share one budget.

A few collectors in each zone, chosen by `skylarkcart.fleet`, get the usage of their
zone's instances, exchange sums with the collectors of the other zones and send the
sums of the fleet to their zone's instances. Each message states the usage of a whole
window: a lost or repeated one matters only until the next one, two collectors in a zone
do no harm, and nothing has to be agreed.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from skylarkcart.budgets._usage_messages import (
    FleetUsage,
    InstanceUsage,
    ServiceUsage,
    ZoneUsage,
    hash_service,
)
from skylarkcart.clock import Millis
from skylarkcart.types import InstanceId, ServiceId, ZoneId

# Collectors exchange sums between zones once in this number of rounds of reports. All
# other messages are sent in every round.
ZONE_EXCHANGE_ROUNDS = 2

# Older sums of a zone or of the fleet are not used: several messages were lost.
MAX_SUM_AGE_MS = 1_500.0

# Own messages that are remembered, to know which calls a sum does not include yet.
REMEMBERED_MESSAGES = 16

# Age of the calls that a sum includes when it arrives. The rate of further calls is
# taken from sums that arrived at least this time apart.
SUM_DELAY_MS = 400.0


class SharedUsage(msgspec.Struct, frozen=True, kw_only=True):
    """A service's usage by all instances that share their budget, in one window.

    ``extra_calls`` includes an estimate of the calls that others have made since.
    ``not_included`` are this instance's own ones of that time, which are included, too.
    ``settled_instances`` is the number of instances. Those that are not heard, or have
    just started, use their own shares of the slack; the others may use the rest.
    """

    requests: int
    extra_calls: float
    not_included: int
    settled_instances: int


class _ReceivedSums(msgspec.Struct, frozen=True, kw_only=True):
    """A message of a collector, with its services by their hash."""

    received_at: Millis
    message: FleetUsage
    services: dict[int, ServiceUsage]

    def get_extra_calls(self, service_hash: int) -> int:
        usage = self.services.get(service_hash)
        return 0 if usage is None else usage.extra_calls


class UsageCollector:
    """The sums of a zone's instances, and of the other zones, at one collector."""

    def __init__(self, *, instance: InstanceId, zone: ZoneId, window_ms: float) -> None:
        self._instance = instance
        self._zone = zone
        self._window_ms = window_ms
        self._instances: dict[tuple[InstanceId, int], tuple[Millis, InstanceUsage]] = {}
        self._zones: dict[tuple[ZoneId, InstanceId], tuple[Millis, ZoneUsage]] = {}

    def apply_instance(self, usage: InstanceUsage, now: Millis) -> None:
        """Records the usage of an instance of this zone."""
        process = (usage.instance, usage.incarnation)
        known = self._instances.get(process)
        if known is None or usage.sequence > known[1].sequence:
            self._instances[process] = (now, usage)

    def apply_zone(self, usage: ZoneUsage, now: Millis) -> None:
        """Records the sums of another zone."""
        if usage.zone != self._zone:
            self._zones[usage.zone, usage.collector] = (now, usage)

    def build_zone(self, now: Millis, *, settled_instances: int) -> ZoneUsage:
        """Returns the sums of this zone.

        The calls of an instance that is silent count until its window is over, as they
        count at the upstreams.
        """
        self.remove_old(now)
        return ZoneUsage(
            collector=self._instance,
            zone=self._zone,
            settled_instances=settled_instances,
            services=_add_usage(
                usage.services for _, usage in self._instances.values()
            ),
        )

    def remove_old(self, now: Millis) -> None:
        """Removes usage whose window is over, and sums that are too old."""
        for process, (received_at, _) in list(self._instances.items()):
            if now - received_at > self._window_ms:
                del self._instances[process]
        for key, (received_at, _) in list(self._zones.items()):
            if now - received_at > MAX_SUM_AGE_MS:
                del self._zones[key]

    def build_fleet(
        self, now: Millis, *, settled_instances: int
    ) -> tuple[FleetUsage, dict[InstanceId, FleetUsage]]:
        """Returns the sums, and a message for each instance that has sent its usage."""
        sums = [self.build_zone(now, settled_instances=settled_instances)]
        sums += self._list_other_zones()
        fleet = FleetUsage(
            collector=self._instance,
            included_sequence=-1,
            settled_instances=sum(usage.settled_instances for usage in sums),
            services=_add_usage(usage.services for usage in sums),
        )
        messages = {
            usage.instance: msgspec.structs.replace(
                fleet, included_sequence=usage.sequence
            )
            for _, usage in self._instances.values()
        }
        return fleet, messages

    def _list_other_zones(self) -> list[ZoneUsage]:
        """Returns the sums of each zone that is heard.

        A collector that has just taken over knows few instances, so the largest of the
        sums of a zone's collectors counts.
        """
        largest: dict[ZoneId, ZoneUsage] = {}
        for _, usage in self._zones.values():
            known = largest.get(usage.zone)
            if known is None or _count_extra_calls(known) < _count_extra_calls(usage):
                largest[usage.zone] = usage
        return list(largest.values())


class UsageView:
    """The sums of the fleet as one instance knows them, and what it has sent."""

    def __init__(self, *, instance: InstanceId, incarnation: int) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._sequence = 0
        self._has_sent_usage = False
        # Extra calls since the start, by service, when each message was made.
        self._sent_totals: collections.OrderedDict[int, Mapping[ServiceId, int]] = (
            collections.OrderedDict()
        )
        # The latest sums of each collector, and those of some time before.
        self._sums: dict[InstanceId, collections.deque[_ReceivedSums]] = {}

    def build_instance(
        self,
        usage: Mapping[ServiceId, tuple[int, int]],
        totals: Mapping[ServiceId, int],
    ) -> InstanceUsage | None:
        """Returns this instance's usage, or None if it has nothing to tell.

        ``usage`` holds the requests and extra calls of each service in the window,
        ``totals`` its extra calls since the start.
        """
        services = tuple(
            ServiceUsage(
                service_hash=hash_service(service),
                requests=requests,
                extra_calls=extra_calls,
            )
            for service, (requests, extra_calls) in usage.items()
            if requests or extra_calls
        )
        if not services and not self._has_sent_usage:
            return None
        self._has_sent_usage = bool(services)
        self._sequence += 1
        self._sent_totals[self._sequence] = totals
        while len(self._sent_totals) > REMEMBERED_MESSAGES:
            self._sent_totals.popitem(last=False)
        return InstanceUsage(
            instance=self._instance,
            incarnation=self._incarnation,
            sequence=self._sequence,
            services=services,
        )

    def apply_fleet(self, usage: FleetUsage, now: Millis) -> None:
        """Records the sums that a collector has sent."""
        sums = self._sums.setdefault(usage.collector, collections.deque())
        services = {service.service_hash: service for service in usage.services}
        sums.append(_ReceivedSums(received_at=now, message=usage, services=services))
        while len(sums) > 1 and now - sums[1].received_at >= SUM_DELAY_MS:
            sums.popleft()

    def get_usage(
        self, service: ServiceId, *, in_window: int, total: int, now: Millis
    ) -> SharedUsage | None:
        """Returns the fleet's usage of a service, or None if it is not known.

        ``in_window`` and ``total`` are this instance's extra calls to it in the window
        and since the start. Those that a sum does not include yet are added, and an
        estimate of those of others. Of several sums, that with the most calls counts.
        """
        known = []
        for sums in self._sums.values():
            latest = sums[-1]
            if now - latest.received_at > MAX_SUM_AGE_MS:
                continue
            sent_totals = self._sent_totals.get(latest.message.included_sequence)
            not_included = (
                in_window
                if sent_totals is None
                else max(0, total - sent_totals.get(service, 0))
            )
            known.append(_estimate_usage(sums, service, not_included, now))
        return max(known, key=lambda usage: usage.extra_calls, default=None)

    @property
    def has_sums(self) -> bool:
        """Whether a collector was heard lately."""
        return bool(self._sums)

    def remove_old(self, now: Millis) -> None:
        """Removes the sums of collectors that are no longer heard."""
        for collector, sums in list(self._sums.items()):
            if now - sums[-1].received_at > MAX_SUM_AGE_MS:
                del self._sums[collector]


def _estimate_usage(
    sums: Sequence[_ReceivedSums], service: ServiceId, not_included: int, now: Millis
) -> SharedUsage:
    earlier, latest = sums[0], sums[-1]
    service_hash = hash_service(service)
    extra_calls = latest.get_extra_calls(service_hash)
    duration_ms = max(SUM_DELAY_MS, latest.received_at - earlier.received_at)
    increase = max(0, extra_calls - earlier.get_extra_calls(service_hash))
    since_ms = SUM_DELAY_MS + now - latest.received_at
    usage = latest.services.get(service_hash)
    return SharedUsage(
        requests=0 if usage is None else usage.requests,
        extra_calls=extra_calls + not_included + increase * since_ms / duration_ms,
        not_included=not_included,
        settled_instances=latest.message.settled_instances,
    )


def _add_usage(
    usages: Iterable[tuple[ServiceUsage, ...]],
) -> tuple[ServiceUsage, ...]:
    requests: collections.Counter[int] = collections.Counter()
    extra_calls: collections.Counter[int] = collections.Counter()
    for services in usages:
        for usage in services:
            requests[usage.service_hash] += usage.requests
            extra_calls[usage.service_hash] += usage.extra_calls
    return tuple(
        ServiceUsage(
            service_hash=service_hash,
            requests=requests[service_hash],
            extra_calls=extra_calls[service_hash],
        )
        for service_hash in requests
    )


def _count_extra_calls(usage: ZoneUsage) -> int:
    return sum(service.extra_calls for service in usage.services)
