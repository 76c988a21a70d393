"""Compares several gateways with a plain count of lost servers in random sessions."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from geraniumbend.errors import RefusedError
from geraniumbend.quarantine import Quarantine
from geraniumbend.timers import ManualTimers
from tests.fakes import FakeBus, build_servers
from tests.fuzzing import fuzz

GATEWAYS = st.integers(0, 2)
SERVERS = st.integers(0, 4)


class QuarantineMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self.begin())
        self.lost = []
        self.ordinary = []
        self.succeeded_at = -100.0

    async def begin(self):
        self.timers = ManualTimers()
        self.bus = FakeBus()
        self.bus.announced = build_servers(5)
        self.gateways = [
            Quarantine(f"n{index}", self.bus.join(f"n{index}"), self.timers)
            for index in range(3)
        ]

    def teardown(self):
        # Lets background notices be sent before the loop closes.
        self.loop.run_until_complete(self.timers.advance(0))
        self.loop.close()

    async def run_poison(self, gateway, server_id):
        try:
            await gateway.begin_run("poison")
        except RefusedError as error:
            assert error.run == "not_run"
            return
        await asyncio.sleep(0)
        announced = self.bus.announced[server_id]
        self.lost.append(self.timers.now())
        await gateway.report_loss("poison", server_id)
        restarted = announced._replace(incarnation=announced.incarnation + 1)
        self.bus.announced[server_id] = restarted

    @rule(gateway=GATEWAYS, server=SERVERS)
    def send_poison(self, gateway, server):
        task = self.run_poison(self.gateways[gateway], f"s{server}")
        self.loop.run_until_complete(task)

    @rule(server=SERVERS)
    def send_poison_through_all_gateways_at_once(self, server):
        if not self.lost:
            return

        async def send():
            tasks = [
                asyncio.ensure_future(
                    self.run_poison(gateway, f"s{(server + index) % 5}")
                )
                for index, gateway in enumerate(self.gateways)
            ]
            await self.timers.advance(2)
            await asyncio.gather(*tasks)

        self.loop.run_until_complete(send())

    @rule(gateway=GATEWAYS, server=SERVERS)
    def lose_server_beside_an_ordinary_request(self, gateway, server):
        loss = f"s{server}/{self.bus.announced[f's{server}'].incarnation}"
        now = self.timers.now()
        if now - self.succeeded_at >= 10 and loss not in self.ordinary:
            self.ordinary.append(loss)
        task = self.gateways[gateway].report_loss("ordinary", f"s{server}")
        self.loop.run_until_complete(task)

    @rule()
    def answer_ordinary_request(self):
        async def report_success():
            for gateway in self.gateways:
                gateway.report_success("ordinary")
            await self.timers.advance(0)

        self.loop.run_until_complete(report_success())
        self.succeeded_at = self.timers.now()
        self.ordinary.clear()

    @rule(delay_s=st.sampled_from([0.5, 5.0, 20.0, 601.0]))
    def wait(self, delay_s):
        self.loop.run_until_complete(self.timers.advance(delay_s))
        if delay_s > 600:
            self.lost.clear()
            self.ordinary.clear()

    @rule(gateway=GATEWAYS)
    def clear_as_operator(self, gateway):
        async def clear():
            self.gateways[gateway].clear("poison")
            await self.timers.advance(0)

        self.loop.run_until_complete(clear())
        self.lost.clear()

    @invariant()
    def at_most_two_servers_are_lost_to_one_request(self):
        recent = [at for at in self.lost if self.timers.now() - at < 600]
        assert len(recent) <= 2, recent

    @invariant()
    def ordinary_request_is_refused_only_after_two_losses_without_success(self):
        refused = any(
            entry.quarantined
            for gateway in self.gateways
            for entry in gateway.entries()
            if entry.fingerprint == "ordinary"
        )
        assert refused <= (len(self.ordinary) >= 2), self.ordinary


class QuarantineFuzzTest(QuarantineMachine.TestCase):
    settings = fuzz(max_examples=60, stateful_step_count=25)
