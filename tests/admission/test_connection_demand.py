from __future__ import annotations

import unittest

from geraniumbend.admission._admission import _weigh_connection
from geraniumbend.admission._connection_demand import ConnectionDemand
from geraniumbend.admission._demand import CALLER_DECAY_S, CallerDemand

WORK_S = 0.01
LIMIT = 1.0


class ConnectionDemandTest(unittest.TestCase):
    def test_one_connection_has_all_that_its_caller_asks_for(self):
        demand = CallerDemand()
        for number in range(50):
            offered = demand.record("a", WORK_S, LIMIT, 0.01 * number)
        self.assertAlmostEqual(offered.connection_share, 1.0)

    def test_a_connection_that_asks_for_little_has_a_small_share(self):
        """Guards against callers behind one address that are cut back alike."""
        demand = CallerDemand()
        for _ in range(100):
            for connection in range(1, 25):
                demand.record("a", WORK_S, LIMIT, 1.0, connection)
        heavy = demand.record("a", WORK_S, LIMIT, 1.0, 1)
        light = demand.record("a", WORK_S, LIMIT, 1.0, 99)
        self.assertGreater(heavy.rate, LIMIT)
        self.assertGreater(heavy.connection_share, 0.9)
        self.assertLess(light.connection_share, 0.05)

    def test_connections_that_end_take_their_demand_along(self):
        """Guards against demand that outlasts the callers who asked for it."""
        demand = CallerDemand()
        for _ in range(1000):
            for connection in range(1, 25):
                demand.record("a", WORK_S, LIMIT, 1.0, connection)
        for connection in range(1, 25):
            demand.forget_connection("a", connection)
        # The end of a connection is no request.
        self.assertEqual(demand.count_active(1.0 + 2 * CALLER_DECAY_S), 0)
        offered = demand.record("a", WORK_S, LIMIT, 1.2, 99)
        self.assertLess(offered.rate, LIMIT)
        self.assertAlmostEqual(offered.rate, WORK_S / CALLER_DECAY_S)

    def test_inactive_connections_are_forgotten(self):
        demand = ConnectionDemand(CALLER_DECAY_S)
        for connection in range(1000):
            demand.record(connection, WORK_S, 0.0)
        demand.record(5, WORK_S, 1.5 * CALLER_DECAY_S)
        self.assertEqual(len(demand), 1)

    def test_weights_grow_with_the_share_and_spare_small_ones(self):
        """Guards against ordinary callers that are cut back by a heavy excess."""
        shares = (0.0, 0.01, 0.1, 0.5, 1.0, 2.0)
        for excess in (1.5, 30.0, 3000.0):
            weights = [_weigh_connection(excess, share) for share in shares]
            self.assertEqual(weights, sorted(weights))
            self.assertAlmostEqual(_weigh_connection(excess, 1.0), excess)
            self.assertLess(_weigh_connection(excess, 0.1), 0.3)
