"""Load pattern: callers move to a gateway that had little or no demand before."""

from __future__ import annotations

from geraniumbend.admission import Admission
from geraniumbend.routing import LoadReport
from tests.admission.test_admission import AdmissionCase, build_table
from tests.fakes import FakeShares

GATEWAYS = 3
# Share of the demand that the gateway reports until the shares follow.
OLD_SHARE = 0.005
OPEN_SIZE = 12
SERVICE_S = 0.02


class MovedCallersTest(AdmissionCase):
    def setUp(self):
        super().setUp()
        self.table = build_table(self.timers, count=3, slots=6)
        for _ in range(200):
            self.table.costs.observe("g", "c", SERVICE_S)
        shares = FakeShares(GATEWAYS)
        shares.demand["g"] = OLD_SHARE
        self.admission = Admission(self.table, shares, self.timers, 512, 7)

    async def open_sheets(self, count=10, pause_s=0.3):
        for number in range(count):
            for _ in range(OPEN_SIZE):
                self.start(self.admission, f"open-{number}", service_s=SERVICE_S)
            await self.timers.advance(pause_s)
        return await self.finish()

    def report(self, in_flight):
        for view in self.table.available("g"):
            view.observe_report(LoadReport(in_flight, 6), self.timers.now())

    async def test_nothing_is_refused_while_the_servers_tell_nothing(self):
        """Guards against refusals beside idle servers after a quiet time."""
        self.assertEqual(set(await self.open_sheets()), {True})

    async def test_nothing_is_refused_while_the_servers_report_free_slots(self):
        self.report(1)
        self.assertEqual(set(await self.open_sheets(count=4)), {True})

    async def test_requests_of_an_open_do_not_wait_for_each_other(self):
        """Guards against an open that runs one request after the other."""
        results = [
            self.start(self.admission, "open", service_s=SERVICE_S)
            for _ in range(OPEN_SIZE)
        ]
        await self.timers.advance(3 * SERVICE_S)
        self.assertTrue(all(result.done() for result in results))

    async def test_share_of_the_demand_counts_while_the_servers_are_busy(self):
        """Guards against gateways that together admit more than the servers can run."""
        for step in range(20):
            self.report(8)
            for number in range(10):
                sheet = f"open-{step}-{number}"
                self.start(self.admission, sheet, service_s=SERVICE_S)
            await self.timers.advance(0.1)
        refused = [r for r in await self.finish() if isinstance(r, Exception)]
        self.assertGreater(len(refused), 100)
