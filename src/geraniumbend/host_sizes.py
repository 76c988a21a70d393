"""Values of settings that follow from the size of a host."""

from __future__ import annotations

from geraniumbend.settings import NodeSettings, PeerSettings

# Part of a host's memory that is held for unfinished requests at most.
HELD_SHARE = 0.2
# Part of a host's memory for what is known of backend servers, and what a process keeps
# of each one, in bytes.
SERVERS_SHARE = 0.25
SERVER_BYTES = 4200
# Part of the link that a control host may use for gossip. Control hosts carry no
# requests, and they send the full state to all others when a whole cluster starts.
CONTROL_LINK_SHARE = 0.02
# Part of a core below which the start of a gateway takes over half a second.
SLOW_START_CORES = 0.5
# Time for which callers may wait for such a start, in seconds. Most give up a request
# that was not read after about a second.
EARLY_LISTEN_LIMIT_S = 1.0


def compute_held_limit(memory_bytes: float) -> int:
    """Return ``node.held_limit_bytes`` for a host; the default if 0 bytes are known."""
    return int(HELD_SHARE * memory_bytes) or NodeSettings("").held_limit_bytes


def compute_server_limit(memory_bytes: float) -> int:
    """Return ``peer.server_limit`` for a host; the default if 0 bytes are known."""
    limit = int(SERVERS_SHARE * memory_bytes) // SERVER_BYTES
    return limit or PeerSettings().server_limit


def compute_gossip_rate(link_bytes_per_s: float) -> int:
    """Return ``peer.bytes_per_second`` for a control host with a link."""
    default = PeerSettings().bytes_per_second
    return max(default, int(CONTROL_LINK_SHARE * link_bytes_per_s))


def compute_early_limit(cores: float) -> float:
    """Return ``gateway.early_listen_limit_s`` for a host with a number of cores."""
    return EARLY_LISTEN_LIMIT_S if cores < SLOW_START_CORES else 0.0
