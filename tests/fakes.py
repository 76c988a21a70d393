"""Small fakes at the interfaces between the parts."""

from __future__ import annotations

from geraniumbend.model import BackendServer, Configuration, Group
from geraniumbend.timers import ManualTimers


class StepTimers(ManualTimers):
    """Manual timers whose clock moves at once where nothing waits for it."""

    def step(self, delay_s):
        assert not self._waiting, "use advance where tasks wait"
        self._now += delay_s


class FakeShares:
    """Shares with fixed or assigned values."""

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
