"""Signed datagrams with protection against replay."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from geraniumbend._keys import TAG_BYTES
from geraniumbend.errors import AuthenticationError, ProtocolError

if TYPE_CHECKING:
    from geraniumbend.keys import KeyRing

MAGIC = b"GBU1"
HEADER = struct.Struct("!4sBBQQQQ")
DATA, HELLO, HELLO_RESPONSE = 0, 1, 2
# Largest payload that fits an Ethernet frame together with headers and tag.
MAX_PAYLOAD_BYTES = 1_400
# Replay window: sequence numbers below the highest one that are still accepted.
WINDOW = 1024
# Replay windows that are kept, one per sender.
MAX_SENDERS = 8192


class Frame(NamedTuple):
    """An authenticated datagram.

    Parameters
    ----------
    type : int
        `DATA`, `HELLO` or `HELLO_RESPONSE`.
    sender : int
        Hash of the sender's node name.
    sender_boot : int
        Boot time of the sender in nanoseconds.
    receiver_boot : int
        Boot time of the receiver as the sender knows it; 0 when unknown.
    payload : bytes
        Content.
    """

    type: int
    sender: int
    sender_boot: int
    receiver_boot: int
    payload: bytes


class _ReplayWindow:
    __slots__ = ("boot", "highest", "seen")

    def __init__(self, boot: int) -> None:
        self.boot = boot
        self.highest = 0
        self.seen = 0

    def admit(self, sequence: int) -> bool:
        if sequence > self.highest:
            shift = sequence - self.highest
            self.seen = ((self.seen << min(shift, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            self.highest = sequence
            return True
        offset = self.highest - sequence
        if offset >= WINDOW or self.seen >> offset & 1:
            return False
        self.seen |= 1 << offset
        return True


class DatagramFrames:
    """Signs and verifies datagrams of one node.

    A datagram carries the boot times of both nodes. A receiver drops the
    payload of datagrams that carry an earlier boot time of its own, so recorded ones
    cannot be replayed after its restart. Per sender it keeps a replay window of
    sequence numbers, for the latest boot only.

    Parameters
    ----------
    node : str
        Name of this node.
    keys : KeyRing
        Cluster keys.
    boot : int
        Boot time of this process in nanoseconds.
    """

    def __init__(self, node: str, keys: KeyRing, boot: int) -> None:
        self.boot = boot
        self.node_hash = xxhash.xxh64_intdigest(node.encode())
        self._keys = keys
        self._sequence = 0
        self._windows: dict[int, _ReplayWindow] = {}

    def seal(self, type: int, receiver_boot: int, payload: bytes) -> bytes:
        """Return a signed datagram.

        Parameters
        ----------
        type : int
            `DATA`, `HELLO` or `HELLO_RESPONSE`.
        receiver_boot : int
            Boot time of the receiver; 0 when unknown.
        payload : bytes
            Content, at most 1,400 bytes.

        Returns
        -------
        bytes
            Header, payload and tag.

        Raises
        ------
        ProtocolError
            If the content is too long.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ProtocolError(
                f"datagram of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES}",
                "send fewer records in one message",
            )
        self._sequence += 1
        header = HEADER.pack(
            MAGIC,
            self._keys.active,
            type,
            self.node_hash,
            self.boot,
            self._sequence,
            receiver_boot,
        )
        return b"".join((header, payload, self._keys.sign(header, payload)))

    def open(self, datagram: bytes) -> Frame:
        """Verify a datagram and return its content.

        Parameters
        ----------
        datagram : bytes
            Datagram as received.

        Returns
        -------
        Frame
            Content with the boot times.

        Raises
        ------
        ProtocolError
            If size or magic is wrong, or the datagram is a replay.
        AuthenticationError
            If the tag is wrong.
        """
        size = len(datagram) - HEADER.size - TAG_BYTES
        if not 0 <= size <= MAX_PAYLOAD_BYTES or datagram[:4] != MAGIC:
            raise ProtocolError(
                f"datagram of {len(datagram)} bytes is not a GBU1 frame",
                "check that the sender belongs to this cluster",
            )
        header = datagram[: HEADER.size]
        payload, tag = datagram[HEADER.size : -TAG_BYTES], datagram[-TAG_BYTES:]
        _, key, type, sender, boot, sequence, receiver_boot = HEADER.unpack(header)
        self._keys.verify(key, tag, header, payload)
        if type not in (DATA, HELLO, HELLO_RESPONSE) or sender == self.node_hash:
            raise ProtocolError(
                "datagram of unknown type or from this node's own name",
                "give each process its own name",
            )
        if receiver_boot == self.boot:
            self._check_replay(sender, boot, sequence)
        elif type == DATA:
            # `Datagrams` responds with the current boot time; the payload is unused.
            payload = b""
        return Frame(type, sender, boot, receiver_boot, payload)

    def raise_boot(self, boot: int) -> None:
        """Use a boot time above one that a peer has seen, and restart the numbering."""
        self.boot = boot + 1
        self._sequence = 0
        self._windows.clear()

    def _check_replay(self, sender: int, boot: int, sequence: int) -> None:
        window = self._windows.get(sender)
        if window is None or boot > window.boot:
            if window is None and len(self._windows) >= MAX_SENDERS:
                self._windows.pop(next(iter(self._windows)))
            window = self._windows[sender] = _ReplayWindow(boot)
        if boot < window.boot or not window.admit(sequence):
            raise AuthenticationError(
                "datagram was received before or is older than the replay window",
                "check for a network that duplicates datagrams and for replay attacks",
            )

    def known_boot(self, sender: int) -> int:
        """Return the latest boot time of a sender, 0 when unknown."""
        window = self._windows.get(sender)
        return 0 if window is None else window.boot
