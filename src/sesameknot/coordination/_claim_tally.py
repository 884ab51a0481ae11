"""Answers of the owners of a register, and the outcome they decide."""

from dataclasses import dataclass, field
from typing import Literal

from sesameknot.coordination._claim_placement import proof_count, quorum_met
from sesameknot.protocol.messages import ClaimReply
from sesameknot.protocol.roster import RosterMember
from sesameknot.state.claim_table import ClaimState

Status = Literal["claimed", "exists", "done", "unknown", "not-run"]


@dataclass(slots=True, frozen=True)
class ClaimOutcome:
    """Result of a claim or of waiting for one.

    Parameters
    ----------
    status : {"claimed", "exists", "done", "unknown", "not-run"}
        ``claimed``: the caller holds the register and may run. ``exists``: another
        claimant holds it. ``done``: :attr:`value` is the stored response.
        ``unknown``: whether the key ran is not known. ``not-run``: it provably has not
        run, and the caller does not hold the register.
    value : bytes, default=b""
        Value of the register that stands.
    claimant : str, default=""
        Claim attempt that holds the register; settlements name it.
    reason : str, default=""
        Why the outcome is ``unknown`` or ``not-run``: ``settled``, ``held``,
        ``custody-lost``, ``no-quorum`` or ``released``. With ``no-quorum`` this
        request did not run, but an earlier one with the key may have.
    """

    status: Status
    value: bytes = b""
    claimant: str = ""
    reason: str = ""


@dataclass(slots=True)
class Tally:
    """Answers of the owners to one attempt."""

    owner_count: int
    accepted: list[RosterMember] = field(default_factory=list)
    absent_count: int = 0
    lost_count: int = 0
    result: ClaimReply | None = None
    others: list[tuple[RosterMember, ClaimReply]] = field(default_factory=list)

    def add(self, member: RosterMember, reply: ClaimReply, own_prefix: str) -> None:
        """Count the answer of one owner."""
        if reply.status == "accepted":
            self.accepted.append(member)
        elif reply.status == "absent":
            self.absent_count += 1
        elif reply.status == "lost":
            self.lost_count += 1
        elif reply.status == "exists":
            self._add_existing(member, reply, own_prefix)

    def _add_existing(
        self, member: RosterMember, reply: ClaimReply, own_prefix: str
    ) -> None:
        if not reply.claimant:
            return
        if reply.state == ClaimState.DONE or (
            reply.state == ClaimState.UNKNOWN and self.result is None
        ):
            self.result = reply
        elif not own_prefix or not reply.claimant.startswith(own_prefix):
            self.others.append((member, reply))

    @property
    def done(self) -> bool:
        """Whether an owner has the stored response."""
        return self.result is not None and self.result.state == ClaimState.DONE

    @property
    def won(self) -> bool:
        """Whether a quorum accepted the claim."""
        return quorum_met(self.accepted, self.owner_count)

    @property
    def proves_absence(self) -> bool:
        """Whether no other claim has a quorum."""
        free_count = len(self.accepted) + self.absent_count
        return self.owner_count > 0 and free_count >= proof_count(self.owner_count)

    def holder(self) -> ClaimReply | None:
        """Return another claim that a quorum holds."""
        for _, reply in self.others:
            members = [m for m, r in self.others if r.claimant == reply.claimant]
            if quorum_met(members, self.owner_count):
                return reply
        return None


def settled_result(reply: ClaimReply) -> ClaimOutcome:
    """Return the outcome of a register that holds a result."""
    if reply.state == ClaimState.DONE:
        return ClaimOutcome("done", reply.value, reply.claimant)
    return ClaimOutcome("unknown", reply.value, reply.claimant, "settled")


def held(reply: ClaimReply) -> ClaimOutcome:
    """Return the outcome of a register that another claimant holds."""
    return ClaimOutcome("exists", reply.value, reply.claimant, "held")


def undecided(tally: Tally, saw_other: bool) -> ClaimOutcome:
    """Return the outcome when time is up without a decision."""
    if saw_other:
        _, reply = tally.others[0] if tally.others else (None, ClaimReply())
        return ClaimOutcome("unknown", reply.value, reply.claimant, "held")
    if tally.proves_absence:
        return ClaimOutcome("not-run", reason="no-quorum")
    if tally.lost_count:
        return ClaimOutcome("unknown", reason="custody-lost")
    return ClaimOutcome("unknown", reason="no-quorum")
