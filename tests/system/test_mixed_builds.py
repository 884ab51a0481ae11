"""Front processes of a released build beside those of this one."""

import asyncio
import signal
import subprocess
import tarfile
from dataclasses import dataclass

from soak._fronts import ROOT, FrontProcess
from testtools.matchers import Equals, GreaterThan
from tornado.httpclient import HTTPClientError
from tornado.testing import gen_test

from tests.front_world import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STREAM_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
    route,
)
from tests.support import eventually

# Even numbers, so that all hosts are in one failure domain.
HOST_NUMBERS = (0, 2, 4, 6)
ROUTE_COUNT = 2000
STOP_LIMIT_S = 20.0
EVENT_COUNT = 5


def extract_source(commit, directory):
    """Write the package of a commit into ``directory`` and return its folder."""
    archive = directory / "source.tar"
    subprocess.run(
        ["git", "archive", f"--output={archive}", commit, "src"], cwd=ROOT, check=True
    )
    with tarfile.open(archive) as packed:
        packed.extractall(directory, filter="data")
    return directory / "src"


@dataclass(slots=True)
class Outcome:
    """A caller's request; ``status`` is 0 if it got no whole answer."""

    request_id: str
    path: str
    status: int = 0


class MixedBuildsTest(FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        for number in range(2):
            self.add_endpoint(f"p{number}", PLAIN_SERVICE, event_count=0, delay_s=0.05)
            self.add_endpoint(
                f"m{number}",
                MODEL_SERVICE,
                event_count=EVENT_COUNT,
                event_gap_s=0.05,
                confidences={"small": 90, "large": 90},
            )
        self.outcomes = []
        self.calling = True

    async def start_hosts(self, commit):
        """Start half of the hosts on a released build; return them and its folder."""
        released = extract_source(commit, self.make_directory())
        directory = self.make_directory()
        hosts = [
            FrontProcess(
                number,
                self.store_address,
                directory,
                source=released if number % 4 else ROOT / "src",
            )
            for number in HOST_NUMBERS
        ]
        for host in hosts:
            self.closing(lambda h=host: self.io_loop.run_sync(h.close))
            await host.start([other.peer_address for other in hosts[:3]])
        for host in hosts:
            await self.until_ready(host)
        return hosts, released

    async def until_ready(self, host):
        """Wait until a host answers that it is ready."""
        await self.until_status(f"http://{host.ready_address}/sesameknot/readyz", 200)

    async def until_status(self, url, status, **options):
        """Wait until a request gets ``status``."""
        async with asyncio.timeout(STOP_LIMIT_S):
            while True:
                try:
                    response = await self.http.fetch(url, raise_error=False, **options)
                    if response.code == status:
                        return
                except (OSError, HTTPClientError):
                    pass
                await asyncio.sleep(0.1)

    async def keep_calling(self, host, path):
        """Send requests to a host one after the other, while it takes connections."""
        while self.calling:
            outcome = Outcome(f"m{len(self.outcomes)}", path)
            self.outcomes.append(outcome)
            try:
                response = await self.http.fetch(
                    f"http://{host.caller_address}{path}",
                    method="POST",
                    body=b"question",
                    headers={
                        "Host": HOST,
                        "X-Request-Id": outcome.request_id,
                        "X-Deadline-Ms": "3000",
                        "Authorization": f"Bearer {KEY}",
                    },
                    raise_error=False,
                )
                outcome.status = response.code
            except (OSError, HTTPClientError):
                await asyncio.sleep(0.05)

    async def restart(self, host, hosts, source):
        """Stop a host gracefully and start it on another build."""
        host.signal(signal.SIGTERM)
        self.assertThat(await host.wait(STOP_LIMIT_S), Equals(0))
        host.source = source
        await host.start([other.peer_address for other in hosts[:3]])
        await self.until_ready(host)

    def check_outcomes(self):
        """Check that what ran was answered, once, and that the rest was refused."""
        run_ids = [
            run.request_id
            for endpoint in self.endpoints.values()
            for run in endpoint.runs
            # The requests that wait for a new route have no identifier.
            if run.request_id
        ]
        self.assertThat(len(run_ids), Equals(len(set(run_ids))))
        for outcome in self.outcomes:
            answered = outcome.status == 200
            self.assertThat(outcome.request_id in run_ids, Equals(answered), outcome)
            if not answered:
                # No answer means that the host took no connection.
                self.assertTrue(outcome.status in (0, 503), outcome)
        answered = [outcome for outcome in self.outcomes if outcome.status == 200]
        self.assertThat(len(answered), GreaterThan(50))

    async def check_large_configuration(self, hosts):
        """Check that all hosts learn of a configuration of some hundred kilobytes."""
        routes = [
            route(f"r{n}", f"/added/{n}/", "safe", PLAIN_SERVICE, MaxAttempts=2)
            for n in range(ROUTE_COUNT)
        ]
        self.store.put("config", "main", configuration(7, routes=routes))
        for host in hosts:
            await self.until_status(
                f"http://{host.caller_address}/added/{ROUTE_COUNT - 1}/x",
                200,
                headers={"Host": HOST, "Authorization": f"Bearer {KEY}"},
            )

    async def check_leaving_endpoint(self):
        """Check that no host sends to an endpoint that has said it leaves."""
        entry = self.store.get("servers", "p1")["Spec"]
        self.store.put("servers", "p1", {**entry, "State": "draining"})
        count = -1

        def has_settled():
            nonlocal count
            previous, count = count, len(self.endpoints["p1"].runs)
            return previous == count

        await eventually(has_settled, limit_s=STOP_LIMIT_S, interval_s=1.0)

    async def play(self, commit):
        """Upgrade hosts one by one under load, and take it back half way."""
        hosts, released = await self.start_hosts(commit)
        callers = [
            asyncio.create_task(self.keep_calling(host, path))
            for host in hosts
            for path in (UNSAFE_PATH, STREAM_PATH)
        ]
        await self.check_large_configuration(hosts)
        await self.restart(hosts[1], hosts, ROOT / "src")
        await self.restart(hosts[0], hosts, released)
        await self.check_leaving_endpoint()
        await self.restart(hosts[1], hosts, released)
        self.calling = False
        await asyncio.gather(*callers)
        self.check_outcomes()

    @gen_test(timeout=110)
    async def test_hosts_of_build_6992407_run_beside_this_build(self):
        """Guards against requests that are cut or run twice during an upgrade."""
        await self.play("6992407")

    @gen_test(timeout=110)
    async def test_hosts_of_build_db93ffe_run_beside_this_build(self):
        """Guards against requests that are cut or run twice during an upgrade."""
        await self.play("db93ffe")

    @gen_test(timeout=110)
    async def test_hosts_of_build_91d21a3_run_beside_this_build(self):
        """Guards against requests that are cut or run twice during an upgrade."""
        await self.play("91d21a3")

    @gen_test(timeout=110)
    async def test_hosts_of_build_2638ec3_run_beside_this_build(self):
        """Guards against requests that are cut or run twice during an upgrade."""
        await self.play("2638ec3")

    @gen_test(timeout=110)
    async def test_hosts_of_build_cf1c83e_run_beside_this_build(self):
        """Guards against requests that are cut or run twice during an upgrade."""
        await self.play("cf1c83e")

    @gen_test(timeout=110)
    async def test_hosts_of_build_02e0493_run_beside_this_build(self):
        """Guards against requests that are cut or run twice during an upgrade."""
        await self.play("02e0493")
