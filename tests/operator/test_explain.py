"""Tests of the commands for on-call engineers on the platform."""

import json

from testtools import TestCase
from testtools.matchers import Contains, Equals
from tornado.testing import gen_test

from sesameknot.operator._explain_command import conclusion, lines_of
from sesameknot.operator._store_command import _report
from sesameknot.platform import StoreClient
from tests.front_world import PLAIN_SERVICE, FrontWorld, configuration


def line(event, time, request_id="r1", **fields):
    """Return a log line as a collector stores it."""
    record = {"event": event, "timestamp": time, "request_id": request_id, **fields}
    return ("front.log", f"  1.5 front-a {json.dumps(record)}\n")


class ExplainTest(TestCase):
    def test_lines_of_all_hosts_in_order_of_time(self):
        """Guards against a story that is told in the wrong order."""
        texts = [
            line("request_finished", "3", outcome="answered", status=200),
            line("endpoint_picked", "2"),
            ("x", "not a log line r1\n"),
            ("x", '{"broken r1\n'),
            line("endpoint_picked", "2", request_id="r2"),
        ]
        found = lines_of("r1", texts)
        self.assertThat(
            [entry.event for entry in found],
            Equals(["endpoint_picked", "request_finished"]),
        )
        self.assertThat(found[0].source, Equals("front-a"))
        self.assertThat(
            conclusion(found),
            Equals("An endpoint answered with status 200. Attempts: 1."),
        )

    def test_refusal_says_that_it_has_not_run(self):
        """Guards against a refusal that cannot be told from a lost request."""
        found = lines_of(
            "r1",
            [
                line(
                    "attempt_failed",
                    "1",
                    endpoint="e1",
                    step="connect",
                    reason="refused",
                ),
                line(
                    "request_finished",
                    "2",
                    outcome="ended",
                    status=503,
                    reason="endpoints are full",
                ),
            ],
        )
        text = conclusion(found)
        self.assertThat(text, Contains("It has not run."))
        self.assertThat(text, Contains("e1 at connect: refused"))

    def test_request_without_an_end(self):
        """Guards against a host that was killed and logged nothing."""
        found = lines_of("r1", [line("request_accepted", "1")])
        self.assertThat(conclusion(found), Contains("killed"))


class StoreTest(FrontWorld):
    @gen_test
    async def test_state_of_the_platform(self):
        """Guards against a page that an unreadable entry ends."""
        self.store.put("config", "main", configuration(4))
        self.add_endpoint("e1", PLAIN_SERVICE)
        self.store.put("servers", "bad", {"Service": 1})
        self.store.put("evacuations", "b", {})
        self.store.put(
            "sesameknot-crashes",
            "part-00000000000000ff",
            {"EndpointIds": ["e1", "e2"], "LastCrashMs": 5},
        )
        self.store.put(
            "rollouts", "s", {"Service": "s", "Target": "v2", "DurationS": 9}
        )
        store = StoreClient(self.store_address)
        self.closing(store.close)
        text = "\n".join((await _report(store)).lines)
        for part in (
            "configuration 4",
            "dispatch",
            "evacuated domains: b",
            "refused part-00000000000000ff: 2 endpoints crashed",
            "roll-out of s to v2: requested",
            "error: decode servers/bad",
        ):
            self.assertThat(text, Contains(part))
