"""Choice of the models that are asked for a streamed request."""

import structlog

from sesameknot.forwarding.attempt import Attempt
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.error_answer import RequestEndedError
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.retry_policy import RetryPolicy
from sesameknot.forwarding.stream_state import StreamState
from sesameknot.policy.answer_times import AnswerTimes
from sesameknot.policy.confidence_cascade import CascadeStrategy
from sesameknot.policy.model_choice import (
    ModelChoice,
    ModelChoiceReason,
    first_event_limit_s,
    judge_answer,
    largest_must_be_first,
    learns_times,
    replacement_headroom,
    scaled_time_s,
)
from sesameknot.policy.pressure import PressureGauge
from sesameknot.policy.quality_target import QualityTarget
from sesameknot.protocol.configuration import Route
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.front import CascadeStrategySettings

log = structlog.get_logger(__name__)


class ModelCascade:
    """Chooses the first model of a request, and whether a larger one is asked next.

    Parameters
    ----------
    retry_policy : RetryPolicy
        Picks endpoints and limits retries.
    strategy : callable
        Chooses the next model to ask.
    settings : CascadeStrategySettings
        Thresholds by priority, and the quality target of routes whose times are learnt.
    answer_times : AnswerTimes
        Times that models need, learnt from streams of all routes.
    metrics : RouterMetrics
        Counters of decisions.
    """

    def __init__(
        self,
        retry_policy: RetryPolicy,
        *,
        strategy: CascadeStrategy,
        settings: CascadeStrategySettings,
        answer_times: AnswerTimes,
        metrics: RouterMetrics,
    ) -> None:
        self._retry_policy = retry_policy
        self._strategy = strategy
        self._settings = settings
        self._answer_times = answer_times
        self._metrics = metrics
        self._targets: dict[str, QualityTarget] = {}

    def first_model(self, state: StreamState) -> str:
        """Return the model to ask first; empty if the request leaves no choice."""
        request = state.request
        models = request.route.models
        if not models or state.model:
            return state.model
        model = self._strategy(models, [], None, 0.0)
        if model is None:
            return ""
        if model != models[-1] and self._asks_largest_first(request, model):
            model = models[-1]
            self._count_choice("largest_first", ModelChoiceReason.NO_TIME_FOR_TWO)
            log.info(
                "largest_model_asked_first",
                request_id=request.request_id,
                route=request.route.name,
                model=model,
                reason=ModelChoiceReason.NO_TIME_FOR_TWO.value,
                time_left_ms=round(1000.0 * self._time_left_s(request)),
            )
        state.asked_models.append(model)
        return model

    async def replaces(
        self, state: StreamState, attempt: Attempt, caller: CallerConnection
    ) -> bool:
        """Return whether this answer is dropped and a larger model asked instead."""
        request = state.request
        if caller.head_sent or not state.asked_models or request.metadata.model:
            return False
        confidence = attempt.metadata.confidence
        target = self._target(request.route)
        retry_left = request.has_attempts_left
        if target is None:
            if not retry_left:
                return False
        else:
            retry_left = retry_left and self._retry_policy.retry_available(request)
            if confidence is not None and state.model == request.route.models[0]:
                target.observe(confidence)
        # The strategy names the next model whatever the confidence; whether it is
        # asked is decided below.
        model = self._strategy(request.route.models, state.asked_models, -1.0, 0.0)
        if model is None or state.model == request.route.models[-1]:
            return False
        threshold = self._threshold(request)
        choice = judge_answer(
            confidence=confidence,
            threshold=threshold,
            needed_s=self._needed_s(request, model, attempt),
            time_left_s=self._time_left_s(request),
            retry_left=retry_left,
        )
        if choice.reason is not ModelChoiceReason.GOOD_ENOUGH:
            # Each larger model is considered once.
            state.asked_models.append(model)
        if choice.larger:
            choice = await self._find_next_endpoint(state, model, choice)
        self._count_choice("replaced" if choice.larger else "kept", choice.reason)
        if not choice.larger:
            # For a lack of endpoints, the line is written where it is found.
            if (
                target is not None
                and choice.reason is not ModelChoiceReason.NO_ENDPOINT
            ):
                self._log_kept(state, attempt, model, choice, threshold)
            return False
        self._log_dropped(state, attempt, model, choice, threshold)
        attempt.record_answer("dropped")
        state.model = model
        return True

    def first_event_timeout_s(self, state: StreamState, timeout_s: float) -> float:
        """Return a time-out that is not too short for a model whose time is learnt."""
        request = state.request
        if self._target(request.route) is None:
            return timeout_s
        return first_event_limit_s(
            timeout_s,
            needed_s=self._answer_times.first_event_s(
                request.service, state.model, request.metadata.prompt_token_count
            ),
            time_left_s=self._time_left_s(request),
        )

    def _asks_largest_first(self, request: ForwardedRequest, first_model: str) -> bool:
        """Return whether the time left is too short to ask two models in turn."""
        target = self._target(request.route)
        if target is None:
            return False
        largest = request.route.models[-1]
        must_be_first = largest_must_be_first(
            smallest_s=self._answer_times.first_event_s(
                request.service, first_model, request.metadata.prompt_token_count
            ),
            largest_s=self._answer_s(request, largest),
            time_left_s=self._time_left_s(request),
        )
        return must_be_first and target.take_largest(
            self._pressure_gauge(request).headroom
        )

    async def _find_next_endpoint(
        self, state: StreamState, model: str, choice: ModelChoice
    ) -> ModelChoice:
        """Find an endpoint that runs ``model`` now; the answer is kept without one."""
        request = state.request
        no_retry = ModelChoice(False, ModelChoiceReason.NO_RETRY_LEFT)
        if not self._retry_policy.retry_available(request):
            # A permit would be lost if the budget turned out to be spent afterwards.
            return choice if self._retry_policy.spend_retry(request) else no_retry
        try:
            endpoint = await self._retry_policy.next_endpoint(request, model=model)
        except RequestEndedError as error:
            log.info(
                "answer_kept",
                request_id=request.request_id,
                next_model=model,
                reason=error.error_answer.reason,
            )
            return ModelChoice(False, ModelChoiceReason.NO_ENDPOINT)
        state.next_endpoint = endpoint
        return choice if self._retry_policy.spend_retry(request) else no_retry

    def _count_choice(self, choice: str, reason: ModelChoiceReason) -> None:
        self._metrics.model_choices.inc({"choice": choice, "reason": reason.value})

    def _log_dropped(
        self,
        state: StreamState,
        attempt: Attempt,
        model: str,
        choice: ModelChoice,
        threshold: float,
    ) -> None:
        log.info(
            "answer_dropped_for_larger_model",
            request_id=state.request.request_id,
            endpoint=attempt.endpoint.endpoint_id,
            confidence=attempt.metadata.confidence,
            threshold=round(threshold, 1),
            pressure=round(self._pressure_gauge(state.request).level, 3),
            model=state.model,
            next_model=model,
            reason=choice.reason.value,
        )

    def _log_kept(
        self,
        state: StreamState,
        attempt: Attempt,
        model: str,
        choice: ModelChoice,
        threshold: float,
    ) -> None:
        log.info(
            "answer_kept",
            request_id=state.request.request_id,
            endpoint=attempt.endpoint.endpoint_id,
            confidence=attempt.metadata.confidence,
            threshold=round(threshold, 1),
            model=state.model,
            next_model=model,
            reason=choice.reason.value,
            time_left_ms=round(1000.0 * self._time_left_s(state.request)),
        )

    def _target(self, route: Route) -> QualityTarget | None:
        """Return the quality target of a route whose times are learnt, else None."""
        if not self._settings.quality_target:
            return None
        if not learns_times(route.latency_target_ms, route.timeout_ms):
            return None
        target = self._targets.get(route.name)
        if target is None:
            target = self._targets[route.name] = QualityTarget(
                target_share=self._settings.quality_target,
                window_count=self._settings.confidence_window_count,
            )
        return target

    def _threshold(self, request: ForwardedRequest) -> float:
        # Under load, a lower threshold avoids runs of large models, which would delay
        # other requests.
        headroom = self._pressure_gauge(request).headroom
        target = self._target(request.route)
        if target is not None:
            budget = self._retry_policy.retry_budgets.get(request.service)
            return target.threshold(replacement_headroom(headroom, budget.used_share))
        thresholds = self._settings.confidence_thresholds
        index = min(max(0, request.route.priority), len(thresholds) - 1)
        return thresholds[index] * headroom

    def _needed_s(
        self, request: ForwardedRequest, model: str, attempt: Attempt
    ) -> float:
        """Return the time that ``model`` must have after an attempt's answer began."""
        target_s = request.route.latency_target_ms / 1000.0
        if self._target(request.route) is None:
            return target_s
        learnt_s = self._answer_s(request, model)
        if learnt_s is not None:
            return learnt_s
        costs = self._model_costs(request.service)
        return scaled_time_s(
            attempt.waited_s(),
            observed_cost=costs.get(attempt.model),
            cost=costs.get(model),
            limit_s=target_s,
        )

    def _model_costs(self, service: str) -> dict[str, float]:
        configuration = self._retry_policy.runner.view.configuration
        return configuration.service(service).model_costs if configuration else {}

    def _answer_s(self, request: ForwardedRequest, model: str) -> float | None:
        return self._answer_times.answer_s(
            request.service,
            model,
            request.metadata.prompt_token_count,
            route=request.route.name,
        )

    def _time_left_s(self, request: ForwardedRequest) -> float:
        return request.time_left_s(self._retry_policy.clock.monotonic_s())

    def _pressure_gauge(self, request: ForwardedRequest) -> PressureGauge:
        return self._retry_policy.runner.pressure_gauges.get(request.service)
