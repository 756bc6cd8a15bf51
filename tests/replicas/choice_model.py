"""A model of many instances that choose among the same upstreams from old reports.

Reports without a work factor are chosen by as before; those with one by a draw from the
estimate. ``python -m tests.replicas.choice_model`` prints the figures of both.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections.abc import Iterator

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import ReportedLoad
from skylarkcart.replicas import CallEnd, Replica, Replicas
from skylarkcart.types import UpstreamId
from tests.replicas.test_replicas import SERVICE, build_entry, build_replicas

CHOOSERS = 74
WORK_MS = 20.0
SPEEDS = (0.8, 1.0, 1.3)
SLOTS = 4
QUEUE_LIMIT = 4
SLOW_FACTOR = 5.0
# The work factor of a machine is drawn anew after this time.
FACTOR_CHANGE_MS = 60.0
FACTOR_SIGMA = 0.3
PAUSE_MS = 150.0
PAUSE_INTERVAL_MS = 3_600.0
# Part of the capacity that is left beside the slow machine and the pauses. The sites
# that report their load use a tenth in calm and several times that in bursts.
UTILIZATION = 0.45
# Reports and learned means of the first second are not counted.
WARM_UP_MS = 1_000.0
DURATION_MS = 6_000.0
# Seeds by the number of upstreams: those of a shard, and of a service without shards.
SEEDS = {3: 8, 16: 2}
# Only responses bring news within the duration.
NO_NEWS_MS = 100_000.0


class ModelUpstream:
    """An upstream with slots, a bounded queue and pauses on a shared machine."""

    def __init__(
        self,
        *,
        number: int,
        random: random.Random,
        is_slow: bool,
        pauses: bool,
    ) -> None:
        self._pause_ms = PAUSE_MS if pauses else 0.0
        self.upstream = UpstreamId(f"i-{number}")
        self.speed = SPEEDS[number % len(SPEEDS)]
        self.running = 0
        self.queue: list[int] = []
        self._random = random
        self._usual_factor = SLOW_FACTOR if is_slow else 1.0
        self._factor = self._usual_factor
        self._factor_until = 0.0
        self._pause_phase = random.uniform(0, PAUSE_INTERVAL_MS)

    @property
    def calls(self) -> int:
        return self.running + len(self.queue)

    @property
    def is_full(self) -> bool:
        return len(self.queue) >= QUEUE_LIMIT

    def is_paused(self, now: float) -> bool:
        return (now - self._pause_phase) % PAUSE_INTERVAL_MS < self._pause_ms

    def get_factor(self, now: float) -> float:
        if now >= self._factor_until:
            self._factor_until = now + FACTOR_CHANGE_MS
            self._factor = self._usual_factor * self._random.lognormvariate(
                0.0, FACTOR_SIGMA
            )
        return self._factor

    def compute_end(self, now: float) -> float:
        """Returns when a call that starts now ends; pauses delay it."""
        work_ms = WORK_MS * self._random.uniform(0.5, 1.5)
        end = now + work_ms * self.get_factor(now) / self.speed
        if self.is_paused(now):
            return end + self._pause_ms - (now - self._pause_phase) % PAUSE_INTERVAL_MS
        return end + self._pause_ms if self.is_paused(end) else end

    def report(self, now: float, *, states_factor: bool) -> ReportedLoad:
        return ReportedLoad(
            running=self.running,
            waiting=len(self.queue),
            slots=SLOTS,
            work_factor=self.get_factor(now) if states_factor else None,
        )


class Figures(msgspec.Struct, kw_only=True):
    """``misplaced`` calls met a full queue while a sibling had a free slot.

    ``longest_queue`` is the mean over time of the longest queue, ``peak_queue`` its
    greatest. ``swing`` is the mean difference of the calls per slot between the most
    and the least loaded upstream, without the slow one.
    """

    calls: int = 0
    refused: int = 0
    misplaced: int = 0
    longest_queue: float = 0.0
    peak_queue: int = 0
    swing: float = 0.0
    latency_ms: float = 0.0


class ChoiceModel:
    """Runs calls of many choosers that learn the loads in intervals of their own.

    At a choice, the news are ``news_ms`` old on average and at most twice as old. With
    ``news_ms`` 0, a chooser learns all loads just before each choice.
    """

    def __init__(
        self,
        *,
        seed: int,
        upstreams: int,
        news_ms: float,
        states_factor: bool,
        pauses: bool = True,
    ) -> None:
        self._random = random.Random(seed)
        self._news_ms = news_ms
        self._states_factor = states_factor
        self.upstreams = [
            ModelUpstream(
                number=number,
                random=self._random,
                is_slow=number == 1,
                pauses=pauses,
            )
            for number in range(upstreams)
        ]
        self._by_id = {upstream.upstream: upstream for upstream in self.upstreams}
        self.choosers = [self._build_chooser(seed, i) for i in range(CHOOSERS)]
        self.figures = Figures()
        self._events: list[tuple[float, int, str, int]] = []
        self._order = itertools.count()
        self._calls: dict[int, tuple[Replica, float]] = {}
        self._sampled_at = WARM_UP_MS

    def run(self) -> Figures:
        for at in self._draw_arrivals():
            self._schedule(at, "call", self._random.randrange(CHOOSERS))
        if self._news_ms:
            for chooser in range(CHOOSERS):
                at = self._random.uniform(0, 2 * self._news_ms)
                self._schedule(at, "news", chooser)
        while self._events:
            now, _, kind, number = heapq.heappop(self._events)
            if now >= DURATION_MS:
                break
            self._sample(now)
            match kind:
                case "call":
                    self._call(self.choosers[number], now)
                case "news":
                    self._learn(self.choosers[number], now)
                    self._schedule(now + 2 * self._news_ms, "news", number)
                case "end":
                    self._end(number, now)
        duration_ms = DURATION_MS - WARM_UP_MS
        self.figures.longest_queue /= duration_ms
        self.figures.swing /= duration_ms
        self.figures.latency_ms /= self.figures.calls - self.figures.refused
        return self.figures

    def choose(self, chooser: Replicas, now: float) -> Replica:
        return chooser.select(SERVICE, now=Millis(now), typical_ms=WORK_MS)

    def _build_chooser(self, seed: int, number: int) -> Replicas:
        entries = [build_entry(i, slots=SLOTS) for i in range(len(self.upstreams))]
        chooser = build_replicas(*entries)
        chooser._random.seed(f"{seed} {number}")
        return chooser

    def _draw_arrivals(self) -> Iterator[float]:
        capacity = sum(
            SLOTS * upstream.speed / upstream._usual_factor / WORK_MS
            for upstream in self.upstreams
        )
        rate = UTILIZATION * (1 - PAUSE_MS / PAUSE_INTERVAL_MS) * capacity
        at = 0.0
        while at < DURATION_MS:
            yield at
            at += self._random.expovariate(rate)

    def _schedule(self, at: float, kind: str, number: int) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, number))

    def _learn(self, chooser: Replicas, now: float) -> None:
        for upstream in self.upstreams:
            chooser.replicas[upstream.upstream].record_load(
                upstream.report(now, states_factor=self._states_factor),
                now=Millis(now),
            )

    def _call(self, chooser: Replicas, now: float) -> None:
        if not self._news_ms:
            self._learn(chooser, now)
        replica = self.choose(chooser, now)
        upstream = self._by_id[replica.entry.upstream]
        is_counted = now >= WARM_UP_MS
        self.figures.calls += is_counted
        call = next(self._order)
        replica.begin_call(call, now=Millis(now), typical_ms=WORK_MS)
        if upstream.is_full:
            has_room = any(
                sibling.running < SLOTS and not sibling.is_paused(now)
                for sibling in self.upstreams
            )
            self.figures.refused += is_counted
            self.figures.misplaced += is_counted and has_room
            load = upstream.report(now, states_factor=self._states_factor)
            replica.end_call(call, CallEnd.SHED, now=Millis(now), load=load)
            return
        self._calls[call] = (replica, now)
        if upstream.running < SLOTS:
            self._start(upstream, call, now)
        else:
            upstream.queue.append(call)

    def _start(self, upstream: ModelUpstream, call: int, now: float) -> None:
        upstream.running += 1
        self._schedule(upstream.compute_end(now), "end", call)

    def _end(self, call: int, now: float) -> None:
        replica, started_at = self._calls.pop(call)
        upstream = self._by_id[replica.entry.upstream]
        load = upstream.report(now, states_factor=self._states_factor)
        upstream.running -= 1
        replica.end_call(call, CallEnd.ANSWERED, now=Millis(now), load=load)
        if started_at >= WARM_UP_MS:
            self.figures.latency_ms += now - started_at
        if upstream.queue:
            self._start(upstream, upstream.queue.pop(0), now)

    def _sample(self, now: float) -> None:
        """Adds what has held since the last event to the means over time."""
        if now <= self._sampled_at:
            return
        elapsed_ms = now - self._sampled_at
        self._sampled_at = now
        longest = max(len(upstream.queue) for upstream in self.upstreams)
        self.figures.peak_queue = max(self.figures.peak_queue, longest)
        self.figures.longest_queue += longest * elapsed_ms
        loads = [u.calls / SLOTS for u in self.upstreams if u._usual_factor == 1.0]
        self.figures.swing += (max(loads) - min(loads)) * elapsed_ms


@functools.cache
def run_all(
    *, upstreams: int, news_ms: float, states_factor: bool, pauses: bool = True
) -> Figures:
    """Returns the mean figures over some seeds."""
    runs = [
        ChoiceModel(
            seed=seed,
            upstreams=upstreams,
            news_ms=news_ms,
            states_factor=states_factor,
            pauses=pauses,
        ).run()
        for seed in range(SEEDS[upstreams])
    ]
    return Figures(
        **{
            field: sum(getattr(run, field) for run in runs) / len(runs)
            for field in Figures.__struct_fields__
        }
    )


def main() -> None:
    for upstreams, states_factor, news_ms in itertools.product(
        SEEDS, (False, True), (0.0, 20.0, 100.0, 500.0, NO_NEWS_MS)
    ):
        figures = run_all(
            upstreams=upstreams, news_ms=news_ms, states_factor=states_factor
        )
        values = msgspec.structs.asdict(figures)
        text = ", ".join(f"{name} {value:.2f}" for name, value in values.items())
        print(upstreams, states_factor, news_ms, text, flush=True)


if __name__ == "__main__":
    main()
