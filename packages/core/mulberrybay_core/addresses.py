"""Network addresses, shared by every package."""

import ipaddress
from typing import Final, NamedTuple

MAX_PORT: Final = 65535


class Address(NamedTuple):
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the usual HOST:PORT form."""
        return f"{self.host}:{self.port}"


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def parse_address(text: str) -> Address:
    """Parses HOST:PORT.

    Args:
        text: The address as written in settings.

    Returns:
        The address.

    Raises:
        ValueError: The text has no port, or one outside 1 to 65535.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not host or not _is_decimal(port_text):
        raise ValueError(f"{text!r} is not HOST:PORT")
    port = int(port_text)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    return Address(host, port)


def parse_ipv4_address(text: str) -> Address:
    """Parses HOST:PORT where the host is an IPv4 address.

    Raises:
        ValueError: The host is no IPv4 address, or see `parse_address`.
    """
    address = parse_address(text)
    ipaddress.IPv4Address(address.host)
    return address
