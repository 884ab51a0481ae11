"""Tests of calls to plain services."""

import asyncio
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals
from tornado.httputil import HTTPHeaders

from sesameknot.clock import ManualClock
from sesameknot.router.attempts import Failure
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
    """Records attempts, bills and the answer that the caller gets."""

    def __init__(self, statuses):
        self.statuses = list(statuses)
        self.sent_count = 0
        self.prices = []
        self.status = 0

    async def call(self, call):
        call.before_send()
        self.sent_count += 1
        return EndpointAnswer(
            status=self.statuses.pop(0), headers=HTTPHeaders(), body=b"{}"
        )

    async def record_answer(self, call, *, cost_microunits, **fields):
        self.prices.append(cost_microunits)

    def start(self, status, headers):
        self.status = status

    async def write(self, part):
        pass


async def nothing(*args, **kwargs):
    """Do nothing."""


async def judge(call, picked, error):
    """Judge any failure as one that may have run."""
    return Failure(error, True, "done")


def pipeline(recorder, clock):
    """Return a pipeline around the recorder; every retry is permitted."""
    call = Call("r1", Customer("feed", CUSTOMER), clock.monotonic_s() + 9.0, 1)

    async def pick(*args, **kwargs):
        slot = SimpleNamespace(release=lambda *outcome: None)
        return SimpleNamespace(endpoint=ENDPOINT, slot=slot)

    def before_send(call, picked, still_allowed):
        return lambda: setattr(call, "sent", True)

    parts = SimpleNamespace(
        gate=SimpleNamespace(open=lambda *a: call, admit=lambda *a: None),
        keyed=SimpleNamespace(begin=nothing, fail=nothing, finish=nothing),
        picker=SimpleNamespace(
            pick=pick,
            estimate=lambda target: None,
            observe=lambda *a: None,
            slot_freed=lambda name: None,
        ),
        rules=SimpleNamespace(
            first_attempt=lambda: None,
            suspected=lambda call: False,
            limits=lambda call: CallLimits(),
            before_send=before_send,
            judge=judge,
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
    return ServicePipeline(parts)


class ServicePipelineTest(TestCase):
    def _serve(self, method, statuses):
        recorder = Recorder(statuses)
        request = ServiceRequest("ledger", method, "/orders", "", b"")
        clock = ManualClock()
        asyncio.run(pipeline(recorder, clock).serve(None, request, recorder))
        return recorder

    def test_an_idempotent_call_is_repeated_when_the_back_end_is_away(self):
        """Guards against passing on a failure that another endpoint can mend."""
        seen = self._serve("GET", [503, 502, 200])
        self.assertThat((seen.sent_count, seen.status), Equals((3, 200)))
        self.assertThat(seen.prices, Equals([500]))

    def test_a_failed_call_that_must_not_be_repeated_costs_nothing(self):
        """Guards against a second execution, and a price for a server's failure."""
        seen = self._serve("POST", [503, 200])
        self.assertThat((seen.sent_count, seen.status), Equals((1, 503)))
        self.assertThat(seen.prices, Equals([0]))
