"""Base class of the pipelines of the request path."""

from sesameknot.errors import RouterError
from sesameknot.router.attempts import AttemptFailure
from sesameknot.router.call import Call
from sesameknot.router.endpoint_picker import PickedEndpoint
from sesameknot.router.pipeline_dependencies import PipelineDependencies


class Pipeline:
    """Base class that holds the dependencies of a pipeline.

    Parameters
    ----------
    dependencies : PipelineDependencies
        Objects that all pipelines use.
    """

    def __init__(self, dependencies: PipelineDependencies) -> None:
        self._gate = dependencies.gate
        self._idempotency_keys = dependencies.idempotency_keys
        self._picker = dependencies.picker
        self._rules = dependencies.rules
        self._client = dependencies.client
        self._billing = dependencies.billing
        self._catalogue = dependencies.catalogue
        self._traffic = dependencies.traffic
        self._clock = dependencies.clock

    async def _handle_failure(
        self,
        call: Call,
        picked: PickedEndpoint,
        error: RouterError,
        *,
        may_have_run_before: bool,
    ) -> AttemptFailure:
        """Release the slot of a failed attempt and record whether it may have run."""
        failure = await self._rules.classify_failure(call, picked, error)
        picked.slot.release(failure.outcome)
        call.may_have_run = may_have_run_before or failure.may_have_run
        return failure
