"""Events that callers and upstreams observe, and checks of the guarantees on them."""

from __future__ import annotations

import collections

import msgspec

# A request sent later than this after the revocation of its key must not run.
MAX_REVOCATION_S = 5.0

# A draining upstream must get no requests later than this, unless the store is faulty.
MAX_DRAIN_S = 3.0

# An evacuated zone must get no requests later than this, unless the store is faulty.
MAX_EVACUATION_S = 5.0

# Limit of an account over all instances: the requests that its rate and burst permit in
# a window, a quarter more, and a fixed number of requests.
WINDOW_S = 5.0
RATE_TOLERANCE = 0.25
SLACK_REQUESTS = 20


# Requests that may reach an upstream from one instance after it has asked for time, and
# how long after its answer they don't count.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_GRACE_S = 0.5


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A request that an upstream refused, and for how long it wants no others."""

    request: str
    upstream: str
    at: float
    pause_s: float


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """A request that an upstream ran; it may have said that it was leaving."""

    at: float
    upstream: str
    signature: str
    body: bytes
    account: str | None
    carried_key: bool
    said_leaving: bool = False


class SentRequest(msgspec.Struct, kw_only=True):
    """A request as its caller saw it. ``status`` is 0 if it got no response."""

    request: str
    kind: str
    key: str
    sent_at: float
    instance: str = ""
    status: int = 0
    body: bytes = b""
    signatures: tuple[str, ...] = ()
    answered_at: float = 0.0
    is_answered: bool = False


class Ledger:
    """Records events and checks them for violations of the guarantees."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.sent: dict[str, SentRequest] = {}
        self.revoked_at: dict[str, float] = {}
        self.key_accounts: dict[str, str] = {}
        self.draining_since: dict[str, float] = {}
        self.upstream_zones: dict[str, str] = {}
        # The zone, the start and the end of each evacuation.
        self.evacuations: list[tuple[str, float, float]] = []
        self.store_fault_periods: list[tuple[float, float]] = []
        self.account_limits: dict[str, tuple[float, float]] = {}
        # The request, the upstream and the time of each arrival.
        self.arrivals: list[tuple[str, str, float]] = []
        self.refusals: list[Refusal] = []
        # When processes of each instance were started.
        self.starts: dict[str, list[float]] = collections.defaultdict(list)

    def list_violations(self) -> list[str]:
        """Returns one line for each violated guarantee."""
        violations: list[str] = []
        for sent in self.sent.values():
            violations.extend(self._check_request(sent))
        for request, runs in self.runs.items():
            if request not in self.sent:
                violations.append(f"UNASKED {request}: no caller sent it")
            violations.extend(self._check_runs(request, runs))
        violations.extend(self._check_rates())
        violations.extend(self._check_leaving())
        violations.extend(self._check_pauses())
        return violations

    def _check_leaving(self) -> list[str]:
        """Checks that an instance which passed on the notice of a leave obeys it."""
        passed_on_at: dict[tuple[str, str], float] = {}
        for request, runs in self.runs.items():
            sent = self.sent.get(request)
            for run in runs:
                if (
                    sent is not None
                    and run.said_leaving
                    and run.signature in sent.signatures
                ):
                    key = (sent.instance, run.upstream)
                    first = passed_on_at.get(key, float("inf"))
                    passed_on_at[key] = min(first, sent.answered_at)
        violations = []
        for request, upstream, _ in self.arrivals:
            sent = self.sent.get(request)
            since = sent and passed_on_at.get((sent.instance, upstream))
            if (
                since is not None
                and sent.sent_at > since + MAX_DRAIN_S
                and not self._has_started(sent.instance, since, sent.sent_at)
            ):
                violations.append(
                    f"DRAIN {request}: reached {upstream} from {sent.instance}, "
                    f"{sent.sent_at - since:.1f} s after it had passed on its leave"
                )
        return violations

    def _check_pauses(self) -> list[str]:
        violations = []
        for refusal in self.refusals:
            sent = self.sent.get(refusal.request)
            if sent is None:
                continue
            start, end = refusal.at + PAUSE_GRACE_S, refusal.at + refusal.pause_s
            if self._has_started(sent.instance, refusal.at, end):
                continue
            arrived = sum(
                start < at < end
                and upstream == refusal.upstream
                and request in self.sent
                and self.sent[request].instance == sent.instance
                for request, upstream, at in self.arrivals
            )
            if arrived > MAX_REQUESTS_IN_PAUSE:
                violations.append(
                    f"BUDGET {refusal.request}: {arrived} requests reached "
                    f"{refusal.upstream} from {sent.instance} in its pause"
                )
        return violations

    def _has_started(self, instance: str, since: float, until: float) -> bool:
        return any(since <= at <= until for at in self.starts[instance])

    def _check_request(self, sent: SentRequest) -> list[str]:
        runs = self.runs.get(sent.request, [])
        violations = []
        if sent.kind == "file" and len(runs) > 1:
            violations.append(f"TWICE {sent.request}: ran as {runs}")
        if sent.kind == "file" and sent.status in (429, 503, 408, 421) and runs:
            violations.append(
                f"REFUSED {sent.request}: status {sent.status}, but ran as {runs}"
            )
        if sent.status == 200:
            violations.extend(self._check_success(sent, runs))
        if sent.key not in self.key_accounts and runs:
            violations.append(f"ROUTE {sent.request}: ran with an unknown key")
        revoked_at = self.revoked_at.get(sent.key)
        if (
            revoked_at is not None
            and runs
            and sent.sent_at > revoked_at + MAX_REVOCATION_S
        ):
            delay_s = sent.sent_at - revoked_at
            violations.append(
                f"CONFIG {sent.request}: ran, though sent {delay_s:.1f} s after "
                "the revocation of its key"
            )
        return violations

    def _check_success(self, sent: SentRequest, runs: list[Run]) -> list[str]:
        runs_by_signature = {run.signature: run for run in runs}
        if not sent.signatures or not set(sent.signatures) <= set(runs_by_signature):
            return [
                f"MIXED {sent.request}: signatures {sent.signatures}, "
                f"ran as {list(runs_by_signature)}"
            ]
        bodies = [runs_by_signature[signature].body for signature in sent.signatures]
        expected = b"".join(bodies)
        if sent.kind == "search":
            records = [
                body[i : i + 16] for body in bodies for i in range(0, len(body), 16)
            ]
            expected = b"".join(sorted(records, reverse=True)[:2])
        if sent.body != expected:
            return [f"MIXED {sent.request}: body {sent.body!r}, expected {expected!r}"]
        return []

    def _check_runs(self, request: str, runs: list[Run]) -> list[str]:
        violations = []
        for run in runs:
            if run.carried_key:
                violations.append(f"UNASKED {request}: {run.upstream} received a key")
            sent = self.sent.get(request)
            if sent is not None and run.account != self.key_accounts.get(sent.key):
                violations.append(f"UNASKED {request}: ran for account {run.account}")
            draining_since = self.draining_since.get(run.upstream)
            if (
                draining_since is not None
                and run.at > draining_since + MAX_DRAIN_S
                and self._was_store_healthy(draining_since)
            ):
                delay_s = run.at - draining_since
                violations.append(
                    f"DRAIN {request}: {run.upstream} ran it {delay_s:.1f} s after the "
                    "start of its drain"
                )
            violations.extend(self._check_evacuations(request, run))
        return violations

    def _check_evacuations(self, request: str, run: Run) -> list[str]:
        zone = self.upstream_zones.get(run.upstream)
        return [
            f"EVAC {request}: {run.upstream} ran it {run.at - start:.1f} s after the "
            f"evacuation of {zone}"
            for evacuated, start, end in self.evacuations
            if evacuated == zone
            and start + MAX_EVACUATION_S < run.at < end
            and self._was_store_healthy(start)
        ]

    def _check_rates(self) -> list[str]:
        violations = []
        for account, (rate, burst) in self.account_limits.items():
            run_times = sorted(
                runs[0].at for runs in self.runs.values() if runs[0].account == account
            )
            limit = (rate * WINDOW_S + burst) * (1 + RATE_TOLERANCE) + SLACK_REQUESTS
            start = 0
            max_runs = 0
            for end, run_time in enumerate(run_times):
                while run_time - run_times[start] > WINDOW_S:
                    start += 1
                max_runs = max(max_runs, end - start + 1)
            if max_runs > limit:
                violations.append(
                    f"QUOTA {account}: {max_runs} runs in a window, limit {limit}"
                )
        return violations

    def _was_store_healthy(self, at: float) -> bool:
        # The gateways are expected to know a change only if the store has no faults for
        # some seconds before and after it.
        return all(
            not (start - MAX_DRAIN_S <= at <= end + 2 * MAX_DRAIN_S)
            for start, end in self.store_fault_periods
        )
