"""Entry point for callers' requests."""

from __future__ import annotations

from skylarkcart.admission import AdmissionRequest
from skylarkcart.clock import Clock, Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.gateway._admission import AdmittedRequest, Refusal, admit
from skylarkcart.gateway._caller_service import Exchange, ResponseWriter
from skylarkcart.gateway._completion import STATUS_INTERNAL_ERROR, RequestCompletion
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._gather import GatherExchange
from skylarkcart.gateway._relay import RelayExchange
from skylarkcart.gateway._room_gate import GatedRequest
from skylarkcart.published import CallerLimits
from skylarkcart.types import ServiceId
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
        if route.gathering is not None:
            services = route.gathering.shards
        else:
            services = (core.table.choose_service(route),)
        if not core.admission.is_reporting(services[0]):
            return self._start_calls(completion, admission, services)
        gated = GatedRequest(
            core=core,
            completion=completion,
            admitted=admission,
            services=services,
            caller=connection.peer_host,
            start=lambda left_out, room_request: self._start_calls(
                completion,
                admission,
                services,
                left_out=left_out,
                room_request=room_request,
            ),
        )
        return gated.begin()

    def _start_calls(
        self,
        completion: RequestCompletion,
        admitted: AdmittedRequest,
        services: tuple[ServiceId, ...],
        *,
        left_out: frozenset[ServiceId] = frozenset(),
        room_request: AdmissionRequest | None = None,
    ) -> Exchange:
        exchange: GatherExchange | RelayExchange
        if admitted.route.gathering is not None:
            completion.kind = "gather"
            exchange = GatherExchange(
                core=self._core,
                completion=completion,
                route=admitted.route,
                account=admitted.account,
                deadlines=admitted.deadlines,
            )
            exchange.left_out = left_out
        else:
            completion.kind = "relay"
            exchange = RelayExchange(
                core=self._core,
                completion=completion,
                route=admitted.route,
                service=services[0],
                account=admitted.account,
                deadlines=admitted.deadlines,
            )
        exchange.room_request = room_request
        exchange.start()
        return exchange
