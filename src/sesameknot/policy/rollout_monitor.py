"""Watch over a version after its roll-out is complete."""

from sesameknot.policy.rollout_statistics import (
    RolloutVerdict,
    SequentialTest,
    VersionSample,
)


class RolloutMonitor:
    """The sequential test, repeated for as long as a version serves.

    Parameters
    ----------
    test : SequentialTest
        Test with the error rates of one round. A round ends when the version is
        accepted, so ``false_alarm_rate`` is the share of rounds that stop a good
        version; it should be far below the rate of a roll-out.
    reference : VersionSample
        Counters of the former stable version, which serves no traffic any more.
    start : VersionSample
        Counters of the watched version at the end of its roll-out.
    """

    __slots__ = ("_began", "reference", "round_count", "start", "test")

    def __init__(
        self, test: SequentialTest, reference: VersionSample, start: VersionSample
    ) -> None:
        self.test = test
        self.reference = reference
        self.start = start
        self.round_count = 0
        self._began = start

    def update(self, new: VersionSample) -> RolloutVerdict:
        """Take the counters of the version; the verdict is continue or stop."""
        verdict = self.test.verdict(new.added_since(self._began), self.reference)
        if verdict is RolloutVerdict.ADVANCE:
            self._began = new
            self.round_count += 1
            return RolloutVerdict.CONTINUE
        return verdict
