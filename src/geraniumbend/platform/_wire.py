"""Documents of the platform's API."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from geraniumbend.errors import ProtocolError

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
VERSION = re.compile(r"r(\d{1,18})")


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


def parse_version(text: str) -> int:
    """Return the number of a configuration version such as ``r12``.

    Raises
    ------
    ProtocolError
        If the text is not a version.
    """
    matched = VERSION.fullmatch(text)
    if matched is None:
        raise ProtocolError(f"{text[:40]!r} is not a version", "use r and a number")
    return int(matched.group(1))


class Table(msgspec.Struct):
    """Table with rows of values in the order of the column names."""

    columns: list[str]
    rows: list[list[Any]]

    def to_dicts(self) -> list[dict[str, Any]]:
        """Return each row as a dict by column name; null values are omitted.

        Raises
        ------
        ProtocolError
            If a row and the columns differ in length.
        """
        dicts = []
        for row in self.rows:
            if len(row) != len(self.columns):
                raise ProtocolError(
                    f"a row has {len(row)} values for {len(self.columns)} columns",
                    "send one value per column in each row",
                )
            pairs = zip(self.columns, row, strict=True)
            dicts.append({name: value for name, value in pairs if value is not None})
        return dicts


class SplitEntry(msgspec.Struct):
    """Weight of one service in the traffic split of a route."""

    service: str
    weight: int


class RouteEntry(msgspec.Struct, rename="kebab"):
    """One route of a configuration."""

    name: str
    host: str
    path_prefix: str
    kind: str
    # Upper limit of the time until the response; independent of the client's deadline.
    timeout: str
    max_attempts: int
    target_latency: str = "0ms"
    # 0 is the highest priority.
    priority: int = 0
    service: str | None = None
    traffic_split: list[SplitEntry] = []


class ServiceEntry(msgspec.Struct, rename="kebab"):
    """One service of a configuration."""

    name: str
    health_path: str = "/health"
    # Total of all callers, not per caller.
    max_connections: int = 0


class Limits(msgspec.Struct, rename="kebab"):
    """Limits of client requests and connections."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout: str = "0ms"
    idle_timeout: str = "0ms"


class ConfigurationDocument(msgspec.Struct):
    """Body of a request that replaces the whole configuration."""

    version: str
    routes: Table
    services: Table
    limits: Limits = msgspec.field(default_factory=Limits)


class HeartbeatInfo(msgspec.Struct):
    """Properties that are constant during one run of an instance."""

    service: str
    zone: str
    # Number of requests that the instance runs concurrently.
    capacity: int
    # Software version of the instance.
    version: str = ""


class HeartbeatStatus(msgspec.Struct):
    """Properties that change during one run of an instance."""

    state: str
    # Increases with each heartbeat of one run of the instance.
    sequence: int


class Heartbeat(msgspec.Struct):
    """Body of a heartbeat."""

    address: str
    info: HeartbeatInfo
    status: HeartbeatStatus
    # Start time of the instance, in milliseconds since the Unix epoch.
    born: int = 1


class Deregistration(msgspec.Struct):
    """Body of a deregistration; `born` is 0 if the start time is not given."""

    born: int = 0
