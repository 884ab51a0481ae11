"""Answers of endpoints that are not valid HTTP, or not complete.

They come beside the faults, from a random generator of their own, so that the faults of
a seed stay the same.
"""

import asyncio
import random
from typing import TYPE_CHECKING

from soak._caller import CallerConnection
from soak._checks import MODEL_SERVICE

if TYPE_CHECKING:
    from sesameknot.platform.standin import FleetEndpoint
    from soak._scenario import Scenario

GAP_LIMIT_S = 1.5
ODD_STATUS_LIMIT_S = 0.5
ODD_STATUSES = ("000", "099", "101", "600", "999", "1000", "abc")
# The proxy before the endpoint takes the first at once; the second outlasts the answer.
UPLOAD_SIZES_BYTES = (100_000, 8_000_000)
STREAM_KINDS = ("stream", "stream")
PLAIN_KINDS = ("unsafe", "safe")


async def send_invalid_answers(scenario: "Scenario", seed: int) -> None:
    """Let endpoints send odd statuses and cut answers to uploads until cancelled."""
    generator = random.Random(f"invalid answers {seed}")
    while True:
        await asyncio.sleep(generator.uniform(0.2, GAP_LIMIT_S))
        service = generator.choice([MODEL_SERVICE, "dispatch"])
        standins = [
            endpoint.standin
            for endpoint in scenario.endpoints
            if endpoint.service == service
        ]
        # One of them stays sound, so that requests which may be repeated are answered.
        faulty = generator.sample(standins, max(0, len(standins) - 1))
        if generator.random() < 0.5:
            await _answer_oddly(faulty, generator)
        else:
            kinds = STREAM_KINDS if service == MODEL_SERVICE else PLAIN_KINDS
            await _cut_uploads(scenario, faulty, kinds, generator)


async def _answer_oddly(
    standins: list["FleetEndpoint"], generator: random.Random
) -> None:
    """Let endpoints answer all their requests with an odd status for a while."""
    for standin in standins:
        standin.odd_status = generator.choice(ODD_STATUSES)
    await asyncio.sleep(generator.uniform(0.1, ODD_STATUS_LIMIT_S))
    for standin in standins:
        standin.odd_status = ""


async def _cut_uploads(
    scenario: "Scenario",
    standins: list["FleetEndpoint"],
    kinds: tuple[str, ...],
    generator: random.Random,
) -> None:
    """Send uploads while endpoints cut their answers to them."""
    size_bytes = generator.choice(UPLOAD_SIZES_BYTES)
    for standin in standins:
        standin.cut_uploads_from_bytes = min(UPLOAD_SIZES_BYTES)
        # An orderly close after the whole request is the regular end of an answer.
        standin.half_closes = size_bytes == max(UPLOAD_SIZES_BYTES)
    front = generator.choice(scenario.fronts)
    connections = [CallerConnection(front.caller_address) for _ in kinds]
    await asyncio.gather(
        *(
            scenario.send_request(front, connection, kind, size_bytes=size_bytes)
            for connection, kind in zip(connections, kinds, strict=True)
        )
    )
    for connection in connections:
        connection.close()
    for standin in standins:
        standin.cut_uploads_from_bytes = None
