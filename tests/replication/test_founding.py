from __future__ import annotations

import asyncio
import unittest

from geraniumbend.errors import ProtocolError, UnavailableError
from geraniumbend.replication._files import VoteState, unpack_vote_state
from geraniumbend.replication._records import VOTE_MAGIC, pack_file
from geraniumbend.settings import ControlSettings
from geraniumbend.wire import encode, load_structs
from tests.replication.cluster import Cluster, ReplicationTestCase
from tests.replication.fakes import MemoryDisk

# Longer than the time in which the first entry of a leader arrives.
LATENCY_S = 0.1


class FoundingTest(ReplicationTestCase):
    """Guards against a voter that keeps the cluster id of an entry nobody committed."""

    async def found_with_two_leaders(self, seed):
        """Return a cluster whose first leader was cut off before its first entry."""
        cluster = Cluster(3, seed=seed, latency_s=LATENCY_S)
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        first = await cluster.leader()
        cluster.network.isolate(first.node, cluster.voters)
        others = [name for name in cluster.nodes if name != first.node]
        await cluster.until(
            lambda: any(cluster.replicas[name].is_leader for name in others)
        )
        return cluster, first.node

    async def test_first_leader_without_a_majority_joins_the_second_one(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                cluster, _ = await self.found_with_two_leaders(seed)
                cluster.network.heal()
                await cluster.propose("one")
                self.assertEqual(await cluster.converge(), ["one"])
                ids = {r.cluster_id for r in cluster.replicas.values()}
                self.assertEqual(len(ids), 1)

    async def test_first_leader_joins_the_second_one_after_a_restart(self):
        cluster, first = await self.found_with_two_leaders(seed=1)
        await cluster.stop_gracefully(first)
        cluster.network.heal()
        await cluster.start(first)
        await cluster.propose("one")
        self.assertEqual(await cluster.converge(), ["one"])

    async def test_request_of_another_cluster_is_refused_after_a_restart(self):
        """Guards against a restart that forgets which cluster the log belongs to."""
        cluster = await self.open(3)
        for name in cluster.nodes:
            await cluster.kill(name)
        await cluster.start("n1")
        core = cluster.replicas["n1"]._core
        request = load_structs("replication").VoteRequest(
            version=1, cluster_id="other", term=99, candidate="x"
        )
        with self.assertRaises(ProtocolError):
            core.check_request(request)


class DeafClients:
    """RpcCaller of a host that hears no answer."""

    async def call(self, address, method, body, timeout_s):
        raise UnavailableError(f"{method} timed out")


class LateFounderTest(ReplicationTestCase):
    """Founders that ask each other for their logs; the settings tolerate losses."""

    async def found_with_late_founder(self, tolerated):
        """Return a cluster whose third founder hears the others after they began."""
        asyncio.get_running_loop().set_debug(False)
        settings = ControlSettings(tolerated_losses=tolerated)
        cluster = Cluster(3, settings=settings, latency_s=0.005)
        self.addAsyncCleanup(cluster.stop)
        await cluster.start("n3")
        core = cluster.replicas["n3"]._core
        clients = core.clients
        core.clients = DeafClients()
        await cluster.start("n1", "n2")
        await cluster.run(3.0)
        core.clients = clients
        return cluster

    # No change was ever committed: each needed a copy of the founder that formed late,
    # whose copies did not count until a change of members was committed.
    async def test_founder_that_forms_late_does_not_block_the_log(self):
        for tolerated in (0, 1, 2):
            with self.subTest(tolerated=tolerated):
                cluster = await self.found_with_late_founder(tolerated)
                await cluster.propose("one")
                self.assertEqual(await cluster.converge(), ["one"])
                leader = await cluster.leader()
                await cluster.until(
                    lambda leader=leader: all(
                        member.role == "voter" for member in leader.members()
                    )
                )

    # What was acknowledged while the late founder was a learner stayed on two disks.
    async def test_late_founder_receives_what_was_acknowledged_without_it(self):
        cluster = await self.found_with_late_founder(2)
        commands = [str(number) for number in range(20)]
        await cluster.propose(*commands)
        await cluster.converge()
        await cluster.run(1.0)
        for name in cluster.nodes:
            await cluster.kill(name)
        cluster.disks["n1"] = MemoryDisk()
        await cluster.start()
        self.assertEqual(await cluster.converge(), commands)

    # Hosts could not join three voters of which one was gone, so that the log had too
    # few disks for ever.
    async def test_host_joins_while_too_few_voters_are_up_for_a_command(self):
        asyncio.get_running_loop().set_debug(False)
        settings = ControlSettings(tolerated_losses=2)
        cluster = await self.open(3, settings=settings)
        await cluster.kill("n3")
        await cluster.start("n4")
        leader = await cluster.leader()
        await cluster.finish(leader.add_member("n4", "n4"))
        await cluster.propose("one")
        self.assertEqual(await cluster.converge(), ["one"])

    # A list that two of three voters hold takes effect; a command must still wait.
    async def test_change_of_members_does_not_commit_the_commands_before_it(self):
        settings = ControlSettings(tolerated_losses=2)
        cluster = await self.open(3, settings=settings)
        await cluster.kill("n3")
        leader = await cluster.leader()
        proposing = asyncio.ensure_future(leader.propose(b"one"))
        await cluster.finish(leader.add_member("n9", "n9", voting=False))
        await cluster.run(1.0)
        self.assertFalse(proposing.done())
        self.assertEqual(cluster.machines[leader.node].commands, [])
        await cluster.start("n3")
        await cluster.finish(proposing)


class FirstStartTest(ReplicationTestCase):
    """Founders whose settings tell them that the whole system starts first."""

    settings = ControlSettings(tolerated_losses=2, is_first_start=True)

    async def start(self, *names):
        asyncio.get_running_loop().set_debug(False)
        cluster = Cluster(3, settings=self.settings, latency_s=0.005)
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(*names)
        return cluster

    # Two founders waited for ever for one that was gone before all had met.
    async def test_founder_that_never_starts_does_not_keep_the_others_from_forming(
        self,
    ):
        for absent in ("n1", "n2", "n3"):
            names = [name for name in ("n1", "n2", "n3") if name != absent]
            with self.subTest(absent=absent):
                cluster = await self.start(*names)
                leader = await cluster.leader()
                await cluster.start("n4")
                await cluster.finish(leader.add_member("n4", "n4"))
                await cluster.propose("one")
                self.assertEqual(await cluster.converge(), ["one"])

    async def test_founder_that_starts_late_votes_without_a_change_of_members(self):
        cluster = await self.start("n1", "n2")
        leader = await cluster.leader()
        await cluster.run(5.0)
        await cluster.start("n3")
        await cluster.propose("one")
        self.assertEqual(await cluster.converge(), ["one"])
        self.assertTrue(all(m.role == "voter" for m in leader.members()))
        self.assertEqual(cluster.replicas["n3"]._core.vote_state.incarnation, 0)

    # An emptied founder would vote again in a term in which it has voted.
    async def test_emptied_founder_forms_no_log_after_the_first_start(self):
        cluster = await self.start()
        await cluster.propose("one")
        for name in cluster.nodes:
            await cluster.kill(name)
        cluster.settings = ControlSettings(tolerated_losses=2, may_found=False)
        cluster.disks["n1"] = MemoryDisk()
        await cluster.start("n1")
        await cluster.run(3.0)
        vote_state = cluster.replicas["n1"]._core.vote_state
        self.assertFalse(vote_state.formed)
        self.assertNotEqual(vote_state.incarnation, 0)
        await cluster.start("n2", "n3")
        self.assertEqual(await cluster.converge(), ["one"])

    # A damaged log is a lost one, whatever the settings say of the start.
    async def test_damaged_founder_does_not_count_as_new(self):
        cluster = await self.start()
        await cluster.propose("one")
        await cluster.kill("n1")
        disk = cluster.disks["n1"]
        del disk.names["data/config/vote"]
        await cluster.start("n1")
        self.assertNotEqual(cluster.replicas["n1"]._core.vote_state.incarnation, 0)
        self.assertEqual(await cluster.converge(), ["one"])


class VoteFileTest(unittest.TestCase):
    def test_file_of_a_release_without_the_cluster_id_is_read(self):
        structs = load_structs("replication")
        struct = structs.VoteState(term=3, voted_for="n1", incarnation=0, formed=True)
        struct.cluster_id = None
        data = pack_file(VOTE_MAGIC, encode(struct))
        expected = VoteState(3, "n1", formed=True, cluster_id=None)
        self.assertEqual(unpack_vote_state(data, "x"), expected)
