"""Load scenarios of a group with too few slots, with the part on and off."""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter

from geraniumbend.admission import AdmissionRequest, Ranking
from geraniumbend.admission._crowding_control import CrowdingControl
from geraniumbend.admission._demand_exchange import (
    MAX_SUM_CELLS,
    ROW_KIND,
    DemandExchange,
)
from geraniumbend.admission._rank_gate import (
    DEMAND_S,
    GateInputs,
    GateRequest,
    RankGate,
)
from geraniumbend.admission._ranked_demand import (
    REST,
    Cell,
    decode_rates,
    encode_rates,
)
from geraniumbend.admission._share_filling import divide_capacity
from geraniumbend.routing import LoadReport, ServerTable
from tests.admission.crowded_group import (
    GATEWAYS,
    Clock,
    CrowdedGroup,
    ModelBus,
    ModelMembership,
)
from tests.fakes import FakeShares, build_configuration, build_servers

# Share of the caller's time up to which a refusal leaves it time for another gateway.
PROMPT = 0.25


def is_prompt(group):
    """Tell whether nearly all refusals come at once, and none is held to the end."""
    ages = group.refusal_ages
    held = sum(age > PROMPT for age in ages)
    return held <= 0.05 * len(ages) and max(ages) < 1.0


def is_ranked(group):
    read, order, download = (
        group.by_kind[name].share for name in ("read", "order", "download")
    )
    return read >= order - 0.05 and order >= download - 0.05


class LoadScenarioTest(unittest.TestCase):
    def run_both(self, seconds=12, measured_from=5, **load):
        return (
            CrowdedGroup(ranked=True, **load).run(seconds, measured_from),
            CrowdedGroup(ranked=False, **load).run(seconds, measured_from),
        )

    def assert_busy(self, on, off):
        """Guards against refusals beside free slots, and against too few refusals."""
        self.assertGreater(on.utilization, 0.7)
        in_time = [sum(t.in_time for t in g.by_kind.values()) for g in (on, off)]
        self.assertGreater(in_time[0], in_time[1])
        reads = [g.by_kind["read"].in_time for g in (on, off)]
        self.assertGreater(reads[0], 1.2 * reads[1])
        # Nobody is served after its time, for which a slot would be wasted.
        self.assertLessEqual(on.by_kind["read"].served - reads[0], 0.01 * reads[0])

    def test_one_tenant_at_7_times_its_rate(self):
        on, off = self.run_both(rate=lambda kind, tenant, now: 7 if tenant == 1 else 1)
        others = [
            sum(t.in_time for name, t in g.by_cell.items() if self.is_other_read(name))
            / sum(
                t.offered for name, t in g.by_cell.items() if self.is_other_read(name)
            )
            for g in (on, off)
        ]
        flooding = on.by_cell["read", "t1"].share
        self.assertGreater(others[0], flooding + 0.05)
        self.assertGreater(others[0], 0.7)
        self.assertLess(others[1], 0.7)
        self.assertTrue(is_prompt(on) and is_ranked(on))
        self.assertFalse(is_prompt(off))
        self.assert_busy(on, off)

    @staticmethod
    def is_other_read(cell):
        return cell[0] == "read" and cell[1] != "t1"

    def test_three_tenants_at_5_times_their_rate(self):
        def rate(kind, tenant, now):
            return 5 if tenant in (1, 2, 3) else 1

        on, off = self.run_both(rate=rate)
        overall = sum(t.served for t in on.by_tenant.values()) / sum(
            t.offered for t in on.by_tenant.values()
        )
        for name, tally in on.by_tenant.items():
            if tally.offered >= 100:
                served = tally.served / tally.offered
                self.assertGreater(served, 0.25 * overall, name)
        small = [
            sum(t.share * t.offered for n, t in g.by_tenant.items() if int(n[1:]) > 9)
            / sum(t.offered for n, t in g.by_tenant.items() if int(n[1:]) > 9)
            for g in (on, off)
        ]
        self.assertGreater(small[0], on.by_tenant["t1"].share + 0.05)
        self.assertGreater(small[0], small[1] + 0.1)
        self.assertTrue(is_prompt(on) and is_ranked(on))
        self.assertFalse(is_prompt(off))
        self.assert_busy(on, off)

    def test_burst_of_downloads_beside_reads(self):
        factors = {"read": 1.9, "order": 1.0, "download": 2.3}

        def rate(kind, tenant, now):
            return factors[kind] if 3 <= now < 8 else 1

        on, off = self.run_both(8, 3, rate=rate)
        self.assertTrue(is_ranked(on))
        lead = [
            g.by_kind["read"].share - g.by_kind["download"].share for g in (on, off)
        ]
        self.assertGreater(lead[0], 0.3)
        self.assertLess(lead[1], 0.1)
        gain = on.by_kind["read"].share - off.by_kind["read"].share
        self.assertGreater(gain, 0.15)
        self.assertTrue(is_prompt(on))
        self.assertFalse(is_prompt(off))
        self.assert_busy(on, off)

    def test_wave_out_of_phase_between_failure_domains(self):
        """Swing 0.55, period 13 s; a third of the tenants calls from each domain."""

        def rate(kind, tenant, now):
            phase = 2 * math.pi * (now / 13 + tenant % 3 / 3)
            return 1.4 * (1 + 0.55 * math.sin(phase))

        on, off = self.run_both(18, 5, rate=rate)
        self.assertTrue(is_ranked(on) and is_prompt(on))
        self.assertFalse(is_prompt(off))
        self.assertGreater(on.by_kind["read"].share, off.by_kind["read"].share + 0.1)
        self.assert_busy(on, off)

    def test_callers_that_return_at_once(self):
        load = {"rate": lambda kind, tenant, now: 1.9, "retries": lambda delay_s: 0.02}
        on, off = self.run_both(**load)
        self.assertTrue(is_ranked(on) and is_prompt(on))
        self.assertFalse(is_prompt(off))
        self.assert_busy(on, off)

    def test_a_fifth_of_the_gateways_gone_and_the_others_cut_off_from_each_other(self):
        """Failure: after the loss no sums arrive, so all decide by themselves."""

        class Loss(CrowdedGroup):
            def lose(self):
                self.bus.live = self.bus.live[: GATEWAYS * 4 // 5]
                self.bus.cut = set(self.bus.live)

        def build(ranked):
            group = Loss(ranked, rate=lambda kind, tenant, now: 1.6)
            group.at(4.0, group.lose)
            return group.run(16, 9)

        on, off = build(True), build(False)
        _, age_s = on.gateways[0][1]._exchange.sum_others()
        self.assertEqual(age_s, math.inf)
        self.assertTrue(is_ranked(on) and is_prompt(on))
        self.assertFalse(is_prompt(off))
        self.assert_busy(on, off)

    def test_nothing_is_refused_or_sent_at_normal_load(self):
        """Guards against a cost of the part while the group has room."""
        group = CrowdedGroup(rate=lambda kind, tenant, now: 0.5).run(8, 1)
        self.assertEqual(group.refusal_ages, [])
        self.assertEqual(group.bus.sent_bytes, 0)


class DivisionTest(unittest.TestCase):
    def test_earlier_rank_first_then_an_even_level(self):
        demand = {0: {1: 2.0, 2: 2.0}, 1: {1: 6.0, 2: 1.0, 3: 3.0}, 2: {1: 1.0}}
        shares = divide_capacity(demand, 9.0)
        self.assertEqual(shares[0].find_share(2.0), 1.0)
        self.assertAlmostEqual(shares[1].level, 2.0)
        self.assertEqual(shares[1].find_share(1.0), 1.0)
        self.assertEqual(shares[2].find_share(1.0), 0.0)

    def test_capacity_is_used_up_whatever_the_demand(self):
        """Guards against capacity that is left over beside refused demand."""
        source = random.Random(3)
        for _ in range(200):
            demand = {
                rank: {n: source.expovariate(1) for n in range(1, source.randint(2, 9))}
                for rank in range(source.randint(1, 4))
            }
            total = sum(sum(tenants.values()) for tenants in demand.values())
            capacity = source.uniform(0, 1.2) * total
            shares = divide_capacity(demand, capacity)
            admitted = sum(
                rate * shares[rank].find_share(rate)
                for rank, tenants in demand.items()
                for rate in tenants.values()
            )
            self.assertAlmostEqual(admitted, min(capacity, total))

    def test_work_not_listed_by_tenant_counts_as_small_tenants(self):
        shares = divide_capacity({0: {REST: 2.0, 1: 4.0, 2: 1.0}}, 4.0)
        self.assertAlmostEqual(shares[0].rest_share, 1.0)
        self.assertAlmostEqual(shares[0].level, 1.0)


class RankGateTest(unittest.TestCase):
    def decide(self, gate, rank=0, tenant=1, mix=None, **changes):
        own = {Cell(1, 0, 1): 6.0, Cell(1, 1, 1): 3.0, Cell(1, 1, 2): 3.0}
        inputs = GateInputs(
            0.0, 1.2, 0.0, 6, own, own, {}, math.inf, 1.0, is_short=True
        )
        request = GateRequest(Cell(1, rank, tenant), mix or {rank: 1.0})
        return gate.decide(request, inputs._replace(**changes))

    def test_same_seed_gives_the_same_decisions(self):
        runs = [
            [self.decide(gate, n % 2, now=0.1 * n) for n in range(50)]
            for gate in (RankGate(random.Random(4)), RankGate(random.Random(4)))
        ]
        self.assertEqual(*runs)

    def test_tenant_of_a_late_rank_alone_is_served_a_quarter_as_often_as_all(self):
        gate = RankGate(random.Random(4))
        for step in range(10):
            decision = self.decide(gate, 1, 2, now=0.2 * step)
        self.assertGreater(decision.share, 0.25 * gate.control.share)
        mixed = self.decide(gate, 1, 2, mix={0: 6.0, 1: 1.0}, now=2.0)
        self.assertLess(mixed.share, 0.25 * gate.control.share)

    def test_old_sums_and_old_reports_do_not_count(self):
        """Guards against refusals by what was true some seconds ago."""
        gate = RankGate(random.Random(4))
        others = {Cell(1, 0, 1): 1000.0}
        self.decide(gate, 1, others=others, others_age_s=9.0)
        self.assertGreater(gate.control.share, 0.2)
        gate = RankGate(random.Random(4))
        decision = self.decide(gate, crowding_age_s=1.5)
        self.assertEqual(decision.action, "admit")

    def test_refused_callers_return_at_different_times_after_the_demand_may_change(
        self,
    ):
        """Guards against returns together, and to the same decision."""
        gate = RankGate(random.Random(4))
        decisions = [self.decide(gate, 1, now=0.01 * n) for n in range(200)]
        delays = [d.delay_s for d in decisions if d.action == "refuse"]
        self.assertGreaterEqual(min(delays), DEMAND_S)
        self.assertGreater(max(delays) - min(delays), 0.3)

    def test_full_servers_alone_refuse_nobody(self):
        """Guards against refusals of work that fits into the time of its callers."""
        gate = RankGate(random.Random(4))
        for n in range(100):
            decision = self.decide(gate, 1, 2, is_short=False, now=0.05 * n)
            self.assertEqual(decision.action, "admit")


class RankingTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.table = ServerTable(self.clock)
        self.table.update(build_servers(3, 6), build_configuration())
        self.ranking = Ranking(
            self.table, FakeShares(), None, self.clock, 1, lambda server_id: True
        )

    def decide(self, rank=0):
        request = AdmissionRequest("g", "c", "", "", self.clock.now() + 3, rank, "t")
        return self.ranking.decide(request, 0.2).action

    def test_refusals_count_where_all_servers_are_limited(self):
        """Guards against a group of cold servers that is never seen as crowded."""
        for view in self.table.available("g"):
            view.observe_report(LoadReport(1, 6), 0.0)
        self.assertEqual(self.decide(), "admit")
        self.ranking.observe_refusal("g")
        self.assertNotEqual(self.decide(), "admit")
        self.assertTrue(self.ranking.dump()["groups"]["g"]["crowded"])

    def test_importances_of_any_size_are_served_in_their_order(self):
        """Guards against importances such as 200 and 300 that count as equal."""
        for view in self.table.available("g"):
            view.observe_report(LoadReport(1, 6), 0.0)
        admitted = Counter()
        for _ in range(400):
            self.clock.now_s += 0.005
            self.ranking.observe_refusal("g")
            for rank in (200, 300, -1_000_000, -999_999):
                admitted[rank] += self.decide(rank) != "refuse"
        self.assertGreater(admitted[-1_000_000], 1.5 * admitted[-999_999])
        self.assertGreaterEqual(admitted[-999_999], admitted[200])
        self.assertGreaterEqual(admitted[200], admitted[300])
        cell = Cell(1, -1_000_000, 5)
        decoded, _ = decode_rates(encode_rates({cell: 1.0}, 1, 24))
        self.assertEqual(list(decoded), [cell])

    def test_group_without_requests_does_not_stay_crowded(self):
        """Guards against a removed group that all gateways exchange demand for."""
        bus = ModelBus()
        bus.live = ["n0", "n1"]
        first, second = (
            Ranking(
                self.table,
                FakeShares(),
                ModelMembership(bus, name),
                self.clock,
                1,
                lambda server_id: True,
            )
            for name in bus.live
        )
        for ranking in (first, second):
            ranking.start()
        self.ranking = first
        first.observe_refusal("g")
        self.decide()
        self.assertTrue(first.dump()["groups"]["g"]["crowded"])
        for _ in range(30):
            self.clock.now_s += 1.0
            for ranking in (first, second):
                ranking._exchange.send_round()
        self.assertFalse(first.dump()["groups"]["g"]["crowded"])
        self.assertFalse(second._is_informed())
        sent = bus.sent_bytes
        first._exchange.send_round()
        self.assertEqual(bus.sent_bytes, sent)

    def test_turn_keeps_the_arrival_of_the_request(self):
        """Guards against a repeated attempt that goes behind later requests."""
        early = self.ranking.find_turn("g", 0, "t", 5.0)
        late = self.ranking.find_turn("g", 0, "t", 6.0)
        self.assertLess(early, late)
        self.assertLess(late, self.ranking.find_turn("g", 1, "t", 4.0))

    def test_a_tenant_of_a_group_with_room_costs_nothing_elsewhere(self):
        self.assertEqual(self.decide(), "admit")
        counts = self.ranking.read_counts()
        self.assertEqual(counts, {("g", "0", "admit"): 1.0})


class CrowdingControlTest(unittest.TestCase):
    def test_without_reports_everything_is_admitted_again(self):
        """Guards against refusals that nothing would ever end."""
        control = CrowdingControl()
        for step in range(20):
            control.update(0.1 * step, 1.25, None, is_short=True)
        self.assertLess(control.share, 0.3)
        for step in range(20, 60):
            control.update(0.1 * step, None, None)
        self.assertEqual(control.share, 1.0)
        self.assertFalse(control.active)


class DemandExchangeTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.bus = ModelBus()
        self.is_crowded = True
        self.nodes = {}
        for number in range(19):
            self.bus.live.append(f"g{number:02}")
        for name in self.bus.live:
            rates = {Cell(1, 0, 1): 1.0}
            self.nodes[name] = DemandExchange(
                ModelMembership(self.bus, name),
                self.clock,
                lambda rates=rates: rates,
                lambda: self.is_crowded,
            )
            self.nodes[name].start()

    def play(self, rounds):
        for _ in range(rounds):
            self.clock.now_s += 1.0
            for name in self.bus.live:
                self.nodes[name].send_round()

    def test_every_gateway_learns_the_demand_of_all_others(self):
        self.play(3)
        for exchange in self.nodes.values():
            totals, age_s = exchange.sum_others()
            self.assertAlmostEqual(totals[Cell(1, 0, 1)], 18.0)
            self.assertLessEqual(age_s, 1.0)

    def test_messages_end_when_no_group_is_crowded(self):
        """Guards against gateways that keep each other sending."""
        self.play(2)
        self.is_crowded = False
        self.play(6)
        sent = self.bus.sent_bytes
        self.play(5)
        self.assertEqual(self.bus.sent_bytes, sent)
        self.assertEqual(self.nodes["g00"].sum_others(), ({}, math.inf))

    def test_sums_of_gateways_that_are_gone_expire(self):
        self.play(3)
        self.bus.cut = set(self.bus.live)
        self.play(6)
        self.assertEqual(self.nodes["g00"].sum_others(), ({}, math.inf))

    def test_malformed_messages_are_ignored(self):
        for value in (b"", b"\1", b"\1\0", b"\1\1\0abc", b"\1\1\0" + b"\xff" * 12):
            self.bus.send("g01", "g00", ROW_KIND, value)
        self.assertEqual(self.nodes["g00"].sum_others(), ({}, math.inf))

    def test_a_message_with_many_groups_and_ranks_is_not_too_long(self):
        rates = {Cell(n % 40, n % 7, n + 1): 1.0 + n for n in range(500)}
        self.assertLess(len(encode_rates(rates, 7, MAX_SUM_CELLS)), 900)

    def test_a_message_keeps_the_total_of_each_rank(self):
        """Guards against demand that gets lost when there are many tenants."""
        rates = {Cell(1, n % 2, n + 1): 1.0 + n for n in range(60)}
        value = encode_rates(rates, 7, 24)
        self.assertLess(len(value), 900)
        decoded, gateways = decode_rates(value)
        self.assertEqual(gateways, 7)
        for rank in (0, 1):
            total = sum(rate for cell, rate in decoded.items() if cell.rank == rank)
            wanted = sum(rate for cell, rate in rates.items() if cell.rank == rank)
            self.assertAlmostEqual(total, wanted, delta=0.01 * wanted)
