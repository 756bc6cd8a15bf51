"""What callers and upstreams saw, and the promises that follow from it."""

from __future__ import annotations

import collections

import msgspec

# A withdrawn key may run nothing that is sent later than this.
WITHDRAWAL_S = 5.0

# A leaving upstream gets nothing later than this, while the store is sound.
DRAIN_S = 3.0

# Bound of an account over all instances: its rate and burst in a window, a quarter
# more, and so many requests.
WINDOW_S = 5.0
OVERSHOOT = 0.25
SLACK = 20


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """A request that an upstream ran."""

    at: float
    upstream: str
    signature: str
    body: bytes
    account: str | None
    carried_key: bool


class Sent(msgspec.Struct, kw_only=True):
    """A request as its caller saw it; ``status`` 0 means a closed connection."""

    request: str
    kind: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    signatures: tuple[str, ...] = ()
    answered_at: float = 0.0
    is_answered: bool = False


class Ledger:
    """Records events and lists broken promises."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.sent: dict[str, Sent] = {}
        self.withdrawn: dict[str, float] = {}
        self.accounts: dict[str, str] = {}
        self.left: dict[str, float] = {}
        self.store_troubles: list[tuple[float, float]] = []
        self.limits: dict[str, tuple[float, float]] = {}

    def list_broken(self) -> list[str]:
        """Returns a line for each broken promise."""
        broken: list[str] = []
        for sent in self.sent.values():
            broken.extend(self._check_request(sent))
        for request, runs in self.runs.items():
            if request not in self.sent:
                broken.append(f"UNASKED {request}: nobody sent it")
            broken.extend(self._check_runs(request, runs))
        broken.extend(self._check_rates())
        return broken

    def _check_request(self, sent: Sent) -> list[str]:
        runs = self.runs.get(sent.request, [])
        broken = []
        if sent.kind == "file" and len(runs) > 1:
            broken.append(f"TWICE {sent.request}: {runs}")
        if sent.kind == "file" and sent.status in (429, 503, 408, 421) and runs:
            broken.append(f"REFUSED {sent.request}: {sent.status} but {runs}")
        if sent.status == 200:
            broken.extend(self._check_success(sent, runs))
        if sent.key not in self.accounts and runs:
            broken.append(f"ROUTE {sent.request}: unknown key ran")
        withdrawn = self.withdrawn.get(sent.key)
        if withdrawn is not None and runs and sent.sent_at > withdrawn + WITHDRAWAL_S:
            late_s = sent.sent_at - withdrawn
            broken.append(f"CONFIG {sent.request}: ran {late_s:.1f} s after withdrawal")
        return broken

    def _check_success(self, sent: Sent, runs: list[Run]) -> list[str]:
        known = {run.signature: run for run in runs}
        if not sent.signatures or not set(sent.signatures) <= set(known):
            return [f"MIXED {sent.request}: {sent.signatures} of {list(known)}"]
        bodies = [known[signature].body for signature in sent.signatures]
        expected = b"".join(bodies)
        if sent.kind == "search":
            records = [b[i : i + 16] for b in bodies for i in range(0, len(b), 16)]
            expected = b"".join(sorted(records, reverse=True)[:2])
        if sent.body != expected:
            return [f"MIXED {sent.request}: body {sent.body!r}, expected {expected!r}"]
        return []

    def _check_runs(self, request: str, runs: list[Run]) -> list[str]:
        broken = []
        for run in runs:
            if run.carried_key:
                broken.append(f"UNASKED {request}: {run.upstream} got a key")
            sent = self.sent.get(request)
            if sent is not None and run.account != self.accounts.get(sent.key):
                broken.append(f"UNASKED {request}: ran for {run.account}")
            left = self.left.get(run.upstream)
            if left is not None and run.at > left + DRAIN_S and self._is_sound(left):
                late_s = run.at - left
                broken.append(f"DRAIN {request}: {run.upstream} {late_s:.1f} s late")
        return broken

    def _check_rates(self) -> list[str]:
        broken = []
        for account, (rate, burst) in self.limits.items():
            at = sorted(
                runs[0].at for runs in self.runs.values() if runs[0].account == account
            )
            bound = (rate * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK
            start = 0
            worst = 0
            for end, moment in enumerate(at):
                while moment - at[start] > WINDOW_S:
                    start += 1
                worst = max(worst, end - start + 1)
            if worst > bound:
                broken.append(f"QUOTA {account}: {worst} in a window, bound {bound}")
        return broken

    def _is_sound(self, at: float) -> bool:
        # The store's word counts once it has been sound for some seconds.
        return all(
            not (start - DRAIN_S <= at <= end + 2 * DRAIN_S)
            for start, end in self.store_troubles
        )
