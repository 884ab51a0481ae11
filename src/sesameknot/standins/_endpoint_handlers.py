"""Handlers that model engines and plain services share."""

import json
from typing import Any

from tornado.iostream import IOStream
from tornado.web import RequestHandler

from sesameknot.standins._engine import Engine
from sesameknot.standins._execution_record import Execution
from sesameknot.standins._switches import CountedFault


class EndpointHandler(RequestHandler):
    """Base of all handlers; holds the engine."""

    def initialize(self, engine: Engine) -> None:
        """Keep the engine."""
        self.engine = engine

    @property
    def stream(self) -> IOStream:
        """The stream that carries this request."""
        return self.request.connection.stream

    def on_connection_close(self) -> None:
        """Release output that waits on a silent connection."""
        self.engine.connections.discard(self.stream)

    def json_body(self) -> dict[str, Any] | None:
        """Return the JSON object in the body, or answer 400 and return None."""
        try:
            value = json.loads(self.request.body or b"{}")
        except ValueError:
            value = None
        if not isinstance(value, dict):
            self.refuse(400, "invalid_request", "body must be a JSON object")
            return None
        return value

    def refuse(self, status: int, error_type: str, message: str) -> None:
        """Answer with an error body."""
        self.put_load_headers()
        self.set_status(status)
        self.finish({"error": {"type": error_type, "message": message}})

    def put_load_headers(self) -> None:
        """Set the headers that tell the present load."""
        self.set_header("X-Load-Running", str(self.engine.batch.running_count))
        self.set_header("X-Load-Queued", str(self.engine.batch.queued_count))
        self.set_header("X-State", self.engine.state)

    def refuse_if_unavailable(self) -> bool:
        """Answer 503 if no work is taken now, and return whether it did."""
        if self.engine.loading:
            self.engine.record.refused_count += 1
            self.refuse(503, "cold", "cold start in progress")
            return True
        if self.engine.switches.leaving:
            self.engine.record.refused_count += 1
            self.refuse(503, "leaving", "endpoint is leaving")
            return True
        return False

    def new_execution(self, model: str = "", version: str = "") -> Execution:
        """Record the start of this request."""
        headers = self.request.headers
        return self.engine.record.begin(
            Execution(
                request_id=headers.get("X-Request-Id", ""),
                key=headers.get("Idempotency-Key", ""),
                customer=headers.get("X-Customer", ""),
                method=self.request.method or "",
                path=self.request.path,
                model=model,
                version=version,
                state=self.engine.state,
            )
        )


class LoadHandler(EndpointHandler):
    """Publish the load, with a lag."""

    def get(self) -> None:
        """Answer with the load."""
        load = self.engine.published()
        age_s = self.engine.clock.monotonic_s() - load.time_s
        lag_s = min(age_s, self.engine.options.load_lag_s)
        self.write(
            {
                "state": load.state,
                "running": load.running_count,
                "queued": load.queued_count,
                "capacity": load.capacity_count,
                "versions": list(load.versions),
                "prefix_hashes": self.engine.cache.hashes(),
                "role": self.engine.role,
                "fence": self.engine.highest_fence,
                "age_ms": int(lag_s * 1000),
            }
        )


class CacheEventsHandler(EndpointHandler):
    """Publish cache events, late and with gaps."""

    def get(self) -> None:
        """Answer with the events after ``since``."""
        since = int(self.get_query_argument("since", "0"))
        events = self.engine.cache.events(since)
        self.write(
            {
                "events": [
                    {"sequence": e.sequence, "kind": e.kind, "hash": e.prefix_hash}
                    for e in events
                ]
            }
        )


class RecordHandler(EndpointHandler):
    """Tell tests what was executed."""

    def get(self) -> None:
        """Answer with the record."""
        self.engine.record.connection_count = self.engine.connections.total_count
        self.write(self.engine.record.to_value())


class SwitchHandler(EndpointHandler):
    """Switch faults on and off."""

    async def post(self, name: str) -> None:
        """Apply the switch ``name`` with the JSON body's values."""
        value = self.json_body()
        if value is None:
            return
        apply = getattr(self, f"_apply_{name.replace('-', '_')}", None)
        if apply is None:
            self.refuse(404, "unknown_switch", f"no switch is called {name!r}")
            return
        apply(value)
        self.engine.snapshot()
        self.write({"switch": name})

    def _apply_cold(self, value: dict[str, Any]) -> None:
        self.engine.turn_cold(
            float(value.get("cold_s", self.engine.options.cold_s)),
            drop=bool(value.get("drop", True)),
            keep=self.stream,
        )

    def _apply_version(self, value: dict[str, Any]) -> None:
        mode = value.get("mode", "good")
        self.engine.switches.bad_versions[value["version"]] = mode

    def _apply_crash_text(self, value: dict[str, Any]) -> None:
        text = value.get("text", "")
        self.engine.switches.crash_texts = [text] if text else []

    def _apply_silent(self, value: dict[str, Any]) -> None:
        self.engine.connections.silence(keep=self.stream)

    def _apply_drop_answer(self, value: dict[str, Any]) -> None:
        self.engine.switches.drop_answer = CountedFault(int(value.get("count", 1)))

    def _apply_delay(self, value: dict[str, Any]) -> None:
        self.engine.switches.delay = CountedFault(
            int(value.get("count", 1)),
            before_s=float(value.get("before_s", 0.0)),
            after_s=float(value.get("after_s", 0.0)),
        )

    def _apply_leaving(self, value: dict[str, Any]) -> None:
        self.engine.switches.leaving = bool(value.get("leaving", True))
