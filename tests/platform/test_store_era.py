"""Tests of the count of the store's returns from a copy."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.platform._store_era import StoreEra


class StoreEraTest(TestCase):
    def era_after(self, *headers):
        """Return the era after answers with these headers."""
        era = StoreEra()
        for header in headers:
            era.observe(header)
        return era.value

    def test_era_rises(self):
        """Guards against a return from a copy that passes unnoticed."""
        self.assertThat(self.era_after(None, "3", "3", "4", "7"), Equals(7))

    @given(value=st.text(alphabet="0123456789-+.eaInf \u0665", max_size=20))
    def test_nonsense_changes_nothing(self, value):
        """Guards against a header that passes for a return from a copy."""
        plain = value.isascii() and value.isdecimal() and len(value) <= 15
        if not (plain and 7 < int(value) <= 23):
            self.assertThat(self.era_after("7", value, "7", value, "7"), Equals(7))

    def test_first_value_may_be_wrong(self):
        """Guards against one wrong value that hides all later returns."""
        self.assertThat(self.era_after("99999", "4", "4", "4", "5"), Equals(5))
