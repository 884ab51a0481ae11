"""Planned stops in turn, while consumers go on with their kept connections."""

import asyncio
import secrets
import signal
import time
from pathlib import Path

from stage.clients import Sent, request_bytes
from stage.deployment import TROUBLE, Deployment, route, run_case
from stage.fronts import Front
from stage.http import read_message
from stage.server import Engine

FRONT_COUNT = 8
CONSUMER_COUNT = 20
# The streams begin shortly before the stop, as when many users come at once.
BURST_S = 0.1
STOP_AFTER_S = 0.5
# The engine ends the streams of its batch with one step.
STREAM_S = 3.1
EVENT_INTERVAL_S = 0.1
# Time from an answer to the consumer's next request: the way, of 3 ms to consumers and
# 3 ms back, or less for those nearby, and a little for the consumer itself. It differs
# between the stops.
NEXT_AFTER_S = (0.001, 0.003, 0.005, 0.008)
NEXT_SPREAD_S = 0.005
BOOKING_S = 0.1
BOOKING_DEADLINE_MS = 1000


async def consume(
    deployment: Deployment, front: Front, number: int, next_after_s: float
) -> None:
    """Ask for a stream, then book on the same connection unless it is to be closed."""
    await asyncio.sleep(BURST_S * number / CONSUMER_COUNT)
    reader, writer = await asyncio.open_connection(front.ip, front.front_port)
    try:
        if await ask(deployment, front, reader, writer, "/advise/x", 20000):
            await asyncio.sleep(next_after_s + NEXT_SPREAD_S * number / CONSUMER_COUNT)
            await ask(deployment, front, reader, writer, "/book/x", BOOKING_DEADLINE_MS)
    finally:
        writer.close()


async def ask(
    deployment: Deployment,
    front: Front,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    deadline_ms: int,
) -> bool:
    """Send a request and read its answer; return whether the connection is kept."""
    sent = Sent(secrets.token_hex(8), front.name, path, time.monotonic())
    deployment.sent.append(sent)
    message = None
    try:
        writer.write(request_bytes(sent, "POST", deadline_ms, {}))
        message = await read_message(reader)
    except OSError:
        pass
    sent.answered_s = time.monotonic()
    if message is None:
        sent.status = "closed without a whole answer"
        return False
    sent.status, sent.headers = message.start[1], message.headers
    return message.headers.get("connection", "").lower() != "close"


async def play(deployment: Deployment) -> tuple[int, str]:
    """Play the case and judge it."""
    await deployment.start_store(
        [
            route("bookings", "/book/", "unsafe"),
            route(
                "advice",
                "/advise/",
                "streaming",
                Service="wuno96b",
                TimeoutMs=20000,
                TargetLatencyMs=1500,
                GapTargetMs=1000,
                MaxAttempts=3,
                Resumable=True,
            ),
        ]
    )
    for number in range(3):
        server = await deployment.add_server(f"i-{number}", "manzala", "huvo11a")
        server.work_s = BOOKING_S
    engine = await deployment.add_server("i-engine", "manzala", "wuno96b", kind=Engine)
    for _ in range(FRONT_COUNT):
        await deployment.add_front("manzala", ["manzala"])
    for front in deployment.fronts:
        await front.wait_ready()
    await asyncio.sleep(3.0)
    engine.event_interval_s = EVENT_INTERVAL_S
    for number, front in enumerate(deployment.fronts):
        next_after_s = NEXT_AFTER_S[number % len(NEXT_AFTER_S)]
        await stop_one(deployment, front, engine, next_after_s)
    return judge(deployment)


async def stop_one(
    deployment: Deployment, front: Front, engine: Engine, next_after_s: float
) -> None:
    """Let consumers ask one front for streams, and stop it meanwhile."""
    engine.batch_end_s = time.monotonic() + STREAM_S
    consumers = [
        asyncio.create_task(consume(deployment, front, number, next_after_s))
        for number in range(CONSUMER_COUNT)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    if TROUBLE:
        front.signal(signal.SIGTERM)
        deployment.note(f"{front.name} gets SIGTERM")
        await front.wait()
        deployment.note(f"{front.name} has ended")
    await asyncio.gather(*consumers)


def judge(deployment: Deployment) -> tuple[int, str]:
    """Return whether requests that were passed on got no whole answer."""
    runs = {run.request_id: run for run in deployment.runs}
    lost = [
        sent
        for sent in deployment.sent
        if sent.status.startswith("closed") and sent.request_id in runs
    ]
    bookings = [sent for sent in deployment.sent if sent.path.startswith("/book")]
    served = sum(sent.status == "200" for sent in deployment.sent)
    verdict = (
        f"{len(lost)} of {len(bookings)} bookings were passed on to a server and ended "
        f"without an answer; {served} of {len(deployment.sent)} requests answered with "
        "200"
    )
    return (1 if lost else 0), verdict


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
