"""Load pattern: a few callers have a gateway to themselves, one of many gateways."""

from __future__ import annotations

from geraniumbend.admission import Admission
from geraniumbend.routing import LoadReport
from tests.admission.test_admission import AdmissionCase, build_table
from tests.fakes import FakeShares

GATEWAYS = 13
SERVICE_S = 0.05
SLOTS = 6


class FewCallersTest(AdmissionCase):
    """Guards against refusals by fairness where there is nobody else to be fair to."""

    def setUp(self):
        super().setUp()
        self.table = build_table(self.timers, count=6, slots=SLOTS)
        for _ in range(200):
            self.table.costs.observe("g", "c", SERVICE_S)
        shares = FakeShares(GATEWAYS)
        self.admission = Admission(self.table, shares, self.timers, 512, 7)

    async def play(self, callers, in_flight, steps=200):
        """Let callers send in turn; return the share of admitted requests of each."""
        results = {caller: [] for caller in callers}
        for step in range(steps):
            if step % 5 == 0:
                for view in self.table.available("g"):
                    report = LoadReport(in_flight, SLOTS)
                    view.observe_report(report, self.timers.now())
            caller = callers[step % len(callers)]
            results[caller].append(
                self.start(self.admission, caller=caller, service_s=SERVICE_S)
            )
            await self.timers.advance(0.025)
        await self.finish()
        return {
            caller: sum(task.result() is True for task in tasks) / len(tasks)
            for caller, tasks in results.items()
        }

    async def test_only_caller_is_admitted_while_servers_are_just_full(self):
        served = await self.play(["one"], in_flight=SLOTS)
        self.assertGreater(served["one"], 0.95)

    async def test_only_caller_loses_no_more_than_the_overload(self):
        """Guards against one caller refused whole for an overload of a twelfth."""
        served = await self.play(["one"], in_flight=SLOTS + 0.5, steps=40)
        self.assertGreater(served["one"], 0.8)

    async def test_refusal_tells_the_inputs_of_its_decision(self):
        """Guards against refusals that the log does not explain."""
        await self.play(["one"], in_flight=2 * SLOTS, steps=60)
        refused = [t.result() for t in self.tasks if isinstance(t.result(), Exception)]
        inputs = refused[-1].inputs
        self.assertAlmostEqual(inputs["share"], 1 / GATEWAYS, 3)
        self.assertEqual((inputs["caller_share"], inputs["utilization"]), (1.0, 2.0))
        self.assertLess(inputs["level"], 1)
        self.assertLessEqual(inputs["inputs_age_s"], 0.1)

    async def test_two_callers_have_the_same_share(self):
        served = await self.play(["one", "two"], in_flight=SLOTS + 0.5, steps=40)
        self.assertGreater(min(served.values()), 0.7)
