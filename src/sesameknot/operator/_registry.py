"""Registry of commands."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from sesameknot.operator.context import OperatorContext
from sesameknot.operator.results import Report
from sesameknot.registry import Registry

CommandFunction = Callable[[OperatorContext, list[str]], Awaitable[Report]]


@dataclass(slots=True, frozen=True)
class Command:
    """One command with its usage line and number of arguments."""

    usage: str
    function: CommandFunction
    argument_counts: tuple[int, ...]


COMMANDS: Registry[Command] = Registry("command")


def command(
    name: str, usage: str, *, argument_counts: tuple[int, ...] = (0,)
) -> Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that registers a command.

    Parameters
    ----------
    name : str
        One or two words.
    usage : str
        Arguments after the name.
    argument_counts : tuple of int, default=(0,)
        Allowed numbers of arguments.
    """

    def add(function: CommandFunction) -> CommandFunction:
        COMMANDS.register(name)(
            Command(f"{name} {usage}".rstrip(), function, argument_counts)
        )
        return function

    return add
