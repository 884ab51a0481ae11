"""Helpers for tests that run separate processes."""

import asyncio
import json

from examples.local_deployment import LocalDeployment, RouterPlace
from tornado.httpclient import HTTPClientError, HTTPResponse

from sesameknot.coordination.ledger import LedgerReport, read_ledger
from sesameknot.protocol.messages import BillRecord
from sesameknot.standins._answer_text import answer_tokens
from sesameknot.transport.platform_client import PlatformClient

BOOKING = "/services/barge-dispatch/bookings"
LIMIT_S = 100.0
TOKEN_COUNT = 12


def run(scenario):
    """Return a test method that runs the coroutine ``scenario``."""

    def test(self):
        asyncio.run(scenario(self))

    test.__doc__ = scenario.__doc__
    return test


async def book(
    deployment: LocalDeployment,
    router: RouterPlace,
    key: str,
    *,
    deadline_ms: int = 8000,
) -> HTTPResponse | None:
    """Send one booking; None if the connection failed."""
    try:
        return await deployment.fetch(
            f"{router.url}{BOOKING}",
            method="POST",
            body=b'{"tonnes": 1}',
            headers={
                "Authorization": "Bearer barge-1-token",
                "Content-Type": "application/json",
                "Idempotency-Key": key,
                "X-Deadline-Ms": str(deadline_ms),
            },
        )
    except (OSError, HTTPClientError):
        return None


async def ask(
    deployment: LocalDeployment,
    router: RouterPlace,
    text: str,
    *,
    token_count: int = TOKEN_COUNT,
    **headers: str,
) -> HTTPResponse | None:
    """Send one streamed chat request; None if the connection failed."""
    try:
        return await deployment.chat(
            router,
            "barge-1-token",
            {
                "model": "advisor-small",
                "stream": True,
                "max_tokens": token_count,
                "messages": [{"role": "user", "content": text}],
            },
            **headers,
        )
    except (OSError, HTTPClientError):
        return None


async def executions(deployment: LocalDeployment) -> list[dict]:
    """Return all executions of all endpoints."""
    collected = []
    for endpoint_id, url in deployment.endpoint_urls.items():
        record = await deployment.json(f"{url}/standin/record")
        for entry in record["executions"]:
            collected.append({**entry, "endpoint_id": endpoint_id})
    return collected


async def ledger(deployment: LocalDeployment) -> LedgerReport:
    """Return the ledger of the bills on the platform."""
    platform = PlatformClient(deployment.platform_url)
    try:
        return await read_ledger(platform)
    finally:
        platform.close()


async def until_billed(deployment: LocalDeployment, count: int) -> list[BillRecord]:
    """Wait until the ledger holds ``count`` bills and return them."""
    async with asyncio.timeout(LIMIT_S):
        while True:
            report = await ledger(deployment)
            if len(report.bills) >= count:
                return report.bills
            await asyncio.sleep(0.2)


async def start(deployment: LocalDeployment) -> None:
    """Apply the sample settings and wait until the roster has all routers."""
    await deployment.ctl("--wait_s=60", "apply", str(deployment.write_tree()))
    await deployment.until_ready()
    async with asyncio.timeout(LIMIT_S):
        while True:
            statuses = [
                await deployment.json(f"{router.url}/operator/status")
                for router in deployment.routers
            ]
            versions = {status["versions"].get("roster/main") for status in statuses}
            roster = await deployment.json(
                f"{deployment.platform_url}/v1/objects/roster/main"
            )
            complete = len(roster["value"]["members"]) == len(deployment.routers)
            if complete and versions == {roster["version"]}:
                return
            await asyncio.sleep(0.1)


def tokens(response: HTTPResponse) -> list[str]:
    """Return the tokens of a streamed answer."""
    collected = []
    for line in response.body.decode().split("\n\n"):
        if not line.startswith("data: {"):
            continue
        for choice in json.loads(line.removeprefix("data: "))["choices"]:
            text = choice["delta"].get("content", "")
            collected += [text] if text else []
    return collected


def expected_tokens(response: HTTPResponse, *, count: int = TOKEN_COUNT) -> list[str]:
    """Return the tokens that an engine generates for the answer's request."""
    return answer_tokens(
        response.headers["X-Request-Id"],
        response.headers["X-Model"],
        response.headers["X-Version"],
        count,
    )
