"""Tests of validating the settings of teams."""

import copy

from testtools import TestCase
from testtools.matchers import Contains, Equals

from sesameknot.errors import SettingsError
from sesameknot.settings.loader import team_from_value, team_overlaps

TEAM = {
    "team": "feed",
    "customers": [
        {
            "name": "barge-1",
            "token_sha256": "0" * 64,
            "cascade": "advice",
            "allow": [{"model": "small"}],
        }
    ],
    "models": [{"name": "small", "versions": [{"name": "v1"}], "stable_version": "v1"}],
    "cascades": [{"name": "advice", "models": ["small"]}],
}


class TeamTest(TestCase):
    def _error_texts(self, value):
        try:
            team_from_value(value, source="feed.yaml")
        except ExceptionGroup as group:
            return [str(error) for error in group.exceptions]
        except SettingsError as error:
            return [str(error)]
        return []

    def test_a_valid_subtree_has_no_faults(self):
        """Guards against a check that rejects valid settings."""
        self.assertThat(self._error_texts(TEAM), Equals([]))

    def test_an_unknown_key_is_an_error_with_its_path(self):
        """Guards against a misspelt key that is silently ignored."""
        value = copy.deepcopy(TEAM)
        value["models"][0]["stabel_version"] = "v1"
        (error_text,) = self._error_texts(value)
        self.assertThat(error_text, Contains("stabel_version"))
        self.assertThat(error_text, Contains("$.models[0]"))

    def test_a_wrong_type_names_path_and_value(self):
        """Guards against an error message without the path and the invalid value."""
        value = copy.deepcopy(TEAM)
        value["cascades"][0]["quality_target"] = "high"
        (error_text,) = self._error_texts(value)
        self.assertThat(error_text, Contains("$.cascades[0].quality_target"))
        self.assertThat(error_text, Contains("'high'"))

    def test_a_cascade_with_a_forbidden_model_is_refused(self):
        """Guards against a cascade with a model that its customer may not use."""
        value = copy.deepcopy(TEAM)
        value["models"].append(
            {"name": "large", "versions": [{"name": "v1"}], "stable_version": "v1"}
        )
        value["cascades"][0]["models"].append("large")
        (error_text,) = self._error_texts(value)
        self.assertThat(error_text, Contains("'large'"))
        self.assertThat(error_text, Contains("$.customers[0].cascade"))

    def test_two_customers_with_one_token_are_refused(self):
        """Guards against requests that run and are billed as another customer's."""
        value = copy.deepcopy(TEAM)
        value["customers"].append(value["customers"][0] | {"name": "barge-2"})
        (error_text,) = self._error_texts(value)
        self.assertThat(error_text, Contains("$.customers.token_sha256"))
        other = team_from_value(
            TEAM | {"team": "lace", "customers": [TEAM["customers"][0]]}, source="lace"
        )
        first = team_from_value(TEAM, source="feed")
        errors = [str(error) for error in team_overlaps([first, other])]
        self.assertThat(any("token" in error for error in errors), Equals(True))
