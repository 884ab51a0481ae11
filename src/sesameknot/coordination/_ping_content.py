"""Payload of pings and acks besides member updates."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from sesameknot.protocol.messages import CrashCount


def _empty_digest() -> int:
    return 0


def _unknown_age_ms() -> float:
    return math.inf


@dataclass(slots=True, kw_only=True)
class PingProviders:
    """Sources of the values that each ping and ack carries.

    Parameters
    ----------
    digest : callable
        Returns the digest of the object store.
    config_age_ms : callable
        Returns the upper bound on the age of the configuration in milliseconds.
    crash_counts : callable
        Returns the crash counts to send to peers.
    """

    digest: Callable[[], int] = _empty_digest
    config_age_ms: Callable[[], float] = _unknown_age_ms
    crash_counts: Callable[[], list[CrashCount]] = list


@dataclass(slots=True, frozen=True, kw_only=True)
class PeerObservation:
    """State of a peer as reported by a ping or ack from it.

    Parameters
    ----------
    host_id, address : str
        Host id and address of the peer.
    digest : int
        Digest of the peer's object store.
    config_age_ms : float
        Upper bound on the age of the peer's configuration when it sent the message.
    sent_s : float or None
        Monotonic time at which this host sent the ping that the message acknowledges.
        None if the message is a ping from the peer: its transit time has no bound,
        because it may have waited in a buffer while this process was paused.
    crashes : list of CrashCount
        Crash counts reported by the peer.
    """

    host_id: str
    address: str
    digest: int
    config_age_ms: float
    sent_s: float | None
    crashes: list[CrashCount] = field(default_factory=list)
