"""What the pipelines of the request path have in common."""

from sesameknot.errors import RouterError
from sesameknot.router.attempts import Failure
from sesameknot.router.call import Call
from sesameknot.router.endpoint_picker import Picked
from sesameknot.router.parts import PipelineParts


class Pipeline:
    """Base class of the pipelines.

    Parameters
    ----------
    parts : PipelineParts
        Steps that all pipelines share.
    """

    def __init__(self, parts: PipelineParts) -> None:
        self._gate = parts.gate
        self._idempotency_keys = parts.idempotency_keys
        self._picker = parts.picker
        self._rules = parts.rules
        self._client = parts.client
        self._billing = parts.billing
        self._catalogue = parts.catalogue
        self._traffic = parts.traffic
        self._clock = parts.clock

    async def _failed(
        self, call: Call, picked: Picked, error: RouterError, *, sent_before: bool
    ) -> Failure:
        """Release the slot of a failed attempt and note whether it may have run."""
        failure = await self._rules.judge(call, picked, error)
        picked.slot.release(failure.outcome)
        call.sent = sent_before or failure.may_have_run
        return failure
