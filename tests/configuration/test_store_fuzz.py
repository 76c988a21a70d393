from __future__ import annotations

import unittest
import uuid

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from geraniumbend.configuration import (
    ConfigurationStore,
    DeleteGroup,
    DeleteRule,
    SetGroup,
    SetLabels,
    SetRule,
)
from geraniumbend.configuration._operations import encode_operations
from geraniumbend.model import Group, Rule
from geraniumbend.wire import decode, encode, load_structs
from tests.fuzzing import fuzz

NAMES = st.sampled_from(["a", "b", "c"])
OPERATIONS = st.one_of(
    st.builds(lambda n, v: SetGroup(Group(n, f"app={v}")), NAMES, NAMES),
    st.builds(DeleteGroup, NAMES),
    st.builds(lambda n, g: SetRule(Rule(n, g)), NAMES, NAMES),
    st.builds(DeleteRule, NAMES),
    st.builds(lambda n, v: SetLabels(n, {"tier": v}), NAMES, NAMES),
)
CHANGES = st.lists(OPERATIONS, min_size=1, max_size=3)


class Oracle:
    """Reference model: three dicts, and the first outcome of each change id."""

    def __init__(self):
        self.groups, self.rules, self.labels = {}, {}, {}
        self.revision = 0
        self.outcomes = {}

    def apply(self, change_id, expected, operations):
        if change_id not in self.outcomes:
            self.outcomes[change_id] = self._attempt(expected, operations)
        return self.outcomes[change_id]

    def _attempt(self, expected, operations):
        if expected != self.revision:
            return "conflict", self.revision
        groups, rules, labels = dict(self.groups), dict(self.rules), dict(self.labels)
        for step in operations:
            if isinstance(step, SetGroup):
                groups[step.group.name] = step.group.selector
            elif isinstance(step, SetRule):
                rules[step.rule.name] = step.rule.group
            elif isinstance(step, SetLabels):
                labels[step.server_id] = step.labels["tier"]
            else:
                table = groups if isinstance(step, DeleteGroup) else rules
                if step.name not in table:
                    return "invalid", self.revision
                del table[step.name]
        if not set(rules.values()) <= set(groups):
            return "invalid", self.revision
        self.groups, self.rules, self.labels = groups, rules, labels
        self.revision += 1
        return "applied", self.revision


class RacingOperators(RuleBasedStateMachine):
    """Two operators send and resend changes; one replica restarts from snapshots."""

    def __init__(self):
        super().__init__()
        self.oracle = Oracle()
        self.steady, self.restarted = ConfigurationStore(), ConfigurationStore()
        self.known = {"first": 0, "second": 0}
        self.sent = []
        self.index = 0

    @rule(operator=st.sampled_from(["first", "second"]))
    def read_revision(self, operator):
        self.known[operator] = self.oracle.revision

    @rule(operator=st.sampled_from(["first", "second"]), operations=CHANGES)
    def change(self, operator, operations):
        change_id = str(uuid.UUID(int=len(self.sent)))
        request = (change_id, self.known[operator], operations)
        self.sent.append(request)
        self._send(*request)

    @rule(data=st.data())
    def resend(self, data):
        if self.sent:
            self._send(*data.draw(st.sampled_from(self.sent)), resent=True)

    @rule()
    def restart_from_snapshot(self):
        snapshot = self.restarted.snapshot()
        self.restarted = ConfigurationStore()
        self.restarted.restore(snapshot)

    def _send(self, change_id, expected, operations, resent=False):
        structs = load_structs("configuration")
        self.index += 1
        command = encode(
            structs.Command(
                change=structs.Change(
                    change_id=change_id,
                    expected_revision=expected,
                    operations=encode_operations(operations),
                    operator="fuzz",
                    time_ms=self.index,
                )
            )
        )
        outcomes = [
            store.apply(self.index, command) for store in (self.steady, self.restarted)
        ]
        assert outcomes[0] == outcomes[1], "replicas return different outcomes"
        outcome = decode(structs.Outcome, outcomes[0])
        assert (outcome.state, outcome.revision) == self.oracle.apply(
            change_id, expected, operations
        )
        assert outcome.repeated == resent
        self._compare()

    def _compare(self):
        for store in (self.steady, self.restarted):
            current = store.current
            assert current.revision == self.oracle.revision
            groups = {name: group.selector for name, group in current.groups.items()}
            rules = {name: rule.group for name, rule in current.rules.items()}
            labels = {k: v["tier"] for k, v in current.label_overrides.items()}
            assert groups == self.oracle.groups
            assert rules == self.oracle.rules
            assert labels == self.oracle.labels
        assert self.steady.snapshot() == self.restarted.snapshot()


class RacingOperatorsTest(RacingOperators.TestCase, unittest.TestCase):
    """Guards against lost changes, changes applied twice and diverging replicas."""

    settings = fuzz(max_examples=60, stateful_step_count=30)
