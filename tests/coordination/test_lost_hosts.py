"""Tests of front hosts that are lost without leaving the store's list of hosts."""

import asyncio

from examples.local_deployment import reserve_port
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan
from tornado.testing import gen_test

from sesameknot.coordination.host_directory import LOST_ENTRY_LIFE_S
from sesameknot.coordination.relay_order import RELAY_COUNT
from sesameknot.platform import HOST_KIND, encode_host
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.protocol.fleet_records import HostEntry
from tests.front_world import FrontWorld, configuration
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

HOST_COUNT = 6
# Time without impairment after which a host must know what the others do.
CONTACT_S = 3.0
# Time within which hosts that exchange know of each other's crashes.
NEWS_LIMIT_S = 2.0
CRASHING_REQUEST = 7


class LostHostTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.crash_count = 0

    async def start_hosts(self, count=HOST_COUNT, **other_domains):
        """Start hosts of domain "a" and others that all know each other."""
        fronts = [
            await self.start_front(f"{domain}-{number}", domain=domain)
            for domain, domain_count in {"a": count, **other_domains}.items()
            for number in range(domain_count)
        ]
        await self.settle(fronts)
        return fronts

    async def settle(self, fronts):
        """Wait until all hosts know each other and are up to date."""
        for front in fronts:
            await front.directory.refresh()
        await self.pause(CONTACT_S)

    def split_relays(self, fronts, domain="a"):
        """Return the relays of a domain and the other hosts."""
        relay_ids = fronts[0].relay_order.relays(domain)
        relays = [f for f in fronts if f.host.host_id in relay_ids]
        return relays, [f for f in fronts if f not in relays]

    async def lose(self, fronts, *, for_s=CONTACT_S):
        """End hosts without a planned stop and wait."""
        for front in fronts:
            await front.close()
        await self.pause(for_s)

    async def check_crashes_reach(self, fronts, finders):
        """Let hosts see a crash each; check that all of ``fronts`` soon count it."""
        for finder in finders:
            self.crash_count += 1
            finder.crash_guard.record(CRASHING_REQUEST, f"e{self.crash_count}")
            await self.pause(NEWS_LIMIT_S)
            counts = [front.crash_guard.count(CRASHING_REQUEST) for front in fronts]
            self.assertThat(counts, Equals([self.crash_count] * len(fronts)))

    @gen_test(timeout=60)
    async def test_hosts_share_crashes_after_all_their_relays_are_lost(self):
        """Guards against hosts that find nobody once both relays are lost."""
        relays, others = self.split_relays(await self.start_hosts())
        self.assertThat(relays, HasLength(RELAY_COUNT))
        await self.lose(relays)
        await self.check_crashes_reach(others, others)
        watching = [f for f in others if not f.store_link.relayed]
        self.assertThat(watching, HasLength(RELAY_COUNT))

    @gen_test(timeout=60)
    async def test_hosts_share_crashes_while_their_relays_hang(self):
        """Guards against hosts that wait in vain for relays that do not answer."""
        relays, others = self.split_relays(await self.start_hosts())
        await self.lose(relays, for_s=0.0)
        for relay in relays:
            # The address accepts connections and never answers.
            ip, _, port = relay.host.peer_address.partition(":")
            server = await asyncio.start_server(lambda r, w: None, ip, int(port))
            self.closing(server.close)
        await self.pause(CONTACT_S)
        await self.check_crashes_reach(others, others)

    @gen_test(timeout=60)
    async def test_domains_share_crashes_after_the_first_relay_of_each_is_lost(self):
        """Guards against domains that only ever call one lost host of the other."""
        fronts = await self.start_hosts(3, b=3)
        first_ids = [fronts[0].relay_order.relays(domain)[0] for domain in ("a", "b")]
        lost = [front for front in fronts if front.host.host_id in first_ids]
        others = [front for front in fronts if front not in lost]
        await self.lose(lost)
        await self.check_crashes_reach(others, [others[0], others[-1]])

    @gen_test(timeout=60)
    async def test_domain_of_which_only_one_host_is_left_is_not_alone(self):
        """Guards against a last host of a domain that finds no other domain."""
        relays, others = self.split_relays(await self.start_hosts(2, b=3), "b")
        await self.lose(relays)
        await self.check_crashes_reach(others, others)

    @gen_test(timeout=60)
    async def test_relays_that_return_are_found_again(self):
        """Guards against two groups of hosts with relays of their own."""
        relays, others = self.split_relays(await self.start_hosts())
        await self.lose(relays, for_s=3 * CONTACT_S)
        returned = [await self.start_front_with(relay.host) for relay in relays]
        await self.pause(CONTACT_S)
        await self.check_crashes_reach(returned + others, [returned[0], others[0]])
        await eventually(
            lambda: all(f.store_link.relayed for f in others), limit_s=CONTACT_S
        )
        self.assertThat(
            {tuple(f.relay_order.relays("a")) for f in returned + others},
            HasLength(1),
        )

    def ids_before(self, host_ids, *, count):
        """Return names that come before all of these in the order of relays."""
        names = [f"lost-{number}" for number in range(1000)]
        order = rendezvous_order("relay a", [*host_ids, *names])
        first = min(order.index(host_id) for host_id in host_ids)
        self.assertThat(first, GreaterThan(count - 1))
        return order[:count]

    @gen_test(timeout=60)
    async def test_starting_host_gets_past_entries_of_lost_hosts(self):
        """Guards against entries of lost hosts that add up and hide the live ones."""
        fronts = await self.start_hosts(3)
        live_ids = [*(front.host.host_id for front in fronts), "a-late"]
        for host_id in self.ids_before(live_ids, count=5):
            host = HostEntry(
                host_id=host_id,
                peer_address=f"127.0.0.1:{reserve_port()}",
                domain="a",
            )
            self.store.put(HOST_KIND, host_id, encode_host(host))
        await self.settle(fronts)
        late = await self.start_front("a-late")
        await late.directory.refresh()
        await self.pause(CONTACT_S)
        await self.check_crashes_reach([*fronts, late], [late, fronts[0]])

    @gen_test(timeout=60)
    async def test_host_that_was_cut_off_is_in_touch_soon_after(self):
        """Guards against a host that takes its own cut for the loss of all others."""
        fronts = await self.start_hosts()
        cut = self.split_relays(fronts)[1][0]
        peers = cut.peer_client
        connect = peers._tcp.connect
        peers._tcp.connect = self.refuse
        for connection in peers._connections.values():
            connection.close()
        await self.pause(2 * CONTACT_S)
        self.assertThat(len(cut.view.live_hosts), LessThan(HOST_COUNT))
        peers._tcp.connect = connect
        await self.pause(CONTACT_S)
        await self.check_crashes_reach(fronts, [cut])

    async def refuse(self, *args, **options):
        raise OSError("no route to host")

    @gen_test(timeout=60)
    async def test_calls_to_lost_hosts_stay_few(self):
        """Guards against calls that grow with the number of lost hosts."""
        fronts = await self.start_hosts(8)
        await self.lose(fronts[1:], for_s=3 * CONTACT_S)
        calls = []
        fronts[0].peer_client._tcp.connect = lambda *a, **o: (
            calls.append(a) or (self.refuse())
        )
        await self.pause(10.0)
        self.assertThat(len(calls), LessThan(10 * 3))

    def listed_ids(self, fronts):
        """Return the hosts that any of these hosts knows from the store."""
        return sorted({host_id for front in fronts for host_id in front.view.hosts})

    @gen_test(timeout=180)
    async def test_entries_of_lost_hosts_leave_the_list(self):
        """Guards against shares of hosts that are gone for good, which nobody uses."""
        fronts = await self.start_hosts()
        relays, others = self.split_relays(fronts)
        lost, alive = [relays[0], *others[:2]], [relays[1], *others[2:]]
        await self.lose(lost, for_s=LOST_ENTRY_LIFE_S - CONTACT_S)
        self.assertThat(self.listed_ids(alive), HasLength(HOST_COUNT))
        # The hosts read the list every 8 s, and the lost ones must be noticed first.
        await self.pause(30.0)
        alive_ids = sorted(front.host.host_id for front in alive)
        self.assertThat(self.listed_ids(alive), Equals(alive_ids))

    @gen_test(timeout=60)
    async def test_host_whose_entry_was_removed_adds_it_again(self):
        """Guards against a live host that others never find again."""
        fronts = await self.start_hosts(3)
        self.store.remove(HOST_KIND, "a-1")
        await self.pause(20.0)
        self.assertThat(self.listed_ids(fronts), HasLength(3))

    @gen_test(timeout=60)
    async def test_entry_that_was_replaced_meanwhile_is_kept(self):
        """Guards against the removal of a host that has just started again."""
        front = await self.start_front("a-0")
        entry = self.store.get(HOST_KIND, "a-0")
        old_revision = entry["Metadata"]["Revision"]
        self.store.put(HOST_KIND, "a-0", {**entry["Spec"], "Address": "127.0.0.1:9"})
        removed = await front.store.delete(HOST_KIND, "a-0", revision=old_revision)
        self.assertThat(removed, Equals(False))
        self.assertThat(self.store.get(HOST_KIND, "a-0") is None, Equals(False))
