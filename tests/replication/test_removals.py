"""Removal of a member while another one lacks entries."""

from __future__ import annotations

from geraniumbend.errors import UnavailableError
from geraniumbend.settings import ControlSettings
from tests.replication.cluster import ReplicationTestCase


class RemovalTest(ReplicationTestCase):
    # A host left before the rest held what it had acknowledged.
    async def test_removal_is_not_confirmed_while_copies_of_a_change_are_missing(self):
        settings = ControlSettings(tolerated_losses=2)
        cluster = await self.open(4, settings=settings, latency_s=0.005)
        leader = await cluster.leader()
        others = [name for name in cluster.nodes if name != leader.node]
        behind, leaving, kept = others
        await cluster.kill(behind)
        await cluster.finish(leader.propose(b"one"))
        with self.assertRaises(UnavailableError):
            await cluster.finish(leader.remove_member(leaving))
        await cluster.start(behind)
        await cluster.until(lambda: cluster.machines[behind].commands == ["one"])
        await cluster.until(
            lambda: (
                leader.commit_index
                == cluster.replicas[kept].dump()["last_index"]
                == cluster.replicas[behind].dump()["last_index"]
            )
        )
