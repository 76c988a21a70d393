from __future__ import annotations

from types import SimpleNamespace

from tests.replication.cluster import ReplicationTestCase

# A restarted voter grants no vote for 0.75 election timeouts, and its campaigns are at
# most 0.5 timeouts apart.
LONGEST_OUTAGE_TIMEOUTS = 1.25
NO_VOTE_TIMEOUTS = 0.7
# A campaign starts within half a timeout; another one follows if two met.
ALL_RESTARTED_TIMEOUTS = 0.7


class RestartTest(ReplicationTestCase):
    commands = ("one", "two")

    async def test_replicas_lost_together_soon_have_a_leader_again(self):
        """Guards against waiting for full election timeouts after a crash of all."""
        for seed in range(8):
            with self.subTest(seed=seed):
                cluster = await self.open(5, seed=seed)
                for name in cluster.nodes:
                    await cluster.kill(name)
                await cluster.start()
                await self.expect_leader(cluster)
                self.assertEqual(await cluster.converge(), ["one", "two"])

    async def test_hosts_that_return_one_by_one_have_a_leader_with_the_third(self):
        """Guards against a wait for a full election timeout after a lost election."""
        for seed in range(8):
            with self.subTest(seed=seed):
                cluster = await self.open(5, seed=seed)
                for name in cluster.nodes:
                    await cluster.kill(name)
                for name in ("n1", "n2"):
                    await cluster.start(name)
                await cluster.run(1.3)
                await cluster.start("n3")
                await self.expect_leader(cluster)

    async def test_leader_is_elected_at_once_when_all_voters_have_restarted(self):
        """Guards against a wait for a lease that no process can hold any more."""
        for seed in range(8):
            with self.subTest(seed=seed):
                cluster = await self.open(5, seed=seed)
                for name in cluster.nodes:
                    await cluster.kill(name)
                await cluster.start()
                await cluster.until(
                    lambda cluster=cluster: any(
                        replica.is_leader for replica in cluster.replicas.values()
                    ),
                    ALL_RESTARTED_TIMEOUTS * cluster.settings.election_timeout_s,
                )

    async def test_restarted_voters_wait_while_one_voter_is_silent(self):
        """Guards against a vote beside a leader that cannot be asked."""
        for seed in range(8):
            with self.subTest(seed=seed):
                cluster = await self.open(5, seed=seed)
                for name in cluster.nodes:
                    await cluster.kill(name)
                await cluster.start("n1", "n2", "n3", "n4")
                await cluster.run(
                    NO_VOTE_TIMEOUTS * cluster.settings.election_timeout_s
                )
                self.assertFalse(
                    any(replica.is_leader for replica in cluster.replicas.values())
                )

    async def test_voter_that_restarted_after_its_pre_vote_grants_no_vote(self):
        """Guards against a candidate that was paused between pre-vote and vote."""
        cluster = await self.open(3)
        leader = next(n for n in cluster.nodes if cluster.replicas[n].is_leader)
        voter = next(n for n in cluster.nodes if n != leader)
        await cluster.kill(voter)
        await cluster.start(voter)
        core = cluster.replicas[voter]._core
        request = SimpleNamespace(idle_session=core.session + 2)
        self.assertTrue(cluster.replicas[voter]._voter._may_have_leader(request))

    async def expect_leader(self, cluster):
        await cluster.until(
            lambda: any(replica.is_leader for replica in cluster.replicas.values()),
            LONGEST_OUTAGE_TIMEOUTS * cluster.settings.election_timeout_s,
        )

    async def test_restarted_voters_elect_nobody_within_the_lease_of_a_leader(self):
        """Guards against two leaders with a lease when voters restart quickly."""
        for seed in range(10):
            with self.subTest(seed=seed):
                cluster = await self.open_with_slow_leader(seed)
                cluster.network.isolate("n1", cluster.nodes)
                for name in ("n2", "n3"):
                    await cluster.kill(name)
                await cluster.start("n2", "n3")
                for _ in range(300):
                    await cluster.timers.advance(0.005)
                    leaders = [
                        name
                        for name in cluster.nodes
                        if cluster.replicas[name].is_leader
                    ]
                    self.assertLessEqual(len(leaders), 1, leaders)
                self.assertNotEqual(leaders, ["n1"])
