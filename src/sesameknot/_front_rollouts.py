"""Part of the composition root: builds the roll-outs of the front process."""

from sesameknot.clock import Clock
from sesameknot.coordination._order_timing import ExposureLimit
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.coordination.rollout_coordinator import RolloutCoordinator
from sesameknot.platform import StoreClient
from sesameknot.policy.timed_rollout import TimedRolloutPlan, TimedRolloutPolicy
from sesameknot.settings.front import RolloutPlanSettings
from sesameknot.settings.host import HostBounds, HostSettings
from sesameknot.state.attempt_counts import AttemptCounts
from sesameknot.state.fleet_view import FleetView


def build_rollout_coordinator(
    plan: RolloutPlanSettings,
    *,
    host: HostSettings,
    view: FleetView,
    store: StoreClient,
    calls: HostCalls,
    attempt_counts: AttemptCounts,
    clock: Clock,
) -> RolloutCoordinator:
    """Return the task that advances roll-outs by ``plan``."""
    policy = TimedRolloutPolicy(
        TimedRolloutPlan(
            first_share=min(plan.first_share, _first_share_limit(plan, host.bounds)),
            first_share_at=plan.first_share_at,
            full_share_at=plan.full_share_at,
            decide_at=plan.decide_at,
        )
    )
    return RolloutCoordinator(
        view=view,
        store=store,
        calls=calls,
        attempt_counts=attempt_counts,
        rollout_policy=policy,
        host_id=host.host_id,
        interval_s=plan.step_interval_s,
        exposure_limit=ExposureLimit(
            host.bounds.rollout_share, host.bounds.rollout_slack_count
        ),
        clock=clock,
    )


def _first_share_limit(plan: RolloutPlanSettings, bounds: HostBounds) -> float:
    """Return the share at which the first stage uses half of the exposure limit.

    The deployment's ``rollout_share`` limits the exposure of callers to a bad version.
    """
    stage_time_share = max(0.01, plan.full_share_at - plan.first_share_at)
    return min(1.0, 0.5 * bounds.rollout_share / stage_time_share)
