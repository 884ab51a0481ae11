"""Tests of the exchange of paces between hosts, on messages without a network.

The load: hosts of two failure domains with two relays each, which report every 2.4 s.
"""

import pathlib

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from sesameknot.clock import ManualClock
from sesameknot.coordination._load_reports import LoadReports
from sesameknot.coordination._pace_reports import (
    MESSAGE_LIMIT_COUNT,
    PACE_LIFE_S,
    PaceReports,
    add_paces,
    parse_paces,
)
from sesameknot.policy.endpoint_pace import decay_factor, pace_key
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.protocol.fleet_records import HostEntry
from sesameknot.protocol.messages import DomainSync, EndpointLoads
from sesameknot.state.fleet_view import FleetView
from tests.protocol.test_compatibility import RELEASED, load_schema

ROUND_S = 2.4
KEY = pace_key("e1@1")
HOSTS = {"a": ["a1", "a2", "a3", "a4"], "b": ["b1", "b2", "b3"]}
RELAYS = {"a": ["a1", "a2"], "b": ["b1", "b2"]}


class FixedPace:
    """Observations of one host that do not change; keeps the totals."""

    def __init__(self, own):
        self.own_paces, self.totals = own, {}

    def own(self):
        return dict(self.own_paces)

    def set_totals(self, totals, incarnation_ids):
        self.totals = totals
        return {}


def over_the_wire(columns, path=None):
    """Return the record as a host receives it, of an older build if ``path`` is set."""
    data = encode(Envelope(1, "host", DomainSync(loads=columns)))
    if path is None:
        return decode(data).body.loads
    schema = load_schema(path.read_text())
    loads = schema.Envelope.from_bytes_packed(data).domainSync.loads
    message = schema.Envelope.new_message(callId=1)
    columns = message.init("domainSync").init("loads")
    columns.endpointIds = list(loads.endpointIds)
    columns.inFlightCounts = list(loads.inFlightCounts)
    columns.pendingTokens = list(loads.pendingTokens)
    return decode(message.to_bytes_packed()).body.loads


class Host:
    """The part of a host that exchanges loads and paces."""

    def __init__(self, fleet, host_id, *, observed, learns=True):
        self.domain = host_id[0]
        self.host_id = host_id
        self.pace = FixedPace({KEY: (0.1 * observed, float(observed))})
        view = FleetView(fleet.clock)
        view.hosts = {
            name: HostEntry(host_id=name, peer_address=name, domain=domain)
            for domain, names in HOSTS.items()
            for name in names
        }
        paces = PaceReports(self.pace, view=view, domain=self.domain, clock=fleet.clock)
        self.loads = LoadReports(
            view, paces=paces if learns else None, clock=fleet.clock
        )

    @property
    def count(self):
        """Observations of all hosts that this one knows of."""
        return round(self.pace.totals.get(KEY, (0.0, 0.0))[1], 1)


class Fleet:
    """Hosts whose numbers of observations are powers of two."""

    def __init__(self, *, without=()):
        self.clock = ManualClock()
        names = [name for domain in HOSTS.values() for name in domain]
        self.hosts = {
            name: Host(self, name, observed=2**n, learns=name not in without)
            for n, name in enumerate(names)
        }
        self.relays = {domain: list(names) for domain, names in RELAYS.items()}
        self.stopped = set()

    def rounds(self, count):
        """Run rounds in which the hosts report, in an order that differs."""
        for number in range(count):
            running = [h for n, h in self.hosts.items() if n not in self.stopped]
            for host in running if number % 2 else reversed(running):
                is_relay = host.host_id in self.relays[host.domain]
                host.loads.refresh_paces(is_relay=is_relay)
                for relay in self.relays[host.domain]:
                    if relay not in (host.host_id, *self.stopped):
                        self._sync(host, self.hosts[relay], takes_reply=not is_relay)
                if is_relay:
                    (other,) = set(HOSTS) - {host.domain}
                    target = self.hosts[self.relays[other][0]]
                    if target.host_id not in self.stopped:
                        self._sync(host, target, takes_reply=True)
            self.clock.advance(ROUND_S)

    def _sync(self, host, target, *, takes_reply):
        same = host.domain == target.domain
        source = host.loads
        sent = source.own(with_paces=True) if same else source.domain(with_paces=True)
        columns = over_the_wire(sent)
        add = target.loads.add_host if same else target.loads.add_relay
        add(host.host_id, columns)
        answer = target.loads.answer(
            host.host_id, same_domain=same, with_paces=columns.with_paces
        )
        if takes_reply:
            host.loads.add_relay(target.host_id, over_the_wire(answer))

    def counts(self, names=None):
        return [self.hosts[name].count for name in names or self.hosts]


class PaceReportsTest(TestCase):
    def assert_nothing_counts_twice(self, fleet, total):
        # Reports are up to three rounds old and weigh less by then.
        weight = decay_factor(3 * ROUND_S)
        for count in fleet.counts():
            self.assertThat(count, LessThan(total + 0.5))
            self.assertThat(count, GreaterThan(total * weight - 0.5))

    def test_each_observation_counts_once_at_each_host(self):
        """Guards against sums that include a host's own reports, or two relays'."""
        fleet = Fleet()
        fleet.rounds(20)
        self.assert_nothing_counts_twice(fleet, 127)

    def test_nothing_counts_twice_while_relays_change(self):
        """Guards against the sum of a former relay beside its hosts' reports."""
        fleet = Fleet()
        fleet.rounds(6)
        for relays, former in (
            (["a3", "a1"], "a2"),
            (["a4", "a3"], "a1"),
            (["a1", "a2"], "a4"),
        ):
            fleet.relays["a"] = relays
            for _ in range(8):
                fleet.rounds(1)
                self.assertThat(max(fleet.counts()), LessThan(127.5))
            self.assert_nothing_counts_twice(fleet, 127)
            # Hosts with an earlier list of hosts still ask a former relay.
            answer = fleet.hosts[former].loads.answer(
                "a3", same_domain=True, with_paces=True
            )
            self.assertThat(answer.with_paces, Equals(False))

    def test_host_that_loses_its_relays_has_its_own_observations(self):
        """Guards against sums that nobody renews and everybody trusts."""
        fleet = Fleet()
        fleet.rounds(6)
        fleet.stopped = {"a1"}
        fleet.rounds(6)
        self.assertThat(fleet.hosts["a3"].count, GreaterThan(100))
        fleet.stopped = {"a1", "a2"}
        fleet.rounds(round(PACE_LIFE_S / ROUND_S) + 2)
        self.assertThat(fleet.counts(["a3", "a4"]), Equals([4.0, 8.0]))
        # The reports of hosts that left must not stay in memory.
        reports = fleet.hosts["a3"].loads._paces._reports
        self.assertThat([reports._by_host, reports._by_relay], Equals([{}, {}]))

    def test_hosts_that_learn_no_paces_take_part_in_the_exchange(self):
        """Guards against a host without paces that clears those of others."""
        fleet = Fleet(without={"a2", "a4", "b2"})
        fleet.rounds(12)
        learning = ["a1", "a3", "b1", "b3"]
        total = 1 + 4 + 16 + 64
        for count in fleet.counts(learning):
            self.assertThat(count, GreaterThan(total * 0.8))
            self.assertThat(count, LessThan(total + 0.5))
        self.assertThat(fleet.counts(["a2", "a4", "b2"]), Equals([0.0, 0.0, 0.0]))

    def test_message_of_an_older_build_changes_no_paces(self):
        """Guards against loads that are lost between builds, or paces made of them."""
        columns = EndpointLoads(
            endpoint_ids=["e1"], in_flight_counts=[3], pending_tokens=[40]
        )
        add_paces(columns, {KEY: (1.0, 4.0)})
        self.assertThat(RELEASED, HasLength(6))
        for path in map(pathlib.Path, RELEASED):
            received = over_the_wire(columns, path)
            self.assertThat(received.in_flight_counts, Equals([3]))
            self.assertThat(received.pending_tokens, Equals([40]))
            self.assertThat(received.with_paces, Equals(False))
            host = Host(Fleet(), "a1", observed=1)
            host.loads.add_host("a3", received)
            host.loads.refresh_paces(is_relay=True)
            self.assertThat(host.count, Equals(1.0))

    def test_message_is_bounded_and_keeps_what_was_observed_most(self):
        """Guards against messages that grow with all incarnations of endpoints."""
        columns = EndpointLoads()
        add_paces(columns, {n: (-0.2 * n, float(n)) for n in range(1, 2000)})
        received = parse_paces(over_the_wire(columns))
        self.assertThat(received, HasLength(MESSAGE_LIMIT_COUNT))
        log_sum, count = received[1999]
        self.assertThat((round(log_sum / count, 3), count), Equals((-0.2, 1999.0)))
