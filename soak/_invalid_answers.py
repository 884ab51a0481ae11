"""Answers of endpoints that are not valid HTTP, or not complete.

They come beside the faults, from a random generator of their own, so that the faults of
a seed stay the same.
"""

import asyncio
import random
from typing import TYPE_CHECKING

from soak._caller import CallerConnection

if TYPE_CHECKING:
    from soak._endpoints import ProxiedEndpoint
    from soak._scenario import Scenario

GAP_LIMIT_S = 2.0
ODD_STATUS_LIMIT_S = 0.5
ODD_STATUSES = ("000", "099", "101", "600", "999", "1000", "abc")
# The host's kernel takes the first at once; the second outlasts the answer.
UPLOAD_SIZES_BYTES = (100_000, 3_000_000)
KINDS = ("stream", "unsafe", "safe")


async def send_invalid_answers(scenario: "Scenario", seed: int) -> None:
    """Let endpoints send odd statuses and cut answers to uploads until cancelled."""
    generator = random.Random(f"invalid answers {seed}")
    while True:
        await asyncio.sleep(generator.uniform(0.2, GAP_LIMIT_S))
        endpoint = generator.choice(scenario.endpoints)
        if generator.random() < 0.5:
            await _answer_oddly(endpoint, generator)
        else:
            await _cut_uploads(scenario, endpoint, generator)


async def _answer_oddly(endpoint: "ProxiedEndpoint", generator: random.Random) -> None:
    """Let an endpoint answer all its requests with an odd status for a while."""
    endpoint.standin.odd_status = generator.choice(ODD_STATUSES)
    await asyncio.sleep(generator.uniform(0.1, ODD_STATUS_LIMIT_S))
    endpoint.standin.odd_status = ""


async def _cut_uploads(
    scenario: "Scenario", endpoint: "ProxiedEndpoint", generator: random.Random
) -> None:
    """Send uploads of each kind while an endpoint cuts its answers to them."""
    endpoint.standin.cut_uploads_from_bytes = min(UPLOAD_SIZES_BYTES)
    front = generator.choice(scenario.fronts)
    size_bytes = generator.choice(UPLOAD_SIZES_BYTES)
    connections = [CallerConnection(front.caller_address) for _ in KINDS]
    await asyncio.gather(
        *(
            scenario.send_request(front, connection, kind, size_bytes=size_bytes)
            for connection, kind in zip(connections, KINDS, strict=True)
        )
    )
    for connection in connections:
        connection.close()
    endpoint.standin.cut_uploads_from_bytes = None
