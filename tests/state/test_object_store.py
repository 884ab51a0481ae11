"""Tests of the object store against a reference implementation."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.errors import SettingsError
from sesameknot.protocol.objects import StoredObject
from sesameknot.state.object_store import ObjectStore

KEYS = ["settings/a", "settings/b", "domains/a", "roster/main"]


def reject_bad_value(stored):
    """Raise an error for the value ``bad``."""
    if stored.value == "bad":
        raise SettingsError("bad value")


def stored_objects():
    """Return a strategy for objects; equal versions always have equal content."""

    def build(key, version):
        deleted = version % 5 == 0
        value = None if deleted else "bad" if version % 3 == 0 else version
        return StoredObject(key, version, value, deleted=deleted)

    return st.builds(build, st.sampled_from(KEYS), st.integers(1, 30))


class ReferenceStore:
    """Reference implementation that keeps every object and searches all of them."""

    def __init__(self):
        self.seen = []

    def newest(self, key, *, valid=False):
        versions = [o for o in self.seen if o.key == key]
        if valid:
            versions = [o for o in versions if o.value != "bad"]
        return max(versions, key=lambda o: o.version, default=None)


class StoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store, self.reference = ObjectStore(reject_bad_value), ReferenceStore()
        self.view = {}
        self.store.subscribe("settings/", self._update_view)

    def _update_view(self, objects):
        self.view.update({o.key: o for o in objects})

    @rule(objects=st.lists(stored_objects(), max_size=6))
    def merge(self, objects):
        self.store.merge(objects)
        accepted = []
        for stored in objects:
            newest = self.reference.newest(stored.key)
            if newest is None or stored.version > newest.version:
                accepted.append(stored)
                self.reference.seen.append(stored)

    @invariant()
    def reads_equal_the_reference_store(self):
        for key in KEYS:
            expected = self.reference.newest(key, valid=True)
            if expected is not None and key.startswith("settings/"):
                assert self.view[key] == expected
            if expected is not None and expected.deleted:
                expected = None
            assert self.store.get(key) == expected

    @invariant()
    def digest_depends_only_on_the_newest_versions(self):
        newest = [o for key in KEYS if (o := self.reference.newest(key)) is not None]
        other = ObjectStore()
        other.merge(reversed(newest))
        assert self.store.digest() == other.digest()
        assert self.store.newest_version() == max([o.version for o in newest] or [0])


class ObjectStoreTest(TestCase):
    def test_reads_and_digest(self):
        """Guards against an old, malformed or deleted object that replaces another."""
        StoreMachine.TestCase("runTest").runTest()

    @given(st.lists(stored_objects()), st.lists(stored_objects()))
    def test_one_exchange_makes_two_stores_equal(self, left_objects, right_objects):
        """Guards against anti-entropy that does not transfer all objects."""
        left, right = ObjectStore(reject_bad_value), ObjectStore()
        left.merge(left_objects)
        right.merge(right_objects)
        difference = right.difference_from(left.versions())
        right.merge(left.newest(difference.wanted_keys))
        left.merge(difference.objects)
        self.assertThat(left.digest(), Equals(right.digest()))
        self.assertThat(left.difference_from(right.versions()).objects, Equals([]))

    def test_a_failing_subscriber_does_not_hide_a_change_from_others(self):
        """Guards against a subscriber error that hides a withdrawal from others."""
        store, seen = ObjectStore(), []

        def fail(objects):
            raise ValueError("broken")

        store.subscribe("", fail)
        store.subscribe("", seen.extend)
        stored = StoredObject("withdrawals/t.m.v", 1, {})
        store.merge([stored])
        self.assertThat(seen, Equals([stored]))
