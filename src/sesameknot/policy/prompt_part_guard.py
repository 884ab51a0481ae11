"""Refusal of requests with a prompt part that crashes endpoints.

Every request in flight at an endpoint that crashes is a suspect with all its parts, so
a count alone would soon refuse the parts that most requests share. Two things tell the
crashing part from the others: no answer with it goes well while others do, and it
explains the crashes at which the others were present.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

import xxhash

from sesameknot.clock import Clock
from sesameknot.policy.crash_guard import CrashEntry, CrashGuard


def part_fingerprint(part_id: str) -> int:
    """Return a stable hash of a prompt part's identifier."""
    return xxhash.xxh3_64_intdigest(part_id.encode())


class PromptPartGuard:
    """Counts crashes by prompt part and refuses the parts that explain them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limit_count : int, default=4
        Crashes that a part must explain before it is refused. Others may have happened
        for another reason, or while the part's requests were only waiting.
    retention_s : float, default=600.0
        Time in seconds after the last crash for which a part counts.
    answered_life_s : float, default=60.0
        Time in seconds for which an answer shows that a part crashes no endpoint.
    size_limit : int, default=8192
        Maximum number of parts of which answers are remembered.
    """

    __slots__ = (
        "_answered_s",
        "_counts",
        "_crashed_s",
        "_groups",
        "_groups_as_of_s",
        "_last_answer_s",
        "_once_refused",
        "answered_life_s",
        "clock",
        "limit_count",
        "retention_s",
        "size_limit",
    )

    # Entries expire slowly, so groups without a new crash may be this old.
    GROUPS_LIFE_S = 1.0
    # A refusal is lifted this long after the last crash, so that a part that was blamed
    # by mistake is served again. Each further crash doubles the time.
    REFUSAL_LIFE_S = 30.0
    # The same while no request at all is answered.
    UNCONFIRMED_LIFE_S = 10.0
    # Part of the crashes in its time that a refused part must explain.
    EXPLAINED_SHARE = 0.5

    def __init__(
        self,
        *,
        clock: Clock,
        limit_count: int = 4,
        retention_s: float = 600.0,
        answered_life_s: float = 60.0,
        size_limit: int = 8192,
    ) -> None:
        self.clock = clock
        self.limit_count = limit_count
        self.retention_s = retention_s
        self.answered_life_s = answered_life_s
        self.size_limit = size_limit
        self._counts = CrashGuard(
            clock=clock, limit_count=limit_count, retention_s=retention_s
        )
        self._answered_s: OrderedDict[int, float] = OrderedDict()
        self._last_answer_s = float("-inf")
        # When this host learned of each endpoint's crash, as nearly as entries tell.
        self._crashed_s: dict[str, float] = {}
        self._groups: list[frozenset[int]] | None = None
        self._groups_as_of_s = float("-inf")
        self._once_refused: set[int] = set()

    @property
    def has_entries(self) -> bool:
        """Whether any crash is recorded, including expired ones."""
        return self._counts.has_entries

    def record_crash(self, parts: Iterable[int], endpoint_id: str) -> None:
        """Record that ``endpoint_id`` crashed while it had a request with ``parts``."""
        self._crashed_s.setdefault(endpoint_id, self.clock.monotonic_s())
        for part in parts:
            self._counts.record(part, endpoint_id)
        self._groups = None

    def record_answer(self, parts: Iterable[int]) -> None:
        """Record that a request with ``parts`` was answered and crashed no endpoint."""
        now_s = self.clock.monotonic_s()
        for part in parts:
            self._set_answered(part, now_s)

    def _set_answered(self, part: int, answered_s: float) -> None:
        self._last_answer_s = max(self._last_answer_s, answered_s)
        previous_s = self._answered_s.get(part, float("-inf"))
        self._answered_s[part] = max(previous_s, answered_s)
        self._answered_s.move_to_end(part)
        if len(self._answered_s) > self.size_limit:
            self._answered_s.popitem(last=False)
        if self._counts.count(part):
            self._groups = None
            if self._counts.last_crash_s(part) <= answered_s:
                self._counts.forget(part)

    def _answered(self, part: int) -> bool:
        answered_s = self._answered_s.get(part, float("-inf"))
        return self.clock.monotonic_s() - answered_s < self.answered_life_s

    def refuses(self, parts: Iterable[int]) -> bool:
        """Return whether a request with ``parts`` may crash an endpoint."""
        requested = frozenset(parts)
        return any(group <= requested for group in self.refused_groups())

    def refused_groups(self) -> list[frozenset[int]]:
        """Return the groups of parts that are refused together.

        Parts that were present at the same crashes can't be told apart. A request is
        refused only if it has all of them, so a sound one that shares some is served.
        """
        now_s = self.clock.monotonic_s()
        if self._groups is None or now_s - self._groups_as_of_s > self.GROUPS_LIFE_S:
            self._groups = self._explain()
            self._groups_as_of_s = now_s
            self._once_refused.update(*self._groups)
        return self._groups

    def _explain(self) -> list[frozenset[int]]:
        """Return groups that explain all crashes of suspected parts, the largest first.

        A part whose crashes a larger group explains was only present at them.
        """
        parts_by_crashes = self._suspects()
        groups = []
        explained: set[str] = set()
        for crashes in sorted(parts_by_crashes, key=len, reverse=True):
            if self._is_cause(crashes, explained):
                groups.append(frozenset(parts_by_crashes[crashes]))
                explained |= crashes
        return groups

    def _suspects(self) -> dict[frozenset[str], set[int]]:
        """Return the suspected parts by the crashes at which they were present."""
        parts_by_crashes: dict[frozenset[str], set[int]] = {}
        for entry in self._counts.entries():
            if len(entry.endpoint_ids) < self.limit_count:
                continue
            if self._suspected(entry.fingerprint):
                parts = parts_by_crashes.setdefault(entry.endpoint_ids, set())
                parts.add(entry.fingerprint)
        return parts_by_crashes

    def _suspected(self, part: int) -> bool:
        """Return whether answers go well, but none with ``part``.

        As long as nothing is answered, the endpoints may fail for another reason.
        Refusing for long what all requests share would leave nothing that could show it
        as sound.
        """
        if self._answered(part):
            return False
        since_crash_s = self.clock.monotonic_s() - self._counts.last_crash_s(part)
        if self._last_answer_s < self._counts.known_since_s(part):
            return since_crash_s < self.UNCONFIRMED_LIFE_S
        further_crash_count = self._counts.count(part) - self.limit_count
        return since_crash_s < self.REFUSAL_LIFE_S * 2.0**further_crash_count

    def _is_cause(self, crashes: frozenset[str], explained: set[str]) -> bool:
        """Return whether a part at ``crashes`` explains enough that others don't.

        Endpoints that crash for another reason had many parts; each of them was at few
        of the crashes in its time.
        """
        unexplained_count = len(crashes - explained)
        if unexplained_count < self.limit_count:
            return False
        now_s = self.clock.monotonic_s()
        times_s = [self._crashed_s.get(endpoint_id, now_s) for endpoint_id in crashes]
        first_s, last_s = min(times_s), max(times_s)
        in_its_time_count = sum(
            first_s <= crashed_s <= last_s
            for endpoint_id, crashed_s in self._crashed_s.items()
            if endpoint_id not in explained
        )
        return unexplained_count >= self.EXPLAINED_SHARE * in_its_time_count

    def refused_fingerprints(self) -> set[int]:
        """Return the parts of all refused groups."""
        return {part for group in self.refused_groups() for part in group}

    def count(self, fingerprint: int) -> int:
        """Return the number of crashes at which a part was present."""
        return self._counts.count(fingerprint)

    def answered_since(self, fingerprint: int) -> bool:
        """Return whether a part was answered after all crashes that are known."""
        return not self._counts.count(fingerprint) and self._answered(fingerprint)

    def merge(self, entries: Iterable[CrashEntry]) -> None:
        """Merge the entries of another host."""
        now_s = self.clock.monotonic_s()
        for entry in entries:
            if entry.answered_age_s is not None:
                self._set_answered(entry.fingerprint, now_s - entry.answered_age_s)
            answered_s = self._answered_s.get(entry.fingerprint, float("-inf"))
            if now_s - entry.age_s <= answered_s:
                # All crashes of the entry are older than an answer.
                continue
            for endpoint_id in entry.endpoint_ids:
                self._crashed_s.setdefault(endpoint_id, now_s - entry.age_s)
            # This guard judges by answers itself.
            self._counts.merge([replace(entry, answered_age_s=None)])
        self._groups = None

    def entries_to_share(self) -> list[CrashEntry]:
        """Return the entries that other hosts need, with the age of the last answer."""
        return [self._with_answer(e) for e in self._counts.entries_to_share()]

    def _with_answer(self, entry: CrashEntry) -> CrashEntry:
        if not self._answered(entry.fingerprint):
            return entry
        age_s = self.clock.monotonic_s() - self._answered_s[entry.fingerprint]
        return replace(entry, answered_age_s=age_s)

    def refused_after_own_crashes(self) -> list[CrashEntry]:
        """Return the parts that were refused and of which this host saw a crash.

        A part whose refusal was lifted is among them: it is refused again after one
        more crash.
        """
        self.refused_groups()
        entries = self._counts.refused_after_own_crashes()
        return [entry for entry in entries if entry.fingerprint in self._once_refused]

    def expire(self) -> None:
        """Delete old entries and crashes."""
        self._counts.expire()
        limit_s = self.clock.monotonic_s() - self.retention_s
        self._once_refused &= self._counts.refused_fingerprints()
        present = {e for entry in self._counts.entries() for e in entry.endpoint_ids}
        for endpoint_id in [e for e, at_s in self._crashed_s.items() if at_s < limit_s]:
            if endpoint_id not in present:
                del self._crashed_s[endpoint_id]
