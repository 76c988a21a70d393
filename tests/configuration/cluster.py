"""Fake control hosts that share one log in memory, without disk or network."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from geraniumbend.configuration import ConfigurationService, ConfigurationStore
from geraniumbend.errors import NotLeaderError, UnavailableError


class FakeMember(NamedTuple):
    name: str
    role: str
    revision: int
    address: str = ""


class FakeLog:
    """Log of one control host; commands are committed at once."""

    def __init__(self, cluster, address):
        self.cluster, self.address = cluster, address

    def _check(self):
        if self.address in self.cluster.partitioned or not self.cluster.leader:
            raise NotLeaderError("not the leader", "", "")
        if self.cluster.leader != self.address:
            raise NotLeaderError("not the leader", "", self.cluster.leader)

    async def propose(self, command):
        self._check()
        if self.cluster.commit_delay_s:
            await self.cluster.timers.sleep(self.cluster.commit_delay_s)
        result = self.cluster.commit(command)
        if self.cluster.responses_to_drop:
            self.cluster.responses_to_drop -= 1
            raise UnavailableError("response lost")
        return result

    async def read_barrier(self):
        self._check()
        return self.cluster.index


class FakeCluster:
    """Is the membership, the RPC server and the RPC client of all control hosts.

    Hosts in `partitioned` do not reach the log; calls to hosts in `unresponsive` time
    out. The next `responses_to_drop` proposals are committed, but fail at the caller.
    Proposals are committed `commit_delay_s` after they reach the leader.
    """

    def __init__(self, timers, names=("a", "b", "c")):
        self.leader, self.index = names[0], 0
        self.partitioned, self.unresponsive, self.calls = set(), set(), []
        self.responses_to_drop = 0
        self.commit_delay_s = 0.0
        self.members_list = []
        self.stores = {name: ConfigurationStore() for name in names}
        self.handlers = {name: {} for name in names}
        self.services = {}
        self.timers = timers
        for name, store in self.stores.items():
            service = ConfigurationService(
                FakeLog(self, name), store, self, timers, self, ["default"]
            )
            self._registering = name
            service.register(self)
            self.services[name] = service

    def handle(self, method):
        return lambda handler: self.handlers[self._registering].update(
            {method: handler}
        )

    def members(self):
        return self.members_list

    def commit(self, command):
        self.index += 1
        results = [
            store.apply(self.index, command)
            for name, store in self.stores.items()
            if name not in self.partitioned
        ]
        return results[0]

    async def call(self, address, method, body, timeout_s):
        self.calls.append((address, method))
        if address not in self.unresponsive:
            call = asyncio.ensure_future(self.handlers[address][method](body))
            if self.commit_delay_s:
                await self._wait(call, timeout_s)
            response = await asyncio.shield(call)
        if address in self.unresponsive:
            await self.timers.sleep(timeout_s)
            raise UnavailableError("no response")
        return response

    async def _wait(self, call, timeout_s):
        """Wait for a call; the receiver completes it although the caller gives up."""
        timeout = asyncio.ensure_future(self.timers.sleep(timeout_s))
        await asyncio.wait({call, timeout}, return_when=asyncio.FIRST_COMPLETED)
        timeout.cancel()
        if not call.done():
            raise UnavailableError("no response")
