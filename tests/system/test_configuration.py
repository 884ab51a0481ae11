"""Tests with separate processes: configuration changes while components fail."""

import asyncio

from examples.local_deployment import LocalDeployment
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from sesameknot.transport.platform_client import PlatformClient
from tests.system.scenario import (
    LIMIT_S,
    ask,
    executions,
    expected_tokens,
    run,
    start,
    tokens,
)

WITHDRAWN = "withdrawals/feed.advisor-small.v1"


async def version_at(deployment: LocalDeployment, index: int, key: str) -> int:
    """Return the version of an object on one router; 0 if absent."""
    url = f"{deployment.routers[index].url}/operator/status"
    return (await deployment.json(url))["versions"].get(key, 0)


async def until_held(deployment: LocalDeployment, index: int, key: str) -> None:
    """Wait until one router has an object."""
    async with asyncio.timeout(LIMIT_S):
        while not await version_at(deployment, index, key):
            await asyncio.sleep(0.05)


class WithdrawalTest(TestCase):
    @run
    async def test_a_host_that_slept_through_a_withdrawal_sends_no_work_to_it(self):
        """Guards against a resumed host that serves with its old configuration."""
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            frozen = deployment.routers[2]
            frozen.process.freeze()
            queued = [
                asyncio.create_task(ask(deployment, frozen, f"queued {number}"))
                for number in range(8)
            ]
            await deployment.ctl(
                "--wait_s=0", "withdraw", "feed", "advisor-small", "v1", check=False
            )
            for index in (0, 1):
                await until_held(deployment, index, WITHDRAWN)
            await asyncio.sleep(4.0)  # beyond the stale limit of 3 s
            before = len(await executions(deployment))
            frozen.process.wake()
            responses = await asyncio.gather(*queued)
            for response in responses:
                used = response.headers.get("X-Version", "")
                self.assertThat(used == "v1", Equals(False), response.headers)
            late = (await executions(deployment))[before:]
            self.assertThat([e for e in late if e["version"] == "v1"], Equals([]))

    @run
    async def test_a_woken_host_that_hears_of_nothing_refuses(self):
        """Guards against a resumed host that treats its old configuration as fresh.

        Its sockets hold no message about the withdrawal: its peers are killed before
        the change, and the platform is down when it resumes.
        """
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            *peers, frozen = deployment.routers
            frozen.process.freeze()
            for router in peers:
                router.process.kill()
            await asyncio.sleep(2.0)  # the watch that was waiting has ended
            platform = PlatformClient(deployment.platform_url)
            await platform.put(
                WITHDRAWN, {"withdrawn": True}, expected_version=0, write_id="w"
            )
            platform.close()
            await deployment.switch(
                deployment.platform_url, "outage", {"mode": "refuse"}
            )
            await asyncio.sleep(1.5)  # beyond the stale limit of 3 s
            before = await executions(deployment)
            frozen.process.wake()
            for number in range(5):
                response = await ask(deployment, frozen, f"woken {number}")
                self.assertThat(response.code, Equals(503), response.body)
                self.assertThat(response.headers["X-Outcome"], Equals("not-run"))
            self.assertThat(await executions(deployment), HasLength(len(before)))

    @run
    async def test_a_withdrawal_right_before_an_outage_is_in_force(self):
        """Guards against a change that waits until the platform recovers.

        The platform fails as soon as the command has its answer.
        """
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            output = await deployment.ctl("withdraw", "feed", "advisor-small", "v1")
            await deployment.switch(
                deployment.platform_url, "outage", {"mode": "refuse"}
            )
            self.assertThat(output, Contains("in force on 3 of 3 hosts"))
            await asyncio.sleep(4.0)  # all configuration ages exceed the stale limit
            for router in deployment.routers:
                response = await ask(deployment, router, "after")
                self.assertThat(response.code, Equals(200), response.body)
                self.assertThat(response.headers["X-Version"], Equals("v2"))

    @run
    async def test_old_data_from_the_platform_never_reverts_a_withdrawal(self):
        """Guards against a lagging replica of the platform that restores v1."""
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            # The old data contain an earlier version of the changed object.
            await deployment.ctl("withdraw", "feed", "advisor-small", "v1")
            await deployment.ctl("restore", "feed", "advisor-small", "v1")
            await deployment.switch(deployment.platform_url, "old_data", {"on": True})
            output = await deployment.ctl("withdraw", "feed", "advisor-small", "v1")
            # No watch reports the change; the command's own push puts it in force.
            self.assertThat(output, Contains("in force on 3 of 3 hosts"))
            held = [await version_at(deployment, i, WITHDRAWN) for i in range(3)]
            await deployment.switch(deployment.platform_url, "old_data", {"on": False})
            await deployment.until_ready()
            after = [await version_at(deployment, i, WITHDRAWN) for i in range(3)]
            self.assertThat(after, Equals(held))
            response = await ask(deployment, deployment.routers[0], "after")
            self.assertThat(response.headers["X-Version"], Equals("v2"))


class DomainTest(TestCase):
    @run
    async def test_a_domain_out_gets_no_new_work_and_loses_no_request(self):
        """Guards against queued requests that are sent to an evacuated domain."""
        async with LocalDeployment(
            router_count=3, endpoint_flags=["--token_s=0.01"]
        ) as deployment:
            await start(deployment)
            loads = [
                asyncio.create_task(
                    ask(deployment, deployment.routers[n % 3], f"domain {n}")
                )
                for n in range(120)
            ]
            await asyncio.sleep(0.2)
            output = await deployment.ctl("domain", "out", "burullus")
            self.assertThat(output, Contains("in force on 3 of 3 hosts"))
            url = deployment.endpoint_urls["knot-advisor-2"]
            in_force_s = (await deployment.json(f"{url}/standin/record"))["now_s"]
            later = [
                asyncio.create_task(
                    ask(deployment, deployment.routers[n % 3], f"later {n}")
                )
                for n in range(60)
            ]
            responses = await asyncio.gather(*loads, *later)
            refused = [r.body for r in responses if r.code != 200]
            self.assertThat(refused, Equals([]))
            record = await deployment.json(f"{url}/standin/record")
            new = [e for e in record["executions"] if e["start_s"] > in_force_s]
            self.assertThat(new, Equals([]))
            self.assertThat(len(record["executions"]), GreaterThan(0))

    @run
    async def test_a_leaving_endpoint_gets_no_new_work_within_seconds(self):
        """Guards against requests to an endpoint that announced its shutdown."""
        async with LocalDeployment(router_count=3) as deployment:
            await start(deployment)
            url = deployment.endpoint_urls["knot-advisor-1"]
            await deployment.switch(url, "leaving", {"leaving": True})
            for router in deployment.routers:
                await ask(deployment, router, "at once")
            await asyncio.sleep(3.0)  # the required limit
            arrived = (await deployment.json(f"{url}/standin/record"))["arrived_count"]
            for number in range(40):
                router = deployment.routers[number % 3]
                response = await ask(deployment, router, f"leave {number}")
                self.assertThat(response.code, Equals(200), response.body)
            record = await deployment.json(f"{url}/standin/record")
            self.assertThat(record["arrived_count"], Equals(arrived))


class ColdStartTest(TestCase):
    @run
    async def test_nine_routers_keep_within_a_cold_endpoints_slots(self):
        """Guards against overload of a cold endpoint by one request per router."""
        async with LocalDeployment(
            router_count=9, endpoint_flags=["--cold_s=8", "--token_s=0.02"]
        ) as deployment:
            await start(deployment)
            responses = await asyncio.gather(
                *(
                    ask(deployment, deployment.routers[n % 9], f"cold {n}")
                    for n in range(54)
                )
            )
            for endpoint_id, url in deployment.endpoint_urls.items():
                record = await deployment.json(f"{url}/standin/record")
                self.assertThat(record["fall_count"], Equals(0), endpoint_id)
                self.assertThat(record["largest_cold_count"], LessThan(5))
            answered = [r for r in responses if r is not None and r.code == 200]
            self.assertThat(answered, HasLength(54))


class ReplacementTest(TestCase):
    @run
    async def test_replacing_all_routers_cuts_no_request(self):
        """Guards against a graceful stop that aborts requests.

        A stream takes about twice the time in which a stopping router accepts requests.
        """
        async with LocalDeployment(
            router_count=4, endpoint_flags=["--token_s=0.15"]
        ) as deployment:
            await start(deployment)
            ready_routers = list(deployment.routers)
            failures = []
            stopped = asyncio.Event()

            async def load(worker: int) -> None:
                number = 0
                while not stopped.is_set():
                    router = ready_routers[(worker + number) % len(ready_routers)]
                    response = await ask(
                        deployment, router, f"replace {worker}.{number}"
                    )
                    if response is None or response.code != 200:
                        body = None if response is None else response.body
                        failures.append((router.host_id, body))
                    number += 1

            workers = [asyncio.create_task(load(worker)) for worker in range(6)]
            for router in deployment.routers:
                # As the load balancer does when readiness fails.
                ready_routers.remove(router)
                code = await asyncio.to_thread(router.process.stop)
                self.assertThat(code, Equals(0))
                router.process.start()
                await deployment.until_answers(f"{router.url}/readyz")
                ready_routers.append(router)
            stopped.set()
            await asyncio.gather(*workers)
            self.assertThat(failures, Equals([]))

    @run
    async def test_a_stop_waits_for_a_long_stream(self):
        """Guards against a stop that aborts a stream longer than its other phases."""
        async with LocalDeployment(
            router_count=3, endpoint_flags=["--token_s=0.1"]
        ) as deployment:
            await start(deployment)
            router = deployment.routers[0]
            asked = asyncio.create_task(
                ask(deployment, router, "long", token_count=120)
            )
            await asyncio.sleep(0.5)
            code = await asyncio.to_thread(router.process.stop)
            response = await asked
            self.assertThat(code, Equals(0))
            self.assertThat(response is not None, Equals(True))
            self.assertThat(
                tokens(response), Equals(expected_tokens(response, count=120))
            )

    @run
    async def test_a_new_host_serves_while_the_platform_is_down(self):
        """Guards against a host without stored state that waits for the platform."""
        async with LocalDeployment(router_count=4) as deployment:
            new_host = deployment.routers[3]
            await start(deployment)
            new_host.process.kill()
            await deployment.switch(
                deployment.platform_url, "outage", {"mode": "refuse"}
            )
            new_host.process.start()
            await deployment.until_answers(f"{new_host.url}/readyz")
            response = await ask(deployment, new_host, "first")
            self.assertThat(response.code, Equals(200), response.body)
