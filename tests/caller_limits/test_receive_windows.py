from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.caller_limits import (
    AccountLimits,
    CallerAccount,
    ReceiveWindows,
    WindowSizes,
    choose_limits,
    choose_windows,
)
from geraniumbend.caller_limits._receive_windows import KERNEL_FACTOR, UNREAD_SHARE
from tests.fuzzing import fuzz

NARROW, WIDE = 4_000, 40_000
MB = 1_000_000
SIZES = WindowSizes(NARROW, 2 * NARROW, 2, WIDE, 2)


def open_holdings(count):
    account = CallerAccount(AccountLimits(MB, 0))
    return account, [account.open("a", "callers") for _ in range(count)]


class ReceiveWindowsTest(unittest.TestCase):
    @fuzz(200)
    @given(st.integers(4 * MB, 400 * MB), st.integers(30, 2_000_000))
    def test_all_windows_together_stay_within_their_share(self, held, descriptors):
        """Guards against unread bytes that exceed the memory of the host."""
        connections = choose_limits(held, descriptors, None).connections
        sizes = choose_windows(held, connections)
        buffers = connections * sizes.narrow_bytes
        buffers += sizes.ordinary_connections * sizes.ordinary_bytes
        buffers += sizes.wide_connections * sizes.wide_bytes
        self.assertLessEqual(KERNEL_FACTOR * buffers, UNREAD_SHARE * held)

    def test_some_windows_are_wide_on_each_size_of_host(self):
        for memory_mb in (90, 200, 296, 300):
            held = memory_mb * MB // 5
            sizes = choose_windows(held, choose_limits(held, 4_100, None).connections)
            self.assertGreaterEqual(sizes.wide_connections, 30)
            self.assertGreaterEqual(sizes.ordinary_connections, 80)
            self.assertGreaterEqual(sizes.narrow_bytes, 2_048)

    def test_the_first_connections_have_ordinary_windows(self):
        windows = ReceiveWindows(SIZES)
        _, holdings = open_holdings(3)
        self.assertEqual([windows.open(h) for h in holdings], [True, True, False])
        windows.close(holdings[1])
        self.assertTrue(windows.open(holdings[2]))

    def test_only_so_many_are_wide_at_a_time(self):
        windows = ReceiveWindows(SIZES)
        _, holdings = open_holdings(3)
        self.assertEqual([windows.widen(h) for h in holdings], [True, True, False])
        windows.narrow(holdings[0])
        self.assertTrue(windows.widen(holdings[2]))

    def test_those_that_receive_little_give_way_to_others(self):
        """Guards against callers that stop halfway and keep all wide windows."""
        windows = ReceiveWindows(SIZES)
        account, (slow, quick, late) = open_holdings(3)
        for holding in (slow, quick):
            windows.widen(holding)
        account.note_received(quick, 10 * NARROW)
        account.tick()
        self.assertEqual(list(windows.choose_narrowings()), [])
        windows.widen(late)
        self.assertEqual(list(windows.choose_narrowings()), [slow])
