"""Tests of the limits and contracts in the node file."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase, matchers

from sesameknot.errors import SettingsError
from sesameknot.platform import load_host_settings
from sesameknot.settings.host import DEFAULT_MEMORY_LIMIT_BYTES

NODE = {
    "Node": "host-1",
    "Ip": "127.0.0.1",
    "Zone": "a",
    "Region": "r",
    "Listen": {"Front": "127.0.0.1:1", "Ready": "127.0.0.1:2"},
    "Platform": {"Address": "127.0.0.1:3"},
}


class MemoryLimitTest(TestCase):
    def _limit_bytes(self, **fields):
        return self._load(**fields).memory_limit_bytes

    def _load(self, **fields):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "node.json"
        path.write_text(json.dumps({**NODE, **fields}))
        return load_host_settings(path)

    def test_contract_enables_scheduling(self):
        """Guards against new behaviour in deployments that do not declare it."""
        for contracts, expected in (
            ({}, False),
            ({"Contracts": []}, False),
            ({"Contracts": ["other"]}, False),
            ({"Contracts": ["other", "pressure"]}, True),
        ):
            limited = self._load(**contracts).endpoint_memory_limited
            self.assertThat(limited, matchers.Equals(expected))

    def test_limit_of_the_host_is_used(self):
        """Guards against a budget that does not follow from the host's memory."""
        limits = {"CpuShare": 0.5, "MemoryMb": 300}
        self.assertThat(self._limit_bytes(Limits=limits), matchers.Equals(300_000_000))

    def test_host_without_a_limit_has_the_default(self):
        """Guards against a process that does not start without the field."""
        for fields in ({}, {"Limits": {}}, {"Limits": {"MemoryMb": 0}}):
            limit_bytes = self._limit_bytes(**fields)
            self.assertThat(limit_bytes, matchers.Equals(DEFAULT_MEMORY_LIMIT_BYTES))

    def test_wrong_limit_is_named(self):
        """Guards against a wrong value that is taken for no limit."""
        error = self.assertRaises(
            SettingsError, self._limit_bytes, Limits={"MemoryMb": "300"}
        )
        self.assertThat(str(error), matchers.Contains("MemoryMb"))
