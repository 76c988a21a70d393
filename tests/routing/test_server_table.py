from __future__ import annotations

import unittest

from geraniumbend.model import Configuration, Group
from geraniumbend.routing import ServerTable
from geraniumbend.timers import ManualTimers
from tests.fakes import build_servers


def names(table, group):
    return sorted(view.server_id for view in table.views(group))


class ServerTableTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.table = ServerTable(self.timers)
        self.servers = build_servers(3, labels={"app": "x", "old": "1"})

    def update(self, selector="app=x", overrides=None, extra=None):
        groups = {"g": Group("g", selector)} | (extra or {})
        self.table.update(self.servers, Configuration(1, groups, {}, overrides or {}))

    def test_label_overrides_take_precedence_and_empty_ones_remove_labels(self):
        self.update(overrides={"s0": {"app": "y"}, "s1": {"app": ""}})
        self.assertEqual(names(self.table, "g"), ["s2"])
        self.update("app=x,!old", overrides={"s0": {"old": ""}})
        self.assertEqual(names(self.table, "g"), ["s0"])
        self.update()
        self.assertEqual(names(self.table, "g"), ["s0", "s1", "s2"])

    def test_changed_announced_label_moves_a_server_between_groups(self):
        other = {"h": Group("h", "app=y")}
        self.update(extra=other)
        moved = self.servers["s1"]._replace(labels={"app": "y"})
        self.servers = {**self.servers, "s1": moved}
        self.update(extra=other)
        self.assertEqual(names(self.table, "g"), ["s0", "s2"])
        self.assertEqual(names(self.table, "h"), ["s1"])
        self.assertEqual(self.table.view("s1").groups, ("h",))

    def test_removed_groups_and_servers_are_forgotten(self):
        self.update(extra={"h": Group("h", "")})
        del self.servers["s0"]
        self.update()
        self.assertEqual(self.table.views("h"), [])
        self.assertIsNone(self.table.view("s0"))
        self.assertEqual(self.table.view("s1").groups, ("g",))

    async def test_view_survives_updates_until_the_server_restarts(self):
        self.update()
        before = self.table.view("s0")
        self.assertEqual(before.ramp_weight(self.timers.now()), 1.0)
        self.update()
        self.assertIs(self.table.view("s0"), before)
        await self.timers.advance(60)
        restarted = self.servers["s0"]._replace(incarnation=1)
        self.servers = {**self.servers, "s0": restarted}
        self.update()
        after = self.table.view("s0")
        self.assertIsNot(after, before)
        self.assertIn(after, self.table.views("g"))
        self.assertLess(after.ramp_weight(self.timers.now()), 0.2)

    def test_draining_server_stays_a_member_but_is_not_available(self):
        self.servers["s0"] = self.servers["s0"]._replace(draining=True)
        self.update()
        self.assertEqual(len(self.table.views("g")), 3)
        self.assertEqual(len(self.table.available("g")), 2)
        self.assertEqual(self.table.slots("g"), 12)

    def test_connection_limit_of_a_group_overrides_the_announced_one(self):
        self.update(extra={"g": Group("g", "app=x", connection_limit=900)})
        self.assertEqual(self.table.view("s0").server.connection_limit, 900)
        self.update(extra={"g": Group("g", "app=x", connection_limit=300)})
        self.assertEqual(self.table.view("s0").server.connection_limit, 300)
        # A changed announcement does not replace the group's limit. Without a limit of
        # the group, the announced one applies.
        changed = self.servers["s0"]._replace(slots=9)
        self.servers = {**self.servers, "s0": changed}
        self.update(extra={"g": Group("g", "app=x", connection_limit=300)})
        self.assertEqual(self.table.view("s0").server.connection_limit, 300)
        self.update()
        self.assertEqual(self.table.view("s0").server.connection_limit, 220)
