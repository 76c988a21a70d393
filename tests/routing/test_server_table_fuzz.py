from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.model import BackendServer, Configuration, Group
from geraniumbend.routing import ServerTable
from geraniumbend.timers import ManualTimers
from tests.fuzzing import fuzz

LABELS = st.dictionaries(
    st.sampled_from(["app", "tier"]), st.sampled_from(["a", "b"]), max_size=2
)
SERVERS = st.dictionaries(
    st.sampled_from(["s0", "s1", "s2"]),
    st.tuples(LABELS, st.integers(1, 2), st.booleans()),
    max_size=3,
)
SELECTORS = st.sampled_from(["app=a", "app in (a,b)", "tier", "!tier", "app!=b", ""])
GROUPS = st.dictionaries(st.sampled_from(["g", "h"]), SELECTORS, max_size=2)
OVERRIDES = st.dictionaries(
    st.sampled_from(["s0", "s1"]),
    st.dictionaries(st.just("app"), st.sampled_from(["", "a", "b"]), min_size=1),
    max_size=2,
)
# None keeps the servers or the groups of the step before. It is drawn explicitly,
# because equal values drawn by chance are too rare to test how an update skips
# unchanged servers.
KEEP = st.none()
STEPS = st.lists(
    st.tuples(KEEP | SERVERS, KEEP | GROUPS, OVERRIDES), min_size=2, max_size=5
)


def build_servers(drawn):
    return {
        name: BackendServer(
            name, "h", 1, labels=labels, incarnation=incarnation, draining=draining
        )
        for name, (labels, incarnation, draining) in drawn.items()
    }


def describe(table):
    return {
        group: (
            sorted(view.server for view in table.views(group)),
            sorted(view.server_id for view in table.available(group)),
        )
        for group in ("g", "h")
    }


class ServerTableUpdateTest(unittest.TestCase):
    @fuzz(max_examples=300)
    @given(STEPS)
    def test_table_updated_in_steps_equals_a_new_table(self, steps):
        table = ServerTable(ManualTimers())
        servers, groups = {}, {}
        for drawn_servers, drawn_groups, overrides in steps:
            if drawn_servers is not None:
                servers = build_servers(drawn_servers)
            if drawn_groups is not None:
                groups = {
                    name: Group(name, text) for name, text in drawn_groups.items()
                }
            configuration = Configuration(1, groups, {}, overrides)
            table.update(servers, configuration)
            fresh = ServerTable(ManualTimers())
            fresh.update(servers, configuration)
            self.assertEqual(describe(table), describe(fresh))
