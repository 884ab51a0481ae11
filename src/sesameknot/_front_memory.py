"""Part of the composition root: the memory for bodies of requests."""

from sesameknot.forwarding.body_admission import BodyAdmission
from sesameknot.policy.memory_budget import MemoryBudget
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.front import FrontSettings
from sesameknot.settings.host import HostSettings

MB_BYTES = 1024 * 1024


def build_body_admission(
    host: HostSettings, settings: FrontSettings, *, drain: Drain, metrics: RouterMetrics
) -> BodyAdmission:
    """Return the component that refuses bodies which the host's memory can't hold."""
    return BodyAdmission(
        _build_budget(host, settings),
        retry_after_s=settings.memory.retry_after_s,
        body_limit_s=settings.memory.body_limit_s,
        drain=drain,
        metrics=metrics,
    )


def _build_budget(host: HostSettings, settings: FrontSettings) -> MemoryBudget:
    """Return the budget for the bodies of all requests.

    It is a share of what the host's limit leaves beside the process itself and the
    answers. A host with little memory can still take one request at a time.
    """
    memory = settings.memory
    left_bytes = (
        host.memory_limit_bytes
        - memory.process_mb * MB_BYTES
        - settings.attempts.all_answers_limit_bytes
    )
    limit_bytes = max(
        int(left_bytes * memory.body_share), memory.least_body_mb * MB_BYTES
    )
    return MemoryBudget(
        limit_bytes,
        small_bytes=memory.small_body_bytes,
        small_share=memory.small_body_share,
    )
