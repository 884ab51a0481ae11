"""HTTP client for JSON calls to one service, with errors that name step and peer."""

from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from sesameknot.errors import PlatformError, PlatformTimeoutError
from sesameknot.transport._keepalive import KeepaliveTCPClient

# Each long-polling watch holds a connection, in addition to the calls of other tasks.
CONCURRENT_LIMIT_COUNT = 100
BODY_LIMIT_BYTES = 64 * 1024 * 1024


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
        Limit for one call.
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
        """Return the response of one call, whatever its status.

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
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=body,
            headers=request_headers,
            connect_timeout=min(call_timeout_s, self.timeout_s),
            request_timeout=call_timeout_s,
            allow_nonstandard_methods=True,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except (HTTPTimeoutError, TimeoutError) as error:
            # The kernel's keep-alive probes end a connection with a TimeoutError.
            raise PlatformTimeoutError(str(error), step=step, peer=self.url) from error
        except (HTTPClientError, OSError) as error:
            raise PlatformError(str(error), step=step, peer=self.url) from error

    def close(self) -> None:
        """Close the HTTP client; pending calls fail."""
        self._http.close()
