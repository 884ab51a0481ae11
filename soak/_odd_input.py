"""Wrong input of other writers and callers, which must harm nothing else.

It comes beside the faults, from a random generator of its own, so that the faults of a
seed stay the same.
"""

import asyncio
import random
from typing import TYPE_CHECKING

from soak._caller import CallerConnection

if TYPE_CHECKING:
    from soak._scenario import Scenario

GAP_LIMIT_S = 3.0
ENTRY_LIFE_S = 2.0
ANSWER_LIMIT_S = 3.0
UNSUITED_STATUS = 421
DEPTH = 150_000
# What json.dumps can't write; the store keeps it as another writer sent it.
ENTRY_TEXTS = (
    "[" * DEPTH + "]" * DEPTH,
    "[1," * DEPTH + "1" + "]" * DEPTH,
    '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "[" + "[]," * DEPTH + "9" * 5000 + "]",
)


async def send_odd_input(scenario: "Scenario", seed: int) -> None:
    """Write odd entries and name unknown models until cancelled."""
    generator = random.Random(seed)
    while True:
        await asyncio.sleep(generator.uniform(0.5, GAP_LIMIT_S))
        if generator.random() < 0.5:
            text = generator.choice(ENTRY_TEXTS)
            scenario.store.put_text("servers", "odd", text)
            await asyncio.sleep(generator.uniform(0.0, ENTRY_LIFE_S))
            scenario.store.remove("servers", "odd")
        else:
            await _name_unknown_model(scenario)


async def _name_unknown_model(scenario: "Scenario") -> None:
    """Ask each host for a model that its route lacks."""
    for front in scenario.fronts:
        undisturbed_before = scenario.is_undisturbed(front)
        connection = CallerConnection(front.caller_address)
        headers = {
            "Host": "soak.example",
            "X-Request-Id": f"odd-{front.host_id}-{scenario.now_s():.3f}",
            "X-Deadline-Ms": "2000",
            "X-Model": "unknown",
        }
        answer = await connection.request(
            "POST", "/advice/x", headers, b"body", ANSWER_LIMIT_S
        )
        connection.close()
        calm = undisturbed_before and scenario.is_undisturbed(front)
        if calm and answer.status != UNSUITED_STATUS:
            scenario.report_violation(
                f"{front.host_id} answered {answer.status} to an unknown model, "
                f"expected {UNSUITED_STATUS}"
            )
