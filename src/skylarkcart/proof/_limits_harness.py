"""Test harness for the rights of a few members of one zone."""

from __future__ import annotations

import functools

from skylarkcart.clock import Millis
from skylarkcart.invariants import Invariant, check
from skylarkcart.limits import OutgoingMessage, Rights
from skylarkcart.limits._messages import ConsentResponse, ReleaseNotice, RenewalRequest
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
            rights.record_introduced()
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

    def _send(
        self, sender: InstanceId, outgoing_messages: list[OutgoingMessage]
    ) -> None:
        self.sent_messages += len(outgoing_messages)
        for outgoing_message in outgoing_messages:
            delay_ms = self.delays.get((sender, outgoing_message.to), DEFAULT_DELAY_MS)
            if delay_ms is not None:
                receive = functools.partial(self._receive, sender, outgoing_message)
                self.schedule.run_after(delay_ms, receive)

    def _receive(self, sender: InstanceId, outgoing_message: OutgoingMessage) -> None:
        rights = self.rights.get(outgoing_message.to)
        if rights is None:
            return
        resumes_at = self._paused_until.get(outgoing_message.to, 0)
        if self.schedule.now < resumes_at:
            receive = functools.partial(self._receive, sender, outgoing_message)
            self.schedule.run_at(resumes_at + TICK_INTERVAL_MS / 10, receive)
            return
        self._handle(rights, sender, outgoing_message)
        self._check_single_holder()

    def _handle(
        self, rights: Rights, sender: InstanceId, outgoing_message: OutgoingMessage
    ) -> None:
        match outgoing_message.message:
            case RenewalRequest():
                outgoing_messages, consent = rights.handle_renew(
                    sender, outgoing_message.message, self.now
                )
                self._send(
                    outgoing_message.to,
                    [*outgoing_messages, OutgoingMessage(to=sender, message=consent)],
                )
            case ConsentResponse():
                self._send(
                    outgoing_message.to,
                    rights.handle_consent(sender, outgoing_message.message, self.now),
                )
            case ReleaseNotice():
                self._send(
                    outgoing_message.to,
                    rights.handle_release(sender, outgoing_message.message, self.now),
                )
