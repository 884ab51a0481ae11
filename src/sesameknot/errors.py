"""Exceptions of the package, each with the step that failed and the peer."""


class RouterError(Exception):
    """Base class of all errors of this package.

    Parameters
    ----------
    message : str
        What went wrong, with the actual and the expected value.
    step : str, default=""
        Step of the operation that failed, for example ``"claim"``.
    peer : str, default=""
        Address or name of the host, endpoint or service at the other end.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        prefix = " ".join(part for part in (self.step, self.peer) if part)
        return f"{prefix}: {self.message}" if prefix else self.message


class SettingsError(RouterError):
    """A setting is invalid; ``step`` holds its path in the settings tree."""


class TransportError(RouterError):
    """A connection could not be opened, was lost or timed out."""


class ConnectError(TransportError):
    """A connection could not be opened; no byte was sent."""


class ConnectTimeoutError(ConnectError):
    """A peer neither accepted nor refused a connection in time."""


class DeadlineError(TransportError):
    """A peer made no progress before a deadline."""


class FrameError(RouterError):
    """Data is not a valid frame or message, or exceeds a size limit."""


class PlatformError(RouterError):
    """A call to the platform failed; a write may still have taken effect."""


class PlatformTimeoutError(PlatformError):
    """The platform did not answer in time."""


class ConflictError(PlatformError):
    """A conditional update expected another version than the current one.

    Parameters
    ----------
    message : str
        Expected and current version.
    version : int, default=0
        Version that the platform stores.
    """

    def __init__(
        self, message: str, *, version: int = 0, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.version = version


class RequestError(RouterError):
    """A caller's request is rejected or failed.

    Parameters
    ----------
    message : str
        Text for the caller.
    status : int
        HTTP status code.
    outcome : {"not-run", "unknown"}
        ``not-run`` if no endpoint executed the request, ``unknown`` if one may have.
    error_type : str
        Machine-readable error type.
    retry_after_s : float, default=0.0
        Time after which the caller may retry; 0 if none is advised.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        outcome: str,
        error_type: str,
        retry_after_s: float = 0.0,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.outcome = outcome
        self.error_type = error_type
        self.retry_after_s = retry_after_s
