from __future__ import annotations

import random
import struct
from typing import TYPE_CHECKING, Any

from geraniumbend.errors import GeraniumbendError, ProtocolError, UnavailableError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.membership._records import (
    BUCKETS,
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

    from geraniumbend.membership._budget import ByteBudget
    from geraniumbend.membership._gossip import Gossip
    from geraniumbend.membership._records import RecordTable
    from geraniumbend.ports import RpcCaller

DIGEST_METHOD = "membership.digest"
EXCHANGE_METHOD = "membership.exchange"
PAIR = struct.Struct("!QQ")
# Pairs in one response: 128 records of about 120 bytes are below one second of the
# byte budget, so that one answer does not silence a node.
MAX_PAIRS = 128
MAX_ROUNDS = 200
MAX_SPREAD = 32
TIMEOUT_S = 1.0
# TCP and frame headers of one call, acknowledgement included.
CALL_OVERHEAD_BYTES = 150

declare_event(
    815, "anti_entropy_failed", "debug", "A peer could not be synchronised with."
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
        Spreads what is new.
    budget : ByteBudget
        Bytes that may be sent.
    clients : RpcCaller
        Calls peers.
    merge : callable
        Takes the sender's name and a record.
    outgoing : callable
        Returns a record with its remaining lifetime, or None when it must not
        travel.
    drop : callable
        Takes an entry that a peer does not confirm.
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
        self._budget = budget
        self._clients = clients
        self._merge = merge
        self._outgoing = outgoing
        self._drop = drop
        self.answering = False
        self.moved = 0

    def register(self, server: Any) -> None:
        """Register the methods with an `adapters.rpc.RpcServer`."""
        server.handle(DIGEST_METHOD)(self._answer_digest)
        server.handle(EXCHANGE_METHOD)(self._answer_exchange)

    async def run(
        self, addresses: list[str], replace: bool, budgeted: bool = True
    ) -> int:
        """Synchronise in rounds until nothing differs.

        Parameters
        ----------
        addresses : list of str
            Peer addresses; a transfer of many rounds rotates through them.
        replace : bool
            Whether foreign records that a peer does not confirm are dropped
            instead of sent.
        budgeted : bool, default=True
            Whether to stop while the byte budget is used up. A process that joins does
            not, and spreads nothing that it learns, since the others know it.

        Returns
        -------
        int
            Rounds that were completed; 0 when no peer answered.
        """
        done = 0
        usable = list(addresses)
        while usable and done < MAX_ROUNDS:
            if budgeted and self._budget.available() <= 0:
                break
            address = usable[done % len(usable)]
            try:
                more = await self._round(address, replace, replace or not budgeted)
            except GeraniumbendError as error:
                log_event(815, peer=address, error=str(error))
                usable.remove(address)
                continue
            done += 1
            if not more:
                break
        return done

    async def _round(self, address: str, replace: bool, quiet: bool) -> bool:
        structs = load_structs("membership")
        own = self._table.get(MEMBER, "", self._node)
        members = [] if own is None else [pack_record(own.record)]
        request = structs.DigestRequest(
            sender=self._node, digests=self._table.digests(), members=members
        )
        body = await self._call(address, DIGEST_METHOD, encode(request))
        response = decode(structs.DigestResponse, body)
        theirs = _unpack_pairs(response.entries or b"")
        wanted, pushed = [], []
        for index in response.buckets or []:
            if not 0 <= index < BUCKETS:
                raise ProtocolError("digest response names an unknown bucket")
            for key_hash, entry in list(self._table.bucket(index).items()):
                if theirs.get(key_hash) == entry.version_hash:
                    continue
                if replace and key_hash not in theirs and self._is_foreign(entry):
                    self._drop(entry)
                elif not replace or not self._is_foreign(entry):
                    pushed.append(entry.record)
        for key_hash, version in theirs.items():
            entry_here = self._table.by_hash(key_hash)
            if entry_here is None or entry_here.version_hash != version:
                wanted.append(key_hash)
        if not wanted and not pushed:
            return False
        self.moved += len(wanted) + len(pushed)
        await self._exchange(address, wanted, pushed[:MAX_PAIRS], quiet)
        return not response.complete or len(pushed) > MAX_PAIRS

    async def _exchange(
        self, address: str, wanted: list[int], pushed: list[Record], quiet: bool
    ) -> None:
        structs = load_structs("membership")
        message = structs.ExchangeMessage(
            records=self._pack(pushed),
            wanted=struct.pack(f"!{len(wanted)}Q", *wanted),
        )
        body = await self._call(address, EXCHANGE_METHOD, encode(message))
        answer = decode(structs.ExchangeMessage, body)
        self._merge_all(address, unpack_records(answer.records), quiet)

    def _merge_all(self, sender: str, records: list[Record], quiet: bool) -> None:
        # What a joining node learns is not new to the others. A large difference, as
        # after a partition, travels by anti-entropy, which sends a record once a pair.
        with self._gossip.mute(quiet or len(records) > MAX_SPREAD):
            for record in records:
                self._merge(sender, record)

    def _is_foreign(self, entry: Entry) -> bool:
        record = entry.record
        if record.kind == MEMBER:
            return False
        writer = record.origin if record.kind == SERVER else record.owner
        return writer != self._node

    async def _call(self, address: str, method: str, body: bytes) -> bytes:
        self._budget.charge(len(body) + CALL_OVERHEAD_BYTES)
        return await self._clients.call(address, method, body, TIMEOUT_S)

    async def _answer_digest(self, body: bytes) -> bytes:
        structs = load_structs("membership")
        request = decode(structs.DigestRequest, body)
        digests = request.digests
        if not isinstance(digests, bytes):
            raise ProtocolError("digest request without digests")
        self._check_answering()
        for record in unpack_records(request.members):
            self._merge(request.sender, record)
        pairs: list[bytes] = []
        buckets = self._table.differing(digests)
        random.shuffle(buckets)
        sent: list[int] = []
        for index in buckets:
            bucket = self._table.bucket(index)
            if sent and len(pairs) + len(bucket) > MAX_PAIRS:
                break
            sent.append(index)
            pairs.extend(PAIR.pack(k, e.version_hash) for k, e in bucket.items())
        response = structs.DigestResponse(
            entries=b"".join(pairs), complete=len(sent) == len(buckets), buckets=sent
        )
        return self._charged(encode(response))

    async def _answer_exchange(self, body: bytes) -> bytes:
        structs = load_structs("membership")
        message = decode(structs.ExchangeMessage, body)
        wanted = message.wanted or b""
        if len(wanted) % 8 or len(wanted) > 64 * MAX_PAIRS:
            raise ProtocolError("exchange names too many records")
        self._check_answering()
        self._merge_all("", unpack_records(message.records), quiet=False)
        hashes = struct.unpack(f"!{len(wanted) // 8}Q", wanted)
        entries = [self._table.by_hash(key_hash) for key_hash in hashes]
        records = [entry.record for entry in entries if entry is not None]
        answer = structs.ExchangeMessage(records=self._pack(records))
        return self._charged(encode(answer))

    def _pack(self, records: list[Record]) -> list[Any]:
        outgoing = [self._outgoing(record) for record in records]
        return [pack_record(record) for record in outgoing if record is not None]

    def _check_answering(self) -> None:
        # Debt of one second leaves room for acknowledgements of probes.
        indebted = self._budget.available() < -self._budget.rate
        if not self.answering or indebted:
            raise UnavailableError(
                "this process does not synchronise others now",
                "ask another peer or try again in a second",
            )

    def _charged(self, body: bytes) -> bytes:
        self._budget.charge(len(body) + CALL_OVERHEAD_BYTES)
        return body


def _unpack_pairs(data: bytes) -> dict[int, int]:
    if len(data) % PAIR.size:
        raise ProtocolError("digest response has a torn pair")
    return dict(PAIR.iter_unpack(data))
