"""Call budgets and latency statistics of a service."""

from __future__ import annotations

from skylarkcart.types import ServiceId

DEFAULT_EXTRA_CALLS_RATIO = 0.05
RETRY_CALLS_RATIO = 0.1

# Retries start with tokens, so that a new instance can replace calls to a lost replica.
# Hedges start without: a complete answer never needs them.
INITIAL_RETRY_TOKENS = 10.0
MAX_TOKENS = 50.0

WINDOW_SAMPLES = 1024
SAMPLES_PER_SORT = 64
WARM_UP_SAMPLES = 100


class CallBudget:
    """A token bucket that is refilled by ``ratio`` tokens for each first call.

    >>> budget = CallBudget(ratio=0.5)
    >>> budget.refill(2)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(self, *, ratio: float, tokens: float = 0.0) -> None:
        self._ratio = ratio
        self._tokens = tokens

    def refill(self, calls: int) -> None:
        self._tokens = min(MAX_TOKENS, self._tokens + calls * self._ratio)

    def try_spend(self, calls: int = 1) -> bool:
        """Takes one token per call, or returns False if there are too few."""
        if self._tokens < calls:
            return False
        self._tokens -= calls
        return True


class LatencyWindow:
    """A quantile of the most recent latencies in milliseconds.

    To limit its cost, the quantile is recomputed only after every ``SAMPLES_PER_SORT``
    samples.
    """

    def __init__(self, *, quantile: float) -> None:
        self._quantile = quantile
        self._samples: list[float] = []
        self._next_slot = 0
        self._samples_until_sort = 0
        self.value: float | None = None

    def add(self, latency_ms: float) -> None:
        if len(self._samples) < WINDOW_SAMPLES:
            self._samples.append(latency_ms)
        else:
            self._samples[self._next_slot] = latency_ms
            self._next_slot = (self._next_slot + 1) % WINDOW_SAMPLES
        self._samples_until_sort -= 1
        if len(self._samples) >= WARM_UP_SAMPLES and self._samples_until_sort <= 0:
            self._samples_until_sort = SAMPLES_PER_SORT
            ordered = sorted(self._samples)
            rank = int(len(ordered) * self._quantile)
            self.value = ordered[min(rank, len(ordered) - 1)]


class ServiceCallState:
    """Latency quantile, hedge and retry budgets shared by a service's searches."""

    def __init__(
        self,
        *,
        service: ServiceId = ServiceId(""),
        extra_calls_ratio: float = DEFAULT_EXTRA_CALLS_RATIO,
    ) -> None:
        self.service = service
        self.extra_calls_ratio = extra_calls_ratio
        # Hedging 1.25 times this fraction of the calls exhausts the budget, and late
        # calls without a hedge raise p99 from 17 to 23 ms in randomised runs.
        self._latency = LatencyWindow(quantile=1.0 - extra_calls_ratio)
        self.hedges = CallBudget(ratio=extra_calls_ratio)
        self.retries = CallBudget(ratio=RETRY_CALLS_RATIO, tokens=INITIAL_RETRY_TOKENS)
        self.first_calls = 0
        self.hedge_calls = 0
        self.retry_calls = 0

    @property
    def hedge_after_ms(self) -> float | None:
        """The hedge delay, or None with too few samples or without a hedge budget."""
        return self._latency.value if self.extra_calls_ratio > 0 else None

    def record_first_calls(self, calls: int) -> None:
        self.first_calls += calls
        self.hedges.refill(calls)
        self.retries.refill(calls)

    def record_latency(self, latency_ms: float) -> None:
        """Records the latency of an answered call, or a cancelled call's elapsed time.

        Without cancelled calls, each hedge would bias the quantile downwards.
        """
        self._latency.add(latency_ms)
