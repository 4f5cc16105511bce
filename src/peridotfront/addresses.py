"""Validated types for the names and addresses of processes."""

from dataclasses import dataclass
from ipaddress import ip_address
from typing import Annotated

from pydantic import AfterValidator, Field


def check_address(value: str) -> str:
    """Check that a value has the form ``IP:PORT`` and return it unchanged.

    :raises ValueError: if the IP address or the port is invalid.
    """
    ip, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("must be IP:PORT")
    ip_address(ip.strip("[]"))
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("the port must be a number up to 65535")
    return value


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into the IP address, without brackets, and the port."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


@dataclass(frozen=True, slots=True)
class Peer:
    """Another process of the deployment.

    :param role: ``entry`` or ``control``; empty if unknown.
    :param data_centre: the peer's data centre; empty if unknown.
    :param address: IP address and port at which it listens for peers.
    """

    name: str
    role: str
    data_centre: str
    address: str
