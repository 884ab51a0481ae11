"""Serve chat completions: choose an endpoint, stream, resume, retry and bill."""

import structlog

from sesameknot.coordination.grant_holder import GrantHolder, SlotOutcome
from sesameknot.errors import RequestError, RouterError, TransportError
from sesameknot.policy.endpoint_choice import RequestShape
from sesameknot.protocol.chat import ChatRequest, build_request, parse_request
from sesameknot.router._pipeline import Pipeline
from sesameknot.router.attempts import AttemptFailure
from sesameknot.router.bills import CANCELLED
from sesameknot.router.call import AnswerSink, Call, CallHeaders
from sesameknot.router.chat_answer import ChatAnswerWriter
from sesameknot.router.endpoint_picker import EndpointQuery, PickedEndpoint
from sesameknot.router.idempotency import replay
from sesameknot.router.metrics import RouterMetrics
from sesameknot.router.pipeline_dependencies import PipelineDependencies
from sesameknot.router.ratings import RatedAnswer, RatingClient
from sesameknot.router.version_picker import (
    DEFAULT_OUTPUT_TOKENS,
    ModelChoice,
    VersionPicker,
)
from sesameknot.settings.tree import ModelSettings
from sesameknot.transport.endpoint_client import EndpointCall

CHAT_PATH = "/v1/chat/completions"

log = structlog.get_logger(__name__)


class CallerDisconnectedError(RouterError):
    """The caller closed its connection before the answer was whole."""


class ChatPipeline(Pipeline):
    """Serve chat completion requests.

    Parameters
    ----------
    dependencies : PipelineDependencies
        Objects that all pipelines use.
    versions : VersionPicker
        Chooses models and versions.
    grants : GrantHolder
        Records load and time to the first token of endpoints.
    ratings : RatingClient
        Samples answers and sends them for rating.
    metrics : RouterMetrics
        Records latencies.
    """

    def __init__(
        self,
        dependencies: PipelineDependencies,
        *,
        versions: VersionPicker,
        grants: GrantHolder,
        ratings: RatingClient,
        metrics: RouterMetrics,
    ) -> None:
        super().__init__(dependencies)
        self._versions = versions
        self._grants = grants
        self._ratings = ratings
        self._metrics = metrics

    async def serve(self, headers: CallHeaders, body: bytes, sink: AnswerSink) -> None:
        """Serve one request.

        Raises
        ------
        RequestError
            If the request was refused or failed.
        TransportError
            If the caller closed its connection.
        """
        request = parse_request(body)
        call = self._gate.authorise(headers, CHAT_PATH, body)
        stored = await self._idempotency_keys.claim(call, idempotent=True)
        if stored is not None:
            await replay(stored, sink)
            return
        writer = ChatAnswerWriter(
            call, request, sink, clock=self._clock, metrics=self._metrics
        )
        try:
            await self._run(call, request, writer)
        except BaseException:
            await self._idempotency_keys.settle_failed(call)
            raise

    async def _run(
        self, call: Call, request: ChatRequest, writer: ChatAnswerWriter
    ) -> None:
        self._rules.record_request()
        candidates = self._versions.candidate_models(call, request)
        model = self._first_available(call, candidates)
        choice = await self._versions.pick_version(call, model)
        query = self._endpoint_query(call, request, choice)
        self._gate.admit(call, self._picker.estimate(query))
        while True:
            picked = await self._picker.pick(
                call, query, crash_suspect=self._rules.is_crash_suspect(call)
            )
            failure = await self._attempt(call, request, choice, picked, writer)
            if failure is None:
                return
            if not self._rules.may_retry(call, failure):
                raise self._rules.final_error(call, failure)
            if not self._versions.still_usable(call, choice):
                choice = await self._replace_version(call, choice, writer)
                query = self._endpoint_query(call, request, choice)

    def _first_available(
        self, call: Call, candidates: list[ModelSettings]
    ) -> ModelSettings:
        """Return the first model that has a usable endpoint; else the preferred one."""
        for model in candidates:
            if any(map(self._picker.usable, self._endpoint_ids(call, model.name))):
                return model
        return candidates[0]

    async def _replace_version(
        self, call: Call, choice: ModelChoice, writer: ChatAnswerWriter
    ) -> ModelChoice:
        if writer.token_count:
            # Another version would not continue the text received so far.
            raise RequestError(
                f"version {choice.qualified_version!r} was withdrawn during the answer",
                status=503,
                outcome=call.outcome_if_failed,
                error_type="version-withdrawn",
                step="resume",
            )
        return await self._versions.pick_version(call, choice.model)

    def _endpoint_ids(self, call: Call, model: str) -> list[str]:
        ids_by_model = self._catalogue.current.endpoint_ids_by_model
        return ids_by_model.get((call.team, model), [])

    def _endpoint_query(
        self, call: Call, request: ChatRequest, choice: ModelChoice
    ) -> EndpointQuery:
        return EndpointQuery(
            pool_name=_pool_name(call, choice),
            endpoint_ids=lambda: self._endpoint_ids(call, choice.model.name),
            qualified_version=choice.qualified_version,
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
        picked: PickedEndpoint,
        writer: ChatAnswerWriter,
    ) -> AttemptFailure | None:
        """Make one attempt; return its failure, or None if the answer is complete."""
        endpoint_id = picked.endpoint.endpoint_id
        may_have_run_before = call.may_have_run
        call.tried_incarnation_ids.append(endpoint_id)
        writer.set_route(
            choice.qualified_version, _answer_headers(call, choice, endpoint_id)
        )
        self._log_route(call, choice, picked, writer.token_count)
        try:
            await self._stream(call, request, choice, picked, writer)
        except CallerDisconnectedError as error:
            picked.slot.release(SlotOutcome.CANCELLED)
            await self._bill(call, choice, endpoint_id, writer, outcome=CANCELLED)
            raise TransportError(error.message, step="answer") from error
        except RouterError as error:
            failure = await self._handle_failure(
                call, picked, error, may_have_run_before=may_have_run_before
            )
            self._picker.slot_freed(_pool_name(call, choice))
            if failure.may_have_run:
                self._traffic.count_error(call.team, choice.model.name, choice.version)
            return failure
        except BaseException:
            picked.slot.release(SlotOutcome.CANCELLED)
            raise
        picked.slot.release()
        self._picker.slot_freed(_pool_name(call, choice))
        await self._complete(call, choice, endpoint_id, writer)
        return None

    def _log_route(
        self, call: Call, choice: ModelChoice, picked: PickedEndpoint, offset: int
    ) -> None:
        log.info(
            "route",
            request_id=call.request_id,
            customer=call.customer_name,
            kind=call.kind,
            model=choice.model.name,
            version=choice.version,
            pinned=choice.pinned,
            endpoint=picked.endpoint.endpoint_id,
            domain=picked.endpoint.domain,
            attempt=len(call.tried_incarnation_ids),
            offset=offset,
        )

    async def _stream(
        self,
        call: Call,
        request: ChatRequest,
        choice: ModelChoice,
        picked: PickedEndpoint,
        writer: ChatAnswerWriter,
    ) -> None:
        endpoint_call = EndpointCall(
            url=picked.endpoint.url,
            path=CHAT_PATH,
            headers=_endpoint_headers(call, choice, writer.token_count),
            body=build_request(request, model=choice.model.name, stream=True),
            limits=self._rules.limits(call),
            before_send=self._rules.before_send(
                call, picked, lambda: self._versions.still_usable(call, choice)
            ),
        )
        sent_s = first_chunk_s = self._clock.monotonic_s()
        endpoint_id = picked.endpoint.endpoint_id
        async with self._client.stream(endpoint_call) as stream:
            if stream.load is not None:
                self._grants.observe(endpoint_id, stream.load)
            awaiting_first_chunk = True
            async for chunks in stream.batches():
                if awaiting_first_chunk and chunks:
                    awaiting_first_chunk = False
                    first_chunk_s = self._clock.monotonic_s()
                    self._grants.record_first_token(endpoint_id, first_chunk_s - sent_s)
                try:
                    await writer.write_chunks(chunks)
                except TransportError as error:
                    raise CallerDisconnectedError(
                        error.message, step="answer"
                    ) from error
        self._picker.observe(
            _pool_name(call, choice), self._clock.monotonic_s() - first_chunk_s
        )

    async def _complete(
        self,
        call: Call,
        choice: ModelChoice,
        endpoint_id: str,
        writer: ChatAnswerWriter,
    ) -> None:
        cost_microunits = await self._bill(call, choice, endpoint_id, writer)
        stored = await writer.finish()
        await self._idempotency_keys.store_answer(call, stored)
        self._record_answer(call, choice, writer, cost_microunits)

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
        cost_microunits = choice.cost_microunits(
            usage.prompt_tokens, usage.output_tokens
        )
        await self._billing.record_answer(
            call,
            endpoint_id=endpoint_id,
            cost_microunits=cost_microunits,
            model=choice.model.name,
            version=choice.version,
            prompt_tokens=usage.prompt_tokens,
            output_tokens=usage.output_tokens,
            outcome=outcome,
        )
        return cost_microunits

    def _record_answer(
        self,
        call: Call,
        choice: ModelChoice,
        writer: ChatAnswerWriter,
        cost_microunits: int,
    ) -> None:
        team, model, version = call.team, choice.model.name, choice.version
        caller = call.session_id or call.customer_name
        self._traffic.count_request(team, model, version, caller)
        self._traffic.count_cost(team, model, version, cost_microunits)
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
                cost_microunits=cost_microunits,
                text=writer.text,
            )
        )


def _pool_name(call: Call, choice: ModelChoice) -> str:
    return f"{call.team}/{choice.model.name}"


def _endpoint_headers(call: Call, choice: ModelChoice, offset: int) -> dict[str, str]:
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
        "X-Model": choice.model.name,
        "X-Version": choice.version,
        "X-Endpoint": endpoint_id,
    }
    if not choice.pinned:
        headers["X-Session-Pin"] = "none"
    return headers
