"""Interface of the decision that moves a roll-out; binaries inject it."""

from typing import Literal, Protocol

from sesameknot.protocol.messages import VersionStats
from sesameknot.protocol.rollout_object import RolloutObject
from sesameknot.settings.tree import RolloutSettings

StepVerdict = Literal["continue", "advance", "stop"]


class StepDecision(Protocol):
    """Decision on one step, or on a complete roll-out.

    The counters of the new version are its growth since the step began, those of the
    stable version its total.
    """

    @property
    def share(self) -> float:
        """Share that the step should have now."""

    def verdict(
        self, stable: VersionStats, new: VersionStats, *, elapsed_s: float
    ) -> StepVerdict:
        """Return the next move, ``elapsed_s`` after the step began."""

    def raise_share(self, stable: VersionStats, new: VersionStats) -> None:
        """Raise :attr:`share` if the counters allow it."""


class RolloutDecision(Protocol):
    """Source of the decisions on steps."""

    def step_decision(
        self, plan: RolloutSettings, rollout: RolloutObject
    ) -> StepDecision:
        """Return the decision on the present step, from the stored share on."""
