"""Addresses of the form ``host:port``."""

import ipaddress

__all__ = ["split_address", "split_ip_address"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port number.

    Parameters
    ----------
    address : str
        Address of the form ``host:port``.

    Raises
    ------
    ValueError
        If the host is empty, or the port is not a number from 1 to 65,535.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not (host and is_number and 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"expected host:port, got {address[:100]!r}")
    return host, int(port)


def split_ip_address(address: str) -> tuple[str, int]:
    """Split an address whose host is an IP address.

    Parameters
    ----------
    address : str
        Address of the form ``host:port``.

    Raises
    ------
    ValueError
        If the host is not an IP address, or the port is not from 1 to 65,535.
    """
    host, port = split_address(address)
    ipaddress.ip_address(host)
    return host, port
