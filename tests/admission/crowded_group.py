"""Model of many gateways in front of one group with too few slots.

The gateways run the real admission by rank and tenant. Servers, callers and probes are
played on a clock that jumps from event to event.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from typing import NamedTuple

from geraniumbend.admission import AdmissionRequest, Ranking
from geraniumbend.caller_waits import compute_max_wait
from geraniumbend.membership import Member
from geraniumbend.routing import LoadReport, ServerTable, SlotTurn
from geraniumbend.routing._slot_line import SlotLine
from tests.fakes import FakeShares, build_configuration, build_servers

SLOTS = 6
PROBES = 6
# Running requests up to which a server is lightly loaded. Others get a request that has
# waited for a part of its service time, or at once while others wait behind it.
LIGHT_LOAD = 4
LIGHT_LOAD_WAIT_FACTOR = 0.5
POLL_S = 0.015
# Time within which most responses are complete, as a multiple of the mean.
RESPONSE_FACTOR = 1.5


class RequestKind(NamedTuple):
    name: str
    rank: int
    per_s: float
    service_s: float
    deadline_s: float

    @property
    def response_s(self):
        return RESPONSE_FACTOR * self.service_s


# Deployment A on a third of its scale.
KINDS = (
    RequestKind("read", 0, 99.0, 0.191, 2.476),
    RequestKind("order", 1, 39.0, 0.252, 3.035),
    RequestKind("download", 2, 15.7, 0.172, 2.421),
)
TENANTS = 72
GATEWAYS = 32
SERVERS = 8


class Clock:
    """Clock of the model; periodic work is started by the model itself."""

    def __init__(self):
        self.now_s = 0.0

    def now(self):
        return self.now_s

    def every(self, period_s, callback, jitter=0.0):
        return self

    def cancel(self):
        pass


class ModelBus:
    """Carries messages between gateways at once, except those that were cut off."""

    def __init__(self):
        self.handlers = defaultdict(dict)
        self.live = []
        self.cut = set()
        self.sent_bytes = 0

    def send(self, sender, node, kind, value):
        self.sent_bytes += len(value)
        if not self.cut & {sender, node} and node in self.live:
            self.handlers[node][kind](sender, value)
        return True


class ModelMembership:
    def __init__(self, bus, name):
        self.bus = bus
        self.name = name

    def list_live_gateways(self):
        return [Member(name, "gateway", "", "", "alive", 1) for name in self.bus.live]

    def send_message(self, node, kind, value):
        return self.bus.send(self.name, node, kind, value)

    def handle_messages(self, kind, handler):
        self.bus.handlers[self.name][kind] = handler


class Call:
    """One request of a caller."""

    def __init__(self, kind, tenant, now, is_retry=False):
        self.kind = kind
        self.tenant = tenant
        self.started_s = now
        self.is_retry = is_retry
        self.waiting = None

    @property
    def ends_s(self):
        return self.started_s + self.kind.deadline_s


class Tally:
    """What became of the requests of one kind or tenant."""

    def __init__(self):
        self.offered = self.served = self.in_time = self.refused = 0

    @property
    def share(self):
        return self.in_time / max(1, self.offered)


class CrowdedGroup:
    """Gateways, callers and servers of one run.

    Parameters
    ----------
    ranked : bool
        Whether the part is switched on.
    rate : callable
        Factor on the rate of a kind of requests, by name, tenant and time in seconds.
    retries : callable or None
        Delay in seconds after which a refused caller returns; None for never.
    """

    def __init__(self, ranked=True, rate=lambda kind, tenant, now: 1.0, retries=None):
        self.ranked = ranked
        self.rate = rate
        self.retries = retries
        self.random = random.Random(7)
        self.clock = Clock()
        self.bus = ModelBus()
        self.events = []
        self.numbers = itertools.count()
        self.running = [0] * SERVERS
        self.busy_s = 0.0
        self.busy_at = 0.0
        self.measured_from = 0.0
        self.by_kind = defaultdict(Tally)
        self.by_tenant = defaultdict(Tally)
        self.by_cell = defaultdict(Tally)
        self.refusal_ages = []
        self.retry_refused = self.retried = 0
        self.lines = [SlotLine(self.clock) for _ in range(GATEWAYS)]
        self.waiting = defaultdict(list)
        self.polling = set()
        self.in_flight = [0] * GATEWAYS
        self.waits = []
        self.gateways = [self.build_gateway(f"g{n:02}") for n in range(GATEWAYS)]
        self.bus.live = [f"g{n:02}" for n in range(GATEWAYS)]
        weights = [1 / (n + 1) ** 1.2 for n in range(TENANTS)]
        self.weights = [weight / sum(weights) for weight in weights]

    def build_gateway(self, name):
        table = ServerTable(self.clock)
        table.update(build_servers(SERVERS, SLOTS), build_configuration())
        shares = FakeShares(GATEWAYS)
        membership = ModelMembership(self.bus, name)
        ranking = Ranking(table, shares, membership, self.clock, self.random.random())
        ranking.start()
        return table, ranking

    def at(self, time_s, action, *arguments):
        heapq.heappush(self.events, (time_s, next(self.numbers), action, arguments))

    def run(self, seconds, measured_from):
        self.measured_from = measured_from
        for kind in KINDS:
            for tenant in range(TENANTS):
                self.at(0.0, self.draw_arrivals, kind, tenant, 0.0)
        for index in range(GATEWAYS):
            self.at(index / GATEWAYS, self.exchange, index)
        while self.events and self.events[0][0] < seconds:
            now, _, action, arguments = heapq.heappop(self.events)
            self.count_busy(now)
            self.clock.now_s = now
            action(*arguments)
        self.count_busy(seconds)
        self.measured_s = seconds - measured_from
        return self

    def count_busy(self, now):
        if self.clock.now_s >= self.measured_from:
            self.busy_s += sum(self.running) * (now - self.clock.now_s)

    @property
    def utilization(self):
        return self.busy_s / self.measured_s / (SERVERS * SLOTS)

    def exchange(self, index):
        if f"g{index:02}" in self.bus.live:
            self.gateways[index][1]._exchange.send_round()
            self.at(self.clock.now_s + 1.0, self.exchange, index)

    def draw_arrivals(self, kind, tenant, now):
        """Let the requests of a tenth of a second arrive, and call again."""
        self.at(now + 0.1, self.draw_arrivals, kind, tenant, now + 0.1)
        factor = self.rate(kind.name, tenant, now)
        mean = 0.1 * kind.per_s * self.weights[tenant] * factor
        spent = self.random.expovariate(1.0)
        while spent < mean:
            arrival = now + 0.1 * self.random.random()
            self.at(arrival, self.arrive, kind, tenant)
            spent += self.random.expovariate(1.0)

    def list_tallies(self, call):
        name = f"t{call.tenant}"
        return (
            self.by_kind[call.kind.name],
            self.by_tenant[name],
            self.by_cell[call.kind.name, name],
        )

    def is_measured(self, call):
        return call.started_s >= self.measured_from

    def arrive(self, kind, tenant, is_retry=False):
        call = Call(kind, tenant, self.clock.now_s, is_retry)
        if self.is_measured(call):
            for tally in self.list_tallies(call):
                tally.offered += 1
        self.retried += is_retry
        index = int(self.random.choice(self.bus.live)[1:])
        ranking = self.gateways[index][1]
        if self.ranked:
            request = AdmissionRequest(
                "g",
                kind.name,
                "",
                "",
                call.ends_s,
                kind.rank,
                f"t{tenant}",
            )
            decision = ranking.decide(request, kind.service_s)
            if decision.action == "refuse":
                self.refuse(call, decision.delay_s)
                return
        self.find_slot(index, call)

    def find_slot(self, index, call):
        """Send a call to a lightly loaded server, or let it wait for its turn."""
        now, line = self.clock.now_s, self.lines[index]
        if not line.count("g"):
            server = self.probe(index)
            if server is not None and self.running[server] + 1 <= LIGHT_LOAD:
                self.serve(index, server, call)
                return
        turn = SlotTurn(0, 0.0, now)
        if self.ranked:
            ranking = self.gateways[index][1]
            tenant = f"t{call.tenant}"
            turn = ranking.find_turn("g", call.kind.rank, tenant, now)
        latest_s = now + compute_max_wait(call.ends_s - now, call.kind.response_s)
        call.waiting = line.join("g", turn, call.kind.service_s, latest_s)
        self.waiting[index].append(call)
        self.review(index, is_due=True)
        if index not in self.polling:
            self.polling.add(index)
            self.at(now + POLL_S, self.poll, index)

    def count_slots(self, index):
        return max(self.in_flight[index], SERVERS * SLOTS / len(self.bus.live))

    def review(self, index, is_due=False):
        """Refuse the calls that will have no slot in time."""
        self.lines[index].review("g", self.count_slots(index), is_due)
        for call in list(self.waiting[index]):
            if call.waiting.refused_after_s is not None:
                self.leave(index, call, has_slot=False)
                self.refuse_late(index, call, call.waiting.refused_after_s)

    def refuse_late(self, index, call, delay_s):
        if self.ranked:
            self.gateways[index][1].observe_refusal("g")
        self.refuse(call, delay_s)

    def leave(self, index, call, has_slot):
        self.waiting[index].remove(call)
        self.lines[index].leave("g", call.waiting, has_slot)

    def poll(self, index):
        """Probe servers for the first call of a gateway until none waits."""
        line, now = self.lines[index], self.clock.now_s
        while self.waiting[index]:
            self.review(index)
            call = next(
                call for call in self.waiting[index] if line.is_first("g", call.waiting)
            )
            server = self.probe(index)
            if server is not None and self.accepts(index, server, call):
                self.leave(index, call, has_slot=True)
                self.serve(index, server, call)
            elif now + POLL_S > call.waiting.latest_s:
                delay_s = line.estimate_room(
                    "g", call.kind.service_s, self.count_slots(index)
                )
                self.leave(index, call, has_slot=False)
                self.refuse_late(index, call, delay_s)
            else:
                self.at(now + POLL_S, self.poll, index)
                return
        self.polling.discard(index)

    def accepts(self, index, server, call):
        """Tell whether a call goes to a server with a free slot."""
        if self.running[server] + 1 <= LIGHT_LOAD or len(self.waiting[index]) > 1:
            return True
        held_s = LIGHT_LOAD_WAIT_FACTOR * call.kind.service_s
        return self.clock.now_s >= call.started_s + held_s

    def probe(self, index):
        """Report the load of some servers; return the least loaded with a free slot."""
        table = self.gateways[index][0]
        probed = self.random.sample(range(SERVERS), PROBES)
        for server in probed:
            report = LoadReport(self.running[server], SLOTS)
            table.view(f"s{server}").observe_report(report, self.clock.now_s)
        best = min(probed, key=lambda server: self.running[server])
        return best if self.running[best] < SLOTS else None

    def serve(self, index, server, call):
        self.running[server] += 1
        self.in_flight[index] += 1
        busy = self.running[server] / SLOTS
        slowdown = 1 + 0.7 * max(0.0, busy - 0.8) / 0.2
        duration_s = call.kind.service_s * slowdown * self.random.uniform(0.5, 1.5)
        self.at(self.clock.now_s + duration_s, self.end, index, server, call)

    def end(self, index, server, call):
        self.running[server] -= 1
        self.in_flight[index] -= 1
        if self.is_measured(call):
            took_s = self.clock.now_s - call.started_s
            self.waits.append(took_s)
            for tally in self.list_tallies(call):
                tally.served += 1
                tally.in_time += took_s <= call.kind.deadline_s

    def refuse(self, call, delay_s):
        now = self.clock.now_s
        if self.is_measured(call):
            held = (now - call.started_s) / call.kind.deadline_s
            self.refusal_ages.append(held)
            for tally in self.list_tallies(call):
                tally.refused += 1
        self.retry_refused += call.is_retry
        if self.retries is not None and not call.is_retry:
            pause_s = self.retries(min(delay_s, (call.ends_s - now) / 3))
            self.at(now + pause_s, self.arrive, call.kind, call.tenant, True)
