"""Text and JSON value of a summary of logs."""

from typing import Any

from sesameknot.operator.log_summary import (
    LogSummary,
    Result,
    SizeGroup,
    Tally,
)
from sesameknot.operator.results import table

# Rows of the tables that engineers read; the JSON value has all.
REASON_LIMIT_COUNT = 30
STEP_LIMIT_COUNT = 200

_COUNT_HEADER = [
    "accepted",
    *Result,
    "in time %",
    "retries/request",
]


def summary_lines(summary: LogSummary) -> list[str]:
    """Return the tables and remarks for an engineer."""
    lines = []
    for name, groups in (
        ("route", summary.by_route),
        ("customer", summary.by_customer),
        ("failure domain", summary.by_domain),
        ("priority", summary.by_priority),
    ):
        rows = [[group, *_counts(groups[group])] for group in sorted(groups)]
        if name == "route":
            rows.append(["(all)", *_counts(summary.total)])
        lines += [f"By {name}:", *table([name, *_COUNT_HEADER], rows), ""]
    lines += [*_size_lines(summary.size_groups()), *_step_lines(summary)]
    return [*lines, *_reason_lines(summary), *_remarks(summary)]


def summary_value(summary: LogSummary) -> dict[str, Any]:
    """Return the summary as a JSON object."""
    return {
        "by_route": _values(summary.by_route),
        "by_customer": _values(summary.by_customer),
        "by_domain": _values(summary.by_domain),
        "by_priority": _values(summary.by_priority),
        "by_size": [_size_value(group) for group in summary.size_groups()],
        "steps": _step_values(summary),
        "reasons": _reason_values(summary),
        "line_count": summary.line_count,
        "unreadable_count": summary.unreadable_count,
        "unidentified_count": summary.unidentified_count,
        "dropped_line_count": summary.dropped_line_count,
        "handed_over_count": summary.handed_over_count,
        "orphan_count": summary.orphan_count,
        "missing_fields": summary.missing_fields,
    }


def _size_value(group: SizeGroup) -> dict[str, Any]:
    return {
        "route": group.route,
        "size": group.label,
        "min_tokens": group.min_tokens,
        "max_tokens": group.max_tokens,
        **_value(group.tally),
    }


def _step_values(summary: LogSummary) -> list[dict[str, Any]]:
    return [
        {
            "route": route,
            "result": result,
            "step": step,
            "last_count": time.last_count,
            "last_s": round(time.last_s, 3),
            "last_max_s": round(time.last_max_s, 3),
            "total_s": round(time.total_s, 3),
        }
        for (route, result, step), time in summary.steps.items()
    ]


def _reason_values(summary: LogSummary) -> list[dict[str, Any]]:
    return [
        {
            "route": route,
            "result": result,
            "status": status,
            "reason": reason,
            "count": ends.count,
            "duration_s": round(ends.duration_s, 3),
        }
        for (route, result, status, reason), ends in summary.reasons.items()
    ]


def _counts(tally: Tally) -> list[object]:
    return [
        tally.accepted_count,
        *(tally.result_counts[result] for result in Result),
        round(100.0 * tally.share(Result.IN_TIME), 1),
        round(tally.retry_count / max(1, tally.accepted_count), 3),
    ]


def _values(groups: dict[str, Tally]) -> dict[str, Any]:
    return {name: _value(groups[name]) for name in sorted(groups)}


def _value(tally: Tally) -> dict[str, Any]:
    return {
        "accepted": tally.accepted_count,
        "retries": tally.retry_count,
        **{result.replace(" ", "_"): n for result, n in tally.result_counts.items()},
    }


def _size_lines(groups: list[SizeGroup]) -> list[str]:
    rows = [
        [
            group.route,
            group.label,
            f"{group.min_tokens}-{group.max_tokens}",
            *_counts(group.tally),
        ]
        for group in groups
    ]
    if not rows:
        return ["By size: no line has prompt_tokens.", ""]
    header = ["route", "size", "prompt tokens", *_COUNT_HEADER]
    return ["By size of the prompt, within each route:", *table(header, rows), ""]


def _step_lines(summary: LogSummary) -> list[str]:
    lost_counts: dict[tuple[str, Result], int] = {}
    for (route, result, _), time in summary.steps.items():
        lost = lost_counts.get((route, result), 0)
        lost_counts[route, result] = lost + time.last_count
    rows = []
    for key, time in sorted(
        summary.steps.items(),
        key=lambda item: (*item[0][:2], -item[1].total_s, item[0]),
    ):
        share_ms = round(1000.0 * time.total_s / max(1, lost_counts[key[:2]]))
        if not time.last_count and not share_ms:
            continue
        mean_ms = round(1000.0 * time.last_s / max(1, time.last_count))
        max_ms = round(1000.0 * time.last_max_s)
        rows.append([*key, time.last_count, mean_ms, max_ms, share_ms])
    if not rows:
        return ["No request was late or lost.", ""]
    header = [
        "route",
        "result",
        "step",
        "last seen in it",
        "mean ms",
        "max ms",
        "ms/lost request",
    ]
    title = "Where late and lost requests spent their time:"
    shown = table(header, rows[:STEP_LIMIT_COUNT])
    return [title, *shown, *_more(len(rows), STEP_LIMIT_COUNT), ""]


def _reason_lines(summary: LogSummary) -> list[str]:
    found = sorted(summary.reasons.items(), key=lambda item: (-item[1].count, item[0]))
    rows = [
        [*key, ends.count, round(1000.0 * ends.duration_s / ends.count)]
        for key, ends in found[:REASON_LIMIT_COUNT]
    ]
    if not rows:
        return []
    header = ["route", "result", "status", "reason", "requests", "mean ms"]
    lines = ["Reasons:", *table(header, rows)]
    return [*lines, *_more(len(found), REASON_LIMIT_COUNT), ""]


def _more(count: int, limit_count: int) -> list[str]:
    return [f"and {count - limit_count} more"] if count > limit_count else []


def _remarks(summary: LogSummary) -> list[str]:
    remarks = [
        f"{summary.line_count} lines read, {summary.unreadable_count} unreadable."
    ]
    for count, text in (
        (summary.dropped_line_count, "Lines that front processes dropped"),
        (summary.unidentified_count, "Lines of requests without X-Request-Id"),
        (summary.handed_over_count, "Requests handed over, counted at the first host"),
        (summary.orphan_count, "Requests that ended without a request_accepted line"),
    ):
        if count:
            remarks.append(f"{text}: {count}.")
    remarks += [
        f"Lines without {name}: {count}, {_MISSING_EFFECTS.get(name, 'not shown')}."
        for name, count in sorted(summary.missing_fields.items())
    ]
    return remarks


_MISSING_EFFECTS = {
    "domain": "as no front_started line of the host came before them",
    "first_event_ms": "their answers count as untimed",
    "priority": "of an older build",
    "prompt_tokens": "left out of the table by size",
    "target_ms": "their answers count as untimed",
}
