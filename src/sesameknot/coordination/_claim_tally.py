"""Tally of the owners' replies about a register, and the outcome it decides."""

from dataclasses import dataclass, field
from typing import Literal

from sesameknot.coordination._claim_placement import absence_proof_count, quorum_met
from sesameknot.protocol.messages import ClaimReply
from sesameknot.protocol.roster import RosterMember
from sesameknot.state.claim_table import ClaimState

ClaimStatus = Literal["claimed", "exists", "done", "unknown", "not-run"]


@dataclass(slots=True, frozen=True)
class ClaimOutcome:
    """Result of a claim or of waiting for one.

    Parameters
    ----------
    status : {"claimed", "exists", "done", "unknown", "not-run"}
        ``claimed``: the caller holds the register and may run the request.
        ``exists``: another claimant holds it. ``done``: :attr:`value` is the stored
        response. ``unknown``: a request with the key may have run. ``not-run``: it
        provably has not run, and the caller does not hold the register.
    value : bytes, default=b""
        Current value of the register.
    claimant : str, default=""
        Claim attempt that holds the register; a settlement must name it.
    reason : str, default=""
        Why the outcome is ``unknown`` or ``not-run``: ``settled``, ``held``,
        ``custody-lost``, ``no-quorum`` or ``released``. With ``no-quorum`` this
        request did not run, but an earlier one with the key may have.
    """

    status: ClaimStatus
    value: bytes = b""
    claimant: str = ""
    reason: str = ""


@dataclass(slots=True)
class ReplyTally:
    """Replies of the owners to one attempt or read."""

    owner_count: int
    accepted: list[RosterMember] = field(default_factory=list)
    absent_count: int = 0
    lost_count: int = 0
    settled_reply: ClaimReply | None = None
    other_claims: list[tuple[RosterMember, ClaimReply]] = field(default_factory=list)

    def add(self, member: RosterMember, reply: ClaimReply, own_prefix: str) -> None:
        """Count the reply of one owner."""
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
            reply.state == ClaimState.UNKNOWN and self.settled_reply is None
        ):
            self.settled_reply = reply
        elif not own_prefix or not reply.claimant.startswith(own_prefix):
            self.other_claims.append((member, reply))

    @property
    def has_response(self) -> bool:
        """Whether an owner returned the stored response."""
        return (
            self.settled_reply is not None
            and self.settled_reply.state == ClaimState.DONE
        )

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum accepted the claim."""
        return quorum_met(self.accepted, self.owner_count)

    @property
    def proves_absence(self) -> bool:
        """Whether the replies prove that no other claim has a quorum."""
        free_count = len(self.accepted) + self.absent_count
        return self.owner_count > 0 and free_count >= absence_proof_count(
            self.owner_count
        )

    def quorum_holder(self) -> ClaimReply | None:
        """Return another claim that a quorum stores, None if there is none."""
        for _, reply in self.other_claims:
            members = [m for m, r in self.other_claims if r.claimant == reply.claimant]
            if quorum_met(members, self.owner_count):
                return reply
        return None


def settled_outcome(reply: ClaimReply) -> ClaimOutcome:
    """Return the outcome of a register whose state is done or unknown."""
    if reply.state == ClaimState.DONE:
        return ClaimOutcome("done", reply.value, reply.claimant)
    return ClaimOutcome("unknown", reply.value, reply.claimant, "settled")


def held_outcome(reply: ClaimReply) -> ClaimOutcome:
    """Return the outcome of a register that another claimant holds."""
    return ClaimOutcome("exists", reply.value, reply.claimant, "held")


def undecided_outcome(tally: ReplyTally, saw_other_claim: bool) -> ClaimOutcome:
    """Return the outcome at a deadline that passed without a decision."""
    if saw_other_claim:
        _, reply = tally.other_claims[0] if tally.other_claims else (None, ClaimReply())
        return ClaimOutcome("unknown", reply.value, reply.claimant, "held")
    if tally.proves_absence:
        return ClaimOutcome("not-run", reason="no-quorum")
    if tally.lost_count:
        return ClaimOutcome("unknown", reason="custody-lost")
    return ClaimOutcome("unknown", reason="no-quorum")
