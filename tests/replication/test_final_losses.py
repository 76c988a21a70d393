"""Losses of disks and power after short schedules of faults, in virtual time."""

from __future__ import annotations

import logging
import random
import unittest

from bench._loss_schedules import Ending, Schedule, list_endings, play, steps

HOSTS = 5
TOLERATED = 2
SYNC_S = 0.005


class FinalLossesTest(unittest.TestCase):
    def tearDown(self):
        logging.disable(logging.NOTSET)

    def check(self, names, endings, seed=1):
        schedule = Schedule(HOSTS, TOLERATED, names, tuple(endings), seed, SYNC_S)
        for outcome in play(schedule):
            with self.subTest(steps=names, ending=outcome.ending):
                self.assertIsNotNone(outcome.read)
                self.assertGreaterEqual(outcome.read, outcome.acknowledged)

    # What was acknowledged could not be read back after losses that are tolerated.
    def test_newest_version_is_read_back_after_each_step(self):
        endings = list_endings(HOSTS, TOLERATED)
        for number, name in enumerate(steps.names()):
            chosen = random.Random(number).sample(endings, 4)
            self.check((name,), chosen, seed=number)

    # Two disks that had been full for a second took two voters out for good, and the
    # loss of two other disks left no majority.
    def test_full_disks_do_not_add_to_later_losses(self):
        kept = [e for e in list_endings(HOSTS, TOLERATED) if e.kind == "kept"]
        self.check(("fill_followers",), kept)

    # A host that had been replaced still counted as a voter beside its successor, so
    # that two more losses left three of six voters.
    def test_replaced_host_does_not_add_to_later_losses(self):
        for name in ("replace_leader", "replace_follower"):
            self.check((name,), [Ending("kept", (0, 1)), Ending("power", (2, 3))])
