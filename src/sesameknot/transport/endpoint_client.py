"""Client of endpoints: requests with progress deadlines, cancels, orders and polls.

Each attempt opens a new connection, so none is reused after an idle period.
"""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from urllib.parse import quote

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from sesameknot.clock import Clock
from sesameknot.errors import (
    ConnectError,
    ConnectTimeoutError,
    FrameError,
    RouterError,
    TransportError,
)
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
    parse_load_headers,
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

# Tornado queues requests above this limit; admission control bounds them instead.
CONCURRENT_LIMIT_COUNT = 1_000_000
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 409
OK_STATUS = 200


class EndpointStream:
    """A streamed answer: a context manager that iterates over the chunks.

    Parameters
    ----------
    start_exchange : callable
        Starts the attempt; called when the context is entered.
    """

    def __init__(self, start_exchange: Callable[[], Exchange]) -> None:
        self._start_exchange = start_exchange

    async def __aenter__(self) -> "EndpointStream":
        self._exchange = self._start_exchange()
        try:
            await self._read_status()
        except BaseException:
            self.close()
            raise
        return self

    async def _read_status(self) -> None:
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
        """Load in the headers; None if missing or malformed."""
        return parse_load_headers(self.headers)

    async def batches(self) -> AsyncIterator[list[ChatChunk]]:
        """Yield the chunks up to ``[DONE]`` in lists, one list for each read.

        Raises
        ------
        TransportError
            If the connection was lost or ended early, or a deadline passed.
        FrameError
            If an event is not a valid chunk.
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
        """Yield the chunks up to ``[DONE]`` one by one.

        Raises
        ------
        TransportError, FrameError
            As :meth:`batches` does.
        """
        async for chunks in self.batches():
            for chunk in chunks:
                yield chunk

    def close(self) -> None:
        """Close the connection, which makes the engine stop generating."""
        self._exchange.close()


async def read_answer(exchange: Exchange) -> EndpointAnswer:
    """Read an exchange to its end and return the complete answer.

    Raises
    ------
    FrameError
        If the body exceeds ``ANSWER_LIMIT_BYTES``.
    RouterError
        If the exchange fails.
    """
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
    """Send requests, cancels and orders to endpoints, and poll them.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Notes
    -----
    After a ``ConnectError`` or an error raised by ``before_send``, no byte was sent.
    After any other error the endpoint may have run the request.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._http = AttemptHTTPClient(
            force_instance=True,
            max_clients=CONCURRENT_LIMIT_COUNT,
            max_body_size=ANSWER_LIMIT_BYTES,
        )
        self._probe_client = TCPClient()

    async def check_connection(self, address: str, *, timeout_s: float) -> None:
        """Open a connection to ``ip:port`` and close it again.

        Raises
        ------
        ConnectTimeoutError
            If the endpoint does not answer in time.
        ConnectError
            If it refuses the connection.
        """
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                stream = await self._probe_client.connect(ip, int(port))
        except TimeoutError as error:
            raise ConnectTimeoutError(
                f"no answer in {timeout_s} s", step="check", peer=address
            ) from error
        except (OSError, StreamClosedError) as error:
            raise ConnectError(repr(error), step="check", peer=address) from error
        stream.close()

    def start_exchange(self, call: EndpointCall) -> Exchange:
        """Start a request and return its exchange, which must be read and closed."""
        return Exchange(call, http=self._http, clock=self._clock)

    async def call(self, call: EndpointCall) -> EndpointAnswer:
        """Send a request and return the complete answer, whatever its status.

        Raises
        ------
        ConnectError
            If no byte was sent.
        TransportError
            If the connection failed after it was open; the request may have run.
        """
        exchange = Exchange(call, http=self._http, clock=self._clock)
        try:
            return await read_answer(exchange)
        finally:
            exchange.close()

    def stream(self, call: EndpointCall) -> EndpointStream:
        """Return a context manager that sends a request and streams the answer.

        Entering it raises ``ConnectError`` if no byte was sent,
        ``EndpointStatusError`` on an error status, and ``TransportError`` otherwise.
        """
        return EndpointStream(
            functools.partial(Exchange, call, http=self._http, clock=self._clock)
        )

    async def cancel(
        self, url: str, request_id: str, *, timeout_s: float = 1.0
    ) -> bool:
        """Cancel a request on an engine; return whether the engine confirmed it."""
        path = f"/v1/cancel/{quote(request_id, safe='')}"
        try:
            answer = await self._request(url, "POST", path, b"{}", timeout_s)
        except RouterError:
            return False
        return answer.status == OK_STATUS

    async def order(
        self, url: str, order: EngineOrder, *, timeout_s: float = 30.0
    ) -> EngineState:
        """Send an order and return the engine's state after it.

        Raises
        ------
        OrderFencedError
            If the engine has seen a newer fence.
        RouterError
            If the engine refused the order or no answer was received.
        """
        answer = await self._request(
            url, "POST", "/orders", build_order(order), timeout_s
        )
        if answer.status == CONFLICT_STATUS:
            raise OrderFencedError(
                f"engine has seen a newer fence than {order.fence}",
                step="order",
                peer=url,
            )
        self._check_status(answer, "order", url)
        return parse_engine_state(answer.body, peer=url)

    async def fetch_load(
        self, endpoint_id: str, url: str, *, timeout_s: float = 0.5
    ) -> EndpointReport:
        """Return the load report of an endpoint.

        A plain service without ``/load`` is reported as warm and without load.

        Raises
        ------
        RouterError
            If the endpoint cannot be reached or its answer is malformed.
        """
        answer = await self._request(url, "GET", "/load", None, timeout_s)
        if answer.status == NOT_FOUND_STATUS:
            return EndpointReport(endpoint_id=endpoint_id, state="warm")
        self._check_status(answer, "load", url)
        return parse_load(endpoint_id, answer.body)

    async def cache_events(
        self, url: str, *, since: int, timeout_s: float = 0.5
    ) -> list[CacheEvent]:
        """Return the changes of an engine's prefix cache after sequence ``since``."""
        path = f"/cache-events?since={since}"
        answer = await self._request(url, "GET", path, None, timeout_s)
        self._check_status(answer, "cache events", url)
        return parse_cache_events(answer.body, peer=url)

    async def _request(
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
        self._probe_client.close()
