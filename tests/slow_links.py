"""Links of limited rate between hosts on loopback, on the event loop's time.

Each host has one link for what it sends and one for what it receives. Data of all its
connections passes them in the order of arrival, so that a long transfer delays what is
sent beside it. Data that a receiver has given up waiting for still takes its time.
"""

import asyncio
import contextlib

from tornado.tcpclient import TCPClient

CHUNK_BYTES = 16 * 1024


class Link:
    """One direction of a host's link.

    Parameters
    ----------
    rate_bytes_per_s : float
        Rate at which data passes.
    """

    def __init__(self, rate_bytes_per_s: float) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self.passed_bytes = 0
        self._busy_until_s = 0.0

    async def transfer(self, size_bytes: int) -> None:
        """Wait until ``size_bytes`` have passed behind what was sent before."""
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self._busy_until_s)
        self._busy_until_s = start_s + size_bytes / self.rate_bytes_per_s
        self.passed_bytes += size_bytes
        await asyncio.sleep(self._busy_until_s - now_s)


class HostLinks:
    """Links of one host in both directions."""

    def __init__(self, rate_bytes_per_s: float) -> None:
        self.outward = Link(rate_bytes_per_s)
        self.inward = Link(rate_bytes_per_s)


class LinkProxy:
    """TCP proxy whose two directions pass the given links.

    Parameters
    ----------
    target : str
        ``ip:port`` that connections are passed on to.
    requests, answers : list of Link
        Links that the data to and from the target passes.
    """

    def __init__(
        self, target: str, *, requests: list[Link], answers: list[Link]
    ) -> None:
        self.target = target
        self.refusing = False
        self._requests = requests
        self._answers = answers
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on an unused port of loopback and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def refuse(self) -> None:
        """End all connections and refuse new ones from now on."""
        self.refusing = True
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        ip, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pumps = [
            asyncio.create_task(_pump(reader, target_writer, self._requests)),
            asyncio.create_task(_pump(target_reader, writer, self._answers)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._tasks.difference_update(pumps)
            writer.close()
            target_writer.close()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, links: list[Link]
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            for link in links:
                await link.transfer(len(data))
            writer.write(data)
            await writer.drain()


class LinkedTCPClient:
    """TCP client of one host, whose connections pass the links of both hosts.

    Parameters
    ----------
    network : dict of str to HostLinks
        Links by the peer address of each host.
    own_address : str
        Peer address of the host that connects.
    """

    def __init__(self, network: dict[str, HostLinks], own_address: str) -> None:
        self._network = network
        self._own = network[own_address]
        self._proxies: dict[str, tuple[LinkProxy, str]] = {}
        self._tcp = TCPClient()

    async def connect(self, ip: str, port: int, **options):
        """Connect to a host through its links and the own ones."""
        target = f"{ip}:{port}"
        if target not in self._proxies:
            other = self._network[target]
            proxy = LinkProxy(
                target,
                requests=[self._own.outward, other.inward],
                answers=[other.outward, self._own.inward],
            )
            self._proxies[target] = (proxy, await proxy.start())
        _, address = self._proxies[target]
        return await self._tcp.connect(
            "127.0.0.1", int(address.rpartition(":")[2]), **options
        )

    def close(self) -> None:
        """End all connections."""
        for proxy, _ in self._proxies.values():
            proxy.close()
        self._tcp.close()
