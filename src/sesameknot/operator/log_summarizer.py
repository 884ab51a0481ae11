"""Builds a summary of requests from log lines.

The state is one small record per open request and counters whose number is bounded, so
that logs of any length can be summarised.
"""

import math
import re
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, TypeVar

from sesameknot.operator.log_lines import LogLine
from sesameknot.operator.log_summary import (
    ANSWERED_RESULTS,
    EndReason,
    LogSummary,
    Result,
    SizeClass,
    StepTime,
    Tally,
)

# Requests without an end beyond this count are closed, the oldest first.
OPEN_LIMIT_COUNT = 100_000
# Groups of one kind, such as customers, beyond this count share one.
GROUP_LIMIT_COUNT = 1_000
OTHER_GROUP = "(other)"
# Sources whose last line is remembered; prefixes that name no host would be many.
SOURCE_LIMIT_COUNT = 10_000
# Longer names and reasons are cut.
NAME_LIMIT_CHARS = 200
# Value of a group whose field is missing.
MISSING = "(none)"
# Size classes of all routes; a route with prompts of 100 to 50,000 tokens has 314.
SIZE_LIMIT_COUNT = 10_000
# Sizes within this ratio are counted together.
SIZE_STEP_RATIO = 1.02
# Statuses of our own answers that say that the request has not run.
REFUSED_STATUSES = frozenset({401, 404, 408, 421, 429, 503})
SERVER_ERROR_STATUS = 500

# Events of a request that do not change what it waits for.
SIDE_EVENTS = frozenset(
    {
        "endpoint_down_after_request",
        "endpoint_leaving",
        "endpoint_limit_changed",
        "endpoint_notice_malformed",
        "endpoint_overload_limit_changed",
        "endpoint_paused",
        "error_answer_not_sent",
        "request_body_refused",
        "request_fault",
        "request_in_doubt_sent",
        "request_known_as_sound",
        "request_refused_by_peer_counts",
        "retry_budget_spent",
    }
)
# What a request does after an event; events that are not listed stand for themselves.
STEPS = {
    "request_accepted": "before first attempt",
    "endpoint_picked": "at endpoint",
    "attempt_overdue": "at silent endpoint",
    "attempt_refused": "after refusal by endpoint",
    "answer_dropped_for_larger_model": "at endpoint, larger model",
    "answer_kept": "at endpoint",
    "stream_continues": "between attempts",
    "request_handed_over": "at other host",
}
STREAMING_STEP = "streaming"
ENTRY_STEP = "before acceptance"

KeyT = TypeVar("KeyT", bound=Hashable)
GroupT = TypeVar("GroupT")


@dataclass(slots=True)
class _OpenRequest:
    source: str
    route: str = MISSING
    customer: str = MISSING
    domain: str = MISSING
    priority: str = MISSING
    target_ms: float | None = None
    prompt_tokens: int | None = None
    accepted: bool = False
    handed_over: bool = False
    accepted_s: float | None = None
    deadline_s: float | None = None
    step: str = ENTRY_STEP
    step_since_s: float | None = None
    step_times_s: dict[str, float] = field(default_factory=dict)
    attempt_count: int = 0
    dropped_answer_count: int = 0

    @property
    def retry_count(self) -> int:
        """Attempts beyond the first one of each model that was asked in turn."""
        return max(0, self.attempt_count - 1 - self.dropped_answer_count)

    def enter(self, step: str, now_s: float | None) -> float:
        """Begin a step and return how long the one before took."""
        time_s = 0.0
        if now_s is not None and self.step_since_s is not None:
            time_s = max(0.0, now_s - self.step_since_s)
            spent_s = self.step_times_s.get(self.step, 0.0)
            self.step_times_s[self.step] = spent_s + time_s
        self.step = step
        if now_s is not None:
            self.step_since_s = now_s
        return time_s

    def note_arrival(self, arrived_s: float) -> None:
        """Count the time between arrival and acceptance."""
        if self.accepted_s is None:
            self.step_since_s = arrived_s
        else:
            self.step_times_s[ENTRY_STEP] = max(0.0, self.accepted_s - arrived_s)

    def note_first_event(self, first_event_at_s: float) -> None:
        """Count the time since the first event apart, if it came in this step."""
        if self.step_since_s is not None and first_event_at_s >= self.step_since_s:
            self.enter(STREAMING_STEP, first_event_at_s)


class LogSummarizer:
    """Builds a summary from log lines, each source's in order of time."""

    __slots__ = ("_domains", "_last_s", "_open", "summary")

    def __init__(self) -> None:
        self.summary = LogSummary()
        self._open: dict[tuple[str, str], _OpenRequest] = {}
        self._domains: dict[str, str] = {}
        self._last_s: dict[str, float] = {}

    def add(self, line: LogLine | None) -> None:
        """Add a line; None stands for one that cannot be read."""
        self.summary.line_count += 1
        if line is None:
            self.summary.unreadable_count += 1
            return
        fields = line.fields
        now_s = _time_s(fields.get("timestamp"))
        if line.source in self._last_s or len(self._last_s) < SOURCE_LIMIT_COUNT:
            self._last_s[line.source] = now_s or self._last_s.get(line.source, 0.0)
        if line.event == "front_started":
            if line.source in self._last_s:
                self._domains[line.source] = _name(fields.get("domain"))
        elif line.event == "log_lines_dropped":
            self.summary.dropped_line_count += int(_number(fields.get("count")) or 0)
        if "request_id" not in fields:
            return
        if not fields["request_id"]:
            self.summary.unidentified_count += 1
            return
        key = (line.source, str(fields["request_id"]))
        if line.event == "request_accepted":
            self._accept(key, fields, now_s)
        elif line.event == "request_finished":
            self._finish(key, fields, now_s)
        elif key in self._open and line.event not in SIDE_EVENTS:
            self._advance(self._open[key], line, now_s)

    def finish(self) -> LogSummary:
        """Close the requests without an end and return the summary."""
        while self._open:
            self._close_oldest()
        return self.summary

    def _accept(
        self, key: tuple[str, str], fields: dict[str, Any], now_s: float | None
    ) -> None:
        if key in self._open:
            self._close_unfinished(self._open.pop(key))
        if len(self._open) >= OPEN_LIMIT_COUNT:
            self._close_oldest()
        source = key[0]
        domain = fields.get("domain") or self._domains.get(source)
        target_ms = _number(fields.get("target_ms"))
        prompt_tokens = _number(fields.get("prompt_tokens"))
        time_left_ms = _number(fields.get("time_left_ms"))
        priority = fields.get("priority")
        for name, value in (
            ("domain", domain),
            ("target_ms", target_ms),
            ("prompt_tokens", prompt_tokens),
            ("priority", priority),
        ):
            self._note_missing(name, value)
        self._open[key] = _OpenRequest(
            source,
            route=_name(fields.get("route")),
            customer=_name(fields.get("customer")),
            domain=_name(domain),
            priority=MISSING if priority is None else _name(str(priority)),
            target_ms=target_ms,
            prompt_tokens=None if prompt_tokens is None else int(prompt_tokens),
            accepted=True,
            handed_over=fields.get("handed_over") is True,
            accepted_s=now_s,
            deadline_s=None
            if now_s is None or time_left_ms is None
            else now_s + time_left_ms / 1000.0,
            step=STEPS["request_accepted"],
            step_since_s=now_s,
        )

    def _advance(
        self, request: _OpenRequest, line: LogLine, now_s: float | None
    ) -> None:
        fields = line.fields
        step = STEPS.get(line.event, line.event)
        if line.event == "endpoint_picked":
            attempt = _number(fields.get("attempt"))
            count = request.attempt_count + 1 if attempt is None else int(attempt)
            request.attempt_count = max(request.attempt_count, count)
        elif line.event == "answer_dropped_for_larger_model":
            request.dropped_answer_count += 1
        elif line.event == "attempt_failed":
            step = f"after failure at {fields.get('step') or MISSING}"
        request.enter(step, now_s)

    def _finish(
        self, key: tuple[str, str], fields: dict[str, Any], now_s: float | None
    ) -> None:
        request = self._open.pop(key, None)
        duration_s = (_number(fields.get("duration_ms")) or 0.0) / 1000.0
        if request is None:
            self.summary.orphan_count += 1
            request = _OpenRequest(key[0], domain=self._domains.get(key[0], MISSING))
        result = self._result(request, fields)
        first_event_ms = _number(fields.get("first_event_ms"))
        if now_s is not None:
            arrived_s = now_s - duration_s
            request.note_arrival(arrived_s)
            if first_event_ms is not None:
                request.note_first_event(arrived_s + first_event_ms / 1000.0)
        self._record(request, result, now_s)
        if result not in ANSWERED_RESULTS and not request.handed_over:
            status = int(_number(fields.get("status")) or 0)
            # Numbers and hosts' names with numbers would make each reason its own.
            reason = re.sub(r"\d+", "N", _name(fields.get("reason")))
            reason_key = (request.route, result, status, reason)
            other = (OTHER_GROUP, result, 0, OTHER_GROUP)
            ends = _group(self.summary.reasons, reason_key, EndReason, other=other)
            ends.count += 1
            ends.duration_s += duration_s

    def _result(self, request: _OpenRequest, fields: dict[str, Any]) -> Result:
        outcome = fields.get("outcome")
        status = int(_number(fields.get("status")) or 0)
        if outcome == "caller-left":
            return Result.LEFT
        if outcome == "ended" and status in REFUSED_STATUSES:
            return Result.REFUSED
        if outcome != "answered" or status >= SERVER_ERROR_STATUS:
            return Result.FAILED
        first_event_ms = _number(fields.get("first_event_ms"))
        if "first_event_ms" not in fields:
            self._note_missing("first_event_ms", None)
            return Result.UNTIMED
        if first_event_ms is None:
            # A plain answer, or a stream without events, comes as a whole.
            first_event_ms = _number(fields.get("duration_ms"))
        if request.target_ms is None or first_event_ms is None:
            return Result.UNTIMED
        return Result.IN_TIME if first_event_ms <= request.target_ms else Result.LATE

    def _close_oldest(self) -> None:
        key = next(iter(self._open))
        self._close_unfinished(self._open.pop(key))

    def _close_unfinished(self, request: _OpenRequest) -> None:
        end_s = self._last_s.get(request.source)
        if end_s is not None and request.deadline_s is not None:
            # The caller has stopped waiting then.
            end_s = min(end_s, request.deadline_s)
        self._record(request, Result.UNFINISHED, end_s)

    def _record(
        self, request: _OpenRequest, result: Result, now_s: float | None
    ) -> None:
        if request.handed_over:
            self.summary.handed_over_count += 1
            return
        summary = self.summary
        tallies = [
            _group(groups, name, Tally, other=OTHER_GROUP)
            for groups, name in (
                (summary.by_route, request.route),
                (summary.by_customer, request.customer),
                (summary.by_domain, request.domain),
                (summary.by_priority, request.priority),
            )
        ]
        # Plain requests have no prompt.
        if request.prompt_tokens:
            tallies.append(self._size_tally(request.route, request.prompt_tokens))
        for tally in tallies:
            tally.record(
                result, accepted=request.accepted, retry_count=request.retry_count
            )
        if result is not Result.IN_TIME and result is not Result.UNTIMED:
            self._record_steps(request, result, now_s)

    def _size_tally(self, route: str, tokens: int) -> Tally:
        index = int(math.log(max(1, tokens)) / math.log(SIZE_STEP_RATIO))
        size_class = _group(
            self.summary.sizes,
            (route, index),
            lambda: SizeClass(tokens, tokens),
            other=(OTHER_GROUP, 0),
            limit_count=SIZE_LIMIT_COUNT,
        )
        size_class.min_tokens = min(size_class.min_tokens, tokens)
        size_class.max_tokens = max(size_class.max_tokens, tokens)
        return size_class.tally

    def _record_steps(
        self, request: _OpenRequest, result: Result, now_s: float | None
    ) -> None:
        last_step = request.step
        last_s = request.enter(last_step, now_s)
        for step in {**request.step_times_s, last_step: 0.0}:
            step_time = _group(
                self.summary.steps,
                (request.route, result, step),
                StepTime,
                other=(OTHER_GROUP, result, OTHER_GROUP),
            )
            step_time.total_s += request.step_times_s.get(step, 0.0)
            if step == last_step:
                step_time.last_count += 1
                step_time.last_s += last_s
                step_time.last_max_s = max(step_time.last_max_s, last_s)

    def _note_missing(self, name: str, value: object) -> None:
        if value is None:
            counts = self.summary.missing_fields
            counts[name] = counts.get(name, 0) + 1


def _group(
    groups: dict[KeyT, GroupT],
    key: KeyT,
    new: Callable[[], GroupT],
    *,
    other: KeyT,
    limit_count: int = GROUP_LIMIT_COUNT,
) -> GroupT:
    """Return the group with ``key``, or the shared one if there are too many."""
    found = groups.get(key)
    if found is None:
        if len(groups) >= limit_count:
            key = other
        found = groups.setdefault(key, new())
    return found


def _name(value: object) -> str:
    return str(value)[:NAME_LIMIT_CHARS] if value else MISSING


def _number(value: object) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) else None


def _time_s(timestamp: object) -> float | None:
    try:
        return datetime.fromisoformat(str(timestamp)).timestamp()
    except (ValueError, OverflowError):
        return None
