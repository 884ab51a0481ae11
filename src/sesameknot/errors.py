"""Errors of the router; each carries the step and the peer at which it arose."""


class RouterError(Exception):
    """Base class of all errors of this package.

    Parameters
    ----------
    message : str
        What went wrong, with the value that was given and what was expected.
    step : str, default=""
        The step of the operation that failed, for example ``"claim"``.
    peer : str, default=""
        The host, endpoint or service at the other end, as an address or name.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = " ".join(part for part in (self.step, self.peer) if part)
        return f"{place}: {self.message}" if place else self.message


class SettingsError(RouterError):
    """A settings tree is invalid; ``step`` holds the path of the bad value."""


class TransportError(RouterError):
    """A connection could not be opened, broke or timed out."""


class ConnectError(TransportError):
    """A connection could not be opened, so nothing was sent."""


class DeadlineError(TransportError):
    """A peer did not make progress within its deadline."""


class FrameError(RouterError):
    """A peer sent bytes that are not a valid frame or message."""


class PlatformError(RouterError):
    """The platform could not be reached or failed; the outcome may be unknown."""


class ConflictError(PlatformError):
    """A conditional update named a version that is not the present one.

    Parameters
    ----------
    message : str
        What was expected and what stands.
    version : int
        The version that the platform holds now.
    """

    def __init__(
        self, message: str, *, version: int = 0, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.version = version


class RequestError(RouterError):
    """A caller's request cannot be served.

    Parameters
    ----------
    message : str
        Reason for the caller.
    status : int
        HTTP status code.
    outcome : {"not-run", "unknown"}
        Whether the request provably did not run.
    error_type : str
        Machine-readable error type.
    retry_after_s : float, default=0.0
        Time after which the caller may try again; 0 leaves it open.
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
