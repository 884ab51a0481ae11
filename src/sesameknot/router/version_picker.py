"""Choose the model and the version of a chat request."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog

from sesameknot.coordination.sessions import SessionPins
from sesameknot.errors import RequestError
from sesameknot.policy.cascade import CascadePolicy, ModelCandidate
from sesameknot.policy.version_choice import VersionOptions, choose_version
from sesameknot.protocol.chat import ChatRequest
from sesameknot.protocol.rollout_object import RolloutObject
from sesameknot.router.call import Call
from sesameknot.router.catalogue import Catalogue, CatalogueCache
from sesameknot.settings.tree import CascadeSettings, ModelSettings

AUTO_MODEL = "auto"
DEFAULT_OUTPUT_TOKENS = 256
SERVING_ROLLOUT_STATES = ("running", "paused", "complete")

PolicyFactory = Callable[[float], CascadePolicy]

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class ModelChoice:
    """Model and version that serve a call.

    Parameters
    ----------
    model : ModelSettings
        The model.
    version : str
        Name of the version within the model.
    pinned : bool, default=True
        False if the call has a session whose version could not be pinned.
    """

    model: ModelSettings
    version: str
    pinned: bool = True

    @property
    def qualified_version(self) -> str:
        """The version with its model, as ``model/version``."""
        return f"{self.model.name}/{self.version}"

    def cost_microunits(self, prompt_tokens: int, output_tokens: int) -> int:
        """Return the price of an answer with these token counts."""
        return (
            prompt_tokens * self.model.prompt_microunits_per_token
            + output_tokens * self.model.output_microunits_per_token
        )


class VersionPicker:
    """Choose by cascade, allowed versions of the customer, roll-outs and session pins.

    Parameters
    ----------
    catalogue : CatalogueCache
        Settings in force.
    new_policy : callable
        Creates a cascade policy for a quality target.
    sessions : SessionPins
        Pins sessions to versions.
    """

    def __init__(
        self,
        *,
        catalogue: CatalogueCache,
        new_policy: PolicyFactory,
        sessions: SessionPins,
    ) -> None:
        self._catalogue = catalogue
        self._new_policy = new_policy
        self._sessions = sessions
        self._policies: dict[str, CascadePolicy] = {}

    def candidate_models(self, call: Call, request: ChatRequest) -> list[ModelSettings]:
        """Return the models that may serve a request, the preferred one first.

        Raises
        ------
        RequestError
            If the customer may use no version of the model or cascade.
        """
        catalogue = self._catalogue.current
        if request.model != AUTO_MODEL:
            return [self._requested_model(call, catalogue, request.model)]
        cascade = catalogue.cascades.get((call.team, call.customer.settings.cascade))
        if cascade is None:
            raise self._not_allowed_error(
                call, "customer has no cascade for model 'auto'"
            )
        usable_models = [
            catalogue.models[call.team, name]
            for name in cascade.models
            if catalogue.usable_versions(call.customer, name)
        ]
        if not usable_models:
            raise self._not_allowed_error(
                call, f"no model of cascade {cascade.name!r} is usable"
            )
        return self._order_models(call, request, cascade, usable_models)

    def _order_models(
        self,
        call: Call,
        request: ChatRequest,
        cascade: CascadeSettings,
        usable_models: Sequence[ModelSettings],
    ) -> list[ModelSettings]:
        policy = self.cascade_policy(call.team, cascade)
        chosen = policy.choose(
            call.kind, [_candidate(model, request) for model in usable_models]
        )
        position = next(
            i for i, model in enumerate(usable_models) if model.name == chosen
        )
        # Costlier models come next: they keep the quality target if the chosen one has
        # no usable endpoint.
        return [*usable_models[position:], *reversed(usable_models[:position])]

    def cascade_policy(self, team: str, cascade: CascadeSettings) -> CascadePolicy:
        """Return the policy of a cascade, creating it at its first use."""
        key = f"{team}/{cascade.name}/{cascade.quality_target}"
        policy = self._policies.get(key)
        if policy is None:
            policy = self._policies[key] = self._new_policy(cascade.quality_target)
        return policy

    def observe(
        self,
        team: str,
        cascade_name: str,
        kind: str,
        model: str,
        quality: float | None,
        cost_microunits: int,
    ) -> None:
        """Pass the quality and cost of an answer to the policy of its cascade."""
        cascade = self._catalogue.current.cascades.get((team, cascade_name))
        if cascade is not None and model in cascade.models:
            policy = self.cascade_policy(team, cascade)
            policy.observe(kind, model, quality, cost_microunits)

    async def pick_version(self, call: Call, model: ModelSettings) -> ModelChoice:
        """Choose the version of ``model`` for a call and pin its session to it.

        Raises
        ------
        RequestError
            If the customer may use no version that is in service.
        """
        options = self._version_options(call, model)
        affinity_key = call.session_id or call.request_id
        proposed = choose_version(options, affinity_key)
        if proposed is None:
            raise self._not_allowed_error(
                call, f"no version of model {model.name!r} is usable"
            )
        if not call.session_id:
            return ModelChoice(model, proposed)
        return await self._pin_session(call, model, options, proposed)

    async def _pin_session(
        self, call: Call, model: ModelSettings, options: VersionOptions, proposed: str
    ) -> ModelChoice:
        stable = options.stable_version
        if not options.usable(stable):
            stable = proposed
        session = f"{call.team}/{call.customer_name}/{call.session_id}/{model.name}"
        pin = await self._sessions.pin(
            session,
            f"{call.team}.{model.name}/{proposed}",
            stable_version=f"{call.team}.{model.name}/{stable}",
        )
        version = choose_version(
            self._version_options(call, model),
            call.session_id,
            pinned_version=pin.version.rpartition("/")[2],
        )
        if version is None:
            raise self._not_allowed_error(
                call, f"no version of model {model.name!r} is usable"
            )
        return ModelChoice(model, version, pinned=pin.pinned)

    def still_usable(self, call: Call, choice: ModelChoice) -> bool:
        """Return whether the chosen version may still receive new work."""
        versions = self._catalogue.current.usable_versions(
            call.customer, choice.model.name
        )
        return choice.version in versions

    def _version_options(self, call: Call, model: ModelSettings) -> VersionOptions:
        catalogue = self._catalogue.current
        rollout = catalogue.rollouts.get((call.team, model.name))
        usable = catalogue.usable_versions(call.customer, model.name)
        serving = _is_serving(rollout)
        return VersionOptions(
            model=model.name,
            versions=_fallback_order(model),
            stable_version=model.stable_version,
            allowed=usable,
            rollout_version=rollout.to_version if rollout and serving else "",
            rollout_share=rollout.share if rollout and serving else 0.0,
        )

    def _requested_model(
        self, call: Call, catalogue: Catalogue, name: str
    ) -> ModelSettings:
        model = catalogue.models.get((call.team, name))
        if model is None or not any(
            allowance.model == name for allowance in call.customer.settings.allow
        ):
            raise self._not_allowed_error(call, f"customer may not use model {name!r}")
        return model

    def _not_allowed_error(self, call: Call, message: str) -> RequestError:
        log.info(
            "request_refused",
            request_id=call.request_id,
            customer=call.customer_name,
            reason=message,
        )
        return RequestError(
            message,
            status=403,
            outcome=call.outcome_if_failed,
            error_type="not-allowed",
            step="choose_version",
        )


def _is_serving(rollout: RolloutObject | None) -> bool:
    return rollout is not None and rollout.state in SERVING_ROLLOUT_STATES


def _fallback_order(model: ModelSettings) -> list[str]:
    # If the stable version is withdrawn, the version before it comes first. Versions
    # after it may never have been rolled out, so they come last.
    names = [version.name for version in model.versions]
    position = names.index(model.stable_version)
    return [*reversed(names[position + 1 :]), *names[: position + 1]]


def _candidate(model: ModelSettings, request: ChatRequest) -> ModelCandidate:
    output_tokens = request.max_tokens or DEFAULT_OUTPUT_TOKENS
    return ModelCandidate(
        model=model.name,
        cost_microunits=(
            request.estimated_prompt_tokens * model.prompt_microunits_per_token
            + output_tokens * model.output_microunits_per_token
        ),
        prior_quality=model.expected_quality,
    )
