from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import ConflictError, ProtocolError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._gossip import RENEW
from geraniumbend.membership._records import SERVER, TOMBSTONE_S, Entry, Record
from geraniumbend.membership._values import (
    DEREGISTERED,
    EXPIRED,
    FINAL_VERSION,
    LIVE,
    MAX_LEASE_S,
    Announcement,
    decode_server,
    encode_server,
    server_record,
)

if TYPE_CHECKING:
    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._members import Member, MemberTable
    from geraniumbend.membership._records import RecordTable
    from geraniumbend.membership._view import ServerView
    from geraniumbend.timers import TimerService

LEASE = struct.Struct("!I")
MIN_LEASE_S = 1.0
# Versions of a record for each number that a server gives its announcements; gateways
# that contradict an expiry use those in between.
VERSIONS_PER_SEQUENCE = 1 << 9
# The record has to fit into one datagram.
MAX_CONTENT_BYTES = 960

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
    812, "backend_server_deregistered", "info", "A backend server left in order."
)
declare_event(
    817,
    "announcement_late",
    "info",
    "An announcement arrived after a later one of the same start and was ignored.",
)


class ServerDirectory:
    """Leases of backend servers and their records.

    The gateway that received the last announcement vouches for the server: as long
    as that gateway lives and has not spread an expiry, the others keep the server,
    so renewals cost no gossip.

    Parameters
    ----------
    members : MemberTable
        States of the processes.
    table : RecordTable
        Store of the records.
    gossip : Gossip
        Spreads changes.
    view : ServerView
        What consumers see.
    timers : TimerService
        Clock.
    """

    def __init__(
        self,
        members: MemberTable,
        table: RecordTable,
        gossip: Gossip,
        view: ServerView,
        timers: TimerService,
    ) -> None:
        self._members = members
        self._table = table
        self._gossip = gossip
        self._view = view
        self._timers = timers
        self._leases: dict[str, float] = {}
        members.subscribe(self._watch_holder)
        gossip.handle(RENEW, self._take_renewal)

    def announce(self, announcement: Announcement) -> bool:
        """Take an announcement that reached this gateway.

        Parameters
        ----------
        announcement : Announcement
            The announcement.

        Returns
        -------
        bool
            Whether it changed what is known of the server.

        Raises
        ------
        ConflictError
            If a newer incarnation is known or this one was deregistered.
        ProtocolError
            If the lease is out of range or the labels are too long.
        """
        server = announcement.server
        _check_limits(announcement)
        entry = self._table.get(SERVER, "", server.server_id)
        known = None if entry is None else entry.record
        self._check_incarnation(server.server_id, server.incarnation, known)
        same = known is not None and known.major == server.incarnation
        minor = known.minor + 1 if same and known is not None else 1
        if announcement.sequence:
            minor = announcement.sequence * VERSIONS_PER_SEQUENCE
            if same and known is not None and minor < known.minor:
                log_event(
                    817,
                    server=server.server_id,
                    incarnation=server.incarnation,
                    sequence=announcement.sequence,
                    known=known.minor // VERSIONS_PER_SEQUENCE,
                )
                return False
            if same and known is not None:
                minor = max(minor, known.minor + 1)
        self._leases[server.server_id] = self._timers.now() + announcement.lease_s
        record = server_record(announcement, minor, LIVE, self._members.name)
        if (
            same
            and known is not None
            and known.state == LIVE
            and known.value == record.value
            and self._is_vouched(known)
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
        """Renew the lease at the gateway that vouches for an unchanged server.

        A server that sends each announcement to another gateway would otherwise
        cause a change that all gateways must learn with every renewal.
        """
        holder = self._members.members.get(record.origin)
        if record.origin == self._members.name or holder is None:
            return
        self._gossip.send(
            RENEW,
            holder.address,
            number=record.major,
            target=record.key,
            value=LEASE.pack(int(lease_s * 1000)),
        )

    def _take_renewal(self, address: str, message: Any) -> None:
        entry = self._table.get(SERVER, "", message.target)
        if entry is None or message.target not in self._leases:
            return
        value = message.value
        if entry.record.major != message.number or len(value) != LEASE.size:
            return
        lease_s = min(LEASE.unpack(value)[0] / 1000, MAX_LEASE_S)
        end = self._timers.now() + lease_s
        self._leases[message.target] = max(self._leases[message.target], end)

    def deregister(self, server_id: str, incarnation: int = 0) -> bool:
        """Deregister a backend server on all gateways.

        Parameters
        ----------
        server_id : str
            Name of the server.
        incarnation : int, default=0
            Incarnation that leaves; the known one when 0.

        Returns
        -------
        bool
            Whether the server was known or the incarnation was given.

        Raises
        ------
        ConflictError
            If a newer incarnation is known.
        """
        entry = self._table.get(SERVER, "", server_id)
        if entry is None:
            if not incarnation:
                return False
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
        """Take a record of a peer; returns whether it was new.

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
        if record.state == EXPIRED and self._reassert(record, entry):
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
            kept = self._is_vouched(record)
            self._store(record, None if kept else self._timers.now() + lifetime)
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

    def lifetime(self, record: Record) -> float:
        """Return the remaining lifetime that travels with a record, in seconds."""
        entry = self._table.get(SERVER, "", record.key)
        if entry is None or record.state != LIVE:
            return 0.0
        if entry.deadline is None:
            return decode_server(entry.record).lease_s
        return max(0.0, entry.deadline - self._timers.now())

    def expire_leases(self) -> None:
        """Spread the expiry of servers that stopped announcing themselves here."""
        now = self._timers.now()
        for server_id in [s for s, end in self._leases.items() if end <= now]:
            del self._leases[server_id]
            entry = self._table.get(SERVER, "", server_id)
            if entry is None or entry.record.state != LIVE:
                continue
            # Renewals that were forwarded leave a lease here as well; its end says
            # nothing while another gateway vouches.
            if entry.record.origin == self._members.name:
                self._lapse(entry)

    def expire(self, entry: Entry) -> None:
        """Handle a record whose local deadline passed."""
        if entry.record.state == LIVE:
            self._lapse(entry)
        else:
            self._table.remove(entry.record.identity)

    def hold_without_evidence(self, since: float) -> None:
        """Count the leases of others from the last moment this process ran.

        Parameters
        ----------
        since : float
            Local time of that moment, in seconds.
        """
        for entry in self._table.entries(SERVER):
            record = entry.record
            foreign = record.state == LIVE and record.key not in self._leases
            if foreign and entry.deadline is None:
                end = since + decode_server(record).lease_s
                self._table.set_deadline(entry, end)

    def trust_holders(self) -> None:
        """Keep the servers of live gateways again after a full synchronisation."""
        for entry in self._table.entries(SERVER):
            record = entry.record
            if record.state == LIVE and self._is_vouched(record):
                entry.deadline = None

    def holds(self, server_id: str) -> bool:
        """Return whether the server's lease is kept by this gateway."""
        return server_id in self._leases

    def held(self) -> int:
        """Return how many leases this gateway keeps."""
        return len(self._leases)

    def drop(self, entry: Entry) -> None:
        """Count a server as gone that a full synchronisation did not confirm."""
        if entry.record.state == LIVE and entry.record.key not in self._leases:
            self._lapse(entry, spread=False)

    def _lapse(self, entry: Entry, spread: bool | None = None) -> None:
        record = entry.record._replace(state=EXPIRED)
        self._store(record, self._timers.now() + TOMBSTONE_S)
        log_event(811, server=record.key, incarnation=record.major)
        # The others count the lease of a dead holder by their own clocks.
        own = record.origin == self._members.name
        if own if spread is None else spread:
            self._gossip.enqueue(record)

    def _reassert(self, record: Record, entry: Entry | None) -> bool:
        """Contradict an expiry when the server announces itself here."""
        lease = self._leases.get(record.key, 0.0)
        if entry is None or lease <= self._timers.now():
            return False
        if entry.record.state != LIVE or entry.record.major != record.major:
            return False
        again = entry.record._replace(minor=record.minor + 1, origin=self._members.name)
        self._store(again, None)
        self._gossip.enqueue(again)
        return True

    def _is_vouched(self, record: Record) -> bool:
        if record.origin == self._members.name:
            return record.key in self._leases
        holder = self._members.members.get(record.origin)
        return holder is not None and holder.live

    def _watch_holder(self, member: Member) -> None:
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

    def _store(self, record: Record, deadline: float | None) -> None:
        if record.state == DEREGISTERED and not record.value:
            announcement = None
        else:
            announcement = decode_server(record)
        self._table.put(record, deadline)
        self._view.apply(record, announcement)

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


def _check_limits(announcement: Announcement) -> None:
    if not MIN_LEASE_S <= announcement.lease_s <= MAX_LEASE_S:
        raise ProtocolError(
            f"lease of {announcement.lease_s:.3g} s is out of range",
            f"announce a lease from {MIN_LEASE_S:.0f} to {MAX_LEASE_S:.0f} s",
        )
    size = len(encode_server(announcement)) + len(announcement.server.server_id)
    if size > MAX_CONTENT_BYTES:
        raise ProtocolError(
            f"announcement needs {size} bytes, more than {MAX_CONTENT_BYTES}",
            "announce fewer or shorter labels",
        )
