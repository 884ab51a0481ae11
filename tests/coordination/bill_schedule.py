"""Simulation of bills under seeded failures, and the checks of the ledger."""

import asyncio
from dataclasses import dataclass, field

import numpy as np

from sesameknot.clock import ManualClock
from sesameknot.coordination.bill_writer import BillWriter
from sesameknot.coordination.ledger import LedgerReport, read_ledger
from sesameknot.protocol.messages import BillRecord
from sesameknot.protocol.roster import RosterMember
from tests.coordination.simulation import Network, Process, run_virtual
from tests.fakes import FakePlatform, FakePlatformClient

DETECTION_S = 4.5
# Time within which the bills of a dead host are replicated to two hosts again.
RECOVERY_S = 12.0
# Copies whose confirmation was lost are checked after 10 minutes, one per second.
SETTLING_S = 800.0


class GatedPlatform:
    """Platform client of a process that can freeze or die at each call."""

    def __init__(self, schedule: "BillSchedule", process: Process) -> None:
        self._schedule = schedule
        self._process = process
        self._client = FakePlatformClient(schedule.platform, process.member.host_id)

    async def get(self, key):
        await self._process.wait_until_running()
        stored = await self._client.get(key)
        await self._process.wait_until_running()
        return stored

    async def put(self, key, value, *, expected_version, write_id):
        await self._schedule.inject_write_fault(self._process, "before")
        await self._process.wait_until_running()
        try:
            return await self._client.put(
                key, value, expected_version=expected_version, write_id=write_id
            )
        finally:
            await self._schedule.inject_write_fault(self._process, "after")
            await self._process.wait_until_running()


class BillHost:
    """A router's bill writer with its view of the other hosts."""

    def __init__(self, schedule: "BillSchedule", member: RosterMember) -> None:
        self.member = member
        self.process = Process(member)
        schedule.network.add(self.process)
        self.writer = schedule.writer_class(
            member.host_id,
            member.incarnation,
            domain=member.domain,
            clock=schedule.clock,
            platform=GatedPlatform(schedule, self.process),
            peers=schedule.network.peer(self.process),
            replica_candidates=schedule.known_alive,
            is_dead=schedule.is_known_dead,
            host_count=lambda: len(schedule.hosts),
        )
        self.writer.register(self.process)
        self.writer.start()


@dataclass
class BillResult:
    """Recorded bills by place, and the contents of platform and hosts at the end."""

    places: dict[str, str] = field(default_factory=dict)
    lost_in_memory: set[str] = field(default_factory=set)
    ledger: LedgerReport = field(default_factory=LedgerReport)
    batches: list[list[str]] = field(default_factory=list)
    held_count: int = 0
    counts: dict[str, int] = field(default_factory=dict)

    def violations(self) -> list[str]:
        """Return descriptions of all violated guarantees."""
        written = [bill.bill_id for bill in self.ledger.bills]
        missing = self.places.keys() - set(written) - self.lost_in_memory
        violations = [f"{bill_id} is missing" for bill_id in sorted(missing)]
        if len(written) != len(set(written)):
            violations.append("the ledger counts a bill twice")
        if any(len(batch) != len(set(batch)) for batch in self.batches):
            violations.append("a batch holds a bill twice")
        if self.held_count:
            violations.append(f"hosts still hold {self.held_count} batches or copies")
        return violations


class BillSchedule:
    """Record bills on several hosts while a seeded adversary injects faults.

    A host is killed only ``RECOVERY_S`` after the last kill or freeze, and not while
    the others can neither copy nor write, because a bill with two copies is lost if
    both hosts fail.
    """

    def __init__(
        self,
        seed: int,
        *,
        host_count: int = 5,
        duration_s: float = 180.0,
        writer_class: type[BillWriter] = BillWriter,
    ) -> None:
        self.random = np.random.default_rng(seed)
        self.clock = ManualClock()
        self.network = Network(self.random, slow_share=0.01)
        self.platform = FakePlatform()
        self.duration_s = duration_s
        self.writer_class = writer_class
        self.host_count = host_count
        self.hosts: dict[str, BillHost] = {}
        self.silent_since_s: dict[tuple[str, int], float] = {}
        self.last_fault_s = float("-inf")
        self.faults = True
        self.result = BillResult()
        self.tasks: set[asyncio.Task] = set()

    def run(self) -> BillResult:
        run_virtual(self._run, self.clock)
        return self.result

    def is_known_dead(self, host_id: str, incarnation: int) -> bool:
        """Return whether membership has declared an incarnation dead."""
        silent_since_s = self.silent_since_s.get((host_id, incarnation), float("inf"))
        return self.clock.monotonic_s() - silent_since_s > DETECTION_S

    def known_alive(self) -> list[RosterMember]:
        members = [host.member for host in self.hosts.values()]
        return [m for m in members if not self.is_known_dead(m.host_id, m.incarnation)]

    async def inject_write_fault(self, process: Process, moment: str) -> None:
        """Kill or freeze a process at random before or after one of its writes."""
        host = self.hosts[process.member.host_id]
        if not self.faults or host.process is not process:
            return
        draw = self.random.random()
        if draw < 0.06 and self._may_kill():
            self._count(f"kill {moment} write")
            self._kill(host)
        elif 0.06 < draw < 0.063 and process.running.is_set():
            self._count(f"freeze {moment} write")
            self._freeze(host)

    async def _run(self) -> None:
        for n in range(self.host_count):
            member = RosterMember(f"h{n}", 1, f"10.0.0.{n}:1", "r", f"d{n % 3}")
            self.hosts[member.host_id] = BillHost(self, member)
        end_s = self.clock.monotonic_s() + self.duration_s
        number = 0
        while self.clock.monotonic_s() < end_s:
            await asyncio.sleep(self.random.exponential(0.05))
            # Some requests have a key and are served twice under one bill id.
            number += self.random.random() < 0.9
            self._spawn(self._serve(self._pick_host(), f"b{number:05}"))
            self._update_last_fault()
            if self.random.random() < 0.005:
                self._inject_fault()
        await self._settle_and_collect()

    async def _serve(self, host: BillHost, bill_id: str) -> None:
        bill = BillRecord(bill_id=bill_id, customer="c", outcome="answered")
        bill.request_id = f"{host.member.host_id}-{self.clock.monotonic_s()}"
        await host.process.wait_until_running()
        place = await host.writer.record(bill)
        await host.process.wait_until_running()
        self._count(place)
        if place != "memory" or bill_id not in self.result.places:
            self.result.places[bill_id] = place

    def _inject_fault(self) -> None:
        host = self._pick_host()
        kind = self.random.choice(
            ["kill", "freeze", "cut", "no platform", "lose", "down"]
        )
        self._count(str(kind))
        if kind == "kill" and self._may_kill():
            self._kill(host)
        elif kind == "freeze":
            self._freeze(host)
        elif kind == "cut":
            cut = [(host.member.host_id, other) for other in self.hosts]
            self.network.cuts.update(cut, [(b, a) for a, b in cut])
            self._spawn(self._heal())
        elif kind == "no platform":
            self.platform.cut_hosts.add(host.member.host_id)
            self._spawn(self._heal())
        elif kind == "lose":
            self.platform.lose_write_answers += 2
        elif kind == "down" and not self.platform.down:
            self.platform.down = True
            self._spawn(self._platform_returns())

    async def _heal(self) -> None:
        await asyncio.sleep(self.random.uniform(1.0, 15.0))
        self.network.cuts.clear()
        self.platform.cut_hosts.clear()

    async def _platform_returns(self) -> None:
        await asyncio.sleep(self.random.uniform(10.0, 90.0))
        self.platform.down = False

    def _may_kill(self) -> bool:
        return self.clock.monotonic_s() - self.last_fault_s > RECOVERY_S

    def _update_last_fault(self) -> None:
        frozen = any(not host.process.running.is_set() for host in self.hosts.values())
        if frozen or (self.network.cuts and self.platform.down):
            self.last_fault_s = self.clock.monotonic_s()

    def _kill(self, host: BillHost) -> None:
        self.last_fault_s = self.clock.monotonic_s()
        self.result.lost_in_memory |= {
            bill_id
            for batch in host.writer.buffer.unwritten_batches()
            for bill_id in batch.bills.keys() - batch.replicated_bill_ids()
            if self.result.places.get(bill_id) == "memory"
        }
        host.process.alive = False
        host.process.running.set()
        self._spawn(host.writer.close())
        old = host.member
        self.silent_since_s.setdefault(
            (old.host_id, old.incarnation), self.last_fault_s
        )
        self._spawn(self._restart(old))

    async def _restart(self, old: RosterMember) -> None:
        await asyncio.sleep(self.random.uniform(1.0, 10.0))
        self.silent_since_s[old.host_id, old.incarnation] = float("-inf")
        member = RosterMember(
            old.host_id, old.incarnation + 1, old.address, old.region, old.domain
        )
        self.hosts[old.host_id] = BillHost(self, member)

    def _freeze(self, host: BillHost) -> None:
        if not host.process.alive or not host.process.running.is_set():
            return
        host.process.running.clear()
        name = (host.member.host_id, host.member.incarnation)
        self.silent_since_s.setdefault(name, self.clock.monotonic_s())
        self._spawn(self._unfreeze(host, name))

    async def _unfreeze(self, host: BillHost, name: tuple[str, int]) -> None:
        await asyncio.sleep(self.random.uniform(0.5, 30.0))
        host.process.running.set()
        if host.process.alive:
            self.silent_since_s.pop(name, None)

    async def _settle_and_collect(self) -> None:
        self.faults = False
        for _ in range(40):
            self.network.cuts.clear()
            await asyncio.sleep(3.0)
        await asyncio.sleep(SETTLING_S)
        self.result.ledger = await read_ledger(self.platform.client("reader"))
        self.result.batches = [
            [bill["bill_id"] for bill in stored.value["bills"]]
            for stored in self.platform.objects.values()
        ]
        for host in self.hosts.values():
            buffer = host.writer.buffer
            self.result.held_count += len(buffer.unwritten_batches()) + len(
                buffer.copies()
            )
            await host.writer.close()
        for task in self.tasks:
            task.cancel()

    def _pick_host(self) -> BillHost:
        alive = [host for host in self.hosts.values() if host.process.alive]
        return alive[self.random.integers(len(alive))]

    def _count(self, name: str) -> None:
        self.result.counts[name] = self.result.counts.get(name, 0) + 1

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
