"""Connection pool for calls to upstreams."""

from __future__ import annotations

import asyncio
import collections
import functools
import itertools
from collections.abc import Callable

import msgspec

from skylarkcart.clock import Clock, Millis
from skylarkcart.exchange import UpstreamResponse
from skylarkcart.gateway._receive_limits import ReceiveMemory
from skylarkcart.gateway._upstream_connection import UpstreamConnection
from skylarkcart.replicas import Access, CallEnd, Replica
from skylarkcart.types import UpstreamId
from skylarkcart.verdict import RunVerdict

MILLISECONDS_PER_SECOND = 1000.0

# The platform's callers use the same connect timeout.
CONNECT_TIMEOUT_S = 1.0

# An abandoned call that ends within this time leaves its connection reusable. The
# platform allows an upstream to work for half a second after its caller disconnects.
ABANDONED_CALL_LINGER_S = 0.3

# An upstream stops work at the request's deadline, which is always sooner than this.
NON_IDEMPOTENT_LINGER_S = 30.0

# Idle timeout for upstreams that state none; such an upstream may silently drop a
# connection that is idle for longer.
MAX_IDLE_MS = 8_000.0

# A non-idempotent request can't be retried after a reset, so it reuses only connections
# that were used recently.
MAX_IDLE_NON_IDEMPOTENT_MS = 1_000.0

# Subtracted from the idle timeout that an upstream states, so that a request still
# arrives before the upstream closes the connection.
IDLE_TIMEOUT_MARGIN_MS = 800.0


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """How a call ended, with its response if one arrived completely."""

    end: CallEnd
    verdict: RunVerdict
    response: UpstreamResponse | None = None


CallEndHandler = Callable[["Call", CallResult], None]


class Call:
    """One request to one upstream."""

    def __init__(
        self,
        *,
        call_id: int,
        replica: Replica,
        head: bytes,
        body: bytes,
        request_id: bytes,
        is_idempotent: bool,
        started_at: Millis,
        on_end: CallEndHandler,
    ) -> None:
        self.call_id = call_id
        self.replica = replica
        # Dropped when they are sent: an abandoned call may be kept for longer.
        self.head = head
        self.body = body
        self.request_id = request_id
        self.is_idempotent = is_idempotent
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


class _IdleConnection(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """An open connection without a call, idle since ``since``."""

    connection: UpstreamConnection
    replica: Replica
    since: Millis


class _UpstreamConnections:
    """The connections to one upstream."""

    def __init__(self) -> None:
        self.idle: collections.deque[_IdleConnection] = collections.deque()
        self.busy: dict[UpstreamConnection, Call] = {}
        self.connecting = 0
        self.waiting: collections.deque[Call] = collections.deque()

    @property
    def total(self) -> int:
        return len(self.idle) + len(self.busy) + self.connecting


class UpstreamPool:
    """Pools connections within this instance's share of the upstream limits."""

    def __init__(
        self,
        *,
        clock: Clock,
        get_limit: Callable[[Replica], int],
        on_open: Callable[[], None],
        on_connected: Callable[[Replica, float], None],
        memory: ReceiveMemory,
        on_rejected: Callable[[UpstreamId, str], None],
        on_notice: Callable[[Replica, UpstreamResponse], None],
        on_error: Callable[[UpstreamId, Exception], None],
    ) -> None:
        self._clock = clock
        self._on_notice = on_notice
        self._on_error = on_error
        self._memory = memory
        self._on_rejected = on_rejected
        self._on_connected = on_connected
        self._on_open = on_open
        self._get_limit = get_limit
        self._connections: dict[UpstreamId, _UpstreamConnections] = {}
        self._call_ids = itertools.count(1)
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def call(
        self,
        replica: Replica,
        head: bytes,
        *,
        body: bytes = b"",
        request_id: bytes,
        is_idempotent: bool,
        typical_ms: float,
        on_end: CallEndHandler,
    ) -> Call:
        """Sends a request as soon as a connection is free.

        ``on_end`` is called once, unless the call is abandoned.
        """
        now = self._clock.now()
        call = Call(
            call_id=next(self._call_ids),
            replica=replica,
            head=head,
            body=body,
            request_id=request_id,
            is_idempotent=is_idempotent,
            started_at=now,
            on_end=on_end,
        )
        replica.begin_call(call.call_id, now=now, typical_ms=typical_ms)
        connections = self._connections.setdefault(
            call.upstream, _UpstreamConnections()
        )
        connection = self._take_idle_connection(connections, call, now)
        if connection is not None:
            self._send(connections, connection, call)
            return call
        connections.waiting.append(call)
        self._open_if_needed(replica, connections)
        return call

    def abandon(self, call: Call) -> None:
        """Ends a call whose response is no longer needed.

        A call that was sent keeps its connection for a short time: its response
        probably arrives within that time, and the connection stays reusable. At a slow
        upstream, it is closed at once, so that calls that are still needed don't wait
        behind this one.
        """
        if call.is_ended:
            return
        call.is_ended = True
        now = self._clock.now()
        if call.connection is None:
            self._connections[call.upstream].waiting.remove(call)
            call.replica.end_call(call.call_id, CallEnd.ABANDONED, now=now)
            return
        if call.is_idempotent and call.replica.is_slow(now):
            self._close_abandoned(call, CallEnd.ABANDONED)
            return
        # A non-idempotent request that was sent may run to completion, so that it is
        # not interrupted between its effects.
        linger_s = (
            ABANDONED_CALL_LINGER_S if call.is_idempotent else NON_IDEMPOTENT_LINGER_S
        )
        loop = asyncio.get_running_loop()
        loop.call_later(linger_s, self._close_abandoned, call, CallEnd.TIMED_OUT)

    def get_access(self, replica: Replica) -> Access:
        """Returns whether a call would find an idle connection or have to wait."""
        connections = self._connections.get(replica.entry.upstream)
        if connections is not None and connections.idle:
            return Access.CONNECTED
        if replica.is_at_connection_limit(self._clock.now()):
            return Access.AT_CONNECTION_LIMIT
        if connections is None or connections.total < self._get_limit(replica):
            return Access.UNCONNECTED
        return Access.AT_CONNECTION_LIMIT

    def has_connection(self, replica: Replica) -> bool:
        """Whether a connection is open or opening."""
        connections = self._connections.get(replica.entry.upstream)
        return connections is not None and connections.total > 0

    def preconnect(self, replica: Replica) -> None:
        """Opens a first connection, so that no call has to wait for one."""
        connections = self._connections.setdefault(
            replica.entry.upstream, _UpstreamConnections()
        )
        if connections.total == 0:
            self._open(replica, connections)

    def probe(self, replica: Replica) -> None:
        """Opens a test connection to an unreachable upstream."""
        connections = self._connections.setdefault(
            replica.entry.upstream, _UpstreamConnections()
        )
        if connections.connecting == 0:
            self._open(replica, connections)

    def drop(self, upstream: UpstreamId) -> None:
        """Ends the use of an upstream that receives no more calls.

        Calls that wait for a connection to it end as not run, and its idle connections
        are closed. Calls that were sent go on.
        """
        connections = self._connections.get(upstream)
        if connections is None:
            return
        while connections.idle:
            connections.idle.pop().connection.close()
        self.release_waiting(upstream)
        if connections.total == 0 and not connections.waiting:
            self._connections.pop(upstream, None)

    def release_waiting(self, upstream: UpstreamId) -> None:
        """Ends, as not run, the calls that wait for an upstream that accepts none."""
        connections = self._connections.get(upstream)
        if connections is None:
            return
        now = self._clock.now()
        released = [
            call for call in connections.waiting if not call.replica.accepts_calls(now)
        ]
        result = CallResult(end=CallEnd.REFUSED_CONNECTION, verdict=RunVerdict.NOT_RUN)
        for call in released:
            # The end of one call may have abandoned another one.
            if not call.is_ended:
                connections.waiting.remove(call)
                self._finish_call(call, result)

    def close_idle(self, now: Millis) -> None:
        """Closes connections that the upstream may be about to close."""
        for upstream, connections in list(self._connections.items()):
            while connections.idle:
                idle = connections.idle[0]
                if now - idle.since <= _get_max_idle_ms(idle.connection):
                    break
                connections.idle.popleft()
                idle.connection.close()
            if connections.total == 0 and not connections.waiting:
                del self._connections[upstream]

    def _take_idle_connection(
        self, connections: _UpstreamConnections, call: Call, now: Millis
    ) -> UpstreamConnection | None:
        while connections.idle:
            idle = connections.idle.pop()
            limit_ms = _get_max_idle_ms(idle.connection)
            if not call.is_idempotent:
                limit_ms = min(limit_ms, MAX_IDLE_NON_IDEMPOTENT_MS)
            if idle.connection.is_open and now - idle.since <= limit_ms:
                return idle.connection
            idle.connection.close()
        return None

    def _open_if_needed(
        self, replica: Replica, connections: _UpstreamConnections
    ) -> None:
        if connections.connecting >= len(connections.waiting):
            return
        if connections.total < self._get_limit(replica):
            self._open(replica, connections)

    def _open(self, replica: Replica, connections: _UpstreamConnections) -> None:
        connections.connecting += 1
        self._on_open()
        task = asyncio.get_running_loop().create_task(
            self._connect(replica, connections)
        )
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect(
        self, replica: Replica, connections: _UpstreamConnections
    ) -> None:
        loop = asyncio.get_running_loop()
        address = replica.entry.address
        started_at = self._clock.now()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        on_response=self._handle_response,
                        on_connection_lost=self._handle_connection_lost,
                        memory=self._memory,
                        on_rejected=self._handle_rejection,
                        on_notice=functools.partial(self._on_notice, replica),
                    ),
                    address.host,
                    address.port,
                )
        except Exception as error:
            if not isinstance(error, (OSError, TimeoutError)):
                # An address of a peer's state may be one that can't be used at all.
                self._on_error(replica.entry.upstream, error)
            connections.connecting -= 1
            replica.record_connection_failure(self._clock.now())
            self._fail_waiting(replica, connections)
            return
        connections.connecting -= 1
        connection.upstream = replica.entry.upstream
        if not connection.is_open:
            # The upstream is at its connection limit and reset the new connection.
            replica.record_connection_reset(self._clock.now())
            self._fail_waiting(replica, connections)
            return
        self._on_connected(replica, self._clock.now() - started_at)
        self._release(replica, connections, connection)

    def _fail_waiting(
        self, replica: Replica, connections: _UpstreamConnections
    ) -> None:
        if connections.idle or connections.busy:
            return
        waiting = list(connections.waiting)
        connections.waiting.clear()
        result = CallResult(end=CallEnd.REFUSED_CONNECTION, verdict=RunVerdict.NOT_RUN)
        for call in waiting:
            self._finish_call(call, result)

    def _release(
        self,
        replica: Replica,
        connections: _UpstreamConnections,
        connection: UpstreamConnection,
    ) -> None:
        now = self._clock.now()
        if replica.is_retired:
            # Closed after the parser returns, as this may run in its callback.
            asyncio.get_running_loop().call_soon(connection.close)
            if connections.waiting:
                # They wait for a connection to the process that has replaced it.
                self._open_if_needed(connections.waiting[0].replica, connections)
            return
        if connections.waiting and replica.accepts_calls(now):
            self._send(connections, connection, connections.waiting.popleft())
            return
        idle = _IdleConnection(connection=connection, replica=replica, since=now)
        connections.idle.append(idle)

    def _send(
        self,
        connections: _UpstreamConnections,
        connection: UpstreamConnection,
        call: Call,
    ) -> None:
        call.connection = connection
        connections.busy[connection] = call
        connection.send(call.head, body=call.body, request_id=call.request_id)
        call.head = call.body = b""

    def _handle_response(
        self, connection: UpstreamConnection, response: UpstreamResponse
    ) -> None:
        connections = self._connections.get(connection.upstream)
        call = None if connections is None else connections.busy.pop(connection, None)
        if call is None:
            connection.close()
            return
        if connection.is_reusable and connection.is_open:
            self._release(call.replica, connections, connection)
        else:
            # Closed after the parser returns, as this runs in its callback. A waiting
            # call needs a new connection.
            asyncio.get_running_loop().call_soon(connection.close)
            self._open_if_needed(call.replica, connections)
        self._finish_call(call, _classify_response(response))

    def _handle_rejection(self, connection: UpstreamConnection, reason: str) -> None:
        self._on_rejected(connection.upstream, reason)

    def _handle_connection_lost(self, connection: UpstreamConnection) -> None:
        connections = self._connections.get(connection.upstream)
        if connections is None:
            return
        for idle in list(connections.idle):
            if idle.connection is connection:
                connections.idle.remove(idle)
                if not connection.has_sent_call:
                    idle.replica.record_connection_reset(self._clock.now())
        call = connections.busy.pop(connection, None)
        if call is None:
            return
        self._open_if_needed(call.replica, connections)
        self._finish_call(
            call,
            CallResult(end=CallEnd.CONNECTION_LOST, verdict=RunVerdict.MAY_HAVE_RUN),
        )

    def _close_abandoned(self, call: Call, end: CallEnd) -> None:
        connections = self._connections.get(call.upstream)
        connection = call.connection
        if connections is None or connections.busy.get(connection) is not call:
            return
        del connections.busy[connection]
        connection.close()
        # An upstream that only paused briefly would have responded within the linger.
        call.replica.end_call(call.call_id, end, now=self._clock.now())
        self._open_if_needed(call.replica, connections)

    def _finish_call(self, call: Call, result: CallResult) -> None:
        load = None if result.response is None else result.response.load
        now = self._clock.now()
        call.replica.end_call(call.call_id, result.end, now=now, load=load)
        if not call.is_ended:
            call.is_ended = True
            call.on_end(call, result)


def _classify_response(response: UpstreamResponse) -> CallResult:
    if response.is_misdirected:
        end, verdict = CallEnd.MISDIRECTED, RunVerdict.NOT_RUN
    elif response.is_marked_not_run:
        end, verdict = CallEnd.SHED, RunVerdict.NOT_RUN
    elif response.is_success:
        end, verdict = CallEnd.ANSWERED, RunVerdict.RAN
    else:
        end, verdict = CallEnd.FAILED, RunVerdict.RAN
    return CallResult(end=end, verdict=verdict, response=response)


def _get_max_idle_ms(connection: UpstreamConnection) -> float:
    if connection.idle_timeout_s is None:
        return MAX_IDLE_MS
    stated_ms = connection.idle_timeout_s * MILLISECONDS_PER_SECOND
    return max(0.0, stated_ms - IDLE_TIMEOUT_MARGIN_MS)
