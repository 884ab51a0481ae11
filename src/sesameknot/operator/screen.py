"""Poll the fleet once for all viewers and hand them the latest picture."""

import asyncio
import dataclasses
from typing import Protocol

import msgspec
import structlog

from sesameknot.clock import Clock
from sesameknot.errors import RouterError
from sesameknot.operator._screen_alarms import raise_alarms
from sesameknot.operator._screen_facts import ScreenFacts, ScreenTargets
from sesameknot.operator._screen_rows import (
    domain_rows,
    host_rows,
    rollout_rows,
    target_rows,
    version_rows,
)
from sesameknot.operator._screen_trackers import (
    LagTracker,
    RateTracker,
    SilenceTracker,
    WithdrawalTracker,
)
from sesameknot.operator.fleet import RouterAnswer, RouterFleet
from sesameknot.operator.screen_state import ScreenState
from sesameknot.protocol.messages import MemberInfo, StatsReply
from sesameknot.protocol.objects import StoredObject

__all__ = ["ObjectSource", "ScreenPoller", "ScreenTargets", "build_state"]

log = structlog.get_logger(__name__)


class ObjectSource(Protocol):
    """Objects and members as one router knows them."""

    async def refresh(self) -> None:
        """Fetch newer objects."""

    def below(self, prefix: str) -> list[StoredObject]:
        """Return the objects below ``prefix``."""

    async def members(self) -> list[MemberInfo]:
        """Return all members that the router knows."""


def build_state(facts: ScreenFacts, *, wall_ms: int) -> ScreenState:
    """Return the picture of one poll."""
    versions = version_rows(facts)
    hosts = host_rows(facts)
    state = ScreenState(
        wall_ms=wall_ms,
        versions=versions,
        rollouts=rollout_rows(facts, versions),
        hosts=hosts,
        domains=domain_rows(facts, hosts),
        targets=target_rows(facts),
    )
    return dataclasses.replace(state, alarms=raise_alarms(facts, state))


class ScreenPoller:
    """One poll loop whose latest picture any number of viewers read.

    Parameters
    ----------
    fleet : RouterFleet
        The routers.
    sources : list of ObjectSource
        Routers whose objects are read; the first that answers is used.
    clock : Clock
        Source of time.
    targets : ScreenTargets, default=ScreenTargets()
        Targets that values are compared with.
    interval_s : float, default=1.0
        Time between polls.
    """

    def __init__(
        self,
        fleet: RouterFleet,
        *,
        sources: list[ObjectSource],
        clock: Clock,
        targets: ScreenTargets | None = None,
        interval_s: float = 1.0,
    ) -> None:
        self.interval_s = interval_s
        self.sequence = 0
        self.latest = b""
        self._fleet = fleet
        self._sources = sources
        self._clock = clock
        self._targets = targets or ScreenTargets()
        self._rates = RateTracker(clock)
        self._lags = LagTracker(clock)
        self._silence = SilenceTracker(clock)
        self._withdrawals = WithdrawalTracker(clock)
        self._objects: list[StoredObject] = []
        self._members: dict[str, MemberInfo] = {}
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self.poll()
            except Exception:
                log.exception("screen_poll_failed")
            await asyncio.sleep(self.interval_s)

    async def poll(self) -> ScreenState:
        """Poll all routers once and publish the picture."""
        objects_error = await self._read_objects()
        addresses = self._addresses()
        answers = await self._fleet.statuses(addresses)
        self._rates.update(await self._counters(answers))
        facts = ScreenFacts(
            answers=answers,
            members=self._members,
            objects=self._objects,
            objects_error=objects_error,
            growth=self._rates.growth(),
            totals=self._rates.totals(),
            window_s=self._rates.window_s,
            lagging=self._lags.update(answers),
            unattended=self._silence.update(self._objects),
            targets=self._targets,
        )
        facts.long_withdrawn = self._withdrawals.update(facts.withdrawn())
        state = build_state(facts, wall_ms=self._clock.wall_ms())
        self._publish(state)
        return state

    async def next_after(self, sequence: int) -> tuple[int, bytes]:
        """Wait for a picture newer than ``sequence`` and return the latest one.

        A slow viewer thus skips pictures instead of queueing them.
        """
        while self.sequence <= sequence:
            await self._changed.wait()
        return self.sequence, self.latest

    def _publish(self, state: ScreenState) -> None:
        self.latest = msgspec.json.encode(state)
        self.sequence += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _addresses(self) -> list[str]:
        found = [
            member.http_address
            for member in self._members.values()
            if member.http_address and member.state != "dead"
        ]
        return list(dict.fromkeys([*self._fleet.addresses, *found]))

    async def _read_objects(self) -> str:
        reason = "no router to read them from"
        for source in self._sources:
            try:
                await source.refresh()
                members = await source.members()
            except RouterError as error:
                reason = str(error)
                continue
            self._objects = source.below("")
            self._members = {member.host_id: member for member in members}
            return ""
        return reason

    async def _counters(self, answers: list[RouterAnswer]) -> list[StatsReply]:
        async def read(answer: RouterAnswer) -> StatsReply | None:
            if answer.status is None:
                return None
            try:
                versions = await self._fleet.traffic(answer.address)
            except RouterError:
                return None
            return StatsReply(
                host_id=answer.status.host_id,
                incarnation=answer.status.incarnation,
                versions=versions,
            )

        replies = await asyncio.gather(*(read(answer) for answer in answers))
        return [reply for reply in replies if reply is not None]
