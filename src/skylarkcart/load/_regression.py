"""Learns how much a report still tells at some later time."""

from __future__ import annotations

import functools
import math

# Ages are classed by powers of two of a millisecond, up to ``MAX_CLASSED_AGE_MS``. The
# last class is that of all greater ages.
AGE_CLASSES = 12
MAX_CLASSED_AGE_MS = 1_024.0

# Pairs of reports that the prior counts for, in each class.
PRIOR_PAIRS = 30.0

# Factor on the sums of a class for each further pair, so that the latest hundred count.
PAIR_DECAY = 0.99

# The weights are computed anew after this many pairs, since it takes longer than adding
# a pair.
PAIRS_PER_UPDATE = 16

# A uniform distribution with a standard deviation of 1 has this width.
UNIFORM_WIDTH = 12.0**0.5

# Weight of one report in the moving average of the variance.
VARIANCE_WEIGHT = 0.02


def get_age_class(age_ms: float) -> int:
    """Returns the index of the class that an age belongs to."""
    if age_ms >= MAX_CLASSED_AGE_MS:
        return AGE_CLASSES - 1
    return int(age_ms).bit_length()


@functools.cache
def _compute_prior_weights(half_life_ms: float) -> tuple[float, ...]:
    return tuple(
        0.5 ** (2.0**age_class / math.sqrt(2.0) / half_life_ms)
        for age_class in range(AGE_CLASSES)
    )


class LagRegression:
    """Regression of a figure's deviation from its mean on an earlier deviation.

    ``weights[get_age_class(age_ms)]`` is the part of a deviation that is expected to
    remain after ``age_ms``, and ``spreads`` at the same index is the width of a uniform
    distribution with the variance of what is then unknown. Until pairs of reports are
    recorded, a deviation halves in ``half_life_ms``.

    >>> regression = LagRegression(half_life_ms=100.0, variance=1.0)
    >>> regression.weights[get_age_class(100.0)] < 0.6
    True
    """

    def __init__(self, *, half_life_ms: float, variance: float) -> None:
        self._variance = variance
        self._min_variance = variance / 100.0
        self._prior_weights = _compute_prior_weights(half_life_ms)
        self.weights = list(self._prior_weights)
        self._pairs_until_update = PAIRS_PER_UPDATE
        self._products = [0.0] * AGE_CLASSES
        self._squares = [0.0] * AGE_CLASSES
        self.spreads = [self._compute_spread(weight) for weight in self.weights]

    def record(self, earlier: float, later: float, *, age_ms: float) -> None:
        """Records a deviation and the one that was reported ``age_ms`` before it."""
        age_class = get_age_class(age_ms)
        products = self._products
        squares = self._squares
        products[age_class] = products[age_class] * PAIR_DECAY + earlier * later
        squares[age_class] = squares[age_class] * PAIR_DECAY + earlier * earlier
        self._variance += VARIANCE_WEIGHT * (later * later - self._variance)
        self._pairs_until_update -= 1
        if self._pairs_until_update == 0:
            self._update()

    def _update(self) -> None:
        self._pairs_until_update = PAIRS_PER_UPDATE
        self._variance = max(self._min_variance, self._variance)
        prior = PRIOR_PAIRS * self._variance
        for age_class in range(AGE_CLASSES):
            products = self._products[age_class]
            products += prior * self._prior_weights[age_class]
            weight = products / (self._squares[age_class] + prior)
            weight = min(max(0.0, weight), 1.0)
            self.weights[age_class] = weight
            self.spreads[age_class] = self._compute_spread(weight)

    def _compute_spread(self, weight: float) -> float:
        return UNIFORM_WIDTH * math.sqrt(self._variance * (1.0 - weight * weight))
