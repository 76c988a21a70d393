from __future__ import annotations

import unittest

import tomli_w

from geraniumbend.configuration import (
    DeleteGroup,
    SetGroup,
    apply_operations,
    parse_file,
    plan_operations,
    validate_operations,
    write_file,
)
from geraniumbend.errors import ConfigurationError
from geraniumbend.model import Configuration, Group

FILE = """
[groups.classes]
selector = "app=classes,tier in (a,b)"
load_cost_share = 0.02

[rules.listing]
group = "classes"
deadline_s = 2.5
match = { path_prefix = "/classes", methods = ["GET"], headers = { x-kind = "list" } }

[rules.entry]
group = "classes"
order = { keyless = "once" }

[labels.server-1]
tier = "b"
"""
POLICIES = ["default"]


class OperatorFileTest(unittest.TestCase):
    def test_written_file_parses_to_the_same_configuration(self):
        steps = plan_operations(parse_file(FILE), Configuration())
        validate_operations(steps, POLICIES)
        current = apply_operations(Configuration(), steps, 1)
        self.assertEqual(current.rules["listing"].match.headers, {"x-kind": "list"})
        self.assertEqual(current.rules["entry"].order.keyless, "once")
        reparsed = parse_file(tomli_w.dumps(write_file(current)))
        self.assertEqual(plan_operations(reparsed, current, prune=True), [])

    def test_pruning_deletes_only_in_tables_that_the_file_has(self):
        current = apply_operations(
            Configuration(), plan_operations(parse_file(FILE), Configuration()), 1
        )
        extra = apply_operations(current, [SetGroup(Group("old", "app=old"))], 2)
        self.assertEqual(plan_operations(parse_file(FILE), extra), [])
        only_groups = parse_file('[groups.classes]\nselector = "app=x"\n')
        steps = plan_operations(only_groups, extra, prune=True)
        self.assertEqual(
            steps,
            [SetGroup(Group("classes", "app=x")), DeleteGroup("old")],
        )

    def test_misspelled_key_names_file_entry_and_nearest_key(self):
        with self.assertRaises(ConfigurationError) as caught:
            parse_file('[rules.x]\ngroup = "g"\ndeadline = 3\n', "site.toml")
        self.assertIn("site.toml: rules.x", str(caught.exception))
        self.assertIn("deadline_s", str(caught.exception))

    def test_malformed_documents_raise_configuration_errors(self):
        for text in ("[x", "[hosts.a]\n", "groups = 3\n", "[groups]\na = 1\n"):
            with self.subTest(text), self.assertRaises(ConfigurationError):
                parse_file(text)

    def test_values_out_of_range_are_refused_before_proposal(self):
        invalid = [
            '[groups.A]\nselector = "app=x"\n',
            '[groups.a]\nselector = ""\n',
            '[groups.a]\nselector = "app in x"\n',
            '[groups.a]\nselector = "app=x"\npolicy = "fastest"\n',
            '[groups.a]\nselector = "app=x"\nload_cost_share = nan\n',
            '[rules.a]\ngroup = "g"\ndeadline_s = 0\n',
            '[rules.a]\ngroup = "g"\nretry = { attempts = 99 }\n',
            '[rules.a]\ngroup = "g"\norder = { keyless = "twice" }\n',
            '[rules.a]\ngroup = "g"\nmatch = { methods = ["get"] }\n',
            '[rules.a]\ngroup = "g"\nmatch = { path_prefix = "x" }\n',
            '[labels.s]\ntier = "a b"\n',
        ]
        for text in invalid:
            with self.subTest(text), self.assertRaises(ConfigurationError):
                steps = plan_operations(parse_file(text), Configuration())
                validate_operations(steps, POLICIES)
