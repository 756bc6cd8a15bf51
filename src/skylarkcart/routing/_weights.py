"""Distributes requests among services in proportion to their weights."""

from __future__ import annotations

from collections.abc import Sequence

from skylarkcart.published import ServiceShare
from skylarkcart.types import ServiceId


class WeightedServices:
    """Smooth weighted round robin, which keeps to the weights even in short runs.

    Each selection adds its weight to the credit of every service, takes the service
    with the highest credit and subtracts the sum of the weights from it. Random
    selection would need several hundred requests to come as close to the weights.

    >>> first = ServiceShare(service="a", weight=2)
    >>> second = ServiceShare(service="b", weight=1)
    >>> services = WeightedServices(shares=[first, second])
    >>> [services.choose() for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    def __init__(self, *, shares: Sequence[ServiceShare], offset: float = 0.0) -> None:
        eligible = [share for share in shares if share.weight > 0] or list(shares)
        self._weights = {share.service: max(share.weight, 1e-9) for share in eligible}
        self._total = sum(self._weights.values())
        # Different offsets prevent instances that start together from selecting alike.
        self._credits = {
            service: weight * offset for service, weight in self._weights.items()
        }

    def choose(self) -> ServiceId:
        for service, weight in self._weights.items():
            self._credits[service] += weight
        chosen = max(self._credits, key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return chosen
