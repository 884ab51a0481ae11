"""Measure processor time of routers per request and per streamed chunk."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from examples.local_deployment import LocalDeployment, RouterPlace

REQUEST_COUNT = 300
CONCURRENCY = 12
FEW_TOKENS = 1
MANY_TOKENS = 101
IDLE_S = 10.0


def processor_s(place: RouterPlace) -> float:
    """Return the processor time of a router so far, in seconds."""
    if place.process.popen is None:
        return 0.0
    fields = Path(f"/proc/{place.process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def memory_mb(place: RouterPlace) -> float:
    """Return the resident memory of a router in megabytes."""
    if place.process.popen is None:
        return 0.0
    fields = Path(f"/proc/{place.process.popen.pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def total_s(deployment: LocalDeployment) -> float:
    """Return the processor time of all routers so far."""
    return sum(map(processor_s, deployment.routers))


async def drive(deployment: LocalDeployment, token_count: int, **headers: str) -> float:
    """Send requests and return the routers' processor time for each, in seconds."""
    permits = asyncio.Semaphore(CONCURRENCY)
    before_s = total_s(deployment)

    async def one(number: int) -> None:
        place = deployment.routers[number % len(deployment.routers)]
        names = {name: f"{value}-{number}" for name, value in headers.items()}
        async with permits:
            response = await deployment.chat(
                place,
                "barge-1-token",
                {
                    "model": "advisor-small",
                    "stream": True,
                    "max_tokens": token_count,
                    "messages": [{"role": "user", "content": f"cost {number}"}],
                },
                **names,
            )
        response.rethrow()

    await asyncio.gather(*map(one, range(REQUEST_COUNT)))
    return (total_s(deployment) - before_s) / REQUEST_COUNT


async def main() -> None:
    """Print one line per figure."""
    async with LocalDeployment(router_count=3) as deployment:
        await deployment.ctl("apply", str(deployment.write_tree()))
        await deployment.until_ready()
        await drive(deployment, FEW_TOKENS)
        before_s = total_s(deployment)
        await asyncio.sleep(IDLE_S)
        idle = (total_s(deployment) - before_s) / IDLE_S / len(deployment.routers)
        few_s = await drive(deployment, FEW_TOKENS)
        many_s = await drive(deployment, MANY_TOKENS)
        keyed_s = await drive(deployment, FEW_TOKENS, Idempotency_Key="cost")
        session_s = await drive(deployment, FEW_TOKENS, X_Session_Id="cost")
        chunk_s = (many_s - few_s) / (MANY_TOKENS - FEW_TOKENS)
        print(f"router_idle_processor {idle * 100:.2f} %core")
        print(f"router_processor_per_request {few_s * 1e3:.2f} ms")
        print(f"router_processor_per_chunk {chunk_s * 1e6:.0f} us")
        print(f"router_processor_per_key {(keyed_s - few_s) * 1e3:.2f} ms")
        print(f"router_processor_per_new_session {(session_s - few_s) * 1e3:.2f} ms")
        memory = max(map(memory_mb, deployment.routers))
        print(f"router_memory {memory:.0f} MB")


if __name__ == "__main__":
    asyncio.run(main())
