"""One outgoing peer connection with concurrent calls."""

import asyncio
from typing import Any

from tornado.iostream import IOStream

from sesameknot.clock import Clock
from sesameknot.errors import DeadlineError, RouterError, TransportError
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.transport._framing import read_frame, write_frame


class PeerConnection:
    """Send calls on one stream and match the replies to them.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        Open stream; this object closes it.
    address : str
        Address of the peer, used in errors.
    sender : str
        Host id of this process.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self, stream: IOStream, *, address: str, sender: str, clock: Clock
    ) -> None:
        self._stream = stream
        self._address = address
        self._sender = sender
        self._clock = clock
        self._next_call_id = 1
        self._pending_replies: dict[int, asyncio.Future[Any]] = {}
        self.last_received_s = clock.monotonic_s()
        self._reader_task = asyncio.create_task(self._read_replies())

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self._stream.closed()

    @property
    def busy(self) -> bool:
        """Whether calls are waiting for replies."""
        return bool(self._pending_replies)

    async def call(self, body: Any, timeout_s: float) -> Any:
        """Send ``body`` and return the body of the reply.

        Raises
        ------
        DeadlineError
            If no reply arrives within ``timeout_s``.
        TransportError
            If the connection is lost.
        """
        call_id = self._next_call_id
        self._next_call_id += 1
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_replies[call_id] = future
        started_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(timeout_s):
                payload = encode(Envelope(call_id, self._sender, body))
                await write_frame(self._stream, payload, peer=self._address)
                return await future
        except TimeoutError:
            # If nothing was received since the call, a middlebox may have dropped
            # the connection; the next call opens a new one.
            if self.last_received_s < started_s:
                self.close()
            raise DeadlineError(
                f"no reply within {timeout_s:g} s",
                step=type(body).__name__,
                peer=self._address,
            ) from None
        finally:
            self._pending_replies.pop(call_id, None)

    async def _read_replies(self) -> None:
        try:
            while True:
                data = await read_frame(self._stream, peer=self._address)
                self.last_received_s = self._clock.monotonic_s()
                envelope = decode(data, peer=self._address)
                future = self._pending_replies.pop(envelope.call_id, None)
                if future is not None and not future.done():
                    future.set_result(envelope.body)
        except RouterError as error:
            self._fail_pending(error)
        finally:
            self._stream.close()

    def _fail_pending(self, error: RouterError) -> None:
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(
                    TransportError(error.message, step="reply", peer=self._address)
                )
        self._pending_replies.clear()

    def close(self) -> None:
        """Close the stream; waiting calls fail with ``TransportError``."""
        self._stream.close()
