"""Caches of engines that start again, as owners report them to holders of grants."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.coordination.grant_owner import GrantOwner
from sesameknot.protocol.messages import EndpointReport, GrantRequest
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.settings.process import TimingSettings
from sesameknot.state.endpoint_table import EndpointSpec, EndpointState, EndpointTable

POLL_S = 1.0
PROMPT_HASHES = [1, 2, 3]


class _HolderPeers:
    """Passes revocations to a holder's table."""

    def __init__(self, table):
        self._table = table

    async def call(self, address, body, *, expect, timeout_s=1.0):
        self._table.record_report(body.report)
        return expect()


class RestartedEngineTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.holder_table = self._table()
        member = RosterMember(
            host_id="owner", incarnation=1, address="a", region="r", domain="d"
        )
        roster = Roster(version=1, members=(member,))
        self.owner = GrantOwner(
            "owner",
            1,
            clock=self.clock,
            table=self._table(),
            roster=lambda: roster,
            stale=lambda: False,
            poll=self._poll,
            peers=_HolderPeers(self.holder_table),
            timing=TimingSettings(),
        )
        self.owner.refresh()
        # The owner grants nothing at first.
        self.clock.advance(60.0)

    def _table(self):
        table = EndpointTable(clock=self.clock)
        table.configure([EndpointSpec(endpoint_id="e", url="http://10.2.0.1:80")])
        return table

    async def _poll(self, endpoint_id, url):
        return self.report

    def _exchange(self, state, hashes):
        """Poll the engine and let the holder ask for a grant."""
        self.report = EndpointReport(
            endpoint_id="e",
            state=state,
            prefix_hashes=hashes,
            prefix_digest=sum(hashes),
        )

        async def exchange():
            await self.owner.poll_endpoint("e")
            # Revocations are sent in the background.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            request = GrantRequest(
                endpoint_id="e",
                host_id="holder",
                incarnation=1,
                address="b",
                wanted_count=1,
                roster_version=1,
                prefix_digest=self.holder_table.prefix_digest("e"),
            )
            reply = self.owner.decide(request)
            reply.report.endpoint_id = "e"
            self.holder_table.record_report(reply.report)

        asyncio.run(exchange())
        self.clock.advance(POLL_S)

    def _cached_after_restart(self, hashes):
        """Return the blocks of the prompt that count as cached after each poll."""
        self._exchange("warm", PROMPT_HASHES)
        counts = []
        for _ in range(3):
            self._exchange("cold", hashes)
            self.assertThat(self.holder_table.state("e"), Equals(EndpointState.COLD))
            counts.append(self.holder_table.cached_block_count("e", PROMPT_HASHES))
        return counts

    def test_cache_of_the_previous_process_does_not_count(self):
        """Guards against requests to an engine that has lost their prompt."""
        self.assertThat(self._cached_after_restart([]), Equals([0, 0, 0]))

    def test_cache_does_not_count_after_a_start_with_other_prompts(self):
        """Guards against a cache that counts until the next list of its content.

        The next process may have cached other prompts before it is polled.
        """
        self.assertThat(self._cached_after_restart([9]), Equals([0, 0, 0]))
