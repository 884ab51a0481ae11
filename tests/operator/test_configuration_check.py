"""Tests of the check of front configurations."""

import contextlib
import copy
import json

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals, Not
from tornado.testing import gen_test

from sesameknot.operator.configuration_changes import configuration_changes
from sesameknot.operator.configuration_check import CHECKS, check_configuration
from sesameknot.operator.results import ExitCode
from sesameknot.platform import (
    EntryError,
    StoredEntry,
    decode_configuration,
    read_configuration,
)
from sesameknot.platform.standin import FleetStore
from tests.front_world import CUSTOMER, KEY, PLAIN_SERVICE, configuration, route
from tests.operator.command_world import CommandTestCase

ODD_VALUES = st.sampled_from(
    [None, True, 0, -1, 2.5, 10**40, "", "x", [], [None], {}, {"Name": 1}, [{}]]
)


def places(value, path=()):
    """Yield the paths of all values in a JSON value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        yield (*path, key)
        if isinstance(inner, dict | list):
            yield from places(inner, (*path, key))


PLACES = list(places(configuration()))


def wrong_configuration():
    """Return a configuration with one entry for each check."""
    spec = configuration(2)
    stream, unsafe, safe = spec["Routes"]
    stream |= {"TimeoutMs": 300, "Priorty": 1}
    unsafe |= {"MaxAttempts": 2, "GapTargetMs": 5}
    spec["Routes"] += [
        {**safe, "Name": "copy", "Priority": 12},
        {**safe, "Name": "soon", "PathPrefix": "/soon/", "TimeoutMs": "soon"},
        {**safe, "Name": "kind", "PathPrefix": "/kind/", "Kind": "steaming"},
        {**safe, "Name": "port", "PathPrefix": "/port", "Host": "a.example:80"},
        {**safe, "Name": "lost", "PathPrefix": "/lost/", "Service": "nowhere"},
        {**safe, "Name": "many", "PathPrefix": "/many/", "MaxAttempts": 9},
        {**safe, "Name": "none", "PathPrefix": "/none/", "Service": ""}
        | {"TrafficSplit": [{"Service": PLAIN_SERVICE, "Weight": 0}]},
        {**stream, "Name": "once", "PathPrefix": "/once/", "MaxAttempts": 1},
    ]
    spec["Services"] += [{"Name": "spare", "Protocol": "h1"}, {"Name": PLAIN_SERVICE}]
    spec["Tenants"] += [
        {"Name": "b", "ApiKeys": ["key-2", 5]},
        {"Name": "c", "ApiKeys": [KEY]},
        {"Name": "d"},
    ]
    spec["Limits"] = {"MaxBodyBytes": 0}
    return spec


EXPECTED = """\
error: $.Limits.MaxBodyBytes: got 0, expected more than 0 [range]
error: $.Routes[2].PathPrefix: got callers.example/lookup/, which $.Routes[3] has as well, expected another host or prefix, as this route is hidden [unmatched-route]
error: $.Routes[3].Priority: got 12, expected 0 to 9 [range]
error: $.Routes[4].TimeoutMs: got 'soon', expected `int` [value]
error: $.Routes[5].Kind: got 'steaming', expected one of safe, streaming, unsafe [value]
error: $.Routes[6].Host: got 'a.example:80', expected a host name without a port [unmatched-route]
error: $.Routes[6].PathPrefix: got '/port', expected a path that begins and ends with / [unmatched-route]
error: $.Routes[7].Service: got service 'nowhere', expected one of: advisor, dispatch, spare [route-services]
error: $.Routes[9]: got only services of weight 0, expected a weight above 0 [route-services]
error: $.Services[1].Name: got 'dispatch', which $.Services[3] has as well, expected a unique name [unused-service]
error: $.Tenants[1].ApiKeys[1]: got (not shown), expected `str` [value]
error: $.Tenants[2].ApiKeys[0]: got a key that $.Tenants[0] holds as well, expected a key of one customer [customers]
warning: $.Routes[0].Priorty: got 'Priorty', expected Priority [passed-over]
warning: $.Routes[0].TargetLatencyMs: got 400, expected at most TimeoutMs, 300 [times]
warning: $.Routes[1].GapTargetMs: got 5, expected 0, as no events are streamed [times]
warning: $.Routes[1].MaxAttempts: got 2, expected 1, as requests may run once [attempts]
warning: $.Routes[8].MaxAttempts: got 9, expected at most 5, as TimeoutMs has no time for more [attempts]
warning: $.Routes[10].MaxAttempts: got 1, expected at least 2, or a larger model is never asked [attempts]
warning: $.Routes[10].Priorty: got 'Priorty', expected Priority [passed-over]
warning: $.Routes[10].TargetLatencyMs: got 400, expected at most TimeoutMs, 300 [times]
warning: $.Tenants[3].ApiKeys: got none for 'd', expected at least one key [customers]
not read by front processes: $.Services.Protocol
front.json: version 2, 9 routes, 4 services, 3 customers, 2 keys: 12 errors, 9 warnings
"""  # noqa: E501


class CheckTest(TestCase):
    @given(place=st.sampled_from(PLACES), value=ODD_VALUES, removed=st.booleans())
    def test_faults_are_those_for_which_a_front_rejects(self, place, value, removed):
        """Guards against a check that passes what hosts reject, or the reverse."""
        spec = copy.deepcopy(configuration())
        parent = spec
        for key in place[:-1]:
            parent = parent[key]
        if removed:
            del parent[place[-1]]
        else:
            parent[place[-1]] = value
        rejected = True
        with contextlib.suppress(EntryError):
            decode_configuration(
                StoredEntry(kind="config", name="main", revision=1, spec=spec)
            )
            rejected = False
        read = read_configuration(spec)
        check_configuration(read)
        self.assertThat(bool(read.faults), Equals(rejected))
        self.assertThat(configuration_changes(read, read), Equals([]))

    def test_each_check_finds_something(self):
        """Guards against a check that the expected output does not cover."""
        found = check_configuration(read_configuration(wrong_configuration()))
        self.assertThat({finding.check for finding in found}, Equals({*CHECKS}))

    def test_routes_of_the_deployments_have_no_findings(self):
        """Guards against warnings for sound routes: a target equal to the time-out."""
        spec = configuration(
            routes=[
                route(
                    "tag",
                    "/tag/",
                    "streaming",
                    "advisor",
                    TimeoutMs=4000,
                    TargetLatencyMs=4000,
                    MaxAttempts=3,
                    Resumable=True,
                ),
                route(
                    "order",
                    "/order/",
                    "safe",
                    PLAIN_SERVICE,
                    TimeoutMs=800,
                    TargetLatencyMs=220,
                    MaxAttempts=2,
                ),
            ]
        )
        self.assertThat(check_configuration(read_configuration(spec)), Equals([]))

    def test_changes_name_no_key(self):
        """Guards against API keys in an operator's terminal, and changes left out."""
        old, new = configuration(1), configuration(2)
        new["Routes"][0]["TimeoutMs"] = 5000
        new["Routes"][0]["Public"] = False
        new["Services"].pop()
        new["Tenants"][0]["ApiKeys"] = ["key-2", "key-3"]
        new["Tenants"].append({"Name": "b", "ApiKeys": ["key-4"]})
        changes = configuration_changes(
            read_configuration(old), read_configuration(new)
        )
        self.assertThat(
            changes,
            Equals(
                [
                    "~ $.Routes.stream.TimeoutMs: 4000 -> 5000",
                    f"- $.Services.{PLAIN_SERVICE}: {{'Name': '{PLAIN_SERVICE}', "
                    "'ColdS': 0.0, 'ColdPerS': 0.0, 'Engine': {'Slots': 0, "
                    "'Models': {}}}",
                    "+ $.Tenants.b: {'Name': 'b', 'ApiKeys': '1 key', 'Priority': "
                    "None}",
                    "~ $.Version: 1 -> 2",
                    f"~ $.Tenants.{CUSTOMER}.ApiKeys: 1 key -> 2 keys (2 added, 1 "
                    "removed)",
                ]
            ),
        )


class CheckCommandTest(CommandTestCase):
    async def check(self, spec, **options):
        """Return the report on a configuration, with the path left out."""
        path = self.directory / "front.json"
        path.write_text(json.dumps(spec))
        report = await self.run_ctl(f"check {path}", self.context(**options))
        text = "\n".join(report.lines) + "\n"
        self.assertThat(text + json.dumps(report.value), Not(Contains(KEY)))
        return text.replace(f"{self.directory}/", ""), report.exit_code

    @gen_test
    async def test_output_and_exit_code(self):
        """Guards against findings that name no path, value or expectation."""
        text, exit_code = await self.check(wrong_configuration())
        self.assertThat(text, Equals(EXPECTED))
        self.assertThat(exit_code, Equals(ExitCode.INVALID_SETTINGS))

    @gen_test
    async def test_warnings_and_clean_files_have_their_own_exit_codes(self):
        """Guards against scripts that cannot tell a warning from an error."""
        spec = configuration()
        self.assertThat((await self.check(spec))[1], Equals(ExitCode.DONE))
        spec["Services"].append({"Name": "spare"})
        wrapped = {"Metadata": {"Name": "main"}, "Spec": spec}
        self.assertThat((await self.check(wrapped))[1], Equals(ExitCode.WARNINGS))

    @gen_test
    async def test_version_in_force_in_the_store(self):
        """Guards against a change that hosts ignore, as its version is not higher."""
        store = FleetStore()
        address = self.listen(store.server())
        store.put("config", "main", configuration(7))
        store.put("config", "broken", {"Version": 9})
        spec = configuration(7)
        text, exit_code = await self.check(spec, against=address)
        self.assertThat(text, Contains("no difference from version 7 in force"))
        self.assertThat(exit_code, Equals(ExitCode.DONE))
        spec["Routes"][0]["MaxAttempts"] = 2
        text, exit_code = await self.check(spec, against=address)
        self.assertThat(
            text,
            Contains(
                "error: $.Version: got 7, expected more than 7, the version in force"
            ),
        )
        self.assertThat(exit_code, Equals(ExitCode.INVALID_SETTINGS))

    @gen_test
    async def test_store_that_does_not_answer(self):
        """Guards against findings that are lost because the store is away."""
        text, exit_code = await self.check(configuration(), against="127.0.0.1:1")
        self.assertThat(text, Contains("1 keys: valid"))
        self.assertThat(exit_code, Equals(ExitCode.PLATFORM_UNAVAILABLE))
        path = self.directory / "front.json"
        report = await self.run_ctl(f"check {path}", self.context(against="in-froce"))
        self.assertThat(report.exit_code, Equals(ExitCode.USAGE))
