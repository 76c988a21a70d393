"""Documents of the platform's API."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from geraniumbend.errors import ProtocolError
from geraniumbend.wire import Table

NotNegative = Annotated[float, msgspec.Meta(ge=0)]
VERSION = re.compile(r"r(\d{1,18})")


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
    public: bool = False


class ServiceEntry(msgspec.Struct, rename="kebab"):
    """One service of a configuration."""

    name: str
    health_path: str = "/health"
    # Total of all callers, not per caller.
    max_connections: int = 0
    warmup: str = "0ms"
    warmup_per_s: float = 0.0


class TenantEntry(msgspec.Struct, rename="kebab"):
    """One tenant of a configuration."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: NotNegative = 0.0
    burst: NotNegative = 0.0


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
    tenants: Table = msgspec.field(default_factory=Table)


class HeartbeatInfo(msgspec.Struct):
    """Properties that are constant during one run of an instance."""

    service: str
    zone: str
    # Number of requests that the instance runs concurrently.
    capacity: int
    # Software version of the instance.
    version: str = ""


class HeartbeatStatus(msgspec.Struct, rename="kebab"):
    """Properties that change during one run of an instance."""

    state: str
    # Increases with each heartbeat of one run of the instance.
    sequence: int
    # How much longer the instance is cold.
    warmup_left: str = "0ms"


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
