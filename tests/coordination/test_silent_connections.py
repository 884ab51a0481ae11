"""Hosts whose open connections to the store go silent while new ones work."""

from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.settings.host import HostBounds
from tests.front_world import PLAIN_SERVICE, FrontWorld, configuration
from tests.virtual_time import VirtualTimeMixin

# Hosts need not know of changes before this time after the connections went silent.
CONTACT_S = 3.0
# Moments within the wait of a watch at which its connection goes silent.
SILENT_AFTER_S = (0.05, 0.3, 0.7, 1.1, 1.9, 2.9)


class SilentConnectionsTest(VirtualTimeMixin, FrontWorld):
    leave_limit_s = HostBounds().endpoint_leave_ms / 1000.0

    async def check_removal(self, front, endpoint_id):
        """Remove an endpoint from the store as connections go silent; check its use."""
        self.store.silence_open()
        await self.pause(0.3)
        self.store.remove("servers", endpoint_id)
        await self.pause(max(CONTACT_S - 0.3, self.leave_limit_s))
        usable = front.view.may_send(front.view.endpoints[endpoint_id])
        self.assertThat(usable, Equals(False), endpoint_id)

    async def start_hosts(self):
        """Start hosts that are each the only one of their failure domain."""
        self.store.put("config", "main", configuration())
        for number in range(len(SILENT_AFTER_S) + 1):
            self.add_endpoint(f"e{number}", PLAIN_SERVICE)
        fronts = [await self.start_front(f"host-{d}", domain=d) for d in ("a", "b")]
        for front in fronts:
            await front.directory.refresh()
        await self.pause(5.0)
        return fronts

    @gen_test(timeout=120)
    async def test_endpoint_that_leaves_meanwhile_is_not_used(self):
        """Guards against a silent connection that passes for an outage of the store.

        Entries may expire in an outage, so their endpoints stay usable for a while.
        """
        fronts = await self.start_hosts()
        for number, silent_after_s in enumerate(SILENT_AFTER_S):
            # The probe's watches begin anew with each change of the configuration.
            self.store.put("config", "main", configuration(2 + number))
            await self.pause(silent_after_s)
            await self.check_removal(fronts[number % 2], f"e{number}")
            await self.pause(2.0 * CONTACT_S)

    @gen_test(timeout=120)
    async def test_entries_that_expire_in_an_outage_stay_usable(self):
        """Guards against endpoints that are dropped although they live."""
        fronts = await self.start_hosts()
        self.store.silence_open()
        self.store.silent = True
        await self.pause(4.0)
        self.store.remove("servers", "e0")
        self.store.silent = False
        self.store.silence_open()
        await self.pause(1.2)
        view = fronts[0].view
        self.assertThat(view.may_send(view.endpoints["e0"]), Equals(True))
