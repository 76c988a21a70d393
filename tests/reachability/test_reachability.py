from __future__ import annotations

import unittest

from geraniumbend.reachability import SILENCE_S, LostLinks, Reachability
from geraniumbend.reachability._reachability import MAX_HOLD_S, MIN_HOLD_S
from tests.fakes import StepTimers

GROUPS = {"a": [f"a{n}" for n in range(6)], "b": [f"b{n}" for n in range(4)]}
SERVERS = [*GROUPS["a"], *GROUPS["b"]]
STEP_S = 0.05


class ReachabilityTest(unittest.TestCase):
    def setUp(self):
        self.timers = StepTimers()
        self.changes = 0
        self.links = Reachability(
            self.timers,
            lambda server: [server[0]],
            lambda group: len(GROUPS.get(group, SERVERS)),
            self.count_change,
        )

    def count_change(self):
        self.changes += 1

    def ask(self, seconds, reachable, servers=SERVERS, kind="answer"):
        """Ask servers in turn; return the groups that were lost at any time."""
        lost = set()
        for number in range(round(seconds / STEP_S)):
            for group in GROUPS:
                members = [s for s in servers if s[0] == group]
                if not members:
                    continue
                server = members[number % len(members)]
                self.links.begin(kind, server)
                if server in reachable:
                    self.links.succeed(kind, server)
            self.timers.step(STEP_S)
            lost |= {group for group in GROUPS if self.links.is_lost(group)}
        return lost

    # All servers silent for one gateway were judged one by one, over and over.
    def test_link_to_all_servers_is_lost_within_a_few_hundred_milliseconds(self):
        self.ask(1.0, SERVERS)
        self.assertEqual(self.ask(0.45, []), {"a", "b"})

    # A group with few requests was found seconds after the others.
    def test_link_to_all_servers_is_lost_for_a_group_without_requests(self):
        self.ask(1.0, SERVERS)
        self.assertEqual(self.ask(0.45, [], GROUPS["a"]), {"a", "b"})

    def test_links_to_one_group_are_judged_apart(self):
        self.assertEqual(self.ask(2.0, GROUPS["b"]), {"a"})

    # Half of the servers, or those of one failure domain, are lost servers: the others
    # still serve.
    def test_half_of_a_group_is_no_lost_link(self):
        self.assertEqual(self.ask(3.0, ["a0", "a1", "a2", "b0", "b1"]), set())

    def test_crashed_server_is_no_lost_link_however_long(self):
        self.ask(20.0, [server for server in SERVERS if server != "a0"])
        self.assertEqual(self.links.list_lost(), [])
        # Its old silence must not hide the loss of the others later.
        self.assertEqual(self.ask(0.45, []), {"a", "b"})

    # Open connections live on while new ones hang or are refused.
    def test_connections_and_answers_are_judged_apart(self):
        lost = set()
        for number in range(10):
            for server in GROUPS["a"][:3]:
                self.links.begin("connection", server)
                self.links.fail("connection", server)
            self.links.succeed("answer", GROUPS["a"][number % 6])
            self.timers.step(STEP_S)
            lost |= {group for group in GROUPS if self.links.is_lost(group)}
        self.assertEqual(lost, {"a"})

    def test_slow_answer_of_one_server_is_no_lost_link(self):
        self.links.begin("answer", "a0")
        self.timers.step(5.0)
        self.assertFalse(self.links.is_lost("a"))

    # After a pause of the process all answers were late, and the links counted as lost.
    def test_pause_of_the_process_is_no_lost_link(self):
        for server in SERVERS:
            self.links.begin("answer", server)
        self.timers.step(3.0)
        self.assertFalse(self.links.is_lost("a"))
        for server in SERVERS:
            self.links.succeed("answer", server)
        self.timers.step(0.1)
        self.assertFalse(self.links.is_lost("a"))

    def test_exchange_that_was_given_up_soon_tells_nothing(self):
        for server in GROUPS["a"]:
            self.links.begin("connection", server)
            self.links.abandon("connection", server)
        self.timers.step(1.0)
        self.assertFalse(self.links.is_lost("a"))

    def test_link_is_suspect_before_it_is_lost(self):
        for server in GROUPS["a"][:2]:
            self.links.begin("connection", server)
            self.links.fail("connection", server)
        self.assertTrue(self.links.is_suspect("a"))
        self.assertTrue(self.links.is_suspect("b"))
        self.assertFalse(self.links.is_lost("a"))
        self.links.succeed("connection", "a5")
        self.assertFalse(self.links.is_suspect("a"))

    def test_link_is_regained_only_by_several_servers(self):
        self.ask(0.5, GROUPS["b"])
        self.timers.step(MIN_HOLD_S)
        self.links.record_check("a", "a0")
        self.links.record_check("a", "a0")
        self.assertTrue(self.links.is_lost("a"))
        self.links.record_check("a", "a1")
        self.assertFalse(self.links.is_lost("a"))
        self.assertEqual(self.changes, 2)
        self.assertEqual(self.ask(1.0, SERVERS), set())

    # Servers whose probes wait for a slot answer no check in time while they are busy.
    def test_ordinary_answers_regain_a_link(self):
        self.ask(0.5, GROUPS["b"])
        self.assertTrue(self.links.is_lost("a"))
        self.ask(MIN_HOLD_S + 0.5, SERVERS)
        self.assertFalse(self.links.is_lost("a"))

    def test_answers_on_open_connections_regain_no_link_for_new_ones(self):
        for _ in range(10):
            for server in GROUPS["a"][:3]:
                self.links.begin("connection", server)
                self.links.fail("connection", server)
            self.links.succeed("answer", "b0")
            self.timers.step(STEP_S)
            self.links.is_lost("a")
        self.assertTrue(self.links.is_lost("a"))
        for _ in range(40):
            for server in GROUPS["a"]:
                self.links.succeed("answer", server)
            self.timers.step(STEP_S)
        self.assertTrue(self.links.is_lost("a"))

    # Groups counted as lost again at once, by what was asked while all links were lost.
    def test_all_links_are_regained_together(self):
        self.ask(0.8, [])
        self.timers.step(MIN_HOLD_S)
        lost = self.links.list_lost()
        for group in lost:
            for server in SERVERS[:2]:
                self.links.record_check(group, server)
        self.assertEqual([g for g in GROUPS if self.links.is_lost(g)], [])
        self.assertEqual(lost, ["*"])

    # A link that flaps each second would otherwise pass requests to and fro.
    def test_link_that_flaps_counts_as_lost_for_longer_each_time(self):
        held = []
        for _ in range(7):
            self.ask(SILENCE_S + 0.25, GROUPS["b"])
            self.assertTrue(self.links.is_lost("a"))
            waited = 0.0
            while self.links.is_lost("a"):
                self.timers.step(STEP_S)
                waited += STEP_S
                for server in ("a0", "a1"):
                    self.links.record_check("a", server)
            held.append(waited)
        self.assertLessEqual(held[0], MIN_HOLD_S + STEP_S)
        self.assertEqual(sorted(held), held)
        self.assertGreater(held[-1], 4 * held[0])
        self.assertLessEqual(held[-1], MAX_HOLD_S + STEP_S)


class FakeRecords:
    def __init__(self):
        self.values = {}
        self.spread = 0

    def publish(self, kind, key, value, lifetime_s):
        self.values[("own", key)] = (value, lifetime_s)
        return True

    def spread_now(self):
        self.spread += 1

    def records(self, kind):
        return {identity: value for identity, (value, _) in self.values.items()}


class LostLinksTest(unittest.TestCase):
    def test_lost_groups_are_published_and_withdrawn(self):
        records = FakeRecords()
        links = LostLinks(records)
        links.publish(["a", "b"])
        self.assertEqual(links.list_cut_off("a"), {"own"})
        self.assertEqual(links.list_cut_off("c"), set())
        links.publish([])
        self.assertEqual(records.values[("own", "")][1], 0.0)
        self.assertEqual(records.spread, 2)

    def test_names_that_do_not_fit_stand_for_all_groups(self):
        records = FakeRecords()
        LostLinks(records).publish([f"group-{number}" for number in range(690)])
        self.assertLess(len(records.values[("own", "")][0]), 900)
        self.assertEqual(LostLinks(records).list_cut_off("any"), {"own"})

    def test_malformed_records_are_ignored(self):
        records = FakeRecords()
        records.values[("x", "")] = (b"\xff", 1.0)
        records.values[("y", "")] = (b'{"a": 1}', 1.0)
        self.assertEqual(LostLinks(records).list_cut_off("a"), set())
