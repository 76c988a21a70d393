"""Fakes of the interfaces between packages."""

from __future__ import annotations

import asyncio

from geraniumbend.membership import Member
from geraniumbend.model import BackendServer, Configuration, Group
from geraniumbend.timers import ManualTimers


class StepTimers(ManualTimers):
    """Manual timers whose clock can be set forward while no task waits for it."""

    def step(self, delay_s):
        assert not self._waiting, "use advance where tasks wait"
        self._now += delay_s


class FakeShares:
    """Shares of this gateway in the cluster, with fixed or assigned values."""

    def __init__(self, gateways=1):
        self.gateways = gateways
        self.demand = {}

    def gateway_share(self):
        return 1 / self.gateways

    def demand_share(self, group):
        return self.demand.get(group, 1 / self.gateways)

    def record_demand(self, group, amount):
        pass


def build_servers(count, slots=6, **fields):
    return {
        f"s{index}": BackendServer(
            f"s{index}", "127.0.0.1", 9000 + index, slots=slots, **fields
        )
        for index in range(count)
    }


def build_configuration(selector="", policy="default", **groups):
    known = {"g": Group("g", selector, policy=policy), **groups}
    return Configuration(revision=1, groups=known)


class FakeBus:
    """Carries records and notices between gateways in one process, without delay."""

    def __init__(self):
        self.nodes = {}
        self.announced = {}
        self.cut = set()

    def join(self, name, failure_domain=""):
        self.nodes[name] = FakeMembership(self, name, failure_domain)
        return self.nodes[name]


class FakeMembership:
    """Membership of one gateway on a bus."""

    def __init__(self, bus, name, failure_domain=""):
        self.bus = bus
        self.name = name
        self.failure_domain = failure_domain
        self.published = {}
        self.callbacks = {}

    def servers(self):
        return self.bus.announced

    def list_live_gateways(self):
        return [
            Member(node.name, "gateway", "", node.failure_domain, "alive", 1)
            for node in sorted([self, *self._reachable()], key=lambda n: n.name)
        ]

    def publish(self, kind, key, value, lifetime_s):
        self.published.pop((kind, key), None)
        if lifetime_s:
            self.published[(kind, key)] = value
        for node in self._reachable():
            node.deliver(kind, self.name, key, value if lifetime_s else None)
        return True

    publish_to_domains = publish

    def records(self, kind):
        return {
            (node.name, key): value
            for node in [self, *self._reachable()]
            for (known, key), value in node.published.items()
            if known == kind
        }

    def subscribe_records(self, kind, callback):
        self.callbacks.setdefault(kind, []).append(callback)

    async def notify_peers(self, kind, value, timeout_s):
        await asyncio.sleep(0)
        for node in self._reachable():
            node.deliver(kind, self.name, "", value)
        await asyncio.sleep(0)
        return [node.name for node in self._reachable()]

    def deliver(self, kind, node, key, value):
        for callback in self.callbacks.get(kind, ()):
            callback(node, key, value)

    def _reachable(self):
        if self.name in self.bus.cut:
            return []
        return [
            node
            for name, node in self.bus.nodes.items()
            if name != self.name and name not in self.bus.cut
        ]
