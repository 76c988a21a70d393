"""Authenticated datagrams over UDP between the processes of a cluster."""

from __future__ import annotations

import asyncio
import ipaddress
import time
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.adapters._datagram_frames import (
    DATA,
    HELLO,
    HELLO_RESPONSE,
    MAX_PAYLOAD_BYTES,
    DatagramFrames,
    Frame,
)
from geraniumbend.adapters._ports import open_datagram_socket
from geraniumbend.errors import GeraniumbendError, ProtocolError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.keys import KeyRing

__all__ = ["DatagramCounts", "Datagrams", "MAX_PAYLOAD_BYTES", "read_boot_time"]

# Payloads kept per address until its boot time is known. Older ones are dropped, since
# gossip sends its records repeatedly.
MAX_PENDING_PER_PEER = 8
MAX_PEERS = 8192
# Minimum time between hellos to one address. Without it, datagrams with a forged sender
# address could make this node send more bytes than it receives.
MIN_HELLO_INTERVAL_S = 0.05
# A lost or rate-limited hello is resent a few times only, so that dead peers get no
# endless traffic.
HELLO_RETRY_S = 0.08
HELLO_RETRIES = 3

declare_event(
    112, "datagram_rejected", "debug", "A datagram of a peer was dropped unread."
)
declare_event(
    113,
    "datagram_not_sent",
    "debug",
    "A peer's address is malformed; nothing was sent.",
)


def read_boot_time() -> int:
    """Return the wall clock time in nanoseconds, which orders restarts of a node."""
    return time.time_ns()


class DatagramCounts(NamedTuple):
    """Counters of a datagram socket.

    Parameters
    ----------
    sent, received : int
        Number of datagrams sent, and of valid datagrams received.
    rejected : int
        Number of datagrams dropped because of their size, tag, type or key, or
        because they were received before.
    """

    sent: int
    received: int
    rejected: int


class Datagrams(asyncio.DatagramProtocol):
    """UDP socket of one node; implements `ports.DatagramPort`.

    Parameters
    ----------
    node : str
        Name of this node.
    host : str
        IP address to bind.
    port : int
        UDP port; 0 selects a free one.
    keys : KeyRing
        Cluster keys.
    boot : int or None, default=None
        Boot time in nanoseconds; None reads the wall clock.
    """

    def __init__(
        self, node: str, host: str, port: int, keys: KeyRing, boot: int | None = None
    ) -> None:
        self.host = host
        self.port = port
        self._frames = DatagramFrames(node, keys, boot or read_boot_time())
        self._callback: Callable[[str, bytes], None] = lambda address, payload: None
        self._transport: asyncio.DatagramTransport | None = None
        self._peer_boots: dict[str, int] = {}
        self._pending: dict[str, list[bytes]] = {}
        self._last_hello: dict[str, float] = {}
        self._retrying: set[str] = set()
        self._sent = self._received = self._rejected = 0

    @property
    def address(self) -> str:
        """Return the address of this node as ``ip:port``."""
        return f"{self.host}:{self.port}"

    @property
    def counts(self) -> DatagramCounts:
        """Return the counters."""
        return DatagramCounts(self._sent, self._received, self._rejected)

    def on_receive(self, callback: Callable[[str, bytes], None]) -> None:
        """Set the callback; it gets sender address and payload."""
        self._callback = callback

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        ListenError
            If the address cannot be bound.
        """
        bound = await open_datagram_socket(self.host, self.port)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=bound
        )
        self.port = self._transport.get_extra_info("sockname")[1]

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
            await asyncio.sleep(0)

    def send(self, address: str, payload: bytes) -> None:
        """Send a payload; it is queued until the boot time of the peer is known.

        Parameters
        ----------
        address : str
            Peer address as ``ip:port``.
        payload : bytes
            Content, at most 1,400 bytes.

        Raises
        ------
        ProtocolError
            If the content is too long.
        """
        boot = self._peer_boots.get(address)
        if boot is not None:
            self._write(address, self._frames.seal(DATA, boot, payload))
            return
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ProtocolError("datagram is too long", "send fewer records")
        if address not in self._pending and len(self._pending) >= MAX_PEERS:
            self._pending.pop(next(iter(self._pending)))
        pending = self._pending.setdefault(address, [])
        pending.append(payload)
        del pending[:-MAX_PENDING_PER_PEER]
        self._send_hello(address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify a datagram and pass its payload to the callback."""
        address = f"{addr[0]}:{addr[1]}"
        try:
            frame = self._frames.open(data)
        except GeraniumbendError as error:
            self._rejected += 1
            log_event(112, peer=address, error=str(error))
            return
        self._received += 1
        self._process_frame(address, frame)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; the failure detector finds dead peers."""

    def _process_frame(self, address: str, frame: Frame) -> None:
        if frame.receiver_boot != self._frames.boot:
            if frame.type == HELLO_RESPONSE:
                self._raise_boot(address, frame)
                return
            known = self._frames.known_boot(frame.sender)
            if known > frame.sender_boot:
                # The sender's clock was set back: send it the boot time to exceed.
                target = frame.sender.to_bytes(8, "big")
                response = self._frames.seal(HELLO_RESPONSE, known, target)
            else:
                response = self._frames.seal(HELLO_RESPONSE, frame.sender_boot, b"")
            if self._may_send_hello(f"response to {address}"):
                self._write(address, response)
            return
        if self._peer_boots.get(address) != frame.sender_boot:
            if address not in self._peer_boots and len(self._peer_boots) >= MAX_PEERS:
                self._peer_boots.pop(next(iter(self._peer_boots)))
            self._peer_boots[address] = frame.sender_boot
        for payload in self._pending.pop(address, []):
            self._write(address, self._frames.seal(DATA, frame.sender_boot, payload))
        if frame.type == DATA:
            self._callback(address, frame.payload)

    def _raise_boot(self, address: str, frame: Frame) -> None:
        is_addressed_here = frame.payload == self._frames.node_hash.to_bytes(8, "big")
        if is_addressed_here and frame.receiver_boot > self._frames.boot:
            self._frames.raise_boot(frame.receiver_boot)
            self._peer_boots.clear()
            self._schedule_hello(address, HELLO_RETRIES)

    def _send_hello(self, address: str) -> None:
        if self._may_send_hello(address):
            self._write(address, self._frames.seal(HELLO, 0, b""))
            if address not in self._retrying:
                self._schedule_hello(address, HELLO_RETRIES)

    def _schedule_hello(self, address: str, attempts_left: int) -> None:
        self._retrying.discard(address)
        if attempts_left and address in self._pending and self._transport is not None:
            self._retrying.add(address)
            loop = asyncio.get_running_loop()
            loop.call_later(
                HELLO_RETRY_S, self._resend_hello, address, attempts_left - 1
            )

    def _resend_hello(self, address: str, attempts_left: int) -> None:
        if address in self._pending:
            self._write(address, self._frames.seal(HELLO, 0, b""))
        self._schedule_hello(address, attempts_left)

    def _may_send_hello(self, address: str) -> bool:
        now = time.monotonic()
        if now - self._last_hello.get(address, -1.0) < MIN_HELLO_INTERVAL_S:
            return False
        if len(self._last_hello) >= MAX_PEERS:
            self._last_hello.clear()
        self._last_hello[address] = now
        return True

    def _write(self, address: str, datagram: bytes) -> None:
        if self._transport is None:
            return
        target = parse_address(address)
        if target is None:
            log_event(113, peer=address)
            return
        self._sent += 1
        self._transport.sendto(datagram, target)


@lru_cache(maxsize=MAX_PEERS)
def parse_address(address: str) -> tuple[str, int] | None:
    """Return IP address and port, None if the address is malformed.

    Addresses may come from records of peers, and sending to a malformed one would
    close the socket.

    Parameters
    ----------
    address : str
        Peer address as ``ip:port``.

    Returns
    -------
    tuple of (str, int) or None
        Address in the form that the socket expects.
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        return None
    return (str(ip), number) if 0 < number <= 65535 else None
