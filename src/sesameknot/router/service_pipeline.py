"""Serve calls to plain services, idempotent ones and others."""

from urllib.parse import quote

import structlog

from sesameknot.errors import RequestError, RouterError
from sesameknot.router._pipeline import Pipeline
from sesameknot.router.attempts import AttemptFailure
from sesameknot.router.call import (
    NOT_RUN,
    AnswerSink,
    Call,
    CallHeaders,
    StoredAnswer,
)
from sesameknot.router.caller_handlers import ServiceRequest
from sesameknot.router.catalogue import Service
from sesameknot.router.endpoint_picker import EndpointQuery, PickedEndpoint
from sesameknot.router.idempotency import replay
from sesameknot.transport.endpoint_client import (
    EndpointAnswer,
    EndpointCall,
    EndpointStatusError,
)

BODYLESS_METHODS = ("GET", "HEAD")
# Gateways in front of a service answer these if its back end is unavailable.
RETRIED_STATUSES = (502, 503, 504)
SERVER_ERROR_STATUS = 500

log = structlog.get_logger(__name__)


class ServicePipeline(Pipeline):
    """Serve requests to plain services."""

    async def serve(
        self, headers: CallHeaders, request: ServiceRequest, sink: AnswerSink
    ) -> None:
        """Serve one request.

        Raises
        ------
        RequestError
            If the request was refused or failed, or its outcome is unknown.
        """
        request_target = f"{request.method} /services/{request.service}{request.path}"
        call = self._gate.authorise(headers, request_target, request.body)
        service = self._permitted_service(call, request.service)
        idempotent = request.method in service.settings.idempotent_methods
        stored = await self._idempotency_keys.claim(call, idempotent=idempotent)
        if stored is not None:
            await replay(stored, sink)
            return
        try:
            answer, picked = await self._run(call, request, service, idempotent)
        except BaseException:
            await self._idempotency_keys.settle_failed(call)
            if call.may_have_run and not idempotent:
                await self._billing.record_unknown_outcome(
                    call, service=request.service
                )
            raise
        await self._complete(call, service, answer, picked, sink)

    def _permitted_service(self, call: Call, name: str) -> Service:
        service = self._catalogue.current.services.get(name)
        is_permitted = name in call.customer.settings.services
        if service is None or service.team != call.team or not is_permitted:
            raise RequestError(
                f"customer may not use service {name!r}",
                status=403,
                outcome=NOT_RUN,
                error_type="not-allowed",
                step="choose_service",
            )
        return service

    async def _run(
        self, call: Call, request: ServiceRequest, service: Service, idempotent: bool
    ) -> tuple[EndpointAnswer, PickedEndpoint]:
        self._rules.record_request()
        query = EndpointQuery(
            pool_name=f"{service.team}/{service.settings.name}",
            endpoint_ids=lambda: self._catalogue.current.endpoint_ids_by_service.get(
                service.settings.name, []
            ),
        )
        self._gate.admit(call, self._picker.estimate(query))
        while True:
            picked = await self._picker.pick(
                call, query, crash_suspect=self._rules.is_crash_suspect(call)
            )
            started_s = self._clock.monotonic_s()
            result = await self._attempt(call, request, picked, idempotent)
            self._picker.slot_freed(query.pool_name)
            if isinstance(result, EndpointAnswer):
                self._picker.observe(
                    query.pool_name, self._clock.monotonic_s() - started_s
                )
                return result, picked
            must_not_repeat = result.may_have_run and not idempotent
            if must_not_repeat or not self._rules.may_retry(call, result):
                raise self._rules.final_error(call, result)

    async def _attempt(
        self,
        call: Call,
        request: ServiceRequest,
        picked: PickedEndpoint,
        idempotent: bool,
    ) -> EndpointAnswer | AttemptFailure:
        may_have_run_before = call.may_have_run
        call.tried_incarnation_ids.append(picked.endpoint.endpoint_id)
        log.info(
            "route",
            request_id=call.request_id,
            customer=call.customer_name,
            service=request.service,
            method=request.method,
            endpoint=picked.endpoint.endpoint_id,
            domain=picked.endpoint.domain,
            attempt=len(call.tried_incarnation_ids),
        )
        try:
            answer = await self._client.call(self._endpoint_call(call, request, picked))
            if answer.refused or (idempotent and answer.status in RETRIED_STATUSES):
                raise EndpointStatusError(answer, peer=picked.endpoint.url)
        except RouterError as error:
            return await self._handle_failure(
                call, picked, error, may_have_run_before=may_have_run_before
            )
        except BaseException:
            picked.slot.release()
            raise
        picked.slot.release()
        return answer

    def _endpoint_call(
        self, call: Call, request: ServiceRequest, picked: PickedEndpoint
    ) -> EndpointCall:
        headers = {
            "X-Request-Id": call.request_id,
            "X-Customer": call.customer_name,
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        if request.content_type:
            headers["Content-Type"] = request.content_type
        is_bodyless = request.method in BODYLESS_METHODS
        return EndpointCall(
            url=picked.endpoint.url,
            path=quote(request.path, safe="/?&=%+,:;@!$'()*~-._"),
            method=request.method,
            headers=headers,
            body=None if is_bodyless else request.body,
            limits=self._rules.limits(call),
            before_send=self._rules.before_send(call, picked, lambda: True),
        )

    async def _complete(
        self,
        call: Call,
        service: Service,
        answer: EndpointAnswer,
        picked: PickedEndpoint,
        sink: AnswerSink,
    ) -> None:
        endpoint_id = picked.endpoint.endpoint_id
        is_server_error = answer.status >= SERVER_ERROR_STATUS
        price_microunits = 0 if is_server_error else service.settings.price_microunits
        stored = StoredAnswer(
            fingerprint=call.fingerprint,
            status=answer.status,
            headers={
                "Content-Type": answer.headers.get("Content-Type", "text/plain"),
                "X-Request-Id": call.request_id,
                "X-Endpoint": endpoint_id,
            },
            body=answer.body,
        )
        await self._billing.record_answer(
            call,
            endpoint_id=endpoint_id,
            cost_microunits=price_microunits,
            service=service.settings.name,
        )
        # The claim is settled before the answer is sent: a caller that loses the answer
        # and repeats its request must get it even if this host crashes now.
        await self._idempotency_keys.store_answer(call, stored)
        name = service.settings.name
        self._traffic.count_request(service.team, name, "", call.customer_name)
        self._traffic.count_cost(service.team, name, "", price_microunits)
        sink.start(stored.status, stored.headers)
        await sink.write(stored.body)
