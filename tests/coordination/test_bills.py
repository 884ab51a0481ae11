"""Tests of bills under failures."""

import asyncio
import contextlib
from unittest import mock

import pytest
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.coordination.bill_writer import BillWriter
from sesameknot.coordination.ledger import CustomerTotal, read_ledger
from sesameknot.errors import ConflictError
from sesameknot.protocol.messages import BillRecord
from sesameknot.protocol.roster import RosterMember
from sesameknot.state.bill_buffer import bills_to_value
from tests.coordination.bill_schedule import BillHost, BillSchedule
from tests.coordination.simulation import run_virtual


async def put_once(writer, batch):
    """Write a batch without merging; treat a conflict as an earlier write of it."""
    with contextlib.suppress(ConflictError):
        await writer.platform.put(
            batch.key,
            bills_to_value(batch.bills.values()),
            expected_version=0,
            write_id="w",
        )
    return dict(batch.bills)


async def skip(writer):
    """Restore no replicas."""


class TestBillSchedule:
    @pytest.mark.parametrize("seed", range(6))
    def test_every_answered_request_is_in_the_ledger_once(self, seed):
        """Guards against bills that are lost or counted twice under failures."""
        result = BillSchedule(seed).run()
        assert result.violations() == []
        assert result.counts["replicated"] > 1000
        kills = [name for name in result.counts if name.startswith("kill ")]
        assert kills != []

    @pytest.mark.parametrize(
        ("name", "simpler"),
        [
            ("_take_over", lambda writer: None),
            ("_put_merged", put_once),
            ("_restore_replicas", skip),
        ],
        ids=["no-takeover", "no-union", "no-new-copies"],
    )
    def test_the_schedule_finds_simpler_versions_wrong(self, name, simpler):
        """Guards against a schedule that does not reveal a missing safeguard."""
        with mock.patch.object(BillWriter, name, simpler):
            runs = (BillSchedule(seed).run() for seed in range(40))
            assert any(
                line.endswith("is missing")
                for result in runs
                for line in result.violations()
            )


class Fleet(BillSchedule):
    """Hosts without injected faults; each test runs its own steps on them."""

    def __init__(self, domains: str) -> None:
        super().__init__(1)
        self.faults = False
        self.domains = domains

    def scenario(self, steps):
        async def main():
            for n, domain in enumerate(self.domains):
                member = RosterMember(f"h{n}", 1, f"10.0.0.{n}:1", "r", domain)
                self.hosts[member.host_id] = BillHost(self, member)
            result = await steps()
            for host in self.hosts.values():
                await host.writer.close()
            return result

        return run_virtual(main, self.clock)

    async def record(self, bill_id, **fields):
        bill = BillRecord(bill_id=bill_id, outcome="answered", **fields)
        return await self.hosts["h0"].writer.record(bill)

    async def ledger_ids(self):
        report = await read_ledger(self.platform.client("reader"))
        return [bill.bill_id for bill in report.bills]


class BillCaseTest(TestCase):
    def test_without_a_host_in_another_domain_bills_are_written_at_once(self):
        """Guards against an answer whose bill is held by one host only."""
        for domains in ("a", "aa"):
            fleet = Fleet(domains)

            async def steps(fleet=fleet):
                place = await fleet.record("b1")
                written_ids = await fleet.ledger_ids()
                fleet.platform.down = True
                outage_place = await fleet.record("b2")
                fleet.platform.down = False
                await asyncio.sleep(3.0)
                return place, written_ids, outage_place, await fleet.ledger_ids()

            self.assertThat(
                fleet.scenario(steps),
                Equals(("written", ["b1"], "memory", ["b1", "b2"])),
            )

    def test_answers_without_replica_share_writes(self):
        """Guards against a platform write for each answer of a single host."""
        fleet = Fleet("a")

        async def steps():
            await asyncio.gather(*(fleet.record(f"b{n:03}") for n in range(200)))
            return len(await fleet.ledger_ids()), len(fleet.platform.objects)

        self.assertThat(fleet.scenario(steps), Equals((200, 2)))

    def test_drain_writes_all_or_leaves_the_rest_to_the_replica(self):
        """Guards against bills that are lost in a planned shutdown."""
        fleet = Fleet("ab")

        async def steps():
            await fleet.record("b1")
            first_count = await fleet.hosts["h0"].writer.drain(5.0)
            written_ids = await fleet.ledger_ids()
            fleet.platform.down = True
            await fleet.record("b2")
            second_count = await fleet.hosts["h0"].writer.drain(5.0)
            await fleet.hosts["h0"].writer.close()
            fleet.silent_since_s["h0", 1] = float("-inf")
            fleet.platform.down = False
            await asyncio.sleep(3.0)
            return first_count, written_ids, second_count, await fleet.ledger_ids()

        self.assertThat(fleet.scenario(steps), Equals((0, ["b1"], 1, ["b1", "b2"])))

    def test_a_resend_under_one_bill_is_counted_once(self):
        """Guards against billing a resent request twice or as unknown."""
        fleet = Fleet("abc")

        async def steps():
            unknown = BillRecord(bill_id="b1", customer="c", outcome="unknown")
            await fleet.hosts["h1"].writer.record(unknown)
            await fleet.record("b1", customer="c", cost_microunits=7, wall_ms=5)
            await fleet.record("b2", customer="d", output_tokens=3)
            await asyncio.sleep(3.0)
            return (await read_ledger(fleet.platform.client("reader"))).totals

        self.assertThat(
            fleet.scenario(steps),
            Equals(
                [
                    CustomerTotal("c", bill_count=1, cost_microunits=7),
                    CustomerTotal("d", bill_count=1, output_tokens=3),
                ]
            ),
        )
