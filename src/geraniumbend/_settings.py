"""Declarations of all settings, and their loading from files."""

from __future__ import annotations

import os
import re
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta

from geraniumbend.errors import SettingsError
from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]

# Parsers of settings formats other than TOML, by file suffix.
settings_formats: Registry[Callable[[str], Settings]] = Registry("settings format")


class _Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all tables; unknown keys are errors."""


class NodeSettings(_Table, frozen=True):
    """Identity of the process."""

    name: Annotated[str, Meta(min_length=1, description="Unique name of the process.")]
    address: Annotated[str, Meta(description="IP address that peers use.")] = (
        "127.0.0.1"
    )
    failure_domain: Annotated[str, Meta(description="Failure domain of the host.")] = ""
    region: Annotated[str, Meta(description="Region of the host.")] = ""
    log_level: Annotated[str, Meta(description="debug, info, warning or error.")] = (
        "info"
    )
    interface: Annotated[
        str,
        Meta(description="Protocol of callers, servers and operators."),
    ] = "native"
    held_limit_bytes: Annotated[
        int,
        Meta(
            ge=1024 * 1024,
            description="Bytes held for unfinished requests of all callers together; "
            "a fifth of the host's memory is suitable.",
        ),
    ] = 64 * 1024 * 1024
    descriptor_limit: Annotated[
        int,
        Meta(
            ge=0,
            description="Descriptors that the process may use, if the system permits "
            "more; callers get two thirds. 0 takes the limit of the system.",
        ),
    ] = 0


class TlsSettings(_Table, frozen=True):
    """Certificate files of a listener or a client."""

    certificate: Annotated[str, Meta(description="PEM file with the chain.")] = ""
    key: Annotated[str, Meta(description="PEM file with the private key.")] = ""
    authority: Annotated[str, Meta(description="PEM file of trusted issuers.")] = ""


class ListenSettings(_Table, frozen=True):
    """A listening socket."""

    host: Annotated[str, Meta(description="IP address to listen on.")] = "127.0.0.1"
    port: Annotated[Port, Meta(description="Port; 0 takes a free one.")] = 0
    tls: Annotated[TlsSettings | None, Meta(description="TLS; off when absent.")] = None


class KeySettings(_Table, frozen=True):
    """A cluster key; the first one signs, all of them verify."""

    number: Annotated[int, Meta(ge=0, le=255, description="Number of the key.")]
    secret: Annotated[str, Meta(min_length=16, description="Shared secret.")]


class PeerSettings(_Table, frozen=True):
    """Traffic between the processes of the cluster."""

    listen: Annotated[ListenSettings, Meta(description="TCP and UDP socket.")] = (
        ListenSettings()
    )
    seeds: Annotated[
        list[str], Meta(description="Peer addresses, ip:port, to join through.")
    ] = []
    minimum_gateways: Annotated[
        int, Meta(ge=1, description="Fewest gateways assumed when sharing budgets.")
    ] = 1
    bytes_per_second: Annotated[
        int, Meta(ge=1000, description="Gossip bytes sent per second at most.")
    ] = 18_000
    announcement_lease_s: Annotated[
        Positive,
        Meta(description="Lease of servers that announce themselves without one."),
    ] = 10.0
    server_limit: Annotated[
        int,
        Meta(
            ge=1,
            description="Backend servers that are known at most, with those that left "
            "lately; announcements of further ones are refused.",
        ),
    ] = 20_000


class GatewaySettings(_Table, frozen=True):
    """The gateway role."""

    caller: Annotated[ListenSettings, Meta(description="Listener for callers.")] = (
        ListenSettings()
    )
    announce: Annotated[
        ListenSettings,
        Meta(description="Listener for announcements, health, state and metrics."),
    ] = ListenSettings()
    control: Annotated[
        list[str], Meta(description="Peer addresses, ip:port, of control hosts.")
    ] = []
    drain_delay_s: Annotated[
        float,
        Meta(
            ge=0,
            description="Seconds between reporting unready and closing the listener.",
        ),
    ] = 2.0
    drain_limit_s: Annotated[
        Positive, Meta(description="Seconds that requests in flight may still take.")
    ] = 300.0
    sheet_header: Annotated[
        str, Meta(description="Header that identifies one sheet open.")
    ] = "Sheet-Open"
    caller_header: Annotated[
        str, Meta(description="Header that identifies the caller.")
    ] = "Authorization"
    header_limit_bytes: Annotated[
        int, Meta(ge=1024, description="Bytes of all request headers at most.")
    ] = 16_384
    header_timeout_s: Annotated[
        Positive, Meta(description="Seconds for a caller to send all headers.")
    ] = 10.0
    body_idle_timeout_s: Annotated[
        Positive, Meta(description="Seconds without progress on a body.")
    ] = 20.0
    ready_path: Annotated[
        str, Meta(description="Path that answers 200 while callers may come.")
    ] = "/readyz"
    retry_ratio: Annotated[
        float,
        Meta(ge=0, description="Retries of all gateways as a share of requests."),
    ] = 0.1
    retry_window_s: Annotated[
        Positive, Meta(description="Window in which retries are counted, in seconds.")
    ] = 10.0
    retry_allowance: Annotated[
        float,
        Meta(
            ge=0,
            description="Retries per window of all gateways in addition to the ratio.",
        ),
    ] = 0.0
    retry_counts_moves: Annotated[
        bool,
        Meta(
            description="Whether a request that is resent on a new connection, because "
            "its connection is silent, counts as a retry."
        ),
    ] = False
    hedge_ratio: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="Extra work that hedges may cause, as a share of idempotent "
            "requests and of their server time; 0 leaves them to the retry budget.",
        ),
    ] = 0.0
    forward_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65535,
            description="Port on the host of peer.listen for requests that other "
            "gateways forward; 0 selects a free one.",
        ),
    ] = 0
    look_candidates: Annotated[
        int,
        Meta(
            ge=0,
            le=16,
            description="Servers asked for their load before a request is sent; 0 "
            "asks periodically instead.",
        ),
    ] = 0
    probe_limit: Annotated[
        float,
        Meta(ge=0, description="Probes of a server a second; 0 sets no limit."),
    ] = 0.0
    servers_may_hang: Annotated[
        bool,
        Meta(
            description="Whether backend servers may neither run nor refuse a request "
            "when they are full, and then answer nothing more on its connection."
        ),
    ] = False
    early_listen_limit_s: Annotated[
        float,
        Meta(
            ge=0,
            le=10,
            description="Time for which callers may connect and wait while the gateway "
            "starts, in seconds; 0 refuses connections until it is ready.",
        ),
    ] = 0.0
    rank_requests: Annotated[
        bool,
        Meta(
            description="Whether requests to crowded groups are admitted by rank and "
            "tenant; they always are while the configuration has tenants."
        ),
    ] = False
    queue_limit: Annotated[
        int, Meta(ge=1, description="Requests queued per group at most.")
    ] = 512
    backend_tls: Annotated[
        TlsSettings | None, Meta(description="TLS to backend servers; off if absent.")
    ] = None


class TokenSettings(_Table, frozen=True):
    """A token of an operator."""

    name: Annotated[str, Meta(description="Name shown in the history.")]
    hash: Annotated[str, Meta(description="Output of geraniumbend token hash.")]
    role: Annotated[str, Meta(description="read or write.")] = "read"


class ControlSettings(_Table, frozen=True):
    """The control role."""

    data_folder: Annotated[str, Meta(description="Folder of the durable state.")] = (
        "data"
    )
    operators: Annotated[ListenSettings, Meta(description="Operators' API.")] = (
        ListenSettings()
    )
    metrics: Annotated[
        ListenSettings | None,
        Meta(description="Listener for metrics and state; none when absent."),
    ] = None
    voters: Annotated[
        dict[str, str],
        Meta(description="First voters: node name to peer address ip:port."),
    ] = {}
    founders: Annotated[
        list[str],
        Meta(
            description="Peer addresses of the first voters, instead of voters; "
            "members are then named by address and join and leave by themselves."
        ),
    ] = []
    may_found: Annotated[
        bool, Meta(description="Whether a new cluster may be bootstrapped.")
    ] = True
    is_first_start: Annotated[
        bool,
        Meta(
            description="Whether the whole system starts for the first time. The first "
            "voters then take part without asking each other; set it only while no "
            "disk has held a log."
        ),
    ] = False
    tolerated_losses: Annotated[
        int, Meta(ge=0, le=15, description="Disks lost at once without loss of data.")
    ] = 0
    order_shards: Annotated[
        int, Meta(ge=0, le=256, description="Logs that orders are spread over.")
    ] = 1
    election_timeout_s: Annotated[
        Positive, Meta(description="Shortest election timeout in seconds.")
    ] = 0.5
    heartbeat_s: Annotated[
        Positive, Meta(description="Seconds between heartbeats of a leader.")
    ] = 0.1
    tokens: Annotated[list[TokenSettings], Meta(description="Operators' tokens.")] = []


class Settings(_Table, frozen=True):
    """A whole settings file."""

    node: Annotated[NodeSettings, Meta(description="Identity of the process.")]
    keys: Annotated[list[KeySettings], Meta(description="Cluster keys.")] = []
    peer: Annotated[PeerSettings, Meta(description="Traffic between processes.")] = (
        PeerSettings()
    )
    gateway: Annotated[
        GatewaySettings, Meta(description="Settings of the gateway role.")
    ] = GatewaySettings()
    control: Annotated[
        ControlSettings, Meta(description="Settings of the control role.")
    ] = ControlSettings()


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path
        TOML file, or a file in another registered format, chosen by its suffix.

    Returns
    -------
    Settings
        Checked settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; names file, line and key.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}", "check the path and its permissions"
        ) from error
    suffix = Path(path).suffix
    if suffix in settings_formats.names():
        return settings_formats.get(suffix)(text)
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Check the text of a settings file.

    Parameters
    ----------
    text : str
        TOML document.
    source : str, default="settings"
        Name of the document in error messages.

    Returns
    -------
    Settings
        Checked settings.

    Raises
    ------
    SettingsError
        If the document is invalid.
    """
    import tomllib

    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(
            f"{source} is no TOML: {error}", "correct the syntax at that place"
        ) from error
    try:
        return msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        raise _convert_error(text, source, str(error)) from error


def read_share(variable: str) -> float:
    """Return the share from 0 to 1 in an environment variable, 0 if it is not set.

    Raises
    ------
    SettingsError
        If the value is no such number.
    """
    text = os.environ.get(variable, "0")
    try:
        share = float(text)
    except ValueError:
        share = -1.0
    if not 0 <= share <= 1:
        raise SettingsError(f"{variable} is {text[:40]!r}", "set a number from 0 to 1")
    return share


def _convert_error(text: str, source: str, problem: str) -> SettingsError:
    message, _, path = problem.partition(" - at `$")
    path = path.strip("`").lstrip(".")
    unknown = re.search(r"unknown field `([^`]+)`", message)
    key = unknown.group(1) if unknown else re.sub(r"\[.*?\]$", "", path).split(".")[-1]
    line = _find_line(text, path, key)
    location = f"{source}:{line}" if line else source
    full_key = ".".join(part for part in (path, key if unknown else "") if part)
    remedy = "correct the value; geraniumbend config reference lists all keys"
    if unknown:
        from difflib import get_close_matches

        matches = get_close_matches(key, _known_keys(Settings), n=1)
        remedy = f"did you mean {matches[0]!r}" if matches else "remove the key"
    return SettingsError(f"{location}: {full_key or 'document'}: {message}", remedy)


def _find_line(text: str, path: str, key: str) -> int:
    if not key:
        return 0
    parts = [part for part in re.sub(r"\[.*?\]", "", path).split(".") if part]
    table = ""
    found = 0
    for number, line in enumerate(text.splitlines(), start=1):
        header = re.match(r"\s*\[+\s*([^\]]+?)\s*\]+", line)
        if header:
            table = header.group(1)
            if table.split(".")[-1] == key:
                return number
        elif re.match(rf"\s*[\"']?{re.escape(key)}[\"']?\s*[=.]", line):
            if ".".join(parts).startswith(table):
                return number
            found = found or number
    return found


def _known_keys(kind: Any) -> list[str]:
    keys: list[str] = []
    for field in msgspec.structs.fields(kind):
        keys.append(field.encode_name)
        for nested in _nested_tables(field.type):
            keys.extend(_known_keys(nested))
    return keys


def _nested_tables(kind: Any) -> list[Any]:
    if isinstance(kind, type) and issubclass(kind, _Table):
        return [kind]
    nested: list[Any] = []
    for part in getattr(kind, "__args__", ()):
        nested.extend(_nested_tables(part))
    return nested
