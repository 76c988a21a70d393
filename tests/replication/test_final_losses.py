"""Losses of disks and power after short schedules of faults, in virtual time."""

from __future__ import annotations

import logging
import random
import unittest

from bench._loss_schedules import Ending, Schedule, list_endings, play
from bench._loss_steps import steps

HOSTS = 5
TOLERATED = 2
SYNC_S = 0.005
SLOW_SYNC_S = 0.150
# Bound of issue 30 on disks thirty times as slow as usual, in seconds.
SLOW_READ_LIMIT_S = 10.0


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

    # A voter that was cut off was removed before its successor voted; the disk that was
    # lost then was one of the two that the list asked for, and no host could lead.
    def test_voter_that_is_cut_off_still_counts_when_a_disk_is_lost(self):
        endings = tuple(Ending("behind", lost) for lost in ((0, 1), (0, 2), (2, 1)))
        for seed in (2, 3, 7, 2817588614):
            for names in (("add_host",), ("fill_leader", "add_host")):
                for outcome in play(Schedule(3, 1, names, endings, seed, SYNC_S)):
                    with self.subTest(seed=seed, steps=names, ending=outcome.ending):
                        self.assertIsNotNone(outcome.read)
                        self.assertGreaterEqual(outcome.read, outcome.acknowledged)

    # On slow disks replicas waited less for a vote than its write took, so that no
    # election succeeded for 10 s after a loss of power.
    def test_reads_are_answered_soon_on_slow_disks(self):
        endings = [Ending("power", (0, 1)), Ending("power", ()), Ending("sent", (2, 4))]
        for seed in range(3):
            schedule = Schedule(
                HOSTS, TOLERATED, ("change",), tuple(endings), seed, SLOW_SYNC_S
            )
            for outcome in play(schedule):
                with self.subTest(seed=seed, ending=outcome.ending):
                    self.assertIsNotNone(outcome.read)
                    self.assertLessEqual(outcome.read_after_s, SLOW_READ_LIMIT_S)
