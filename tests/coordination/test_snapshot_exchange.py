"""Tests of snapshots whose transfer goes wrong."""

import asyncio
from types import SimpleNamespace

from structlog.testing import capture_logs
from testtools.matchers import Contains, Equals, LessThan
from tornado.testing import gen_test

from sesameknot.coordination._kind_snapshot import encode_snapshot
from sesameknot.coordination.snapshot_exchange import PART_TRY_COUNT, SnapshotExchange
from sesameknot.errors import TransportError
from sesameknot.protocol.messages import ObjectVersion, SnapshotPartReply
from tests.support import LoopTestCase, eventually

VERSION = ObjectVersion(key="config", version=7)


class ScriptedPeers:
    """Peer client whose calls get the result of ``answer``."""

    def __init__(self, answer):
        self.answer = answer
        self.call_count = 0

    async def call(self, address, request, **options):
        self.call_count += 1
        await asyncio.sleep(0)
        return self.answer(request)


class FailedTransferTest(LoopTestCase):
    async def fetch(self, answer, *, adopt=None):
        """Fetch a snapshot; return the peers and the log until the transfer ended."""
        follower = SimpleNamespace(kind="config", position=(0, 0), adopt=adopt)
        peers = ScriptedPeers(answer)
        exchange = SnapshotExchange([follower], peers=peers)
        self.closing(exchange.close)
        with capture_logs() as lines:
            exchange.fetch("1.2.3.4:5", VERSION)
            await eventually(lambda: not exchange._transfers, limit_s=5.0)
        return peers, lines

    @gen_test(timeout=30)
    async def test_snapshot_without_end_is_given_up(self):
        """Guards against memory that fills with parts of a snapshot without end."""

        def answer(request):
            return SnapshotPartReply(data=b"x" * 1024, size_bytes=2**40)

        peers, lines = await self.fetch(answer)
        self.assertThat(peers.call_count, LessThan(3))
        events = [line["event"] for line in lines]
        self.assertThat(events, Contains("snapshot_request_failed"))

    @gen_test(timeout=30)
    async def test_error_in_adopting_a_snapshot_is_logged(self):
        """Guards against a host that lacks a kind without a line that says why."""
        data = encode_snapshot([])

        def adopt(*args, **options):
            raise ValueError("no such field")

        _, lines = await self.fetch(
            lambda request: SnapshotPartReply(data=data, size_bytes=len(data)),
            adopt=adopt,
        )
        events = [line["event"] for line in lines]
        self.assertThat(events, Contains("snapshot_not_adopted"))

    @gen_test(timeout=30)
    async def test_each_failed_try_is_logged(self):
        """Guards against tries that fail without a line that names the peer."""

        def answer(request):
            raise TransportError("connection lost", step="reply", peer="1.2.3.4:5")

        peers, lines = await self.fetch(answer)
        self.assertThat(peers.call_count, Equals(PART_TRY_COUNT))
        tries = [line for line in lines if line["event"] == "snapshot_part_failed"]
        self.assertThat(len(tries), Equals(PART_TRY_COUNT))
