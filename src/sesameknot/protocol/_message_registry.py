"""Registry of message classes by their field name in the envelope's union."""

from collections.abc import Callable

from sesameknot.registry import Registry

MESSAGES: Registry[type] = Registry("message")
FIELD_BY_CLASS: dict[type, str] = {}


def message(field_name: str) -> Callable[[type], type]:
    """Return a decorator that registers a message class.

    Parameters
    ----------
    field_name : str
        Name of the envelope's union field that carries the message.
    """

    def register(cls: type) -> type:
        FIELD_BY_CLASS[cls] = field_name
        return MESSAGES.register(field_name)(cls)

    return register
