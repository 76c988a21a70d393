"""Guards of member changes and of hosts that come back, each shown by itself."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from geraniumbend.errors import GeraniumbendError
from geraniumbend.replication._members import Member, MemberSet
from geraniumbend.replication._membership_changes import (
    CAUGHT_UP_ENTRIES,
    MembershipChanges,
)
from geraniumbend.settings import ControlSettings
from geraniumbend.wire import decode, encode, load_structs
from tests.replication.cluster import ReplicationTestCase
from tests.replication.fakes import MemoryDisk

TWO_LOSSES = ControlSettings(tolerated_losses=2)


class ReturningHostTest(ReplicationTestCase):
    async def open_with_emptied_host(self):
        """Return a cluster, its leader, and an empty host, with two hosts down."""
        cluster = await self.open(5, settings=TWO_LOSSES)
        await cluster.propose("a")
        leader = await cluster.leader()
        emptied, *down = [name for name in cluster.nodes if name != leader.node][:3]
        for name in down:
            await cluster.kill(name)
        await cluster.run(1.0)
        await cluster.kill(emptied)
        cluster.disks[emptied] = MemoryDisk()
        await cluster.start(emptied)
        return cluster, leader, emptied, down

    # The acknowledgement of a disk that has lost its log made up a majority, although
    # the entries before it are on two disks only.
    async def test_acknowledgements_of_an_emptied_voter_do_not_count(self):
        cluster, leader, _, down = await self.open_with_emptied_host()
        proposing = asyncio.ensure_future(self._propose(leader))
        await cluster.run(3.0)
        self.assertEqual(cluster.machines[leader.node].commands, ["a"])
        await cluster.start(down[0])
        await cluster.finish(proposing)
        await cluster.propose("c")
        self.assertEqual((await cluster.converge())[-1], "c")

    # A vote of a disk that had lost its log elected a leader without the last entries.
    async def test_vote_under_another_incarnation_is_not_counted(self):
        cluster = await self.open(3)
        leader = (await cluster.leader()).node
        one, two = [name for name in cluster.nodes if name != leader]
        await cluster.kill(leader)
        vote = "replication.config.vote"
        answer = cluster.network.handlers[two][vote]
        response_type = load_structs("replication").VoteResponse

        async def answer_as_emptied(body):
            response = decode(response_type, await answer(body))
            response.granted, response.incarnation = True, 77
            return encode(response)

        cluster.network.handlers[two][vote] = answer_as_emptied
        # Only the other voter asks for votes.
        cluster.replicas[two]._voter.is_campaigning = True
        await cluster.run(4.0)
        self.assertNotEqual(cluster.replicas[one].dump()["role"], "leader")

    async def _propose(self, leader):
        try:
            await leader.propose(b"b")
        except GeraniumbendError:
            return


class PromotionTest(ReplicationTestCase):
    def plan(self, match_index):
        """Return the plan of a leader whose learner holds entries up to an index."""
        learner = Member("n4", "n4", False, True, 0)
        members = MemberSet("id", 0, (Member("n1", "n1", True), learner))
        peer = SimpleNamespace(
            is_live=lambda: True, incarnation=5, match_index=match_index
        )
        core = SimpleNamespace(
            members=members, members_index=500, commit_index=500 + CAUGHT_UP_ENTRIES
        )
        leading = SimpleNamespace(peers={"n4": peer}, on_heartbeat=None)
        return MembershipChanges(core, leading)._plan_next_members()

    def plan_demotion(self, live):
        """Return the plan of a leader of five that hears an emptied voter.

        Voters whose numbers are in `live` have acknowledged it just now.
        """
        names = [f"n{number}" for number in range(1, 6)]
        voters = tuple(Member(name, name, True) for name in names)
        core = SimpleNamespace(
            node="n1",
            members=MemberSet("id", 0, voters),
            timers=SimpleNamespace(now=lambda: 100.0),
            election_timeout_s=0.5,
        )
        peers = {
            name: SimpleNamespace(
                is_live=lambda name=name: name in live,
                acknowledged_at=100.0 if name in live else 0.0,
                incarnation=7 if name == "n2" else 0,
            )
            for name in names[1:]
        }
        leading = SimpleNamespace(
            peers=peers,
            on_heartbeat=None,
            is_counted=lambda member: peers[member.name].incarnation == 0,
        )
        return MembershipChanges(core, leading)._plan_next_members()

    # A change of members that the live voters cannot commit would keep out all others.
    async def test_emptied_voter_is_demoted_only_with_a_live_majority(self):
        self.assertIsNone(self.plan_demotion({"n2", "n3"}))
        demoted = self.plan_demotion({"n2", "n3", "n4"})
        self.assertFalse(demoted.get("n2").is_voter)

    # A learner that had not received the change that made it one became a voter; it
    # could then vote for a leader without entries that its disk had acknowledged.
    async def test_learner_becomes_a_voter_only_once_it_has_caught_up(self):
        self.assertIsNone(self.plan(match_index=499))
        self.assertTrue(self.plan(match_index=500).get("n4").is_voter)
