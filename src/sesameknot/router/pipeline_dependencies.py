"""Dependencies that all pipelines of the request path share."""

from dataclasses import dataclass

from sesameknot.clock import Clock
from sesameknot.router.admission_gate import AdmissionGate
from sesameknot.router.attempts import AttemptRules
from sesameknot.router.bills import Billing
from sesameknot.router.catalogue import CatalogueCache
from sesameknot.router.endpoint_picker import EndpointPicker
from sesameknot.router.idempotency import IdempotencyKeys
from sesameknot.router.traffic import TrafficCounters
from sesameknot.transport.endpoint_client import EndpointClient


@dataclass(slots=True, frozen=True, kw_only=True)
class PipelineDependencies:
    """Objects that all pipelines use.

    Parameters
    ----------
    gate : AdmissionGate
        Authorises and admits requests.
    idempotency_keys : IdempotencyKeys
        Claims and settles idempotency keys.
    picker : EndpointPicker
        Chooses endpoints and acquires slots.
    rules : AttemptRules
        Permit attempts and classify their failures.
    client : EndpointClient
        Sends attempts to endpoints.
    billing : Billing
        Records bills.
    catalogue : CatalogueCache
        Settings in force.
    traffic : TrafficCounters
        Counters for each version and service.
    clock : Clock
        Source of monotonic time.
    """

    gate: AdmissionGate
    idempotency_keys: IdempotencyKeys
    picker: EndpointPicker
    rules: AttemptRules
    client: EndpointClient
    billing: Billing
    catalogue: CatalogueCache
    traffic: TrafficCounters
    clock: Clock
