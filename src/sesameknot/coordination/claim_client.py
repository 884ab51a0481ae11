"""Requesting side of the claim registers."""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any

import numpy as np
import structlog
import xxhash

from sesameknot.clock import Clock
from sesameknot.coordination._claim_copying import PeerCaller
from sesameknot.coordination._claim_placement import intersecting_count, quorum_met
from sesameknot.coordination._claim_tally import (
    ClaimOutcome,
    Tally,
    held,
    settled_result,
    undecided,
)
from sesameknot.coordination.claim_owner import ClaimOwner
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    ClaimRead,
    ClaimReply,
    ClaimSettle,
    ClaimWrite,
)
from sesameknot.protocol.roster import RosterMember
from sesameknot.state.claim_table import ClaimState, bucket_of

CALL_TIMEOUT_S = 0.5
BACKOFF_S = 0.01
BACKOFF_LIMIT_S = 0.3
SETTLE_TRY_COUNT = 5
# A register that keeps a released attempt only delays the next one.
RELEASE_TRY_COUNT = 2
STORED_VALUE_LIMIT_BYTES = 64 * 1024

log = structlog.get_logger(__name__)


class ClaimClient:
    """Claim registers with a quorum of their owners under the present roster.

    Parameters
    ----------
    local : ClaimOwner
        Owner side of this host; it knows the roster and serves this host's registers.
    peers : PeerCaller
        Client for calls to other routers.
    clock : Clock
        Source of monotonic time.
    random_state : int, default=0
        Seed of the backoff times.
    call_timeout_s : float, default=0.5
        Time for one call to an owner.

    Notes
    -----
    Two of three owners in different failure domains must accept a claim. With two
    routers in different domains both must. With one router in the roster it succeeds
    on that one alone, so a lost host loses the registers; this is meant for single-host
    deployments and is logged once. With several routers in one domain no claim
    succeeds.

    Each attempt has its own claimant name. An attempt that fails is released and never
    used again, so a message of it that arrives late cannot hold or free a later one.
    """

    __slots__ = (
        "_next_claim",
        "_random",
        "_tasks",
        "_warned",
        "call_timeout_s",
        "clock",
        "local",
        "peers",
        "random_state",
    )

    def __init__(
        self,
        *,
        local: ClaimOwner,
        peers: PeerCaller,
        clock: Clock,
        random_state: int = 0,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.local = local
        self.peers = peers
        self.clock = clock
        self.random_state = random_state
        self.call_timeout_s = call_timeout_s
        # Hosts with one seed would collide again after each equal backoff.
        name = f"{local.host_id}.{local.incarnation}".encode()
        self._random = np.random.default_rng(
            [random_state, xxhash.xxh3_64_intdigest(name)]
        )
        self._next_claim = 1
        self._tasks: set[asyncio.Task[Any]] = set()
        self._warned = False

    async def claim(
        self, table: str, key: str, value: bytes, deadline_s: float
    ) -> ClaimOutcome:
        """Claim a register; do not wait for another claimant's result.

        Parameters
        ----------
        table, key : str
            Name of the register.
        value : bytes
            Value that other claimants of the key are shown.
        deadline_s : float
            Monotonic time until which claiming is tried.

        Returns
        -------
        ClaimOutcome
            Any status.
        """
        name = self._new_name()
        attempt = 0
        saw_other = False
        while True:
            attempt += 1
            claimant = f"{name}{attempt}"
            tally = await self._attempt(table, key, claimant, value, deadline_s)
            outcome = self._decided(tally, claimant, value, deadline_s)
            if outcome is not None and outcome.status == "claimed":
                return outcome
            self._release(table, key, claimant)
            if outcome is not None:
                return outcome
            saw_other = saw_other or bool(tally.others)
            if not await self._backoff(attempt, deadline_s):
                return undecided(tally, saw_other)

    async def read(self, table: str, key: str, deadline_s: float) -> ClaimOutcome:
        """Return the state of a register.

        Returns
        -------
        ClaimOutcome
            ``exists``, ``done``, ``unknown``, or ``not-run`` if it is free.
        """
        version, members = self._owners(table, key)
        message = ClaimRead(table=table, key=key, roster_version=version)
        tally = await self._ask_all(members, message, deadline_s, "")
        if tally.result is not None:
            return settled_result(tally.result)
        holder = tally.holder()
        if holder is None and tally.others and not tally.proves_absence:
            holder = tally.others[0][1]
        if holder is not None:
            return held(holder)
        if tally.proves_absence:
            return ClaimOutcome(
                "not-run", reason="held" if tally.others else "released"
            )
        return undecided(tally, saw_other=False)

    async def wait_done(self, table: str, key: str, deadline_s: float) -> ClaimOutcome:
        """Wait for the result of another claimant.

        Returns
        -------
        ClaimOutcome
            ``done`` or ``unknown``; ``not-run`` if no quorum holds the claim any more,
            so that the key can be claimed again. Its reason is ``held`` if an attempt
            to claim it is under way.
        """
        attempt = 0
        while True:
            attempt += 1
            outcome = await self.read(table, key, deadline_s)
            if outcome.status in ("done", "not-run") or outcome.reason == "settled":
                return outcome
            if not await self._backoff(attempt, deadline_s):
                return ClaimOutcome("unknown", outcome.value, outcome.claimant, "held")

    async def claim_or_wait(
        self, table: str, key: str, value: bytes, deadline_s: float
    ) -> ClaimOutcome:
        """Claim a register, or return the result of the claimant that holds it.

        Returns
        -------
        ClaimOutcome
            ``claimed``, ``done``, ``unknown`` or ``not-run``.
        """
        while True:
            outcome = await self.claim(table, key, value, deadline_s)
            if outcome.status != "exists":
                return outcome
            outcome = await self.wait_done(table, key, deadline_s)
            if outcome.status != "not-run":
                return outcome
            if self.clock.monotonic_s() >= deadline_s:
                if outcome.reason == "released":
                    return outcome
                return ClaimOutcome("unknown", reason="held")

    async def settle(
        self, table: str, key: str, state: str, value: bytes = b"", *, claimant: str
    ) -> bool:
        """Tell the owners the state of a claim and return whether a quorum knows.

        It returns when a quorum knows. Owners that do not answer are tried again after
        that.

        Parameters
        ----------
        table, key : str
            Name of the register.
        state : {"done", "unknown", "released"}
            ``released`` states that the claimant has not run and will not run.
        value : bytes, default=b""
            Response; empty keeps the present value. A response above 64 KiB is not
            stored, and the state becomes ``unknown``.
        claimant : str
            :attr:`ClaimOutcome.claimant` of the claim.
        """
        if state == ClaimState.DONE and len(value) > STORED_VALUE_LIMIT_BYTES:
            state, value = ClaimState.UNKNOWN, b""
        message = ClaimSettle(
            table=table, key=key, claimant=claimant, state=str(state), value=value
        )
        settled: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._spawn(self._settle_all(message, SETTLE_TRY_COUNT, settled))
        return await settled

    async def close(self) -> None:
        """Cancel calls that are still under way."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _new_name(self) -> str:
        name = f"{self.local.host_id}.{self.local.incarnation}.{self._next_claim}#"
        self._next_claim += 1
        return name

    def _owners(self, table: str, key: str) -> tuple[int, Sequence[RosterMember]]:
        version, placement = self.local.observe()
        if len(placement.members) == 1 and not self._warned:
            self._warned = True
            log.warning("claims_on_single_host", host=placement.members[0].host_id)
        return version, placement.owners_of(bucket_of(table, key))

    async def _attempt(
        self, table: str, key: str, claimant: str, value: bytes, deadline_s: float
    ) -> Tally:
        version, members = self._owners(table, key)
        message = ClaimWrite(
            table=table,
            key=key,
            claimant=claimant,
            value=value,
            roster_version=version,
        )
        return await self._ask_all(
            members, message, deadline_s, claimant.rpartition("#")[0] + "#"
        )

    async def _ask_all(
        self,
        members: Sequence[RosterMember],
        message: ClaimWrite | ClaimRead,
        deadline_s: float,
        own_prefix: str,
    ) -> Tally:
        """Ask all owners; return at a quorum, at a stored response or at the end."""
        tally = Tally(len(members))
        answers: asyncio.Queue[tuple[RosterMember, ClaimReply | None]] = asyncio.Queue()
        timeout_s = min(self.call_timeout_s, deadline_s - self.clock.monotonic_s())
        for member in members:
            self._spawn(self._report(member, message, timeout_s, answers))
        for _ in members:
            member, reply = await answers.get()
            if reply is not None:
                tally.add(member, reply, own_prefix)
            if tally.won or tally.done:
                break
        return tally

    async def _report(
        self,
        member: RosterMember,
        message: ClaimWrite | ClaimRead,
        timeout_s: float,
        answers: asyncio.Queue[tuple[RosterMember, ClaimReply | None]],
    ) -> None:
        reply = None
        try:
            reply = await self._ask(member, message, timeout_s)
        finally:
            answers.put_nowait((member, reply))

    async def _ask(
        self,
        member: RosterMember,
        message: ClaimWrite | ClaimRead | ClaimSettle,
        timeout_s: float,
    ) -> ClaimReply | None:
        try:
            if member.host_id == self.local.host_id:
                return await self.local.answer(message)
            return await self.peers.call(
                member.address,
                message,
                expect=ClaimReply,
                timeout_s=max(0.001, timeout_s),
            )
        except RouterError as error:
            log.debug("claim_call_failed", peer=member.host_id, reason=str(error))
            return None

    def _decided(
        self, tally: Tally, claimant: str, value: bytes, deadline_s: float
    ) -> ClaimOutcome | None:
        """Return the outcome that an attempt decides, None to try again."""
        if tally.result is not None:
            return settled_result(tally.result)
        if tally.won:
            if self.clock.monotonic_s() < deadline_s:
                return ClaimOutcome("claimed", value, claimant)
            return ClaimOutcome("not-run", reason="no-quorum")
        if 0 < tally.owner_count == len(tally.accepted):
            # All owners are in one domain, which no further attempt changes.
            return ClaimOutcome("not-run", reason="no-quorum")
        holder = tally.holder()
        if holder is not None:
            return held(holder)
        if tally.lost_count >= intersecting_count(tally.owner_count):
            return ClaimOutcome("unknown", reason="custody-lost")
        return None

    def _release(self, table: str, key: str, claimant: str) -> None:
        message = ClaimSettle(
            table=table, key=key, claimant=claimant, state=ClaimState.RELEASED.value
        )
        settled: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._spawn(self._settle_all(message, RELEASE_TRY_COUNT, settled))

    async def _settle_all(
        self, message: ClaimSettle, try_count: int, settled: asyncio.Future[bool]
    ) -> None:
        """Tell all owners; ``settled`` tells whether a quorum of them knows."""
        try:
            await self._tell_owners(message, try_count, settled)
        finally:
            if not settled.done():
                settled.set_result(False)

    async def _tell_owners(
        self, message: ClaimSettle, try_count: int, settled: asyncio.Future[bool]
    ) -> None:
        told: list[RosterMember] = []

        async def tell(member: RosterMember, owner_count: int) -> None:
            if await self._ask(member, message, self.call_timeout_s) is None:
                return
            told.append(member)
            if quorum_met(told, owner_count) and not settled.done():
                settled.set_result(True)

        for attempt in range(1, try_count + 1):
            _, members = self._owners(message.table, message.key)
            told[:] = [member for member in told if member in members]
            missing = [member for member in members if member not in told]
            await asyncio.gather(*(tell(m, len(members)) for m in missing))
            if len(told) == len(members):
                return
            await asyncio.sleep(self._backoff_s(attempt))

    async def _backoff(self, attempt: int, deadline_s: float) -> bool:
        """Sleep before another attempt; return False if the deadline is reached."""
        remaining_s = deadline_s - self.clock.monotonic_s()
        if remaining_s <= 0:
            return False
        await asyncio.sleep(min(remaining_s, self._backoff_s(attempt)))
        return self.clock.monotonic_s() < deadline_s

    def _backoff_s(self, attempt: int) -> float:
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_S * 2 ** min(attempt, 10))
        return limit_s * (0.5 + self._random.random() / 2)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
