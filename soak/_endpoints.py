"""Endpoints of the soak test: stand-ins that are reached through a proxy."""

import time
from dataclasses import dataclass

from examples.local_deployment import reserve_port

from sesameknot.platform.standin import FleetEndpoint
from soak._checks import COLD_S
from soak._proxy import Proxy


@dataclass(slots=True, kw_only=True)
class ProxiedEndpoint:
    """Stand-in of an endpoint, reached through a proxy.

    Parameters
    ----------
    standin : FleetEndpoint
        The endpoint.
    service, domain, version : str
        What its entry in the store says.
    cold_starts_s : list of float
        Monotonic times at which one of its processes started cold.
    """

    standin: FleetEndpoint
    service: str
    domain: str
    version: str
    cold_starts_s: list[float]
    proxy: Proxy | None = None
    _port: int = 0
    _started_ms: int = 0

    @property
    def endpoint_id(self) -> str:
        """Identifier of the endpoint."""
        return self.standin.endpoint_id

    async def start(self, *, cold: bool) -> None:
        """Start the first process."""
        self._port = reserve_port()
        self.standin.server().listen(self._port, "127.0.0.1")
        self.proxy = Proxy(f"127.0.0.1:{self._port}")
        await self.proxy.start()
        self._note_start(cold=cold)

    async def crash(self, *, silently: bool = False) -> None:
        """End the process; ``silently`` leaves open connections without an end."""
        self.proxy.stop_listening(silently=silently)
        await self.standin.stop()

    async def start_again(self) -> None:
        """Start a cold process under the same identifier and address."""
        self.standin.start_again(self._port)
        self._note_start(cold=True)
        await self.proxy.listen_again()

    def _note_start(self, *, cold: bool) -> None:
        self._started_ms = int(time.time() * 1000)
        if cold:
            self.cold_starts_s.append(time.monotonic())

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the entry with which the process registers in the store."""
        cold_left_s = 0.0
        if self.cold_starts_s:
            cold_left_s = max(0.0, self.cold_starts_s[-1] + COLD_S - time.monotonic())
        return {
            "Service": self.service,
            "Address": self.proxy.address,
            "Zone": self.domain,
            "Version": self.version,
            "State": state,
            "Slots": 16,
            "ColdRemainingMs": int(cold_left_s * 1000),
            "born": self._started_ms,
        }

    async def close(self) -> None:
        """End the process."""
        self.proxy.close()
        await self.standin.stop()
