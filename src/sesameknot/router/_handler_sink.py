"""An answer sink over a tornado request handler."""

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from sesameknot.errors import TransportError


class HandlerSink:
    """Send an answer to the caller through a tornado request handler.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        Handler of the caller's request.

    Attributes
    ----------
    started : bool
        Whether status and headers were set; an error can't replace the answer then.
    """

    __slots__ = ("_handler", "started")

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self.started = False

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set the status and headers of the answer."""
        self._handler.set_status(status)
        for name, value in headers.items():
            self._handler.set_header(name, value)
        self.started = True

    async def write(self, part: bytes) -> None:
        """Send one part of the body.

        Raises
        ------
        TransportError
            If the caller closed the connection.
        """
        try:
            self._handler.write(part)
            await self._handler.flush()
        except StreamClosedError as error:
            raise TransportError(
                "caller closed the connection",
                step="answer",
                peer=str(self._handler.request.remote_ip),
            ) from error
