"""Resident memory of a front process against the bytes of bodies in flight.

``python -m benchmarks.body_memory [--source FOLDER]`` prints a line for each memory
limit and kind of sender; ``--source`` is the ``src`` folder of another build. Nothing
kills the process here, so that a build without a limit shows how far it goes.
"""

import argparse
import asyncio
import contextlib
import logging
import re
import tempfile
from dataclasses import dataclass
from pathlib import Path

import structlog
from soak._caller import CallerConnection
from soak._fronts import ROOT, FrontProcess
from tests.front_world import (
    HOST,
    KEY,
    PLAIN_SERVICE,
    SAFE_PATH,
    UNSAFE_PATH,
    configuration,
    server_entry,
)
from tornado.testing import bind_unused_port

from sesameknot.platform.standin import FleetStore

MEMORY_MB = (160, 200, 300)
# MaxBodyBytes of the deployments.
BODY_BYTES = 4 * 1024 * 1024
CONNECTION_COUNT = 64
SMALL_CONNECTION_COUNT = 8
ROUND_COUNT = 3
ENDPOINT_COUNT = 4
WORK_S = 0.4
PART_BYTES = 64 * 1024
# Time over which a slow sender spreads a body.
SLOW_BODY_S = 4.0
DEADLINE_S = 20.0
# Tries of a caller that is refused and honours Retry-After.
TRY_COUNT = 4
# Time between the last answer and the second reading.
IDLE_S = 3.0


@dataclass(slots=True)
class Counts:
    """What callers saw."""

    in_flight_bytes: int = 0
    most_in_flight_bytes: int = 0
    served: int = 0
    refused: int = 0
    other: int = 0
    small_served: int = 0
    small_other: int = 0

    def add_in_flight(self, byte_count: int) -> None:
        """Count bytes that are sent and not answered yet."""
        self.in_flight_bytes += byte_count
        self.most_in_flight_bytes = max(self.most_in_flight_bytes, self.in_flight_bytes)


def memory_mb(process_id: int, field: str) -> float:
    """Return a figure of the memory of a process."""
    status = Path(f"/proc/{process_id}/status").read_text()
    match = re.search(rf"{field}:\s+(\d+)", status)
    return int(match.group(1)) * 1024 / 1e6 if match else 0.0


async def run_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Work on a request as an endpoint, without keeping its body."""
    with contextlib.suppress(OSError, EOFError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = re.search(r"(?i)content-length: (\d+)", head)
        left_bytes = int(length.group(1)) if length else 0
        while left_bytes:
            left_bytes -= len(await reader.read(min(left_bytes, PART_BYTES)))
        request_id = re.search(r"(?i)x-request-id: (\S+)", head)
        await asyncio.sleep(WORK_S)
        writer.write(
            "HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nContent-Length: 2\r\n"
            f"X-Request-Id: {request_id.group(1) if request_id else ''}\r\n\r\n"
            "ok".encode()
        )
        await writer.drain()
    writer.close()


async def send_body(
    address: str, request_id: str, counts: Counts, *, slow: bool
) -> tuple[int, float]:
    """Send one large request; return the answer's status and Retry-After."""
    ip, _, port = address.rpartition(":")
    sent_bytes = 0
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(
            f"POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}"
            f"\r\nX-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\nAuthorization: Bearer {KEY}"
            f"\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
        )
        head_read = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
        while sent_bytes < BODY_BYTES and not head_read.done():
            writer.write(bytes(PART_BYTES))
            await writer.drain()
            sent_bytes += PART_BYTES
            counts.add_in_flight(PART_BYTES)
            if slow:
                await asyncio.sleep(SLOW_BODY_S * PART_BYTES / BODY_BYTES)
        head = (await head_read).decode()
        retry_after = re.search(r"(?i)retry-after: (\S+)", head)
        return int(head.split()[1]), float(retry_after.group(1)) if retry_after else 0.0
    except (OSError, EOFError):
        return 0, 0.0
    finally:
        counts.add_in_flight(-sent_bytes)
        writer.close()


async def send_large(address: str, number: int, counts: Counts, *, slow: bool) -> None:
    """Send the requests of one caller of large bodies."""
    for round_number in range(ROUND_COUNT):
        for try_number in range(TRY_COUNT):
            request_id = f"large-{number}-{round_number}-{try_number}"
            status, wait_s = await send_body(address, request_id, counts, slow=slow)
            if status != 503:
                break
            counts.refused += 1
            await asyncio.sleep(wait_s)
        counts.served += status == 200
        counts.other += status not in (200, 503)


async def send_small(address: str, number: int, counts: Counts) -> None:
    """Send small requests until cancelled."""
    connection = CallerConnection(address)
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Deadline-Ms": "4000"}
    try:
        while True:
            headers["X-Request-Id"] = f"small-{number}-{id(object())}"
            answer = await connection.request("POST", SAFE_PATH, headers, b"{}", 6.0)
            counts.small_served += answer.status == 200
            counts.small_other += answer.status != 200
            await asyncio.sleep(0.05)
    finally:
        connection.close()


async def wait_until_ready(front: FrontProcess) -> None:
    """Wait until a front process serves requests."""
    probe = CallerConnection(front.ready_address)
    path, headers = "/sesameknot/readyz", {"Host": "x"}
    status = 0
    while status != 200:
        status = (await probe.request("GET", path, headers, b"", 1.0)).status
        await asyncio.sleep(0.05)
    probe.close()


async def measure(limit_mb: int, *, slow: bool, source: Path) -> str:
    """Return the line of one limit and kind of sender."""
    store = FleetStore()
    store.put("config", "main", configuration())
    endpoints = []
    for number in range(ENDPOINT_COUNT):
        server = await asyncio.start_server(run_request, "127.0.0.1", 0)
        endpoints.append(server)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        entry = server_entry(PLAIN_SERVICE, address, Slots=CONNECTION_COUNT)
        store.put("servers", f"e{number}", entry)
    store_server = store.server()
    sock, port = bind_unused_port()
    store_server.add_socket(sock)
    counts = Counts()
    with tempfile.TemporaryDirectory() as directory:
        front = FrontProcess(
            0,
            f"127.0.0.1:{port}",
            Path(directory),
            source=source,
            memory_mb=limit_mb,
        )
        try:
            await front.start([])
            await wait_until_ready(front)
            begin_mb = memory_mb(front.process_id, "VmRSS")
            small = [
                asyncio.create_task(send_small(front.caller_address, number, counts))
                for number in range(SMALL_CONNECTION_COUNT)
            ]
            await asyncio.gather(
                *(
                    send_large(front.caller_address, number, counts, slow=slow)
                    for number in range(CONNECTION_COUNT)
                )
            )
            for task in small:
                task.cancel()
            await asyncio.sleep(IDLE_S)
            peak_mb = memory_mb(front.process_id, "VmHWM")
            idle_mb = memory_mb(front.process_id, "VmRSS")
        finally:
            await front.close()
            store_server.stop()
            for server in endpoints:
                server.close()
    return (
        f"limit {limit_mb} MB {'slow' if slow else 'fast'}: sent and unanswered "
        f"{counts.most_in_flight_bytes / 1e6:.0f} MB, resident before {begin_mb:.0f}, "
        f"peak {peak_mb:.0f}{' OVER' if peak_mb > limit_mb else ''}, idle "
        f"{idle_mb:.0f} MB; large: {counts.served} served, {counts.refused} refusals, "
        f"{counts.other} other; small: {counts.small_served} served, "
        f"{counts.small_other} other"
    )


def main() -> bool:
    """Measure all limits with fast and slow senders; the figures have no bounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--source", type=Path, default=ROOT / "src")
    source = parser.parse_args().source.resolve()
    # The stand-in of the store runs in this process.
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for limit_mb in MEMORY_MB:
        for slow in (False, True):
            print(asyncio.run(measure(limit_mb, slow=slow, source=source)), flush=True)
    return True


if __name__ == "__main__":
    main()
