"""Copies of departures on the disks of a majority of the voters."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from geraniumbend.errors import GeraniumbendError, ProtocolError, UnavailableError
from geraniumbend.membership._records import Record, pack_record, unpack_records
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._departure_log import DepartureLog
    from geraniumbend.membership._membership import Membership
    from geraniumbend.ports import RpcCaller
    from geraniumbend.timers import TimerService

T = TypeVar("T")

# Stores departures on the disk of the called host.
STORE_METHOD = "membership.store_departures"
# Stores departures on a majority of the voters' disks.
COPY_METHOD = "membership.copy_departures"
COPY_TIMEOUT_S = 0.5
# Number of departures whose copies are remembered, so that the repeated announcements
# of a draining server cost no further sync.
MAX_REMEMBERED = 4_096


class _Write(NamedTuple):
    """Write of a record on the disk of this host.

    Parameters
    ----------
    order : tuple
        Version of the record.
    task : asyncio.Task of None
        Ends when the record is durable.
    """

    order: tuple[int, int, int, str]
    task: asyncio.Task[None]

    def stores(self, record: Record) -> bool:
        """Return whether a version is being stored or has been."""
        has_failed = self.task.done() and (
            self.task.cancelled() or self.task.exception() is not None
        )
        return self.order == record.order and not has_failed


class DepartureCopies:
    """Copies of departures on the disks of the control hosts that vote.

    A departure that a majority of them has stored is known again after the end of all
    processes, also when as many disks are lost as the logs tolerate.

    Parameters
    ----------
    address : str
        Peer address of this host.
    log : DepartureLog
        Departures on the disk of this host.
    membership : Membership
        Records of the backend servers.
    clients : RpcCaller
        Calls the other control hosts.
    list_voters : callable
        Returns the peer addresses of the control hosts that vote.
    timers : TimerService
        Clock and delays.
    """

    def __init__(
        self,
        address: str,
        log: DepartureLog,
        membership: Membership,
        clients: RpcCaller,
        list_voters: Callable[[], list[str]],
        timers: TimerService,
    ) -> None:
        self._address = address
        self._log = log
        self._membership = membership
        self._clients = clients
        self._list_voters = list_voters
        self._timers = timers
        self._serving = False
        self._tasks: set[asyncio.Task[bool]] = set()
        self._copied: dict[str, tuple[int, int, int, str]] = {}
        self._writes: dict[str, _Write] = {}

    def register(self, server: Any) -> None:
        """Register the RPC methods with which other processes store departures."""
        server.handle(STORE_METHOD)(self._handle_store)
        server.handle(COPY_METHOD)(self._handle_copy)

    def start(self) -> None:
        """Store departures of other hosts from now on.

        Called after the stored departures have been restored, since the file may then
        be written anew from the records of the membership.
        """
        self._serving = True

    async def store(self, server_id: str, timeout_s: float) -> bool:
        """Store the record of a backend server on a majority of the voters' disks.

        Parameters
        ----------
        server_id : str
            Name of the backend server.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            Whether a majority has stored it.
        """
        record = self._membership.find_server_record(server_id)
        if record is None or self._copied.get(server_id) == record.order:
            return record is not None
        voters = self._list_voters()
        copies = {self._start_copy(address, record, timeout_s) for address in voters}
        is_stored = await self._wait_for_copies(copies, len(voters) // 2 + 1, timeout_s)
        if is_stored:
            self._remember(record)
        return is_stored

    def _start_copy(
        self, address: str, record: Record, timeout_s: float
    ) -> asyncio.Task[bool]:
        """Store a record on one disk; goes on when a majority has already stored it."""
        task = asyncio.ensure_future(self._copy(address, record, timeout_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _wait_for_copies(
        self, copies: set[asyncio.Task[bool]], needed: int, timeout_s: float
    ) -> bool:
        timeout: asyncio.Future[Any]
        timeout = asyncio.ensure_future(self._timers.sleep(timeout_s))
        pending: set[asyncio.Future[Any]] = {*copies}
        stored = 0
        try:
            while pending and stored < needed and not timeout.done():
                done, _ = await asyncio.wait(
                    {*pending, timeout}, return_when=asyncio.FIRST_COMPLETED
                )
                stored += sum(bool(copy.result()) for copy in done & pending)
                pending -= done
        finally:
            timeout.cancel()
        return stored >= needed

    async def _copy(self, address: str, record: Record, timeout_s: float) -> bool:
        try:
            if address == self._address:
                await self._write(record)
            else:
                body = pack_departure(record)
                await self._clients.call(address, STORE_METHOD, body, timeout_s)
        except ProtocolError:
            # A host of an earlier release lacks the method. It writes all records to
            # its disk periodically and cannot tell when.
            return True
        except GeraniumbendError:
            return False
        return True

    async def _write(self, record: Record) -> None:
        """Store a record on this host; repeated requests share one write.

        A sync may outlast the wait of each request. The write goes on meanwhile, and a
        later request finds it done.
        """
        write = self._writes.get(record.key)
        if write is None or not write.stores(record):
            task = asyncio.ensure_future(self._log.append(record))
            write = _Write(record.order, task)
            _replace_newest(self._writes, record.key, write)
        await asyncio.shield(write.task)

    def _remember(self, record: Record) -> None:
        _replace_newest(self._copied, record.key, record.order)

    async def _handle_store(self, body: bytes) -> bytes:
        records = self._receive(body)
        await asyncio.gather(*(self._write(record) for record in records))
        return b""

    async def _handle_copy(self, body: bytes) -> bytes:
        for record in self._receive(body):
            if not await self.store(record.key, COPY_TIMEOUT_S):
                raise UnavailableError(
                    f"too few control hosts stored the departure of {record.key!r}",
                    "send it again and check the disks of the control hosts",
                )
        return b""

    def _receive(self, body: bytes) -> list[Record]:
        if not self._serving:
            raise UnavailableError(
                "this host is starting", "store the departure on another host"
            )
        batch = decode(load_structs("membership").RecordBatch, body)
        records = unpack_records(batch.records)
        self._membership.merge_server_records(records)
        return records


def _replace_newest(items: dict[str, T], key: str, value: T) -> None:
    """Set an item and drop the oldest one if there are too many."""
    items.pop(key, None)
    items[key] = value
    if len(items) > MAX_REMEMBERED:
        del items[next(iter(items))]


def pack_departure(record: Record) -> bytes:
    """Return the body of a call that stores a departure."""
    structs = load_structs("membership")
    return encode(structs.RecordBatch(records=[pack_record(record)]))
