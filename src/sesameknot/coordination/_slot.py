"""Slots at endpoints, and how their requests end."""

from enum import StrEnum
from typing import Protocol

from sesameknot.errors import RouterError


class SlotOutcome(StrEnum):
    """How the request of a slot ended, as far as its endpoint is concerned."""

    DONE = "done"
    NOT_SENT = "not-sent"
    CANCELLED = "cancelled"
    COLD = "cold"
    LEAVING = "leaving"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"


class GrantError(RouterError):
    """A slot may no longer be used; nothing was sent."""


class SlotKeeper(Protocol):
    """What a slot needs of its holder."""

    def confirm(self, endpoint_id: str, token: int) -> None:
        """Mark a slot as sent, or raise ``GrantError``."""

    def give_back(
        self, endpoint_id: str, token: int, outcome: SlotOutcome, linger_s: float
    ) -> None:
        """Take a slot back."""


class Slot:
    """The right to send one request to one endpoint."""

    __slots__ = ("_holder", "_released", "endpoint_id", "token")

    def __init__(self, holder: SlotKeeper, endpoint_id: str, token: int) -> None:
        self._holder = holder
        self._released = False
        self.endpoint_id = endpoint_id
        self.token = token

    def check(self) -> None:
        """Confirm the grant; call it right before the first byte is written.

        Raises
        ------
        GrantError
            If the grant has expired or shrunk.
        """
        self._holder.confirm(self.endpoint_id, self.token)

    def release(
        self, outcome: SlotOutcome = SlotOutcome.DONE, *, linger_s: float = 0.0
    ) -> None:
        """Give the slot back; only the first call counts.

        Parameters
        ----------
        outcome : SlotOutcome, default=DONE
            How the request ended.
        linger_s : float, default=0.0
            Time for which the endpoint may go on running the request, for example
            until its deadline after a silent connection and an unconfirmed cancel.
        """
        if not self._released:
            self._released = True
            self._holder.give_back(self.endpoint_id, self.token, outcome, linger_s)
