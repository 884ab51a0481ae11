"""Interface that decides when a roll-out advances or stops; binaries inject it."""

from typing import Literal, Protocol

from sesameknot.protocol.messages import VersionStats
from sesameknot.protocol.rollout_object import RolloutObject
from sesameknot.settings.tree import RolloutSettings

StepVerdict = Literal["continue", "advance", "stop"]


class StepDecision(Protocol):
    """Decision on one step of a roll-out, or on a complete roll-out.

    The counters of the new version are counted since the step began, those of the
    stable version since the routers started.
    """

    @property
    def share(self) -> float:
        """Share of the callers that the new version should have now."""

    def verdict(
        self, stable: VersionStats, new: VersionStats, *, elapsed_s: float
    ) -> StepVerdict:
        """Return whether to continue, advance or stop.

        Parameters
        ----------
        stable, new : VersionStats
            Counters of the stable and of the new version.
        elapsed_s : float
            Time since the step began.
        """

    def raise_share(self, stable: VersionStats, new: VersionStats) -> None:
        """Raise :attr:`share` if the counters allow it."""


class RolloutDecision(Protocol):
    """Factory of the decisions on steps."""

    def step_decision(
        self, plan: RolloutSettings, rollout: RolloutObject
    ) -> StepDecision:
        """Return the decision on the current step, starting at its stored share."""
