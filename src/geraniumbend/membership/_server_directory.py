"""Leases and records of backend servers."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import ConflictError, ProtocolError, UnavailableError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._announced_warmups import AnnouncedWarmups
from geraniumbend.membership._gossip import RENEW
from geraniumbend.membership._records import SERVER, TOMBSTONE_S, Entry, Record
from geraniumbend.membership._server_records import (
    DEREGISTERED,
    EXPIRED,
    FINAL_VERSION,
    LIVE,
    MAX_LEASE_S,
    Announcement,
    build_server_record,
    decode_server,
    encode_server,
)

if TYPE_CHECKING:
    from geraniumbend.membership._eligible_servers import EligibleServers
    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._members import Member, MemberTable
    from geraniumbend.membership._records import RecordTable
    from geraniumbend.timers import TimerService

LEASE_FORMAT = struct.Struct("!I")
MIN_LEASE_S = 1.0
# Record versions reserved for each sequence number of an announcement. Nodes that
# override an expiry use the versions in between.
VERSIONS_PER_SEQUENCE = 1 << 9
# The record has to fit into one datagram.
MAX_CONTENT_BYTES = 960
# Bounds of the fields of a record.
MAX_INCARNATION = (1 << 63) - 1
MAX_COUNT = (1 << 31) - 1

declare_event(
    810, "backend_server_announced", "info", "A backend server is new or came back."
)
declare_event(
    811,
    "backend_server_expired",
    "warning",
    "A backend server stopped announcing itself; check its process.",
)
declare_event(
    812, "backend_server_deregistered", "info", "A backend server was deregistered."
)
declare_event(
    817,
    "announcement_late",
    "info",
    "An announcement arrived after a later one of its incarnation and was ignored.",
)


class ServerDirectory:
    """Leases of backend servers and their records.

    The node that wrote the latest version of a record is the lease holder of the
    server. As long as the lease holder is live and has not spread an expiry, the other
    nodes keep the server, so renewals cost no gossip.

    Parameters
    ----------
    members : MemberTable
        States of the processes.
    table : RecordTable
        Store of the records.
    gossip : Gossip
        Spreads changes.
    eligible_servers : EligibleServers
        Servers that may get requests; updated with each record.
    timers : TimerService
        Clock.
    server_limit : int, default=20000
        Servers that this node adds to the records at most.
    """

    def __init__(
        self,
        members: MemberTable,
        table: RecordTable,
        gossip: Gossip,
        eligible_servers: EligibleServers,
        timers: TimerService,
        server_limit: int = 20_000,
    ) -> None:
        self._server_limit = server_limit
        self.warmups = AnnouncedWarmups(timers)
        self._members = members
        self._table = table
        self._gossip = gossip
        self._eligible_servers = eligible_servers
        self._timers = timers
        self._leases: dict[str, float] = {}
        members.subscribe(self._update_holder_state)
        gossip.register_handler(RENEW, self._handle_renewal)

    def announce(self, announcement: Announcement) -> bool:
        """Record an announcement that this node received.

        Parameters
        ----------
        announcement : Announcement
            The announcement.

        Returns
        -------
        bool
            Whether it changed the record of the server.

        Raises
        ------
        ConflictError
            If a newer incarnation is known or this one was deregistered.
        ProtocolError
            If the lease is out of range or the labels are too long.
        UnavailableError
            If the server is new and as many are known as the limit permits.
        """
        server = self.warmups.settle(announcement.server)
        announcement = announcement._replace(server=server)
        _check_limits(announcement)
        entry = self._table.get(SERVER, "", server.server_id)
        known = None if entry is None else entry.record
        if known is None:
            self._check_room(server.server_id)
        self._check_incarnation(server.server_id, server.incarnation, known)
        same_incarnation = known is not None and known.major == server.incarnation
        minor = known.minor + 1 if same_incarnation and known is not None else 1
        if announcement.sequence:
            minor = announcement.sequence * VERSIONS_PER_SEQUENCE
            if same_incarnation and known is not None and minor < known.minor:
                log_event(
                    817,
                    server=server.server_id,
                    incarnation=server.incarnation,
                    sequence=announcement.sequence,
                    known=known.minor // VERSIONS_PER_SEQUENCE,
                )
                return False
            if same_incarnation and known is not None:
                minor = max(minor, known.minor + 1)
        self._leases[server.server_id] = self._timers.now() + announcement.lease_s
        record = build_server_record(announcement, minor, LIVE, self._members.name)
        if (
            same_incarnation
            and known is not None
            and known.state == LIVE
            and known.value == record.value
            and self._has_live_holder(known)
        ):
            if entry is not None:
                entry.deadline = None
            self._forward_renewal(known, announcement.lease_s)
            return False
        if known is None or known.state != LIVE:
            log_event(810, server=server.server_id, incarnation=server.incarnation)
        self._store(record, None)
        self._gossip.enqueue(record)
        return True

    def _forward_renewal(self, record: Record, lease_s: float) -> None:
        """Renew the lease of an unchanged server at its lease holder.

        Otherwise each renewal of a server that sends every announcement to another
        gateway would be a change that all gateways must learn.
        """
        holder = self._members.members.get(record.origin)
        if record.origin == self._members.name or holder is None:
            return
        self._gossip.send(
            RENEW,
            holder.address,
            number=record.major,
            target=record.key,
            value=LEASE_FORMAT.pack(int(lease_s * 1000)),
        )

    def _handle_renewal(self, address: str, message: Any) -> None:
        entry = self._table.get(SERVER, "", message.target)
        if entry is None or message.target not in self._leases:
            return
        value = message.value
        if entry.record.major != message.number or len(value) != LEASE_FORMAT.size:
            return
        lease_s = min(LEASE_FORMAT.unpack(value)[0] / 1000, MAX_LEASE_S)
        end = self._timers.now() + lease_s
        self._leases[message.target] = max(self._leases[message.target], end)

    def deregister(self, server_id: str, incarnation: int = 0) -> bool:
        """Deregister a backend server on all gateways.

        Parameters
        ----------
        server_id : str
            Name of the server.
        incarnation : int, default=0
            Incarnation to deregister; the known one when 0.

        Returns
        -------
        bool
            Whether the server was known or the incarnation was given.

        Raises
        ------
        ConflictError
            If a newer incarnation is known.
        UnavailableError
            If the server is not known and as many are as the limit permits.
        """
        if incarnation:
            _check_incarnation_range(incarnation)
        entry = self._table.get(SERVER, "", server_id)
        if entry is None:
            if not incarnation:
                return False
            self._check_room(server_id)
            value = b""
        else:
            value = entry.record.value
            if incarnation and incarnation < entry.record.major:
                raise ConflictError(
                    f"backend server {server_id!r} runs incarnation "
                    f"{entry.record.major}, newer than {incarnation}",
                    "deregister the newer incarnation, or leave it running",
                    entry.record.major,
                )
        major = incarnation or (entry.record.major if entry else 0)
        origin = self._members.name
        record = Record(
            SERVER, "", server_id, major, FINAL_VERSION, DEREGISTERED, origin, value, 0
        )
        self._leases.pop(server_id, None)
        if entry is None or record.order[:3] > entry.record.order[:3]:
            self._store(record, self._timers.now() + TOMBSTONE_S)
            self._gossip.enqueue(record)
            log_event(812, server=server_id, incarnation=major)
        return True

    def merge(self, record: Record) -> bool:
        """Merge a record of a peer; return whether it was new.

        Raises
        ------
        ProtocolError
            If the record is malformed.
        """
        if record.state > DEREGISTERED:
            raise ProtocolError("backend server record has an unknown state")
        entry = self._table.get(SERVER, "", record.key)
        if entry is not None and record.order <= entry.record.order:
            return False
        if record.state == EXPIRED and self._override_expiry(record, entry):
            return False
        if record.state != LIVE:
            self._leases.pop(record.key, None)
            self._store(record, self._timers.now() + TOMBSTONE_S)
        else:
            announcement = decode_server(record)
            if record.lifetime_s <= 0:
                return False
            if record.origin != self._members.name:
                self._leases.pop(record.key, None)
            lifetime = min(record.lifetime_s, announcement.lease_s)
            has_live_holder = self._has_live_holder(record)
            self._store(
                record, None if has_live_holder else self._timers.now() + lifetime
            )
        self._gossip.enqueue(record)
        return True

    def restore(self, record: Record) -> None:
        """Use a stored record until its lease ends or the server announces itself."""
        now = self._timers.now()
        if record.state == LIVE:
            record = record._replace(origin=self._members.name)
            self._leases[record.key] = now + decode_server(record).lease_s
            self._store(record, None)
        else:
            self._store(record, now + TOMBSTONE_S)
        self._gossip.enqueue(record)

    def restore_departure(self, record: Record) -> None:
        """Use a stored departure unless a peer knows as new a record of the server.

        A draining server that no peer knows gets no requests, so it is left out.
        """
        entry = self._table.get(SERVER, "", record.key)
        if entry is None:
            is_unknown = record.state == DEREGISTERED
        else:
            is_unknown = record.order[:3] > entry.record.order[:3]
        if is_unknown:
            self.restore(record)

    def lifetime(self, record: Record) -> float:
        """Return the remaining lifetime to send with a record, in seconds."""
        entry = self._table.get(SERVER, "", record.key)
        if entry is None or record.state != LIVE:
            return 0.0
        if entry.deadline is None:
            return decode_server(entry.record).lease_s
        return max(0.0, entry.deadline - self._timers.now())

    def expire_leases(self) -> None:
        """Spread the expiry of servers whose lease on this node has ended."""
        now = self._timers.now()
        for server_id in [s for s, end in self._leases.items() if end <= now]:
            del self._leases[server_id]
            entry = self._table.get(SERVER, "", server_id)
            if entry is None or entry.record.state != LIVE:
                continue
            # Forwarded renewals leave a lease here as well. Its end proves nothing
            # while another node is the lease holder.
            if entry.record.origin == self._members.name:
                self._mark_expired(entry)

    def expire(self, entry: Entry) -> None:
        """Expire a live record, or remove a tombstone, whose deadline has passed."""
        if entry.record.state == LIVE:
            self._mark_expired(entry)
        else:
            self._table.remove(entry.record.identity)

    def set_deadlines_from(self, since: float) -> None:
        """Let the leases of other lease holders end one lease time after `since`.

        Parameters
        ----------
        since : float
            Local time at which this process last ran, in seconds.
        """
        for entry in self._table.entries(SERVER):
            record = entry.record
            held_elsewhere = record.state == LIVE and record.key not in self._leases
            if held_elsewhere and entry.deadline is None:
                end = since + decode_server(record).lease_s
                self._table.set_deadline(entry, end)

    def keep_servers_of_live_holders(self) -> None:
        """Keep the servers of live lease holders after a full synchronisation."""
        for entry in self._table.entries(SERVER):
            record = entry.record
            if record.state == LIVE and self._has_live_holder(record):
                entry.deadline = None

    def deliver_changes(self) -> None:
        """Pass changes on to the subscribers at once, without coalescing them."""
        self._eligible_servers.deliver()

    def count_leases(self) -> int:
        """Return the number of leases on this node."""
        return len(self._leases)

    def drop_unconfirmed(self, entry: Entry) -> None:
        """Mark a server as expired that a full synchronisation did not confirm."""
        if entry.record.state == LIVE and entry.record.key not in self._leases:
            self._mark_expired(entry, spread=False)

    def _mark_expired(self, entry: Entry, spread: bool | None = None) -> None:
        record = entry.record._replace(state=EXPIRED)
        self._store(record, self._timers.now() + TOMBSTONE_S)
        log_event(811, server=record.key, incarnation=record.major)
        # Other nodes time the leases of a dead lease holder by their own clocks.
        is_holder = record.origin == self._members.name
        if is_holder if spread is None else spread:
            self._gossip.enqueue(record)

    def _override_expiry(self, record: Record, entry: Entry | None) -> bool:
        """Override an expiry if the server still announces itself to this node."""
        lease = self._leases.get(record.key, 0.0)
        if entry is None or lease <= self._timers.now():
            return False
        if entry.record.state != LIVE or entry.record.major != record.major:
            return False
        renewed = entry.record._replace(
            minor=record.minor + 1, origin=self._members.name
        )
        self._store(renewed, None)
        self._gossip.enqueue(renewed)
        return True

    def _has_live_holder(self, record: Record) -> bool:
        if record.origin == self._members.name:
            return record.key in self._leases
        holder = self._members.members.get(record.origin)
        return holder is not None and holder.live

    def _update_holder_state(self, member: Member) -> None:
        now = self._timers.now()
        for entry in self._table.entries(SERVER):
            record = entry.record
            if record.origin != member.name or record.state != LIVE:
                continue
            if member.name == self._members.name:
                continue
            if member.live:
                entry.deadline = None
            elif entry.deadline is None:
                lease = decode_server(record).lease_s
                self._table.set_deadline(entry, now + lease)

    def _check_room(self, server_id: str) -> None:
        """Refuse a further server when the records are full.

        Anybody who reaches the address can announce ever new servers.
        """
        if self._table.count(SERVER) >= self._server_limit:
            raise UnavailableError(
                f"backend server {server_id!r} is new, and {self._server_limit} are "
                "known already",
                "find out who announces so many, or raise peer.server_limit",
            )

    def _store(self, record: Record, deadline: float | None) -> None:
        if record.state == DEREGISTERED and not record.value:
            announcement = None
        else:
            announcement = decode_server(record)
        self._table.put(record, deadline)
        self._eligible_servers.apply(record, announcement)

    @staticmethod
    def _check_incarnation(
        server_id: str, incarnation: int, known: Record | None
    ) -> None:
        if known is None or incarnation > known.major:
            return
        if incarnation < known.major:
            raise ConflictError(
                f"backend server {server_id!r} is known under incarnation "
                f"{known.major}, newer than {incarnation}",
                "announce a higher incarnation, for example the start time",
                known.major,
            )
        if known.state == DEREGISTERED:
            raise ConflictError(
                f"incarnation {incarnation} of backend server {server_id!r} "
                "was deregistered",
                "announce a higher incarnation to come back",
                known.major,
            )


def _check_incarnation_range(incarnation: int) -> None:
    if not 0 < incarnation <= MAX_INCARNATION:
        raise ProtocolError(
            f"incarnation {incarnation:.3g} is out of range",
            f"use a number from 1 to {MAX_INCARNATION}",
        )


def _check_limits(announcement: Announcement) -> None:
    if not MIN_LEASE_S <= announcement.lease_s <= MAX_LEASE_S:
        raise ProtocolError(
            f"lease of {announcement.lease_s:.3g} s is out of range",
            f"announce a lease from {MIN_LEASE_S:.0f} to {MAX_LEASE_S:.0f} s",
        )
    server = announcement.server
    _check_incarnation_range(server.incarnation)
    if (
        not 0 < server.port <= 65535
        or not 0 < server.slots <= MAX_COUNT
        or not 0 < server.connection_limit <= MAX_COUNT
        or not server.host
    ):
        raise ProtocolError(
            "address, slots or connection limit is out of range",
            f"announce ports up to 65535, slots and connections up to {MAX_COUNT}",
        )
    size = len(encode_server(announcement)) + len(server.server_id)
    if size > MAX_CONTENT_BYTES:
        raise ProtocolError(
            f"announcement needs {size} bytes, more than {MAX_CONTENT_BYTES}",
            "announce fewer or shorter labels",
        )
