"""Progress of one streamed request."""

from sesameknot.forwarding.events import EventSplitter
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.state.known_endpoint import KnownEndpoint


class StreamState:
    """Progress of one streamed request.

    Parameters
    ----------
    request : ForwardedRequest
        The request.
    """

    __slots__ = ("asked_models", "model", "next_endpoint", "request", "splitter")

    def __init__(self, request: ForwardedRequest) -> None:
        self.request = request
        self.splitter = EventSplitter(request.metadata.resume_after_event_id)
        self.model = request.metadata.model
        self.asked_models: list[str] = []
        # Endpoint that was found for a larger model before an answer was dropped.
        self.next_endpoint: KnownEndpoint | None = None
