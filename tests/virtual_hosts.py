"""Simulated hosts in one process, each with an event loop, on one manual clock.

Messages between the hosts pass a simulated network. The clock advances to the next
timer when no loop has anything to run, so that a test of minutes takes seconds and is
deterministic. The loop of a frozen host does not run; its timers and messages are
delayed until it is unfrozen.
"""

import asyncio
import heapq
import selectors
from asyncio import events
from collections.abc import Callable
from typing import Any

import numpy as np

from sesameknot.clock import ManualClock
from sesameknot.errors import DeadlineError, RouterError
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.protocol.messages import Failure


class _NonBlockingSelector:
    """Selector that never blocks; virtual hosts use no sockets."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._selector, name)

    def select(self, timeout: float | None = None) -> list:
        return []


class HostLoop(asyncio.SelectorEventLoop):
    """Event loop whose iterations a ``VirtualWorld`` runs."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(_NonBlockingSelector())
        self.clock = clock
        self.set_exception_handler(lambda loop, context: None)

    def time(self) -> float:
        return self.clock.monotonic_s()

    def next_s(self) -> float | None:
        """Return the time of the next callback, in seconds; None if there is none."""
        if self._ready:
            return self.time()
        while self._scheduled and self._scheduled[0]._cancelled:
            timer = heapq.heappop(self._scheduled)
            timer._scheduled = False
        return self._scheduled[0]._when if self._scheduled else None

    def step(self) -> None:
        """Run one iteration of the loop."""
        events._set_running_loop(self)
        try:
            self._run_once()
        finally:
            events._set_running_loop(None)


class _AllPairs(set):
    """Set that contains every pair of hosts."""

    def __contains__(self, pair: object) -> bool:
        return True


class VirtualWorld:
    """Clock, network and event loops of several hosts.

    ``cuts`` holds directed pairs (from, to) of hosts between which messages are
    lost. A message takes between ``delay_s`` and twice that. The functions in
    ``on_step`` run after each step, at most once per ``check_interval_s``.
    """

    def __init__(self, seed: int, *, delay_s: float = 0.001) -> None:
        self.clock = ManualClock()
        self.random = np.random.default_rng(seed)
        self.delay_s = delay_s
        self.loops: dict[str, HostLoop] = {}
        self.servers: dict[str, VirtualServer] = {}
        self.addresses: dict[str, str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.bytes_moved: dict[str, int] = {}
        self.messages_sent: dict[str, int] = {}
        self.on_step: list[Callable[[], None]] = []
        self.check_interval_s = 0.0
        self._checked_s = 0.0

    def add(self, host_id: str, address: str) -> HostLoop:
        """Add a host, or replace one that was killed."""
        loop = HostLoop(self.clock)
        self.loops[host_id] = loop
        self.addresses[address] = host_id
        self.servers[host_id] = VirtualServer(self, host_id)
        self.bytes_moved.setdefault(host_id, 0)
        self.messages_sent.setdefault(host_id, 0)
        return loop

    def kill(self, host_id: str) -> None:
        """Stop a host permanently."""
        self.servers.pop(host_id, None)
        self._close_loop(self.loops.pop(host_id))

    def close(self) -> None:
        """Stop all hosts."""
        for loop in self.loops.values():
            self._close_loop(loop)

    def _close_loop(self, loop: HostLoop) -> None:
        # Cancelled tasks of a killed host must not send messages during cleanup.
        cuts, self.cuts = self.cuts, _AllPairs()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        while asyncio.all_tasks(loop):
            loop.step()
        loop.step()
        loop.close()
        self.cuts = cuts

    def cut(self, sources: list[str], targets: list[str], *, both: bool = True) -> None:
        """Drop messages from ``sources`` to ``targets``, and back if ``both``."""
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def run_for(self, duration_s: float) -> None:
        """Run the hosts for ``duration_s``."""
        self.run_until(lambda: False, limit_s=duration_s)

    def run_until(self, condition: Callable[[], object], *, limit_s: float) -> bool:
        """Run until ``condition`` holds, at most ``limit_s``; return if it holds."""
        end_s = self.clock.monotonic_s() + limit_s
        while True:
            if condition():
                return True
            if not self._step(end_s):
                return bool(condition())

    def _step(self, end_s: float) -> bool:
        active = [loop for name, loop in self.loops.items() if name not in self.frozen]
        due = [(at_s, loop) for loop in active if (at_s := loop.next_s()) is not None]
        now_s = self.clock.monotonic_s()
        next_s = min((at_s for at_s, _ in due), default=end_s)
        if next_s > end_s or not due:
            self.clock.advance(max(0.0, end_s - now_s))
            return False
        if next_s > now_s:
            self.clock.advance(next_s - now_s)
            now_s = self.clock.monotonic_s()
        for at_s, loop in due:
            if at_s <= now_s + loop._clock_resolution:
                loop.step()
        if now_s >= self._checked_s + self.check_interval_s:
            self._checked_s = now_s
            for check in self.on_step:
                check()
        return True

    def deliver(self, source: str, target: str, action: Callable[[], object]) -> None:
        """Run ``action`` on the loop of ``target`` after the network delay."""
        loop = self.loops.get(target)
        if loop is None or (source, target) in self.cuts:
            return
        delay_s = self.delay_s * self.random.uniform(1.0, 2.0)
        loop.call_at(self.clock.monotonic_s() + delay_s, action)

    def count(self, source: str, target: str, payload: bytes) -> None:
        """Count a message and its frame header for sender and receiver."""
        for host_id in (source, target):
            if host_id in self.bytes_moved:
                self.bytes_moved[host_id] += len(payload) + 4
        self.messages_sent[source] += 1


class VirtualServer:
    """Replacement for ``PeerServer``."""

    def __init__(self, world: VirtualWorld, host_id: str) -> None:
        self.world = world
        self.host_id = host_id
        self.handlers: dict[type, Any] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def handle(self, message_type: type) -> Callable[[Any], Any]:
        def add(handler: Any) -> Any:
            self.handlers[message_type] = handler
            return handler

        return add

    def receive(self, payload: bytes, reply_to: Callable[[bytes], None]) -> None:
        """Answer a message; runs on this host's loop."""
        task = asyncio.get_running_loop().create_task(self._answer(payload, reply_to))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, payload: bytes, reply_to: Callable[[bytes], None]) -> None:
        envelope = decode(payload)
        try:
            body = await self.handlers[type(envelope.body)](envelope.body)
        except (RouterError, KeyError) as error:
            body = Failure(message=str(error))
        reply_to(encode(Envelope(envelope.call_id, self.host_id, body, True)))


class VirtualClient:
    """Replacement for ``PeerClient``."""

    def __init__(self, world: VirtualWorld, host_id: str) -> None:
        self.world = world
        self.host_id = host_id

    async def call(
        self, address: str, body: Any, *, expect: type, timeout_s: float = 1.0
    ) -> Any:
        world = self.world
        target = world.addresses.get(address, "")
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bytes] = loop.create_future()

        def settle(payload: bytes) -> None:
            if not future.done():
                future.set_result(payload)

        def reply_to(payload: bytes) -> None:
            world.count(target, self.host_id, payload)
            world.deliver(target, self.host_id, lambda: settle(payload))

        payload = encode(Envelope(1, self.host_id, body))
        world.count(self.host_id, target, payload)
        server = world.servers.get(target)
        if server is not None:
            world.deliver(
                self.host_id, target, lambda: server.receive(payload, reply_to)
            )
        try:
            async with asyncio.timeout(timeout_s):
                reply = decode(await future).body
        except TimeoutError:
            raise DeadlineError("no answer", peer=address) from None
        if not isinstance(reply, expect):
            raise RouterError(f"answered {reply!r:.80}", peer=address)
        return reply

    def close_idle(self) -> None:
        """Do nothing; there are no connections."""
