"""Distributes requests among services in proportion to their weights."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from skylarkcart.published import ServiceShare
from skylarkcart.types import ServiceId

# An instance begins behind a random number of choices below this one.
MAX_SKIPPED_CHOICES = 64


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

    def __init__(
        self,
        *,
        shares: Sequence[ServiceShare],
        offset: float = 0.0,
        previous: WeightedServices | None = None,
    ) -> None:
        eligible = [share for share in shares if share.weight > 0] or list(shares)
        weights = {share.service: max(share.weight, 1e-9) for share in eligible}
        total = sum(weights.values())
        # Credits count requests, so that they outlast a change of the weights' scale.
        self._weights = {name: weight / total for name, weight in weights.items()}
        known = {} if previous is None else previous._credits
        self._credits = _carry_over(known, self._weights)
        if self._weights.keys().isdisjoint(known) and len(self._weights) > 1:
            # Otherwise, instances that start together would all select alike.
            for _ in range(int(offset * MAX_SKIPPED_CHOICES)):
                self.choose()

    def choose(self) -> ServiceId:
        for service, weight in self._weights.items():
            self._credits[service] += weight
        chosen = max(self._credits, key=self._credits.__getitem__)
        self._credits[chosen] -= 1.0
        return chosen


def _carry_over(
    known: Mapping[ServiceId, float], weights: Mapping[ServiceId, float]
) -> dict[ServiceId, float]:
    """Returns the credits of the services that stay, and of new ones.

    All credits add up to 0. What services that stay have had too few or too many
    requests is made up for by the new ones, or else by all.
    """
    kept = {service: known[service] for service in weights if service in known}
    balance = -sum(kept.values())
    adjusted = [service for service in weights if service not in known] or list(weights)
    total = sum(weights[service] for service in adjusted)
    return {
        service: kept.get(service, 0.0)
        + (balance * weights[service] / total if service in adjusted else 0.0)
        for service in weights
    }
