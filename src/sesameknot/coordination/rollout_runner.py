"""Acquire, run and release the roll-outs that teams plan in their settings.

One controller at a time holds each roll-out, by a lease that is stored with it. The
roll-outs that operators order in the store, for front hosts, are run by
:mod:`sesameknot.coordination.rollout_coordinator`.
"""

import asyncio
import dataclasses

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._engine_loading import EngineClient
from sesameknot.coordination._held_rollout import HeldRollout
from sesameknot.coordination._rollout_lease import (
    LeaseLostError,
    RolloutLease,
    UnchangedTimer,
    new_write_id,
    takeover_wait_s,
)
from sesameknot.coordination.rollout_decision import RolloutDecision
from sesameknot.coordination.router_view import RolloutView
from sesameknot.coordination.version_counters import VersionCounters
from sesameknot.errors import ConflictError, PlatformError, RouterError
from sesameknot.protocol.objects import ROLLOUTS_PREFIX, ROSTER_KEY, StoredObject
from sesameknot.protocol.rollout_object import (
    RolloutObject,
    rollout_from_value,
    settings_key,
)
from sesameknot.protocol.roster import Roster, roster_from_value
from sesameknot.settings.loader import convert
from sesameknot.settings.tree import TeamSettings
from sesameknot.transport.platform_client import PlatformClient

TICK_INTERVAL_S = 0.5
# Each collection calls every router, and steps last tens of seconds.
STATS_INTERVAL_S = 2.0

log = structlog.get_logger(__name__)


class RolloutRunner:
    """Controller task that acquires roll-outs and advances them through their steps.

    Parameters
    ----------
    host_id : str
        Name of this host.
    view : RolloutView
        Objects and counters through the router on this host.
    platform : PlatformClient
        The object API.
    engine_client : EngineClient
        Client of the engines.
    decision : RolloutDecision
        Decides on shares, steps and stops.
    clock : Clock
        Source of time.
    lease_s : float, default=5.0
        Duration of the lease on a running roll-out.
    margin_s : float, default=0.5
        Additional wait after another holder's lease before a takeover.
    order_timeout_s : float, default=30.0
        Timeout of one order to an engine; loading weights takes many seconds.
    """

    def __init__(
        self,
        host_id: str,
        *,
        view: RolloutView,
        platform: PlatformClient,
        engine_client: EngineClient,
        decision: RolloutDecision,
        clock: Clock,
        lease_s: float = 5.0,
        margin_s: float = 0.5,
        order_timeout_s: float = 30.0,
    ) -> None:
        self.host_id = host_id
        self.lease_s = lease_s
        self.margin_s = margin_s
        self.order_timeout_s = order_timeout_s
        self._view = view
        self._platform = platform
        self._engine_client = engine_client
        self._decision = decision
        self._clock = clock
        self._counters = VersionCounters()
        self._stats_collected_s: float | None = None
        self._unchanged_timer = UnchangedTimer(clock)
        self._held: dict[str, HeldRollout] = {}

    @property
    def held(self) -> dict[str, RolloutObject]:
        """Roll-outs that this controller holds, by key."""
        return {key: held.lease.rollout for key, held in self._held.items()}

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            try:
                await self.tick()
            except* (RouterError, OSError) as errors:
                log.warning("rollout_tick_failed", reason=str(errors.exceptions))
            await asyncio.sleep(TICK_INTERVAL_S)

    async def tick(self) -> None:
        """Process every roll-out once.

        Raises
        ------
        RouterError
            If the router on this host cannot be reached; leases then expire.
        """
        await self._view.refresh()
        await self._collect_stats()
        rollouts = self._view.below(ROLLOUTS_PREFIX)
        for key in self._held.keys() - {stored.key for stored in rollouts}:
            self._drop(key)
        await asyncio.gather(*(self._tick_rollout(stored) for stored in rollouts))

    async def release(self) -> None:
        """Release all roll-outs after the orders that were sent have ended."""
        for key, held in list(self._held.items()):
            await held.loading.finish()
            try:
                # Retries once, because an operator may have changed the object.
                await held.lease.write(holder="") or await held.lease.write(holder="")
            except RouterError as error:
                log.info("rollout_release_failed", rollout=key, reason=str(error))
            del self._held[key]

    async def _tick_rollout(self, stored: StoredObject) -> None:
        try:
            if stored.key in self._held:
                await self._tick_held(stored.key)
            else:
                await self._acquire_if_due(stored)
        except PlatformError as error:
            log.info("rollout_platform_failed", rollout=stored.key, reason=str(error))
        except RouterError as error:
            log.warning("rollout_failed", rollout=stored.key, reason=str(error))
        except Exception:
            # One malformed roll-out or team must not stop the others.
            log.exception("rollout_unexpected_error", rollout=stored.key)

    async def _tick_held(self, key: str) -> None:
        held = self._held[key]
        try:
            await held.tick()
        except LeaseLostError as error:
            log.warning("rollout_lease_lost", rollout=key, reason=str(error))
            self._drop(key)
        else:
            rollout = held.lease.rollout
            if rollout.state in ("complete", "stopped") and not self._needs_holder(
                rollout
            ):
                self._drop(key)

    def _drop(self, key: str) -> None:
        self._held.pop(key).loading.cancel()

    async def _acquire_if_due(self, stored: StoredObject) -> None:
        rollout = rollout_from_value(stored.value, key=stored.key)
        if not self._needs_holder(rollout):
            return
        wait_s = takeover_wait_s(
            rollout,
            self.host_id,
            self._roster().members,
            lease_s=self.lease_s,
            margin_s=self.margin_s,
        )
        unchanged_s = self._unchanged_timer.unchanged_s(stored)
        if wait_s is not None and unchanged_s >= wait_s:
            await self._acquire(stored, rollout)

    async def _acquire(self, stored: StoredObject, rollout: RolloutObject) -> None:
        acquired = dataclasses.replace(
            rollout,
            holder=self.host_id,
            fence=rollout.fence + 1,
            lease_ms=int(self.lease_s * 1000),
            updated_wall_ms=self._clock.wall_ms(),
        )
        sent_s = self._clock.monotonic_s()
        try:
            written = await self._platform.put_with_read_back(
                stored.key,
                acquired.to_value(),
                expected_version=stored.version,
                write_id=new_write_id(self.host_id),
            )
        except ConflictError:
            return
        log.info("rollout_acquired", rollout=stored.key, fence=acquired.fence)
        lease = RolloutLease(
            written,
            host_id=self.host_id,
            platform=self._platform,
            clock=self._clock,
            lease_s=self.lease_s,
            sent_s=sent_s,
            taken_over=bool(rollout.holder),
        )
        self._held[stored.key] = HeldRollout(
            lease,
            host_id=self.host_id,
            view=self._view,
            platform=self._platform,
            engine_client=self._engine_client,
            counters=self._counters,
            decision=self._decision,
            clock=self._clock,
            order_timeout_s=self.order_timeout_s,
        )

    def _needs_holder(self, rollout: RolloutObject) -> bool:
        if rollout.state == "stopped":
            return False
        stored = self._view.get(settings_key(rollout.team))
        if stored is None:
            return False
        team = convert(stored.value, TeamSettings, source=stored.key)
        if rollout.name not in [plan.name for plan in team.rollouts]:
            return False
        # A complete roll-out is monitored until operators make its version the stable
        # one.
        stable_versions = {model.name: model.stable_version for model in team.models}
        return rollout.state != "complete" or (
            stable_versions.get(rollout.model) != rollout.to_version
        )

    def _roster(self) -> Roster:
        stored = self._view.get(ROSTER_KEY)
        if stored is None:
            return Roster()
        return roster_from_value(stored.value, stored.version)

    async def _collect_stats(self) -> None:
        now_s = self._clock.monotonic_s()
        if not any(rollout.share > 0.0 for rollout in self.held.values()):
            return
        if (
            self._stats_collected_s is not None
            and now_s - self._stats_collected_s < STATS_INTERVAL_S
        ):
            return
        self._stats_collected_s = now_s
        self._counters.update(await self._view.stats())
