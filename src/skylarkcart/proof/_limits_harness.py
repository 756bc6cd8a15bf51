"""Test harness for the rights of a few members of one zone."""

from __future__ import annotations

import functools

from skylarkcart.clock import Millis
from skylarkcart.invariants import Invariant, check
from skylarkcart.limits import Rights, Send
from skylarkcart.limits._messages import Consent, Release, Renew
from skylarkcart.proof._fake_network import Schedule
from skylarkcart.types import InstanceId

GROUP_SPACE = "accounts"
GROUP = 0
TICK_INTERVAL_MS = 50.0
DEFAULT_DELAY_MS = 0.15


class RightsHarness:
    """Delivers messages between members; checks that at most one holds the right.

    ``delays`` maps (sender, receiver) to a delay in ms; None drops the messages.
    """

    def __init__(self, *, groups: int = GROUP + 1) -> None:
        self.schedule = Schedule()
        self.sent_messages = 0
        self._group_count = groups
        self.rights: dict[InstanceId, Rights] = {}
        self.delays: dict[tuple[str, str], float | None] = {}
        self._paused_until: dict[InstanceId, float] = {}
        self._started_processes = 0

    @property
    def now(self) -> Millis:
        return Millis(self.schedule.now)

    def start(
        self, name: str, *, known_members: str = "", is_introduced: bool = True
    ) -> Rights:
        """Starts or restarts a member that knows the members in ``known_members``.

        Each letter of ``known_members`` is the name of a member.
        """
        self._started_processes += 1
        rights = Rights(
            instance=InstanceId(name),
            incarnation=str(self._started_processes),
            space=GROUP_SPACE,
            groups=self._group_count,
            now=self.now,
        )
        rights.observe_members(
            [InstanceId(member) for member in known_members], self.now
        )
        if is_introduced:
            rights.note_introduced()
        self.rights[InstanceId(name)] = rights
        self._tick(InstanceId(name), rights)
        return rights

    def stop(self, name: str) -> None:
        del self.rights[InstanceId(name)]

    def pause(self, name: str, duration_ms: float) -> None:
        self._paused_until[InstanceId(name)] = self.schedule.now + duration_ms

    def run(self, duration_ms: float) -> None:
        self.schedule.run_until(self.schedule.now + duration_ms)

    def holds(self, name: str) -> bool:
        rights = self.rights.get(InstanceId(name))
        is_paused = self.schedule.now < self._paused_until.get(InstanceId(name), 0)
        return rights is not None and not is_paused and rights.holds(GROUP, self.now)

    def _check_single_holder(self) -> None:
        holders = [name for name in self.rights if self.holds(name)]
        check(
            len(holders) <= 1,
            Invariant.RATE_LIMIT,
            f"{holders} hold the right at {self.schedule.now} ms",
        )

    def _tick(self, name: InstanceId, rights: Rights) -> None:
        if self.rights.get(name) is not rights:
            return
        resumes_at = self._paused_until.get(name, 0)
        if self.schedule.now < resumes_at:
            self.schedule.run_at(
                resumes_at, functools.partial(self._tick, name, rights)
            )
            return
        self._send(name, rights.tick(self.now))
        self._check_single_holder()
        self.schedule.run_after(
            TICK_INTERVAL_MS, functools.partial(self._tick, name, rights)
        )

    def _send(self, sender: InstanceId, sends: list[Send]) -> None:
        self.sent_messages += len(sends)
        for send in sends:
            delay_ms = self.delays.get((sender, send.to), DEFAULT_DELAY_MS)
            if delay_ms is not None:
                receive = functools.partial(self._receive, sender, send)
                self.schedule.run_after(delay_ms, receive)

    def _receive(self, sender: InstanceId, send: Send) -> None:
        rights = self.rights.get(send.to)
        if rights is None:
            return
        resumes_at = self._paused_until.get(send.to, 0)
        if self.schedule.now < resumes_at:
            receive = functools.partial(self._receive, sender, send)
            self.schedule.run_at(resumes_at + TICK_INTERVAL_MS / 10, receive)
            return
        self._handle(rights, sender, send)
        self._check_single_holder()

    def _handle(self, rights: Rights, sender: InstanceId, send: Send) -> None:
        match send.message:
            case Renew():
                sends, consent = rights.handle_renew(sender, send.message, self.now)
                self._send(send.to, [*sends, Send(to=sender, message=consent)])
            case Consent():
                self._send(
                    send.to, rights.handle_consent(sender, send.message, self.now)
                )
            case Release():
                self._send(
                    send.to, rights.handle_release(sender, send.message, self.now)
                )
