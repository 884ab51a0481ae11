"""Steps that all pipelines of the request path share."""

from dataclasses import dataclass

from sesameknot.clock import Clock
from sesameknot.router.attempts import AttemptRules
from sesameknot.router.bills import Billing
from sesameknot.router.catalogue import CatalogueCache
from sesameknot.router.endpoint_picker import EndpointPicker
from sesameknot.router.gate import Gate
from sesameknot.router.keyed import KeyedCalls
from sesameknot.router.traffic import TrafficCounters
from sesameknot.transport.endpoint_client import EndpointClient


@dataclass(slots=True, frozen=True, kw_only=True)
class PipelineParts:
    """Shared steps.

    Parameters
    ----------
    gate : Gate
        Authorises and admits.
    keyed : KeyedCalls
        Idempotency keys.
    picker : EndpointPicker
        Endpoints and slots.
    rules : AttemptRules
        What permits an attempt and what its failure means.
    client : EndpointClient
        Sends attempts.
    billing : Billing
        Records bills.
    catalogue : CatalogueCache
        Settings in force.
    traffic : TrafficCounters
        Counters per version and service.
    clock : Clock
        Source of monotonic time.
    """

    gate: Gate
    keyed: KeyedCalls
    picker: EndpointPicker
    rules: AttemptRules
    client: EndpointClient
    billing: Billing
    catalogue: CatalogueCache
    traffic: TrafficCounters
    clock: Clock
