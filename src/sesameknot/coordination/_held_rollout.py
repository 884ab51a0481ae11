"""Steps of one held roll-out."""

import dataclasses

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._engine_loading import (
    EngineClient,
    EngineLoading,
    needed_endpoints,
)
from sesameknot.coordination._rollout_lease import Hold, new_write_id
from sesameknot.coordination.rollout_decision import (
    RolloutDecision,
    StepDecision,
    StepVerdict,
)
from sesameknot.coordination.router_view import View
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

# Every share is spread to all hosts. Counters are collected as often, so a faster
# ramp would have no new evidence.
SHARE_INTERVAL_S = 2.0
# Least relative change of a share that is worth a write to the platform.
SHARE_CHANGE = 0.1

log = structlog.get_logger(__name__)


class HeldRollout:
    """Move one roll-out on while its lease is held.

    Parameters
    ----------
    hold : Hold
        The lease and the object.
    host_id : str
        Name of this host.
    view : View
        Objects as the router on this host knows them.
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
        Time for one order to an engine.
    """

    def __init__(
        self,
        hold: Hold,
        *,
        host_id: str,
        view: View,
        platform: PlatformClient,
        engine_client: EngineClient,
        counters: VersionCounters,
        decision: RolloutDecision,
        clock: Clock,
        order_timeout_s: float,
    ) -> None:
        self.hold = hold
        self.loading = EngineLoading(
            hold,
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
        # The previous holder may have written a share just before.
        self._share_sent_s = clock.monotonic_s() if hold.rollout.share else None
        self._begin_step()

    async def tick(self) -> None:
        """Follow operators' changes, then stop, advance or renew.

        Raises
        ------
        LostHoldError
            If another controller holds the roll-out.
        PlatformError
            If a write was not answered; the roll-out holds its step.
        """
        self.hold.follow(self._view.get(self.hold.stored.key))
        rollout = self.hold.rollout
        if self._step != _step_of(rollout):
            self._begin_step()
        if rollout.state == "stopped":
            return
        if self._seen_withdrawn() and await self._is_withdrawn():
            await self._mark_stopped("version is withdrawn")
            return
        team = self._team()
        plan = _plan(team, rollout)
        if team is not None and plan is not None:
            await self._move(team, plan)
        await self._raise_fence()
        if self.hold.renewal_due:
            await self.hold.write()

    async def _move(self, team: TeamSettings, plan: RolloutSettings) -> None:
        rollout = self.hold.rollout
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
            self._prepare(team, rollout.share)
        elif verdict == "advance" and rollout.share == step_share:
            await self._advance(team, plan, step)
        elif self._prepare(team, step_share):
            await self._follow_ramp(plan, step)

    async def _advance(
        self, team: TeamSettings, plan: RolloutSettings, step: int
    ) -> None:
        rollout = self.hold.rollout
        if step + 1 == len(plan.step_shares):
            log.info("rollout_complete", rollout=rollout.key)
            await self.hold.write(state="complete", reason="all steps passed")
        elif self._prepare(team, plan.step_shares[step + 1]):
            begun = dataclasses.replace(rollout, step=step + 1)
            share = self._decision.step_decision(plan, begun).share
            await self._write_share(step + 1, share)

    async def _follow_ramp(self, plan: RolloutSettings, step: int) -> None:
        rollout = self.hold.rollout
        decision = self._step_decision(plan)
        step_share = plan.step_shares[step]
        # A share that is not stored yet must not grow further: no caller has met it.
        if not _is_due(rollout.share, decision.share, step_share):
            decision.raise_share(self._stable(), self._window.growth())
        if rollout.state == "planned" or _is_due(
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
        log.info("rollout_step", rollout=self.hold.rollout.key, step=step, share=share)
        await self.hold.write(
            state="running", step=step, share=share, reason=f"step {step}"
        )

    async def _stop(self) -> None:
        rollout = self.hold.rollout
        reason = f"{rollout.to_version} is worse than {rollout.from_version}"
        log.warning("rollout_stop", rollout=rollout.key, reason=reason)
        # A holder whose lease ran out during a pause must not withdraw a version
        # that its successor judges anew.
        if not self.hold.valid and not await self.hold.write():
            return
        # The withdrawal comes first: a successor that finds it finishes the stop,
        # while a stopped roll-out without it would leave the version in service.
        if await self._withdraw():
            await self._mark_stopped(reason)

    async def _withdraw(self) -> bool:
        key = self._withdrawal_key()
        present = await self._platform.get(key)
        if present is not None and is_withdrawn(present.value):
            return True
        try:
            stored = await self._platform.put_settled(
                key,
                {"withdrawn": True},
                expected_version=present.version if present is not None else 0,
                write_id=new_write_id(self._host_id),
            )
        except ConflictError:
            return False
        await self._view.push(stored)
        return True

    async def _mark_stopped(self, reason: str) -> None:
        self.loading.cancel()
        if await self.hold.write(state="stopped", share=0.0, reason=reason):
            await self._view.push(self.hold.stored)

    async def _raise_fence(self) -> None:
        refused = self.loading.refused_fence
        if refused >= self.hold.rollout.fence:
            # The conditional write proves that this controller still holds it.
            # Engines do not tell their fence; doubling reaches it in a few orders.
            await self.hold.write(fence=2 * refused)
            self.loading.retry()

    def _prepare(self, team: TeamSettings, share: float) -> bool:
        endpoints = [
            endpoint
            for endpoint in team.endpoints
            if self.hold.rollout.model in endpoint.models and self._in_service(endpoint)
        ]
        return self.loading.prepare(
            needed_endpoints(self.hold.rollout.key, endpoints, share)
        )

    def _in_service(self, endpoint: EndpointSettings) -> bool:
        stored = self._view.get(domain_key(endpoint.domain))
        return stored is None or stored.value.get("state") != "out"

    def _verdict(self, plan: RolloutSettings) -> StepVerdict:
        elapsed_s = self._clock.monotonic_s() - self._step_began_s
        return self._step_decision(plan).verdict(
            self._stable(), self._window.growth(), elapsed_s=elapsed_s
        )

    def _stable(self) -> VersionStats:
        rollout = self.hold.rollout
        return self._counters.total((rollout.team, rollout.model, rollout.from_version))

    def _step_decision(self, plan: RolloutSettings) -> StepDecision:
        if self._present is None or self._present_plan != plan:
            self._present = self._decision.step_decision(plan, self.hold.rollout)
            self._present_plan = plan
        return self._present

    def _begin_step(self) -> None:
        rollout = self.hold.rollout
        key = (rollout.team, rollout.model, rollout.to_version)
        self._step = _step_of(rollout)
        self._step_began_s = self._clock.monotonic_s()
        self._window = self._counters.window(key)
        self._present: StepDecision | None = None
        self._present_plan: RolloutSettings | None = None

    def _team(self) -> TeamSettings | None:
        key = settings_key(self.hold.rollout.team)
        stored = self._view.get(key)
        if stored is None:
            return None
        return convert(stored.value, TeamSettings, place=key)

    def _withdrawal_key(self) -> str:
        rollout = self.hold.rollout
        return withdrawal_key(rollout.team, rollout.model, rollout.to_version)

    def _seen_withdrawn(self) -> bool:
        stored = self._view.get(self._withdrawal_key())
        return stored is not None and is_withdrawn(stored.value)

    async def _is_withdrawn(self) -> bool:
        # The router may still have a withdrawal that operators lifted before they
        # started the roll-out again.
        stored = await self._platform.get(self._withdrawal_key())
        return stored is not None and is_withdrawn(stored.value)


def _step_of(rollout: RolloutObject) -> tuple[int, bool, bool]:
    # A step begins with its first share. Later shares of the ramp do not begin it
    # anew: its evidence would be lost.
    return rollout.step, rollout.share > 0.0, rollout.state == "complete"


def _is_due(stored: float, share: float, step_share: float) -> bool:
    """Return whether ``share`` is to be written in place of the stored one."""
    if share == stored:
        return False
    # The step cannot advance before its full share is stored, however close it is.
    return share == step_share or abs(share - stored) >= SHARE_CHANGE * stored


def _plan(team: TeamSettings | None, rollout: RolloutObject) -> RolloutSettings | None:
    if team is None:
        return None
    return next((plan for plan in team.rollouts if plan.name == rollout.name), None)
