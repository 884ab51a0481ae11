"""Deterministic choice of a model version for a session."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

import xxhash

ALL_VERSIONS = "*"
_HASH_RANGE = float(1 << 64)


@dataclass(slots=True, frozen=True)
class VersionOptions:
    """Versions of one model and which of them a customer may use.

    Parameters
    ----------
    model : str
        Name of the model.
    versions : sequence of str
        All versions, in settings order.
    stable_version : str
        Version that serves the sessions outside a roll-out's share.
    allowed : collection of str
        Versions that the customer may use; ``*`` allows all of them.
    withdrawn : collection of str, default=()
        Withdrawn versions, which receive no new requests.
    rollout_version : str, default=""
        Version that is being rolled out; empty without a roll-out.
    rollout_share : float, default=0.0
        Share of new sessions that use the roll-out version, between 0 and 1.
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
    """Return whether a session or request falls into the share of a roll-out.

    A key within a share is also within every larger share of the same roll-out.
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
        Versions of the model and the customer's access to them.
    affinity_key : str
        Session id, or the request id if there is no session.
    pinned_version : str, default=""
        Version that the session already uses; kept while it is usable.

    Notes
    -----
    If the selected version is not usable, the stable version is tried next, then the
    other versions in reverse settings order. The version that is being rolled out is
    tried last, so that a withdrawal exposes as few callers to it as possible.
    """
    if pinned_version and options.usable(pinned_version):
        return pinned_version
    rollout_version = options.rollout_version
    if rollout_version and in_rollout(
        options.model, rollout_version, affinity_key, options.rollout_share
    ):
        candidates = [rollout_version, options.stable_version]
    else:
        candidates = [options.stable_version]
    candidates += [
        version for version in reversed(options.versions) if version != rollout_version
    ]
    candidates.append(rollout_version)
    return next((version for version in candidates if options.usable(version)), None)
