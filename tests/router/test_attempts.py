"""Tests of the rules for attempts."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.coordination.grant_holder import GrantError, SlotOutcome
from sesameknot.errors import ConnectError, DeadlineError
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.retry_budget import RetryBudget
from sesameknot.router.attempts import AttemptRules, NotSentError
from sesameknot.router.call import Call
from sesameknot.router.catalogue import Customer
from sesameknot.router.endpoint_picker import PickedEndpoint
from sesameknot.settings.process import RequestSettings
from sesameknot.settings.tree import CustomerSettings, EndpointSettings


class FakePicker:
    def __init__(self):
        self.in_service = True

    def usable(self, endpoint_id):
        return self.in_service


class FakeSlot:
    def __init__(self):
        self.valid = True

    def check(self):
        if not self.valid:
            raise GrantError("expired", step="grant", peer="e1")


class FakeCounter:
    def inc(self, labels):
        self.labels = labels


class FakeMetrics:
    attempts = FakeCounter()


async def announce_crashes():
    """Send nothing; return that no peer acknowledged."""
    return 0


class AttemptRulesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.picker = FakePicker()
        self.rules = AttemptRules(
            picker=self.picker,
            client=None,
            budget=RetryBudget(0.0),
            crash_guard=CrashGuard(clock=self.clock),
            announce_crashes=announce_crashes,
            settings=RequestSettings(),
            clock=self.clock,
            metrics=FakeMetrics(),
        )
        customer = CustomerSettings(name="barge-1", token_sha256="0" * 64)
        self.call = Call(
            request_id="r1",
            customer=Customer("feed", customer),
            deadline_s=self.clock.monotonic_s() + 5.0,
            fingerprint=1,
        )
        endpoint = EndpointSettings(
            endpoint_id="e1", url="http://127.0.0.1:1", domain="idku", service="s"
        )
        self.slot = FakeSlot()
        self.picked = PickedEndpoint(endpoint, self.slot)
        self.allowed = True

    def _check_before_send(self):
        self.rules.before_send(self.call, self.picked, lambda: self.allowed)()

    def test_everything_that_permitted_an_attempt_holds_when_it_is_sent(self):
        """Guards against sending after a change since the endpoint was chosen."""
        self._check_before_send()
        self.assertThat(self.call.may_have_run, Equals(True))
        self.call.may_have_run = False
        invalidate = {
            "domain out": lambda: setattr(self.picker, "in_service", False),
            "version withdrawn": lambda: setattr(self, "allowed", False),
            "grant expired": lambda: setattr(self.slot, "valid", False),
            "deadline passed": lambda: self.clock.advance(6.0),
        }
        restore = {
            "domain out": lambda: setattr(self.picker, "in_service", True),
            "version withdrawn": lambda: setattr(self, "allowed", True),
            "grant expired": lambda: setattr(self.slot, "valid", True),
            "deadline passed": lambda: None,
        }
        for condition, change in invalidate.items():
            change()
            with self.assertRaises((NotSentError, GrantError)):
                self._check_before_send()
            self.assertThat(self.call.may_have_run, Equals(False), condition)
            restore[condition]()

    def _classify(self, error):
        return asyncio.run(self.rules.classify_failure(self.call, self.picked, error))

    def test_only_a_failure_before_the_first_byte_is_known_not_to_have_run(self):
        """Guards against the outcome "not run" for a request whose answer was lost."""
        refused = self._classify(ConnectError("refused"))
        self.assertThat(refused.may_have_run, Equals(False))
        self.assertThat(refused.outcome, Equals(SlotOutcome.REFUSED))
        silent = self._classify(DeadlineError("no progress"))
        self.assertThat(silent.may_have_run, Equals(True))
        self.assertThat(silent.outcome, Equals(SlotOutcome.SILENT))

    def test_without_budget_only_an_attempt_that_was_not_sent_is_followed(self):
        """Guards against retries that multiply the load on failing endpoints."""
        refused = self._classify(ConnectError("refused"))
        silent = self._classify(DeadlineError("no progress"))
        self.assertThat(self.rules.may_retry(self.call, refused), Equals(True))
        self.assertThat(self.rules.may_retry(self.call, silent), Equals(False))
