"""Load pattern: many rules are added at once, and gateways have links of 2 Mbit/s."""

from __future__ import annotations

import random
import unittest
import uuid

from geraniumbend.configuration import (
    ConfigurationFollower,
    ConfigurationView,
    SetGroup,
    SetRule,
)
from geraniumbend.errors import UnavailableError
from geraniumbend.model import Group, Rule, RuleMatch
from geraniumbend.timers import ManualTimers
from tests.configuration.cluster import FakeCluster

LINK_BYTES_PER_S = 250_000
RULES = 1_400
# Time in which an accepted configuration is in force everywhere, in seconds.
IN_FORCE_S = 2.0


class ThinLinkCluster(FakeCluster):
    """Responses take as long as the link needs; the caller gives up at its timeout."""

    sent_bytes = 0

    async def call(self, address, method, body, timeout_s):
        started_s = self.timers.now()
        response = await super().call(address, method, body, timeout_s)
        self.sent_bytes += len(response)
        waited_s = self.timers.now() - started_s
        transfer_s = len(response) / LINK_BYTES_PER_S
        if waited_s + transfer_s > timeout_s:
            await self.timers.sleep(max(0.0, timeout_s - waited_s))
            raise UnavailableError("no response")
        await self.timers.sleep(transfer_s)
        return response


def build_rules(rng):
    def word():
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))

    return [
        Rule(
            f"r-{word()}",
            "a",
            RuleMatch(path_prefix=f"/{word()}/", host=f"{word()}.example"),
            deadline_s=1.2,
        )
        for _ in range(RULES)
    ]


class ThinLinkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against polls that time out and fill the link with the next response."""

    async def test_many_new_rules_are_in_force_in_time(self):
        timers = ManualTimers()
        cluster = ThinLinkCluster(timers)
        view = ConfigurationView(timers)
        hosts = list(cluster.stores)
        follower = ConfigurationFollower("g1", hosts, cluster, view, timers)
        for service in cluster.services.values():
            service.start()
            self.addCleanup(service.stop)
        await timers.advance(1)
        leader = cluster.services[cluster.leader]
        await leader.apply([SetGroup(Group("a", "app=a"))], 0, str(uuid.uuid4()), "eva")
        follower.start()
        self.addAsyncCleanup(follower.stop)
        await timers.advance(1)
        self.assertEqual(view.current.revision, 1)
        steps = [SetRule(rule) for rule in build_rules(random.Random(1))]
        await leader.apply(steps, 1, str(uuid.uuid4()), "eva")
        await timers.advance(IN_FORCE_S)
        self.assertEqual(len(view.current.rules), RULES)
        self.assertLess(cluster.sent_bytes, IN_FORCE_S * LINK_BYTES_PER_S / 2)
