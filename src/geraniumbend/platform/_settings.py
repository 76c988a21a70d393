"""Translation of the platform's settings file."""

from __future__ import annotations

import os

import msgspec

from geraniumbend import host_sizes
from geraniumbend.errors import ProtocolError, SettingsError
from geraniumbend.settings import (
    ControlSettings,
    GatewaySettings,
    KeySettings,
    ListenSettings,
    NodeSettings,
    PeerSettings,
    Settings,
    read_share,
    settings_formats,
)
from geraniumbend.wire import decode_document, parse_duration

INTERFACE = "platform"
KEY_VARIABLE = "GERANIUMBEND_CLUSTER_KEY"
HEDGE_VARIABLE = "GERANIUMBEND_HEDGE_RATIO"
# Time in seconds that is kept for leaving the cluster after the last request. The
# platform kills the process after the grace period.
LEAVE_S = 0.5
# Fraction of the grace period in which open requests are finished at least. The
# platform expects their answers until five sixths of it have passed.
MIN_STOP_SHARE = 11 / 12
# Time in seconds until the platform's load balancer stops sending requests to a host
# that is not ready: it checks once a second and removes a host after two failed checks.
BALANCER_DETECTION_S = 2.6
# Fraction of the retry limits that the gateways use. The margin keeps their total below
# the limit, since their time windows are not aligned.
RETRY_MARGIN = 0.9

# Number of servers that are probed before a request is sent. Three suffice to find one
# on a lightly loaded host: at any time a quarter of the hosts is not.
PROBE_CANDIDATES = 3
# Fraction of the probe limit that the gateways use. While the number of gateways
# changes, their shares add up to more than 1.
PROBE_MARGIN = 0.8

BYTES_PER_MBIT = 125_000


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _MachineLimits(msgspec.Struct, rename="kebab"):
    # Part of a core, and how many times as fast it is.
    cpu_share: float = 1.0
    cores: float = 1.0
    # Bandwidth of the machine's network link, in Mbit/s.
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


class _FaultTolerance(msgspec.Struct):
    machines: int = 0


class _Bounds(msgspec.Struct, rename="kebab"):
    drain: str = "2s"
    grace: str = "6s"
    retry_budget_ratio: float = 0.1
    retry_window: str = "10s"
    retry_budget_slack: float = 0.0
    probes_per_s: float = 0.0


class _PlatformSettings(msgspec.Struct, rename="kebab"):
    """Settings file of the platform; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    region: str = ""
    # Addresses for instances and operators; peers use the internal ports instead.
    seeds: list[str] = []
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat: str = "1500ms"
    limits: _MachineLimits = msgspec.field(default_factory=_MachineLimits)
    fault_tolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


@settings_formats.register(".json")
def read_settings(text: str) -> Settings:
    """Translate the platform's settings file.

    Parameters
    ----------
    text : str
        JSON document.

    Returns
    -------
    Settings
        Settings of the gateway or control role.

    Raises
    ------
    SettingsError
        If a field is missing or malformed.
    """
    try:
        given = decode_document(text, _PlatformSettings)
    except ProtocolError as error:
        raise SettingsError(
            f"the platform's settings are invalid: {error.message}",
            "compare them with the platform's documentation",
        ) from error
    limits = given.limits
    control_link = BYTES_PER_MBIT * limits.link_mbps if given.listen.control else 0.0
    peer_port = given.internal_ports[0]
    seeds = [f"{seed.rpartition(':')[0]}:{peer_port}" for seed in given.seeds]
    secret = os.environ.get(KEY_VARIABLE, "")
    return Settings(
        node=NodeSettings(
            name=given.node_name,
            address=given.ip,
            failure_domain=given.zone,
            region=given.region,
            interface=INTERFACE,
            held_limit_bytes=host_sizes.compute_held_limit(limits.memory_mb * 1e6),
            descriptor_limit=limits.max_fds,
        ),
        keys=[KeySettings(1, secret)],
        peer=PeerSettings(
            listen=ListenSettings(given.ip, peer_port),
            seeds=seeds,
            bytes_per_second=host_sizes.compute_gossip_rate(control_link),
            announcement_lease_s=8 * parse_duration(given.heartbeat),
            server_limit=host_sizes.compute_server_limit(limits.memory_mb * 1e6),
        ),
        gateway=_read_gateway(given),
        control=_read_control(given, seeds),
    )


def _read_gateway(given: _PlatformSettings) -> GatewaySettings:
    bounds = given.bounds
    cores = given.limits.cpu_share * given.limits.cores
    grace_s = parse_duration(bounds.grace)
    stop_s = max(grace_s - LEAVE_S, MIN_STOP_SHARE * grace_s)
    detection_s = min(BALANCER_DETECTION_S, stop_s / 2)
    return GatewaySettings(
        caller=_read_address(given.listen.front),
        announce=_read_address(given.listen.ready),
        ready_path="/-/ready",
        drain_delay_s=detection_s,
        drain_limit_s=stop_s - detection_s,
        retry_ratio=RETRY_MARGIN * bounds.retry_budget_ratio,
        retry_window_s=parse_duration(bounds.retry_window),
        retry_allowance=RETRY_MARGIN * bounds.retry_budget_slack,
        retry_counts_moves=True,
        forward_port=min(given.internal_ports[0] + 1, given.internal_ports[1]),
        look_candidates=PROBE_CANDIDATES,
        probe_limit=PROBE_MARGIN * bounds.probes_per_s,
        early_listen_limit_s=host_sizes.compute_early_limit(cores),
        hedge_ratio=read_share(HEDGE_VARIABLE),
    )


def _read_control(given: _PlatformSettings, seeds: list[str]) -> ControlSettings:
    return ControlSettings(
        data_folder=given.data_dir or "data",
        operators=_read_address(given.listen.control),
        metrics=ListenSettings(given.ip, given.internal_ports[1]),
        founders=seeds,
        may_found=given.bootstrap,
        is_first_start=given.bootstrap,
        tolerated_losses=given.fault_tolerance.machines,
        order_shards=0,
    )


def _read_address(address: str) -> ListenSettings:
    if not address:
        return ListenSettings()
    host, _, port = address.rpartition(":")
    if not port.isdecimal():
        raise SettingsError(f"address {address!r} has no port", "write it as ip:port")
    return ListenSettings(host, int(port))
