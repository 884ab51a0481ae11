"""Client of endpoints: calls with progress deadlines, cancels, orders and polls.

Every attempt opens a new connection, so no connection is ever reused after it was
idle.
"""

import functools
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from urllib.parse import quote

from tornado.httputil import HTTPHeaders

from sesameknot.clock import Clock
from sesameknot.errors import FrameError, RouterError, TransportError
from sesameknot.protocol.chat import ChatChunk, SseParser, parse_chunk
from sesameknot.protocol.messages import EndpointReport
from sesameknot.protocol.orders import (
    CacheEvent,
    EngineOrder,
    EngineState,
    OrderFencedError,
    build_order,
    parse_cache_events,
    parse_engine_state,
    parse_load,
)
from sesameknot.transport._attempt_connection import AttemptHTTPClient
from sesameknot.transport._endpoint_call import (
    CallLimits,
    EndpointAnswer,
    EndpointCall,
    EndpointStatusError,
    ObservedLoad,
    observed_load,
)
from sesameknot.transport._exchange import Exchange

__all__ = [
    "CallLimits",
    "EndpointAnswer",
    "EndpointCall",
    "EndpointClient",
    "EndpointStatusError",
    "EndpointStream",
    "Exchange",
    "ObservedLoad",
]

# Tornado queues requests above its limit; admission control bounds them instead.
CONCURRENT_LIMIT_COUNT = 1_000_000
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 409
OK_STATUS = 200


class EndpointStream:
    """A streamed answer; use it as a context manager and iterate over its chunks.

    Parameters
    ----------
    open_exchange : callable
        Starts the attempt; called when the context is entered.
    """

    def __init__(self, open_exchange: Callable[[], Exchange]) -> None:
        self._open_exchange = open_exchange

    async def __aenter__(self) -> "EndpointStream":
        self._exchange = self._open_exchange()
        try:
            await self._open()
        except BaseException:
            self.close()
            raise
        return self

    async def _open(self) -> None:
        await self._exchange.read_headers()
        if self._exchange.status != OK_STATUS:
            answer = await read_answer(self._exchange)
            raise EndpointStatusError(answer, peer=self._exchange.call.url)

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the answer."""
        return self._exchange.headers

    @property
    def load(self) -> ObservedLoad | None:
        """Load in the headers, if any."""
        return observed_load(self.headers)

    async def batches(self) -> AsyncIterator[list[ChatChunk]]:
        """Yield the chunks up to the end mark, those that arrived together as one list.

        Raises
        ------
        TransportError
            If the connection broke, ended early or a deadline passed.
        FrameError
            If an event is not a chunk.
        """
        parser = SseParser()
        while data := await self._exchange.read():
            chunks = []
            for event in parser.feed(data):
                chunk = parse_chunk(event)
                if chunk is None:
                    yield chunks
                    return
                chunks.append(chunk)
            yield chunks
        raise TransportError(
            "stream ended without its end mark",
            step="progress",
            peer=self._exchange.call.url,
        )

    async def __aiter__(self) -> AsyncIterator[ChatChunk]:
        """Yield the chunks up to the end mark one by one.

        Raises
        ------
        TransportError, FrameError
            As :meth:`batches` does.
        """
        async for chunks in self.batches():
            for chunk in chunks:
                yield chunk

    def close(self) -> None:
        """Drop the connection; the engine stops generating."""
        self._exchange.close()


async def read_answer(exchange: Exchange) -> EndpointAnswer:
    """Return the whole answer of an exchange."""
    await exchange.read_headers()
    parts = []
    size_bytes = 0
    while data := await exchange.read():
        parts.append(data)
        size_bytes += len(data)
        if size_bytes > ANSWER_LIMIT_BYTES:
            raise FrameError(
                f"answer above {ANSWER_LIMIT_BYTES} bytes",
                step="read answer",
                peer=exchange.call.url,
            )
    return EndpointAnswer(
        status=exchange.status, headers=exchange.headers, body=b"".join(parts)
    )


class EndpointClient:
    """Send requests, cancels, orders and polls to endpoints.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time for deadlines.

    Notes
    -----
    A ``ConnectError`` says that no byte was sent, and so does an error that
    ``before_send`` raises. After any other error the request may have run.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._http = AttemptHTTPClient(
            force_instance=True,
            max_clients=CONCURRENT_LIMIT_COUNT,
            max_body_size=ANSWER_LIMIT_BYTES,
        )

    def exchange(self, call: EndpointCall) -> Exchange:
        """Start a request; the caller reads the answer and must close the exchange."""
        return Exchange(call, http=self._http, clock=self._clock)

    async def call(self, call: EndpointCall) -> EndpointAnswer:
        """Send a request and return the whole answer, whatever its status.

        Raises
        ------
        ConnectError
            If no byte was sent.
        TransportError
            If the request may have run but its answer is lost.
        """
        exchange = Exchange(call, http=self._http, clock=self._clock)
        try:
            return await read_answer(exchange)
        finally:
            exchange.close()

    def stream(self, call: EndpointCall) -> EndpointStream:
        """Return the streamed answer to a request, to be used as a context manager.

        Entering it raises ``ConnectError`` if no byte was sent,
        ``EndpointStatusError`` on an error status, and ``TransportError`` otherwise.
        """
        return EndpointStream(
            functools.partial(Exchange, call, http=self._http, clock=self._clock)
        )

    async def cancel(
        self, url: str, request_id: str, *, timeout_s: float = 1.0
    ) -> bool:
        """Ask an engine to stop a request; return whether it confirmed."""
        path = f"/v1/cancel/{quote(request_id, safe='')}"
        try:
            answer = await self._ask(url, "POST", path, b"{}", timeout_s)
        except RouterError:
            return False
        return answer.status == OK_STATUS

    async def order(
        self, url: str, order: EngineOrder, *, timeout_s: float = 30.0
    ) -> EngineState:
        """Send an order and return what the engine holds afterwards.

        Raises
        ------
        OrderFencedError
            If the engine has seen a newer fence.
        RouterError
            If the engine refused the order or its answer is lost.
        """
        answer = await self._ask(url, "POST", "/orders", build_order(order), timeout_s)
        if answer.status == CONFLICT_STATUS:
            raise OrderFencedError(
                f"fence {order.fence} is old", step="order", peer=url
            )
        self._check_status(answer, "order", url)
        return parse_engine_state(answer.body, peer=url)

    async def fetch_load(
        self, endpoint_id: str, url: str, *, timeout_s: float = 0.5
    ) -> EndpointReport:
        """Return the load that an endpoint publishes.

        A plain service without ``/load`` counts as warm with no load.

        Raises
        ------
        RouterError
            If the endpoint cannot be reached or its answer is malformed.
        """
        answer = await self._ask(url, "GET", "/load", None, timeout_s)
        if answer.status == NOT_FOUND_STATUS:
            return EndpointReport(endpoint_id=endpoint_id, state="warm")
        self._check_status(answer, "load", url)
        return parse_load(endpoint_id, answer.body)

    async def cache_events(
        self, url: str, *, since: int, timeout_s: float = 0.5
    ) -> list[CacheEvent]:
        """Return the published changes of an engine's prefix cache."""
        path = f"/cache-events?since={since}"
        answer = await self._ask(url, "GET", path, None, timeout_s)
        self._check_status(answer, "cache events", url)
        return parse_cache_events(answer.body, peer=url)

    async def _ask(
        self, url: str, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> EndpointAnswer:
        limits = CallLimits(
            connect_timeout_s=timeout_s,
            first_byte_timeout_s=timeout_s,
            progress_timeout_s=timeout_s,
            deadline_s=timeout_s,
        )
        return await self.call(
            EndpointCall(
                url=url,
                path=path,
                method=method,
                body=body,
                headers={"Content-Type": "application/json"},
                limits=limits,
            )
        )

    def _check_status(self, answer: EndpointAnswer, step: str, url: str) -> None:
        if answer.status != OK_STATUS:
            raise RouterError(f"answered status {answer.status}", step=step, peer=url)

    def close(self) -> None:
        """Close the HTTP client; running attempts fail."""
        self._http.close()
