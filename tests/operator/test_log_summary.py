"""Tests of the summary of requests in logs."""

import json
from unittest import mock

from structlog.testing import capture_logs
from testtools import TestCase
from testtools.matchers import Contains, Equals
from tornado.testing import gen_test

from sesameknot.operator import log_summarizer
from sesameknot.operator.log_lines import LINE_LIMIT_BYTES, LogLine, parse_line
from sesameknot.operator.log_summarizer import LogSummarizer
from sesameknot.operator.log_summary import Result
from sesameknot.operator.results import ExitCode
from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    FrontWorld,
    configuration,
)
from tests.operator.command_world import CommandTestCase


def line(event, at_s, request_id="r1", host="front-a", **fields):
    """Return a line of a front process behind the host's name."""
    record = {"request_id": request_id, **fields, "event": event}
    record["timestamp"] = f"2026-12-06T20:00:{at_s:09.6f}Z"
    return f"{host} {json.dumps(record)}\n"


def accepted(at_s, request_id, route="letter", **fields):
    """Return the line of a request's acceptance."""
    values = {"customer": "c1", "time_left_ms": 15000, "target_ms": 1000}
    values |= {"priority": 0, "prompt_tokens": 100, "handed_over": False}
    return line("request_accepted", at_s, request_id, route=route, **values | fields)


def finished(at_s, request_id, outcome="answered", status=200, **fields):
    """Return the line of a request's end."""
    values = {"reason": "", "duration_ms": 1000, "first_event_ms": 400, **fields}
    return line(
        "request_finished", at_s, request_id, outcome=outcome, status=status, **values
    )


def refused(at_s, request_id, status=503, **fields):
    """Return the line of the end of a request that got an answer of the host's own."""
    return finished(at_s, request_id, "ended", status, first_event_ms=None, **fields)


def summary_of(*texts):
    """Return the summary of lines."""
    summarizer = LogSummarizer()
    for text in texts:
        summarizer.add(parse_line("file", text))
    return summarizer.finish()


LINES = (
    'front-a {"event": "front_started", "host": "front-a", "domain": "idku"}\n',
    # In time, after a refusal by one endpoint.
    accepted(1.0, "r1"),
    line("endpoint_picked", 1.0, "r1", attempt=1),
    line("attempt_refused", 1.1, "r1"),
    line("endpoint_picked", 1.1, "r1", attempt=2),
    finished(2.0, "r1"),
    # Late: accepted 0.2 s, and answered with the first event 1.5 s after its arrival.
    accepted(2.0, "r2"),
    line("endpoint_picked", 2.1, "r2", attempt=1),
    finished(5.0, "r2", first_event_ms=1500, duration_ms=3200),
    # Refused after a time in a step of a later build.
    accepted(3.0, "r3", prompt_tokens=900, priority=1),
    line("request_queued", 3.0, "r3"),
    refused(3.8, "r3", reason="full for 12 s", duration_ms=800),
    # Failed after a connection that broke.
    accepted(4.0, "r4", route="order", customer="c2", prompt_tokens=0),
    line("endpoint_picked", 4.0, "r4", attempt=1),
    line("attempt_failed", 4.2, "r4", step="first byte", reason="reset"),
    refused(4.3, "r4", 502, reason="reset", duration_ms=300),
    # Unfinished: the host was killed.
    accepted(5.0, "r5"),
    line("endpoint_picked", 5.5, "r5", attempt=1),
    # Rejected before its route was known.
    refused(6.0, "r6", 401, reason="unknown key", duration_ms=0),
    "no JSON\n",
    '{"event": "log_lines_dropped", "count": 7}\n',
)

EXPECTED = """\
By route:
route   accepted  in time  late  untimed  refused  failed  left  unfinished  in time %  retries/request
(none)         0        0     0        0        1       0     0           0        0.0              0.0
letter         4        1     1        0        1       0     0           1       25.0             0.25
order          1        0     0        0        0       1     0           0        0.0              0.0
(all)          5        1     1        0        2       1     0           1       16.7              0.2

By customer:
customer  accepted  in time  late  untimed  refused  failed  left  unfinished  in time %  retries/request
(none)           0        0     0        0        1       0     0           0        0.0              0.0
c1               4        1     1        0        1       0     0           1       25.0             0.25
c2               1        0     0        0        0       1     0           0        0.0              0.0

By failure domain:
failure domain  accepted  in time  late  untimed  refused  failed  left  unfinished  in time %  retries/request
idku                   5        1     1        0        2       1     0           1       16.7              0.2

By priority:
priority  accepted  in time  late  untimed  refused  failed  left  unfinished  in time %  retries/request
(none)           0        0     0        0        1       0     0           0        0.0              0.0
0                4        1     1        0        0       1     0           1       25.0             0.25
1                1        0     0        0        1       0     0           0        0.0              0.0

By size of the prompt, within each route:
route   size                       prompt tokens  accepted  in time  late  untimed  refused  failed  left  unfinished  in time %  retries/request
letter  second fifth               100-100               3        1     1        0        0       0     0           1       33.3            0.333
letter  largest fifth              900-900               1        0     0        0        1       0     0           0        0.0              0.0
letter  fifth below largest tenth  900-900               1        0     0        0        1       0     0           0        0.0              0.0

Where late and lost requests spent their time:
route   result      step                         last seen in it  mean ms  max ms  ms/lost request
(none)  refused     before acceptance                          1        0       0                0
letter  late        streaming                                  1     1700    1700             1700
letter  late        at endpoint                                0        0       0             1200
letter  late        before acceptance                          0        0       0              200
letter  late        before first attempt                       0        0       0              100
letter  refused     request_queued                             1      800     800              800
letter  unfinished  at endpoint                                1      500     500              500
letter  unfinished  before first attempt                       0        0       0              500
order   failed      at endpoint                                0        0       0              200
order   failed      after failure at first byte                1      100     100              100

Reasons:
route   result   status  reason        requests  mean ms
(none)  refused     401  unknown key          1        0
letter  refused     503  full for N s         1      800
order   failed      502  reset                1      300

21 lines read, 1 unreadable.
Lines that front processes dropped: 7.
Requests that ended without a request_accepted line: 1.
"""  # noqa: E501


class LogSummaryTest(TestCase):
    def test_request_without_a_target_is_untimed(self):
        """Guards against answers of an older build that count as in time or late."""
        summary = summary_of(
            accepted(1.0, "r1", target_ms=None),
            finished(2.0, "r1"),
        )
        counts = summary.by_route["letter"].result_counts
        self.assertThat(counts[Result.UNTIMED], Equals(1))
        self.assertThat(summary.missing_fields, Equals({"domain": 1, "target_ms": 1}))

    def test_request_handed_over_counts_once(self):
        """Guards against one request that two hosts report as two."""
        summary = summary_of(
            accepted(1.0, "r1"),
            accepted(1.1, "r1", handed_over=True).replace("front-a", "front-b"),
            finished(1.9, "r1").replace("front-a", "front-b"),
            finished(2.0, "r1"),
        )
        self.assertThat(summary.total.ended_count, Equals(1))
        self.assertThat(summary.handed_over_count, Equals(1))

    def test_answers_dropped_for_a_larger_model_are_no_retries(self):
        """Guards against a cascade that looks like a storm of retries."""
        summary = summary_of(
            accepted(1.0, "r1"),
            line("endpoint_picked", 1.0, "r1", attempt=1),
            line("endpoint_picked", 1.3, "r1", attempt=2),
            line("answer_dropped_for_larger_model", 1.3, "r1"),
            finished(2.0, "r1"),
        )
        self.assertThat(summary.total.retry_count, Equals(0))

    def test_requests_without_an_end_stay_bounded(self):
        """Guards against memory that grows with logs whose ends were dropped."""
        with mock.patch.object(log_summarizer, "OPEN_LIMIT_COUNT", 3):
            summary = summary_of(*(accepted(i, f"r{i}") for i in range(9)))
        unfinished = summary.total.result_counts[Result.UNFINISHED]
        self.assertThat(unfinished, Equals(9))


class FrontLinesTest(FrontWorld):
    @gen_test
    async def test_lines_of_a_front_process_hold_all_fields(self):
        """Guards against fields that the summary reads and no line has."""
        self.store.put("config", "main", configuration())
        self.add_endpoint("e1", MODEL_SERVICE, confidences={"small": 80})
        self.add_endpoint("e2", PLAIN_SERVICE)
        summarizer = LogSummarizer()
        with capture_logs() as lines:
            front = await self.start_front()
            headers = {"X-Token-Usage": "1000,80"}
            await self.ask(front, STREAM_PATH, headers=headers)
            await self.ask(front, SAFE_PATH)
        for fields in lines:
            summarizer.add(LogLine("host-1", fields))
        summary = summarizer.finish()
        in_time = [tally.share(Result.IN_TIME) for tally in summary.by_route.values()]
        self.assertThat(in_time, Equals([1.0, 1.0]))
        self.assertThat([*summary.by_priority, *summary.by_domain], Equals(["2", "a"]))
        self.assertThat([group[0] for group in summary.sizes], Equals(["stream"]))
        self.assertThat(summary.missing_fields, Equals({}))


class SummaryCommandTest(CommandTestCase):
    @gen_test
    async def test_output(self):
        """Guards against tables that do not add up to what the lines say."""
        path = self.directory / "collected.log"
        path.write_text("".join(LINES))
        report = await self.run_ctl(f"explain {path}", self.context(summary=True))
        self.assertThat("\n".join(report.lines) + "\n", Equals(EXPECTED))
        self.assertThat(report.exit_code, Equals(ExitCode.DONE))

    @gen_test
    async def test_long_line_is_one_unreadable_line(self):
        """Guards against a file without line ends that is read into memory whole."""
        path = self.directory / "front-a.log.1"
        path.write_text("{" + "x" * 3 * LINE_LIMIT_BYTES + "\n" + finished(1.0, "r1"))
        report = await self.run_ctl(f"explain {path}", self.context(summary=True))
        self.assertThat(report.lines, Contains("2 lines read, 1 unreadable."))

    @gen_test
    async def test_logs_without_requests_fail(self):
        """Guards against an empty table for the wrong files."""
        path = self.directory / "wrong.log"
        path.write_text("no JSON\n")
        report = await self.run_ctl(f"explain {path}", self.context(summary=True))
        self.assertThat(report.exit_code, Equals(ExitCode.FAILED))
