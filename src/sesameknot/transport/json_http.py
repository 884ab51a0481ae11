"""HTTP client for JSON calls to one service, with errors that name step and peer."""

import asyncio
import io
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from sesameknot.errors import PlatformError, PlatformTimeoutError
from sesameknot.transport._exchange import FINAL_STATUSES
from sesameknot.transport._keepalive import KeepaliveTCPClient

# Each long-polling watch holds a connection, in addition to the calls of other tasks.
CONCURRENT_LIMIT_COUNT = 100
BODY_LIMIT_BYTES = 64 * 1024 * 1024
# Time that the body of an answer may take; a megabyte takes 8 s at 1 Mbit/s.
TRANSFER_LIMIT_S = 10.0
# Key of the time that the body took in ``HTTPResponse.time_info``.
TRANSFER_TIME = "transfer"


class _KeepaliveHTTPClient(SimpleAsyncHTTPClient):
    """HTTP client for long polls, whose connections carry no data while they wait."""

    def initialize(self, **options: Any) -> None:
        """Initialize the client with a ``KeepaliveTCPClient``."""
        super().initialize(**options)
        self.tcp_client.close()
        self.tcp_client = KeepaliveTCPClient(resolver=self.resolver)


class JsonHttpClient:
    """Client of one HTTP service.

    Parameters
    ----------
    url : str
        Base URL.
    timeout_s : float, default=2.0
        Limit for the time until an answer begins, and then between its parts.
    token : str, default=""
        Bearer token sent with each call.
    """

    def __init__(self, url: str, *, timeout_s: float = 2.0, token: str = "") -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.token = token
        self.call_count = 0
        self._http = _KeepaliveHTTPClient(
            force_instance=True,
            max_clients=CONCURRENT_LIMIT_COUNT,
            max_buffer_size=BODY_LIMIT_BYTES,
        )

    async def fetch(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: str | bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> HTTPResponse:
        """Return the response of one call, whatever its status from 200 to 599.

        A body that keeps arriving is read to its end, within ``TRANSFER_LIMIT_S``: on a
        slow link, a large one takes longer than a call should wait for an answer.

        Raises
        ------
        PlatformTimeoutError
            If no response was received in time; the call may have taken effect.
        PlatformError
            If no response was received for another reason; as above.
        """
        self.call_count += 1
        call_timeout_s = timeout_s if timeout_s is not None else self.timeout_s
        request_headers = dict(headers or {})
        if self.token:
            request_headers["Authorization"] = f"Bearer {self.token}"
        body_reader = _BodyReader(self.timeout_s)
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=body,
            headers=request_headers,
            connect_timeout=min(call_timeout_s, self.timeout_s),
            request_timeout=call_timeout_s + TRANSFER_LIMIT_S,
            streaming_callback=body_reader.add,
            allow_nonstandard_methods=True,
        )
        try:
            async with asyncio.timeout(call_timeout_s) as time_limit:
                body_reader.time_limit = time_limit
                response = await self._http.fetch(request, raise_error=False)
        except (HTTPTimeoutError, TimeoutError) as error:
            # The kernel's keep-alive probes end a connection with a TimeoutError.
            reason = str(error) or f"no answer, or no more of it, in {call_timeout_s} s"
            raise PlatformTimeoutError(reason, step=step, peer=self.url) from error
        except (HTTPClientError, OSError) as error:
            raise PlatformError(str(error), step=step, peer=self.url) from error
        finally:
            # The rest of the answer to a cancelled call may still arrive.
            body_reader.time_limit = None
        if response.code not in FINAL_STATUSES:
            # Nothing in such an answer can be trusted, nor its headers.
            reason = f"answered status {response.code:03d}"
            raise PlatformError(reason, step=step, peer=self.url)
        return body_reader.complete(response)

    def close(self) -> None:
        """Close the HTTP client; pending calls fail."""
        self._http.close()


class _BodyReader:
    """Collects the body of an answer and extends the time limit while it arrives."""

    __slots__ = ("_data", "_extension_s", "_started_s", "time_limit")

    def __init__(self, extension_s: float) -> None:
        self.time_limit: asyncio.Timeout | None = None
        self._extension_s = extension_s
        self._data = io.BytesIO()
        self._started_s: float | None = None

    def add(self, part: bytes) -> None:
        """Add a part of the body."""
        self._data.write(part)
        now_s = asyncio.get_running_loop().time()
        if self._started_s is None:
            self._started_s = now_s
        if self.time_limit is None or self.time_limit.expired():
            return
        # After a pause of this process, the limit has passed and ends the call.
        end_s = self.time_limit.when() or now_s
        transfer_end_s = self._started_s + TRANSFER_LIMIT_S
        if now_s <= end_s:
            extended_s = min(now_s + self._extension_s, transfer_end_s)
            self.time_limit.reschedule(max(end_s, extended_s))

    def complete(self, response: HTTPResponse) -> HTTPResponse:
        """Return ``response`` with the body."""
        started_s = self._started_s
        now_s = asyncio.get_running_loop().time()
        transfer_s = 0.0 if started_s is None else now_s - started_s
        return HTTPResponse(
            response.request,
            response.code,
            headers=response.headers,
            buffer=self._data,
            time_info={TRANSFER_TIME: transfer_s},
        )
