"""Run a whole deployment on loopback and check that everything adds up."""

import asyncio
import json
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from examples.local_deployment import LocalDeployment, RouterPlace
from sesameknot.coordination.ledger import read_ledger
from sesameknot.transport.platform_client import PlatformClient

REQUEST_COUNT = 150
REQUESTS_PER_SESSION = 6
CONCURRENCY = 16
COLD_SLOT_COUNT = 2
RANDOM_STATE = 7
KINDS = ("long-review", "quick-adjustment", "short-note")
CHAT_TOKENS = ("barge-1-token", "barge-2-token", "barge-3-token", "taller-1-token")
BOOKING_TOKENS = {
    "barge-1-token": "barge-dispatch",
    "barge-2-token": "barge-dispatch",
    "taller-1-token": "libro-pedidos",
}


@dataclass(slots=True)
class Outcome:
    """What callers saw.

    Parameters
    ----------
    answered : Counter
        Whole answers by model and version, or by service.
    latencies_s : list of float
        Times to the whole answer.
    request_ids : set of str
        Requests that were answered.
    keys : set of str
        Idempotency keys of bookings.
    problems : list of str
        Everything that does not add up.
    """

    answered: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    request_ids: set[str] = field(default_factory=set)
    keys: set[str] = field(default_factory=set)
    versions_by_session: dict[str, set[str]] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)


async def send_chat(
    deployment: LocalDeployment,
    place: RouterPlace,
    generator: np.random.Generator,
    number: int,
    outcome: Outcome,
) -> None:
    """Send one chat request and note its answer."""
    token = CHAT_TOKENS[number % len(CHAT_TOKENS)]
    model = {"barge-3-token": "advisor-small", "taller-1-token": "hilo"}.get(
        token, "auto"
    )
    streamed = bool(generator.random() < 0.5)
    session = f"session-{number // REQUESTS_PER_SESSION}"
    response = await deployment.chat(
        place,
        token,
        {
            "model": model,
            "stream": streamed,
            "max_tokens": 8,
            "messages": [{"role": "user", "content": f"question {number}"}],
        },
        X_Session_Id=session,
        X_Request_Kind=KINDS[number % len(KINDS)],
    )
    if response.code != 200:
        outcome.problems.append(f"chat {number}: {response.code} {response.body!r}")
        return
    if streamed and not response.body.endswith(b"data: [DONE]\n\n"):
        outcome.problems.append(f"chat {number}: stream is not whole")
    name = f"{response.headers['X-Model']}/{response.headers['X-Version']}"
    outcome.answered[name] += 1
    outcome.latencies_s.append(response.request_time or 0.0)
    outcome.request_ids.add(response.headers["X-Request-Id"])
    pins = outcome.versions_by_session.setdefault(
        f"{token}/{session}/{response.headers['X-Model']}", set()
    )
    pins.add(response.headers["X-Version"])


async def send_booking(
    deployment: LocalDeployment,
    generator: np.random.Generator,
    number: int,
    outcome: Outcome,
) -> None:
    """Book once through two routers at a time with the same idempotency key."""
    tokens = sorted(BOOKING_TOKENS)
    token = tokens[number % len(tokens)]
    key = f"booking-{number}"
    outcome.keys.add(key)
    places = generator.choice(len(deployment.routers), size=2, replace=False)
    responses = await asyncio.gather(
        *(
            deployment.fetch(
                f"{deployment.routers[index].url}/services/"
                f"{BOOKING_TOKENS[token]}/bookings",
                method="POST",
                body=json.dumps({"tonnes": number}).encode(),
                headers={
                    "Authorization": f"Bearer {token}",
                    "Content-Type": "application/json",
                    "Idempotency-Key": key,
                },
            )
            for index in places
        )
    )
    bodies = {response.body for response in responses}
    if any(response.code != 200 for response in responses) or len(bodies) != 1:
        outcome.problems.append(
            f"booking {number}: {[(r.code, r.body) for r in responses]}"
        )
        return
    outcome.answered[BOOKING_TOKENS[token]] += 1
    outcome.latencies_s.extend(r.request_time or 0.0 for r in responses)
    outcome.request_ids.update(r.headers["X-Request-Id"] for r in responses)


async def drive(deployment: LocalDeployment, count: int, start: int) -> Outcome:
    """Send a mix of requests through all routers."""
    generator = np.random.default_rng(RANDOM_STATE + start)
    outcome = Outcome()
    permits = asyncio.Semaphore(CONCURRENCY)

    async def one(number: int) -> None:
        place = deployment.routers[int(generator.integers(len(deployment.routers)))]
        async with permits:
            if number % 5 == 0:
                await send_booking(deployment, generator, number, outcome)
            else:
                await send_chat(deployment, place, generator, number, outcome)

    await asyncio.gather(*(one(number) for number in range(start, start + count)))
    return outcome


async def read_records(deployment: LocalDeployment) -> dict[str, dict[str, Any]]:
    """Return what each endpoint executed."""
    return {
        endpoint_id: await deployment.json(f"{url}/standin/record")
        for endpoint_id, url in deployment.endpoint_urls.items()
    }


def check_executions(
    records: dict[str, dict[str, Any]], outcome: Outcome
) -> dict[str, int]:
    """Compare answers with executions; return executions per idempotency key."""
    executed: Counter[str] = Counter()
    whole: set[str] = set()
    for endpoint_id, record in records.items():
        for execution in record["executions"]:
            if execution["key"]:
                executed[execution["key"]] += 1
            if execution["sent_whole"]:
                whole.add(execution["request_id"])
        limit = COLD_SLOT_COUNT
        if record["largest_cold_count"] > limit:
            outcome.problems.append(f"{endpoint_id}: more than {limit} while cold")
    for key in outcome.keys:
        if executed[key] != 1:
            outcome.problems.append(f"{key}: executed {executed[key]} times")
    missing = outcome.request_ids - whole
    if missing:
        outcome.problems.append(f"answered but not executed: {sorted(missing)[:3]}")
    return dict(executed)


async def until_billed(deployment: LocalDeployment, outcome: Outcome) -> None:
    """Wait until each answered request has its bill, then compare the counts."""
    platform = PlatformClient(deployment.platform_url)
    expected = sum(outcome.answered.values())
    report = await read_ledger(platform)
    for _ in range(100):
        if len(report.bills) >= expected:
            break
        await asyncio.sleep(0.2)
        report = await read_ledger(platform)
    platform.close()
    if len(report.bills) != expected:
        outcome.problems.append(f"{len(report.bills)} bills for {expected} requests")
    print("\nbills")
    for total in report.totals:
        print(
            f"  {total.customer:12} {total.bill_count:5d} requests "
            f"{total.cost_microunits:8d} micro-units"
        )


def merge(first: Outcome, second: Outcome) -> Outcome:
    """Return both outcomes together."""
    for session, versions in second.versions_by_session.items():
        first.versions_by_session.setdefault(session, set()).update(versions)
    return Outcome(
        answered=first.answered + second.answered,
        latencies_s=first.latencies_s + second.latencies_s,
        request_ids=first.request_ids | second.request_ids,
        keys=first.keys | second.keys,
        versions_by_session=first.versions_by_session,
        problems=first.problems + second.problems,
    )


def print_summary(outcome: Outcome) -> None:
    """Print counts and latency percentiles."""
    print("\nanswered by")
    for name, count in sorted(outcome.answered.items()):
        print(f"  {name:20} {count:5d}")
    p50, p95, p99 = np.percentile(outcome.latencies_s, [50, 95, 99])
    print(f"\nlatency  p50 {p50:.3f} s  p95 {p95:.3f} s  p99 {p99:.3f} s")


def check_sessions(outcome: Outcome) -> None:
    """Check that each session stayed on one version."""
    for session, versions in outcome.versions_by_session.items():
        if len(versions) > 1:
            outcome.problems.append(f"{session}: versions {sorted(versions)}")


async def take_domain_out(deployment: LocalDeployment) -> Outcome:
    """Take a failure domain out under load and check that it gets nothing new."""
    print(await deployment.ctl("domain", "out", "burullus"), end="")
    before = await read_records(deployment)
    outcome = await drive(deployment, REQUEST_COUNT // 3, 2 * REQUEST_COUNT)
    after = await read_records(deployment)
    name = "knot-advisor-2"
    if len(after[name]["executions"]) != len(before[name]["executions"]):
        outcome.problems.append(f"{name}: new work while its domain is out")
    print(await deployment.ctl("domain", "in", "burullus"), end="")
    return outcome


async def roll_out(deployment: LocalDeployment) -> Outcome:
    """Roll a version out under load, then withdraw the version before it."""
    print(await deployment.ctl("rollout", "start", "feed", "advisor-small-v2"), end="")
    outcome = Outcome()
    start = 3 * REQUEST_COUNT
    while "complete" not in await deployment.ctl("rollout", "status"):
        outcome = merge(outcome, await drive(deployment, 40, start))
        start += 40
        if start > 20 * REQUEST_COUNT:
            outcome.problems.append("the roll-out did not complete")
            break
    print(await deployment.ctl("rollout", "status"), end="")
    check_sessions(outcome)
    print(await deployment.ctl("withdraw", "feed", "advisor-small", "v1"), end="")
    after = await drive(deployment, REQUEST_COUNT // 3, start)
    if after.answered["advisor-small/v1"]:
        outcome.problems.append("advisor-small/v1: new work after its withdrawal")
    return merge(outcome, after)


async def stop_routers(deployment: LocalDeployment, outcome: Outcome) -> None:
    """Stop the routers gracefully while requests go on."""
    first = deployment.routers.pop()
    load = asyncio.create_task(drive(deployment, 30, 30 * REQUEST_COUNT))
    codes = [await asyncio.to_thread(first.process.stop)]
    during = await load
    outcome.problems.extend(during.problems)
    for place in deployment.routers:
        codes.append(await asyncio.to_thread(place.process.stop))
    if any(codes):
        outcome.problems.append(f"router exit codes {codes}")


async def main() -> int:
    """Run the demo and return its exit code."""
    async with LocalDeployment(
        router_count=3, with_controllers=True, with_ratings=True
    ) as deployment:
        print(await deployment.ctl("apply", str(deployment.write_tree())), end="")
        await deployment.until_ready()
        outcome = await drive(deployment, REQUEST_COUNT, 0)
        outcome = merge(outcome, await take_domain_out(deployment))
        check_sessions(outcome)
        outcome = merge(outcome, await roll_out(deployment))
        print_summary(outcome)
        check_executions(await read_records(deployment), outcome)
        await until_billed(deployment, outcome)
        await stop_routers(deployment, outcome)
    for problem in outcome.problems:
        print(f"PROBLEM {problem}")
    print("\neverything adds up" if not outcome.problems else "\nit does not add up")
    return 1 if outcome.problems else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
