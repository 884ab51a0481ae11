"""Slots for requests to endpoints, and the outcomes of these requests."""

from enum import StrEnum
from typing import Protocol

from sesameknot.errors import RouterError


class SlotOutcome(StrEnum):
    """How a slot's request ended, as far as it concerns the endpoint's state."""

    DONE = "done"
    NOT_SENT = "not-sent"
    CANCELLED = "cancelled"
    COLD = "cold"
    LEAVING = "leaving"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"


class GrantError(RouterError):
    """The grant no longer allows the slot; nothing was sent."""


class SlotPool(Protocol):
    """Interface of the object that hands out slots."""

    def confirm_slot(self, endpoint_id: str, slot_id: int) -> None:
        """Mark a slot as sent if its grant still allows it.

        Raises
        ------
        GrantError
            If it does not.
        """

    def release_slot(
        self, endpoint_id: str, slot_id: int, outcome: SlotOutcome, linger_s: float
    ) -> None:
        """Release a slot."""


class Slot:
    """Permission to send one request to one endpoint."""

    __slots__ = ("_pool", "_released", "endpoint_id", "slot_id")

    def __init__(self, pool: SlotPool, endpoint_id: str, slot_id: int) -> None:
        self._pool = pool
        self._released = False
        self.endpoint_id = endpoint_id
        self.slot_id = slot_id

    def check(self) -> None:
        """Check the grant and mark the slot as sent.

        Call it right before the first byte is written.

        Raises
        ------
        GrantError
            If the grant has expired or been reduced.
        """
        self._pool.confirm_slot(self.endpoint_id, self.slot_id)

    def release(
        self, outcome: SlotOutcome = SlotOutcome.DONE, *, linger_s: float = 0.0
    ) -> None:
        """Release the slot; further calls do nothing.

        Parameters
        ----------
        outcome : SlotOutcome, default=DONE
            How the request ended.
        linger_s : float, default=0.0
            Time for which the endpoint may continue to run the request, for example
            until its deadline if the connection is silent and a cancel is not
            confirmed.
        """
        if not self._released:
            self._released = True
            self._pool.release_slot(self.endpoint_id, self.slot_id, outcome, linger_s)
