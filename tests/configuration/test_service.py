from __future__ import annotations

import asyncio
import unittest
import uuid

from geraniumbend.configuration import (
    ChangeConflictError,
    SetGroup,
    SetRule,
    parse_file,
)
from geraniumbend.errors import ConfigurationError, UnavailableError
from geraniumbend.model import Group, Rule
from geraniumbend.timers import ManualTimers
from tests.configuration.cluster import FakeCluster, FakeMember

FILE = '[groups.a]\nselector = "app=x"\n'


def new_id():
    return str(uuid.uuid4())


class ConfigurationServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.cluster = FakeCluster(self.timers)
        self.follower_host = self.cluster.services["b"]

    async def run_to_end(self, coroutine, limit_s=20):
        task = asyncio.ensure_future(coroutine)
        for _ in range(limit_s * 10):
            await self.timers.advance(0.1)
            if task.done():
                break
        return task.result()

    async def test_change_at_a_host_that_does_not_lead_is_relayed(self):
        outcome = await self.follower_host.apply(
            [SetGroup(Group("a", "app=x"))], 0, new_id(), "eva"
        )
        self.assertEqual(outcome.revision, 1)
        self.assertEqual(
            {s.current.revision for s in self.cluster.stores.values()}, {1}
        )

    async def test_change_whose_answer_was_lost_is_applied_once(self):
        self.cluster.lose_answers = 2
        outcome = await self.run_to_end(
            self.follower_host.apply(
                [SetGroup(Group("a", "app=x"))], 0, new_id(), "eva"
            )
        )
        self.assertEqual((outcome.revision, outcome.repeated), (1, True))
        self.assertEqual(self.cluster.stores["a"].current.revision, 1)

    async def test_of_two_equal_expected_revisions_one_wins_and_sees_the_value(self):
        racing = [
            service.apply([SetGroup(Group("a", f"app={name}"))], 0, new_id(), name)
            for name, service in self.cluster.services.items()
        ]
        results = await asyncio.gather(*racing, return_exceptions=True)
        lost = [r for r in results if isinstance(r, ChangeConflictError)]
        self.assertEqual(len(lost), 2)
        current = self.cluster.stores["a"].current
        self.assertEqual(
            lost[0].current["group a"]["selector"], current.groups["a"].selector
        )
        self.assertEqual(lost[0].current_revision, 1)

    async def test_resent_file_gets_the_first_outcome_after_other_changes(self):
        change_id, content = new_id(), parse_file(FILE)
        first = await self.follower_host.apply_file(content, False, change_id, "eva")
        again = await self.follower_host.apply_file(content, False, change_id, "eva")
        self.assertTrue(again.repeated)
        await self.follower_host.apply(
            [SetGroup(Group("a", "app=y"))], 1, new_id(), "max"
        )
        again = await self.cluster.services["c"].apply_file(
            content, False, change_id, "eva"
        )
        self.assertEqual((again.revision, again.repeated), (first.revision, True))
        self.assertEqual(self.cluster.stores["a"].current.groups["a"].selector, "app=y")

    async def test_rule_of_a_missing_group_leaves_nothing_of_its_change(self):
        steps = [SetGroup(Group("a", "app=x")), SetRule(Rule("r", "missing"))]
        with self.assertRaises(ConfigurationError):
            await self.follower_host.apply(steps, 0, new_id(), "eva")
        self.assertEqual(self.cluster.stores["a"].current.groups, {})

    async def test_change_without_leader_ends_as_unknown(self):
        self.cluster.leader = ""
        with self.assertRaises(UnavailableError) as caught:
            await self.run_to_end(
                self.follower_host.apply(
                    [SetGroup(Group("a", "app=x"))], 0, new_id(), "eva"
                )
            )
        self.assertIn("same change id", caught.exception.remedy)

    async def test_wait_names_the_live_gateways_without_the_revision(self):
        self.cluster.members_list = [
            FakeMember("g1", "gateway", 3),
            FakeMember("g2", "gateway", 2),
            FakeMember("c1", "control", 0),
        ]
        waiting = self.follower_host.wait_in_force(3, 1.0)
        self.assertEqual(await self.run_to_end(waiting), ["g2"])
        self.cluster.members_list[1] = FakeMember("g2", "gateway", 3)
        self.assertEqual(await self.follower_host.wait_in_force(3, 1.0), [])

    async def test_restored_backup_starts_above_all_old_revisions(self):
        service = self.follower_host
        await service.apply([SetGroup(Group("a", "app=x"))], 0, new_id(), "eva")
        document = service.store.backup()
        with self.assertRaises(ChangeConflictError):
            await service.restore(document, new_id(), "eva")
        fresh = FakeCluster(self.timers).services["c"]
        outcome = await fresh.restore(document, new_id(), "eva")
        self.assertGreater(outcome.revision, 1_000_000)
        self.assertEqual(fresh.store.current.groups, service.store.current.groups)
        with self.assertRaises(ConfigurationError):
            await fresh.restore({"format": 1}, new_id(), "eva")
