"""Cost of claims and bills.

Each line is ``name value unit bound ok|over``. Messages, bytes of frames and platform
writes are counted on virtual hosts and gate the result; memory and processor time
depend on the machine and are only printed. The processor time is that of all hosts
together, with encoding and decoding and without sockets.
"""

import asyncio
import logging
import sys
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import numpy as np
import structlog
from tests.coordination.simulation import Network, Process, run_virtual
from tests.fakes import FakePlatform

from benchmarks.control_overhead import Figure
from sesameknot.clock import ManualClock
from sesameknot.coordination._claim_placement import BucketPlacement
from sesameknot.coordination.bill_writer import BillWriter
from sesameknot.coordination.claim_client import ClaimClient
from sesameknot.coordination.claim_owner import ClaimOwner
from sesameknot.protocol.messages import BillRecord
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.claim_table import ClaimTable

# A claim writes to three owners and settles there, with one answer each.
CLAIM_MESSAGES_BOUND = 12.0
# The stored response of 180 bytes is sent to three owners.
CLAIM_BYTES_BOUND = 2400.0
# A bill goes to one replica; its batch is confirmed once.
BILL_MESSAGES_BOUND = 3.0
BILL_BYTES_BOUND = 500.0
WRITES_BOUND_PER_S = 50.0
# A new member asks each of the other 26 hosts once.
COPY_MESSAGES_BOUND = 2.0 * 26

CLAIM_MEMORY_BOUND_BYTES = 1000.0
CLAIM_PROCESSOR_BOUND_MS = 10.0
BILL_PROCESSOR_BOUND_MS = 5.0
PLACEMENT_BOUND_MS = 1000.0
PLACEMENT_CHANGE_BOUND_MS = 100.0

FLEET_SIZE = 8
LARGE_FLEET_SIZE = 380
COPY_FLEET_SIZE = 27
CLAIM_COUNT = 500
BILL_COUNT = 2000
VALUE = b"response " * 20


def members(count: int) -> list[RosterMember]:
    """Return roster members in four failure domains."""
    return [
        RosterMember(
            f"node-{n:03}", 1, f"10.0.{n // 250}.{n % 250}:7000", "r", f"d{n % 4}"
        )
        for n in range(count)
    ]


class Hosts:
    """Claim and bill parts of virtual hosts that share one roster."""

    def __init__(self, count: int, *, encoded: bool = True) -> None:
        self.clock = ManualClock()
        self.network = Network(np.random.default_rng(count), encoded=encoded)
        self.platform = FakePlatform()
        self.members = members(count)
        self.processes = [Process(member) for member in self.members]
        self.roster = Roster(version=1, members=tuple(self.members))
        self.owners: list[ClaimOwner] = []
        self.claims: list[ClaimClient] = []
        self.writers: list[BillWriter] = []
        for process in self.processes:
            self.network.add(process)

    def start_claims(self) -> None:
        """Start the owner and the requesting side of each host."""
        for process in self.processes:
            owner = ClaimOwner(
                process.member.host_id,
                process.member.incarnation,
                clock=self.clock,
                roster=lambda: self.roster,
                adopt_roster=lambda record: None,
                peers=self.network.peer(process),
            )
            owner.register(process)
            owner.start()
            self.owners.append(owner)
            self.claims.append(
                ClaimClient(
                    local_owner=owner,
                    peers=self.network.peer(process),
                    clock=self.clock,
                )
            )

    def start_writers(self) -> None:
        """Start the bill writer of each host."""
        for process in self.processes:
            writer = BillWriter(
                process.member.host_id,
                process.member.incarnation,
                domain=process.member.domain,
                clock=self.clock,
                platform=self.platform.client(process.member.host_id),
                peers=self.network.peer(process),
                replica_candidates=lambda: self.members,
                is_dead=lambda host_id, incarnation: False,
                host_count=lambda: len(self.members),
            )
            writer.register(process)
            writer.start()
            self.writers.append(writer)

    async def close(self) -> None:
        """Stop all tasks."""
        for owner in self.owners:
            owner.close()
        for part in [*self.claims, *self.writers]:
            await part.close()

    def run(self, steps: Callable[[], Awaitable[list[Figure]]]) -> list[Figure]:
        """Run ``steps`` on virtual time and return its figures."""

        async def main() -> list[Figure]:
            figures = await steps()
            await self.close()
            return figures

        return run_virtual(main, self.clock)


def claim_figures() -> list[Figure]:
    """Return the cost of claiming and settling keys."""
    hosts = Hosts(FLEET_SIZE)

    async def steps() -> list[Figure]:
        hosts.start_claims()
        await asyncio.sleep(1.0)
        messages, size_bytes = hosts.network.message_count, hosts.network.size_bytes
        started_s = time.process_time()
        for n in range(CLAIM_COUNT):
            await claim_and_settle(hosts.claims[n % FLEET_SIZE], f"key-{n:06}")
        await asyncio.sleep(1.0)
        used_s = time.process_time() - started_s
        messages = hosts.network.message_count - messages
        size_bytes = hosts.network.size_bytes - size_bytes
        per_claim = 1 / CLAIM_COUNT
        return [
            Figure("claim_messages", messages * per_claim, "1", CLAIM_MESSAGES_BOUND),
            Figure("claim_bytes", size_bytes * per_claim, "B", CLAIM_BYTES_BOUND),
            Figure(
                "claim_processor",
                used_s * 1000 * per_claim,
                "ms",
                CLAIM_PROCESSOR_BOUND_MS,
                gating=False,
            ),
        ]

    return hosts.run(steps)


async def claim_and_settle(claims: ClaimClient, key: str) -> None:
    """Claim a key and store a short response."""
    deadline_s = claims.clock.monotonic_s() + 5.0
    outcome = await claims.claim("idempotency", key, b"fingerpr", deadline_s)
    await claims.settle("idempotency", key, "done", VALUE, claimant=outcome.claimant)


def bill_figures() -> list[Figure]:
    """Return the cost of recording bills and writing their batches."""
    hosts = Hosts(FLEET_SIZE)

    async def steps() -> list[Figure]:
        hosts.start_writers()
        started_s = time.process_time()
        for n in range(BILL_COUNT):
            await hosts.writers[n % FLEET_SIZE].record(bill(n))
        await asyncio.sleep(5.0)
        used_s = time.process_time() - started_s
        per_bill = 1 / BILL_COUNT
        return [
            Figure(
                "bill_messages",
                hosts.network.message_count * per_bill,
                "1",
                BILL_MESSAGES_BOUND,
            ),
            Figure(
                "bill_bytes",
                hosts.network.size_bytes * per_bill,
                "B",
                BILL_BYTES_BOUND,
            ),
            Figure(
                "bill_processor",
                used_s * 1000 * per_bill,
                "ms",
                BILL_PROCESSOR_BOUND_MS,
                gating=False,
            ),
        ]

    return hosts.run(steps)


def bill(number: int) -> BillRecord:
    """Return a bill with fields of usual length."""
    return BillRecord(
        bill_id=f"node-001.1764820000000.{number}",
        request_id=f"node-001.1764820000000.{number}",
        customer="manzala-feed",
        model="advisor-small",
        version="2026.11.3",
        endpoint_id="knot-advisor-3",
        prompt_tokens=812,
        output_tokens=143,
        cost_microunits=5120,
        outcome="answered",
        wall_ms=1764820000000 + number,
    )


def write_figures() -> list[Figure]:
    """Return how often a large fleet writes batches, also after an outage."""
    hosts = Hosts(LARGE_FLEET_SIZE, encoded=False)

    async def steps() -> list[Figure]:
        hosts.start_writers()
        await record_for(hosts, 60.0)
        steady = len(hosts.platform.log) / 60.0
        hosts.platform.down = True
        await record_for(hosts, 30.0)
        hosts.platform.down = False
        before = len(hosts.platform.log)
        await record_for(hosts, 30.0)
        recovery = (len(hosts.platform.log) - before) / 30.0
        name = f"batch_writes_{LARGE_FLEET_SIZE}_hosts"
        return [
            Figure(name, steady, "1/s", WRITES_BOUND_PER_S),
            Figure(f"{name}_after_outage", recovery, "1/s", 2 * WRITES_BOUND_PER_S),
        ]

    return hosts.run(steps)


async def record_for(hosts: Hosts, duration_s: float) -> None:
    """Record a bill per host and second on average."""
    end_s = hosts.clock.monotonic_s() + duration_s
    number = 0
    while hosts.clock.monotonic_s() < end_s:
        await asyncio.sleep(1.0 / len(hosts.writers))
        await hosts.writers[number % len(hosts.writers)].record(bill(number))
        number += 1


def copy_figures() -> list[Figure]:
    """Return the messages that the claims of one replaced host cost."""
    hosts = Hosts(COPY_FLEET_SIZE)

    async def steps() -> list[Figure]:
        hosts.roster = Roster(version=1, members=tuple(hosts.members[:-1]))
        hosts.start_claims()
        await asyncio.sleep(1.0)
        messages = hosts.network.message_count
        hosts.roster = Roster(
            version=2,
            members=tuple(hosts.members),
            previous=hosts.roster.members,
            previous_version=1,
        )
        for owner in hosts.owners:
            owner.roster_changed()
        await asyncio.sleep(1.0)
        messages = hosts.network.message_count - messages
        name = f"copy_messages_{COPY_FLEET_SIZE}_hosts"
        return [Figure(name, messages, "1", COPY_MESSAGES_BOUND)]

    return hosts.run(steps)


def memory_figures() -> list[Figure]:
    """Return the memory of a stored claim with a response of 180 bytes."""
    table = ClaimTable(clock=ManualClock(), retention_s=600.0)
    count = 20_000
    tracemalloc.start()
    for n in range(count):
        table.claim("idempotency", f"customer/key-{n:08}", f"node.1.{n}#1", b"f" * 8)
        value = bytes(bytearray(VALUE))
        table.settle(
            "idempotency", f"customer/key-{n:08}", f"node.1.{n}#1", "done", value
        )
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [
        Figure(
            "claim_memory",
            used_bytes / count,
            "B",
            CLAIM_MEMORY_BOUND_BYTES,
            gating=False,
        )
    ]


def placement_figures() -> list[Figure]:
    """Return the processor time of placing buckets on a large roster."""
    everyone = members(LARGE_FLEET_SIZE)
    started_s = time.process_time()
    placement = BucketPlacement(everyone)
    full_s = time.process_time() - started_s
    started_s = time.process_time()
    BucketPlacement(everyone[1:], base=placement)
    change_s = time.process_time() - started_s
    name = f"placement_{LARGE_FLEET_SIZE}_hosts"
    return [
        Figure(name, full_s * 1000, "ms", PLACEMENT_BOUND_MS, gating=False),
        Figure(
            f"{name}_change",
            change_s * 1000,
            "ms",
            PLACEMENT_CHANGE_BOUND_MS,
            gating=False,
        ),
    ]


def main() -> bool:
    """Print all figures and return whether the gating ones hold."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    figures = [
        *claim_figures(),
        *memory_figures(),
        *bill_figures(),
        *write_figures(),
        *copy_figures(),
        *placement_figures(),
    ]
    for figure in figures:
        print(figure.line())
    return all(figure.holds for figure in figures if figure.gating)


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
