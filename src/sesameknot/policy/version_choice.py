"""Deterministic choice of a model's version."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

import xxhash

ALL_VERSIONS = "*"
_HASH_RANGE = float(1 << 64)


@dataclass(slots=True, frozen=True)
class VersionOptions:
    """What a customer's request may use of one model.

    Parameters
    ----------
    model : str
        Name of the model.
    versions : sequence of str
        All versions, in the order of the settings.
    stable_version : str
        Version that serves where no roll-out says otherwise.
    allowed : collection of str
        Versions that the customer may use; ``*`` allows all.
    withdrawn : collection of str, default=()
        Versions that receive no new work.
    rollout_version : str, default=""
        Version that is being rolled out; empty without a roll-out.
    rollout_share : float, default=0.0
        Share of new sessions that get it, between 0 and 1.
    """

    model: str
    versions: Sequence[str]
    stable_version: str
    allowed: Collection[str]
    withdrawn: Collection[str] = ()
    rollout_version: str = ""
    rollout_share: float = 0.0

    def usable(self, version: str) -> bool:
        """Return whether a request may run on ``version``."""
        if version not in self.versions or version in self.withdrawn:
            return False
        return ALL_VERSIONS in self.allowed or version in self.allowed


def in_rollout(model: str, version: str, affinity_key: str, share: float) -> bool:
    """Return whether a session or request belongs to a roll-out's share.

    A key that belongs to a share belongs to every larger share of the same roll-out.
    """
    key = f"{model}\0{version}\0{affinity_key}".encode()
    digest = xxhash.xxh3_64_intdigest(key)
    return digest / _HASH_RANGE < share


def choose_version(
    options: VersionOptions, affinity_key: str, *, pinned_version: str = ""
) -> str | None:
    """Return the version for a session or request, or None if none is usable.

    Parameters
    ----------
    options : VersionOptions
        What the customer may use.
    affinity_key : str
        Session id, or the request id of a request without a session.
    pinned_version : str, default=""
        Version that the session already has; kept while it is usable.

    Notes
    -----
    If the version of choice is not usable, the stable version is next, then the other
    versions from the last to the first of the settings, and the version that is being
    rolled out comes last, so that a withdrawal exposes as few callers to it as
    possible.
    """
    if pinned_version and options.usable(pinned_version):
        return pinned_version
    new = options.rollout_version
    if new and in_rollout(options.model, new, affinity_key, options.rollout_share):
        order = [new, options.stable_version]
    else:
        order = [options.stable_version]
    order += [version for version in reversed(options.versions) if version != new]
    order.append(new)
    return next((version for version in order if options.usable(version)), None)
