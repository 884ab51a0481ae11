"""Serve calls to plain services, some of which must not be repeated."""

from urllib.parse import quote

import structlog

from sesameknot.errors import RequestError, RouterError
from sesameknot.router._pipeline import Pipeline
from sesameknot.router.attempts import Failure
from sesameknot.router.call import (
    NOT_RUN,
    AnswerSink,
    Call,
    CallHeaders,
    StoredAnswer,
)
from sesameknot.router.caller_handlers import ServiceRequest
from sesameknot.router.catalogue import Service
from sesameknot.router.endpoint_picker import Picked, Target
from sesameknot.router.keyed import replay
from sesameknot.transport.endpoint_client import (
    EndpointAnswer,
    EndpointCall,
    EndpointStatusError,
)

BODYLESS_METHODS = ("GET", "HEAD")
# Gateways in front of a service answer these for a back end that is away.
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
            If the request is refused, failed, or its fate is unknown.
        """
        target = f"{request.method} /services/{request.service}{request.path}"
        call = self._gate.open(headers, target, request.body)
        service = self._service(call, request.service)
        idempotent = request.method in service.settings.idempotent_methods
        stored = await self._keyed.begin(call, idempotent=idempotent)
        if stored is not None:
            await replay(stored, sink)
            return
        try:
            answer, picked = await self._run(call, request, service, idempotent)
        except BaseException:
            await self._keyed.fail(call)
            if call.sent and not idempotent:
                await self._billing.record_unknown_outcome(
                    call, service=request.service
                )
            raise
        await self._complete(call, service, answer, picked, sink)

    def _service(self, call: Call, name: str) -> Service:
        service = self._catalogue.current.services.get(name)
        permitted = name in call.customer.settings.services
        if service is None or service.team != call.team or not permitted:
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
    ) -> tuple[EndpointAnswer, Picked]:
        self._rules.first_attempt()
        target = Target(
            name=f"{service.team}/{service.settings.name}",
            endpoint_ids=lambda: self._catalogue.current.endpoint_ids_by_service.get(
                service.settings.name, []
            ),
        )
        self._gate.admit(call, self._picker.estimate(target))
        while True:
            picked = await self._picker.pick(
                call, target, suspected=self._rules.suspected(call)
            )
            started_s = self._clock.monotonic_s()
            result = await self._attempt(call, request, picked, idempotent)
            self._picker.slot_freed(target.name)
            if isinstance(result, EndpointAnswer):
                self._picker.observe(target.name, self._clock.monotonic_s() - started_s)
                return result, picked
            final = result.may_have_run and not idempotent
            if final or not self._rules.may_retry(call, result):
                raise self._rules.exhausted(call, result)

    async def _attempt(
        self, call: Call, request: ServiceRequest, picked: Picked, idempotent: bool
    ) -> EndpointAnswer | Failure:
        sent_before = call.sent
        call.tried_endpoint_ids.append(picked.endpoint.endpoint_id)
        log.info(
            "route",
            request_id=call.request_id,
            customer=call.customer_name,
            service=request.service,
            method=request.method,
            endpoint=picked.endpoint.endpoint_id,
            domain=picked.endpoint.domain,
            attempt=len(call.tried_endpoint_ids),
        )
        try:
            answer = await self._client.call(self._endpoint_call(call, request, picked))
            if answer.refused or (idempotent and answer.status in RETRIED_STATUSES):
                raise EndpointStatusError(answer, peer=picked.endpoint.url)
        except RouterError as error:
            return await self._failed(call, picked, error, sent_before=sent_before)
        except BaseException:
            picked.slot.release()
            raise
        picked.slot.release()
        return answer

    def _endpoint_call(
        self, call: Call, request: ServiceRequest, picked: Picked
    ) -> EndpointCall:
        headers = {
            "X-Request-Id": call.request_id,
            "X-Customer": call.customer_name,
        }
        if call.key:
            headers["Idempotency-Key"] = call.key
        if request.content_type:
            headers["Content-Type"] = request.content_type
        bodyless = request.method in BODYLESS_METHODS
        return EndpointCall(
            url=picked.endpoint.url,
            path=quote(request.path, safe="/?&=%+,:;@!$'()*~-._"),
            method=request.method,
            headers=headers,
            body=None if bodyless else request.body,
            limits=self._rules.limits(call),
            before_send=self._rules.before_send(call, picked, lambda: True),
        )

    async def _complete(
        self,
        call: Call,
        service: Service,
        answer: EndpointAnswer,
        picked: Picked,
        sink: AnswerSink,
    ) -> None:
        endpoint_id = picked.endpoint.endpoint_id
        failed = answer.status >= SERVER_ERROR_STATUS
        price = 0 if failed else service.settings.price_microunits
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
            cost_microunits=price,
            service=service.settings.name,
        )
        # The answer is settled before it is sent: a caller that lost it and asks
        # again must find it even if this host dies now.
        await self._keyed.finish(call, stored)
        name = service.settings.name
        self._traffic.count_request(service.team, name, "", call.customer_name)
        self._traffic.count_cost(service.team, name, "", price)
        sink.start(stored.status, stored.headers)
        await sink.write(stored.body)
