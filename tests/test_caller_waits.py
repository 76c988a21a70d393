"""Decisions on waits and returns, without network or clock."""

from __future__ import annotations

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.caller_waits import (
    compute_max_wait,
    estimate_wait,
    limit_return,
    may_begin_to_wait,
    spread_return,
)
from tests.fuzzing import fuzz

seconds = st.floats(0.001, 100.0)
draws = st.floats(0.0, 1.0)


class CallerWaitTest(unittest.TestCase):
    # Guards against callers that are held past their time.
    @fuzz(100)
    @given(seconds, seconds)
    def test_wait_and_response_fit_into_the_time_of_the_caller(self, left_s, needed_s):
        max_wait_s = compute_max_wait(left_s, needed_s)
        self.assertGreaterEqual(max_wait_s, 0.0)
        if max_wait_s:
            self.assertLessEqual(max_wait_s + needed_s, left_s + 1e-9)

    def test_request_that_would_just_fit_is_refused_on_arrival(self):
        """Guards against callers that are held and refused without time left."""
        self.assertTrue(may_begin_to_wait(0.8, 1.0))
        self.assertFalse(may_begin_to_wait(0.9, 1.0))
        self.assertTrue(may_begin_to_wait(0.0, 0.0))

    def test_request_of_unknown_service_time_may_wait_as_long_as_its_caller(self):
        """Guards against refusals by a service time that nobody has measured."""
        self.assertEqual(compute_max_wait(1.5, 0.0), 1.5)
        self.assertEqual(estimate_wait(0.0, 4.0), 0.0)

    def test_rounds_of_work_follow_each_other(self):
        """Guards against estimates that ignore what waits before a request."""
        # 8 slots of 0.3 s; the 8th and the 16th waiting request end a round.
        self.assertAlmostEqual(estimate_wait(8 * 0.3, 8.0, 0.3), 0.3)
        self.assertAlmostEqual(estimate_wait(16 * 0.3, 8.0, 0.3), 0.6)
        self.assertAlmostEqual(estimate_wait(16 * 0.3, 8.0, 0.3, 0.2), 0.4)

    def test_slots_that_do_not_become_free_lengthen_the_wait(self):
        """Guards against callers that wait for stalled servers to the end."""
        usual_s = estimate_wait(16 * 0.3, 8.0, 0.3)
        self.assertGreater(estimate_wait(16 * 0.3, 8.0, 0.3, 0.9), 2 * usual_s)
        self.assertEqual(estimate_wait(1.0, 0.0), math.inf)

    # Guards against callers that return together, or before there is room.
    @fuzz(100)
    @given(seconds, draws)
    def test_callers_return_spread_and_not_before_there_is_room(self, delay_s, draw):
        told_s = spread_return(delay_s, draw)
        self.assertGreaterEqual(told_s, delay_s)
        self.assertLessEqual(told_s, 1.5 * delay_s)

    # Guards against all refused callers that return after the longest delay.
    @fuzz(100)
    @given(seconds, seconds, draws)
    def test_callers_are_told_no_more_than_they_honour(self, delay_s, longest_s, draw):
        told_s = limit_return(delay_s, longest_s, draw)
        self.assertLessEqual(told_s, longest_s)
        self.assertGreaterEqual(told_s, min(delay_s, longest_s / 2))

    def test_caller_without_time_is_told_when_there_is_room(self):
        self.assertEqual(limit_return(2.0, 0.0, 0.5), 2.0)
