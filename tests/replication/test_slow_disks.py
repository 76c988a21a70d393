from __future__ import annotations

import asyncio

from geraniumbend.replication._messages import MESSAGE_VERSION, method_name
from geraniumbend.wire import decode, encode, load_structs
from tests.replication.cluster import Cluster, ReplicationTestCase
from tests.replication.fakes import SlowDisk

STRUCTS = load_structs("replication")


class SlowDiskTestCase(ReplicationTestCase):
    """Opens clusters on disks whose syncs take a time."""

    def create(self, sync_s, count=3, seed=1):
        """Return a cluster that does not run yet; `sync_s` is a list or one time."""
        asyncio.get_running_loop().set_debug(False)
        cluster = Cluster(count, seed=seed, latency_s=0.002)
        self.addAsyncCleanup(cluster.stop)
        times = sync_s if isinstance(sync_s, list) else [sync_s] * count
        for name, time_s in zip(cluster.voters, times, strict=True):
            cluster.disks[name] = SlowDisk(cluster.timers, time_s)
        return cluster

    async def start(self, cluster):
        """Start all replicas at the same time and wait until all run."""
        starts = asyncio.gather(*(cluster.start(name) for name in cluster.voters))
        await cluster.finish(starts)

    async def open_slow(self, sync_s, count=3, seed=1):
        """Return a cluster that has committed an entry before its disks became slow."""
        cluster = self.create(0.0, count, seed)
        await self.start(cluster)
        await cluster.propose("first")
        await cluster.converge()
        await cluster.run(1)
        self.set_sync_time(cluster, sync_s)
        return cluster

    def set_sync_time(self, cluster, sync_s):
        for disk in cluster.disks.values():
            disk.sync_s = sync_s

    async def measure_change(self, cluster, command, seconds):
        """Return how long a change takes until it is committed, in seconds."""
        started_at = cluster.timers.now()
        while True:
            left = seconds - (cluster.timers.now() - started_at)
            leaders = [
                name for name in cluster.nodes if cluster.replicas[name].is_leader
            ]
            if leaders:
                proposal = cluster.replicas[leaders[0]].propose(command)
                results = await cluster.finish(
                    asyncio.gather(proposal, return_exceptions=True), left
                )
                if not isinstance(results[0], Exception):
                    return cluster.timers.now() - started_at
            self.assertGreater(left, 0, f"no change was committed in {seconds} s")
            await cluster.run(0.02)

    def terms(self, cluster):
        return {replica.dump()["term"] for replica in cluster.replicas.values()}

    def vote_request(self, cluster, name, term, candidate):
        log = cluster.replicas[name]._core.log
        return STRUCTS.VoteRequest(
            version=MESSAGE_VERSION,
            cluster_id=cluster.replicas[name].cluster_id,
            term=term,
            candidate=candidate,
            last_index=log.last_index,
            last_term=log.last_term,
            is_trial=False,
            is_transfer=False,
        )

    async def call(self, cluster, name, action, request, response_type):
        handler = cluster.network.handlers[name][method_name("config", action)]
        return decode(response_type, await cluster.finish(handler(encode(request))))


class HeartbeatTest(SlowDiskTestCase):
    """Contact between leader and followers on slow disks."""

    async def test_leader_keeps_its_term_while_syncs_outlast_election_timeouts(self):
        """Guards against leaders that step down because followers wait for a sync."""
        for sync_s in (0.3, 0.7, 2.0):
            with self.subTest(sync_s=sync_s):
                cluster = await self.open_slow(sync_s)
                terms = self.terms(cluster)
                for number in range(4):
                    command = b"change-%d" % number
                    taken_s = await self.measure_change(cluster, command, 10)
                    self.assertLess(taken_s, 2 * sync_s + 0.5)
                self.assertEqual(self.terms(cluster), terms)

    async def test_entries_are_sent_once_while_the_peer_writes_them(self):
        """Guards against entries that are sent again because a sync takes long."""
        cluster = await self.open_slow(2.0)
        leader = await cluster.leader()
        name = next(name for name in cluster.nodes if name != leader.node)
        sent = self.record_entries(cluster, name)
        await self.measure_change(cluster, b"second", 10)
        await cluster.run(5)
        self.assertEqual(sent.count(leader.commit_index), 1)

    async def test_heartbeats_of_a_new_term_share_one_write_of_the_term(self):
        """Guards against a queue of writes that grows with each heartbeat."""
        cluster = await self.open_slow(0.5)
        name = (await self.isolate_follower(cluster)).node
        syncs = cluster.disks[name].syncs
        request = self.heartbeat(cluster, name, 9)
        calls = [
            asyncio.ensure_future(
                self.call(cluster, name, "append", request, STRUCTS.AppendResponse)
            )
            for _ in range(20)
        ]
        await cluster.finish(asyncio.gather(*calls), 60)
        await cluster.run(5)
        self.assertLessEqual(cluster.disks[name].syncs - syncs, 4)

    async def test_heartbeat_before_the_term_is_durable_confirms_no_entry(self):
        """Guards against entries that count although a crash resets their term."""
        cluster = await self.open_slow(0.5)
        follower = await self.isolate_follower(cluster)
        request = self.heartbeat(cluster, follower.node, 9)
        response = await self.call(
            cluster, follower.node, "append", request, STRUCTS.AppendResponse
        )
        self.assertTrue(response.success)
        self.assertEqual((response.term, response.match_index), (9, 0))
        await cluster.run(1.2)
        response = await self.call(
            cluster, follower.node, "append", request, STRUCTS.AppendResponse
        )
        self.assertEqual(response.match_index, request.prev_index)

    async def test_heartbeat_confirms_no_entry_that_is_being_written(self):
        """Guards against entries that count although a crash loses them."""
        cluster = await self.open_slow(0.5)
        follower = await self.isolate_follower(cluster)
        last = follower.dump()["last_index"]
        entry = STRUCTS.WireEntry(index=last + 1, term=9, kind=0, data=b"late")
        append = self.heartbeat(cluster, follower.node, 9, entries=[entry])
        handler = cluster.network.handlers[follower.node][
            method_name("config", "append")
        ]
        write = asyncio.ensure_future(handler(encode(append)))
        await cluster.until(lambda: follower.dump()["last_index"] == last + 1)
        request = self.heartbeat(
            cluster, follower.node, 9, prev_index=last + 1, prev_term=9
        )
        response = await self.call(
            cluster, follower.node, "append", request, STRUCTS.AppendResponse
        )
        self.assertTrue(response.success)
        self.assertEqual(response.match_index, last)
        await cluster.finish(write)
        response = await self.call(
            cluster, follower.node, "append", request, STRUCTS.AppendResponse
        )
        self.assertEqual(response.match_index, last + 1)

    async def test_lease_outlives_a_follower_that_answers_before_its_term_is_durable(
        self,
    ):
        """Guards against two leaders with a lease after the crash of a follower."""
        cluster = await self.open_slow(0.5)
        follower = await self.isolate_follower(cluster)
        old_term = follower.dump()["term"]
        request = self.heartbeat(cluster, follower.node, 9)
        await self.call(
            cluster, follower.node, "append", request, STRUCTS.AppendResponse
        )
        confirmed_at = cluster.timers.now()
        name = follower.node
        await cluster.kill(name)
        self.set_sync_time(cluster, 0.0)
        await cluster.start(name)
        cluster.network.isolate(name, cluster.voters)
        self.assertEqual(cluster.replicas[name].dump()["term"], old_term)
        lease_s = 0.67 * cluster.settings.election_timeout_s
        while cluster.timers.now() < confirmed_at + lease_s:
            vote = self.vote_request(cluster, name, old_term + 1, "n9")
            response = await self.call(
                cluster, name, "vote", vote, STRUCTS.VoteResponse
            )
            self.assertFalse(response.granted)
            await cluster.run(0.02)

    async def isolate_follower(self, cluster):
        """Cut a follower off until it has no leader, and return its replica."""
        leader = await cluster.leader()
        name = next(name for name in cluster.nodes if name != leader.node)
        cluster.network.isolate(name, cluster.nodes)
        await cluster.run(0.6)
        return cluster.replicas[name]

    def record_entries(self, cluster, name):
        """Return a list to which the index of each entry sent to a node is added."""
        sent = []
        method = method_name("config", "append")
        handler = cluster.network.handlers[name][method]

        async def record(body):
            request = decode(STRUCTS.AppendRequest, body)
            sent.extend(entry.index for entry in request.entries)
            return await handler(body)

        cluster.network.handlers[name][method] = record
        return sent

    def heartbeat(self, cluster, name, term, **changes):
        dump = cluster.replicas[name].dump()
        fields = {
            "prev_index": dump["last_index"],
            "prev_term": dump["term"],
            "entries": [],
            "commit_index": 0,
            **changes,
        }
        return STRUCTS.AppendRequest(
            version=MESSAGE_VERSION,
            cluster_id=dump["cluster_id"],
            term=term,
            leader="n9",
            leader_address="n9",
            **fields,
        )

    async def test_heartbeat_during_an_installation_keeps_votes_back(self):
        """Guards against a vote within a lease that the voter has just confirmed."""
        cluster = await self.open_slow(0.0)
        follower = await self.isolate_follower(cluster)
        follower._core.is_installing = True
        request = self.heartbeat(cluster, follower.node, 9)
        await self.call(
            cluster, follower.node, "append", request, STRUCTS.AppendResponse
        )
        follower._core.is_installing = False
        vote = self.vote_request(cluster, follower.node, 10, "n8")
        response = await self.call(
            cluster, follower.node, "vote", vote, STRUCTS.VoteResponse
        )
        self.assertFalse(response.granted)

    async def test_first_changes_do_not_wait_for_the_write_of_the_cluster_id(self):
        """Guards against a change that queues behind a write that nobody waits for."""
        cluster = self.create(1.0)
        await self.start(cluster)
        for number in range(5):
            taken_s = await self.measure_change(cluster, b"change-%d" % number, 12)
            if number:
                self.assertLess(taken_s, 2.5)


class ElectionTest(SlowDiskTestCase):
    """Elections whose votes take longer to write than an election timeout."""

    async def test_new_cluster_takes_changes_although_syncs_are_slow(self):
        """Guards against candidates that depose each other while votes are written."""
        for sync_s, count, limit_s in (
            (0.5, 3, 4),
            (0.5, 5, 4),
            (1, 3, 12),
            (1, 5, 12),
        ):
            for seed in range(3):
                with self.subTest(sync_s=sync_s, count=count, seed=seed):
                    cluster = self.create(sync_s, count, seed)
                    await self.start(cluster)
                    await self.measure_change(cluster, b"first", limit_s)
                    await self.measure_change(cluster, b"second", 4)
                    self.assertEqual(self.terms(cluster), {1})

    async def test_cluster_with_one_fast_disk_elects_a_leader(self):
        """Guards against campaigns that wait only as long as the own disk needs."""
        for seed in range(3):
            with self.subTest(seed=seed):
                cluster = self.create([0.005, 1, 1], seed=seed)
                await self.start(cluster)
                await self.measure_change(cluster, b"first", 12)
                await self.measure_change(cluster, b"second", 4)

    async def test_restarted_cluster_takes_changes_although_syncs_are_slow(self):
        """Guards against campaigns that end before a vote can be written."""
        cluster = await self.open_slow(1.0)
        for name in cluster.nodes:
            await cluster.kill(name)
        await self.start(cluster)
        await self.measure_change(cluster, b"second", 12)
        await self.measure_change(cluster, b"third", 4)

    async def test_voter_denies_pre_votes_while_it_writes_a_vote(self):
        """Guards against a campaign that undoes one whose votes are being written."""
        cluster, name = await self.open_isolated_voter()
        term = cluster.replicas[name].dump()["term"]
        handler = cluster.network.handlers[name][method_name("config", "vote")]
        request = self.vote_request(cluster, name, term + 1, "n9")
        vote = asyncio.ensure_future(handler(encode(request)))
        await cluster.run(0.2)
        self.assertFalse((await self.ask(cluster, name, term + 2, "n8", True)).granted)
        self.assertTrue((await self.ask(cluster, name, term + 2, "n9", True)).granted)
        await cluster.finish(vote)
        await cluster.run(2 * 2 * 0.5)
        self.assertTrue((await self.ask(cluster, name, term + 2, "n8", True)).granted)

    async def test_repeated_vote_request_with_a_shorter_log_is_denied(self):
        """Guards against a leader that restarted and lost entries after its request."""
        cluster, name = await self.open_isolated_voter()
        term = cluster.replicas[name].dump()["term"] + 1
        self.assertTrue((await self.ask(cluster, name, term, "n9")).granted)
        last_index = cluster.replicas[name].dump()["last_index"]
        response = await self.ask(cluster, name, term, "n9", last_index=last_index - 1)
        self.assertFalse(response.granted)

    async def test_voter_of_an_earlier_release_is_asked_after_the_own_vote(self):
        """Guards against two votes of a voter that does not compare the logs again."""
        cluster = await self.open_slow(0.0)
        leader = await cluster.leader()
        candidate, voter = [name for name in cluster.nodes if name != leader.node]
        asked = self.hide_new_fields(cluster, voter)
        await cluster.kill(leader.node)
        cluster.disks[candidate].sync_s = 0.5
        cluster.replicas[voter]._elections.campaign = self.skip_campaign
        await cluster.until(lambda: asked)
        core = cluster.replicas[candidate]._core
        self.assertEqual(core.saved_vote_state.voted_for, candidate)

    async def open_isolated_voter(self):
        """Return a cluster with slow disks and a voter that hears nobody."""
        cluster = await self.open_slow(0.5)
        leader = await cluster.leader()
        name = next(name for name in cluster.nodes if name != leader.node)
        cluster.replicas[name]._elections.campaign = self.skip_campaign
        cluster.network.isolate(name, cluster.nodes)
        await cluster.run(0.6)
        return cluster, name

    async def skip_campaign(self, is_transfer):
        """Stand in for a campaign of a voter that is to vote for others only."""

    async def ask(self, cluster, name, term, candidate, is_trial=False, **changes):
        request = self.vote_request(cluster, name, term, candidate)
        request.is_trial = is_trial
        for field, value in changes.items():
            setattr(request, field, value)
        return await self.call(cluster, name, "vote", request, STRUCTS.VoteResponse)

    def hide_new_fields(self, cluster, name):
        """Make a voter answer as earlier releases do; return its vote requests."""
        asked = []
        method = method_name("config", "vote")
        handler = cluster.network.handlers[name][method]

        async def answer(body):
            request = decode(STRUCTS.VoteRequest, body)
            if not request.is_trial:
                asked.append(request)
            response = decode(STRUCTS.VoteResponse, await handler(body))
            response.save_ms, response.rechecks_log = 0, False
            return encode(response)

        cluster.network.handlers[name][method] = answer
        return asked
