"""Entry point for callers' requests."""

from __future__ import annotations

from skylarkcart.clock import Clock, Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.gateway._admission import Refusal, admit
from skylarkcart.gateway._caller_service import Exchange, ResponseWriter
from skylarkcart.gateway._completion import STATUS_INTERNAL_ERROR, RequestCompletion
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._gather import GatherExchange
from skylarkcart.gateway._relay import RelayExchange
from skylarkcart.published import CallerLimits
from skylarkcart.verdict import RunVerdict


class RequestService:
    """Admits requests and starts their calls to upstreams."""

    def __init__(self, *, core: Core) -> None:
        self._core = core
        self.clock: Clock = core.clock
        self.account = core.caller_account

    def get_caller_limits(self) -> CallerLimits:
        return self._core.caller_limits

    def closes_connections(self) -> bool:
        return self._core.closes_connections

    def record_rejection(self, reason: str, status: int) -> None:
        """Records a request that was rejected before it was read completely."""
        self._core.metrics.requests.labels("", "rejected").inc()
        self._core.metrics.caller_rejections.labels(reason).inc()
        self._core.log_warning("request_rejected", reason=reason, status=status)

    def record_closing(self, reason: str) -> None:
        """Records that a connection was closed while no request was in progress."""
        self._core.metrics.caller_rejections.labels(reason).inc()
        self._core.log_warning("connection_closed", reason=reason)

    def handle(
        self, connection: ResponseWriter, request: CallerRequest, arrived_at: Millis
    ) -> Exchange | None:
        """Starts a request; returns None if it was refused.

        An unexpected error ends only this request.
        """
        core = self._core
        core.lifecycle.begin_request(arrived_at)
        completion = RequestCompletion(
            core=core, connection=connection, request=request, arrived_at=arrived_at
        )
        try:
            return self._start(connection, completion)
        except Exception as error:
            core.record_error("request", error, request=completion.request_text)
            # Calls may have been sent before the error.
            completion.send_error(
                STATUS_INTERNAL_ERROR,
                "internal_error",
                verdict=RunVerdict.MAY_HAVE_RUN,
            )
            return None

    def _start(
        self, connection: ResponseWriter, completion: RequestCompletion
    ) -> Exchange | None:
        core = self._core
        admission = admit(
            core,
            completion.request,
            arrived_at=completion.arrived_at,
            now=core.now,
            is_on_new_connection=connection.is_new(completion.arrived_at),
        )
        if isinstance(admission, Refusal):
            completion.send_error(
                admission.status,
                admission.reason,
                verdict=RunVerdict.NOT_RUN,
                retry_after_ms=admission.retry_after_ms,
                facts=admission.facts,
            )
            return None
        route = admission.route
        completion.route_name = route.name
        core.record_request(route, completion.arrived_at)
        exchange: GatherExchange | RelayExchange
        if route.gathering is not None:
            completion.kind = "gather"
            exchange = GatherExchange(
                core=core,
                completion=completion,
                route=route,
                account=admission.account,
                deadlines=admission.deadlines,
            )
        else:
            completion.kind = "relay"
            exchange = RelayExchange(
                core=core,
                completion=completion,
                route=route,
                service=core.table.choose_service(route),
                account=admission.account,
                deadlines=admission.deadlines,
            )
        exchange.start()
        return exchange
