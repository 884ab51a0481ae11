"""HTTP handlers for operators, load balancers and metrics scrapers."""

import hashlib
import hmac
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from aioprometheus import Registry
from aioprometheus.renderer import render
from tornado.web import HTTPError, RequestHandler

from sesameknot.errors import RouterError
from sesameknot.protocol.messages import VersionStats
from sesameknot.protocol.objects import StoredObject

OBJECT_LIMIT_COUNT = 1000


@dataclass(slots=True, frozen=True)
class OperatorApi:
    """Dependencies of the operator handlers.

    Parameters
    ----------
    token_sha256 : str
        SHA-256 digest of the operator token. If it is empty, pushed objects are
        refused and all reads are allowed.
    accept_objects : callable
        Merges pushed objects and replicates them to peers.
    status : callable
        Returns the status of this host as a JSON object.
    traffic : callable
        Returns the traffic counters of each version.
    unready_reason : callable
        Returns why the router is not ready, or an empty string.
    refresh_metrics : callable
        Updates the gauges; called before the metrics are rendered.
    registry : aioprometheus.Registry
        Metrics to render.
    """

    token_sha256: str
    accept_objects: Callable[[list[StoredObject]], None]
    status: Callable[[], dict[str, Any]]
    traffic: Callable[[], list[VersionStats]]
    unready_reason: Callable[[], str]
    refresh_metrics: Callable[[], None]
    registry: Registry


class _OperatorHandler(RequestHandler):
    def initialize(self, api: OperatorApi) -> None:
        self.api = api

    def authorise(self) -> None:
        """Refuse a request without the operator token.

        Raises
        ------
        tornado.web.HTTPError
            401 if the token is missing or wrong.
        """
        _, _, token = self.request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        if not hmac.compare_digest(digest, self.api.token_sha256):
            raise HTTPError(401, "operator token is missing or wrong")

    def _authorise_read(self) -> None:
        # A read needs the token only if one is configured.
        if self.api.token_sha256:
            self.authorise()

    def write_json(self, value: Any) -> None:
        """Send ``value`` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class HealthHandler(_OperatorHandler):
    """``GET /healthz``: whether the process is alive."""

    def get(self) -> None:
        """Answer ``ok``."""
        self.finish("ok\n")


class ReadyHandler(_OperatorHandler):
    """``GET /readyz``: whether load balancers may send requests."""

    def get(self) -> None:
        """Answer ``ready``, or 503 with the reason."""
        reason = self.api.unready_reason()
        if reason:
            self.set_status(503)
        self.finish(f"{reason or 'ready'}\n")


class MetricsHandler(_OperatorHandler):
    """``GET /metrics``."""

    def get(self) -> None:
        """Render all metrics in the format that the scraper accepts."""
        self.api.refresh_metrics()
        accept = self.request.headers.get_list("Accept")
        content, headers = render(self.api.registry, accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class StatusHandler(_OperatorHandler):
    """``GET /operator/status``."""

    def get(self) -> None:
        """Send the status, with the age of the configuration and object versions."""
        self._authorise_read()
        self.write_json(self.api.status())


class TrafficHandler(_OperatorHandler):
    """``GET /operator/traffic``."""

    def get(self) -> None:
        """Send the traffic counters of each version."""
        self._authorise_read()
        self.write_json([asdict(stats) for stats in self.api.traffic()])


class ObjectsHandler(_OperatorHandler):
    """``POST /operator/objects``: objects that were just committed to the platform."""

    def post(self) -> None:
        """Merge the objects; the platform's version decides which one is newer."""
        self.authorise()
        try:
            objects = _read_objects(self.request.body)
        except RouterError as error:
            self.set_status(400)
            self.write_json({"error": {"message": error.message, "step": error.step}})
            return
        self.api.accept_objects(objects)
        self.write_json({"accepted": len(objects)})


def _read_objects(body: bytes) -> list[StoredObject]:
    try:
        entries = json.loads(body)
        if len(entries) > OBJECT_LIMIT_COUNT:
            raise ValueError(
                f"{len(entries)} objects, expected at most {OBJECT_LIMIT_COUNT}"
            )
        return [
            StoredObject(
                key=str(entry["key"]),
                version=int(entry["version"]),
                value=entry["value"],
                write_id=str(entry.get("write_id", "")),
                deleted=bool(entry.get("deleted", False)),
            )
            for entry in entries
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise RouterError(
            f"expected a JSON list of objects: {error!r}", step="read_objects"
        ) from error
