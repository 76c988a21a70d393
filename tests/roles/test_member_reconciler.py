from __future__ import annotations

import unittest

import msgspec

from geraniumbend.errors import ConflictError, NotLeaderError, UnavailableError
from geraniumbend.replication import MemberState
from geraniumbend.roles._member_reconciler import (
    LEADERLESS_S,
    REPLACE_AFTER_S,
    REPLACE_BY_STANDBY_AFTER_S,
    STANDBY_LAG_ENTRIES,
    MemberReconciler,
)
from tests.fakes import StepTimers


def member(name, role="voter", is_live=True, match_index=0):
    return MemberState(name, name, role, False, is_live, match_index)


class FakeReplica:
    shard = "config"

    def __init__(self, *members, is_leader=True):
        self.member_list = list(members)
        self.is_leader = is_leader
        self.leader_silence_s = 0.0
        self.commit_index = 0
        self.removed = []
        self.promoted = []
        self.refuses_removal = False

    def members(self):
        return self.member_list

    async def remove_member(self, name):
        if self.refuses_removal:
            raise ConflictError("the majority would be lost")
        self.removed.append(name)
        self.member_list = [entry for entry in self.member_list if entry.name != name]

    async def promote_member(self, name):
        self.promoted.append(name)
        self.member_list = [
            entry._replace(becomes_voter=True) if entry.name == name else entry
            for entry in self.member_list
        ]


class FakeClients:
    def __init__(self):
        self.calls = []
        self.errors = {}

    async def call(self, address, method, body, timeout_s):
        self.calls.append((address, method, msgspec.json.decode(body)))
        error = self.errors.get(address)
        if error is not None:
            raise error
        return b""


class MemberReconcilerTest(unittest.IsolatedAsyncioTestCase):
    def build(self, replica, hosts=("a", "b"), target_voters=5):
        self.timers = StepTimers()
        self.clients = FakeClients()
        return MemberReconciler(
            [replica],
            "own",
            lambda: list(hosts),
            target_voters,
            self.clients,
            self.timers,
        )

    async def run_for(self, reconciler, seconds):
        for _ in range(round(seconds / 0.5)):
            await reconciler.reconcile()
            self.timers.step(0.5)

    async def test_non_member_asks_to_join_and_follows_the_leader(self):
        reconciler = self.build(FakeReplica(is_leader=False))
        self.clients.errors = {
            "a": NotLeaderError("a does not lead", "", "lead"),
            "b": UnavailableError("cut off"),
        }
        await self.run_for(reconciler, 1.0)
        asked = [address for address, _, _ in self.clients.calls]
        self.assertEqual(sorted(asked), ["a", "b", "lead"])
        self.assertEqual(self.clients.calls[0][2], ["config", "own"])

    async def test_member_does_not_ask_to_join(self):
        reconciler = self.build(FakeReplica(member("own"), is_leader=False))
        await self.run_for(reconciler, 2.0)
        self.assertEqual(self.clients.calls, [])

    async def test_member_that_knows_no_leader_asks_whether_it_still_is_one(self):
        """Guards against a host that was replaced while frozen and never comes back."""
        replica = FakeReplica(member("own"), member("b"), is_leader=False)
        reconciler = self.build(replica)
        replica.leader_silence_s = 0.99 * LEADERLESS_S
        await self.run_for(reconciler, 10.0)
        self.assertEqual(self.clients.calls, [])
        replica.leader_silence_s = LEADERLESS_S
        await self.run_for(reconciler, 2 * LEADERLESS_S)
        self.assertEqual([c[1] for c in self.clients.calls], ["control.join"] * 2)

    async def test_dead_voter_is_removed_only_after_it_was_replaced(self):
        voters = [member(name) for name in ("own", "b", "c", "d")]
        replica = FakeReplica(*voters, member("e", is_live=False))
        reconciler = self.build(replica)
        await self.run_for(reconciler, 2 * REPLACE_AFTER_S)
        self.assertEqual(replica.removed, [])
        replica.member_list.append(member("f"))
        await self.run_for(reconciler, 1.0)
        self.assertEqual(replica.removed, ["e"])

    async def test_short_outages_remove_no_member(self):
        voters = [member(name) for name in ("own", "b", "c", "d", "f")]
        replica = FakeReplica(*voters, member("e", is_live=False))
        reconciler = self.build(replica)
        await self.run_for(reconciler, REPLACE_AFTER_S - 1.0)
        replica.member_list[-1] = member("e")
        await self.run_for(reconciler, 1.0)
        replica.member_list[-1] = member("e", is_live=False)
        await self.run_for(reconciler, REPLACE_AFTER_S - 1.0)
        self.assertEqual(replica.removed, [])

    # A voter that was only cut off was removed before its successor voted; then the
    # loss of one disk left no majority of the voters, even when all were back.
    async def test_dead_voter_is_removed_once_its_successor_votes_and_not_before(self):
        voters = [member(name) for name in ("own", "b", "c", "d")]
        dead = member("e", is_live=False)
        replica = FakeReplica(*voters, dead, member("f", "learner"))
        reconciler = self.build(replica)
        await self.run_for(reconciler, REPLACE_BY_STANDBY_AFTER_S)
        self.assertEqual((replica.removed, replica.promoted), ([], []))
        await self.run_for(reconciler, 1.0)
        self.assertEqual((replica.removed, replica.promoted), ([], ["f"]))
        await self.run_for(reconciler, 2 * REPLACE_AFTER_S)
        self.assertEqual((replica.removed, replica.promoted), ([], ["f"]))
        replica.member_list[-1] = member("f")
        await self.run_for(reconciler, 0.5)
        self.assertEqual((replica.removed, replica.promoted), (["e"], ["f"]))

    # A removal at once for a successor would also take out a voter that has come back.
    async def test_voter_that_is_back_before_its_successor_votes_stays(self):
        voters = [member(name) for name in ("own", "b", "c", "d")]
        dead = member("e", is_live=False)
        replica = FakeReplica(*voters, member("f", "learner"), dead)
        reconciler = self.build(replica)
        await self.run_for(reconciler, REPLACE_BY_STANDBY_AFTER_S + 1.0)
        self.assertEqual(replica.promoted, ["f"])
        replica.member_list[-2:] = [member("f"), member("e")]
        await self.run_for(reconciler, 0.5)
        replica.member_list[-1] = dead
        await self.run_for(reconciler, REPLACE_AFTER_S - 1.0)
        self.assertEqual(replica.removed, [])
        await self.run_for(reconciler, 2.0)
        self.assertEqual(replica.removed, ["e"])

    # A host that was back before its successor voted left one voter too many; the next
    # one that was replaced then counted beside its successor for seconds.
    async def test_dead_voter_beyond_the_target_goes_at_once_for_a_standby(self):
        voters = [member(name) for name in ("own", "b", "c", "d", "f")]
        dead = member("e", is_live=False)
        replica = FakeReplica(*voters, dead, member("g", "learner"))
        reconciler = self.build(replica)
        await self.run_for(reconciler, REPLACE_BY_STANDBY_AFTER_S)
        self.assertEqual((replica.removed, replica.promoted), ([], []))
        await self.run_for(reconciler, 1.0)
        self.assertEqual((replica.removed, replica.promoted), (["e"], []))

    async def test_further_hosts_stay_on_standby(self):
        voters = [member(name) for name in ("own", "b", "c", "d", "e")]
        replica = FakeReplica(*voters, member("f", "learner"))
        reconciler = self.build(replica)
        await self.run_for(reconciler, 2 * REPLACE_AFTER_S)
        self.assertEqual((replica.removed, replica.promoted), ([], []))

    async def test_learner_that_lags_replaces_no_voter(self):
        voters = [member(name) for name in ("own", "b", "c", "d")]
        dead = member("e", is_live=False)
        replica = FakeReplica(*voters, dead, member("f", "learner"))
        replica.commit_index = STANDBY_LAG_ENTRIES + 1
        reconciler = self.build(replica)
        await self.run_for(reconciler, 2 * REPLACE_AFTER_S)
        self.assertEqual((replica.removed, replica.promoted), ([], []))

    async def test_dead_learner_is_removed_so_that_others_can_join(self):
        replica = FakeReplica(member("own"), member("x", "learner", is_live=False))
        reconciler = self.build(replica)
        await self.run_for(reconciler, REPLACE_AFTER_S + 2.0)
        self.assertEqual(replica.removed, ["x"])

    async def test_refused_removal_is_retried(self):
        voters = [member(name) for name in ("own", "b", "c", "d", "f")]
        replica = FakeReplica(*voters, member("e", is_live=False))
        replica.refuses_removal = True
        reconciler = self.build(replica)
        await self.run_for(reconciler, REPLACE_AFTER_S + 2.0)
        self.assertEqual(replica.removed, [])
        replica.refuses_removal = False
        await self.run_for(reconciler, 0.5)
        self.assertEqual(replica.removed, ["e"])
