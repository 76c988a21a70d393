from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.caller_limits import AccountLimits, CallerAccount, choose_limits
from geraniumbend.caller_limits._account import (
    LONG_SLOW_TICKS,
    SMALL_BYTES,
    STALL_TICKS,
)
from tests.fuzzing import fuzz

LIMIT = 1_000_000
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("open", "close", "update", "progress", "tick")),
        st.integers(0, 5),
        st.integers(0, LIMIT // 2),
    ),
    max_size=60,
)


def create(connections=0):
    return CallerAccount(AccountLimits(LIMIT, connections))


def open_holding(account, held, source="a"):
    holding = account.open(source, "callers")
    account.update(holding, held)
    return holding


def list_numbers(closings):
    return [closing.holding.number for closing in closings]


class CallerAccountTest(unittest.TestCase):
    def test_nothing_is_stopped_or_closed_below_the_limits(self):
        """Guards against a caller inside the limits that is closed in calm."""
        account = create(connections=20)
        holdings = [open_holding(account, 35_000) for _ in range(20)]
        for _ in range(100):
            account.tick()
            self.assertEqual(account.choose_closings(), [])
        self.assertTrue(all(account.may_read(holding) for holding in holdings))

    def test_reading_stops_first_and_goes_on_when_bytes_are_free(self):
        account = create()
        large = [open_holding(account, 200_000) for _ in range(4)]
        small = open_holding(account, SMALL_BYTES)
        self.assertEqual(
            [account.may_read(holding) for holding in (*large, small)],
            [True, False, False, False, True],
        )
        self.assertEqual(account.choose_closings(), [])
        account.close(large[3])
        account.update(large[2], 0)
        self.assertTrue(all(map(account.may_read, large[:3])))

    def test_one_large_body_is_read_to_its_end_however_slow(self):
        """Guards against a body of the largest legal size that is never served."""
        account = create()
        holding = open_holding(account, 0)
        for step in range(1, 100):
            account.update(holding, step * LIMIT // 100)
            account.tick()
            self.assertTrue(account.may_read(holding))
            self.assertEqual(account.choose_closings(), [])

    def test_least_progress_for_its_bytes_is_closed_after_a_while(self):
        account = create()
        stuck = open_holding(account, 200_000)
        slow = open_holding(account, 300_000)
        quick = open_holding(account, 300_000)
        for tick in range(STALL_TICKS):
            self.assertEqual(account.choose_closings(), [], tick)
            account.note_progress(slow, 1_000)
            account.note_progress(quick, 100_000)
            account.tick()
        closings = account.choose_closings()
        self.assertEqual(list_numbers(closings), [stuck.number])
        self.assertEqual(closings[0].reason, "stalled")

    def test_above_the_limit_large_ones_are_closed_at_once(self):
        account = create()
        small = [open_holding(account, 20_000) for _ in range(10)]
        large = [open_holding(account, 300_000) for _ in range(3)]
        closed = list_numbers(account.choose_closings())
        self.assertEqual(closed, [holding.number for holding in large[:2]])
        self.assertEqual(len(account), len(small) + 1)

    def test_source_with_most_bytes_is_looked_at_first(self):
        account = create()
        other = open_holding(account, 300_000, "b")
        heavy = [open_holding(account, 250_000, "a") for _ in range(3)]
        account.note_progress(heavy[0], 250_000)
        closed = list_numbers(account.choose_closings())
        self.assertNotIn(other.number, closed)

    def test_new_connection_replaces_the_stalest_without_a_request(self):
        """Guards against ordinary callers that silent connections keep out."""
        account = create(connections=3)
        serving = open_holding(account, 0)
        serving.rank = 2
        between = open_holding(account, 0)
        between.rank = 1
        silent = open_holding(account, 0)
        account.tick()
        newest = open_holding(account, 0)
        self.assertEqual(list_numbers(account.choose_closings()), [silent.number])
        account.tick()
        last = open_holding(account, 0)
        newest.rank = last.rank = 1
        self.assertEqual(list_numbers(account.choose_closings()), [between.number])

    def test_connections_between_requests_give_way_to_a_new_one(self):
        """Guards against new callers that are closed before their first request."""
        account = create(connections=8)
        between = [open_holding(account, 0) for _ in range(8)]
        for holding in between:
            holding.rank = 1
        account.tick()
        account.note_progress(between[0])
        open_holding(account, 0)
        closed = list_numbers(account.choose_closings())
        self.assertEqual(closed, [between[1].number])

    def test_slow_bodies_give_way_to_a_new_connection(self):
        """Guards against callers of a byte a second that keep all others out."""
        account = create(connections=8)
        serving = open_holding(account, 0)
        slow = [open_holding(account, 0) for _ in range(7)]
        for holding in (serving, *slow):
            holding.rank = 2
        for holding in slow:
            holding.waits_for_caller = True
        quick = slow.pop()
        for _ in range(STALL_TICKS + 1):
            account.note_progress(quick, 10_000)
            for holding in slow:
                account.note_progress(holding, 1)
            account.tick()
        for holding in slow:
            newest = open_holding(account, 0)
            closed = list_numbers(account.choose_closings())
            self.assertEqual(closed, [holding.number])
            newest.rank = 2
        open_holding(account, 0)
        closed = list_numbers(account.choose_closings())
        self.assertEqual(closed, [newest.number + 1])

    def test_new_connections_replace_only_a_part_of_the_others(self):
        """Guards against a crowd without requests that closes all idle callers."""
        account = create(connections=16)
        between = [open_holding(account, 0) for _ in range(16)]
        for holding in between:
            holding.rank = 1
        closed = set()
        for _ in range(100):
            open_holding(account, 0)
            closed.update(list_numbers(account.choose_closings()))
        self.assertEqual(len(closed & {holding.number for holding in between}), 2)

    def test_idle_and_slow_connections_are_closed_several_at_once(self):
        """Guards against a crowd of which each connection sorts all others."""
        for rank in (0, 1, 2):
            account = create(connections=64)
            for _ in range(64):
                holding = open_holding(account, 0)
                holding.rank, holding.waits_for_caller = rank, rank == 2
            for _ in range(LONG_SLOW_TICKS + 1):
                account.tick()
            newest = open_holding(account, 0)
            closed = list_numbers(account.choose_closings())
            self.assertEqual(closed, [1, 2, 3], rank)
            self.assertNotIn(newest.number, closed)

    def test_limits_follow_from_the_smaller_number_of_descriptors(self):
        held = 64 * 1024 * 1024
        self.assertEqual(choose_limits(held, 600, 4100).connections, 400)
        self.assertEqual(choose_limits(held, 0, 300).connections, 200)

    def test_connections_are_limited_by_the_memory_for_their_narrowest_windows(self):
        """Guards against receive buffers that the host has no memory for."""
        held = 64 * 1024 * 1024
        for limits in (choose_limits(held, 0, None), choose_limits(held, 10**6, None)):
            self.assertEqual(limits.connections, 5_120)

    @fuzz(200)
    @given(STEPS)
    def test_total_is_the_sum_and_choices_are_the_same_each_time(self, steps):
        first, second = self.play(steps), self.play(steps)
        self.assertEqual(first, second)

    def play(self, steps):
        account = create(connections=4)
        known = []
        seen = []
        for action, index, size in steps:
            holding = known[index % len(known)] if known else None
            if action == "open":
                known.append(account.open(f"s{index % 2}", "callers"))
            elif action == "tick":
                account.tick()
            elif holding is not None and action == "close":
                account.close(holding)
            elif holding is not None and action == "update":
                account.update(holding, size)
            elif holding is not None:
                account.note_progress(holding, size)
            seen.append(list_numbers(account.choose_closings()))
            live = account._holdings.values()
            self.assertEqual(account.total, sum(holding.held for holding in live))
            self.assertLessEqual(account.total, LIMIT)
            self.assertLessEqual(len(account), 4)
        return seen
