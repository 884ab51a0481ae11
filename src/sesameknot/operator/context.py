"""What the commands work with."""

from dataclasses import dataclass, field
from uuid import uuid4

from sesameknot.clock import Clock
from sesameknot.operator.fleet import RouterFleet
from sesameknot.transport.platform_client import PlatformClient


@dataclass(slots=True, kw_only=True)
class OperatorContext:
    """Connections and options of one command.

    Parameters
    ----------
    platform : PlatformClient
        The object API.
    fleet : RouterFleet
        The routers.
    clock : Clock
        Source of time.
    operator : str
        Name of the operator, put into write identifiers.
    wait_s : float, default=10.0
        Time to wait until a change is in force.
    base_versions : dict, default={}
        Versions, by team, on which the operator's files are based.
    customer : str, default=""
        Customer whose bills are shown; empty for all.
    summary : bool, default=False
        Whether ``explain`` summarises the logs instead of showing one request.
    against : str, default=""
        Store address or file with the configuration that ``check`` compares with.
    nonce : str
        Makes the write identifiers of this command unique.
    """

    platform: PlatformClient
    fleet: RouterFleet
    clock: Clock
    operator: str
    wait_s: float = 10.0
    base_versions: dict[str, int] = field(default_factory=dict)
    customer: str = ""
    summary: bool = False
    against: str = ""
    nonce: str = field(default_factory=lambda: uuid4().hex)

    @property
    def write_id(self) -> str:
        """Write identifier of this command; it names the operator."""
        return f"{self.operator}/{self.nonce}"
