"""Steps that all pipelines of the request path share."""

from dataclasses import dataclass

from sesameknot.clock import Clock
from sesameknot.router.admission_gate import AdmissionGate
from sesameknot.router.attempts import AttemptRules
from sesameknot.router.bills import Billing
from sesameknot.router.catalogue import CatalogueKeeper
from sesameknot.router.endpoint_picker import EndpointPicker
from sesameknot.router.idempotency import IdempotencyKeys
from sesameknot.router.traffic import TrafficCounters
from sesameknot.transport.endpoint_client import EndpointClient


@dataclass(slots=True, frozen=True, kw_only=True)
class PipelineDependencies:
    """Shared steps.

    Parameters
    ----------
    gate : AdmissionGate
        Authorises and admits.
    idempotency_keys : IdempotencyKeys
        Idempotency keys.
    picker : EndpointPicker
        Endpoints and slots.
    rules : AttemptRules
        What permits an attempt and what its failure means.
    client : EndpointClient
        Sends attempts.
    billing : Billing
        Records bills.
    catalogue : CatalogueKeeper
        Settings in force.
    traffic : TrafficCounters
        Counters per version and service.
    clock : Clock
        Source of monotonic time.
    """

    gate: AdmissionGate
    idempotency_keys: IdempotencyKeys
    picker: EndpointPicker
    rules: AttemptRules
    client: EndpointClient
    billing: Billing
    catalogue: CatalogueKeeper
    traffic: TrafficCounters
    clock: Clock
