"""Monitoring of a version after its roll-out is complete."""

from sesameknot.policy.rollout_statistics import (
    RolloutVerdict,
    SequentialTest,
    VersionSample,
)


class RolloutMonitor:
    """Repeats the sequential test for as long as a version serves.

    Parameters
    ----------
    test : SequentialTest
        Test whose error rates apply to one round. A round ends when the version is
        accepted, so ``false_alarm_rate`` is the share of rounds that stop a good
        version; it should be far below the rate of a roll-out.
    reference : VersionSample
        Counters of the former stable version, which no longer serves traffic.
    start : VersionSample
        Counters of the monitored version at the end of its roll-out.
    """

    __slots__ = ("_round_start", "reference", "round_count", "start", "test")

    def __init__(
        self, test: SequentialTest, reference: VersionSample, start: VersionSample
    ) -> None:
        self.test = test
        self.reference = reference
        self.start = start
        self.round_count = 0
        self._round_start = start

    def update(self, new: VersionSample) -> RolloutVerdict:
        """Return whether to continue or stop, given the current counters."""
        verdict = self.test.verdict(new.added_since(self._round_start), self.reference)
        if verdict is RolloutVerdict.ADVANCE:
            self._round_start = new
            self.round_count += 1
            return RolloutVerdict.CONTINUE
        return verdict
