"""Faults that tests switch on."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class CountedFault:
    """A fault that affects the next ``remaining_count`` requests."""

    remaining_count: int = 0
    before_s: float = 0.0
    after_s: float = 0.0

    def take(self) -> bool:
        """Use the fault up once and return whether it was on."""
        if self.remaining_count <= 0:
            return False
        self.remaining_count -= 1
        return True


@dataclass(slots=True)
class Switches:
    """Present faults.

    Parameters
    ----------
    bad_versions : dict of str to str
        ``low-quality`` or ``errors`` by ``model/version``.
    crash_texts : list of str
        Texts that make the engine fall over.
    drop_answer : CountedFault
        Close the connection after executing.
    delay : CountedFault
        Wait before and after executing.
    leaving : bool
        Refuse new work.
    """

    bad_versions: dict[str, str] = field(default_factory=dict)
    crash_texts: list[str] = field(default_factory=list)
    drop_answer: CountedFault = field(default_factory=CountedFault)
    delay: CountedFault = field(default_factory=CountedFault)
    leaving: bool = False
