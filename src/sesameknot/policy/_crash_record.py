"""What hosts know, and tell each other, of the crashes under one request."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from sesameknot.policy.crash_evidence import Crash


@dataclass(slots=True, frozen=True)
class CrashEntry:
    """Endpoints that crashed under one request or prompt part.

    Parameters
    ----------
    fingerprint : int
        Hash of the request or part.
    endpoint_ids : frozenset of str
        Endpoints that crashed.
    age_s : float
        Time since the last crash.
    answered_age_s : float or None, default=None
        Time since the last answer that crashed no endpoint; None if there was none.
    crashes : mapping of str to Crash
        What is known of the crash of each endpoint, with times since the entry was
        made, thus negative ones. Builds before this one know nothing.
    """

    fingerprint: int
    endpoint_ids: frozenset[str]
    age_s: float
    answered_age_s: float | None = None
    crashes: Mapping[str, Crash] = field(default_factory=dict)

    @property
    def unanswered_ids(self) -> frozenset[str]:
        """Endpoints after whose crash no sound answer is known."""
        answered = {name for name, crash in self.crashes.items() if crash.answered}
        return self.endpoint_ids - answered


@dataclass(slots=True)
class CrashRecord:
    """What a host knows of the crashes under one request or prompt part.

    Parameters
    ----------
    crashes : dict of str to Crash
        Crashes by endpoint.
    last_crash_s, known_since_s : float
        Monotonic times of the last crash, and at which this host learned of the first.
    answered_s : float
        Time at which the last run with a sound answer had been sent.
    shared_until_s : float
        Time until which other hosts are told of an answer.
    last_turn : int
        Last turn that was looked at, so that a host sends one request in each of its
        turns.
    seen_here : bool
        Whether this host saw one of the crashes.
    """

    crashes: dict[str, Crash] = field(default_factory=dict)
    last_crash_s: float = 0.0
    known_since_s: float = 0.0
    answered_s: float = float("-inf")
    shared_until_s: float = float("-inf")
    last_turn: int = -1
    seen_here: bool = False

    @property
    def unanswered(self) -> dict[str, Crash]:
        """Crashes after which no sound answer is known."""
        return {name: c for name, c in self.crashes.items() if not c.answered}

    @property
    def answered_ids(self) -> set[str]:
        """Endpoints after whose crash the request was answered."""
        return {name for name, crash in self.crashes.items() if crash.answered}

    def mark_answered(self, answered_s: float) -> bool:
        """Note an answer against all crashes before it; return whether there were."""
        found = {
            name: replace(crash, answered=True)
            for name, crash in self.crashes.items()
            if crash.ended_s <= answered_s and not crash.answered
        }
        self.crashes.update(found)
        return bool(found)


def shifted(crash: Crash, offset_s: float) -> Crash:
    """Return ``crash`` with times from another origin."""
    began_s = None if crash.began_s is None else crash.began_s + offset_s
    return Crash(crash.ended_s + offset_s, began_s, crash.answered)
