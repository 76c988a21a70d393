"""Comparison and exchange of records between two nodes."""

from __future__ import annotations

import random
import struct
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError, ProtocolError, UnavailableError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._record_batches import pack_batch, unpack_batch
from geraniumbend.membership._records import (
    BUCKET_COUNT,
    MEMBER,
    SERVER,
    Entry,
    Record,
    pack_record,
    unpack_records,
)
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

    from geraniumbend.membership._byte_budget import ByteBudget
    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._records import RecordTable
    from geraniumbend.ports import RpcCaller

DIGEST_METHOD = "membership.digest"
EXCHANGE_METHOD = "membership.exchange"
DIGEST_PAIR = struct.Struct("!QQ")
# Maximum pairs of key hash and version hash in one response. 128 records of about 120
# bytes are below one second of the byte budget, so one response does not stop a node
# from sending.
MAX_PAIRS = 128
MAX_ROUNDS = 200
MAX_GOSSIPED_RECORDS = 32
TIMEOUT_S = 1.0
# TCP and frame headers of one call, acknowledgement included.
CALL_OVERHEAD_BYTES = 150

declare_event(
    815, "anti_entropy_failed", "debug", "Synchronisation with a peer failed."
)


class AntiEntropy:
    """Compares records with one peer at a time and exchanges what differs.

    Parameters
    ----------
    node : str
        Name of this node.
    table : RecordTable
        Store of the records.
    gossip : Gossip
        Spreads new records.
    budget : ByteBudget
        Bytes that may be sent.
    clients : RpcCaller
        Calls peers.
    merge : callable
        Takes the sender's name and a record.
    outgoing : callable
        Returns a record with its remaining lifetime, or None when it must not be
        sent.
    drop : callable
        Takes an entry that a peer does not have.
    """

    def __init__(
        self,
        node: str,
        table: RecordTable,
        gossip: Gossip,
        budget: ByteBudget,
        clients: RpcCaller,
        merge: Callable[[str, Record], None],
        outgoing: Callable[[Record], Record | None],
        drop: Callable[[Entry], None],
    ) -> None:
        self._node = node
        self._table = table
        self._gossip = gossip
        self._byte_budget = budget
        self._clients = clients
        self._merge = merge
        self._outgoing = outgoing
        self._drop = drop
        self.serving = False
        self.differences_found = 0

    def register(self, server: Any) -> None:
        """Register the methods with an `adapters.rpc.RpcServer`."""
        server.handle(DIGEST_METHOD)(self._handle_digest)
        server.handle(EXCHANGE_METHOD)(self._handle_exchange)

    async def run(
        self, addresses: list[str], drop_unconfirmed: bool, budgeted: bool = True
    ) -> int:
        """Synchronise in rounds until nothing differs.

        Parameters
        ----------
        addresses : list of str
            Peer addresses; a transfer of many rounds rotates through them.
        drop_unconfirmed : bool
            Whether records of other nodes that the peer does not have are dropped
            instead of sent.
        budgeted : bool, default=True
            Whether to stop while the byte budget is used up. A joining process does
            not stop, and does not spread what it receives, since its peers know it.

        Returns
        -------
        int
            Number of completed rounds; 0 when no peer responded.
        """
        done = 0
        usable = list(addresses)
        while usable and done < MAX_ROUNDS:
            if budgeted and self._byte_budget.available() <= 0:
                break
            address = usable[done % len(usable)]
            try:
                more = await self._run_round(
                    address, drop_unconfirmed, drop_unconfirmed or not budgeted
                )
            except GeraniumbendError as error:
                log_event(815, peer=address, error=str(error))
                usable.remove(address)
                continue
            done += 1
            if not more:
                break
        return done

    async def _run_round(
        self, address: str, drop_unconfirmed: bool, suppress_spreading: bool
    ) -> bool:
        structs = load_structs("membership")
        own = self._table.get(MEMBER, "", self._node)
        members = [] if own is None else [pack_record(own.record)]
        request = structs.DigestRequest(
            sender=self._node, digests=self._table.digests(), members=members
        )
        body = await self._call(address, DIGEST_METHOD, encode(request))
        response = decode(structs.DigestResponse, body)
        peer_versions = _unpack_pairs(response.entries or b"")
        wanted, pushed = [], []
        for index in response.buckets or []:
            if not 0 <= index < BUCKET_COUNT:
                raise ProtocolError("digest response names an unknown bucket")
            for key_hash, entry in list(self._table.bucket(index).items()):
                if peer_versions.get(key_hash) == entry.version_hash:
                    continue
                if (
                    drop_unconfirmed
                    and key_hash not in peer_versions
                    and self._is_foreign(entry)
                ):
                    self._drop(entry)
                elif not drop_unconfirmed or not self._is_foreign(entry):
                    pushed.append(entry.record)
        for key_hash, version in peer_versions.items():
            own_entry = self._table.get_by_hash(key_hash)
            if own_entry is None or own_entry.version_hash != version:
                wanted.append(key_hash)
        if not wanted and not pushed:
            return False
        self.differences_found += len(wanted) + len(pushed)
        message = self._build_exchange(
            pushed[:MAX_PAIRS], bool(response.accepts_packed)
        )
        message.wanted = struct.pack(f"!{len(wanted)}Q", *wanted)
        await self._exchange(address, message, suppress_spreading)
        return not response.complete or len(pushed) > MAX_PAIRS

    async def _exchange(
        self,
        address: str,
        message: Any,
        suppress_spreading: bool,
    ) -> None:
        body = await self._call(address, EXCHANGE_METHOD, encode(message))
        response = decode(load_structs("membership").ExchangeMessage, body)
        self._merge_all(address, _read_records(response), suppress_spreading)

    def _merge_all(
        self, sender: str, records: list[Record], suppress_spreading: bool
    ) -> None:
        # Records that a joining node receives are not new to the others. A large
        # difference, as after a partition, is left to anti-entropy, which sends a
        # record once per pair of nodes.
        with self._gossip.suppress_spreading(
            suppress_spreading or len(records) > MAX_GOSSIPED_RECORDS
        ):
            for record in records:
                self._merge(sender, record)

    def _is_foreign(self, entry: Entry) -> bool:
        record = entry.record
        if record.kind == MEMBER:
            return False
        writer = record.origin if record.kind == SERVER else record.owner
        return writer != self._node

    async def _call(self, address: str, method: str, body: bytes) -> bytes:
        self._byte_budget.charge(len(body) + CALL_OVERHEAD_BYTES)
        return await self._clients.call(address, method, body, TIMEOUT_S)

    async def _handle_digest(self, body: bytes) -> bytes:
        structs = load_structs("membership")
        request = decode(structs.DigestRequest, body)
        digests = request.digests
        if not isinstance(digests, bytes):
            raise ProtocolError("digest request without digests")
        self._check_serving()
        for record in unpack_records(request.members):
            self._merge(request.sender, record)
        pairs: list[bytes] = []
        buckets = self._table.differing_buckets(digests)
        random.shuffle(buckets)
        sent: list[int] = []
        for index in buckets:
            bucket = self._table.bucket(index)
            if sent and len(pairs) + len(bucket) > MAX_PAIRS:
                break
            sent.append(index)
            pairs.extend(DIGEST_PAIR.pack(k, e.version_hash) for k, e in bucket.items())
        response = structs.DigestResponse(
            entries=b"".join(pairs),
            complete=len(sent) == len(buckets),
            buckets=sent,
            accepts_packed=True,
        )
        return self._charge_response(encode(response))

    async def _handle_exchange(self, body: bytes) -> bytes:
        structs = load_structs("membership")
        message = decode(structs.ExchangeMessage, body)
        wanted = message.wanted or b""
        if len(wanted) % 8 or len(wanted) > 64 * MAX_PAIRS:
            raise ProtocolError("exchange message has too many or incomplete hashes")
        self._check_serving()
        self._merge_all("", _read_records(message), suppress_spreading=False)
        hashes = struct.unpack(f"!{len(wanted) // 8}Q", wanted)
        entries = [self._table.get_by_hash(key_hash) for key_hash in hashes]
        records = [entry.record for entry in entries if entry is not None]
        response = self._build_exchange(records, bool(message.accepts_packed))
        return self._charge_response(encode(response))

    def _build_exchange(self, records: list[Record], is_packed: bool) -> Any:
        """Return a message with records; packed ones only if the peer reads them."""
        outgoing = [self._outgoing(record) for record in records]
        sent = [record for record in outgoing if record is not None]
        structs = load_structs("membership")
        if is_packed:
            return structs.ExchangeMessage(
                packed_records=pack_batch(sent), accepts_packed=True
            )
        return structs.ExchangeMessage(
            records=[pack_record(record) for record in sent], accepts_packed=True
        )

    def _check_serving(self) -> None:
        # A limit of one second of debt leaves budget for acknowledgements of probes.
        indebted = self._byte_budget.available() < -self._byte_budget.rate
        if not self.serving or indebted:
            raise UnavailableError(
                "this process cannot serve anti-entropy requests at the moment",
                "synchronise with another peer or try again in a second",
            )

    def _charge_response(self, body: bytes) -> bytes:
        self._byte_budget.charge(len(body) + CALL_OVERHEAD_BYTES)
        return body


def _read_records(message: Any) -> list[Record]:
    packed = unpack_batch(message.packed_records) if message.packed_records else []
    return packed + unpack_records(message.records)


def _unpack_pairs(data: bytes) -> dict[int, int]:
    if len(data) % DIGEST_PAIR.size:
        raise ProtocolError("digest response ends with an incomplete pair")
    return dict(DIGEST_PAIR.iter_unpack(data))
