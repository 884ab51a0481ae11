"""Lists of the store that come in several pages, and change meanwhile."""

from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from sesameknot.errors import PlatformError
from sesameknot.platform import StoreClient
from sesameknot.platform.standin import FleetStore
from sesameknot.platform.standin._store import PAGE_ITEM_COUNT
from tests.front_world import PLAIN_SERVICE, FrontWorld, configuration, server_entry
from tests.support import LoopTestCase, eventually
from tests.virtual_time import VirtualTimeMixin

ENTRY_COUNT = PAGE_ITEM_COUNT + 100
FIRST_ID, LAST_ID = "e0000", f"e{ENTRY_COUNT - 1:04}"


def fill(store):
    """Register endpoints that take two pages."""
    for number in range(ENTRY_COUNT):
        entry = server_entry(PLAIN_SERVICE, f"127.0.0.1:{20000 + number}")
        store.put("servers", f"e{number:04}", entry)


def between_pages(client, kind, action):
    """Run ``action`` after the first page of the next list of ``kind``."""
    get = client._get
    page_numbers = iter(range(ENTRY_COUNT))

    async def get_page(called_kind, query, step, **options):
        response = await get(called_kind, query, step, **options)
        if called_kind == kind and step == "list" and next(page_numbers) == 0:
            action()
        return response

    client._get = get_page


class StorePagesTest(VirtualTimeMixin, LoopTestCase):
    def setUp(self):
        super().setUp()
        self.store = FleetStore()
        fill(self.store)
        self.client = StoreClient(self.listen(self.store.server()))
        self.closing(self.client.close)

    @gen_test
    async def test_change_of_an_earlier_page_is_seen_by_the_watch(self):
        """Guards against an entry that stays although it was removed long ago."""
        between_pages(
            self.client, "servers", lambda: self.store.remove("servers", FIRST_ID)
        )
        batch = await self.client.list("servers")
        self.assertThat(batch.entries, HasLength(ENTRY_COUNT))
        changes = await self.client.watch(
            "servers", since_revision=batch.revision, wait_s=0.1, margin_s=1.0
        )
        removed = [entry.name for entry in changes.entries if entry.deleted]
        self.assertThat(removed, Equals([FIRST_ID]))

    @gen_test
    async def test_pages_of_two_eras_are_no_list(self):
        """Guards against a list from before and after a return from a copy."""
        copy = self.store.copy()
        await self.client.list("servers")
        between_pages(self.client, "servers", lambda: self.store.restore(copy))
        with self.assertRaises(PlatformError):
            await self.client.list("servers")
        batch = await self.client.list("servers")
        self.assertThat(batch.entries, HasLength(ENTRY_COUNT))


class ChangeBetweenPagesTest(VirtualTimeMixin, FrontWorld):
    @gen_test(timeout=30)
    async def test_endpoint_that_leaves_between_pages_is_not_used(self):
        """Guards against a host that sends to an endpoint that left as it started."""
        self.store.put("config", "main", configuration())
        fill(self.store)
        front = await self.start_front_with(self.host_settings(), until_ready=False)

        def leave():
            for endpoint_id in (FIRST_ID, LAST_ID):
                self.store.remove("servers", endpoint_id)

        between_pages(front.store, "servers", leave)
        await eventually(lambda: front.view.ready)
        await self.pause(2.0)
        known = front.view.endpoints
        usable = [
            name
            for name in (FIRST_ID, LAST_ID)
            if name in known and front.view.may_send(known[name])
        ]
        self.assertThat(usable, Equals([]))
