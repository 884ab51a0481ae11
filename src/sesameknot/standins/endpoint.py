"""Stand-in of an endpoint: a model engine or a plain HTTP service."""

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

from sesameknot.clock import Clock, SystemClock
from sesameknot.standins._answer_text import (
    answer_text,
    answer_tokens,
    service_receipt,
)
from sesameknot.standins._chat_handler import CancelHandler, ChatHandler
from sesameknot.standins._connections import TrackedServer
from sesameknot.standins._endpoint_handlers import (
    CacheEventsHandler,
    LoadHandler,
    RecordHandler,
    SwitchHandler,
)
from sesameknot.standins._engine import Engine
from sesameknot.standins._engine_options import EngineOptions
from sesameknot.standins._order_handlers import OrdersHandler
from sesameknot.standins._plain_handler import PlainHandler

__all__ = [
    "EndpointStandin",
    "EngineOptions",
    "answer_text",
    "answer_tokens",
    "service_receipt",
]


class EndpointStandin:
    """One endpoint with its HTTP server.

    Parameters
    ----------
    options : EngineOptions
        Behaviour.
    clock : Clock or None, default=None
        Source of monotonic time; the system's if None.
    """

    def __init__(self, options: EngineOptions, *, clock: Clock | None = None) -> None:
        self.options = options
        self.engine = Engine(options, clock=clock or SystemClock())

    def application(self) -> Application:
        """Return the web application."""
        shared: dict[str, Any] = {"engine": self.engine}
        routes = [
            (r"/load", LoadHandler, shared),
            (r"/cache-events", CacheEventsHandler, shared),
            (r"/standin/record", RecordHandler, shared),
            (r"/standin/([a-z-]+)", SwitchHandler, shared),
        ]
        if self.options.kind == "plain":
            routes.append((r"/.*", PlainHandler, shared))
        else:
            routes += [
                (r"/v1/chat/completions", ChatHandler, shared),
                (r"/v1/cancel/(.+)", CancelHandler, shared),
                (r"/orders", OrdersHandler, shared),
            ]
        return Application(routes, log_function=lambda handler: None)

    def server(self) -> HTTPServer:
        """Return an HTTP server that is not listening yet."""
        return TrackedServer(self.application(), connections=self.engine.connections)
