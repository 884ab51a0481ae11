"""Simulation of several hosts in one process with virtual time and network faults."""

import asyncio
import copy
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import numpy as np

from sesameknot.clock import ManualClock
from sesameknot.errors import ConnectError, DeadlineError, RouterError
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.protocol.roster import RosterMember

Handler = Callable[[Any], Awaitable[Any]]


class _VirtualTimeSelector:
    """Selector that advances the clock to the next timer instead of waiting."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no task is ready and no timer is set")
        if timeout > 0:
            self._clock.advance(timeout)
        return self._selector.select(0)

    def __getattr__(self, name):
        return getattr(self._selector, name)


def run_virtual(main: Callable[[], Awaitable[Any]], clock: ManualClock) -> Any:
    """Run the coroutine function ``main`` on an event loop that uses ``clock``."""

    def factory():
        loop = asyncio.SelectorEventLoop(_VirtualTimeSelector(clock))
        loop.time = clock.monotonic_s
        return loop

    with asyncio.Runner(loop_factory=factory) as runner:
        return runner.run(main())


class Process:
    """Simulated process of a host, which can be frozen or dead."""

    def __init__(self, member: RosterMember) -> None:
        self.member = member
        self.alive = True
        self.handlers: dict[type, Handler] = {}
        self.running = asyncio.Event()
        self.running.set()

    def handle(self, message_type: type) -> Callable[[Handler], Handler]:
        def add(handler):
            self.handlers[message_type] = handler
            return handler

        return add

    async def wait_until_running(self) -> None:
        """Wait while the process is frozen; never return if it is dead."""
        while self.alive and not self.running.is_set():
            await self.running.wait()
        if not self.alive:
            await asyncio.Event().wait()


class Network:
    """Simulated network that delays, drops and counts messages between processes.

    ``cuts`` holds the directed links (sender, receiver) that drop all messages, as
    pairs of host ids. ``slow_share`` is the share of messages with a long delay. A
    message is delivered even if its caller has stopped waiting. If ``encoded`` is set,
    messages are encoded and their bytes counted.
    """

    def __init__(
        self,
        random: np.random.Generator,
        *,
        slow_share: float = 0.0,
        encoded: bool = False,
    ) -> None:
        self.random = random
        self.encoded = encoded
        self.slow_share = slow_share
        self.cuts: set[tuple[str, str]] = set()
        self.processes: dict[str, Process] = {}
        self.message_count = 0
        self.size_bytes = 0
        self._tasks: set[asyncio.Task] = set()

    def add(self, process: Process) -> None:
        self.processes[process.member.address] = process

    def peer(self, process: Process) -> "SimulatedClient":
        return SimulatedClient(self, process)

    def start(self, sender: Process, address: str, body: Any) -> asyncio.Future:
        reply_future = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._deliver(sender, address, body, reply_future))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return reply_future

    async def _deliver(self, sender, address, body, reply_future) -> None:
        receiver = self.processes[address]
        request = self._copy(sender, body)
        await sender.wait_until_running()
        if not await self._transmit(sender, receiver):
            return
        if not receiver.alive:
            self._fail(
                reply_future,
                ConnectError("connection refused", step="connect", peer=address),
            )
            return
        await receiver.wait_until_running()
        try:
            reply = self._copy(
                receiver, await receiver.handlers[type(request)](request)
            )
        except RouterError as error:
            self._fail(reply_future, error)
            return
        await receiver.wait_until_running()
        if not await self._transmit(receiver, sender):
            return
        await sender.wait_until_running()
        if not reply_future.done():
            reply_future.set_result(reply)

    async def _transmit(self, sender: Process, receiver: Process) -> bool:
        delay_s = self.random.exponential(0.001)
        if self.random.random() < self.slow_share:
            delay_s += self.random.uniform(0.1, 3.0)
        await asyncio.sleep(delay_s)
        return (sender.member.host_id, receiver.member.host_id) not in self.cuts

    def _copy(self, sender: Process, body: Any) -> Any:
        self.message_count += 1
        if not self.encoded:
            return copy.copy(body)
        payload = encode(Envelope(1, sender.member.host_id, body))
        self.size_bytes += len(payload)
        return decode(payload).body

    def _fail(self, reply_future: asyncio.Future, error: RouterError) -> None:
        if not reply_future.done():
            reply_future.set_exception(error)


class SimulatedClient:
    """Client with the interface of ``PeerClient`` on the simulated network."""

    def __init__(self, network: Network, process: Process) -> None:
        self._network = network
        self._process = process

    async def call(self, address, body, *, expect, timeout_s=1.0):
        reply_future = self._network.start(self._process, address, body)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await reply_future
        except TimeoutError:
            raise DeadlineError("no answer", peer=address) from None
        if not isinstance(reply, expect):
            raise RouterError(f"answered {type(reply).__name__}", peer=address)
        return reply
