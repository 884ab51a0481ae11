"""Command that explains from collected logs why a request ended as it did."""

from collections.abc import Iterable

from sesameknot.operator._registry import command
from sesameknot.operator._summary_text import summary_lines, summary_value
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.errors import UsageError
from sesameknot.operator.log_lines import LogLine, parse_line, read_texts, source_of
from sesameknot.operator.log_summarizer import LogSummarizer
from sesameknot.operator.results import ExitCode, Report

FILE_LIMIT_COUNT = 500
NOT_RUN_STATUS = 503


def lines_of(request_id: str, texts: Iterable[tuple[str, str]]) -> list[LogLine]:
    """Return the lines of a request in order of time.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    texts : iterable of (str, str)
        Source and text of log lines; what stands before the JSON names the source.
    """
    found = []
    for source, text in texts:
        if request_id not in text:
            continue
        line = parse_line(source, text)
        if line is not None and line.fields.get("request_id") == request_id:
            found.append(line)
    return sorted(found, key=lambda line: str(line.fields.get("timestamp", "")))


def conclusion(lines: list[LogLine]) -> str:
    """Return one sentence on how the request ended."""
    ends = [line for line in lines if line.event == "request_finished"]
    if not ends:
        return "No host logged its end: it still runs, or its host was killed."
    end = ends[-1].fields
    failures = [line.fields for line in lines if line.event == "attempt_failed"]
    tries = sum(line.event == "endpoint_picked" for line in lines)
    reason = end.get("reason") or "none"
    last = failures[-1] if failures else None
    cause = ""
    if last is not None:
        cause = (
            f" Last failed attempt: {last.get('endpoint')} at {last.get('step')}: "
            f"{last.get('reason')}."
        )
    sentences = {
        "answered": f"An endpoint answered with status {end.get('status')}.",
        "caller-left": "The caller closed the connection before the end.",
        "broken": f"The answer broke off: {reason}.",
        "fault": "A defect of ours ended it; see request_fault.",
        "ended": f"We ended it with {end.get('status')}: {reason}.",
    }
    text = sentences.get(str(end.get("outcome")), f"Outcome {end.get('outcome')}.")
    if end.get("outcome") == "ended" and end.get("status") == NOT_RUN_STATUS:
        text += " It has not run."
    return f"{text} Attempts: {tries}.{cause}"


@command(
    "explain",
    "REQUEST_ID LOG_FILE... | --summary LOG_FILE...",
    argument_counts=tuple(range(1, FILE_LIMIT_COUNT + 2)),
)
async def explain(context: OperatorContext, arguments: list[str]) -> Report:
    """Show the log lines of a request and what they say of its end, or a summary."""
    if context.summary:
        return _summary_report(arguments)
    request_id, *paths = arguments
    if not paths:
        raise UsageError("got no log file, expected one or more", step="explain")
    found = lines_of(request_id, read_texts(paths))
    if not found:
        return Report(
            lines=[f"error: no line of request {request_id} in {len(paths)} files"],
            exit_code=ExitCode.FAILED,
        )
    end = conclusion(found)
    return Report(
        lines=[*(line.text() for line in found), end],
        value={"lines": [line.fields for line in found], "conclusion": end},
    )


def _summary_report(paths: list[str]) -> Report:
    """Return the summary of all requests in the files."""
    summarizer = LogSummarizer()
    for path, text in read_texts(paths):
        summarizer.add(parse_line(source_of(path), text))
    summary = summarizer.finish()
    if not summary.total.ended_count:
        return Report(
            lines=[
                f"error: no line of a request in {len(paths)} files; "
                f"{summary.unreadable_count} of {summary.line_count} lines unreadable"
            ],
            value=summary_value(summary),
            exit_code=ExitCode.FAILED,
        )
    return Report(lines=summary_lines(summary), value=summary_value(summary))
