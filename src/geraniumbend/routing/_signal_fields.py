"""Header fields by which servers state that they leave or ask for time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from geraniumbend.routing._retry_after import AskedTime, parse_retry_after

if TYPE_CHECKING:
    from collections.abc import Mapping

LEAVING_HEADER = "Server-Leaving"
# Only with this status does Retry-After ask the gateway for time.
TURNED_AWAY_STATUS = 503


class ResponseHead(Protocol):
    """Status and header fields of a response."""

    @property
    def status(self) -> int:
        """Status code."""
        ...

    @property
    def headers(self) -> Mapping[str, str]:
        """Header fields by case-insensitive name."""
        ...


class SignalFields:
    """Part of a dialect that is the same on the platform and natively."""

    def read_leaving(self, headers: Mapping[str, str]) -> bool:
        """Tell whether a response says that its backend server leaves."""
        return headers.get(LEAVING_HEADER) == "1"

    def read_retry_after(self, response: ResponseHead) -> AskedTime | None:
        """Return the time that a server asks for when it turns a request away.

        None is returned without the header field, and for other statuses than 503.
        """
        if response.status != TURNED_AWAY_STATUS:
            return None
        text = response.headers.get("Retry-After")
        if text is None:
            return None
        return parse_retry_after(text, response.headers.get("Date"))
