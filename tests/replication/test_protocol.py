from __future__ import annotations

import asyncio

from geraniumbend.errors import (
    ConflictError,
    NotLeaderError,
    ProtocolError,
    UnavailableError,
)
from geraniumbend.replication import LogClient
from geraniumbend.replication._messages import MESSAGE_VERSION, method_name
from geraniumbend.wire import decode, encode, load_structs
from tests.replication.cluster import Cluster, ReplicationTestCase
from tests.replication.fakes import MemoryClients

STRUCTS = load_structs("replication")


class ProtocolTest(ReplicationTestCase):
    """Single messages to one follower, some of which only a faulty leader sends."""

    commands = ("first", "second")

    async def open_isolated_follower(self):
        cluster = await self.open()
        leader = await cluster.leader()
        name = next(name for name in cluster.nodes if name != leader.node)
        cluster.network.isolate(name, cluster.nodes)
        await cluster.run(0.6)
        return cluster, cluster.replicas[name]

    async def call(self, cluster, replica, action, request, response_type):
        handler = cluster.network.handlers[replica.node][method_name("config", action)]
        return decode(response_type, await cluster.finish(handler(encode(request))))

    def vote_request(self, replica, term, **changes):
        last = replica.dump()["last_index"]
        fields = {"candidate": "n9", "last_index": last, "last_term": 1, **changes}
        return STRUCTS.VoteRequest(
            version=MESSAGE_VERSION,
            cluster_id=replica.cluster_id,
            term=term,
            **{"is_trial": False, "is_transfer": False, **fields},
        )

    def append_request(self, replica, index, count, term):
        return STRUCTS.AppendRequest(
            version=MESSAGE_VERSION,
            cluster_id=replica.cluster_id,
            term=term,
            leader="n9",
            leader_address="n9",
            prev_index=index - 1,
            prev_term=1,
            entries=[
                STRUCTS.WireEntry(index=index + n, term=term, kind=0, data=b"x%d" % n)
                for n in range(count)
            ],
            commit_index=0,
        )

    async def test_replica_votes_once_in_a_term_also_after_a_crash(self):
        """Guards against two leaders in one term."""
        cluster, replica = await self.open_isolated_follower()
        first = self.vote_request(replica, 9)
        response_type = STRUCTS.VoteResponse
        self.assertTrue(
            (await self.call(cluster, replica, "vote", first, response_type)).granted
        )
        other = self.vote_request(replica, 9, candidate="n8")
        self.assertFalse(
            (await self.call(cluster, replica, "vote", other, response_type)).granted
        )
        node = replica.node
        await cluster.kill(node)
        await cluster.start(node)
        await cluster.run(0.6)
        replica = cluster.replicas[node]
        self.assertFalse(
            (await self.call(cluster, replica, "vote", other, response_type)).granted
        )
        self.assertTrue(
            (await self.call(cluster, replica, "vote", first, response_type)).granted
        )

    async def test_candidate_with_a_shorter_log_gets_no_vote(self):
        """Guards against a leader that lacks acknowledged entries."""
        cluster, replica = await self.open_isolated_follower()
        last = replica.dump()["last_index"]
        for is_pre_vote in (True, False):
            for changes in ({"last_index": last - 1}, {"last_term": 0}):
                request = self.vote_request(replica, 9, is_trial=is_pre_vote, **changes)
                response = await self.call(
                    cluster, replica, "vote", request, STRUCTS.VoteResponse
                )
                self.assertFalse(response.granted)

    async def test_voter_of_a_live_leader_grants_no_vote_also_after_a_restart(self):
        """Guards against an election within the lease of a live leader."""
        cluster = await self.open()
        leader = await cluster.leader()
        node = next(name for name in cluster.nodes if name != leader.node)
        for _ in range(2):
            replica = cluster.replicas[node]
            for is_pre_vote in (True, False):
                request = self.vote_request(replica, 9, is_trial=is_pre_vote)
                response = await self.call(
                    cluster, replica, "vote", request, STRUCTS.VoteResponse
                )
                self.assertFalse(response.granted)
                self.assertEqual(response.term, 1)
            await cluster.kill(node)
            await cluster.start(node)

    async def test_follower_acknowledges_only_what_survives_a_crash(self):
        """Guards against acknowledging entries before they are synced."""
        cluster, replica = await self.open_isolated_follower()
        last = replica.dump()["last_index"]
        request = self.append_request(replica, last + 1, 3, 9)
        disk = cluster.disks[replica.node]
        response = await self.call(
            cluster, replica, "append", request, STRUCTS.AppendResponse
        )
        self.assertEqual((response.success, response.match_index), (True, last + 3))
        disk.sync_fails = True
        with self.assertRaises(Exception) as caught:
            again = self.append_request(replica, last + 4, 1, 9)
            again.prev_term = 9
            await self.call(cluster, replica, "append", again, STRUCTS.AppendResponse)
        self.assertEqual(type(caught.exception).__name__, "StorageError")
        await cluster.kill(replica.node)
        await cluster.start(replica.node)
        dump = cluster.replicas[replica.node].dump()
        self.assertGreaterEqual(dump["last_index"], last + 3)
        self.assertEqual(dump["term"], 9)

    async def test_snapshot_inside_the_log_keeps_the_entries_behind_it(self):
        """Guards against losing acknowledged entries to a delayed snapshot."""
        cluster, replica = await self.open_isolated_follower()
        last = replica.dump()["last_index"]
        await self.call(
            cluster,
            replica,
            "append",
            self.append_request(replica, last + 1, 3, 9),
            STRUCTS.AppendResponse,
        )
        meta = STRUCTS.SnapshotMeta(
            index=last + 1,
            term=9,
            members=STRUCTS.WireMembers(cluster_id=replica.cluster_id, members=[]),
        )
        request = STRUCTS.SnapshotRequest(
            version=MESSAGE_VERSION,
            cluster_id=replica.cluster_id,
            term=9,
            leader="n9",
            leader_address="n9",
            meta=meta,
            offset=0,
            total=2,
            data=b"[]",
            checksum=0,
        )
        response = await self.call(
            cluster, replica, "snapshot", request, STRUCTS.SnapshotResponse
        )
        self.assertTrue(response.installed)
        self.assertEqual(replica.dump()["last_index"], last + 3)
        self.assertEqual(replica.commit_index, last + 1)

    async def test_leader_of_an_older_term_is_refused(self):
        cluster, replica = await self.open_isolated_follower()
        last = replica.dump()["last_index"]
        response_type = STRUCTS.AppendResponse
        await self.call(
            cluster,
            replica,
            "append",
            self.append_request(replica, last + 1, 1, 9),
            response_type,
        )
        response = await self.call(
            cluster,
            replica,
            "append",
            self.append_request(replica, last + 1, 1, 8),
            response_type,
        )
        self.assertFalse(response.success)
        self.assertEqual(response.term, 9)

    async def test_message_of_a_newer_release_is_refused(self):
        cluster, replica = await self.open_isolated_follower()
        request = self.vote_request(replica, 9)
        request.version = MESSAGE_VERSION + 1
        with self.assertRaises(ProtocolError):
            await self.call(cluster, replica, "vote", request, STRUCTS.VoteResponse)


class CommitTest(ReplicationTestCase):
    async def test_entry_of_earlier_term_commits_only_with_one_of_current_term(
        self,
    ):
        """Guards against overwriting an entry on a majority (Raft, figure 8)."""
        cluster = await self.open()
        replica = await cluster.leader()
        core, leading = replica._core, replica._leading
        await cluster.run(1)
        committed = core.commit_index
        core.append(core.log.get(committed)._replace(index=committed + 1, term=0))
        for peer in leading.peers.values():
            peer.match_index = committed + 1
        leading.advance_commit()
        self.assertEqual(core.commit_index, committed)

    async def test_member_list_changes_only_at_the_leader_and_from_the_newest(
        self,
    ):
        """Guards against a change based on an old list or made by an old leader."""
        cluster = await self.open()
        leader = await cluster.leader()
        old = leader._core.members
        await cluster.finish(leader.add_member("n4", "n4", voting=False))
        with self.assertRaises(ConflictError):
            await leader._leading.change_members(old, old)
        for replica in cluster.replicas.values():
            if replica is not leader:
                last = replica.dump()["last_index"]
                members = replica._core.members
                with self.assertRaises(NotLeaderError):
                    await replica._leading.change_members(members, members)
                self.assertEqual(replica.dump()["last_index"], last)

    async def test_client_sends_a_call_with_unknown_outcome_once(self):
        """Guards against a command that is applied twice after a lost response."""
        cluster = Cluster(3)
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        clients = MemoryClients(cluster.network, "outside")
        client = LogClient("config", sorted(cluster.voters), clients, cluster.timers)
        await cluster.finish(client.propose(b"first"))
        leader = await cluster.leader()
        cluster.disks[leader.node].fail_at = 0
        attempt = asyncio.ensure_future(client.propose(b"second", timeout_s=9.0))
        await cluster.run(0.002, step=0.001)
        await cluster.kill(leader.node)
        with self.assertRaises(UnavailableError):
            await cluster.finish(attempt)
        sent = [call for call in cluster.network.calls if call[2].endswith("propose")]
        self.assertEqual(len(sent), 2)
