"""Serve chat completions: choose, attempt, stream, resume and bill."""

import structlog

from sesameknot.coordination.grant_holder import GrantHolder, SlotOutcome
from sesameknot.errors import RequestError, RouterError, TransportError
from sesameknot.policy.endpoint_choice import RequestShape
from sesameknot.protocol.chat import ChatRequest, build_request, parse_request
from sesameknot.router._pipeline import Pipeline
from sesameknot.router.attempts import Failure
from sesameknot.router.bills import CANCELLED
from sesameknot.router.call import AnswerSink, Call, CallHeaders
from sesameknot.router.chat_answer import ChatAnswerWriter
from sesameknot.router.endpoint_picker import Picked, Target
from sesameknot.router.keyed import replay
from sesameknot.router.metrics import RouterMetrics
from sesameknot.router.parts import PipelineParts
from sesameknot.router.ratings import RatedAnswer, RatingClient
from sesameknot.router.version_picker import (
    DEFAULT_OUTPUT_TOKENS,
    ModelChoice,
    VersionPicker,
)
from sesameknot.settings.tree import ModelSettings
from sesameknot.transport.endpoint_client import EndpointCall

PATH = "/v1/chat/completions"

log = structlog.get_logger(__name__)


class CallerGoneError(RouterError):
    """The caller closed its connection before the answer was whole."""


class ChatPipeline(Pipeline):
    """Serve chat completion requests.

    Parameters
    ----------
    parts : PipelineParts
        Steps that all pipelines share.
    versions : VersionPicker
        Models and versions.
    grants : GrantHolder
        Learns load and first-token times.
    ratings : RatingClient
        Sends answers for rating.
    metrics : RouterMetrics
        Observes latency.
    """

    def __init__(
        self,
        parts: PipelineParts,
        *,
        versions: VersionPicker,
        grants: GrantHolder,
        ratings: RatingClient,
        metrics: RouterMetrics,
    ) -> None:
        super().__init__(parts)
        self._versions = versions
        self._grants = grants
        self._ratings = ratings
        self._metrics = metrics

    async def serve(self, headers: CallHeaders, body: bytes, sink: AnswerSink) -> None:
        """Serve one request.

        Raises
        ------
        RequestError
            If the request is refused or failed.
        TransportError
            If the caller left.
        """
        request = parse_request(body)
        call = self._gate.open(headers, PATH, body)
        stored = await self._keyed.begin(call, idempotent=True)
        if stored is not None:
            await replay(stored, sink)
            return
        writer = ChatAnswerWriter(
            call, request, sink, clock=self._clock, metrics=self._metrics
        )
        try:
            await self._run(call, request, writer)
        except BaseException:
            await self._keyed.fail(call)
            raise

    async def _run(
        self, call: Call, request: ChatRequest, writer: ChatAnswerWriter
    ) -> None:
        self._rules.first_attempt()
        models = self._versions.models(call, request)
        model = self._with_room(call, models)
        choice = await self._versions.version(call, model)
        target = self._target(call, request, choice)
        self._gate.admit(call, self._picker.estimate(target))
        while True:
            picked = await self._picker.pick(
                call, target, suspected=self._rules.suspected(call)
            )
            failure = await self._attempt(call, request, choice, picked, writer)
            if failure is None:
                return
            if not self._rules.may_retry(call, failure):
                raise self._rules.exhausted(call, failure)
            if not self._versions.still_usable(call, choice):
                choice = await self._replace_version(call, choice, writer)
                target = self._target(call, request, choice)

    def _with_room(self, call: Call, models: list[ModelSettings]) -> ModelSettings:
        """Return the first model that has a usable endpoint."""
        for model in models:
            if any(map(self._picker.usable, self._endpoint_ids(call, model.name))):
                return model
        return models[0]

    async def _replace_version(
        self, call: Call, choice: ModelChoice, writer: ChatAnswerWriter
    ) -> ModelChoice:
        if writer.token_count:
            # Another version would not continue the same text.
            raise RequestError(
                f"version {choice.name!r} was withdrawn during the answer",
                status=503,
                outcome=call.outcome_if_failed,
                error_type="version-withdrawn",
                step="resume",
            )
        return await self._versions.version(call, choice.settings)

    def _endpoint_ids(self, call: Call, model: str) -> list[str]:
        index = self._catalogue.current.endpoint_ids_by_model
        return index.get((call.team, model), [])

    def _target(self, call: Call, request: ChatRequest, choice: ModelChoice) -> Target:
        return Target(
            name=_target_name(call, choice),
            endpoint_ids=lambda: self._endpoint_ids(call, choice.settings.name),
            version=choice.name,
            shape=RequestShape(
                prompt_tokens=int(request.estimated_prompt_tokens),
                output_tokens=request.max_tokens or DEFAULT_OUTPUT_TOKENS,
                priority=call.priority,
            ),
            prefix_hashes=request.prefix_hashes(),
        )

    async def _attempt(
        self,
        call: Call,
        request: ChatRequest,
        choice: ModelChoice,
        picked: Picked,
        writer: ChatAnswerWriter,
    ) -> Failure | None:
        """Make one attempt; return its failure, or None once the caller has it all."""
        endpoint_id = picked.endpoint.endpoint_id
        sent_before = call.sent
        call.tried_endpoint_ids.append(endpoint_id)
        writer.set_route(choice.name, _answer_headers(call, choice, endpoint_id))
        self._log_route(call, choice, picked, writer.token_count)
        try:
            await self._stream(call, request, choice, picked, writer)
        except CallerGoneError as error:
            picked.slot.release(SlotOutcome.CANCELLED)
            await self._bill(call, choice, endpoint_id, writer, outcome=CANCELLED)
            raise TransportError(error.message, step="answer") from error
        except RouterError as error:
            failure = await self._failed(call, picked, error, sent_before=sent_before)
            self._picker.slot_freed(_target_name(call, choice))
            if failure.may_have_run:
                self._traffic.count_error(
                    call.team, choice.settings.name, choice.version
                )
            return failure
        except BaseException:
            picked.slot.release(SlotOutcome.CANCELLED)
            raise
        picked.slot.release()
        self._picker.slot_freed(_target_name(call, choice))
        await self._complete(call, choice, endpoint_id, writer)
        return None

    def _log_route(
        self, call: Call, choice: ModelChoice, picked: Picked, offset: int
    ) -> None:
        log.info(
            "route",
            request_id=call.request_id,
            customer=call.customer_name,
            kind=call.kind,
            model=choice.settings.name,
            version=choice.version,
            pinned=choice.pinned,
            endpoint=picked.endpoint.endpoint_id,
            domain=picked.endpoint.domain,
            attempt=len(call.tried_endpoint_ids),
            offset=offset,
        )

    async def _stream(
        self,
        call: Call,
        request: ChatRequest,
        choice: ModelChoice,
        picked: Picked,
        writer: ChatAnswerWriter,
    ) -> None:
        attempt = EndpointCall(
            url=picked.endpoint.url,
            path=PATH,
            headers=_engine_headers(call, choice, writer.token_count),
            body=build_request(request, model=choice.settings.name, stream=True),
            limits=self._rules.limits(call),
            before_send=self._rules.before_send(
                call, picked, lambda: self._versions.still_usable(call, choice)
            ),
        )
        sent_s = first_s = self._clock.monotonic_s()
        endpoint_id = picked.endpoint.endpoint_id
        async with self._client.stream(attempt) as stream:
            if stream.load is not None:
                self._grants.observe(endpoint_id, stream.load)
            first = True
            async for chunks in stream.batches():
                if first and chunks:
                    first = False
                    first_s = self._clock.monotonic_s()
                    self._grants.record_first_token(endpoint_id, first_s - sent_s)
                try:
                    await writer.take(chunks)
                except TransportError as error:
                    raise CallerGoneError(error.message, step="answer") from error
        self._picker.observe(
            _target_name(call, choice), self._clock.monotonic_s() - first_s
        )

    async def _complete(
        self,
        call: Call,
        choice: ModelChoice,
        endpoint_id: str,
        writer: ChatAnswerWriter,
    ) -> None:
        cost = await self._bill(call, choice, endpoint_id, writer)
        stored = await writer.finish()
        await self._keyed.finish(call, stored)
        self._count(call, choice, writer, cost)

    async def _bill(
        self,
        call: Call,
        choice: ModelChoice,
        endpoint_id: str,
        writer: ChatAnswerWriter,
        *,
        outcome: str = "answered",
    ) -> int:
        usage = writer.usage
        cost = choice.cost_microunits(usage.prompt_tokens, usage.output_tokens)
        await self._billing.record_answer(
            call,
            endpoint_id=endpoint_id,
            cost_microunits=cost,
            model=choice.settings.name,
            version=choice.version,
            prompt_tokens=usage.prompt_tokens,
            output_tokens=usage.output_tokens,
            outcome=outcome,
        )
        return cost

    def _count(
        self, call: Call, choice: ModelChoice, writer: ChatAnswerWriter, cost: int
    ) -> None:
        team, model, version = call.team, choice.settings.name, choice.version
        caller = call.session_id or call.customer_name
        self._traffic.count_request(team, model, version, caller)
        self._traffic.count_cost(team, model, version, cost)
        if writer.first_token_ms is not None:
            self._traffic.count_first_token(team, model, version, writer.first_token_ms)
        self._ratings.offer(
            RatedAnswer(
                request_id=call.request_id,
                team=team,
                model=model,
                version=version,
                kind=call.kind,
                cascade=call.customer.settings.cascade,
                cost_microunits=cost,
                text=writer.text,
            )
        )


def _target_name(call: Call, choice: ModelChoice) -> str:
    return f"{call.team}/{choice.settings.name}"


def _engine_headers(call: Call, choice: ModelChoice, offset: int) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": call.request_id,
        "X-Customer": call.customer_name,
        "X-Version": choice.version,
        "X-Priority": str(call.priority),
    }
    if offset:
        headers["X-Resume-Offset"] = str(offset)
    return headers


def _answer_headers(
    call: Call, choice: ModelChoice, endpoint_id: str
) -> dict[str, str]:
    headers = {
        "X-Request-Id": call.request_id,
        "X-Model": choice.settings.name,
        "X-Version": choice.version,
        "X-Endpoint": endpoint_id,
    }
    if not choice.pinned:
        headers["X-Session-Pin"] = "none"
    return headers
