"""Versions of a service that a request may use."""

from dataclasses import dataclass

from sesameknot.protocol.fleet_records import RolloutOrder, RolloutOutcome
from sesameknot.state.known_endpoint import KnownEndpoint


@dataclass(slots=True, frozen=True)
class VersionFilter:
    """Versions that a request may use.

    Parameters
    ----------
    only : str
        The only version allowed; empty for no such limit.
    prefer : str
        Version that is used if an endpoint serves it; empty for none.
    exclude : str
        Version that is used only if no other is served; empty for none.
    """

    only: str = ""
    prefer: str = ""
    exclude: str = ""

    def allows(self, version: str) -> bool:
        """Return whether an endpoint of ``version`` may be used."""
        if self.only:
            return version == self.only
        return version != self.exclude if self.exclude else True

    def narrow(self, candidates: list[KnownEndpoint]) -> list[KnownEndpoint]:
        """Return the candidates of the preferred version, or all if there is none."""
        if not self.prefer:
            return candidates
        preferred = [c for c in candidates if c.entry.version == self.prefer]
        return preferred or candidates


def versions_for_session(
    order: RolloutOrder | None, session_position: float
) -> VersionFilter:
    """Return the versions that a session may use.

    Parameters
    ----------
    order : RolloutOrder or None
        Roll-out of the service; None without one.
    session_position : float
        Fixed position of the session between 0 and 1; sessions below the share of the
        roll-out use its version.
    """
    if order is None:
        return VersionFilter()
    if order.outcome is RolloutOutcome.SUCCEEDED:
        return VersionFilter(only=order.target_version)
    on_target = (
        order.outcome is RolloutOutcome.RUNNING and session_position < order.share
    )
    if on_target:
        return VersionFilter(prefer=order.target_version)
    return VersionFilter(exclude=order.target_version)
