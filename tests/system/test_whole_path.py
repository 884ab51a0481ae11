"""Tests with separate processes: callers' answers while components fail."""

import asyncio
import json
from collections import Counter

from examples.local_deployment import LocalDeployment, RouterPlace
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from tests.support import eventually
from tests.system.scenario import (
    LIMIT_S,
    ask,
    book,
    executions,
    expected_tokens,
    run,
    start,
    tokens,
    until_billed,
)


class BookingTest(TestCase):
    @run
    async def test_bookings_run_at_most_once_when_a_router_is_killed(self):
        """Guards against a repeated booking when callers retry through another router.

        The router with the first requests is killed while endpoints delay their
        answers, so that its claims are open; each key is sent again to another router.
        """
        async with LocalDeployment(router_count=4) as deployment:
            await start(deployment)
            for endpoint_id in ("barge-dispatch-1", "barge-dispatch-2"):
                await deployment.switch(
                    deployment.endpoint_urls[endpoint_id],
                    "delay",
                    {"count": 10, "before_s": 0.0, "after_s": 0.5},
                )
            killed, *others = deployment.routers
            keys = [f"kill-{number}" for number in range(16)]
            first = [asyncio.create_task(book(deployment, killed, key)) for key in keys]
            await eventually(lambda: any(task.done() for task in first))
            killed.process.kill()
            await asyncio.gather(*first)
            second = await asyncio.gather(
                *(
                    book(deployment, others[number % len(others)], key)
                    for number, key in enumerate(keys)
                )
            )
            runs = Counter(entry["key"] for entry in await executions(deployment))
            self.assertThat([key for key in keys if runs[key] > 1], Equals([]))
            for key, response in zip(keys, second, strict=True):
                outcome = response.headers.get("X-Outcome", "")
                if response.code == 200:
                    self.assertThat(runs[key], Equals(1), key)
                elif outcome == "not-run":
                    self.assertThat(runs[key], Equals(0), key)
                else:
                    self.assertThat(outcome, Equals("unknown"), key)

    @run
    async def test_a_router_that_was_frozen_does_not_run_a_booking_again(self):
        """Guards against a resumed router that runs requests others answered."""
        async with LocalDeployment(router_count=4) as deployment:
            await start(deployment)
            paused, *others = deployment.routers
            keys = [f"freeze-{number}" for number in range(12)]
            first = [asyncio.create_task(book(deployment, paused, key)) for key in keys]
            await asyncio.sleep(0)
            paused.process.freeze()
            second = await asyncio.gather(
                *(
                    book(deployment, others[number % 3], key)
                    for number, key in enumerate(keys)
                )
            )
            paused.process.wake()
            await asyncio.gather(*first)
            runs = Counter(entry["key"] for entry in await executions(deployment))
            self.assertThat([key for key in keys if runs[key] > 1], Equals([]))
            answered = [r for r in second if r is not None and r.code == 200]
            self.assertThat(len(answered), GreaterThan(0))

    @run
    async def test_a_lost_answer_is_unknown_and_never_repeated(self):
        """Guards against reporting a booking as not run after its answer was lost."""
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            for endpoint_id in ("barge-dispatch-1", "barge-dispatch-2"):
                await deployment.switch(
                    deployment.endpoint_urls[endpoint_id], "drop-answer", {"count": 1}
                )
            first = await book(deployment, deployment.routers[0], "lost")
            again = await book(deployment, deployment.routers[1], "lost")
            runs = [e for e in await executions(deployment) if e["key"] == "lost"]
            self.assertThat(runs, HasLength(1))
            for response in (first, again):
                self.assertThat(response.headers["X-Outcome"], Equals("unknown"))
            bills = await until_billed(deployment, 1)
            self.assertThat([bill.outcome for bill in bills], Equals(["unknown"]))


class BillTest(TestCase):
    @run
    async def test_each_answer_has_one_bill_after_kills_and_an_outage(self):
        """Guards against bills that are lost with their host or written twice.

        One router is killed with bills in memory while the platform is down.
        """
        async with LocalDeployment(router_count=4) as deployment:
            await start(deployment)
            await deployment.switch(
                deployment.platform_url, "outage", {"mode": "refuse"}
            )
            answers = await asyncio.gather(
                *(
                    ask(deployment, deployment.routers[number % 4], f"bill {number}")
                    for number in range(24)
                )
            )
            answered_ids = {r.headers["X-Request-Id"] for r in answers if r.code == 200}
            self.assertThat(answered_ids, HasLength(24))
            deployment.routers[0].process.kill()
            await deployment.switch(deployment.platform_url, "outage", {"mode": "none"})
            bills = await until_billed(deployment, 24)
            self.assertThat({bill.request_id for bill in bills}, Equals(answered_ids))
            ids = [bill.bill_id for bill in bills]
            self.assertThat(len(set(ids)), Equals(len(ids)))


class AnswerTest(TestCase):
    @run
    async def test_a_stream_goes_on_elsewhere_when_its_endpoint_dies(self):
        """Guards against an answer that is truncated or mixes two attempts."""
        async with LocalDeployment(
            router_count=3, endpoint_flags=["--token_s=0.1"]
        ) as deployment:
            await start(deployment)
            asked = [
                asyncio.create_task(
                    ask(deployment, deployment.routers[number % 3], f"stream {number}")
                )
                for number in range(9)
            ]

            async def running_at() -> set[str]:
                # After 0.3 s a request has delivered part of its answer.
                found = set()
                for endpoint_id, url in deployment.endpoint_urls.items():
                    record = await deployment.json(f"{url}/standin/record")
                    for entry in record["executions"]:
                        age_s = record["now_s"] - entry["start_s"]
                        if entry["outcome"] == "running" and age_s > 0.3:
                            found.add(endpoint_id)
                return found

            async with asyncio.timeout(LIMIT_S):
                while not (busy := await running_at()):
                    await asyncio.sleep(0.02)
            killed = sorted(busy)[0]
            deployment.endpoints[killed].kill()
            deployment.endpoint_urls.pop(killed)
            for response in await asyncio.gather(*asked):
                self.assertThat(response.code, Equals(200), response.body)
                self.assertThat(tokens(response), Equals(expected_tokens(response)))

    @run
    async def test_a_silent_connection_is_left_and_the_stream_goes_on(self):
        """Guards against waiting on a connection that stopped sending data."""
        async with LocalDeployment(
            router_count=3, endpoint_flags=["--token_s=0.05"]
        ) as deployment:
            await start(deployment)
            asked = [
                asyncio.create_task(
                    ask(deployment, deployment.routers[n % 3], f"silent {n}")
                )
                for n in range(9)
            ]
            await asyncio.sleep(0.3)
            for endpoint_id in ("knot-advisor-1", "knot-advisor-2"):
                url = deployment.endpoint_urls[endpoint_id]
                await deployment.switch(url, "silent", {})
            for response in await asyncio.gather(*asked):
                self.assertThat(response.code, Equals(200), response.body)
                self.assertThat(tokens(response), Equals(expected_tokens(response)))

    @run
    async def test_a_resent_request_gets_the_same_answer_and_one_bill(self):
        """Guards against a second bill for a request that its caller retried."""
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            responses = await asyncio.gather(
                *(
                    ask(
                        deployment,
                        deployment.routers[n % 3],
                        f"resent {n // 3}",
                        Idempotency_Key=f"resent-{n // 3}",
                    )
                    for n in range(18)
                )
            )
            for first in range(0, 18, 3):
                bodies = {r.body for r in responses[first : first + 3]}
                self.assertThat(bodies, HasLength(1))
            bills = await until_billed(deployment, 6)
            self.assertThat(bills, HasLength(6))


class SessionTest(TestCase):
    @run
    async def test_sessions_keep_their_version_through_a_rollout_and_a_kill(self):
        """Guards against a session that changes version when its pin's owner fails."""
        async with LocalDeployment(
            router_count=4, with_controllers=True, with_ratings=True
        ) as deployment:
            await start(deployment)
            used: dict[str, set[str]] = {}

            async def use(sessions: list[str], routers: list[RouterPlace]) -> None:
                for number, session in enumerate(sessions):
                    router = routers[number % len(routers)]
                    response = await ask(
                        deployment, router, f"{session} {number}", X_Session_Id=session
                    )
                    self.assertThat(response.code, Equals(200), response.body)
                    used.setdefault(session, set()).add(response.headers["X-Version"])

            def versions() -> set[str]:
                return {version for seen in used.values() for version in seen}

            await use([f"early-{n}" for n in range(20)], deployment.routers)
            await deployment.ctl("rollout", "start", "feed", "advisor-small-v2")
            async with asyncio.timeout(LIMIT_S):
                while "v2" not in versions():
                    start_count = len(used)
                    new = [f"new-{start_count + n}" for n in range(10)]
                    await use(new, deployment.routers)
            deployment.routers[0].process.kill()
            for _ in range(2):
                await use(list(used), deployment.routers[1:])
            changed = {name: seen for name, seen in used.items() if len(seen) > 1}
            self.assertThat(changed, Equals({}))


class BadInputTest(TestCase):
    @run
    async def test_bad_requests_get_one_clear_error_and_are_counted(self):
        """Guards against invalid requests that run or cause an internal error."""
        async with LocalDeployment(router_count=1) as deployment:
            await start(deployment)
            router = deployment.routers[0]
            url = f"{router.url}/v1/chat/completions"
            authorised = {"Authorization": "Bearer barge-1-token"}
            cases = [
                ({}, b"{}", 401, "unauthorised"),
                ({"Authorization": "Bearer nobody"}, b"{}", 400, "bad-request"),
                (authorised, b"{", 400, "bad-request"),
                (authorised, b'{"model": 7}', 400, "bad-request"),
                (authorised | {"X-Priority": "high"}, b"{}", 400, "bad-header"),
                (authorised, b"x" * 5_000_000, 413, "body-too-large"),
                (authorised, _body("no-such-model"), 403, "not-allowed"),
            ]
            for headers, body, status, kind in cases:
                response = await deployment.fetch(
                    url, method="POST", body=body, headers=headers
                )
                self.assertThat(response.code, Equals(status), response.body)
                self.assertThat(response.headers["X-Outcome"], Equals("not-run"))
                error = json.loads(response.body)["error"]
                self.assertThat(error["type"], Equals(kind))
            response = await ask(deployment, router, "after")
            self.assertThat(response.code, Equals(200), response.body)
            metrics = (await deployment.fetch(f"{router.url}/metrics")).body.decode()
            self.assertThat(metrics, Contains('sesameknot_requests_total{kind="chat"'))
            self.assertThat(await executions(deployment), HasLength(1))


def _body(model: str) -> bytes:
    message = {"role": "user", "content": "x"}
    return json.dumps({"model": model, "messages": [message]}).encode()


class CrashTest(TestCase):
    @run
    async def test_a_request_that_crashes_endpoints_is_refused(self):
        """Guards against a retried request that crashes endpoint after endpoint."""
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            for endpoint_id, url in deployment.endpoint_urls.items():
                if endpoint_id.startswith("knot-advisor"):
                    await deployment.switch(url, "crash-text", {"text": "poison"})
            first = await ask(deployment, deployment.routers[0], "poison")
            self.assertThat(first.code, Equals(422))

            async def refused_at(router: RouterPlace) -> bool:
                response = await ask(deployment, router, "poison")
                return response.headers.get("X-Outcome") == "not-run"

            async with asyncio.timeout(LIMIT_S):
                for router in deployment.routers:
                    while not await refused_at(router):
                        await asyncio.sleep(0.1)
            crash_count = 0
            for endpoint_id, url in deployment.endpoint_urls.items():
                if endpoint_id.startswith("knot-advisor"):
                    record = await deployment.json(f"{url}/standin/record")
                    crash_count += record["fall_count"]
            before = crash_count
            again = await ask(deployment, deployment.routers[1], "poison")
            self.assertThat(again.code, Equals(422))
            self.assertThat(before, Equals(2))


class OverloadTest(TestCase):
    @run
    async def test_refusals_under_overload_are_true(self):
        """Guards against a request that is refused as not run but runs.

        The load is about six times what the endpoints finish within the deadline.
        """
        async with LocalDeployment(
            router_count=3, endpoint_flags=["--token_s=0.1"]
        ) as deployment:
            await start(deployment)
            responses = await asyncio.gather(
                *(
                    ask(
                        deployment,
                        deployment.routers[n % 3],
                        f"overload {n}",
                        X_Deadline_Ms="3000",
                    )
                    for n in range(300)
                )
            )
            outcomes = Counter(
                "answered" if r.code == 200 else r.headers["X-Outcome"]
                for r in responses
                if r is not None
            )
            runs = {entry["request_id"] for entry in await executions(deployment)}
            self.assertThat(outcomes["not-run"], GreaterThan(0))
            self.assertThat(outcomes["answered"], GreaterThan(0))
            self.assertThat(len(runs), Equals(300 - outcomes["not-run"]))
