"""Steps of one held roll-out."""

from collections.abc import Callable

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._engine_loading import (
    EngineLoading,
    EngineOrders,
    needed_endpoints,
)
from sesameknot.coordination._rollout_lease import Hold, new_write_id
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

Decide = Callable[[VersionStats, VersionStats, RolloutSettings, float], str]

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
    orders : EngineOrders
        Client of the engines.
    counters : VersionCounters
        Counters of all routers.
    decide : callable
        ``decide(stable, new, settings, step_elapsed_s)`` returns ``"continue"``,
        ``"advance"`` or ``"stop"``.
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
        orders: EngineOrders,
        counters: VersionCounters,
        decide: Decide,
        clock: Clock,
        order_timeout_s: float,
    ) -> None:
        self.hold = hold
        self.loading = EngineLoading(
            hold, orders=orders, clock=clock, order_timeout_s=order_timeout_s
        )
        self._host_id = host_id
        self._view = view
        self._platform = platform
        self._counters = counters
        self._decide = decide
        self._clock = clock
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
        shares = plan.step_shares
        step = min(rollout.step, len(shares) - 1)
        verdict = "continue"
        if rollout.share > 0.0:
            verdict = self._verdict(plan)
            if verdict == "stop":
                await self._stop()
                return
        if plan.paused or rollout.state == "paused":
            return
        if rollout.state == "complete":
            self._prepare(team, rollout.share)
        elif verdict == "advance" and rollout.share == shares[step]:
            await self._advance(team, shares, step)
        elif self._prepare(team, shares[step]) and (
            rollout.state == "planned" or rollout.share != shares[step]
        ):
            await self._write_step(step, shares[step])

    async def _advance(
        self, team: TeamSettings, shares: list[float], step: int
    ) -> None:
        if step + 1 == len(shares):
            log.info("rollout_complete", rollout=self.hold.rollout.key)
            await self.hold.write(state="complete", reason="all steps passed")
        elif self._prepare(team, shares[step + 1]):
            await self._write_step(step + 1, shares[step + 1])

    async def _write_step(self, step: int, share: float) -> None:
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

    def _verdict(self, plan: RolloutSettings) -> str:
        rollout = self.hold.rollout
        stable = self._counters.total(
            (rollout.team, rollout.model, rollout.from_version)
        )
        elapsed_s = self._clock.monotonic_s() - self._step_began_s
        return self._decide(stable, self._window.growth(), plan, elapsed_s)

    def _begin_step(self) -> None:
        rollout = self.hold.rollout
        key = (rollout.team, rollout.model, rollout.to_version)
        self._step = _step_of(rollout)
        self._step_began_s = self._clock.monotonic_s()
        self._window = self._counters.window(key)

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


def _step_of(rollout: RolloutObject) -> tuple[int, float, bool]:
    return rollout.step, rollout.share, rollout.state == "complete"


def _plan(team: TeamSettings | None, rollout: RolloutObject) -> RolloutSettings | None:
    if team is None:
        return None
    return next((plan for plan in team.rollouts if plan.name == rollout.name), None)
