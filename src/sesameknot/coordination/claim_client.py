"""Client side of the claim registers.

A claim register is a first-writer-wins register that several owners store. A request
claims the register of its key before it runs and settles it with the result.
"""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any

import numpy as np
import structlog
import xxhash

from sesameknot.clock import Clock
from sesameknot.coordination._claim_copying import PeerCaller
from sesameknot.coordination._claim_placement import (
    quorum_intersection_count,
    quorum_met,
)
from sesameknot.coordination._claim_tally import (
    ClaimOutcome,
    ReplyTally,
    held_outcome,
    settled_outcome,
    undecided_outcome,
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
# A lost release only delays the next claim of the register, so it is retried less.
RELEASE_TRY_COUNT = 2
STORED_VALUE_LIMIT_BYTES = 64 * 1024

log = structlog.get_logger(__name__)


class ClaimClient:
    """Claim registers at a quorum of their owners under the current roster.

    Parameters
    ----------
    local_owner : ClaimOwner
        Owner side of this host; it knows the roster and serves the registers that this
        host owns.
    peers : PeerCaller
        Client for calls to other routers.
    clock : Clock
        Source of monotonic time.
    random_state : int, default=0
        Seed of the backoff jitter.
    call_timeout_s : float, default=0.5
        Timeout of one call to an owner.

    Notes
    -----
    Two of three owners in different failure domains must accept a claim. With two
    routers in different failure domains both must. With one router in the roster its
    acceptance suffices, so the registers are lost with that host; this is meant for
    single-host deployments and is logged once. With several routers in one failure
    domain no claim succeeds.

    Each attempt has its own claimant name. A failed attempt is released and its name
    is never used again, so a late message of it can neither hold nor release a later
    attempt.
    """

    __slots__ = (
        "_next_claim_number",
        "_random",
        "_single_host_warned",
        "_tasks",
        "call_timeout_s",
        "clock",
        "local_owner",
        "peers",
        "random_state",
    )

    def __init__(
        self,
        *,
        local_owner: ClaimOwner,
        peers: PeerCaller,
        clock: Clock,
        random_state: int = 0,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.local_owner = local_owner
        self.peers = peers
        self.clock = clock
        self.random_state = random_state
        self.call_timeout_s = call_timeout_s
        # With equal seeds, hosts that collide would back off equally and collide again.
        process_name = f"{local_owner.host_id}.{local_owner.incarnation}".encode()
        self._random = np.random.default_rng(
            [random_state, xxhash.xxh3_64_intdigest(process_name)]
        )
        self._next_claim_number = 1
        self._tasks: set[asyncio.Task[Any]] = set()
        self._single_host_warned = False

    async def claim(
        self, table: str, key: str, value: bytes, deadline_s: float
    ) -> ClaimOutcome:
        """Claim a register without waiting for another claimant's result.

        Parameters
        ----------
        table, key : str
            Name of the register.
        value : bytes
            Value that other claimants of the key receive.
        deadline_s : float
            Monotonic time until which the claim is attempted.

        Returns
        -------
        ClaimOutcome
            Outcome with any of its statuses.
        """
        own_prefix = self._new_claim_prefix()
        attempt = 0
        saw_other_claim = False
        while True:
            attempt += 1
            claimant = f"{own_prefix}{attempt}"
            tally = await self._write_claim(table, key, claimant, value, deadline_s)
            outcome = self._decided_outcome(tally, claimant, value, deadline_s)
            if outcome is not None and outcome.status == "claimed":
                return outcome
            self._release(table, key, claimant)
            if outcome is not None:
                return outcome
            saw_other_claim = saw_other_claim or bool(tally.other_claims)
            if not await self._sleep_backoff(attempt, deadline_s):
                return undecided_outcome(tally, saw_other_claim)

    async def read(self, table: str, key: str, deadline_s: float) -> ClaimOutcome:
        """Return the state of a register.

        Returns
        -------
        ClaimOutcome
            ``exists``, ``done``, ``unknown``, or ``not-run`` if the register is free.
        """
        version, members = self._current_owners(table, key)
        message = ClaimRead(table=table, key=key, roster_version=version)
        tally = await self._call_owners(members, message, deadline_s, "")
        if tally.settled_reply is not None:
            return settled_outcome(tally.settled_reply)
        holder = tally.quorum_holder()
        if holder is None and tally.other_claims and not tally.proves_absence:
            holder = tally.other_claims[0][1]
        if holder is not None:
            return held_outcome(holder)
        if tally.proves_absence:
            return ClaimOutcome(
                "not-run", reason="held" if tally.other_claims else "released"
            )
        return undecided_outcome(tally, saw_other_claim=False)

    async def wait_settled(
        self, table: str, key: str, deadline_s: float
    ) -> ClaimOutcome:
        """Wait until another claimant settles a register.

        Returns
        -------
        ClaimOutcome
            ``done`` or ``unknown``; ``not-run`` if no quorum stores the claim any
            longer, so that the key can be claimed again. In that case the reason is
            ``held`` if another attempt to claim it is in progress.
        """
        attempt = 0
        while True:
            attempt += 1
            outcome = await self.read(table, key, deadline_s)
            if outcome.status in ("done", "not-run") or outcome.reason == "settled":
                return outcome
            if not await self._sleep_backoff(attempt, deadline_s):
                return ClaimOutcome("unknown", outcome.value, outcome.claimant, "held")

    async def claim_or_wait(
        self, table: str, key: str, value: bytes, deadline_s: float
    ) -> ClaimOutcome:
        """Claim a register, or wait for the result of the claimant that holds it.

        Returns
        -------
        ClaimOutcome
            ``claimed``, ``done``, ``unknown`` or ``not-run``.
        """
        while True:
            outcome = await self.claim(table, key, value, deadline_s)
            if outcome.status != "exists":
                return outcome
            outcome = await self.wait_settled(table, key, deadline_s)
            if outcome.status != "not-run":
                return outcome
            if self.clock.monotonic_s() >= deadline_s:
                if outcome.reason == "released":
                    return outcome
                return ClaimOutcome("unknown", reason="held")

    async def settle(
        self, table: str, key: str, state: str, value: bytes = b"", *, claimant: str
    ) -> bool:
        """Send the state of a claim to its owners.

        Returns as soon as a quorum has replied; owners that did not reply are retried
        in the background.

        Parameters
        ----------
        table, key : str
            Name of the register.
        state : {"done", "unknown", "released"}
            ``released`` means that the claimant has not run and will not run.
        value : bytes, default=b""
            Response; empty keeps the current value. A response above 64 KiB is not
            stored, and the state becomes ``unknown``.
        claimant : str
            :attr:`ClaimOutcome.claimant` of the claim.

        Returns
        -------
        bool
            Whether a quorum of the owners replied.
        """
        if state == ClaimState.DONE and len(value) > STORED_VALUE_LIMIT_BYTES:
            state, value = ClaimState.UNKNOWN, b""
        message = ClaimSettle(
            table=table, key=key, claimant=claimant, state=str(state), value=value
        )
        quorum_reached: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._spawn(self._settle_at_owners(message, SETTLE_TRY_COUNT, quorum_reached))
        return await quorum_reached

    async def close(self) -> None:
        """Cancel all calls in progress."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _new_claim_prefix(self) -> str:
        prefix = (
            f"{self.local_owner.host_id}.{self.local_owner.incarnation}"
            f".{self._next_claim_number}#"
        )
        self._next_claim_number += 1
        return prefix

    def _current_owners(
        self, table: str, key: str
    ) -> tuple[int, Sequence[RosterMember]]:
        version, placement = self.local_owner.refresh_roster()
        if len(placement.members) == 1 and not self._single_host_warned:
            self._single_host_warned = True
            log.warning("claims_on_single_host", host=placement.members[0].host_id)
        return version, placement.owners_of(bucket_of(table, key))

    async def _write_claim(
        self, table: str, key: str, claimant: str, value: bytes, deadline_s: float
    ) -> ReplyTally:
        version, members = self._current_owners(table, key)
        message = ClaimWrite(
            table=table,
            key=key,
            claimant=claimant,
            value=value,
            roster_version=version,
        )
        return await self._call_owners(
            members, message, deadline_s, claimant.rpartition("#")[0] + "#"
        )

    async def _call_owners(
        self,
        members: Sequence[RosterMember],
        message: ClaimWrite | ClaimRead,
        deadline_s: float,
        own_prefix: str,
    ) -> ReplyTally:
        """Call all owners; stop at a quorum, at a stored response or after all."""
        tally = ReplyTally(len(members))
        replies: asyncio.Queue[tuple[RosterMember, ClaimReply | None]] = asyncio.Queue()
        timeout_s = min(self.call_timeout_s, deadline_s - self.clock.monotonic_s())
        for member in members:
            self._spawn(self._queue_reply(member, message, timeout_s, replies))
        for _ in members:
            member, reply = await replies.get()
            if reply is not None:
                tally.add(member, reply, own_prefix)
            if tally.has_quorum or tally.has_response:
                break
        return tally

    async def _queue_reply(
        self,
        member: RosterMember,
        message: ClaimWrite | ClaimRead,
        timeout_s: float,
        replies: asyncio.Queue[tuple[RosterMember, ClaimReply | None]],
    ) -> None:
        reply = None
        try:
            reply = await self._call_owner(member, message, timeout_s)
        finally:
            replies.put_nowait((member, reply))

    async def _call_owner(
        self,
        member: RosterMember,
        message: ClaimWrite | ClaimRead | ClaimSettle,
        timeout_s: float,
    ) -> ClaimReply | None:
        try:
            if member.host_id == self.local_owner.host_id:
                return await self.local_owner.answer_local(message)
            return await self.peers.call(
                member.address,
                message,
                expect=ClaimReply,
                timeout_s=max(0.001, timeout_s),
            )
        except RouterError as error:
            log.debug("claim_call_failed", peer=member.host_id, reason=str(error))
            return None

    def _decided_outcome(
        self, tally: ReplyTally, claimant: str, value: bytes, deadline_s: float
    ) -> ClaimOutcome | None:
        """Return the outcome that the replies decide, None to try again."""
        if tally.settled_reply is not None:
            return settled_outcome(tally.settled_reply)
        if tally.has_quorum:
            if self.clock.monotonic_s() < deadline_s:
                return ClaimOutcome("claimed", value, claimant)
            return ClaimOutcome("not-run", reason="no-quorum")
        if 0 < tally.owner_count == len(tally.accepted):
            # All owners are in one failure domain; another attempt would not help.
            return ClaimOutcome("not-run", reason="no-quorum")
        holder = tally.quorum_holder()
        if holder is not None:
            return held_outcome(holder)
        if tally.lost_count >= quorum_intersection_count(tally.owner_count):
            return ClaimOutcome("unknown", reason="custody-lost")
        return None

    def _release(self, table: str, key: str, claimant: str) -> None:
        message = ClaimSettle(
            table=table, key=key, claimant=claimant, state=ClaimState.RELEASED.value
        )
        quorum_reached: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._spawn(self._settle_at_owners(message, RELEASE_TRY_COUNT, quorum_reached))

    async def _settle_at_owners(
        self, message: ClaimSettle, try_count: int, quorum_reached: asyncio.Future[bool]
    ) -> None:
        """Settle at all owners; set ``quorum_reached`` to whether a quorum replied."""
        try:
            await self._send_settlement(message, try_count, quorum_reached)
        finally:
            if not quorum_reached.done():
                quorum_reached.set_result(False)

    async def _send_settlement(
        self, message: ClaimSettle, try_count: int, quorum_reached: asyncio.Future[bool]
    ) -> None:
        replied: list[RosterMember] = []

        async def send(member: RosterMember, owner_count: int) -> None:
            if await self._call_owner(member, message, self.call_timeout_s) is None:
                return
            replied.append(member)
            if quorum_met(replied, owner_count) and not quorum_reached.done():
                quorum_reached.set_result(True)

        for attempt in range(1, try_count + 1):
            _, members = self._current_owners(message.table, message.key)
            replied[:] = [member for member in replied if member in members]
            missing = [member for member in members if member not in replied]
            await asyncio.gather(*(send(m, len(members)) for m in missing))
            if len(replied) == len(members):
                return
            await asyncio.sleep(self._backoff_s(attempt))

    async def _sleep_backoff(self, attempt: int, deadline_s: float) -> bool:
        """Sleep before another attempt; return False if the deadline is reached."""
        remaining_s = deadline_s - self.clock.monotonic_s()
        if remaining_s <= 0:
            return False
        await asyncio.sleep(min(remaining_s, self._backoff_s(attempt)))
        return self.clock.monotonic_s() < deadline_s

    def _backoff_s(self, attempt: int) -> float:
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_S * 2 ** min(attempt, 10))
        return limit_s * (0.5 + self._random.random() / 2)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
