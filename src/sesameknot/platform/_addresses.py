"""Validation of addresses that other processes registered."""

import ipaddress

PORT_LIMIT = 65535
PORT_DIGIT_COUNT = 5


def is_address(text: str) -> bool:
    """Return whether ``text`` is ``ip:port`` with a port that can be connected to."""
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= PORT_DIGIT_COUNT):
        return False
    if not 0 < int(port) <= PORT_LIMIT:
        return False
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        return False
    return True
