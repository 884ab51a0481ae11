"""Tests of calls to plain services."""

import asyncio
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals
from tornado.httputil import HTTPHeaders

from sesameknot.clock import ManualClock
from sesameknot.router.attempts import AttemptFailure
from sesameknot.router.call import Call
from sesameknot.router.caller_handlers import ServiceRequest
from sesameknot.router.catalogue import Customer, Service
from sesameknot.router.service_pipeline import ServicePipeline
from sesameknot.settings.tree import (
    CustomerSettings,
    EndpointSettings,
    ServiceSettings,
)
from sesameknot.transport.endpoint_client import CallLimits, EndpointAnswer

CUSTOMER = CustomerSettings(name="barge-1", token_sha256="0" * 64, services=["ledger"])
SERVICE = ServiceSettings(name="ledger", price_microunits=500)
ENDPOINT = EndpointSettings(
    endpoint_id="e1", url="http://127.0.0.1:1", domain="idku", service="ledger"
)


class Recorder:
    """Fake endpoint client, billing and sink that records its calls."""

    def __init__(self, statuses):
        self.statuses = list(statuses)
        self.sent_count = 0
        self.prices_microunits = []
        self.status = 0

    async def call(self, call):
        call.before_send()
        self.sent_count += 1
        return EndpointAnswer(
            status=self.statuses.pop(0), headers=HTTPHeaders(), body=b"{}"
        )

    async def record_answer(self, call, *, cost_microunits, **fields):
        self.prices_microunits.append(cost_microunits)

    def start(self, status, headers):
        self.status = status

    async def write(self, chunk):
        pass


async def do_nothing(*args, **kwargs):
    """Do nothing."""


async def classify_failure(call, picked, error):
    """Classify every failure as one that may have run."""
    return AttemptFailure(error, True, "done")


def build_pipeline(recorder, clock):
    """Return a pipeline that uses the recorder and permits every retry."""
    call = Call("r1", Customer("feed", CUSTOMER), clock.monotonic_s() + 9.0, 1)

    async def pick(*args, **kwargs):
        slot = SimpleNamespace(release=lambda *outcome: None)
        return SimpleNamespace(endpoint=ENDPOINT, slot=slot)

    def before_send(call, picked, still_allowed):
        return lambda: setattr(call, "may_have_run", True)

    dependencies = SimpleNamespace(
        gate=SimpleNamespace(authorise=lambda *a: call, admit=lambda *a: None),
        idempotency_keys=SimpleNamespace(
            claim=do_nothing, settle_failed=do_nothing, store_answer=do_nothing
        ),
        picker=SimpleNamespace(
            pick=pick,
            estimate=lambda query: None,
            observe=lambda *a: None,
            slot_freed=lambda pool_name: None,
        ),
        rules=SimpleNamespace(
            record_request=lambda: None,
            is_crash_suspect=lambda call: False,
            limits=lambda call: CallLimits(),
            before_send=before_send,
            classify_failure=classify_failure,
            may_retry=lambda call, failure: True,
        ),
        client=recorder,
        billing=recorder,
        catalogue=SimpleNamespace(
            current=SimpleNamespace(
                services={"ledger": Service("feed", SERVICE)},
                endpoint_ids_by_service={"ledger": ["e1"]},
            )
        ),
        traffic=SimpleNamespace(
            count_request=lambda *a: None, count_cost=lambda *a: None
        ),
        clock=clock,
    )
    return ServicePipeline(dependencies)


class ServicePipelineTest(TestCase):
    def _serve(self, method, statuses):
        recorder = Recorder(statuses)
        request = ServiceRequest("ledger", method, "/orders", "", b"")
        clock = ManualClock()
        asyncio.run(build_pipeline(recorder, clock).serve(None, request, recorder))
        return recorder

    def test_an_idempotent_call_is_repeated_when_the_back_end_is_away(self):
        """Guards against passing on a failure that a retry elsewhere would resolve."""
        recorder = self._serve("GET", [503, 502, 200])
        self.assertThat((recorder.sent_count, recorder.status), Equals((3, 200)))
        self.assertThat(recorder.prices_microunits, Equals([500]))

    def test_a_failed_call_that_must_not_be_repeated_costs_nothing(self):
        """Guards against a second execution, and against billing a server error."""
        recorder = self._serve("POST", [503, 200])
        self.assertThat((recorder.sent_count, recorder.status), Equals((1, 503)))
        self.assertThat(recorder.prices_microunits, Equals([0]))
