"""Faults at control hosts while they form their cluster, in virtual time."""

from __future__ import annotations

import logging
import random
import unittest

from bench._formation import draw_formation
from bench._formation_schedules import (
    FOUNDERS,
    Fault,
    Formation,
    faults,
    play_formation,
    stages,
)

DRAWN = 30


class FormationTest(unittest.TestCase):
    def tearDown(self):
        logging.disable(logging.NOTSET)

    def check(self, formation):
        formed = play_formation(formation)
        with self.subTest(formation=formation):
            self.assertIsNotNone(formed.acknowledged_after_s)
            self.assertEqual(formed.outside, ())
            self.assertIsNotNone(formed.read)
            self.assertGreaterEqual(formed.read, formed.acknowledged)

    # A fault at one founder kept the log from ever committing a change.
    def test_cluster_forms_after_each_kind_of_fault_at_one_founder(self):
        rng = random.Random(1)
        for kind in faults.names():
            for stage in stages.names():
                position = rng.randrange(FOUNDERS)
                fault = Fault(position, kind, stage, rng.choice((0.6, 1.5, 4.0)))
                founders_ask = rng.choice((False, True))
                formation = Formation(2, (fault,), rng.getrandbits(32), founders_ask)
                if formation.is_tolerated():
                    self.check(formation)

    # Faults at several hosts at once found states of the member list without an exit.
    def test_cluster_forms_after_faults_at_several_hosts(self):
        rng = random.Random(2)
        for _ in range(DRAWN):
            formation = draw_formation(rng)
            if formation.is_tolerated():
                self.check(formation)
