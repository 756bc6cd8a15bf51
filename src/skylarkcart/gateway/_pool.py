"""Connections to upstreams and the calls on them."""

from __future__ import annotations

import asyncio
import collections
import itertools
from collections.abc import Callable

import msgspec

from skylarkcart.clock import Clock, Millis
from skylarkcart.exchange import UpstreamAnswer
from skylarkcart.gateway._upstream_connection import UpstreamConnection
from skylarkcart.replicas import Access, CallEnd, Replica
from skylarkcart.types import UpstreamId
from skylarkcart.verdict import RunVerdict

MILLISECONDS_PER_SECOND = 1000.0

# A connection that is not made by then is given up; the platform's callers allow as
# much for theirs.
CONNECT_TIMEOUT_S = 1.0

# An abandoned call that ends within this time leaves its connection usable; the
# platform allows an upstream half a second of work after its caller has gone.
ABANDONED_LINGER_S = 0.3

# An upstream stops work at the deadline that it was given; this is longer than any.
UNREPEATABLE_LINGER_S = 30.0

# Where an upstream states no time, a connection idle for longer may have been
# forgotten by it.
MAX_IDLE_MS = 8_000.0

# A non-idempotent request can't be repeated after a reset, so that it takes only a
# connection that was used just before.
MAX_IDLE_UNREPEATABLE_MS = 1_000.0

# An upstream closes an idle connection after the time that it states; the request and
# its delay need some of it.
IDLE_TIMEOUT_MARGIN_MS = 800.0


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """How a call ended, with its answer if there is a whole one."""

    end: CallEnd
    verdict: RunVerdict
    answer: UpstreamAnswer | None = None


CallHandler = Callable[["Call", CallResult], None]


class Call:
    """One request to one upstream, from its choice to its end."""

    def __init__(
        self,
        *,
        number: int,
        replica: Replica,
        data: bytes,
        request_id: bytes,
        is_repeatable: bool,
        started_at: Millis,
        on_end: CallHandler,
    ) -> None:
        self.number = number
        self.replica = replica
        self.data = data
        self.request_id = request_id
        self.is_repeatable = is_repeatable
        self.started_at = started_at
        self.on_end = on_end
        self.connection: UpstreamConnection | None = None
        self.is_ended = False

    @property
    def upstream(self) -> UpstreamId:
        return self.replica.entry.upstream

    @property
    def is_sent(self) -> bool:
        return self.connection is not None


class _Idle(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """An open connection without a call."""

    connection: UpstreamConnection
    replica: Replica
    since: Millis


class _UpstreamSockets:
    """The connections to one upstream."""

    def __init__(self) -> None:
        self.idle: collections.deque[_Idle] = collections.deque()
        self.busy: dict[UpstreamConnection, Call] = {}
        self.connecting = 0
        self.waiting: collections.deque[Call] = collections.deque()

    @property
    def total(self) -> int:
        return len(self.idle) + len(self.busy) + self.connecting


class UpstreamPool:
    """Keeps connections open within this instance's part of the limit."""

    def __init__(
        self,
        *,
        clock: Clock,
        get_limit: Callable[[Replica], int],
        on_open: Callable[[], None],
        on_connected: Callable[[Replica, float], None],
    ) -> None:
        self._clock = clock
        self._on_connected = on_connected
        self._on_open = on_open
        self._get_limit = get_limit
        self._sockets: dict[UpstreamId, _UpstreamSockets] = {}
        self._numbers = itertools.count(1)
        self._connects: set[asyncio.Task[None]] = set()

    def call(
        self,
        replica: Replica,
        data: bytes,
        *,
        request_id: bytes,
        is_repeatable: bool,
        usual_ms: float,
        on_end: CallHandler,
    ) -> Call:
        """Sends a request once a connection is free; ``on_end`` is called once."""
        now = self._clock.now()
        call = Call(
            number=next(self._numbers),
            replica=replica,
            data=data,
            request_id=request_id,
            is_repeatable=is_repeatable,
            started_at=now,
            on_end=on_end,
        )
        replica.begin_call(call.number, now=now, usual_ms=usual_ms)
        sockets = self._sockets.setdefault(call.upstream, _UpstreamSockets())
        connection = self._take_idle(sockets, call, now)
        if connection is not None:
            self._send(sockets, connection, call)
            return call
        sockets.waiting.append(call)
        self._open_if_needed(replica, sockets)
        return call

    def abandon(self, call: Call) -> None:
        """Ends a call whose answer is of no more use.

        A call that was sent keeps its connection for a short time, as its answer
        probably arrives within it and the connection stays usable.
        """
        if call.is_ended:
            return
        call.is_ended = True
        if call.connection is None:
            self._sockets[call.upstream].waiting.remove(call)
            call.replica.end_call(call.number, CallEnd.ABANDONED, now=self._clock.now())
            return
        # A non-idempotent request that was sent is left to run to its end, so that its
        # effect is not cut in the middle.
        linger_s = ABANDONED_LINGER_S if call.is_repeatable else UNREPEATABLE_LINGER_S
        loop = asyncio.get_running_loop()
        loop.call_later(linger_s, self._close_abandoned, call)

    def get_access(self, replica: Replica) -> Access:
        """Tells whether a call finds a connection, or would have to wait for one."""
        sockets = self._sockets.get(replica.entry.upstream)
        if sockets is not None and sockets.idle:
            return Access.CONNECTED
        if replica.is_crowded(self._clock.now()):
            return Access.FULL
        if sockets is None or sockets.total < self._get_limit(replica):
            return Access.UNCONNECTED
        return Access.FULL

    def has_connection(self, replica: Replica) -> bool:
        """Whether a connection is open or being opened."""
        sockets = self._sockets.get(replica.entry.upstream)
        return sockets is not None and sockets.total > 0

    def open_ahead(self, replica: Replica) -> None:
        """Opens a first connection, so that no call has to wait for it."""
        sockets = self._sockets.setdefault(replica.entry.upstream, _UpstreamSockets())
        if sockets.total == 0:
            self._open(replica, sockets)

    def probe(self, replica: Replica) -> None:
        """Tries a connection to an upstream that was unreachable."""
        sockets = self._sockets.setdefault(replica.entry.upstream, _UpstreamSockets())
        if sockets.connecting == 0:
            self._open(replica, sockets)

    def drop(self, upstream: UpstreamId) -> None:
        """Closes the idle connections of an upstream that gets no more work."""
        sockets = self._sockets.get(upstream)
        if sockets is None:
            return
        while sockets.idle:
            sockets.idle.pop().connection.close()
        if sockets.total == 0 and not sockets.waiting:
            del self._sockets[upstream]

    def close_idle(self, now: Millis) -> None:
        """Closes connections that were idle for too long to be trusted."""
        for upstream, sockets in list(self._sockets.items()):
            while sockets.idle:
                idle = sockets.idle[0]
                if now - idle.since <= _get_max_idle_ms(idle.connection):
                    break
                sockets.idle.popleft()
                idle.connection.close()
            if sockets.total == 0 and not sockets.waiting:
                del self._sockets[upstream]

    def _take_idle(
        self, sockets: _UpstreamSockets, call: Call, now: Millis
    ) -> UpstreamConnection | None:
        while sockets.idle:
            idle = sockets.idle.pop()
            limit_ms = _get_max_idle_ms(idle.connection)
            if not call.is_repeatable:
                limit_ms = min(limit_ms, MAX_IDLE_UNREPEATABLE_MS)
            if idle.connection.is_open and now - idle.since <= limit_ms:
                return idle.connection
            idle.connection.close()
        return None

    def _open_if_needed(self, replica: Replica, sockets: _UpstreamSockets) -> None:
        if sockets.connecting >= len(sockets.waiting):
            return
        if sockets.total < self._get_limit(replica):
            self._open(replica, sockets)

    def _open(self, replica: Replica, sockets: _UpstreamSockets) -> None:
        sockets.connecting += 1
        self._on_open()
        task = asyncio.get_running_loop().create_task(self._connect(replica, sockets))
        self._connects.add(task)
        task.add_done_callback(self._connects.discard)

    async def _connect(self, replica: Replica, sockets: _UpstreamSockets) -> None:
        loop = asyncio.get_running_loop()
        address = replica.entry.address
        started_at = self._clock.now()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        on_answer=self._handle_answer, on_loss=self._handle_loss
                    ),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError):
            sockets.connecting -= 1
            replica.note_unconnected(self._clock.now())
            self._fail_waiting(replica, sockets)
            return
        sockets.connecting -= 1
        connection.upstream = replica.entry.upstream
        if not connection.is_open:
            # The upstream has as many connections as it accepts.
            replica.note_reset(self._clock.now())
            self._fail_waiting(replica, sockets)
            return
        self._on_connected(replica, self._clock.now() - started_at)
        self._put_idle(replica, sockets, connection)

    def _fail_waiting(self, replica: Replica, sockets: _UpstreamSockets) -> None:
        if sockets.idle or sockets.busy:
            return
        waiting = list(sockets.waiting)
        sockets.waiting.clear()
        result = CallResult(end=CallEnd.REFUSED_CONNECTION, verdict=RunVerdict.NOT_RUN)
        for call in waiting:
            self._end(call, result)

    def _put_idle(
        self,
        replica: Replica,
        sockets: _UpstreamSockets,
        connection: UpstreamConnection,
    ) -> None:
        if sockets.waiting:
            self._send(sockets, connection, sockets.waiting.popleft())
            return
        idle = _Idle(connection=connection, replica=replica, since=self._clock.now())
        sockets.idle.append(idle)

    def _send(
        self, sockets: _UpstreamSockets, connection: UpstreamConnection, call: Call
    ) -> None:
        call.connection = connection
        sockets.busy[connection] = call
        connection.send(call.data, request_id=call.request_id)

    def _handle_answer(
        self, connection: UpstreamConnection, answer: UpstreamAnswer
    ) -> None:
        sockets = self._sockets.get(connection.upstream)
        call = None if sockets is None else sockets.busy.pop(connection, None)
        if call is None:
            connection.close()
            return
        if connection.is_reusable and connection.is_open:
            self._put_idle(call.replica, sockets, connection)
        else:
            # Closed once the parser has returned; a call that waits needs another.
            asyncio.get_running_loop().call_soon(connection.close)
            self._open_if_needed(call.replica, sockets)
        self._end(call, _judge_answer(answer))

    def _handle_loss(self, connection: UpstreamConnection) -> None:
        sockets = self._sockets.get(connection.upstream)
        if sockets is None:
            return
        for idle in list(sockets.idle):
            if idle.connection is connection:
                sockets.idle.remove(idle)
                if not connection.is_used:
                    idle.replica.note_reset(self._clock.now())
        call = sockets.busy.pop(connection, None)
        if call is None:
            return
        self._open_if_needed(call.replica, sockets)
        self._end(call, CallResult(end=CallEnd.LOST, verdict=RunVerdict.MAY_HAVE_RUN))

    def _close_abandoned(self, call: Call) -> None:
        sockets = self._sockets.get(call.upstream)
        connection = call.connection
        if sockets is None or sockets.busy.get(connection) is not call:
            return
        del sockets.busy[connection]
        connection.close()
        # Whatever paused for a moment has answered by now.
        call.replica.end_call(call.number, CallEnd.SILENT, now=self._clock.now())
        self._open_if_needed(call.replica, sockets)

    def _end(self, call: Call, result: CallResult) -> None:
        load = None if result.answer is None else result.answer.load
        now = self._clock.now()
        call.replica.end_call(call.number, result.end, now=now, load=load)
        if not call.is_ended:
            call.is_ended = True
            call.on_end(call, result)


def _judge_answer(answer: UpstreamAnswer) -> CallResult:
    if answer.is_misdirected:
        end, verdict = CallEnd.MISDIRECTED, RunVerdict.NOT_RUN
    elif answer.is_not_run:
        end, verdict = CallEnd.SHED, RunVerdict.NOT_RUN
    elif answer.is_success:
        end, verdict = CallEnd.ANSWERED, RunVerdict.RAN
    else:
        end, verdict = CallEnd.FAILED, RunVerdict.RAN
    return CallResult(end=end, verdict=verdict, answer=answer)


def _get_max_idle_ms(connection: UpstreamConnection) -> float:
    if connection.idle_timeout_s is None:
        return MAX_IDLE_MS
    stated_ms = connection.idle_timeout_s * MILLISECONDS_PER_SECOND
    return max(0.0, stated_ms - IDLE_TIMEOUT_MARGIN_MS)
