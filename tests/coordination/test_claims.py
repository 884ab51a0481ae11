"""Tests of claims under failures and roster changes."""

import asyncio
from contextlib import nullcontext
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.coordination import _claim_copying, _claim_custody, _claim_tally
from sesameknot.coordination._claim_placement import BucketPlacement
from sesameknot.coordination.claim_client import ClaimClient
from sesameknot.coordination.claim_owner import CUSTODY_RESUME_MARGIN_S, ClaimOwner
from sesameknot.coordination.ownership import choose_owners
from sesameknot.coordination.sessions import SessionPins
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.claim_table import BUCKET_COUNT, bucket_of
from tests.coordination.claim_schedule import (
    TABLE,
    ClaimHost,
    ClaimSchedule,
    few_buckets,
)
from tests.coordination.simulation import Network, run_virtual


class UnfencedOwner(ClaimOwner):
    """Accepts claims under any roster and for any bucket."""

    def _serving_status(self, table, key, message):
        version, _ = self.refresh_roster()
        return version, ""


class OneNameClient(ClaimClient):
    """Uses one claimant prefix for all claims of a process."""

    def _new_claim_prefix(self):
        return f"{self.local_owner.host_id}.{self.local_owner.incarnation}#"


def hold_without_copying(custody, bucket, roster, now_s):
    """Mark a bucket as held without copying it."""
    custody._held_versions[bucket] = roster.version


class TestClaimSchedule:
    @pytest.mark.parametrize(
        ("seed", "host_count", "fault_share"),
        [(seed, 6, 0.03) for seed in range(1, 7)]
        # With this seed, one of two owners of an old roster was taken as proof of
        # "not run".
        + [(11, 3, 0.02)]
        + [(8, 2, 0.02), (2, 4, 0.02)],
    )
    def test_no_key_runs_twice(self, seed, host_count, fault_share):
        """Guards against a second run of a key and a false "not run" answer."""
        record = ClaimSchedule(
            seed, host_count=host_count, fault_share=fault_share
        ).run()
        assert record.violations() == []
        assert len(record.executions) > 10
        assert set(record.after_healing) <= {"claimed", "custody-lost"}

    @pytest.mark.parametrize("seed", [5, 9])
    def test_keys_are_served_again_after_freezes_and_cuts(self, seed):
        """Guards against owners that miss a roster and wait for each other's copies."""
        record = ClaimSchedule(seed, kinds=("freeze", "cut", "one-way", "heal")).run()
        assert record.violations() == []
        assert record.after_healing == ["claimed"] * 10

    @pytest.mark.parametrize(
        ("fault", "patch"),
        [
            ({"owner_class": UnfencedOwner}, ()),
            ({"client_class": OneNameClient}, ()),
            ({}, (_claim_custody.BucketCustody, "_start_bucket", hold_without_copying)),
            ({}, (_claim_copying, "quorum_intersection_count", lambda count: 1)),
            ({}, (_claim_tally, "absence_proof_count", lambda count: 0)),
        ],
        ids=["unfenced", "one-name", "uncopied", "one-copy", "unproved"],
    )
    def test_the_schedule_finds_simpler_versions_wrong(self, fault, patch):
        """Guards against a schedule that does not reveal a missing safeguard."""
        with mock.patch.object(*patch) if patch else nullcontext():
            runs = (ClaimSchedule(seed, **fault).run() for seed in range(40))
            assert any(record.violations() for record in runs)

    @pytest.mark.parametrize("seed", [1, 2])
    def test_without_failures_claims_equal_a_dictionary(self, seed):
        """Guards against answers that differ from a dictionary's without failures."""
        schedule = ClaimSchedule(seed, faults=False, duration_s=20.0)
        record = schedule.run()
        reference: dict[str, bytes] = {}
        for key, _, result in record.executions:
            reference.setdefault(key, result)
        assert record.violations() == []
        assert len(reference) == len(record.executions) > 50
        for key, _, status, value in record.answers:
            if status == "done":
                assert value == reference[key]
            elif status == "unknown":
                assert key in record.unknown_keys


def members(domains: str) -> list[RosterMember]:
    """Return one member for each letter of ``domains``."""
    return [
        RosterMember(f"h{n}", 1, f"10.0.0.{n}:1", "r", domain)
        for n, domain in enumerate(domains)
    ]


class Cluster(ClaimSchedule):
    """Hosts without injected faults; each test runs its own steps on them."""

    def __init__(self, domains: str) -> None:
        super().__init__(1, faults=False)
        self.members = members(domains)
        self.network = Network(self.random)

    def scenario(self, steps):
        async def main():
            for member in self.members:
                self.hosts[member.host_id] = ClaimHost(self, member)
            self._change_roster(self.members)
            await asyncio.sleep(1.0)
            result = await steps()
            for host in self.hosts.values():
                await host.kill()
            return result

        with few_buckets():
            return run_virtual(main, self.clock)

    async def claim(self, host_id, key, *, limit_s=2.0):
        deadline_s = self.clock.monotonic_s() + limit_s
        return await self.hosts[host_id].claims.claim(TABLE, key, b"v", deadline_s)


class ClaimCaseTest(TestCase):
    def test_owner_counts_below_three(self):
        """Guards against a quorum inside one failure domain."""

        def status(domains, dead=()):
            cluster = Cluster(domains)

            async def steps():
                for host_id in dead:
                    await cluster.hosts[host_id].kill()
                return (await cluster.claim("h0", "k")).status

            return cluster.scenario(steps)

        self.assertThat(status("a"), Equals("claimed"))
        self.assertThat(status("ab"), Equals("claimed"))
        self.assertThat(status("aa"), Equals("not-run"))
        self.assertThat(status("ab", dead=["h1"]), Equals("unknown"))
        self.assertThat(status("aab", dead=["h2"]), Equals("not-run"))
        self.assertThat(status("abc", dead=["h2"]), Equals("claimed"))

    def test_lost_custody_answers_unknown_until_the_retention_has_passed(self):
        """Guards against a second run of a key whose claim was lost with two owners."""
        cluster = Cluster("abcd")

        async def steps():
            placement = cluster.hosts["h0"].owner.refresh_roster()[1]
            owner_ids = [m.host_id for m in placement.owners_of(bucket_of(TABLE, "k"))]
            (other,) = cluster.hosts.keys() - set(owner_ids)
            cluster.network.cuts.add((other, owner_ids[2]))
            await cluster.claim(other, "k")
            cluster.network.cuts.clear()
            for host_id in owner_ids[:2]:
                await cluster._replace(cluster.hosts[host_id])
            cluster._change_roster(cluster.members)
            await asyncio.sleep(10.0)
            first = await cluster.claim(other, "k")
            await asyncio.sleep(600.0 + CUSTODY_RESUME_MARGIN_S)
            return first, await cluster.claim(other, "k")

        first, later = cluster.scenario(steps)
        self.assertThat(
            (first.status, first.reason, later.status),
            Equals(("unknown", "custody-lost", "claimed")),
        )

    def test_a_roster_made_anew_frees_no_key(self):
        """Guards against a second run of a key after a roster object is recreated."""
        cluster = Cluster("abc")

        async def steps():
            version = cluster.roster.version + 7
            recreated = Roster(version=version, members=tuple(cluster.members))
            for host in cluster.hosts.values():
                host.adopt(recreated)
            await asyncio.sleep(10.0)
            return await cluster.claim("h0", "k")

        outcome = cluster.scenario(steps)
        self.assertThat(
            (outcome.status, outcome.reason), Equals(("unknown", "custody-lost"))
        )

    def test_a_new_owner_copies_values_of_many_frames(self):
        """Guards against a copy that is truncated at the frame limit of 1.5 MB."""
        cluster = Cluster("abc")
        value = bytes(60_000)

        async def steps():
            for n in range(60):
                outcome = await cluster.claim("h0", f"k{n}")
                await cluster.hosts["h0"].claims.settle(
                    TABLE, f"k{n}", "done", value, claimant=outcome.claimant
                )
            await asyncio.sleep(1.0)
            await cluster._replace(cluster.hosts["h2"])
            cluster._change_roster(cluster.members)
            await asyncio.sleep(2.0)
            table = cluster.hosts["h2"].owner.table
            return [table.read(TABLE, f"k{n}").claim.value for n in range(60)]

        self.assertThat(cluster.scenario(steps), Equals([value] * 60))

    def test_a_large_response_is_settled_as_unknown_with_its_bill(self):
        """Guards against storing a response above the limit of 64 KiB."""
        cluster = Cluster("abc")

        async def steps():
            outcome = await cluster.claim("h0", "k")
            await cluster.hosts["h0"].claims.settle(
                TABLE, "k", "done", bytes(70_000), claimant=outcome.claimant
            )
            await asyncio.sleep(1.0)
            return await cluster.claim("h1", "k")

        outcome = cluster.scenario(steps)
        self.assertThat((outcome.status, outcome.value), Equals(("unknown", b"v")))


class SessionPinTest(TestCase):
    def test_sessions_keep_their_version_until_it_is_withdrawn(self):
        """Guards against a session that changes versions or keeps a withdrawn one."""
        cluster = Cluster("abc")
        withdrawn = set()

        async def steps():
            first, second, third = (
                SessionPins(
                    host.claims,
                    is_withdrawn=withdrawn.__contains__,
                    clock=cluster.clock,
                )
                for host in cluster.hosts.values()
            )
            pins = [
                await first.pin("s", "m/1", stable_version="m/0"),
                await second.pin("s", "m/2", stable_version="m/0"),
            ]
            # Uses at intervals below the retention extend the pin beyond it.
            for _ in range(4):
                await asyncio.sleep(400.0)
                await first.pin("s", "m/3", stable_version="m/0")
                await asyncio.sleep(1.0)
            pins.append(await third.pin("s", "m/4", stable_version="m/0"))
            withdrawn.add("m/1")
            pins.append(await first.pin("s", "m/5", stable_version="m/0"))
            pins.append(await second.pin("s", "m/6", stable_version="m/0"))
            for host_id in ("h1", "h2"):
                await cluster.hosts[host_id].kill()
            pins.append(await first.pin("s", "m/7", stable_version="m/0"))
            pins.append(await first.pin("t", "m/8", stable_version="m/0"))
            return [(pin.version, pin.pinned) for pin in pins]

        self.assertThat(
            cluster.scenario(steps),
            Equals(
                [("m/1", True)] * 3 + [("m/5", True)] * 3 + [("m/0", False)],
            ),
        )


@st.composite
def rosters(draw):
    """Draw three member lists of the same ten hosts."""
    numbers = st.sets(st.integers(0, 9), min_size=1, max_size=8)
    domains = draw(st.lists(st.sampled_from("abcd"), min_size=10, max_size=10))
    all_members = members("".join(domains))
    return [[all_members[n] for n in sorted(draw(numbers))] for _ in range(3)]


class PlacementTest(TestCase):
    @settings(max_examples=25, deadline=None)
    @given(rosters())
    def test_an_adjusted_placement_equals_a_full_one(self, changes):
        """Guards against hosts that choose different owners under one roster."""
        placement = None
        for roster_members in changes:
            placement = BucketPlacement(roster_members, base=placement)
            for bucket in range(0, BUCKET_COUNT, 16):
                self.assertThat(
                    placement.owners_of(bucket),
                    Equals(
                        tuple(choose_owners("claim", str(bucket), roster_members, 3))
                    ),
                )
