from __future__ import annotations

import asyncio
import itertools
import unittest

from geraniumbend.configuration import ConfigurationStore
from geraniumbend.errors import ConfigurationError
from geraniumbend.model import CallerLimits, Configuration, Group, Rule, SplitPart
from geraniumbend.timers import ManualTimers
from tests.configuration.cluster import FakeCluster


def build(version, *rules, groups=("a", "b")):
    return Configuration(
        groups={name: Group(name, f"app={name}") for name in groups},
        rules={rule.name: rule for rule in rules},
        version=version,
        limits=CallerLimits(header_bytes=1000 + version),
    )


RULE = Rule("r", "a", split=(SplitPart("a", 9), SplitPart("b", 1)), wait_limit_s=1.5)


class ReplacementTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = FakeCluster(ManualTimers())

    async def replace(self, version, *rules, host="a", source=b"", **options):
        service = self.cluster.services[host]
        return await service.replace(
            build(version, *rules, **options), source or b"v%d" % version, "op"
        )

    def current(self, host="a"):
        return self.cluster.stores[host].current

    async def test_all_hosts_install_the_configuration_and_return_its_source(self):
        await self.replace(3, RULE, host="b", source=b"as sent")
        for host in ("a", "b", "c"):
            self.assertEqual(self.current(host).rules, {"r": RULE})
            self.assertEqual(self.current(host).version, 3)
            self.assertEqual(self.current(host).limits.header_bytes, 1003)
            self.assertEqual(
                await self.cluster.services[host].read_source(), b"as sent"
            )

    async def test_lower_and_equal_versions_are_acknowledged_and_change_nothing(self):
        await self.replace(5, RULE)
        before = self.current()
        for version in (0, 4, 5):
            outcome = await self.replace(version, Rule("x", "b"), source=b"other")
            self.assertTrue(outcome.repeated)
        self.assertIs(self.current(), before)
        self.assertEqual(await self.cluster.services["a"].read_source(), b"v5")

    async def test_resend_after_a_lost_response_is_acknowledged(self):
        self.cluster.responses_to_drop = 1
        sending = asyncio.ensure_future(self.replace(5, RULE))
        await self.cluster.timers.advance(0.2)
        outcome = await sending
        self.assertEqual(self.current().version, 5)
        self.assertEqual(outcome.revision, self.current().revision)

    async def test_invalid_configurations_are_not_installed(self):
        invalid = (
            Rule("r", "missing"),
            Rule("r", "a", split=(SplitPart("missing", 1),)),
            Rule("r", "a", split=(SplitPart("a", 0),)),
            Rule("r", "a", wait_limit_s=-1.0),
            Rule("r", "a", deadline_s=0.0),
        )
        for rule in invalid:
            with self.assertRaises(ConfigurationError):
                await self.replace(9, rule)
        self.assertEqual(self.current().version, -1)

    async def test_history_entry_has_only_the_differences(self):
        rules = [Rule(f"r{number}", "a") for number in range(50)]
        await self.replace(1, *rules)
        known = self.current().revision
        await self.replace(2, *rules[1:], RULE)
        (change,) = self.cluster.stores["a"].changes_since(known)
        self.assertLess(len(change.operations), 600)

    async def test_highest_version_wins_in_any_sequence_of_replacements(self):
        for versions in itertools.permutations((1, 2, 3)):
            cluster = self.cluster = FakeCluster(ManualTimers())
            highest = 0
            for version in versions:
                await self.replace(version, Rule(f"r{version}", "a"))
                highest = max(highest, version)
                self.assertEqual(self.current().version, highest)
            self.assertEqual(list(cluster.stores["c"].current.rules), ["r3"])

    async def test_snapshot_keeps_version_limits_and_source(self):
        await self.replace(4, RULE, source=b"as sent")
        store = ConfigurationStore()
        store.restore(self.cluster.stores["a"].snapshot())
        self.assertEqual(store.current, self.current())
        self.assertEqual(store.read_source(), b"as sent")
