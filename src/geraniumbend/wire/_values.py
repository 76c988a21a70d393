"""Values in documents from outside that are written as text."""

from __future__ import annotations

import ipaddress
import re

from geraniumbend.errors import ProtocolError

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def parse_duration(text: str) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    Raises
    ------
    ProtocolError
        If the text is not a duration.
    """
    matched = DURATION.fullmatch(text)
    if matched is None:
        raise ProtocolError(
            f"{text[:40]!r} is not a duration", "use a number with unit ms or s"
        )
    number = float(matched.group(1))
    return number / 1000 if matched.group(2) == "ms" else number


def parse_address(address: str) -> tuple[str, int]:
    """Return IP address and port of an address such as ``10.0.0.1:80``.

    Raises
    ------
    ProtocolError
        If the text is not such an address or the port is out of range.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise ProtocolError(
            f"address {address[:60]!r} is not ip:port", "send the listening address"
        ) from error
    if not 0 < number <= 65535:
        raise ProtocolError(
            f"port {number} is out of range", "send a port from 1 to 65535"
        )
    return host, number
