"""Stand-ins for the users' platform, for tests and the demo."""

from sesameknot.platform.standin._endpoint import FleetEndpoint, RecordedRun
from sesameknot.platform.standin._store import FleetStore

__all__ = ["FleetEndpoint", "FleetStore", "RecordedRun"]
