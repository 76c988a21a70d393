from __future__ import annotations

import asyncio
import random
import unittest

from geraniumbend.admission import Admission, AdmissionRequest, shedding_rank
from geraniumbend.admission._admission import MAX_CALLER_SHARE
from geraniumbend.admission._sheet_opens import SheetDecisionCache
from geraniumbend.errors import RefusedError
from geraniumbend.routing import LoadReport, ServerTable
from geraniumbend.timers import ManualTimers
from tests.fakes import FakeShares, build_configuration, build_servers

SERVICE_S = 0.2


def build_table(timers, count=15, slots=6):
    table = ServerTable(timers)
    table.update(build_servers(count, slots), build_configuration())
    for _ in range(20):
        table.costs.observe("g", "c", SERVICE_S)
    return table


class AdmissionCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.table = build_table(self.timers)
        self.tasks = []

    async def asyncSetUp(self):
        # Debug mode slows down thousands of short tasks several times.
        asyncio.get_running_loop().set_debug(False)

    def build(self, gateways=1, queue_limit=512):
        return Admission(self.table, FakeShares(gateways), self.timers, queue_limit, 7)

    def start(self, admission, sheet="", caller="", time_s=2.0, service_s=SERVICE_S):
        caller = caller or f"caller-{len(self.tasks) % 200}"
        deadline = self.timers.now() + time_s

        async def run():
            request = AdmissionRequest("g", "c", sheet, caller, deadline)
            try:
                ticket = await admission.admit(request)
            except RefusedError as error:
                return error
            await self.timers.sleep(service_s)
            ticket.release()
            return self.timers.now() <= deadline

        self.tasks.append(asyncio.ensure_future(run()))
        return self.tasks[-1]

    async def finish(self):
        await self.timers.advance(10)
        return [task.result() for task in self.tasks]


class AdmissionTest(AdmissionCase):
    async def test_all_demand_below_capacity_is_admitted(self):
        admission = self.build()
        for _ in range(100):
            for _ in range(4):
                self.start(admission)
            await self.timers.advance(0.01)
        self.assertEqual(set(await self.finish()), {True})

    async def test_overload_completes_whole_sheet_opens_across_many_gateways(self):
        gateways = [self.build(gateways=13) for _ in range(13)]
        source = random.Random(5)
        sheet_opens = []
        for step in range(400):
            # 90 slots of 0.2 s serve 4.5 requests per step; a sheet open has 8.
            for _ in range(source.choice((1, 2, 2))):
                sheet = f"open-{len(sheet_opens)}"
                sheet_opens.append(
                    [self.start(source.choice(gateways), sheet) for _ in range(8)]
                )
            if step % 5 == 4:
                await self.timers.advance(0.05)
        await self.finish()
        measured = sheet_opens[150:]
        whole = sum(all(task.result() is True for task in tasks) for tasks in measured)
        capacity = 4.5 / (8 * 5 / 3)
        self.assertGreater(whole / len(measured), 0.85 * capacity)

    async def test_refusal_is_immediate_and_marked_as_not_run(self):
        admission = self.build(gateways=90)
        self.start(admission, time_s=10)
        await self.timers.advance(0)
        for _ in range(12):
            self.start(admission, time_s=0.5)
        before = self.timers.now()
        await self.timers.advance(0.0)
        refused = [task.result() for task in self.tasks if task.done()]
        self.assertGreaterEqual(len(refused), 1)
        self.assertEqual({error.run for error in refused}, {"not_run"})
        self.assertEqual(self.timers.now(), before)

    async def test_request_that_can_no_longer_finish_is_removed_from_the_queue(self):
        admission = self.build(gateways=90)
        for _ in range(2):
            self.start(admission, time_s=10, service_s=5.0)
        await self.timers.advance(0)
        queued = self.start(admission, time_s=1.0)
        await self.timers.advance(0.1)
        self.assertFalse(queued.done())
        # The requests before it take much longer than usual. Its caller learns that
        # while it has time to ask elsewhere.
        await self.timers.advance(0.6)
        self.assertIsInstance(queued.result(), RefusedError)

    async def test_lowest_rank_goes_first_and_a_full_queue_drops_the_highest(self):
        admission = self.build(gateways=90, queue_limit=3)
        first = [self.start(admission, service_s=1.0) for _ in range(2)]
        await self.timers.advance(0)
        sheets = sorted((f"s{n}" for n in range(4)), key=shedding_rank, reverse=True)
        queued = [self.start(admission, sheet, time_s=9) for sheet in sheets]
        await self.timers.advance(0)
        self.assertIsInstance(queued[0].result(), RefusedError)
        await self.timers.advance(1.25)
        self.assertTrue(all(task.done() for task in first))
        self.assertEqual([task.done() for task in queued[1:]], [False, True, True])

    async def test_refused_sheet_open_is_decided_anew_when_its_callers_return(self):
        """Guards against a sheet that stays refused when its callers come as told."""
        cache = SheetDecisionCache()
        cache.record("g", "s", False, 10.0, 0.4)
        # The rest of its burst is refused with it.
        self.assertIs(cache.find("g", "s", 10.3), False)
        self.assertIsNone(cache.find("g", "s", 10.4))

    async def test_requests_without_a_sheet_open_wait_in_order_of_arrival(self):
        """Guards against waiting requests that later ones overtake by a draw."""
        admission = self.build(gateways=90)
        for _ in range(2):
            self.start(admission, service_s=0.2)
        await self.timers.advance(0)
        ended = []
        for number in range(6):
            task = self.start(admission, time_s=9)
            task.add_done_callback(lambda _, number=number: ended.append(number))
        await self.finish()
        self.assertEqual(ended, sorted(ended))

    async def test_burst_that_fits_into_the_time_of_its_callers_is_served(self):
        """Guards against refusals by a rate that exceeds the capacity for a moment."""
        for time_s, count in ((2.0, 500), (9.0, 2000)):
            admission = self.build(queue_limit=4096)
            self.tasks.clear()
            for _ in range(20):
                for _ in range(count // 20):
                    self.start(admission, time_s=time_s)
                await self.timers.advance(0.01)
            # 90 slots of 0.2 s take 1.1 s and 4.4 s for them.
            self.assertEqual(set(await self.finish()), {True})

    async def test_cancelled_caller_leaves_neither_queue_nor_slot_occupied(self):
        admission = self.build(gateways=90)
        for _ in range(2):
            self.start(admission, service_s=0.5)
        await self.timers.advance(0)
        cancelled = self.start(admission)
        await self.timers.advance(0)
        cancelled.cancel()
        await self.timers.advance(0)
        self.assertEqual(admission.dump()["g/short"]["queued"], 0)
        await self.timers.advance(1)
        state = admission.dump()["g/short"]
        self.assertEqual((state["running"], state["queued"]), (0, 0))

    async def test_flood_from_one_caller_does_not_starve_the_others(self):
        admission = self.build()
        regular, flooding = [], []
        for _ in range(400):
            for _ in range(30):
                flooding.append(self.start(admission, caller="flood"))
            for _ in range(5):
                regular.append(self.start(admission, caller=f"c{len(regular) % 50}"))
            await self.timers.advance(0.01)
        await self.finish()
        # During the first second the rate of the flooding caller is being learned.
        measured = [task.result() is True for task in regular[500:]]
        served = [task.result() is True for task in flooding[3000:]]
        # 90 slots of 0.2 s serve 4.5 requests in 10 ms; the regular callers send 5.
        fair = (1 - MAX_CALLER_SHARE) * 4.5 / 5
        self.assertGreater(sum(measured) / len(measured), 0.9 * fair)
        self.assertLess(sum(served), 2 * MAX_CALLER_SHARE * 450 * 3)

    async def test_recovers_within_two_seconds_after_an_overload(self):
        admission = self.build()
        for _ in range(300):
            for _ in range(14):
                self.start(admission)
            await self.timers.advance(0.01)
        self.assertLess(admission.dump()["g/short"]["level"], 0.6)
        await self.timers.advance(2)
        self.tasks.clear()
        for _ in range(100):
            self.start(admission)
            await self.timers.advance(0.01)
        self.assertEqual(set(await self.finish()), {True})

    async def test_every_group_admits_at_least_one_request(self):
        admission = self.build(gateways=10_000)
        self.start(admission)
        self.assertEqual(await self.finish(), [True])


class UnevenCallersTest(AdmissionCase):
    """One gateway gets a third of all callers while servers have spare capacity."""

    def report(self, in_flight):
        for view in self.table.views("g"):
            report = LoadReport(in_flight, view.slots)
            view.observe_report(report, self.timers.now())

    async def test_no_request_waits_while_servers_report_spare_capacity(self):
        admission = self.build(gateways=13)
        self.report(2)
        for _ in range(30):
            self.start(admission, time_s=0.45)
        await self.timers.advance(0.21)
        self.assertTrue(all(task.done() for task in self.tasks))
        self.assertEqual(set(await self.finish()), {True})

    async def test_gateway_share_limits_requests_when_servers_are_full(self):
        admission = self.build(gateways=13)
        self.report(6)
        for _ in range(30):
            self.start(admission, time_s=2.0)
        await self.timers.advance(0.21)
        self.assertLess(sum(task.done() for task in self.tasks), 20)
        await self.finish()
