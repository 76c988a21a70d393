"""Servers that asked with 503 and Retry-After to get nothing for a time."""

from __future__ import annotations

import asyncio
import heapq
import random
import unittest

from geraniumbend.errors import RefusedError
from geraniumbend.routing import (
    LoadReport,
    OnDemandProbes,
    Outcome,
    Router,
    ServerTable,
    parse_retry_after,
)
from geraniumbend.routing._asked_times import MAX_ASKED_S, MAX_SPREAD_S
from tests.fakes import FakeShares, StepTimers, build_configuration, build_servers
from tests.routing.test_router import RouterCase

ASKED_S = 4.0


class AskedTimeTest(RouterCase):
    def build(self, count=3, **fields):
        super().build(count, **fields)
        self.view = self.table.view("s0")

    def list_usable(self):
        return {view.server_id for view in self.table.available("g")}

    def test_server_gets_nothing_for_the_time(self):
        """Guards against requests, retries and trial requests to the server."""
        for policy in ("default", "round_robin", "least_requests", "random"):
            self.build(policy=policy)
            self.router.observe_retry_after(self.view, ASKED_S)
            self.assertFalse(self.router.accepts_requests(self.view))
            self.assertEqual(self.table.slots("g"), 12)
            for step in range(100):
                chosen = self.choose(trial=step % 2 == 0)
                self.assertIsNot(chosen, self.view)
                self.router.start_request(chosen, "c")
                self.timers.step(ASKED_S / 101)
            self.timers.step(MAX_SPREAD_S + ASKED_S / 101)
            self.assertIn("s0", self.list_usable())
            self.assertTrue(self.router.accepts_requests(self.view))
        totals = self.table.asked.read_totals()
        self.assertEqual(totals[("seconds",)], 1.0)
        self.assertEqual(totals[("withheld",)], 1.0)

    def test_longest_time_of_several_responses_holds(self):
        """Guards against an older response that shortens the time."""
        self.build()
        for delay_s in (ASKED_S, 0.1):
            self.router.observe_retry_after(self.view, delay_s)
        self.timers.step(ASKED_S - 0.1)
        self.assertNotIn("s0", self.list_usable())

    def test_refusals_are_no_failures_of_the_server(self):
        self.build()
        for _ in range(5):
            self.router.start_request(self.view, "c")
            self.router.observe_retry_after(self.view, 0.1)
            outcome = Outcome(503, 0.01, 0.01, not_run=True)
            self.router.finish_request(self.view, "c", outcome)
        self.assertEqual(self.view.error_rate(self.timers.now()), 0.0)

    def test_newer_incarnation_gets_requests_and_a_gap_changes_nothing(self):
        self.build()
        self.router.observe_retry_after(self.view, ASKED_S)
        rest = {name: s for name, s in self.servers.items() if name != "s0"}
        self.table.update(rest, self.configuration)
        self.table.update(self.servers, self.configuration)
        self.assertNotIn("s0", self.list_usable())
        newer = self.servers["s0"]._replace(incarnation=9)
        self.table.update({**rest, "s0": newer}, self.configuration)
        self.assertIn("s0", self.list_usable())
        # What the earlier incarnation asked for does not concern this one.
        self.router.observe_retry_after(self.view, ASKED_S)
        self.assertIn("s0", self.list_usable())

    def test_values_that_ask_for_nothing_or_too_much(self):
        """Guards against a false value that removes a server for good."""
        for delay_s in (float("nan"), -1.0, 0.0):
            self.build()
            self.router.observe_retry_after(self.view, delay_s)
            self.assertTrue(self.router.accepts_requests(self.view))
        for delay_s in (float("inf"), 365 * 86400.0):
            self.build()
            self.router.observe_retry_after(self.view, delay_s)
            self.timers.step(MAX_ASKED_S - 0.1)
            self.assertNotIn("s0", self.list_usable())
            self.timers.step(MAX_SPREAD_S + 0.1)
            self.assertIn("s0", self.list_usable())
        self.assertEqual(self.table.asked.read_totals()[("capped",)], 1.0)

    def build_with_probes(self):
        self.build()
        probes = OnDemandProbes(self.timers, lambda: 1.0)
        shares = FakeShares()
        self.router = Router(
            self.table, shares, self.timers, seed=1, on_demand_probes=probes,
            look_candidates=3,
        )  # fmt: skip

    def fill_servers(self):
        """Let all servers answer probes that they are full."""

        async def respond(view):
            return {"in_flight": view.slots, "slots": view.slots}

        self.router._free_slot_finder._on_demand_probes.start(respond)

    def test_request_that_waits_for_a_slot_is_refused_too(self):
        """Guards against callers held until the end of the longest wait."""

        async def wait():
            self.build_with_probes()
            self.fill_servers()
            probing = asyncio.ensure_future(
                self.router.probe_candidates("g", "c", (), 9.0, max_wait_s=5.0)
            )
            await self.timers.advance(0.2)
            self.assertFalse(probing.done())
            for view in self.table.views("g"):
                self.router.observe_retry_after(view, ASKED_S)
            await self.timers.advance(0.1)
            self.assertTrue(probing.done())
            with self.assertRaises(RefusedError) as caught:
                await probing
            self.assertEqual(caught.exception.kind, "asked_time")

        asyncio.run(wait())

    def test_group_whose_servers_all_asked_refuses_at_once(self):
        """Guards against callers held, or sent back before they can be served."""
        self.build_with_probes()
        self.router.check_asked_time("g")
        for index, view in enumerate(self.table.views("g")):
            self.assertIsNone(self.router.find_return_delay("g"))
            self.router.observe_retry_after(view, ASKED_S + index)
        probing = self.router.probe_candidates("g", "c", (), 9.0, max_wait_s=5.0)
        self.assertFalse(asyncio.run(asyncio.wait_for(probing, 0.5)))
        delays = set()
        for send in (self.choose, lambda: self.router.check_asked_time("g")):
            with self.assertRaises(RefusedError) as caught:
                send()
            self.assertEqual(caught.exception.kind, "asked_time")
            delays.add(caught.exception.retry_after_s)
        self.assertEqual(len(delays), 2)
        self.timers.step(min(delays))
        self.router.check_asked_time("g")
        self.assertIs(self.choose(), self.view)


class ValueTest(unittest.TestCase):
    def test_each_value_has_a_meaning(self):
        date = "Sun, 06 Dec 2026 23:00:00 GMT"
        for text, expected in (
            ("1.25", (1.25, "seconds")),
            (" 3 ", (3.0, "seconds")),
            ("0", (0.0, "zero")),
            ("-2", (0.0, "negative")),
            ("inf", (float("inf"), "infinite")),
            ("9" * 400, (float("inf"), "infinite")),
            ("31536000", (31536000.0, "seconds")),
            ("nan", (0.0, "malformed")),
            ("soon", (0.0, "malformed")),
            ("", (0.0, "malformed")),
            ("1_0", (0.0, "malformed")),
            ("Sun, 06 Dec 2026 23:00:07 GMT", (7.0, "date")),
            ("Sun, 06 Dec 2026 22:00:00 GMT", (0.0, "date")),
        ):
            self.assertEqual(parse_retry_after(text, date), expected, text)
        for other in (None, "yesterday", "Sun, 06 Dec 2026 23:00:00 -0000"):
            asked = parse_retry_after("Sun, 06 Dec 2026 23:00:07 GMT", other)
            self.assertEqual(asked, (0.0, "malformed"), other)


class ReturnTest(unittest.TestCase):
    """Guards against all gateways that send to a server once its time is over."""

    SERVERS = 8
    SERVICE_S = 0.2
    # 8 servers of 6 slots are busy to 0.9. Gateways that returned at once would send 42
    # requests in the first 0.5 s, where the mean is 13.5 (13 gateways, one server).
    RATE = 0.9 * 48 / 0.2

    def run_gateways(self, gateways, asking, asked_at=3.0, end=11.0):
        """Return the times at which s0 got a request."""
        rng = random.Random(gateways)
        timers = StepTimers()
        servers = build_servers(self.SERVERS)
        routers = []
        for number in range(gateways):
            table = ServerTable(timers)
            table.update(servers, build_configuration())
            shares = FakeShares(gateways)
            routers.append(Router(table, shares, timers, f"n{number}", seed=number))
        running = dict.fromkeys(servers, 0)
        ends, sent, number, has_asked = [], [], 0, False
        now = 0.0
        while now < end:
            now += rng.expovariate(self.RATE)
            while ends and ends[0][0] <= now:
                at, _, router, view, latency_s = heapq.heappop(ends)
                timers.step(at - timers.now())
                running[view.server_id] -= 1
                report = LoadReport(running[view.server_id], 6)
                router.observe_report(view, report)
                outcome = Outcome(200, latency_s, latency_s)
                router.finish_request(view, "c", outcome)
            timers.step(now - timers.now())
            if now >= asked_at and not has_asked:
                has_asked = True
                for router in routers:
                    for view in router._table.views("g")[:asking]:
                        router.observe_retry_after(view, ASKED_S)
            router = rng.choice(routers)
            try:
                view = router.choose("g", "c", (), 10.0)
            except RefusedError:
                continue
            router.start_request(view, "c")
            if view.server_id == "s0":
                sent.append(now - asked_at)
            running[view.server_id] += 1
            number += 1
            service_s = self.SERVICE_S * max(1.0, running[view.server_id] / 6)
            item = (now + service_s, number, router, view, service_s)
            heapq.heappush(ends, item)
        return sent

    def test_return_of_all_gateways_is_spread(self):
        mean = 0.5 * self.RATE / self.SERVERS
        for gateways in (13, 311):
            for asking in (1, self.SERVERS):
                with self.subTest(gateways=gateways, asking=asking):
                    sent = self.run_gateways(gateways, asking)
                    self.assertEqual([at for at in sent if 0 < at <= ASKED_S], [])
                    first = sum(ASKED_S < at <= ASKED_S + 0.5 for at in sent)
                    self.assertLessEqual(first, 2 * mean)
                    # At least half of the mean rate in the 3 s that follow.
                    later = sum(ASKED_S + 1.0 < at <= ASKED_S + 4.0 for at in sent)
                    self.assertGreater(later, 3 * mean)
