"""Learns how much a report still tells at some later time."""

from __future__ import annotations

import math

# Ages are classed by powers of two of a millisecond; the last class is never reached.
AGE_CLASSES = 64

# Pairs of reports that the prior counts for, in each class.
PRIOR_PAIRS = 8.0

# Factor on the sums of a class for each further pair, so that the latest hundred count.
PAIR_DECAY = 0.99

# Deviations beyond this many standard deviations are lowered to it.
MAX_DEVIATIONS = 4.0

# Weight of one report in the moving average of the variance.
VARIANCE_WEIGHT = 0.02


class LagRegression:
    """Regression of a figure's deviation from its mean on an earlier deviation.

    ``weights[int(age_ms).bit_length()]`` is the part of a deviation that is expected to
    remain after ``age_ms``, and ``spreads`` at the same index is the standard deviation
    of what is then unknown. Until pairs of reports are recorded, a deviation halves in
    ``half_life_ms``.

    >>> regression = LagRegression(half_life_ms=100.0, variance=1.0)
    >>> regression.weights[int(100).bit_length()] < 0.6
    True
    """

    def __init__(self, *, half_life_ms: float, variance: float) -> None:
        self._variance = variance
        self._min_variance = variance / 100.0
        self.weights = [
            0.5 ** (2.0**age_class / math.sqrt(2.0) / half_life_ms)
            for age_class in range(AGE_CLASSES)
        ]
        self._prior_weights = tuple(self.weights)
        self._products = [0.0] * AGE_CLASSES
        self._squares = [0.0] * AGE_CLASSES
        self.spreads = [self._compute_spread(weight) for weight in self.weights]

    def record(self, earlier: float, later: float, *, age_ms: float) -> None:
        """Records a deviation and the one that was reported ``age_ms`` before it."""
        limit = MAX_DEVIATIONS * math.sqrt(self._variance)
        later_bounded = min(max(-limit, later), limit)
        earlier = min(max(-limit, earlier), limit)
        self._variance += VARIANCE_WEIGHT * (later_bounded**2 - self._variance)
        self._variance = max(self._min_variance, self._variance)
        age_class = int(age_ms).bit_length()
        products = self._products[age_class] * PAIR_DECAY + earlier * later_bounded
        squares = self._squares[age_class] * PAIR_DECAY + earlier * earlier
        self._products[age_class] = products
        self._squares[age_class] = squares
        prior = PRIOR_PAIRS * self._variance
        weight = (products + prior * self._prior_weights[age_class]) / (squares + prior)
        weight = min(max(0.0, weight), 1.0)
        self.weights[age_class] = weight
        self.spreads[age_class] = self._compute_spread(weight)

    def _compute_spread(self, weight: float) -> float:
        return math.sqrt(self._variance * (1.0 - weight * weight))
