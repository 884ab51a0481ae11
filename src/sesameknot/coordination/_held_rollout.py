"""Advancing and stopping one roll-out that this controller holds."""

import dataclasses

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._engine_loading import (
    EngineClient,
    EngineLoading,
    needed_endpoints,
)
from sesameknot.coordination._rollout_lease import RolloutLease, new_write_id
from sesameknot.coordination.rollout_decision import (
    RolloutDecision,
    StepDecision,
    StepVerdict,
)
from sesameknot.coordination.router_view import RolloutView
from sesameknot.coordination.version_counters import VersionCounters
from sesameknot.errors import ConflictError
from sesameknot.protocol.messages import VersionStats
from sesameknot.protocol.rollout_object import (
    RolloutObject,
    domain_key,
    is_withdrawn,
    settings_key,
    withdrawal_key,
)
from sesameknot.settings.loader import convert
from sesameknot.settings.tree import EndpointSettings, RolloutSettings, TeamSettings
from sesameknot.transport.platform_client import PlatformClient

# Least time between two writes of a share, because each is sent to all hosts. Counters
# are collected at the same interval, so a faster ramp would have no new evidence.
SHARE_INTERVAL_S = 2.0
# Least relative change of a share that is written to the platform.
MIN_SHARE_CHANGE = 0.1

log = structlog.get_logger(__name__)


class HeldRollout:
    """Advance or stop one roll-out while its lease is held.

    Parameters
    ----------
    lease : RolloutLease
        Lease and current object of the roll-out.
    host_id : str
        Name of this host.
    view : RolloutView
        Objects and counters through the router on this host.
    platform : PlatformClient
        The object API.
    engine_client : EngineClient
        Client of the engines.
    counters : VersionCounters
        Counters of all routers.
    decision : RolloutDecision
        Decides on shares, steps and stops.
    clock : Clock
        Source of time.
    order_timeout_s : float
        Timeout of one order to an engine.
    """

    def __init__(
        self,
        lease: RolloutLease,
        *,
        host_id: str,
        view: RolloutView,
        platform: PlatformClient,
        engine_client: EngineClient,
        counters: VersionCounters,
        decision: RolloutDecision,
        clock: Clock,
        order_timeout_s: float,
    ) -> None:
        self.lease = lease
        self.loading = EngineLoading(
            lease,
            engine_client=engine_client,
            clock=clock,
            order_timeout_s=order_timeout_s,
        )
        self._host_id = host_id
        self._view = view
        self._platform = platform
        self._counters = counters
        self._decision = decision
        self._clock = clock
        # The previous holder may have written a share just before the takeover.
        self._share_sent_s = clock.monotonic_s() if lease.rollout.share else None
        self._begin_step()

    async def tick(self) -> None:
        """Adopt operators' changes, then stop, advance or renew.

        Raises
        ------
        LeaseLostError
            If another controller holds the roll-out.
        PlatformError
            If a call was not answered; the roll-out stays at its step.
        """
        self.lease.adopt_newer(self._view.get(self.lease.stored.key))
        rollout = self.lease.rollout
        if self._current_step != _step_identity(rollout):
            self._begin_step()
        if rollout.state == "stopped":
            return
        if self._withdrawn_in_view() and await self._withdrawn_on_platform():
            await self._mark_stopped("version is withdrawn")
            return
        team = self._team()
        plan = _plan(team, rollout)
        if team is not None and plan is not None:
            await self._advance_or_stop(team, plan)
        await self._raise_fence()
        if self.lease.renewal_due:
            await self.lease.write()

    async def _advance_or_stop(self, team: TeamSettings, plan: RolloutSettings) -> None:
        rollout = self.lease.rollout
        verdict: StepVerdict = "continue"
        if rollout.share > 0.0:
            verdict = self._verdict(plan)
            if verdict == "stop":
                await self._stop()
                return
        if plan.paused or rollout.state == "paused":
            return
        step = min(rollout.step, len(plan.step_shares) - 1)
        step_share = plan.step_shares[step]
        if rollout.state == "complete":
            self._ensure_loaded(team, rollout.share)
        elif verdict == "advance" and rollout.share == step_share:
            await self._advance(team, plan, step)
        elif self._ensure_loaded(team, step_share):
            await self._ramp_share(plan, step)

    async def _advance(
        self, team: TeamSettings, plan: RolloutSettings, step: int
    ) -> None:
        rollout = self.lease.rollout
        if step + 1 == len(plan.step_shares):
            log.info("rollout_complete", rollout=rollout.key)
            await self.lease.write(state="complete", reason="all steps passed")
        elif self._ensure_loaded(team, plan.step_shares[step + 1]):
            next_rollout = dataclasses.replace(rollout, step=step + 1)
            share = self._decision.step_decision(plan, next_rollout).share
            await self._write_share(step + 1, share)

    async def _ramp_share(self, plan: RolloutSettings, step: int) -> None:
        rollout = self.lease.rollout
        decision = self._step_decision(plan)
        step_share = plan.step_shares[step]
        # A share that is not stored yet must not be raised further: no caller has been
        # served at it.
        if not _is_write_due(rollout.share, decision.share, step_share):
            decision.raise_share(self._stable_stats(), self._window.growth())
        if rollout.state == "planned" or _is_write_due(
            rollout.share, decision.share, step_share
        ):
            await self._write_share(step, decision.share)

    async def _write_share(self, step: int, share: float) -> None:
        now_s = self._clock.monotonic_s()
        if (
            self._share_sent_s is not None
            and now_s - self._share_sent_s < SHARE_INTERVAL_S
        ):
            return
        self._share_sent_s = now_s
        log.info("rollout_step", rollout=self.lease.rollout.key, step=step, share=share)
        await self.lease.write(
            state="running", step=step, share=share, reason=f"step {step}"
        )

    async def _stop(self) -> None:
        rollout = self.lease.rollout
        reason = f"{rollout.to_version} is worse than {rollout.from_version}"
        log.warning("rollout_stopping", rollout=rollout.key, reason=reason)
        # A holder whose lease expired while its process was suspended must not withdraw
        # a version that its successor tests again.
        if not self.lease.valid and not await self.lease.write():
            return
        # The withdrawal is written first: a successor that finds it completes the stop,
        # while a stopped roll-out without it would leave the version in service.
        if await self._withdraw():
            await self._mark_stopped(reason)

    async def _withdraw(self) -> bool:
        key = self._withdrawal_key()
        withdrawal = await self._platform.get(key)
        if withdrawal is not None and is_withdrawn(withdrawal.value):
            return True
        try:
            stored = await self._platform.put_with_read_back(
                key,
                {"withdrawn": True},
                expected_version=withdrawal.version if withdrawal is not None else 0,
                write_id=new_write_id(self._host_id),
            )
        except ConflictError:
            return False
        await self._view.push(stored)
        return True

    async def _mark_stopped(self, reason: str) -> None:
        self.loading.cancel()
        if await self.lease.write(state="stopped", share=0.0, reason=reason):
            await self._view.push(self.lease.stored)

    async def _raise_fence(self) -> None:
        refused_fence = self.loading.refused_fence
        if refused_fence >= self.lease.rollout.fence:
            # The conditional write proves that this controller still holds the
            # roll-out. Engines do not report their fence; doubling exceeds it after a
            # few orders.
            await self.lease.write(fence=2 * refused_fence)
            self.loading.recheck_all()

    def _ensure_loaded(self, team: TeamSettings, share: float) -> bool:
        endpoints = [
            endpoint
            for endpoint in team.endpoints
            if self.lease.rollout.model in endpoint.models
            and self._in_service(endpoint)
        ]
        return self.loading.ensure_loaded(
            needed_endpoints(self.lease.rollout.key, endpoints, share)
        )

    def _in_service(self, endpoint: EndpointSettings) -> bool:
        stored = self._view.get(domain_key(endpoint.domain))
        return stored is None or stored.value.get("state") != "out"

    def _verdict(self, plan: RolloutSettings) -> StepVerdict:
        elapsed_s = self._clock.monotonic_s() - self._step_began_s
        return self._step_decision(plan).verdict(
            self._stable_stats(), self._window.growth(), elapsed_s=elapsed_s
        )

    def _stable_stats(self) -> VersionStats:
        rollout = self.lease.rollout
        return self._counters.total((rollout.team, rollout.model, rollout.from_version))

    def _step_decision(self, plan: RolloutSettings) -> StepDecision:
        if self._current_decision is None or self._current_plan != plan:
            self._current_decision = self._decision.step_decision(
                plan, self.lease.rollout
            )
            self._current_plan = plan
        return self._current_decision

    def _begin_step(self) -> None:
        rollout = self.lease.rollout
        key = (rollout.team, rollout.model, rollout.to_version)
        self._current_step = _step_identity(rollout)
        self._step_began_s = self._clock.monotonic_s()
        self._window = self._counters.window(key)
        self._current_decision: StepDecision | None = None
        self._current_plan: RolloutSettings | None = None

    def _team(self) -> TeamSettings | None:
        key = settings_key(self.lease.rollout.team)
        stored = self._view.get(key)
        if stored is None:
            return None
        return convert(stored.value, TeamSettings, source=key)

    def _withdrawal_key(self) -> str:
        rollout = self.lease.rollout
        return withdrawal_key(rollout.team, rollout.model, rollout.to_version)

    def _withdrawn_in_view(self) -> bool:
        stored = self._view.get(self._withdrawal_key())
        return stored is not None and is_withdrawn(stored.value)

    async def _withdrawn_on_platform(self) -> bool:
        # The router may still have a withdrawal that operators revoked before they
        # started the roll-out again.
        stored = await self._platform.get(self._withdrawal_key())
        return stored is not None and is_withdrawn(stored.value)


def _step_identity(rollout: RolloutObject) -> tuple[int, bool, bool]:
    # A step begins with its first share. Later shares of the ramp do not begin it
    # again, which would discard its evidence.
    return rollout.step, rollout.share > 0.0, rollout.state == "complete"


def _is_write_due(stored: float, share: float, step_share: float) -> bool:
    """Return whether ``share`` must be written in place of the stored one."""
    if share == stored:
        return False
    # The full share is written even after a small change: the step cannot advance
    # before it is stored.
    return share == step_share or abs(share - stored) >= MIN_SHARE_CHANGE * stored


def _plan(team: TeamSettings | None, rollout: RolloutObject) -> RolloutSettings | None:
    if team is None:
        return None
    return next((plan for plan in team.rollouts if plan.name == rollout.name), None)
