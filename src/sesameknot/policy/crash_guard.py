"""Refusal of requests that crash endpoints."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

import xxhash

from sesameknot.clock import Clock
from sesameknot.policy._crash_record import CrashEntry, CrashRecord, shifted
from sesameknot.policy.crash_evidence import (
    FEWEST_TRIALS_COUNT,
    Crash,
    CrashTest,
    trial_sizes,
)

__all__ = ["CrashEntry", "CrashGuard", "request_fingerprint"]


def request_fingerprint(customer: str, target: str, *body: bytes | memoryview) -> int:
    """Return a stable hash of a customer's request.

    Parameters
    ----------
    customer : str
        Name of the customer.
    target : str
        Service path or model that the request is for.
    *body : bytes or memoryview
        Body of the request, whole or in parts, which do not change the hash.
    """
    digest = xxhash.xxh3_64(f"{customer}\0{target}\0".encode())
    for part in body:
        digest.update(part)
    return digest.intdigest()


class CrashGuard:
    """Decides which requests crash endpoints, by the evidence of all hosts.

    Hosts tell each other which endpoints crashed, and after which of these crashes the
    request was answered. Both only grow, so the order of messages does not matter.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limit_count : int, default=2
        Number of endpoints, crashed one after the other, at which a request without an
        answer is refused.
    retention_s : float, default=600.0
        Time in seconds after the last crash for which a fingerprint counts.
    size_limit : int, default=4096
        Maximum number of fingerprints; those that are not refused are evicted first, by
        the age of their last crash.
    place : callable, optional
        Returns the place of this host among the hosts that take turns with a request,
        and their number. By default, this host is the only one.
    """

    __slots__ = (
        "_answered_s",
        "_place",
        "_records",
        "_test",
        "clock",
        "limit_count",
        "retention_s",
        "size_limit",
    )

    # Each gossip hop understates an age by its transit time. Without a margin, two
    # hosts would renew each other's entries forever.
    REFRESH_MARGIN_S = 5.0
    # Several rounds of the exchange between hosts, across failure domains.
    RECENT_CRASH_S = 5.0
    # Time in seconds before a crash in which an answer speaks against it.
    ANSWERED_LIFE_S = 60.0
    # A refused request is tried once more after this time, so that a sound one that is
    # refused by mistake is served again. Each further trial doubles the time: the users
    # allow three runs after the third crash.
    REFUSAL_LIFE_S = 60.0
    # Longer than the time in which all hosts learn of a crash (two rounds of the
    # exchange, 0.8 s), so that the runs of two hosts seldom overlap.
    TURN_S = 1.0
    # Number of requests of which answers are remembered.
    ANSWERED_LIMIT_COUNT = 8192

    def __init__(
        self,
        *,
        clock: Clock,
        limit_count: int = 2,
        retention_s: float = 600.0,
        size_limit: int = 4096,
        place: Callable[[int], tuple[int, int]] = lambda _: (0, 1),
    ) -> None:
        self.clock = clock
        self.limit_count = limit_count
        self.retention_s = retention_s
        self.size_limit = size_limit
        self._place = place
        self._test = CrashTest(limit_count)
        self._records: dict[int, CrashRecord] = {}
        self._answered_s: OrderedDict[int, float] = OrderedDict()

    def record(
        self,
        fingerprint: int,
        endpoint_id: str,
        *,
        began_s: float | None = None,
        ended_s: float | None = None,
    ) -> None:
        """Record that ``endpoint_id`` crashed while it ran a request.

        Parameters
        ----------
        began_s, ended_s : float or None, default=None
            Monotonic times at which the run was sent and was found to have ended; the
            latter is now if None.
        """
        now_s = self.clock.monotonic_s()
        crash = Crash(now_s if ended_s is None else ended_s, began_s)
        record = self._merge_crashes(
            fingerprint, {endpoint_id: crash}, now_s, margin_s=0.0
        )
        record.seen_here = True

    def record_answer(self, fingerprint: int, *, began_s: float | None = None) -> None:
        """Record that a request was answered and crashed no endpoint.

        The answer speaks against crashes before ``began_s``, the time at which its run
        was sent; None is now. A run that was in flight at a crash may have begun before
        the request turned bad.
        """
        now_s = self.clock.monotonic_s()
        previous_s = self._answered_s.get(fingerprint, float("-inf"))
        answered_s = max(previous_s, now_s if began_s is None else began_s)
        self._answered_s[fingerprint] = answered_s
        self._answered_s.move_to_end(fingerprint)
        if len(self._answered_s) > self.ANSWERED_LIMIT_COUNT:
            self._answered_s.popitem(last=False)
        crash_record = self._records.get(fingerprint)
        if crash_record is not None:
            crash_record.answered_s = max(crash_record.answered_s, answered_s)
            if crash_record.mark_answered(answered_s):
                crash_record.shared_until_s = now_s + self.RECENT_CRASH_S

    def count(self, fingerprint: int) -> int:
        """Return the number of crashes after which a request was not answered."""
        crash_record = self._records.get(fingerprint)
        if crash_record is None or self._expired(crash_record):
            return 0
        return len(crash_record.unanswered)

    def last_crash_s(self, fingerprint: int) -> float:
        """Return the monotonic time of the last crash."""
        return self._records[fingerprint].last_crash_s

    def forget(self, fingerprint: int) -> None:
        """Delete an entry if there is one."""
        self._records.pop(fingerprint, None)

    def known_since_s(self, fingerprint: int) -> float:
        """Return the monotonic time at which this host first knew of a crash."""
        return self._records[fingerprint].known_since_s

    @property
    def has_entries(self) -> bool:
        """Whether any crash is recorded, including expired ones."""
        return bool(self._records)

    def refuses(self, fingerprint: int) -> bool:
        """Return whether a request's own crashes show that it crashes endpoints."""
        crash_record = self._records.get(fingerprint)
        return crash_record is not None and self._refused(crash_record)

    def _refused(self, crash_record: CrashRecord) -> bool:
        if len(crash_record.crashes) < self.limit_count or self._expired(crash_record):
            return False
        return self._test.refuses(
            crash_record.unanswered.values(),
            answered_before=self._answered_before(crash_record),
        )

    def _answered_before(self, crash_record: CrashRecord) -> bool:
        since_s = crash_record.last_crash_s - crash_record.answered_s
        return since_s < self.ANSWERED_LIFE_S

    def admits(self, fingerprint: int) -> bool:
        """Return whether a request may be sent now, judged by all crashes.

        A request in doubt has enough crashes, but another request may explain them, or
        they were at one moment. It may be sent by one host at a time, so that one run
        decides. The same holds for a refused one a while after its last crash. A call
        that returns True takes the turn of this host.
        """
        crash_record = self._records.get(fingerprint)
        if crash_record is None or self._expired(crash_record):
            return True
        unanswered = crash_record.unanswered
        if len(unanswered) < self.limit_count:
            return True
        since_crash_s = max(0.0, self.clock.monotonic_s() - crash_record.last_crash_s)
        explained = self._explained_ids(fingerprint, unanswered)
        if self._test.refuses(
            [crash for name, crash in unanswered.items() if name not in explained],
            explained=[unanswered[name] for name in explained],
            answered_before=self._answered_before(crash_record),
        ):
            further_count = len(trial_sizes(unanswered.values())) - FEWEST_TRIALS_COUNT
            if since_crash_s < self.REFUSAL_LIFE_S * 2.0 ** min(further_count, 8):
                return False
        turn = int(since_crash_s / self.TURN_S)
        if turn == crash_record.last_turn:
            return False
        crash_record.last_turn = turn
        place, host_count = self._place(fingerprint)
        # In its first turn, a host may have had no such request.
        hosts_in_turn_count = 1 if turn < host_count else 2
        return (turn - place) % host_count < hosts_in_turn_count

    def in_doubt(self, fingerprint: int) -> bool:
        """Return whether a request has as many crashes as one that is refused."""
        return self.count(fingerprint) >= self.limit_count

    def _explained_ids(
        self, fingerprint: int, unanswered: Mapping[str, Crash]
    ) -> set[str]:
        """Return the crashes at which another suspect was present.

        It must have more crashes, or exactly the same ones: then only further runs can
        tell which of the two it is.
        """
        explained: set[str] = set()
        for key, other in self._records.items():
            if len(other.crashes) < len(unanswered) or key == fingerprint:
                continue
            others = other.unanswered
            same = others.keys() == unanswered.keys()
            if (same or len(others) > len(unanswered)) and self._refused(other):
                explained |= unanswered.keys() & others.keys()
        return explained

    def refused_fingerprints(self) -> set[int]:
        """Return the requests that are refused by their own crashes."""
        return {key for key, found in self._records.items() if self._refused(found)}

    def merge(self, entries: Iterable[CrashEntry]) -> None:
        """Merge the entries of another host."""
        now_s = self.clock.monotonic_s()
        for entry in entries:
            if entry.age_s >= self.retention_s or not entry.endpoint_ids:
                continue
            last_crash_s = now_s - max(0.0, entry.age_s)
            crashes = {
                endpoint_id: shifted(entry.crashes[endpoint_id], now_s)
                if endpoint_id in entry.crashes
                else Crash(last_crash_s)
                for endpoint_id in entry.endpoint_ids
            }
            crash_record = self._merge_crashes(
                entry.fingerprint,
                crashes,
                last_crash_s,
                margin_s=self.REFRESH_MARGIN_S,
            )
            if entry.answered_age_s is not None:
                answered_s = now_s - entry.answered_age_s
                if answered_s > crash_record.answered_s + self.REFRESH_MARGIN_S:
                    crash_record.answered_s = answered_s

    def entries(self) -> list[CrashEntry]:
        """Return the entries that have not expired, latest crash first."""
        now_s = self.clock.monotonic_s()
        active = [
            self._entry(key, crash_record, now_s)
            for key, crash_record in self._records.items()
            if not self._expired(crash_record)
        ]
        active.sort(key=lambda entry: (entry.age_s, entry.fingerprint))
        return active

    def _entry(
        self, fingerprint: int, crash_record: CrashRecord, now_s: float
    ) -> CrashEntry:
        answered = crash_record.answered_s > float("-inf")
        return CrashEntry(
            fingerprint,
            frozenset(crash_record.crashes),
            now_s - crash_record.last_crash_s,
            now_s - crash_record.answered_s if answered else None,
            {
                endpoint_id: shifted(crash, -now_s)
                for endpoint_id, crash in crash_record.crashes.items()
            },
        )

    def entries_to_share(self) -> list[CrashEntry]:
        """Return the entries that other hosts need, the most important first.

        An endpoint that crashes adds an entry for each request in flight at it, so the
        latest entries alone would hide the one request that crashes endpoints.
        Requests that are refused or in doubt come first and are shared until they
        expire. Others are shared while their last crash, or the answer after it, is
        recent.
        """
        now_s = self.clock.monotonic_s()
        refused, recent = [], []
        for entry in self.entries():
            if len(entry.unanswered_ids) >= self.limit_count:
                refused.append(entry)
            elif (
                entry.age_s < self.RECENT_CRASH_S
                or self._records[entry.fingerprint].shared_until_s > now_s
            ):
                recent.append(entry)
        recent.sort(key=lambda entry: -len(entry.endpoint_ids))
        return refused + recent

    def refused_after_own_crashes(self) -> list[CrashEntry]:
        """Return the refused requests of which this host saw a crash."""
        refused_fingerprints = self.refused_fingerprints()
        return [
            entry
            for entry in self.entries()
            if self._records[entry.fingerprint].seen_here
            and entry.fingerprint in refused_fingerprints
        ]

    def answered_since(self, fingerprint: int) -> bool:
        """Return whether a request that had crashes is known as sound since."""
        crash_record = self._records.get(fingerprint)
        return crash_record is not None and not crash_record.unanswered

    def expire(self) -> None:
        """Delete old entries.

        An expired entry is kept for a second retention period, so that a delayed copy
        from another host is not taken for a new crash.
        """
        limit_s = self.clock.monotonic_s() - 2 * self.retention_s
        for key in [k for k, c in self._records.items() if c.last_crash_s <= limit_s]:
            del self._records[key]

    def _expired(self, crash_record: CrashRecord) -> bool:
        return self.clock.monotonic_s() - crash_record.last_crash_s >= self.retention_s

    def _merge_crashes(
        self,
        fingerprint: int,
        crashes: Mapping[str, Crash],
        last_crash_s: float,
        *,
        margin_s: float,
    ) -> CrashRecord:
        now_s = self.clock.monotonic_s()
        crash_record = self._records.get(fingerprint)
        if crash_record is None:
            answered_s = self._answered_s.get(fingerprint, float("-inf"))
            crash_record = CrashRecord(
                last_crash_s=last_crash_s, known_since_s=now_s, answered_s=answered_s
            )
            self._records[fingerprint] = crash_record
        elif last_crash_s - crash_record.last_crash_s >= self.retention_s:
            crash_record.crashes.clear()
        known = crash_record.crashes
        has_all_endpoints = known.keys() >= crashes.keys()
        answered_ids = crash_record.answered_ids
        for endpoint_id, crash in crashes.items():
            previous = known.get(endpoint_id)
            known[endpoint_id] = crash if previous is None else previous.merged(crash)
        crash_record.mark_answered(self._answered_s.get(fingerprint, float("-inf")))
        if crash_record.answered_ids != answered_ids or any(
            not crash.answered
            for name, crash in crashes.items()
            if known[name].answered
        ):
            # Either side doesn't know of an answer yet.
            crash_record.shared_until_s = now_s + self.RECENT_CRASH_S
        if not has_all_endpoints or last_crash_s > crash_record.last_crash_s + margin_s:
            crash_record.last_crash_s = max(crash_record.last_crash_s, last_crash_s)
        self._limit_size()
        return crash_record

    def _limit_size(self) -> None:
        if len(self._records) > self.size_limit:
            self.expire()
        while len(self._records) > self.size_limit:
            del self._records[min(self._records, key=self._eviction_rank)]

    def _eviction_rank(self, fingerprint: int) -> tuple[bool, float]:
        crash_record = self._records[fingerprint]
        return self._refused(crash_record), crash_record.last_crash_s
