"""Several hosts in one process, on virtual time and a network that tests control."""

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


class _JumpingSelector:
    """Move the clock to the next timer instead of waiting for it."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no task can run and no timer is set")
        if timeout > 0:
            self._clock.advance(timeout)
        return self._selector.select(0)

    def __getattr__(self, name):
        return getattr(self._selector, name)


def run_virtual(main: Callable[[], Awaitable[Any]], clock: ManualClock) -> Any:
    """Run a coroutine function on a loop whose time is ``clock``."""

    def factory():
        loop = asyncio.SelectorEventLoop(_JumpingSelector(clock))
        loop.time = clock.monotonic_s
        return loop

    with asyncio.Runner(loop_factory=factory) as runner:
        return runner.run(main())


class Process:
    """One incarnation of a host: its handlers, and whether it lives and runs."""

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
        """Wait while the process is frozen; never return once it is dead."""
        while self.alive and not self.running.is_set():
            await self.running.wait()
        if not self.alive:
            await asyncio.Event().wait()


class Network:
    """Delay, drop and count messages between processes.

    ``cuts`` holds one-way broken links as pairs of host ids. A message is delivered
    even if its caller has stopped waiting. Messages are encoded and their bytes counted
    if ``encoded`` is set.
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

    def peer(self, process: Process) -> "Peer":
        return Peer(self, process)

    def start(self, source: Process, address: str, body: Any) -> asyncio.Future:
        answer = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._deliver(source, address, body, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return answer

    async def _deliver(self, source, address, body, answer) -> None:
        target = self.processes[address]
        request = self._copy(source, body)
        await source.wait_until_running()
        if not await self._travel(source, target):
            return
        if not target.alive:
            self._fail(answer, ConnectError("refused", step="connect", peer=address))
            return
        await target.wait_until_running()
        try:
            reply = self._copy(target, await target.handlers[type(request)](request))
        except RouterError as error:
            self._fail(answer, error)
            return
        await target.wait_until_running()
        if not await self._travel(target, source):
            return
        await source.wait_until_running()
        if not answer.done():
            answer.set_result(reply)

    async def _travel(self, source: Process, target: Process) -> bool:
        delay_s = self.random.exponential(0.001)
        if self.random.random() < self.slow_share:
            delay_s += self.random.uniform(0.1, 3.0)
        await asyncio.sleep(delay_s)
        return (source.member.host_id, target.member.host_id) not in self.cuts

    def _copy(self, sender: Process, body: Any) -> Any:
        self.message_count += 1
        if not self.encoded:
            return copy.copy(body)
        data = encode(Envelope(1, sender.member.host_id, body))
        self.size_bytes += len(data)
        return decode(data).body

    def _fail(self, answer: asyncio.Future, error: RouterError) -> None:
        if not answer.done():
            answer.set_exception(error)


class Peer:
    """The part of ``PeerClient`` that coordination uses."""

    def __init__(self, network: Network, process: Process) -> None:
        self._network = network
        self._process = process

    async def call(self, address, body, *, expect, timeout_s=1.0):
        answer = self._network.start(self._process, address, body)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await answer
        except TimeoutError:
            raise DeadlineError("no answer", peer=address) from None
        if not isinstance(reply, expect):
            raise RouterError(f"answered {type(reply).__name__}", peer=address)
        return reply
