"""How long a connection stays open behind its last response."""

from __future__ import annotations

import unittest

from geraniumbend.adapters._lingering_close import (
    LINGER_S,
    LOOK_PERIOD_S,
    MAX_DISCARD_S,
    LingeringClose,
)

STALL_LIMIT_S = 20.0
LIMIT_BYTES = 1000
# Looks beyond all bounds.
MANY = 10_000


class LingeringCloseTest(unittest.TestCase):
    def setUp(self):
        self.bounds = LingeringClose(STALL_LIMIT_S, LIMIT_BYTES)

    def count_looks(self, unacknowledged=lambda look: 0, **more):
        """Return the looks until the connection is closed, MANY if it is not."""
        for look in range(MANY):
            counts = {name: count(look) for name, count in more.items()}
            discarded = counts.pop("discarded", 0)
            if not self.bounds.look(unacknowledged(look), discarded, **counts):
                return look
        return MANY

    def test_silent_caller_is_closed_soon_after_it_has_acknowledged_all(self):
        """Guards against a planned stop that waits for callers that never close."""
        self.assertEqual(self.count_looks(), LINGER_S / LOOK_PERIOD_S)

    def test_caller_that_receives_slowly_is_waited_for_without_a_bound(self):
        """Guards against a long response that a bound of time cuts off."""
        self.assertEqual(self.count_looks(lambda look: 2 * MANY - look), MANY)

    def test_caller_that_receives_nothing_is_closed_at_the_stall_limit(self):
        """Guards against connections of dead callers that stay for ever."""
        looks = self.count_looks(lambda look: 5)
        self.assertEqual(looks, STALL_LIMIT_S / LOOK_PERIOD_S)

    def test_upload_is_discarded_within_a_bound_of_time(self):
        """Guards against callers that never end to send, and closes during uploads."""
        looks = self.count_looks(discarded=lambda look: look % 2)
        self.assertLessEqual(looks * LOOK_PERIOD_S, MAX_DISCARD_S + 2 * LINGER_S)
        self.assertGreaterEqual(looks * LOOK_PERIOD_S, MAX_DISCARD_S)

    def test_upload_is_discarded_within_a_bound_of_bytes(self):
        """Guards against a fast caller that occupies the event loop."""
        looks = self.count_looks(lambda look: MANY - look, discarded=lambda look: look)
        self.assertEqual(looks, LIMIT_BYTES + 1)

    def test_bytes_that_lie_unread_keep_the_connection_open(self):
        """Guards against a close that resets since an event loop is late to read."""
        looks = self.count_looks(unread=lambda look: look < 20)
        self.assertGreaterEqual(looks, 20)
