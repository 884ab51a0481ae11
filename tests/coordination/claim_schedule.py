"""Simulation of claims under seeded failures, and the checks of its record."""

import asyncio
import json
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from unittest import mock

import numpy as np

from sesameknot.clock import ManualClock
from sesameknot.coordination import _claim_custody, _claim_placement
from sesameknot.coordination.claim_client import ClaimClient
from sesameknot.coordination.claim_owner import ClaimOwner
from sesameknot.protocol.roster import Roster, RosterMember, roster_from_value
from sesameknot.state import claim_table
from tests.coordination.simulation import Network, Process, run_virtual

TABLE = "idempotency"
DETECTION_S = 4.5
DEADLINE_S = 3.0
KEY_WINDOW_COUNT = 12
UNREACHABLE_LIMIT_COUNT = 2


@dataclass
class Record:
    """Record of a run: executions and answers by key, and claims after healing."""

    executions: list[tuple[str, float, bytes]] = field(default_factory=list)
    answers: list[tuple[str, float, str, bytes]] = field(default_factory=list)
    after_healing: list[str] = field(default_factory=list)
    unknown_keys: set[str] = field(default_factory=set)
    message_count: int = 0

    def violations(self) -> list[str]:
        """Return descriptions of all violated guarantees."""
        violations = []
        runs: dict[str, list[tuple[float, bytes]]] = {}
        for key, time_s, result in self.executions:
            runs.setdefault(key, []).append((time_s, result))
        for key, executed in runs.items():
            if len(executed) > 1:
                violations.append(f"{key} ran {len(executed)} times")
        for key, started_s, status, value in self.answers:
            executed = runs.get(key, [])
            if status == "not-run" and any(at_s < started_s for at_s, _ in executed):
                violations.append(f'{key} was answered "not-run" but had run')
            if status == "done" and value not in [result for _, result in executed]:
                violations.append(
                    f"{key} was answered {value!r}, which no run returned"
                )
        return violations

    def statuses(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for _, _, status, _ in self.answers:
            counts[status] = counts.get(status, 0) + 1
        return counts


@contextmanager
def few_buckets() -> Iterator[None]:
    """Use 16 buckets; the work per roster change grows with their number."""
    with ExitStack() as stack:
        for module in (claim_table, _claim_custody, _claim_placement):
            stack.enter_context(mock.patch.object(module, "BUCKET_COUNT", 16))
        yield


class ClaimHost:
    """Claim owner and client of a router, with its own view of the roster."""

    def __init__(self, schedule: "ClaimSchedule", member: RosterMember) -> None:
        self.process = Process(member)
        self.member = member
        self.roster = Roster()
        schedule.network.add(self.process)
        peer = schedule.network.peer(self.process)
        self.owner = schedule.owner_class(
            member.host_id,
            member.incarnation,
            clock=schedule.clock,
            roster=lambda: self.roster,
            adopt_roster=lambda record: self.adopt(_parse(record)),
            peers=peer,
        )
        self.claims = schedule.client_class(
            local_owner=self.owner,
            peers=peer,
            clock=schedule.clock,
            random_state=member.incarnation,
        )
        self.owner.register(self.process)
        self.owner.start()

    def adopt(self, roster: Roster) -> None:
        if roster.version > self.roster.version:
            self.roster = roster
            self.owner.roster_changed()

    async def kill(self) -> None:
        self.process.alive = False
        self.owner.close()
        await self.claims.close()


def _parse(record) -> Roster:
    return roster_from_value(json.loads(record.value), record.version)


class ClaimSchedule:
    """Run claims on several hosts while a seeded adversary injects faults.

    ``faults`` enables kills, freezes, cuts and late messages. The classes can be
    replaced by simpler versions to verify that the checks detect their faults.
    """

    def __init__(
        self,
        seed: int,
        *,
        host_count: int = 6,
        domain_count: int = 3,
        faults: bool = True,
        fault_share: float = 0.03,
        duration_s: float = 40.0,
        kinds: tuple[str, ...] = ("kill", "freeze", "cut", "one-way", "heal"),
        owner_class: type[ClaimOwner] = ClaimOwner,
        client_class: type[ClaimClient] = ClaimClient,
    ) -> None:
        self.random = np.random.default_rng(seed)
        self.clock = ManualClock()
        self.network = Network(self.random, slow_share=0.02 if faults else 0.0)
        self.faults = faults
        self.fault_share = fault_share
        self.duration_s = duration_s
        self.kinds = kinds
        self.owner_class = owner_class
        self.client_class = client_class
        self.members = [
            RosterMember(f"h{n}", 1, f"10.0.0.{n}:1", "r", f"d{n % domain_count}")
            for n in range(host_count)
        ]
        self.hosts: dict[str, ClaimHost] = {}
        self.roster = Roster()
        self.unreachable_s: dict[str, float] = {}
        self.record = Record()
        self.next_key = 0
        self.tasks: set[asyncio.Task] = set()

    def run(self) -> Record:
        with few_buckets():
            run_virtual(self._run, self.clock)
        self.record.message_count = self.network.message_count
        return self.record

    async def _run(self) -> None:
        for member in self.members:
            self.hosts[member.host_id] = ClaimHost(self, member)
        self._change_roster(self.members)
        await asyncio.sleep(0.5)
        end_s = self.clock.monotonic_s() + self.duration_s
        next_change_s = 0.0
        while self.clock.monotonic_s() < end_s:
            await asyncio.sleep(0.1 * self.random.random())
            self._spawn(self._request(self._pick_host(), self._pick_key()))
            if not self.faults:
                continue
            if self.random.random() < self.fault_share:
                await self._inject_fault()
            if self.clock.monotonic_s() >= next_change_s:
                next_change_s = self.clock.monotonic_s() + 1.0
                self._update_roster()
        await self._heal_and_claim()

    async def _heal_and_claim(self) -> None:
        """Heal all faults and claim new keys."""
        for _ in range(20):
            self._heal()
            self._update_roster()
            await asyncio.sleep(1.0)
        for number in range(10):
            host = self._pick_host()
            outcome = await host.claims.claim(
                TABLE, f"last{number}", b"", self.clock.monotonic_s() + DEADLINE_S
            )
            self.record.after_healing.append(
                outcome.status if outcome.status == "claimed" else outcome.reason
            )
        for task in self.tasks:
            task.cancel()

    async def _request(self, host: ClaimHost, key: str) -> None:
        started_s = self.clock.monotonic_s()
        outcome = await host.claims.claim_or_wait(
            TABLE, key, b"bill", started_s + DEADLINE_S
        )
        await host.process.wait_until_running()
        if outcome.status != "claimed":
            self._record_answer(key, started_s, outcome.status, outcome.value)
            return
        if self.random.random() < 0.1:
            status, result = "not-run", b""
            state = "released"
        else:
            result = f"{host.member.host_id} at {self.clock.monotonic_s()}".encode()
            self.record.executions.append((key, self.clock.monotonic_s(), result))
            await asyncio.sleep(self.random.exponential(0.1))
            await host.process.wait_until_running()
            status = state = "done" if self.random.random() < 0.9 else "unknown"
            if status == "unknown":
                self.record.unknown_keys.add(key)
        self._record_answer(key, started_s, status, result)
        await host.claims.settle(TABLE, key, state, result, claimant=outcome.claimant)

    def _record_answer(self, key, started_s, status, value) -> None:
        self.record.answers.append((key, started_s, status, value))

    async def _inject_fault(self) -> None:
        host = self._pick_host()
        kind = self.random.choice(self.kinds)
        if len(self.unreachable_s) >= UNREACHABLE_LIMIT_COUNT:
            kind = "heal"
        if kind == "kill":
            await self._replace(host)
        elif kind == "freeze":
            host.process.running.clear()
            self._mark_unreachable(host.member)
            self._spawn(self._unfreeze(host, self.random.uniform(0.5, 15.0)))
        elif kind == "cut":
            self._mark_unreachable(host.member)
            for other in self.members:
                self.network.cuts.add((host.member.host_id, other.host_id))
                self.network.cuts.add((other.host_id, host.member.host_id))
        elif kind == "one-way":
            other = self._pick_host()
            self.network.cuts.add((host.member.host_id, other.member.host_id))
        else:
            self._heal()

    async def _replace(self, host: ClaimHost) -> None:
        await host.kill()
        old = host.member
        member = RosterMember(
            old.host_id, old.incarnation + 1, old.address, old.region, old.domain
        )
        self.members[self.members.index(old)] = member
        self.unreachable_s.pop(old.host_id, None)
        self.hosts[old.host_id] = ClaimHost(self, member)
        self._spawn(self._deliver_roster(self.hosts[old.host_id], self.roster))

    async def _unfreeze(self, host: ClaimHost, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        host.process.running.set()
        if self.hosts[host.member.host_id] is host:
            self.unreachable_s.pop(host.member.host_id, None)

    def _mark_unreachable(self, member: RosterMember) -> None:
        self.unreachable_s.setdefault(member.host_id, self.clock.monotonic_s())

    def _heal(self) -> None:
        self.network.cuts.clear()
        for host_id in list(self.unreachable_s):
            if self.hosts[host_id].process.running.is_set():
                del self.unreachable_s[host_id]

    def _update_roster(self) -> None:
        """Change the roster as a proposer that detects failures late would."""
        now_s = self.clock.monotonic_s()
        wanted = [
            member
            for member in self.members
            if now_s - self.unreachable_s.get(member.host_id, now_s) < DETECTION_S
            and self.random.random() < 0.98
        ]
        if self._is_majority(wanted) and set(wanted) != set(self.roster.members):
            self._change_roster(wanted)

    def _is_majority(self, seen: list[RosterMember]) -> bool:
        roster_ids = [m.host_id for m in self.roster.members]
        kept = [m.host_id for m in seen if m.host_id in roster_ids]
        wins_tie = len(kept) * 2 == len(roster_ids) and min(roster_ids) in kept
        return wins_tie or len(kept) * 2 > len(roster_ids)

    def _change_roster(self, members: list[RosterMember]) -> None:
        self.roster = Roster(
            version=self.roster.version + 7,
            members=tuple(members),
            previous=self.roster.members,
            previous_version=self.roster.version,
        )
        for host in self.hosts.values():
            self._spawn(self._deliver_roster(host, self.roster))

    async def _deliver_roster(self, host: ClaimHost, roster: Roster) -> None:
        await asyncio.sleep(self.random.exponential(0.3 if self.faults else 0.01))
        while host.member.host_id in self.unreachable_s:
            await asyncio.sleep(1.0)
        await host.process.wait_until_running()
        host.adopt(roster)

    def _pick_host(self) -> ClaimHost:
        return list(self.hosts.values())[self.random.integers(len(self.hosts))]

    def _pick_key(self) -> str:
        self.next_key += self.random.random() < 0.3
        return f"k{max(0, self.next_key - self.random.integers(KEY_WINDOW_COUNT))}"

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
