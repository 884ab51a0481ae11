"""Cost of the endpoint client and of grant renewals.

Processor time is that of the client's thread; a server in another thread sends fixed
answers. Only counts and ratios within this run have bounds.
"""

import asyncio
import logging
import statistics
import sys
import threading
import time
from collections.abc import Awaitable, Callable

import structlog
from tests.coordination.grant_world import GrantWorld
from tornado.httpclient import HTTPRequest
from tornado.iostream import IOStream, StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

from benchmarks._figures import Figure, report
from sesameknot.clock import SystemClock
from sesameknot.protocol.chat import (
    DONE_EVENT,
    ChatMessage,
    ChatRequest,
    build_chunk,
    build_request,
)
from sesameknot.protocol.codec import Envelope, encode
from sesameknot.protocol.messages import EndpointReport, GrantReply, GrantRequest
from sesameknot.transport.endpoint_client import EndpointCall, EndpointClient

ROUND_COUNT = 7
REQUEST_COUNT = 200
STREAM_COUNT = 8
CHUNK_COUNT = 400
FRAME_HEADER_BYTES = 4

# Bounds of this run's ratios; the client adds deadlines, typed chunks and the
# observation of the connection to what tornado's client does.
REQUEST_RATIO_BOUND = 1.5
CHUNK_RATIO_BOUND = 2.0
RENEWAL_BYTES_BOUND = 280.0
RENEWAL_MESSAGES_BOUND = 2.0
# The design page's limit for all control traffic of a host. At the full size a host
# holds grants of 24 endpoints, starts 0.5 requests/s at each, and answers for as many
# grants as it holds.
HOST_BYTES_BOUND_PER_S = 9000.0
ENDPOINTS_PER_HOST = 24
STARTS_PER_ENDPOINT_S = 0.5

PLAIN_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
BODY = build_request(
    ChatRequest(model="m", messages=(ChatMessage("user", "hi"),), stream=True)
)


class FixedServer(TCPServer):
    """Answers each connection once, with fixed bytes."""

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Read one request and answer it."""
        stream.set_nodelay(True)
        try:
            head = await stream.read_until(b"\r\n\r\n")
            await stream.read_bytes(len(BODY))
            if b"/stream" in head:
                await self._send_stream(stream)
            else:
                await stream.write(PLAIN_ANSWER)
        except StreamClosedError:
            return
        stream.close()

    async def _send_stream(self, stream: IOStream) -> None:
        chunk = build_chunk("request-1", "model", "t12345 ")
        await stream.write(STREAM_HEAD)
        for data in (*[chunk] * CHUNK_COUNT, DONE_EVENT):
            await stream.write(b"%x\r\n%s\r\n" % (len(data), data))
            # Each chunk reaches the client by itself, as tokens do.
            await asyncio.sleep(0)
        await stream.write(b"0\r\n\r\n")


def _serve(ready: threading.Event, ports: list[int]) -> None:
    async def main() -> None:
        sock, port = bind_unused_port()
        server = FixedServer()
        server.add_socket(sock)
        ports.append(port)
        ready.set()
        await asyncio.Event().wait()

    asyncio.run(main())


async def _time_s(job: Callable[[], Awaitable[None]], count: int) -> float:
    started_s = time.thread_time()
    for _ in range(count):
        await job()
    return (time.thread_time() - started_s) / count


async def client_figures(url: str) -> list[Figure]:
    """Return processor times per request and chunk, ours and tornado's."""
    endpoints = EndpointClient(clock=SystemClock())
    direct = SimpleAsyncHTTPClient(force_instance=True)

    async def direct_request() -> None:
        await direct.fetch(HTTPRequest(url + "/plain", method="POST", body=BODY))

    async def our_request() -> None:
        await endpoints.call(EndpointCall(url=url, path="/plain", body=BODY))

    async def direct_stream() -> None:
        await direct.fetch(
            HTTPRequest(
                url + "/stream",
                method="POST",
                body=BODY,
                streaming_callback=lambda data: None,
            )
        )

    async def our_stream() -> None:
        call = EndpointCall(url=url, path="/stream", body=BODY)
        async with endpoints.stream(call) as stream:
            async for _ in stream:
                pass

    figures = [
        *await _compare(
            "request",
            direct_request,
            our_request,
            REQUEST_COUNT,
            1,
            REQUEST_RATIO_BOUND,
        ),
        *await _compare(
            "chunk",
            direct_stream,
            our_stream,
            STREAM_COUNT,
            CHUNK_COUNT,
            CHUNK_RATIO_BOUND,
        ),
    ]
    endpoints.close()
    direct.close()
    return figures


async def _compare(
    name: str,
    direct: Callable[[], Awaitable[None]],
    ours: Callable[[], Awaitable[None]],
    count: int,
    part_count: int,
    ratio_bound: float,
) -> list[Figure]:
    pairs = [
        (await _time_s(direct, count), await _time_s(ours, count))
        for _ in range(ROUND_COUNT)
    ]
    direct_s, ours_s = (
        statistics.median(column) for column in zip(*pairs, strict=True)
    )
    ratio = statistics.median(ours / direct for direct, ours in pairs)
    to_us = 1e6 / part_count
    return [
        Figure(f"endpoint_{name}_direct", direct_s * to_us, "us"),
        Figure(f"endpoint_{name}_client", ours_s * to_us, "us"),
        Figure(f"endpoint_{name}_ratio", ratio, "-", at_most=ratio_bound),
    ]


def renewal_figures() -> list[Figure]:
    """Return the size of a renewal with names of the usual length."""
    request = GrantRequest(
        endpoint_id="knot-advisor-17",
        host_id="manzala-03",
        incarnation=1_764_820_800_123,
        in_flight_count=3,
        wanted_count=1,
        roster_version=1234,
        owner_incarnation=1_764_820_700_456,
        seen_number=123_456,
        prefix_digest=2**63 + 12_345,
    )
    reply = GrantReply(
        status="granted",
        slot_count=4,
        ttl_ms=2000,
        roster_version=1234,
        owner_incarnation=1_764_820_700_456,
        number=123_457,
        report=EndpointReport(
            state="warm",
            running_count=12,
            queued_count=1,
            capacity_count=16,
            versions=["knot-small/v12", "knot-large/v7"],
            age_ms=1400,
            prefix_digest=2**63 + 12_345,
        ),
    )
    size_bytes = _frame_bytes(request) + _frame_bytes(reply)
    reply.report.prefix_hashes = [
        2**63 + n * 0x9E3779B97F4A7C15 % 2**63 for n in range(64)
    ]
    with_prefixes_bytes = _frame_bytes(request) + _frame_bytes(reply)
    return [
        Figure("grant_renewal", size_bytes, "B", at_most=RENEWAL_BYTES_BOUND),
        Figure("grant_renewal_with_prefixes", with_prefixes_bytes, "B"),
        Figure("grant_renewal_messages", 2, "-", at_most=RENEWAL_MESSAGES_BOUND),
    ]


def _frame_bytes(body: object) -> int:
    return len(encode(Envelope(100_000, "manzala-03", body))) + FRAME_HEADER_BYTES


def holder_figures(renewal_bytes: float) -> list[Figure]:
    """Return the renewals of one endpoint per second under steady load."""
    sim = GrantWorld(
        1,
        state="warm",
        max_duration_s=4.0,
        max_travel_s=0.01,
        request_rate_per_s=STARTS_PER_ENDPOINT_S,
    )
    try:
        sim.world.run_for(10.0)
        before = dict(sim.world.messages_sent)
        sim.world.run_for(60.0)
        owner = sim.owner_name()
        rates = [
            (sim.world.messages_sent[name] - before[name]) / 60.0
            for name in sim.routers
            if name != owner
        ]
    finally:
        sim.world.close()
    rate_per_s = statistics.fmean(rates)
    # Each renewal is sent by its holder and received by its owner.
    host_bytes = 2 * ENDPOINTS_PER_HOST * rate_per_s * renewal_bytes
    return [
        Figure("grant_renewals_per_endpoint", rate_per_s, "1/s"),
        Figure(
            "grant_bytes_per_host", host_bytes, "B/s", at_most=HOST_BYTES_BOUND_PER_S
        ),
    ]


def main() -> bool:
    """Print all figures and return whether they are within their bounds."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    ready = threading.Event()
    ports: list[int] = []
    threading.Thread(target=_serve, args=(ready, ports), daemon=True).start()
    ready.wait()
    figures = asyncio.run(client_figures(f"http://127.0.0.1:{ports[0]}"))
    renewals = renewal_figures()
    return report([*figures, *renewals, *holder_figures(renewals[0].value)])


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
