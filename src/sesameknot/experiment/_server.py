"""Fake of a model engine: batching, priorities, cold start, prefix cache."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from sesameknot.experiment._events import EventQueue
from sesameknot.experiment._job import Job


@dataclass(slots=True, frozen=True)
class EngineProfile:
    """Speed and size of an engine.

    Parameters
    ----------
    capacity_count : int, default=16
        Requests in a batch.
    gap_s, gap_s_per_request : float
        Time between tokens, and what each request in the batch adds to it.
    prefill_s_per_token : float, default=0.0001
        Time per prompt token; prompts are processed one after the other.
    cache_session_count : int, default=60
        Sessions whose prefix fits into the cache.
    prefix_share : float, default=0.6
        Share of a prompt that earlier requests of its session have.
    cold_slot_count : int, default=2
        Requests that the engine bears in cold start; with more, they fail.
    cold_factor : float, default=4.0
        Slowness in cold start.
    """

    capacity_count: int = 16
    gap_s: float = 0.015
    gap_s_per_request: float = 0.0015
    prefill_s_per_token: float = 0.0001
    cache_session_count: int = 60
    prefix_share: float = 0.6
    cold_slot_count: int = 2
    cold_factor: float = 4.0

    def rate_per_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the requests per second that an engine carries without a cache."""
        prefill_s = prompt_tokens * self.prefill_s_per_token
        gap_s = self.gap_s + self.gap_s_per_request * self.capacity_count
        slot_s = prefill_s + output_tokens * gap_s
        return 1.0 / max(prefill_s, slot_s / self.capacity_count)

    def service_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the time of a request in a half full batch."""
        gap_s = self.gap_s + self.gap_s_per_request * self.capacity_count / 2.0
        return prompt_tokens * self.prefill_s_per_token + output_tokens * gap_s


class EngineFake:
    """An engine whose batch shares its speed among the running requests.

    Parameters
    ----------
    events : EventQueue
        Time and callbacks.
    profile : EngineProfile
        Speed and size.
    on_done, on_failed : callable
        Called with the job.
    on_cached : callable
        Called with the session and whether its prefix came or went.

    Notes
    -----
    A virtual token clock advances at the pace of the batch, so a request ends when the
    clock has moved by its number of tokens; a change of the batch costs one event.
    Waiting requests start in order of priority, then of arrival.
    """

    __slots__ = (
        "_decoding",
        "_epoch",
        "_pending",
        "_prefill_free_s",
        "_virtual_at_s",
        "_virtual_tokens",
        "cache",
        "cold_until_s",
        "events",
        "on_cached",
        "on_done",
        "on_failed",
        "profile",
        "running_count",
        "stopped",
        "waiting",
    )

    def __init__(
        self,
        events: EventQueue,
        profile: EngineProfile,
        *,
        on_done: Callable[[Job], None],
        on_failed: Callable[[Job], None],
        on_cached: Callable[[int, bool], None],
    ) -> None:
        self.events = events
        self.profile = profile
        self.on_done = on_done
        self.on_failed = on_failed
        self.on_cached = on_cached
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.cold_until_s = 0.0
        self.running_count = 0
        self.stopped = False
        self.waiting: list[tuple[int, int, Job]] = []
        self._pending: dict[int, Job] = {}
        self._decoding: list[tuple[float, int, Job]] = []
        self._epoch = 0
        self._prefill_free_s = 0.0
        self._virtual_at_s = 0.0
        self._virtual_tokens = 0.0

    @property
    def cold(self) -> bool:
        """Whether the engine is in cold start."""
        return self.events.now_s < self.cold_until_s

    def submit(self, job: Job) -> None:
        """Take a request; it fails at once if the engine cannot bear it."""
        overloaded = self.cold and len(self._pending) >= self.profile.cold_slot_count
        if self.stopped or overloaded:
            self.on_failed(job)
            return
        self._pending[job.index] = job
        heapq.heappush(self.waiting, (-job.shape.priority, job.index, job))
        self._start_waiting()

    def stop(self) -> None:
        """Stop the engine; requests on it fail, its cache is lost."""
        self.stopped = True
        jobs = list(self._pending.values())
        self._pending.clear()
        self.waiting.clear()
        self._decoding.clear()
        self.cache.clear()
        self.running_count = 0
        self._epoch += 1
        for job in jobs:
            self.on_failed(job)

    def start(self, cold_s: float) -> None:
        """Start the engine again, cold."""
        self.stopped = False
        self.cold_until_s = self.events.now_s + cold_s
        self._prefill_free_s = self.events.now_s

    @property
    def _slowness(self) -> float:
        return self.profile.cold_factor if self.cold else 1.0

    @property
    def _gap_s(self) -> float:
        profile = self.profile
        gap_s = profile.gap_s + profile.gap_s_per_request * self.running_count
        return gap_s * self._slowness

    def _advance(self) -> None:
        now_s = self.events.now_s
        if self._decoding:
            self._virtual_tokens += (now_s - self._virtual_at_s) / self._gap_s
        self._virtual_at_s = now_s

    def _start_waiting(self) -> None:
        self._advance()
        while self.waiting and self.running_count < self.profile.capacity_count:
            job = heapq.heappop(self.waiting)[2]
            self.running_count += 1
            tokens = job.shape.prompt_tokens
            if job.session in self.cache:
                self.cache.move_to_end(job.session)
                tokens *= 1.0 - self.profile.prefix_share
            begin_s = max(self.events.now_s, self._prefill_free_s)
            prefill_s = tokens * self.profile.prefill_s_per_token * self._slowness
            self._prefill_free_s = begin_s + prefill_s
            self.events.schedule(self._prefill_free_s, self._decode, job)
        self._schedule_next()

    def _decode(self, job: Job) -> None:
        # A stopped engine has forgotten its jobs; a retry may be pending elsewhere.
        if self._pending.get(job.index) is not job or self.stopped:
            return
        job.first_token_s = self.events.now_s
        self._remember(job.session)
        self._advance()
        end = self._virtual_tokens + job.shape.output_tokens
        heapq.heappush(self._decoding, (end, job.index, job))
        self._schedule_next()

    def _remember(self, session: int) -> None:
        if session not in self.cache:
            self.on_cached(session, True)
        self.cache[session] = None
        self.cache.move_to_end(session)
        if len(self.cache) > self.profile.cache_session_count:
            evicted, _ = self.cache.popitem(last=False)
            self.on_cached(evicted, False)

    def _schedule_next(self) -> None:
        self._epoch += 1
        if self._decoding:
            tokens = max(0.0, self._decoding[0][0] - self._virtual_tokens)
            at_s = self.events.now_s + tokens * self._gap_s
            self.events.schedule(at_s, self._finish, self._epoch)

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        done = []
        while self._decoding and self._decoding[0][0] <= self._virtual_tokens + 1e-6:
            done.append(heapq.heappop(self._decoding)[2])
        self.running_count -= len(done)
        for job in done:
            del self._pending[job.index]
            job.finished_s = self.events.now_s
            self.on_done(job)
        self._start_waiting()
