from __future__ import annotations

import unittest

from geraniumbend.membership import RateTotals
from geraniumbend.retries import RetryBudget
from tests.fakes import FakeBus, FakeShares, StepTimers


class RetryBudgetTest(unittest.TestCase):
    def build(self, gateways):
        self.timers = StepTimers()
        bus = FakeBus()
        shares = FakeShares(gateways)
        return [
            RetryBudget(
                RateTotals(bus.join(f"n{index}"), self.timers), shares, self.timers
            )
            for index in range(gateways)
        ]

    def spend_all(self, budget):
        return sum(budget.try_acquire("g") for _ in range(1000))

    def record_success(self, budget, count):
        for _ in range(count):
            budget.record_success("g")

    def test_all_gateways_together_spend_a_tenth_of_their_successes(self):
        budgets = self.build(5)
        for index, budget in enumerate(budgets):
            self.record_success(budget, 400 * index)
        self.timers.step(1.1)
        for budget in budgets:
            budget.record_success("g")
        self.timers.step(1.1)
        total = sum(self.spend_all(budget) for budget in budgets)
        self.assertLessEqual(total, 400)
        self.assertGreater(total, 300)

    def test_gateway_with_few_successes_uses_the_budget_of_the_others(self):
        busy, idle = self.build(2)
        self.record_success(busy, 1000)
        self.timers.step(1.1)
        busy.record_success("g")
        self.assertGreater(self.spend_all(idle), 10)

    def test_total_failure_leaves_one_retry_per_window(self):
        (budget,) = self.build(1)
        self.record_success(budget, 500)
        self.spend_all(budget)
        self.timers.step(60)
        self.assertEqual(self.spend_all(budget), 1)

    def test_sums_of_the_other_domains_count_into_the_shared_budget(self):
        """Guards against failure domains of a large cluster that exceed the budget."""
        timers = StepTimers()
        shares = FakeShares(70)
        bus = FakeBus()
        budgets = []
        totals = []
        for domain in range(7):
            for index in range(10):
                node = bus.join(f"d{domain}n{index}", f"d{domain}")
                totals.append(RateTotals(node, timers))
                budget = RetryBudget(totals[-1], shares, timers)
                self.record_success(budget, 100 * (1 + domain % 3))
                budgets.append(budget)
        earned = 10 * 100 * (1 + 2 + 3 + 1 + 2 + 3 + 1)
        timers.step(1.1)
        for budget in budgets:
            budget.record_success("g")
        for total in totals:
            total.publish_domain_sums()
        timers.step(1.1)
        total = sum(self.spend_all(budget) for budget in budgets)
        self.assertLessEqual(total, 0.1 * (earned + len(budgets)))
        self.assertGreater(total, 0.08 * earned)

    def test_budgets_of_groups_are_separate(self):
        (budget,) = self.build(1)
        self.record_success(budget, 500)
        self.assertTrue(budget.try_acquire("other"))
        self.assertFalse(budget.try_acquire("other"))


class AllowanceTest(unittest.TestCase):
    """Budget with a ratio and an allowance that all gateways share."""

    def build(self, gateways, ratio=0.16, allowance=45.0):
        self.timers = StepTimers()
        bus = FakeBus()
        shares = FakeShares(gateways)
        return [
            RetryBudget(
                RateTotals(bus.join(f"n{index}"), self.timers),
                shares,
                self.timers,
                ratio,
                10.0,
                allowance,
            )
            for index in range(gateways)
        ]

    def test_every_window_stays_within_ratio_and_allowance(self):
        budgets = self.build(13)
        self.timers.step(3)
        retries = []
        requests = []
        for step in range(600):
            now = self.timers.now()
            for index, budget in enumerate(budgets):
                # Uneven shares, and a peak of demand in the middle.
                if step % (1 + index) == 0 or 200 < step < 300:
                    requests.append(now)
                    budget.record_success("g")
                if budget.try_acquire("g"):
                    retries.append(now)
            self.timers.step(0.05)
        for start in range(0, 300, 5):
            begin = 1003 + start / 10
            spent = sum(begin <= at < begin + 10 for at in retries)
            earned = max(
                sum(first <= at < first + 10 for at in requests)
                for first in (begin, begin - 5, begin - 10)
            )
            self.assertLessEqual(spent, 0.2 * earned + 56)

    def test_gateway_that_has_just_started_does_not_use_the_allowance(self):
        (budget,) = self.build(1)
        self.assertFalse(budget.try_acquire("g"))
        self.timers.step(3)
        self.assertTrue(budget.try_acquire("g"))
