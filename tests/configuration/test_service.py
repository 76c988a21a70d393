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
from geraniumbend.wire import encode, load_structs
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

    async def test_change_at_a_follower_is_forwarded_to_the_leader(self):
        outcome = await self.follower_host.apply(
            [SetGroup(Group("a", "app=x"))], 0, new_id(), "eva"
        )
        self.assertEqual(outcome.revision, 1)
        self.assertEqual(
            {s.current.revision for s in self.cluster.stores.values()}, {1}
        )

    async def test_change_whose_response_was_lost_is_applied_once(self):
        self.cluster.responses_to_drop = 2
        outcome = await self.run_to_end(
            self.follower_host.apply(
                [SetGroup(Group("a", "app=x"))], 0, new_id(), "eva"
            )
        )
        self.assertEqual((outcome.revision, outcome.repeated), (1, True))
        self.assertEqual(self.cluster.stores["a"].current.revision, 1)

    async def test_one_of_concurrent_changes_is_accepted_and_others_get_its_value(self):
        requests = [
            service.apply([SetGroup(Group("a", f"app={name}"))], 0, new_id(), name)
            for name, service in self.cluster.services.items()
        ]
        results = await asyncio.gather(*requests, return_exceptions=True)
        conflicts = [r for r in results if isinstance(r, ChangeConflictError)]
        self.assertEqual(len(conflicts), 2)
        current = self.cluster.stores["a"].current
        self.assertEqual(
            conflicts[0].current["group a"]["selector"], current.groups["a"].selector
        )
        self.assertEqual(conflicts[0].current_revision, 1)

    async def test_resent_file_gets_the_first_outcome_after_other_changes(self):
        change_id, content = new_id(), parse_file(FILE)
        first = await self.follower_host.apply_file(content, False, change_id, "eva")
        resent = await self.follower_host.apply_file(content, False, change_id, "eva")
        self.assertTrue(resent.repeated)
        await self.follower_host.apply(
            [SetGroup(Group("a", "app=y"))], 1, new_id(), "max"
        )
        resent = await self.cluster.services["c"].apply_file(
            content, False, change_id, "eva"
        )
        self.assertEqual((resent.revision, resent.repeated), (first.revision, True))
        self.assertEqual(self.cluster.stores["a"].current.groups["a"].selector, "app=y")

    async def test_change_with_an_invalid_rule_is_not_applied_in_part(self):
        steps = [SetGroup(Group("a", "app=x")), SetRule(Rule("r", "missing"))]
        with self.assertRaises(ConfigurationError):
            await self.follower_host.apply(steps, 0, new_id(), "eva")
        self.assertEqual(self.cluster.stores["a"].current.groups, {})

    async def test_change_without_leader_fails_with_unknown_outcome(self):
        self.cluster.leader = ""
        with self.assertRaises(UnavailableError) as caught:
            await self.run_to_end(
                self.follower_host.apply(
                    [SetGroup(Group("a", "app=x"))], 0, new_id(), "eva"
                )
            )
        self.assertIn("same change id", caught.exception.remedy)

    async def test_change_whose_commit_outlasts_an_attempt_is_accepted(self):
        """Guards against changes that fail because a sync takes longer than a try."""
        self.cluster.commit_delay_s = 3.0
        started_at = self.timers.now()
        steps = [SetGroup(Group("a", "app=x"))]
        change = self.follower_host.apply(steps, 0, new_id(), "eva")
        self.assertEqual((await self.run_to_end(change)).revision, 1)
        self.assertLess(self.timers.now() - started_at, 3.5)

    async def test_change_at_a_host_that_has_not_joined_reaches_the_leader(self):
        """Guards against changes that fail at a host that no leader talks to."""
        self.cluster.partitioned = {"c"}
        self.cluster.members_list = [
            FakeMember(name, "control", 0, name) for name in ("c", "b", "a")
        ]
        for name in ("a", "b", "c"):
            self.serve_status(name, "" if name == "c" else "a")
        steps = [SetGroup(Group("a", "app=x"))]
        change = self.cluster.services["c"].apply(steps, 0, new_id(), "eva")
        self.assertEqual((await self.run_to_end(change)).revision, 1)

    def serve_status(self, name, leader):
        """Let a host answer which leader it knows."""
        status = load_structs("replication").StatusResponse(
            node=name, term=1, leader_address=leader, is_leader=name == leader
        )

        async def answer(body):
            return encode(status)

        self.cluster.handlers[name]["replication.config.status"] = answer

    async def test_repeated_bootstrap_appends_one_command_while_its_commit_waits(self):
        """Guards against a log that fills up while a sync keeps the first command."""
        self.cluster.commit_delay_s = 1.0
        calls = [
            asyncio.ensure_future(self.cluster.services["a"].bootstrap("id", 1))
            for _ in range(10)
        ]
        await self.run_to_end(asyncio.gather(*calls))
        self.assertEqual(self.cluster.index, 1)

    async def test_wait_returns_live_gateways_with_an_older_revision(self):
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
