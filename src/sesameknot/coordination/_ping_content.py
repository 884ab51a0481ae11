"""What pings carry besides member updates, and what they tell about a peer."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from sesameknot.protocol.messages import CrashCount


def _no_digest() -> int:
    return 0


def _no_age() -> float:
    return math.inf


@dataclass(slots=True, kw_only=True)
class PingProviders:
    """Sources of the values that each ping and its answer carry.

    Parameters
    ----------
    digest : callable
        Digest of the object store.
    config_age_ms : callable
        Upper bound on the age of the configuration.
    crash_counts : callable
        Crash counts to spread.
    """

    digest: Callable[[], int] = _no_digest
    config_age_ms: Callable[[], float] = _no_age
    crash_counts: Callable[[], list[CrashCount]] = list


@dataclass(slots=True, frozen=True, kw_only=True)
class PeerObservation:
    """What a ping or its answer told about a peer.

    Parameters
    ----------
    host_id, address : str
        The peer.
    digest : int
        Digest of its object store.
    config_age_ms : float
        Upper bound on the age of its configuration when it sent the message.
    sent_s : float or None
        Monotonic time at which the ping was sent that the message answers. None if
        the message is a ping of the peer: its transit time is not bounded, because
        it may have waited in a buffer while this process was paused.
    crashes : list of CrashCount
        Crash counts that the peer spreads.
    """

    host_id: str
    address: str
    digest: int
    config_age_ms: float
    sent_s: float | None
    crashes: list[CrashCount] = field(default_factory=list)
