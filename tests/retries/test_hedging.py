from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace

from geraniumbend.errors import RefusedError
from geraniumbend.model import RetrySettings, Rule
from geraniumbend.proxying._hedge import HedgedRequest
from geraniumbend.proxying._hedging import Hedging
from geraniumbend.proxying._latencies import HeadLatencies
from geraniumbend.retries import HedgeBudget
from geraniumbend.timers import ManualTimers

MEAN_S = 0.1
# Longer than any attempt of these loads.
DEADLINE_S = 10.0
SLOW_FACTOR = 12
REQUESTS = 20_000


class Router:
    def estimate_service_s(self, group, request_class):
        return MEAN_S

    def estimate_response_s(self, group, request_class):
        return 1.5 * MEAN_S


def make_context(**fields):
    retry = RetrySettings(attempts=2, hedge=True, **fields)
    return SimpleNamespace(
        safe=True,
        source=None,
        attempts=1,
        group="g",
        rule=Rule("r", "g", retry=retry),
        deadline_s=ManualTimers().now() + DEADLINE_S,
    )


class Result:
    """Latencies of a load, and the work on the servers relative to no hedges."""

    def __init__(self, latencies, hedges, extra_s, work_s):
        self.latencies = sorted(latencies)
        self.hedge_share = hedges / len(latencies)
        self.extra_work = extra_s / work_s

    def quantile(self, share):
        return self.latencies[int(share * len(self.latencies))]


async def play(ratio, draw_s, has_free_slot=True, seed=1):
    """Send requests one after the other through the decisions on hedges.

    Parameters
    ----------
    ratio : float
        Budget; 0 plays the load without hedges.
    draw_s : callable
        Returns the service time of one attempt.
    """
    rng = random.Random(seed)
    budget = HedgeBudget()
    latencies = HeadLatencies()
    hedging = Hedging(latencies, Router(), ManualTimers(), ratio, budget)
    context = make_context()
    taken, hedges, extra_s, work_s = [], 0, 0.0, 0.0
    for _ in range(REQUESTS):
        delay_s = hedging.find_delay_s(context)
        first_s = latency_s = draw_s(rng)
        work_s += first_s
        is_due = ratio and delay_s is not None and first_s > delay_s
        if is_due and hedging.allows(context) and has_free_slot:
            await hedging.try_spend(context)
            hedges += 1
            second_s = draw_s(rng)
            latency_s = min(first_s, delay_s + second_s)
            # The loser is cancelled when the winner responds.
            extra_s += min(second_s, first_s - delay_s)
        taken.append(latency_s)
        latencies.observe("g", "default", latency_s)
    return Result(taken, hedges, extra_s, work_s)


def draw_some_slow(rng):
    """Return the time on servers of which each gives 3 in 100 slow answers."""
    slow = SLOW_FACTOR if rng.random() < 0.03 else 1
    return rng.uniform(0.5, 1.5) * MEAN_S * slow


def draw_one_slow_server(rng):
    """Return the time at a random one of 20 servers, one of which is slow."""
    slow = SLOW_FACTOR if rng.randrange(20) == 0 else 1
    return rng.uniform(0.5, 1.5) * MEAN_S * slow


class FakeAttempts:
    """Sends a first attempt that is refused while its hedge runs."""

    def __init__(self):
        self.finished = []
        self.sent = []
        self.hedging = Hedging(HeadLatencies(), Router(), ManualTimers())

    def now(self):
        return 0.0

    async def begin_hedge(self, context, is_first_pending):
        return "hedge"

    async def send(self, attempt, context):
        self.sent.append(attempt)
        try:
            await asyncio.sleep(0.05 if attempt == "first" else 60)
        except asyncio.CancelledError:
            self.finished.append(attempt)
            raise
        raise RefusedError("in quarantine", kind="quarantined")


class HedgedRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_hedge_of_a_refused_request_is_ended(self):
        """Guards against a hedge whose connection and slot are never given back."""
        attempts = FakeAttempts()
        context = SimpleNamespace(deadline_s=1.0)
        hedged = HedgedRequest(attempts, "first", context)
        with self.assertRaises(RefusedError):
            await hedged.run(0.01)
        await asyncio.sleep(0.01)
        self.assertEqual(attempts.sent, ["first", "hedge"])
        self.assertEqual(attempts.finished, ["hedge"])


class HedgingLoadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against slow answers that nothing cuts, and against hedges beyond it."""

    async def test_share_of_slow_answers_is_cut_within_the_budget(self):
        without = await play(0.0, draw_some_slow)
        hedged = await play(0.05, draw_some_slow)
        self.assertLess(hedged.quantile(0.99), without.quantile(0.99) / 3)
        self.assertLess(hedged.quantile(0.999), without.quantile(0.999))
        self.assertAlmostEqual(hedged.quantile(0.5), without.quantile(0.5), delta=0.005)
        self.assertLessEqual(hedged.hedge_share, 0.05 + 5 / REQUESTS)
        self.assertLess(hedged.extra_work, 0.05)

    async def test_one_slow_server_is_cut_within_the_budget(self):
        without = await play(0.0, draw_one_slow_server)
        hedged = await play(0.05, draw_one_slow_server)
        self.assertLess(hedged.quantile(0.98), without.quantile(0.98) / 3)
        self.assertLessEqual(hedged.hedge_share, 0.05 + 5 / REQUESTS)

    async def test_all_answers_slow_at_once_use_no_more_than_the_budget(self):
        """Guards against a group that hedges double the load of when it slows down."""

        def draw(rng):
            return rng.uniform(0.5, 1.5) * MEAN_S * SLOW_FACTOR

        hedged = await play(0.05, draw)
        self.assertLessEqual(hedged.hedge_share, 0.05 + 5 / REQUESTS)

    async def test_full_group_gets_no_hedge(self):
        hedged = await play(0.05, draw_some_slow, has_free_slot=False)
        self.assertEqual(hedged.hedge_share, 0)


class HedgingDecisionTest(unittest.IsolatedAsyncioTestCase):
    async def test_rule_without_a_budget_of_its_own_uses_the_setting(self):
        for own, expected in ((None, 0.1), (0.02, 0.02), (0.0, 0.0)):
            budget = HedgeBudget()
            hedging = Hedging(HeadLatencies(), Router(), ManualTimers(), 0.1, budget)
            hedging.find_delay_s(make_context(hedge_ratio=own))
            saved = budget.dump()["saved"].get("g", {"hedges": 1.0})["hedges"]
            self.assertAlmostEqual(saved - 1, expected)

    async def test_orders_and_streamed_bodies_are_never_hedged(self):
        hedging = Hedging(HeadLatencies(), Router(), ManualTimers(), 0.1, HedgeBudget())
        for field, value in (("safe", False), ("source", object()), ("attempts", 2)):
            context = make_context()
            self.assertIsNotNone(hedging.find_delay_s(context))
            setattr(context, field, value)
            self.assertIsNone(hedging.find_delay_s(context))

    async def test_hedge_starts_while_another_server_can_answer_in_time(self):
        """Guards against callers whose server hangs while few latencies are known."""
        hedging = Hedging(HeadLatencies(), Router(), ManualTimers())
        context = make_context()
        context.deadline_s = ManualTimers().now() + 1.0
        self.assertAlmostEqual(hedging.find_delay_s(context), 1.0 - 1.5 * MEAN_S)
        for objective_s in (0.1, 0.4, 2.9):
            context.rule = context.rule._replace(objective_s=objective_s)
            self.assertAlmostEqual(hedging.find_delay_s(context), 1.0 - 1.5 * MEAN_S)

    async def test_hedge_above_the_quota_of_its_tenant_is_not_sent(self):
        async def refuse(context):
            return False

        budget = HedgeBudget()
        hedging = Hedging(
            HeadLatencies(), Router(), ManualTimers(), 0.1, budget, refuse
        )
        self.assertFalse(await hedging.try_spend(make_context()))
        self.assertEqual(budget.totals["refused_quota"], 1)

    async def test_hedges_that_are_prepared_at_once_share_the_budget(self):
        """Guards against slow servers that make all waiting requests be hedged."""
        budget = HedgeBudget()
        hedging = Hedging(HeadLatencies(), Router(), ManualTimers(), 0.05, budget)

        async def prepare():
            context = make_context()
            if not hedging.allows(context):
                return False
            await asyncio.sleep(0)  # The probe for a free slot.
            return await hedging.try_spend(context)

        sent = await asyncio.gather(*(prepare() for _ in range(20)))
        self.assertEqual(sum(sent), 1)
        self.assertEqual(budget.totals["refused_budget"], 19)

    async def test_hedge_that_the_quota_refuses_costs_no_budget(self):
        async def refuse(context):
            return False

        hedging = Hedging(
            HeadLatencies(), Router(), ManualTimers(), 0.05, HedgeBudget(), refuse
        )
        self.assertFalse(await hedging.try_spend(make_context()))
        self.assertTrue(hedging.allows(make_context()))

    async def test_retries_earn_no_hedges(self):
        """Guards against failures of servers that raise the share of hedges."""
        budget = HedgeBudget()
        hedging = Hedging(HeadLatencies(), Router(), ManualTimers(), 0.1, budget)
        context = make_context()
        context.rule = context.rule._replace(retry=RetrySettings(5, hedge=True))
        for context.attempts in (1, 2, 3):
            hedging.find_delay_s(context)
        self.assertAlmostEqual(budget.dump()["saved"]["g"]["hedges"], 1.1)

    async def test_saved_hedges_are_bounded(self):
        """Guards against a long idle time that pays for a burst of hedges."""
        budget = HedgeBudget()
        for _ in range(10_000):
            budget.record_request("g", MEAN_S, 0.5)
        sent = 0
        while budget.allows("g", MEAN_S):
            budget.spend("g", MEAN_S)
            sent += 1
        self.assertLessEqual(sent, 5)

    async def test_without_a_budget_hedges_are_left_to_the_retry_budget(self):
        budget = HedgeBudget()
        hedging = Hedging(HeadLatencies(), Router(), ManualTimers(), 0.0, budget)
        context = make_context()
        hedging.find_delay_s(context)
        self.assertTrue(hedging.allows(context))
        self.assertEqual(budget.dump(), {"totals": {}, "saved": {}})
